"""Executes the commands by which operators and tools change the configuration of a running server.

Commands that change anything are executed one at a time. `change_lifecycle` defines the transitions of a change, and
`canary_analysis` gives the verdict on it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from nickelslip.configuration.change_lifecycle import (
    STATE_WORDS,
    ChangeRejectedError,
    ConfigurationChange,
    RejectionReason,
)
from nickelslip.configuration.change_manager import ChangeManager
from nickelslip.configuration.config import Config
from nickelslip.configuration.document import Document
from nickelslip.configuration.document_conversion import config_from
from nickelslip.configuration.document_parts import CompleteDocument, complete_document
from nickelslip.configuration.generation_snapshot import GenerationSnapshot
from nickelslip.configuration.generations import PEERS_SECTION, Generation, digest_of
from nickelslip.configuration.history import HistoryRecord
from nickelslip.configuration.plan import plan_of
from nickelslip.configuration.request_metrics import RequestMetrics
from nickelslip.configuration.start_selection import StartSelection
from nickelslip.configuration.store import HistoryStore
from nickelslip.configuration.validation import Fault, InvalidDocumentError
from nickelslip.server import control_commands as commands
from nickelslip.server import control_results as results
from nickelslip.server.canary_observation import CanaryObservation
from nickelslip.server.canary_watcher import CanaryWatcher
from nickelslip.server.change_applier import ChangeApplier
from nickelslip.server.configuration_reloader import ConfigurationReloader
from nickelslip.server.history_writer import HistoryWriter
from nickelslip.server.server import Server

MAX_RECORDS_IN_REPLY = 50
MAX_ADOPTION_TIMES_IN_REPLY = 8
MAX_ORIGIN_IN_LOG = 200


class ConfigurationManager:
    """Manages the configuration changes of one server.

    Args:
        server: The server. Its generation is replaced by that of the start selection.
        file_document: The document in the configuration files.
        start: The configuration with which the server starts.
        records: The records of the history.
        read_config: Reads the configuration files again; it may block.
        store: Stores the history; None to keep it in memory only.

    Attributes:
        changes: The changes, and the generations that they lead to.
        history: Writes the records of changes.
        observation: The measurements of the server.
    """

    def __init__(
        self,
        server: Server,
        file_document: Document,
        start: StartSelection,
        records: list[HistoryRecord],
        read_config: Callable[[], Config],
        store: HistoryStore | None,
    ) -> None:
        config = server.generation.config
        server.generation = Generation(start.number, config, start.origin, server.clock())
        request_metrics = RequestMetrics(config.changes.baseline_ms, server.generation.latency_objectives_ms)
        file_digest = digest_of(file_document)
        lock = anyio.Lock()
        self._server = server
        self._lock = lock
        self.changes = ChangeManager(server.generation, start.document, records, file_digest, self._log_transition)
        self.history = HistoryWriter(store, server.log)
        self.observation = CanaryObservation(server, request_metrics)
        self._applier = ChangeApplier(server, self.changes, self.history, self.observation)
        self._watcher = CanaryWatcher(server, self.changes, self._applier, self.history, self.observation, lock)
        server.request_metrics = request_metrics
        server.reload_handler = ConfigurationReloader(
            server, self.changes, self._applier, read_config, file_document, lock
        )

    def _log_transition(self, change: ConfigurationChange) -> None:
        self._server.log.info(
            "configuration_change",
            number=change.number,
            step=STATE_WORDS[change.state].upper(),
            reason=change.reason,
            origin=change.origin[:MAX_ORIGIN_IN_LOG],
            generation=change.generation.number if change.generation else None,
        )

    async def run(self) -> None:
        """Watch changes in their canary period until cancelled."""
        await self._watcher.run()

    async def command(self, request: dict[str, Any]) -> dict[str, Any]:
        """Execute the command of a request of the control protocol, and return the result for its reply.

        Raises:
            ChangeRejectedError: The command was rejected.
            InvalidDocumentError: The document in the request is not valid.
        """
        if commands.is_read_only(request):
            return await self._execute(request)
        async with self._lock:
            return await self._execute(request)

    async def _execute(self, request: dict[str, Any]) -> dict[str, Any]:
        command = commands.decode_command(request, self._server.clock())
        return results.encode_result(await self._dispatch(command))

    async def _dispatch(self, command: commands.Command) -> results.Result:
        match command:
            case commands.StatusCommand():
                return self._status()
            case commands.HistoryCommand():
                return results.HistoryResult(list(self.changes.records.latest)[-MAX_RECORDS_IN_REPLY:])
            case commands.CheckCommand():
                return self._check(command)
            case commands.StageCommand():
                return self._stage(command)
            case commands.ApplyDocumentCommand():
                return await self._apply_document(command)
            case commands.ApplyStagedCommand(number):
                return results.ChangeResult(await self._applier.apply_staged(number))
            case commands.DiscardStagedCommand():
                return results.ChangeResult(self.changes.discard_staged(self._server.clock()))
            case commands.ConfirmCommand():
                return await self._confirm()
            case commands.RollbackCommand():
                return await self._roll_back(command)

    def _complete(self, document_part: commands.DocumentPart) -> CompleteDocument:
        """Return the whole document for the document in a request."""
        if document_part.part is None:
            raise InvalidDocumentError([Fault((), "a document is needed")])
        return complete_document(document_part.part, {} if document_part.is_whole else self.changes.in_force.document)

    def _draft(self, request: commands.DraftRequest) -> tuple[ConfigurationChange, list[Fault]]:
        document, warnings = self._complete(request.document)
        inherited_changes = () if request.document.is_whole else self.changes.in_force.changes
        change = self._applier.draft(
            config_from(document), document, request.origin, request.is_forced, inherited_changes
        )
        return change, warnings

    def _check(self, command: commands.CheckCommand) -> results.CheckResult:
        document, warnings = self._complete(command.document)
        in_force = self.changes.in_force
        plan = plan_of(in_force.document, document)
        return results.CheckResult(plan, warnings, digest_of(document), in_force.generation.number)

    def _stage(self, command: commands.StageCommand) -> results.StageResult:
        change, warnings = self._draft(command.request)
        self.changes.stage(self._server.clock(), change)
        return results.StageResult(change, warnings)

    async def _apply_document(self, command: commands.ApplyDocumentCommand) -> results.ChangeResult:
        if self.changes.current is not None:
            detail = f"change {self.changes.current.number} is on probation"
            raise ChangeRejectedError(RejectionReason.BUSY, detail)
        change, _ = self._draft(command.request)
        await self._applier.stage_and_apply(change)
        return results.ChangeResult(change)

    async def _confirm(self) -> results.ChangeResult:
        change = self.changes.current
        await self._applier.confirm(self._server.clock(), "confirmed by an operator")
        return results.ChangeResult(change)

    async def _roll_back(self, command: commands.RollbackCommand) -> results.ChangeResult:
        """Roll back the current change, or go back to an earlier generation.

        The latter happens if no change is in its canary period, or the command names a generation. A generation that
        is named is applied like any other change. Otherwise the change is undone, and the way back is confirmed from
        the start.
        """
        earlier: GenerationSnapshot | None = None
        if command.expected_origin is not None:
            earlier = self.changes.snapshot_before(str(command.expected_origin))
        current = self.changes.current
        if current is not None and command.generation is None and not self.changes.is_returning:
            await self._applier.roll_back("undone by an operator")
            return results.ChangeResult(current)
        if earlier is None or command.generation is not None:
            earlier = self.changes.earlier_snapshot(command.generation)
        return await self._go_back_to(earlier, is_return=command.generation is None)

    async def _go_back_to(self, earlier: GenerationSnapshot, is_return: bool) -> results.ChangeResult:
        """Apply the document of an earlier generation, with the peer addresses in force."""
        if self.changes.is_returning:
            await self._applier.confirm(self._server.clock(), "another way back follows")
        document = {**earlier.document, PEERS_SECTION: self.changes.in_force.document[PEERS_SECTION]}
        origin = f"back to generation {earlier.generation.number}"
        config = config_from(document)
        change = self._applier.draft(config, document, origin, True, earlier.changes, is_return)
        await self._applier.stage_and_apply(change)
        return results.ChangeResult(change)

    def _status(self) -> results.StatusResult:
        server = self._server
        return results.StatusResult(
            name=server.generation.config.name,
            phase=server.phase,
            is_healthy=server.is_healthy,
            open_request_count=len(server.requests),
            verdict=self.observation.verdict,
            adoption_times_us=self._applier.adoption_times_us[-MAX_ADOPTION_TIMES_IN_REPLY:],
            unwritten_record_count=len(self.history.unwritten),
            has_history=self.history.store is not None,
            changes=self.changes.status(server.clock()),
        )
