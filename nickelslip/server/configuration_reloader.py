"""Reloads the configuration files on SIGHUP, for a server with a configuration manager.

New peer addresses are adopted at once. Other differences are applied as an ordinary change if the change rules allow
that (`reload_all`), and otherwise take effect at the next restart.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio
import anyio.to_thread

from nickelslip.configuration.change_lifecycle import ChangeRejectedError
from nickelslip.configuration.change_manager import ChangeManager
from nickelslip.configuration.config import Config, with_new_peer_addresses
from nickelslip.configuration.document import Document
from nickelslip.configuration.document_conversion import document_of
from nickelslip.configuration.generations import digest_of
from nickelslip.configuration.plan import Difference, plan_of
from nickelslip.configuration.schema_fields import Effect
from nickelslip.json_fields import MalformedSettingsError
from nickelslip.server.change_applier import ChangeApplier
from nickelslip.server.peer_address_reloader import RELOAD_ORIGIN
from nickelslip.server.server import Server

MAX_PATHS_IN_LOG = 20


class ConfigurationReloader:
    """Reloads the configuration files of one server.

    Args:
        server: The server.
        changes: The configuration changes of the server.
        applier: Applies changes.
        read_config: Reads the files; it may block, and is called in a thread.
        file_document: The document that the files contained at the start.
        lock: Held while the files are read and applied.
    """

    def __init__(
        self,
        server: Server,
        changes: ChangeManager,
        applier: ChangeApplier,
        read_config: Callable[[], Config],
        file_document: Document,
        lock: anyio.Lock,
    ) -> None:
        self._server = server
        self._changes = changes
        self._applier = applier
        self._read_config = read_config
        self._file_document = file_document
        self._lock = lock
        self._reload_count = 0

    def reload(self) -> None:
        """Start a reload. It replaces an earlier one that has not started to read the files yet."""
        self._reload_count += 1
        self._server.task_group.start_soon(self._server.supervise, self._reload, self._reload_count)

    async def _reload(self, number: int) -> None:
        async with self._lock:
            if number != self._reload_count:
                return
            try:
                config = await anyio.to_thread.run_sync(self._read_config)
            except MalformedSettingsError as error:
                self._server.log.error("configuration_rejected", error=str(error))
                return
            await self._apply(config)

    async def _apply(self, config: Config) -> None:
        """Apply the configuration that the files contain now."""
        document = document_of(config)
        if digest_of(document) == digest_of(self._file_document):
            self._server.log.info("configuration_unchanged")
            return
        differences = plan_of(self._file_document, document).differences
        remaining = [difference for difference in differences if difference.effect is not Effect.LINKS]
        applies_remaining = bool(remaining) and self._changes.rules.reload_all
        if not applies_remaining:
            self._file_document = document
            self._changes.records.file_digest = digest_of(document)
        await self._adopt_peer_addresses(config, document)
        self._log_applied(config, remaining)
        if applies_remaining:
            await self._apply_remaining(config, document)

    async def _adopt_peer_addresses(self, config: Config, document: Document) -> None:
        current = self._server.generation.config
        new_config, _ = with_new_peer_addresses(current, config)
        if new_config != current:
            new_document = {**self._changes.in_force.document, "peers": document["peers"]}
            await self._applier.adopt_peer_addresses(new_config, new_document, RELOAD_ORIGIN)

    def _log_applied(self, config: Config, remaining: list[Difference]) -> None:
        self._server.log.info(
            "configuration_applied",
            pool=config.pool,
            records=config.records,
            directory=config.directory,
            needs_restart=[".".join(difference.path) for difference in remaining[:MAX_PATHS_IN_LOG]],
        )

    async def _apply_remaining(self, config: Config, document: Document) -> None:
        """Apply the complete configuration of the files as a change; if it is rejected, the next reload retries it."""
        previous_digest = self._changes.records.file_digest
        self._changes.records.file_digest = digest_of(document)
        try:
            await self._applier.stage_and_apply(self._applier.draft(config, document, RELOAD_ORIGIN, False))
            self._file_document = document
        except ChangeRejectedError as error:
            self._changes.records.file_digest = previous_digest
            self._server.log.error("configuration_rejected", error=str(error))
