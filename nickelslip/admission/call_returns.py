"""What becomes of a request whose dependency call has ended."""

from __future__ import annotations

from dataclasses import dataclass

from nickelslip.admission.dependency_calls import DependencyCalls
from nickelslip.admission.interface import Outcome, RequestState
from nickelslip.admission.interval_measurements import IntervalMeasurements
from nickelslip.admission.request_transitions import RequestTransitions
from nickelslip.admission.tracked_request import TrackedRequest


@dataclass(frozen=True, slots=True)
class CallReturns:
    """Moves a request on after its call.

    Attributes:
        transitions: Changes the states of requests.
        calls: Records the call, and schedules its retry.
        interval: Has the last read delay.
    """

    transitions: RequestTransitions
    calls: DependencyCalls
    interval: IntervalMeasurements

    def finish(self, now_ms: float, request: TrackedRequest, outcome: Outcome, took_ms: float) -> None:
        """Let the run continue with the reply; after a failure the request waits for permission again.

        A call that may have run and must not run twice is not made again: the run continues without it if it is
        optional, else the request fails. The run was counted with its call in flight, so that it needs no room.
        """
        self.calls.record_return(now_ms, request, outcome, took_ms, self.interval.last_read_delay_ms)
        if outcome is Outcome.OK:
            self.transitions.enter(now_ms, request, RequestState.RUNNING, notify=False)
            return
        self.transitions.enter(now_ms, request, RequestState.AWAITING_CALL, notify=False)
        self.calls.schedule_retry(now_ms, request, outcome)
        if not outcome.proves_not_executed and not request.statistics.is_idempotent:
            is_optional = request.statistics.is_call_optional
            self.transitions.enter(now_ms, request, RequestState.DEGRADED if is_optional else RequestState.FAILED)
