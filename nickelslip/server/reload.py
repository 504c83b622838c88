"""Reload of the configuration while the server runs."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, Protocol

from nickelslip.admission.controller import AdmissionController
from nickelslip.configuration.config import Config, with_new_peer_addresses
from nickelslip.configuration.generations import Generation
from nickelslip.json_fields import MalformedSettingsError
from nickelslip.server.call_limit import dependency_share_of

if TYPE_CHECKING:  # types only; importing them would lengthen the start
    from nickelslip.server.decision_executor import DecisionExecutor
    from nickelslip.startup.slow_start import SlowStart

RELOAD_ORIGIN = "SIGHUP"  # where operators are told that a generation came from


class ReloadTarget(Protocol):
    """The server as the reload sees it: the configuration in force can be replaced."""

    log: Any
    generation: Generation

    def clock(self) -> float:
        """Return Unix milliseconds that never go back."""


class PeerLink(Protocol):
    """A connection to a peer whose address is configured."""

    def change_endpoint(self) -> None:
        """Connect to the configured address if it has changed."""


class ConfigurationReload:
    """Puts configurations in force while the server runs.

    Args:
        target: The server.
        read_config: Reads the configuration again; raises MalformedSettingsError.
        executor: Calls the controller.
        slow_start: Is told this server's share of the dependency calls.
        peer_links: Are told that their addresses may have changed, in this order.
    """

    def __init__(
        self,
        target: ReloadTarget,
        read_config: Callable[[], Config],
        executor: DecisionExecutor,
        slow_start: SlowStart,
        peer_links: Sequence[PeerLink],
    ) -> None:
        self._target = target
        self._read_config = read_config
        self._executor = executor
        self._slow_start = slow_start
        self._peer_links = peer_links

    def reload(self) -> None:
        """Read the configuration again and apply the addresses of the peers.

        A file that cannot be read or is malformed changes nothing.
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
        self._target.generation = Generation(number, config, RELOAD_ORIGIN, self._target.clock())
        self._change_endpoints()

    def apply(self, generation: Generation) -> None:
        """Put a whole generation in force.

        Requests that were received before keep their own. The controller is told in one call, whose decisions are
        executed before this returns.
        """
        self._target.generation = generation
        self._slow_start.change_dependency_share(dependency_share_of(generation.settings))
        if self._executor.controller is not None:
            self._executor.decide(AdmissionController.settings_changed, generation.settings)
        self._change_endpoints()

    def _change_endpoints(self) -> None:
        for link in self._peer_links:
            link.change_endpoint()
