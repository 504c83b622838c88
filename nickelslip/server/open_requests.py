"""The open requests of a server, from their acceptance to the end of their lifecycle."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nickelslip.admission.interface import FINAL_STATES, Outcome
from nickelslip.server.log_sampling import is_power_of_two
from nickelslip.server.recent_runs import RecentRuns
from nickelslip.server.request_lifecycle import run_request_lifecycle
from nickelslip.server.requests import Request

if TYPE_CHECKING:  # types only; importing them would slow down the startup
    from nickelslip.server.decision_executor import DecisionExecutor
    from nickelslip.server.idempotency_table import IdempotencyTable
    from nickelslip.server.interfaces import RequestActions, RequestEventSink, ServerContext
    from nickelslip.server.lifecycle import Lifecycle
    from nickelslip.server.request_counter import RequestCounter


class OpenRequests:
    """Accepts requests and runs the lifecycle of each one in its own task.

    Args:
        context: Clock, log and tasks of the server, and the configuration in force.
        actions: Starts and stops runs, makes calls and updates idempotency records.
        sink: Reports the events of requests to the admission controller.
        executor: Holds the admission controller; without a controller no request is accepted.
        idempotency_table: Detects conflicts of idempotency keys.
        counter: Counts requests for the request metrics.
        lifecycle: Notified when a request has ended.
        requests: The open requests by number; only this class changes it.
    """

    def __init__(
        self,
        context: ServerContext,
        actions: RequestActions,
        sink: RequestEventSink,
        executor: DecisionExecutor,
        idempotency_table: IdempotencyTable,
        counter: RequestCounter,
        lifecycle: Lifecycle,
        requests: dict[int, Request],
    ) -> None:
        self._context = context
        self._actions = actions
        self._sink = sink
        self._executor = executor
        self._idempotency_table = idempotency_table
        self._counter = counter
        self._lifecycle = lifecycle
        self._requests = requests
        self._recent_runs = RecentRuns(context.clock)
        self._key_conflict_count = 0
        self._repeated_id_count = 0

    def accept(self, request: Request) -> bool:
        """Report the arrival of a request, and run its lifecycle in a task unless it has ended already.

        Returns False if its connection has to answer it with a failure: there is no admission controller, its number
        is in use or was that of a request that may have run and must not run twice, its configuration is no longer in
        force, or its idempotency key belongs to another request.
        """
        if request.number in self._requests or self._executor.controller is None:
            return False
        if request.must_not_run_twice and request.number in self._recent_runs:
            self._log_repeated_id()
            return False
        if request.generation is not self._context.generation:
            return False
        if self._idempotency_table.has_key_conflict(request):
            self._log_key_conflict()
            return False
        self._requests[request.number] = request
        self._counter.request_accepted(request)
        self._sink.request_received(request)
        if request.state in FINAL_STATES:
            self._close(request)
        else:
            self._context.task_group.start_soon(self._context.supervise, self._run_lifecycle, request)
        return True

    async def _run_lifecycle(self, request: Request) -> None:
        try:
            await run_request_lifecycle(self._actions, self._sink, request)
        finally:
            self._close(request)

    def _close(self, request: Request) -> None:
        """Remove a request that has ended; requests coalesced with it fail if it has no result."""
        self._idempotency_table.finish(request, Outcome.CANCELLED)
        if request.may_have_run and request.must_not_run_twice:
            self._recent_runs.record(request.number, request.generation.longest_timeout_ms)
        del self._requests[request.number]
        self._lifecycle.notify_change()

    def _log_repeated_id(self) -> None:
        """Log the 1st, 2nd, 4th, 8th ... request whose id belongs to one that may have run."""
        self._repeated_id_count += 1
        if is_power_of_two(self._repeated_id_count):
            self._context.log.warning("request_id_repeated", count=self._repeated_id_count)

    def _log_key_conflict(self) -> None:
        """Log the 1st, 2nd, 4th, 8th ... conflict of idempotency keys."""
        self._key_conflict_count += 1
        if is_power_of_two(self._key_conflict_count):
            self._context.log.warning("idempotency_key_conflict", count=self._key_conflict_count)
