"""When the controller's timer is due next."""

from __future__ import annotations

from math import inf

from nickelslip.admission.answer_deadlines import AnswerDeadlines
from nickelslip.admission.dependency_limit import DependencyLimit
from nickelslip.admission.interval_measurements import IntervalMeasurements
from nickelslip.admission.tracked_request import TrackedRequests


class WakeUp:
    """The next wake-up: the end of the interval, an answer that is due, or the end of a pause of calls.

    Args:
        requests: All open requests.
        interval: The current adjustment interval.
        deadlines: The deadlines of the requests.
        dependency_limit: The limit on calls in flight, with the time of the next call.
    """

    __slots__ = ("_requests", "_interval", "_deadlines", "_dependency_limit", "_wake_at_ms")

    def __init__(
        self,
        requests: TrackedRequests,
        interval: IntervalMeasurements,
        deadlines: AnswerDeadlines,
        dependency_limit: DependencyLimit,
    ) -> None:
        self._requests = requests
        self._interval = interval
        self._deadlines = deadlines
        self._dependency_limit = dependency_limit
        self._wake_at_ms = inf

    def timer_fired(self, now_ms: float) -> None:
        """Forget a wake-up that has taken place."""
        if now_ms >= self._wake_at_ms:
            self._wake_at_ms = inf

    def next_wake_in_ms(self, now_ms: float) -> float | None:
        """Return the time until the next wake-up, or None if an earlier or equal one is already scheduled."""
        margin_ms = self._deadlines.margin_ms
        wake_at_ms = min(self._interval.ends_at_ms, self._deadlines.next_due_at_ms - margin_ms)
        next_call_at_ms = self._dependency_limit.next_call_at_ms
        if self._requests.awaiting_call and next_call_at_ms > now_ms:
            wake_at_ms = min(wake_at_ms, next_call_at_ms)
        wake_at_ms = max(now_ms + margin_ms / 2, wake_at_ms)
        if wake_at_ms >= self._wake_at_ms:
            return None
        self._wake_at_ms = wake_at_ms
        return wake_at_ms - now_ms
