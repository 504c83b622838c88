"""Starved classes: a traffic class of which too few first attempts start goes ahead until it has its fraction.

Where priority weights lie far apart, a crowd would leave the class with the least weight nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import sqrt

from nickelslip.admission.class_statistics import ClassStatistics
from nickelslip.admission.interface import Settings

MIN_ADMISSION_FRACTION = 0.45  # of a class's first attempts
STARVATION_STANDARD_DEVIATIONS = 1.0  # starts that fall short by less may do so by chance


class StarvedClasses:
    """Marks the starved classes, and finds the priority with which they are queued.

    Acts only where clients mark their retries: unmarked ones would pass for first attempts.
    """

    def __init__(self, settings: Settings) -> None:
        self.best_value_per_ms = 0.0  # the most priority weight for its run time that any class has
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Take from the settings how value is counted, and whether retries are marked."""
        self._value_counts_work = settings.value_counts_work
        self._clients_mark_retries = settings.clients_mark_retries

    def update(self, now_ms: float, classes: Iterable[ClassStatistics]) -> None:
        """Mark each class as starved or not, from its first attempts and starts."""
        self.best_value_per_ms = 0.0
        for statistics in classes:
            required_count = MIN_ADMISSION_FRACTION * statistics.first_attempts.total(now_ms).sample_count
            start_count = statistics.starts.total(now_ms).sample_count
            tolerated_shortfall = STARVATION_STANDARD_DEVIATIONS * sqrt(required_count)
            statistics.is_starved = self._clients_mark_retries and start_count + tolerated_shortfall < required_count
            run_ms = 1.0 if self._value_counts_work else statistics.run_ms.mean(now_ms)
            self.best_value_per_ms = max(self.best_value_per_ms, statistics.value_per_ms(run_ms))
