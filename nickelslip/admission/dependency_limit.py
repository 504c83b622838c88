"""The adaptive limit on dependency calls in flight, based on the duration of each call.

An overloaded dependency responds more slowly. A call that takes far longer than the baseline, which is the lowest
mean duration so far, lowers the limit. Any other call raises it, except one that the dependency has certainly not
executed. The limit stays between a third of the usable share and the whole usable share.
"""

from __future__ import annotations

from math import inf

from nickelslip.admission.class_statistics import INITIAL_CALL_FRACTION
from nickelslip.admission.dependency_usage import has_dependency_share
from nickelslip.admission.estimators import RecentMean
from nickelslip.admission.interface import Settings
from nickelslip.admission.overload_concurrency import OverloadConcurrency

USABLE_SHARE_FRACTION = 0.85  # of this server's share, on average
MIN_LIMIT_FRACTION = 1 / 3  # of the usable share: the minimum use of the dependency while it is overloaded
LIMIT_DECREASE_FACTOR = 0.8
LIMIT_INCREASE_FACTOR = 1 + 0.1
SLOW_CALL_FACTOR = 3.0  # a call that exceeds the baseline by this factor shows an overloaded dependency
MIN_BASELINE_SAMPLES = 16  # recent calls needed for their mean to become the baseline


class DependencyLimit:
    """The limit on calls in flight, and the minimum spacing of calls while the limit is below one.

    Args:
        settings: Provides this server's share of the dependency.
        window_ms: Window of the mean call duration.
        overload: Bounds the calls if the settings give no share.
        now_ms: The current time.
    """

    __slots__ = (
        "usable_share",
        "call_duration_ms",
        "next_call_at_ms",
        "_limit",
        "_external_limit",
        "_baseline_ms",
        "_tick_ms",
    )

    def __init__(self, settings: Settings, window_ms: float, overload: OverloadConcurrency, now_ms: float) -> None:
        shortest_objective_ms = min(each.latency_objective_ms for each in settings.traffic_classes)
        self.call_duration_ms = RecentMean(shortest_objective_ms * INITIAL_CALL_FRACTION, window_ms)
        self.usable_share = 1.0
        self.next_call_at_ms = now_ms
        self._limit = 1.0
        self._external_limit = inf
        self._baseline_ms = inf
        self.apply_settings(settings, overload)

    def apply_settings(self, settings: Settings, overload: OverloadConcurrency) -> None:
        """Read the share from the settings. The limit scales with it, because adapting again would take seconds."""
        fraction = self._limit / self.usable_share
        self.usable_share = overload.when_warm
        if has_dependency_share(settings):
            self.usable_share = settings.dependency_concurrency_share * USABLE_SHARE_FRACTION
        self._limit = fraction * self.usable_share
        self._tick_ms = settings.tick_ms

    @property
    def limit(self) -> float:
        """How many calls may be in flight. Below one, calls are spaced in time."""
        return min(self._limit, self._external_limit)

    def set_external_limit(self, now_ms: float, max_calls: float, pause_ms: float) -> None:
        """Apply a limit of the server, which sets one during slow start or while the dependency does not respond.

        Args:
            now_ms: The current time.
            max_calls: Maximum number of calls in flight.
            pause_ms: Time for which no call may start.
        """
        self._external_limit = max_calls
        self.next_call_at_ms = max(self.next_call_at_ms, now_ms + pause_ms)

    def end_pause(self, now_ms: float) -> None:
        """Allow the next call at once, because new settings may change the spacing of calls."""
        self.next_call_at_ms = now_ms

    def record_call(self, now_ms: float, duration_ms: float, read_delay_ms: float) -> None:
        """Adjust the limit after a call that the dependency may have executed.

        The read delay is subtracted, because the reply may have been read that late. The baseline counts as at least
        one tick, since shorter durations are not significant. If durations vary widely, the limit is slightly too low.
        """
        self.call_duration_ms.record(now_ms, duration_ms)
        if duration_ms - read_delay_ms > SLOW_CALL_FACTOR * max(self._baseline_ms, self._tick_ms):
            self._limit = max(MIN_LIMIT_FRACTION * self.usable_share, self._limit * LIMIT_DECREASE_FACTOR)
        else:
            self._limit = min(self.usable_share, self._limit * LIMIT_INCREASE_FACTOR)
        total_ms, call_count = self.call_duration_ms.recent_samples(now_ms)
        if call_count >= MIN_BASELINE_SAMPLES:
            self._baseline_ms = min(self._baseline_ms, total_ms / call_count)
        self.next_call_at_ms = now_ms + duration_ms * max(0.0, 1 / self._limit - 1)
