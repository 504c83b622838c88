"""Adoption of configuration generations by the components of a running server."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Protocol

from nickelslip.admission.controller import AdmissionController
from nickelslip.configuration.generations import Generation
from nickelslip.server.call_limit import dependency_share_of

if TYPE_CHECKING:  # needed only for type hints; importing them at run time would slow the start
    from nickelslip.server.decision_executor import DecisionExecutor
    from nickelslip.startup.slow_start import SlowStart


class GenerationHolder(Protocol):
    """Holds the generation in force, which can be replaced."""

    generation: Generation


class PeerLink(Protocol):
    """A connection to a peer whose address is configured."""

    def change_endpoint(self) -> None:
        """Connect to the configured address if it has changed."""


class GenerationAdopter:
    """Puts generations in force while the server runs.

    Args:
        holder: The server.
        executor: Calls the controller.
        slow_start: The slow start; its share of the dependency calls follows the settings.
        peer_links: The connections to peers, in the order in which they are notified of new addresses.
    """

    def __init__(
        self,
        holder: GenerationHolder,
        executor: DecisionExecutor,
        slow_start: SlowStart,
        peer_links: Sequence[PeerLink],
    ) -> None:
        self._holder = holder
        self._executor = executor
        self._slow_start = slow_start
        self._peer_links = peer_links

    def adopt(self, generation: Generation) -> None:
        """Put a whole generation in force.

        Requests that were received earlier keep the generation under which they were received. The controller receives
        all new settings in one call, and its decisions are executed before this method returns.
        """
        self._holder.generation = generation
        self._slow_start.change_dependency_share(dependency_share_of(generation.settings))
        if self._executor.controller is not None:
            self._executor.decide(AdmissionController.settings_changed, generation.settings)
        self._change_endpoints()

    def adopt_peer_addresses(self, generation: Generation) -> None:
        """Put a generation in force that differs only in the addresses of peers."""
        self._holder.generation = generation
        self._change_endpoints()

    def _change_endpoints(self) -> None:
        for link in self._peer_links:
            link.change_endpoint()
