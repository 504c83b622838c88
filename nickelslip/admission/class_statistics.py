"""A traffic class as the rules use it, with what was learned of its requests."""

from __future__ import annotations

from nickelslip.admission.estimators import ClientTimeoutHistogram, RecentMean, SlidingWindowSum
from nickelslip.admission.interface import RetrySafety, TrafficClass

MIN_LATE_VALUE_FRACTION = 0.5  # a class that keeps less of its value after its objective is judged by the objective
MIN_RUN_MS = 1e-9  # keeps a quotient finite
INITIAL_RUN_FRACTION = 1 / 6  # of the latency objective: the guess of a run's time until one was measured
INITIAL_CALL_FRACTION = 1 / 32  # of the latency objective: the guess of a dependency call's time
# Starts are counted over so many learning windows, since a small server starts few requests of each class in one.
START_COUNT_WINDOWS = 4.0


class ClassStatistics:
    """The settings of one traffic class and the statistics of its requests.

    Args:
        traffic_class: The class as it was configured.
        window_ms: How far back the recent means look.
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
        "is_worthless_when_late",
        "makes_calls",
        "is_call_optional",
        "run_ms",
        "run_ms_per_hinted_ms",
        "at_calls_ms",
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
        self.is_worthless_when_late = traffic_class.late_value_fraction < MIN_LATE_VALUE_FRACTION
        self.makes_calls = traffic_class.makes_calls
        self.is_call_optional = traffic_class.degraded_value_fraction > 0
        self.run_ms = RecentMean(objective_ms * INITIAL_RUN_FRACTION, window_ms)  # time on a core
        self.run_ms_per_hinted_ms = RecentMean(1.0, window_ms)  # how true cost hints are
        self.at_calls_ms = RecentMean(objective_ms * INITIAL_CALL_FRACTION if self.makes_calls else 0.0, window_ms)
        self.first_attempts = SlidingWindowSum(START_COUNT_WINDOWS * window_ms)
        self.starts = SlidingWindowSum(START_COUNT_WINDOWS * window_ms)
        self.is_starved = False
        self.client_timeouts = ClientTimeoutHistogram()

    def inherit(self, previous: ClassStatistics) -> None:
        """Take over what was learned under earlier settings of the same class."""
        self.run_ms = previous.run_ms
        self.run_ms_per_hinted_ms = previous.run_ms_per_hinted_ms
        self.at_calls_ms = previous.at_calls_ms
        self.first_attempts = previous.first_attempts
        self.starts = previous.starts
        self.client_timeouts = previous.client_timeouts

    def record_arrival(self, now_ms: float, is_retry: bool) -> None:
        """Count a first attempt; retries are not counted."""
        self.first_attempts.add(now_ms, 1.0, float(not is_retry))

    def record_start(self, now_ms: float) -> None:
        """Count a request that starts."""
        self.starts.add(now_ms, 1.0)

    def record_completed_run(self, now_ms: float, core_ms: float, call_ms: float, cost_hint_ms: float | None) -> None:
        """Learn from a run that ended well: its time on a core, its time at calls, and how true its cost hint was."""
        self.run_ms.record(now_ms, core_ms)
        if cost_hint_ms:
            self.run_ms_per_hinted_ms.record(now_ms, core_ms / cost_hint_ms)
        self.at_calls_ms.record(now_ms, call_ms)

    def value_per_ms(self, run_ms: float) -> float:
        """Return the priority weight per millisecond of run time."""
        return self.priority_weight / max(run_ms, MIN_RUN_MS)

    def expected_run_ms(self, now_ms: float, cost_hint_ms: float | None) -> float:
        """Return the expected time on a core: by the cost hint where there is one, else the class's mean."""
        if cost_hint_ms is None:
            return self.run_ms.mean(now_ms)
        return cost_hint_ms * self.run_ms_per_hinted_ms.mean(now_ms)
