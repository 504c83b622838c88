"""Configuration and request statistics of a traffic class, as the rules use them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from nickelslip.admission.estimators import ClientTimeoutHistogram, RecentMean, SlidingWindowSum
from nickelslip.admission.interface import RetrySafety, TrafficClass

MIN_LATE_VALUE_FRACTION = 0.5  # a class whose late answers keep less of their value must meet its objective
MIN_RUN_MS = 1e-9  # avoids a division by zero
INITIAL_RUN_FRACTION = 1 / 6  # of the latency objective: run time assumed until one was measured
INITIAL_CALL_FRACTION = 1 / 32  # of the latency objective: duration assumed for a dependency call
# Upper bound of a sample of a run's time over its hint. Otherwise one hint close to zero would determine the mean.
MAX_RUN_MS_PER_HINTED_MS = 100.0
# Starts are counted over several statistics windows, because a small server starts few requests of a class in one.
START_COUNT_WINDOWS = 4.0


class ClassStatistics:
    """The configuration of one traffic class and the statistics of its requests.

    Args:
        traffic_class: The configuration of the class.
        window_ms: Window of the recent means.
    """

    __slots__ = (
        "name",
        "priority_weight",
        "latency_objective_ms",
        "timeout_ms",
        "is_idempotent",
        "needs_idempotency_record",
        "idempotency_window_ms",
        "objective_stretch",
        "must_meet_objective",
        "makes_calls",
        "is_call_optional",
        "run_ms",
        "run_ms_per_hinted_ms",
        "time_in_calls_ms",
        "first_attempts",
        "starts",
        "is_starved",
        "client_timeouts",
    )

    def __init__(self, traffic_class: TrafficClass, window_ms: float) -> None:
        objective_ms = traffic_class.latency_objective_ms
        self.name = traffic_class.name
        self.priority_weight = traffic_class.priority_weight
        self.latency_objective_ms = objective_ms
        self.timeout_ms = traffic_class.timeout_ms
        self.is_idempotent = traffic_class.retry_safety is RetrySafety.IDEMPOTENT
        self.needs_idempotency_record = traffic_class.retry_safety is RetrySafety.IDEMPOTENCY_KEY
        self.idempotency_window_ms = traffic_class.idempotency_window_ms
        self.objective_stretch = traffic_class.objective_stretch
        self.must_meet_objective = traffic_class.late_value_fraction < MIN_LATE_VALUE_FRACTION
        self.makes_calls = traffic_class.makes_calls
        self.is_call_optional = traffic_class.degraded_value_fraction > 0
        self.run_ms = RecentMean(objective_ms * INITIAL_RUN_FRACTION, window_ms)  # time on a core
        self.run_ms_per_hinted_ms = RecentMean(1.0, window_ms)  # accuracy of the cost hints
        self.time_in_calls_ms = RecentMean(objective_ms * INITIAL_CALL_FRACTION if self.makes_calls else 0.0, window_ms)
        self.first_attempts = SlidingWindowSum(START_COUNT_WINDOWS * window_ms)
        self.starts = SlidingWindowSum(START_COUNT_WINDOWS * window_ms)
        self.is_starved = False
        self.client_timeouts = ClientTimeoutHistogram()

    def inherit(self, previous: ClassStatistics) -> None:
        """Take over the statistics that the same class has collected under earlier settings."""
        self.run_ms = previous.run_ms
        self.run_ms_per_hinted_ms = previous.run_ms_per_hinted_ms
        self.time_in_calls_ms = previous.time_in_calls_ms
        self.first_attempts = previous.first_attempts
        self.starts = previous.starts
        self.client_timeouts = previous.client_timeouts

    def record_arrival(self, now_ms: float, is_retry: bool) -> None:
        """Count the arrival if it is a first attempt."""
        self.first_attempts.add(now_ms, 1.0, float(not is_retry))  # only the sample count is used

    def record_start(self, now_ms: float) -> None:
        """Count the start of a request."""
        self.starts.add(now_ms, 1.0)

    def record_completed_run(self, now_ms: float, core_ms: float, call_ms: float, cost_hint_ms: float | None) -> None:
        """Record the core time, the time in calls and the cost hint of a run that has succeeded."""
        self.run_ms.record(now_ms, core_ms)
        if cost_hint_ms:
            self.run_ms_per_hinted_ms.record(now_ms, min(core_ms / cost_hint_ms, MAX_RUN_MS_PER_HINTED_MS))
        self.time_in_calls_ms.record(now_ms, call_ms)

    def value_per_ms(self, run_ms: float) -> float:
        """Return the priority weight per millisecond of run time."""
        return self.priority_weight / max(run_ms, MIN_RUN_MS)

    def expected_run_ms(self, now_ms: float, cost_hint_ms: float | None) -> float:
        """Return the expected time on a core, from the cost hint if there is one, else the mean of the class."""
        if cost_hint_ms is None:
            return self.run_ms.mean(now_ms)
        return cost_hint_ms * self.run_ms_per_hinted_ms.mean(now_ms)


def statistics_by_class(
    traffic_classes: Iterable[TrafficClass], window_ms: float, previous: Mapping[str, ClassStatistics]
) -> dict[str, ClassStatistics]:
    """Return the statistics of each class by its name; those that it has collected before are kept."""
    statistics_by_name = {}
    for traffic_class in traffic_classes:
        statistics = ClassStatistics(traffic_class, window_ms)
        if traffic_class.name in previous:
            statistics.inherit(previous[traffic_class.name])
        statistics_by_name[traffic_class.name] = statistics
    return statistics_by_name
