"""Measures this server's use of the shared dependency, as calls in flight over time, against its share.

The share is a mean over a window. Abandoned calls count for as long as they occupy the dependency.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from nickelslip.admission.estimators import DEFAULT_BUCKET_COUNT, SlidingWindowSum
from nickelslip.admission.interface import Settings
from nickelslip.admission.tracked_request import TrackedRequest

# One more bucket than the window has, because one bucket is always only partly inside the window.
COUNTED_BUCKETS = DEFAULT_BUCKET_COUNT + 1


def has_dependency_share(settings: Settings) -> bool:
    """Whether the settings name this server's share of the dependency."""
    return settings.dependency_concurrency_share > 0 and settings.dependency_window_ms > 0


class DependencyUsage:
    """Accumulates the time of calls in flight.

    Args:
        settings: Provides the window of the share, and how long abandoned calls linger.
        default_window_ms: The window if the settings give no share.
        now_ms: The time at which the measurement starts.
    """

    __slots__ = ("_window_ms", "_in_flight_ms", "_accumulated_until_ms", "_lingering_until_ms", "_linger_ms")

    def __init__(self, settings: Settings, default_window_ms: float, now_ms: float) -> None:
        self._window_ms = settings.dependency_window_ms if has_dependency_share(settings) else default_window_ms
        self._in_flight_ms = SlidingWindowSum(self._window_ms * COUNTED_BUCKETS / DEFAULT_BUCKET_COUNT)
        self._accumulated_until_ms = now_ms
        self._lingering_until_ms: list[float] = []
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Read from the settings how long abandoned calls linger. The window never changes."""
        self._linger_ms = settings.abandoned_call_linger_ms

    @property
    def lingering_count(self) -> int:
        """How many abandoned calls still occupy the dependency."""
        return len(self._lingering_until_ms)

    def record_abandoned(self, now_ms: float) -> None:
        """Record an abandoned call, which still occupies the dependency for `abandoned_call_linger_ms`."""
        self._lingering_until_ms.append(now_ms + self._linger_ms)

    def accumulate_until(self, now_ms: float, in_flight_count: int) -> None:
        """Add the call time since the last update. Must be called before the number of calls changes."""
        occupied_count = in_flight_count + self.lingering_count
        self._in_flight_ms.add(now_ms, occupied_count * (now_ms - self._accumulated_until_ms))
        self._accumulated_until_ms = now_ms
        self._lingering_until_ms = [until_ms for until_ms in self._lingering_until_ms if until_ms > now_ms]

    def max_call_duration_ms(self, now_ms: float, in_flight: Iterable[TrackedRequest], share: float) -> float:
        """Return how long another call may last without any future window mean exceeding the share.

        Calls in flight are assumed to last until their timeout, and to linger after it.
        """
        remaining_ms = [request.call_ends_at_ms - now_ms + self._linger_ms for request in in_flight]
        remaining_ms += [until_ms - now_ms for until_ms in self._lingering_until_ms]
        # If the calls fit even if each lasts for the whole window, the buckets need not be checked one by one.
        max_future_calls = (len(remaining_ms) + 1) * COUNTED_BUCKETS / DEFAULT_BUCKET_COUNT
        if self._in_flight_ms.total(now_ms).amount <= (share - max_future_calls) * self._window_ms:
            return inf
        max_duration_ms = inf
        for after_ms, past_use_ms in self._in_flight_ms.remaining_after_each_bucket(now_ms):
            committed_ms = sum(min(max(span_ms, 0.0), after_ms) for span_ms in remaining_ms)
            free_ms = share * self._window_ms - past_use_ms - committed_ms
            if free_ms < after_ms:
                max_duration_ms = min(max_duration_ms, free_ms - self._linger_ms)
        return max_duration_ms
