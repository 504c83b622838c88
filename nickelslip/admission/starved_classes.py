"""Starved classes: traffic classes with too few starts for their number of first attempts.

They are queued with the highest value of all classes until their starts reach a minimum fraction of their first
attempts. If priority weights differ widely, an overload would otherwise leave no slots to the class with the lowest
weight.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import sqrt

from nickelslip.admission.class_statistics import ClassStatistics
from nickelslip.admission.interface import Settings

MIN_ADMISSION_FRACTION = 0.45  # of a class's first attempts
STARVATION_STANDARD_DEVIATIONS = 1.0  # a smaller shortfall of starts may be random


class StarvedClasses:
    """Marks the starved classes, and computes the value with which they are queued.

    Classes are marked only if clients mark their retries. Unmarked retries would count as first attempts.
    """

    def __init__(self, settings: Settings) -> None:
        self.best_value_per_ms = 0.0  # highest priority weight per run time of all classes
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Read from the settings how value is counted, and whether retries are marked."""
        self._is_value_per_work_unit = settings.is_value_per_work_unit
        self._clients_mark_retries = settings.clients_mark_retries

    def update(self, now_ms: float, classes: Iterable[ClassStatistics]) -> None:
        """Mark each class as starved or not, from its first attempts and starts."""
        self.best_value_per_ms = 0.0
        for statistics in classes:
            required_count = MIN_ADMISSION_FRACTION * statistics.first_attempts.total(now_ms).sample_count
            start_count = statistics.starts.total(now_ms).sample_count
            tolerated_shortfall = STARVATION_STANDARD_DEVIATIONS * sqrt(required_count)
            statistics.is_starved = self._clients_mark_retries and start_count + tolerated_shortfall < required_count
            run_ms = 1.0 if self._is_value_per_work_unit else statistics.run_ms.mean(now_ms)
            self.best_value_per_ms = max(self.best_value_per_ms, statistics.value_per_ms(run_ms))
