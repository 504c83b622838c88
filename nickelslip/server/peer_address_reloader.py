"""Reloads peer addresses on SIGHUP, for a server without a configuration manager.

With a configuration manager, `configuration_reloader` handles SIGHUP instead.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from nickelslip.configuration.config import Config, with_new_peer_addresses
from nickelslip.configuration.generations import Generation
from nickelslip.json_fields import MalformedSettingsError
from nickelslip.server.generation_adopter import GenerationAdopter

RELOAD_ORIGIN = "SIGHUP"  # shown to operators as the origin of a generation


class ReloadTarget(Protocol):
    """The part of the server that a reload uses."""

    log: Any
    generation: Generation

    def clock(self) -> float:
        """Return the time in Unix milliseconds; it never decreases."""


class PeerAddressReloader:
    """Reloads the addresses of the peers of one server.

    Args:
        target: The server.
        read_config: Reads the configuration again; may raise MalformedSettingsError.
        adopter: Puts generations in force.
    """

    def __init__(self, target: ReloadTarget, read_config: Callable[[], Config], adopter: GenerationAdopter) -> None:
        self._target = target
        self._read_config = read_config
        self._adopter = adopter

    def reload(self) -> None:
        """Read the configuration again and apply the addresses of peers.

        If a file cannot be read or is malformed, nothing changes.
        """
        try:
            config, needs_restart = with_new_peer_addresses(self._target.generation.config, self._read_config())
        except MalformedSettingsError as error:
            self._target.log.error("configuration_rejected", error=str(error))
            return
        self._target.log.info(
            "configuration_applied",
            pool=config.pool,
            records=config.records,
            directory=config.directory,
            needs_restart=needs_restart,
        )
        number = self._target.generation.number + 1
        generation = Generation(number, config, RELOAD_ORIGIN, self._target.clock())
        self._adopter.adopt_peer_addresses(generation)
