"""How many dependency calls may be in flight at once, judged by how long each call takes.

A crowded dependency answers later. A call that takes far longer than the best mean so far lowers the limit, any other
call raises it, between a third of this server's share and all of it.
"""

from __future__ import annotations

from math import inf

from nickelslip.admission.class_statistics import INITIAL_CALL_FRACTION
from nickelslip.admission.dependency_usage import has_dependency_share
from nickelslip.admission.estimators import RecentMean
from nickelslip.admission.interface import Settings
from nickelslip.admission.overload_concurrency import OverloadConcurrency

USABLE_SHARE_FRACTION = 0.85  # of this server's share, in the mean
MIN_LIMIT_FRACTION = 1 / 3  # of the share: with so much the dependency is used even while it is crowded
LIMIT_DECREASE_FACTOR = 0.8
LIMIT_INCREASE_FACTOR = 1 + 0.1
SLOW_CALL_FACTOR = 3.0  # a call that takes so many times the best mean shows a crowded dependency
MIN_BEST_MEAN_SAMPLES = 16  # so many recent calls make a mean that can be the best


class DependencyLimit:
    """The limit, and the minimum spacing of calls where it is under one.

    Args:
        settings: This server's share of the dependency.
        window_ms: How far back the mean duration of calls looks.
        overload: Bounds the calls of a server that knows of no share.
        now_ms: The present moment.
    """

    __slots__ = (
        "share",
        "call_duration_ms",
        "next_call_at_ms",
        "_limit",
        "_external_limit",
        "_best_mean_ms",
        "_tick_ms",
    )

    def __init__(self, settings: Settings, window_ms: float, overload: OverloadConcurrency, now_ms: float) -> None:
        shortest_objective_ms = min(each.latency_objective_ms for each in settings.traffic_classes)
        self.call_duration_ms = RecentMean(shortest_objective_ms * INITIAL_CALL_FRACTION, window_ms)
        self.share = 1.0
        self.next_call_at_ms = now_ms
        self._limit = 1.0
        self._external_limit = inf
        self._best_mean_ms = inf
        self.apply_settings(settings, overload)

    def apply_settings(self, settings: Settings, overload: OverloadConcurrency) -> None:
        """Take the share from the settings. The limit keeps its fraction of it: to find it again would take seconds."""
        fraction = self._limit / self.share
        self.share = overload.when_warm
        if has_dependency_share(settings):
            self.share = settings.dependency_concurrency_share * USABLE_SHARE_FRACTION
        self._limit = fraction * self.share
        self._tick_ms = settings.tick_ms

    @property
    def limit(self) -> float:
        """How many calls may be in flight; under one, calls are spaced."""
        return min(self._limit, self._external_limit)

    def set_external_limit(self, now_ms: float, max_calls: float, pause_ms: float) -> None:
        """Take a bound from outside, while the server starts slowly or the dependency does not answer.

        Args:
            now_ms: The present moment.
            max_calls: So many calls at most.
            pause_ms: No call for so long.
        """
        self._external_limit = max_calls
        self.next_call_at_ms = max(self.next_call_at_ms, now_ms + pause_ms)

    def end_pause(self, now_ms: float) -> None:
        """Allow the next call at once: with other settings the spacing of calls may be another one."""
        self.next_call_at_ms = now_ms

    def record_call(self, now_ms: float, duration_ms: float, read_delay_ms: float) -> None:
        """Adapt the limit to a call that the dependency has worked on.

        The time for which the reply may have lain unread is not the dependency's, and a duration under a tick tells
        nothing. Where calls vary widely the limit is a little too low.
        """
        self.call_duration_ms.record(now_ms, duration_ms)
        if duration_ms - read_delay_ms > SLOW_CALL_FACTOR * max(self._best_mean_ms, self._tick_ms):
            self._limit = max(MIN_LIMIT_FRACTION * self.share, self._limit * LIMIT_DECREASE_FACTOR)
        else:
            self._limit = min(self.share, self._limit * LIMIT_INCREASE_FACTOR)
        total_ms, call_count = self.call_duration_ms.recent_samples(now_ms)
        if call_count >= MIN_BEST_MEAN_SAMPLES:
            self._best_mean_ms = min(self._best_mean_ms, total_ms / call_count)
        self.next_call_at_ms = now_ms + duration_ms * max(0.0, 1 / self._limit - 1)
