"""The graceful shutdown: draining requests, then closing connections."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import inf
from typing import TYPE_CHECKING

import anyio

from nickelslip.admission.controller import AdmissionController
from nickelslip.server.lifecycle import Lifecycle, Phase

if TYPE_CHECKING:  # types only; importing them would lengthen the start
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
        advertised: What clients are told.
        directory_reporter: Reports that a server that never served is not healthy.
        listeners: Where requests come in.
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
        """Begin to drain; a server that never served has nothing to drain. Repeated calls have no effect."""
        if self._lifecycle.phase is Phase.SERVING:
            self._deadline_at_ms = self._context.clock() + self._context.generation.config.stop_ms
            self._lifecycle.enter(Phase.DRAINING)
            self._executor.decide(AdmissionController.drain, self._deadline_at_ms)
        elif self._lifecycle.phase is Phase.WAITING:
            self._advertised.is_healthy = False
            self._directory_reporter.report_health_change()
            self._lifecycle.enter(Phase.SHUTTING_DOWN)

    async def run(self) -> None:
        """Wait for the shutdown or a failure; then drain, close all connections, and return."""
        while self._lifecycle.phase in (Phase.WAITING, Phase.SERVING):
            await self._lifecycle.wait_for_change()
        if self._lifecycle.phase is Phase.DRAINING:
            await self._wait_out_grace_period()
            self._stop_accepting()
        while self._lifecycle.phase is Phase.DRAINING and self._has_unanswered_requests():
            await self._lifecycle.wait_for_change()
        self._lifecycle.enter(Phase.SHUTTING_DOWN)
        await self._close_connections()
        self._context.log.info("server_stopped", open_requests=len(self._requests))

    async def _wait_out_grace_period(self) -> None:
        """Wait until new requests are no longer accepted, or until the server fails."""
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
        """Refuse new connections: a request that came now would not be run, and another server can take it."""
        for listener in self._listeners:
            listener.stop_accepting()

    def _has_unanswered_requests(self) -> bool:
        return any(not request.answered and not request.client_gone for request in self._requests.values())

    async def _close_connections(self) -> None:
        """Close all connections in the time that is left."""
        generation = self._context.generation
        left_ms = min(self._deadline_at_ms - self._context.clock(), generation.config.stop_ms)
        left_ms -= generation.settings.answer_slack_ms
        with anyio.move_on_after(max(left_ms, 0.0) / 1000):
            async with anyio.create_task_group() as closing:
                for listener in self._listeners:
                    closing.start_soon(listener.shut_down, left_ms)
