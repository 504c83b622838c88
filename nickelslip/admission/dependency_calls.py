"""Decides which waiting requests may call the dependency, which continue without their call, and which fail.

The most urgent request may call first. A request with an optional call continues without it instead of waiting long.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import inf
from typing import NamedTuple

from nickelslip.admission.answer_deadlines import AnswerDeadlines
from nickelslip.admission.dependency_limit import DependencyLimit
from nickelslip.admission.dependency_usage import DependencyUsage
from nickelslip.admission.interface import Outcome, RequestState
from nickelslip.admission.tracked_request import TrackedRequest, TrackedRequests

MAX_CALL_WAIT_FRACTION = 1 / 8  # the longest wait for an optional call, as a fraction of the latency objective
# Optional calls are suspended when a request that requires its calls has spent more than this fraction of its latency
# objective in them.
SUSPEND_OPTIONAL_AFTER_FRACTION = 1 / 4


class CallDecision(NamedTuple):
    """Decision on a request that waits for permission to call."""

    request: TrackedRequest
    state: RequestState
    timeout_ms: float = 0.0  # CALL_IN_FLIGHT: the timeout of the call


class DependencyCalls:
    """Decides on the requests that wait for permission to call.

    Args:
        requests: All open requests.
        deadlines: The deadlines of the requests.
        limit: The limit on calls in flight.
        usage: The use that this server has made of its share.
        now_ms: The current time.
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

    def suspend_optional_calls_if_slow(self, now_ms: float, request: TrackedRequest) -> None:
        """Suspend optional calls for one latency objective if a request has spent long in its required calls.

        This reacts to a dependency that is slow, or shared by more servers than expected. The time includes the wait
        for permission. It is measured on this server, so a stall of this server alone also suspends optional calls.
        """
        statistics = request.statistics
        if statistics.is_call_optional:
            return
        time_in_calls_ms = now_ms - request.call_phase_began_at_ms + request.time_in_calls_ms
        if time_in_calls_ms > SUSPEND_OPTIONAL_AFTER_FRACTION * statistics.latency_objective_ms:
            self._optional_calls_suspended_until_ms = now_ms + statistics.latency_objective_ms

    def record_return(
        self, now_ms: float, request: TrackedRequest, outcome: Outcome, took_ms: float, read_delay_ms: float
    ) -> None:
        """Record the end of a call that was in flight.

        Args:
            now_ms: The current time.
            request: The request that made the call.
            outcome: How the call ended.
            took_ms: The duration of the call.
            read_delay_ms: How long the last request waited until this server read it.
        """
        self._usage.accumulate_until(now_ms, len(self._requests.call_in_flight))
        if outcome is Outcome.TIMEOUT:
            self._usage.record_abandoned(now_ms)
        if not outcome.proves_not_executed:
            self._limit.record_call(now_ms, took_ms, read_delay_ms)
        request.time_in_calls_ms = request.time_in_calls_ms + now_ms - request.call_phase_began_at_ms
        request.call_phase_began_at_ms = now_ms
        self.suspend_optional_calls_if_slow(now_ms, request)

    def schedule_retry(self, now_ms: float, request: TrackedRequest, outcome: Outcome) -> None:
        """Set when a call that failed may be made again.

        After a call that was not executed the retry waits, because an overloaded dependency needs fewer calls.
        """
        if outcome.proves_not_executed:
            request.call_not_before_ms = now_ms + self._limit.call_duration_ms.mean(now_ms)
        else:
            request.call_not_before_ms = -inf

    def decide(self, now_ms: float, safe_concurrency: float, max_concurrency: float) -> Iterator[CallDecision]:
        """Yield decisions on waiting requests. Each must be carried out before the next one is requested.

        While all call slots are in use, the waiting requests are scanned only at events at which the queue is scanned.
        A request that is to continue without its call waits on while there is no room on the cores, at most until its
        answer is due.

        Args:
            now_ms: The current time.
            safe_concurrency: How many requests may be on the cores or have a call in flight.
            max_concurrency: How many requests may be on the cores by the settings.
        """
        if not self._requests.awaiting_call:
            return
        if now_ms > self._deadlines.last_scan_at_ms and not self._has_free_call_slot():
            return
        self._usage.accumulate_until(now_ms, len(self._requests.call_in_flight))
        mean_call_ms = self._limit.call_duration_ms.mean(now_ms)
        call_limit = self._limit.limit
        waiting_ahead_count = 0
        max_duration_ms = inf
        for request in self._by_urgency(now_ms, mean_call_ms):
            remaining_ms = self._remaining_ms(now_ms, request)
            pause_ms = max(0.0, self._limit.next_call_at_ms - now_ms)
            wait_ms = waiting_ahead_count * mean_call_ms / call_limit + pause_ms
            self.suspend_optional_calls_if_slow(now_ms, request)
            if self._should_skip_call(now_ms, request, remaining_ms < mean_call_ms, wait_ms):
                if self._has_core_room(safe_concurrency) and self._requests.on_core_count() < max_concurrency:
                    yield CallDecision(request, RequestState.DEGRADED)
            elif remaining_ms <= 0 and request.statistics.is_idempotent:
                yield CallDecision(request, RequestState.FAILED)
            elif request.call_not_before_ms <= now_ms and self._limit.next_call_at_ms <= now_ms:
                # Computing the maximum duration scans all calls. Once no call fits, none fits later in the loop.
                if max_duration_ms >= mean_call_ms and self._can_start_call(safe_concurrency):
                    max_duration_ms = self._max_duration_ms(now_ms)
                    if max_duration_ms >= mean_call_ms:
                        timeout_ms = min(max(remaining_ms, mean_call_ms), max_duration_ms)
                        yield self._start_call(now_ms, request, timeout_ms)
                waiting_ahead_count += request.state is RequestState.AWAITING_CALL

    def _by_urgency(self, now_ms: float, mean_call_ms: float) -> list[TrackedRequest]:
        """Return the waiting requests, most urgent first. Those that would be late even with a call now come last."""

        def order(request: TrackedRequest) -> tuple[bool, tuple[float, float, int]]:
            done_at_ms = now_ms + mean_call_ms + request.expected_run_ms / 2
            return done_at_ms > self._deadlines.answer_useful_until_ms(request), request.priority_key

        return sorted(self._requests.awaiting_call.values(), key=order)

    def _remaining_ms(self, now_ms: float, request: TrackedRequest) -> float:
        """Return how long a call may take if the request is to be answered in time.

        Half of the run is assumed to follow the call. A request that must not run twice is worth finishing late,
        as long as it can be answered at all.
        """
        if request.statistics.is_idempotent:
            end_ms = self._deadlines.answer_useful_until_ms(request)
        else:
            end_ms = self._deadlines.answer_by_ms(request)
        return end_ms - self._deadlines.margin_ms - now_ms - request.expected_run_ms / 2

    def _should_skip_call(self, now_ms: float, request: TrackedRequest, is_late: bool, wait_ms: float) -> bool:
        """Whether a request continues without its call.

        The time that it has waited counts as well as the predicted wait, which is too short while calls in flight take
        far longer than the mean.
        """
        statistics = request.statistics
        if not statistics.is_call_optional:
            return False
        waited_ms = now_ms - request.call_phase_began_at_ms
        is_wait_long = max(waited_ms, wait_ms) > MAX_CALL_WAIT_FRACTION * statistics.latency_objective_ms
        return is_late or is_wait_long or now_ms < self._optional_calls_suspended_until_ms

    def _has_free_call_slot(self) -> bool:
        occupied_count = len(self._requests.call_in_flight) + self._usage.lingering_count
        return occupied_count + 1 <= max(1.0, self._limit.limit)

    def _has_core_room(self, safe_concurrency: float) -> bool:
        """Whether another run fits onto the cores, even if all calls in flight return, which nothing can prevent."""
        active_count = self._requests.on_core_count() + len(self._requests.call_in_flight)
        return active_count < safe_concurrency

    def _can_start_call(self, safe_concurrency: float) -> bool:
        """Whether another call is within the limit, and its request can return to the cores without overload."""
        return self._has_free_call_slot() and self._has_core_room(safe_concurrency)

    def _max_duration_ms(self, now_ms: float) -> float:
        in_flight = self._requests.call_in_flight.values()
        return self._usage.max_call_duration_ms(now_ms, in_flight, self._limit.usable_share)

    def _start_call(self, now_ms: float, request: TrackedRequest, timeout_ms: float) -> CallDecision:
        request.time_in_calls_ms += now_ms - request.call_phase_began_at_ms
        request.call_phase_began_at_ms = now_ms
        request.call_ends_at_ms = now_ms + timeout_ms
        return CallDecision(request, RequestState.CALL_IN_FLIGHT, timeout_ms)
