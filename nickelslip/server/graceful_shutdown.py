"""The graceful shutdown, which drains requests and then closes connections."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import inf
from typing import TYPE_CHECKING

import anyio

from nickelslip.admission.controller import AdmissionController
from nickelslip.server.lifecycle import Lifecycle, Phase

if TYPE_CHECKING:  # types only; importing them would slow down the startup
    from nickelslip.server.advertised_state import AdvertisedState
    from nickelslip.server.decision_executor import DecisionExecutor
    from nickelslip.server.interfaces import HealthReporter, RequestListener, ServerContext
    from nickelslip.server.requests import Request


class GracefulShutdown:
    """Shuts a server down within its `stop_ms`.

    Args:
        context: Clock and log of the server, and the configuration in force.
        lifecycle: The phase of the server.
        executor: Calls the controller.
        advertised: The state advertised to clients.
        directory_reporter: Reports the server as unhealthy if it shuts down before it has served.
        listeners: The listeners that receive requests.
        requests: The open requests by number.
    """

    def __init__(
        self,
        context: ServerContext,
        lifecycle: Lifecycle,
        executor: DecisionExecutor,
        advertised: AdvertisedState,
        directory_reporter: HealthReporter,
        listeners: Sequence[RequestListener],
        requests: Mapping[int, Request],
    ) -> None:
        self._context = context
        self._lifecycle = lifecycle
        self._executor = executor
        self._advertised = advertised
        self._directory_reporter = directory_reporter
        self._listeners = listeners
        self._requests = requests
        self._deadline_at_ms = inf  # when the process may be killed

    def begin(self) -> None:
        """Begin to drain, or to shut down if the server has not served yet. Repeated calls have no effect."""
        if self._lifecycle.phase is Phase.SERVING:
            self._deadline_at_ms = self._context.clock() + self._context.generation.config.stop_ms
            self._lifecycle.enter(Phase.DRAINING)
            self._executor.decide(AdmissionController.drain, self._deadline_at_ms)
        elif self._lifecycle.phase is Phase.WAITING:
            self._advertised.is_healthy = False
            self._directory_reporter.report_health_change()
            self._lifecycle.enter(Phase.SHUTTING_DOWN)

    async def run(self) -> None:
        """Wait until a shutdown begins or the server fails, then drain, close all connections, and return."""
        while self._lifecycle.phase in (Phase.WAITING, Phase.SERVING):
            await self._lifecycle.wait_for_change()
        if self._lifecycle.phase is Phase.DRAINING:
            await self._wait_for_end_of_grace_period()
            self._stop_accepting()
        while self._lifecycle.phase is Phase.DRAINING and self._has_unanswered_requests():
            await self._lifecycle.wait_for_change()
        self._lifecycle.enter(Phase.SHUTTING_DOWN)
        await self._close_connections()
        self._context.log.info("server_stopped", open_requests=len(self._requests))

    async def _wait_for_end_of_grace_period(self) -> None:
        """Wait until the grace period for new requests ends or the server fails."""
        settings = self._context.generation.settings
        slack_ms = settings.answer_slack_ms
        grace_ms = min(
            settings.drain_grace_ms + slack_ms,
            self._context.generation.config.stop_ms - 2 * slack_ms,
        )
        with anyio.move_on_after(max(grace_ms, 0.0) / 1000):
            while self._lifecycle.phase is Phase.DRAINING:
                await self._lifecycle.wait_for_change()

    def _stop_accepting(self) -> None:
        """Refuse new connections: requests received from now on are not run, and other servers can take them."""
        for listener in self._listeners:
            listener.stop_accepting()

    def _has_unanswered_requests(self) -> bool:
        return any(
            not request.is_answered and not request.is_client_disconnected for request in self._requests.values()
        )

    async def _close_connections(self) -> None:
        """Close all connections in the remaining time."""
        generation = self._context.generation
        remaining_ms = min(self._deadline_at_ms - self._context.clock(), generation.config.stop_ms)
        remaining_ms -= generation.settings.answer_slack_ms
        with anyio.move_on_after(max(remaining_ms, 0.0) / 1000):
            async with anyio.create_task_group() as closing:
                for listener in self._listeners:
                    closing.start_soon(listener.shut_down, remaining_ms)
