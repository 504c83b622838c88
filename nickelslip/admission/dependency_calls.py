"""Which requests may call the dependency now, which go on without their call, and which are given up.

Permission goes to the most urgent request first. A request whose call is optional goes on without it rather than wait.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import inf
from typing import NamedTuple

from nickelslip.admission.answer_deadlines import AnswerDeadlines
from nickelslip.admission.dependency_limit import DependencyLimit
from nickelslip.admission.dependency_usage import DependencyUsage
from nickelslip.admission.interface import RequestState
from nickelslip.admission.tracked_request import TrackedRequest, TrackedRequests

MAX_CALL_WAIT_FRACTION = 1 / 8  # the longest wait for an optional call, as a fraction of the latency objective
# A request that needs its calls and has been at them for longer than this fraction of its latency objective has the
# optional calls of other requests suspended.
SUSPEND_OPTIONAL_AFTER_FRACTION = 1 / 4


class CallDecision(NamedTuple):
    """What becomes of a request that waits for permission to call."""

    request: TrackedRequest
    state: RequestState
    timeout_ms: float = 0.0  # CALL_IN_FLIGHT: how long the call may take


class DependencyCalls:
    """Decides on the requests that wait for permission to call.

    Args:
        requests: All requests in hand.
        deadlines: Until when each answer is due, and useful.
        limit: How many calls may be in flight.
        usage: What is left of this server's share.
        now_ms: The present moment.
    """

    def __init__(
        self,
        requests: TrackedRequests,
        deadlines: AnswerDeadlines,
        limit: DependencyLimit,
        usage: DependencyUsage,
        now_ms: float,
    ) -> None:
        self._requests = requests
        self._deadlines = deadlines
        self._limit = limit
        self._usage = usage
        self._optional_calls_suspended_until_ms = now_ms

    def suspend_optional_calls(self, now_ms: float, request: TrackedRequest) -> None:
        """Suspend optional calls for one objective, where a request that needs its calls has been at them for long.

        This covers a dependency that is slow, or shared by more servers than foreseen. It is told from this server's
        own wait, so that a standstill of this server alone costs some optional calls, too.
        """
        statistics = request.statistics
        if statistics.is_call_optional:
            return
        time_in_calls_ms = now_ms - request.call_phase_began_at_ms + request.time_in_calls_ms
        if time_in_calls_ms > SUSPEND_OPTIONAL_AFTER_FRACTION * statistics.latency_objective_ms:
            self._optional_calls_suspended_until_ms = now_ms + statistics.latency_objective_ms

    def decide(self, now_ms: float, safe_concurrency: float) -> Iterator[CallDecision]:
        """Yield what becomes of waiting requests; each decision must be carried out before the next is asked for.

        While no call fits, the waiting requests are looked through only as often as the queue is.

        Args:
            now_ms: The present moment.
            safe_concurrency: How many requests may be on the cores, or return to them.
        """
        if not self._requests.awaiting_call:
            return
        if now_ms > self._deadlines.last_scan_at_ms and not self._has_free_call_slot():
            return
        self._usage.accumulate_until(now_ms, len(self._requests.call_in_flight))
        mean_call_ms = self._limit.call_duration_ms.mean(now_ms)
        concurrency = self._limit.limit
        waiting_ahead_count = 0
        max_duration_ms = inf
        for request in self._by_urgency(now_ms, mean_call_ms):
            remaining_ms = self._remaining_ms(now_ms, request)
            pause_ms = max(0.0, self._limit.next_call_at_ms - now_ms)
            wait_ms = waiting_ahead_count * mean_call_ms / concurrency + pause_ms
            self.suspend_optional_calls(now_ms, request)
            if self._should_skip_call(now_ms, request, remaining_ms < mean_call_ms, wait_ms):
                yield CallDecision(request, RequestState.DEGRADED)
            elif remaining_ms <= 0 and request.statistics.is_idempotent:
                yield CallDecision(request, RequestState.FAILED)
            elif request.call_not_before_ms <= now_ms and self._limit.next_call_at_ms <= now_ms:
                # How long a call may last is found by a look at all calls; once none fits, none further on does.
                if max_duration_ms >= mean_call_ms and self._can_start_call(safe_concurrency):
                    max_duration_ms = self._max_duration_ms(now_ms)
                    if max_duration_ms >= mean_call_ms:
                        timeout_ms = min(max(remaining_ms, mean_call_ms), max_duration_ms)
                        yield self._start_call(now_ms, request, timeout_ms)
                waiting_ahead_count += request.state is RequestState.AWAITING_CALL

    def _by_urgency(self, now_ms: float, mean_call_ms: float) -> list[TrackedRequest]:
        """Return the waiting requests in order of urgency; those that would be late even with a call now come last."""

        def order(request: TrackedRequest) -> tuple[bool, tuple[float, float, int]]:
            done_at_ms = now_ms + mean_call_ms + request.expected_run_ms / 2
            return done_at_ms > self._deadlines.answer_useful_until_ms(request), request.priority_key

        return sorted(self._requests.awaiting_call.values(), key=order)

    def _remaining_ms(self, now_ms: float, request: TrackedRequest) -> float:
        """Return how long a call may take for the request to be answered in time; half of its run is still to come.

        A request that may not be repeated is worth finishing as long as it can be answered at all.
        """
        if request.statistics.is_idempotent:
            end_ms = self._deadlines.answer_useful_until_ms(request)
        else:
            end_ms = self._deadlines.answer_by_ms(request)
        return end_ms - self._deadlines.margin_ms - now_ms - request.expected_run_ms / 2

    def _should_skip_call(self, now_ms: float, request: TrackedRequest, is_late: bool, wait_ms: float) -> bool:
        statistics = request.statistics
        if not statistics.is_call_optional:
            return False
        is_wait_long = wait_ms > MAX_CALL_WAIT_FRACTION * statistics.latency_objective_ms
        return is_late or is_wait_long or now_ms < self._optional_calls_suspended_until_ms

    def _has_free_call_slot(self) -> bool:
        occupied_count = len(self._requests.call_in_flight) + self._usage.lingering_count
        return occupied_count + 1 <= max(1.0, self._limit.limit)

    def _can_start_call(self, safe_concurrency: float) -> bool:
        """Whether one more call is within the limit, and its request safe to have on the cores again."""
        active_count = self._requests.on_core_count() + len(self._requests.call_in_flight)
        return self._has_free_call_slot() and active_count < safe_concurrency

    def _max_duration_ms(self, now_ms: float) -> float:
        in_flight = self._requests.call_in_flight.values()
        return self._usage.max_call_duration_ms(now_ms, in_flight, self._limit.share)

    def _start_call(self, now_ms: float, request: TrackedRequest, timeout_ms: float) -> CallDecision:
        request.time_in_calls_ms += now_ms - request.call_phase_began_at_ms
        request.call_phase_began_at_ms = now_ms
        request.call_ends_at_ms = now_ms + timeout_ms
        return CallDecision(request, RequestState.CALL_IN_FLIGHT, timeout_ms)
