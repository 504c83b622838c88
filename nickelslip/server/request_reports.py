"""Reports of request events to the admission controller."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING

from nickelslip.admission.controller import AdmissionController
from nickelslip.admission.interface import Outcome

if TYPE_CHECKING:  # types only; importing them would slow down the startup
    from nickelslip.server.call_limit import CallLimit
    from nickelslip.server.decision_executor import DecisionExecutor
    from nickelslip.server.idempotency_table import IdempotencyTable
    from nickelslip.server.request_counter import RequestCounter
    from nickelslip.server.requests import Request
    from nickelslip.startup.slow_start import SlowStart

ANSWERED_CALL_OUTCOMES = (
    Outcome.OK,
    Outcome.REJECTED,
    Outcome.TIMEOUT,
)  # treated as signs that the dependency is reachable


class RequestReports:
    """Reports each event of a request; the resulting decisions are executed before the report returns.

    An event other than the arrival changes the state of its request. `fire_overdue_timer` is called before that.

    Args:
        clock: Returns the current time in milliseconds.
        executor: Calls the controller.
        idempotency_table: Finds the original request of a duplicate.
        counter: Counts finished calls.
        slow_start: Adapts to the outcomes of calls.
        call_limit: Updated after the end of a call.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        executor: DecisionExecutor,
        idempotency_table: IdempotencyTable,
        counter: RequestCounter,
        slow_start: SlowStart,
        call_limit: CallLimit,
    ) -> None:
        self._clock = clock
        self._executor = executor
        self._idempotency_table = idempotency_table
        self._counter = counter
        self._slow_start = slow_start
        self._call_limit = call_limit

    def request_received(self, request: Request) -> None:
        """Report the arrival of a request."""
        original = self._idempotency_table.find_original(request)
        original_number = original.number if original else None
        arrival = request.received.to_arrival(request.number, self._clock(), original_number)
        self._executor.decide(AdmissionController.request_received, arrival)

    def fire_overdue_timer(self) -> None:
        """Let the controller decide what it should have decided before the event that is about to be handled."""
        self._executor.fire_overdue_timer()

    def run_ended(self, request: Request, outcome: Outcome, took_ms: float) -> None:
        """Report the end of the request's run, which took `took_ms`, calls included."""
        request.run_ms = took_ms
        self._executor.decide_after_change(AdmissionController.run_ended, request.number, outcome, took_ms)

    def call_requested(self, request: Request) -> None:
        """Report that the request's run is blocked at a call."""
        self._executor.decide_after_change(AdmissionController.call_requested, request.number)

    def call_returned(self, request: Request, outcome: Outcome, took_ms: float) -> None:
        """Report the end of the run's call, which took `took_ms`."""
        self._counter.call_returned(outcome)
        if outcome in ANSWERED_CALL_OUTCOMES:
            self._slow_start.call_answered(self._clock(), took_ms if outcome is Outcome.OK else inf)
        elif outcome is not Outcome.NOT_STARTED:
            self._slow_start.call_failed(self._clock())
        self._executor.decide_after_change(AdmissionController.call_returned, request.number, outcome, took_ms)
        self._call_limit.update()

    def client_disconnected(self, request: Request) -> None:
        """Report that the request's client has disconnected."""
        self._executor.decide_after_change(AdmissionController.client_disconnected, request.number)
