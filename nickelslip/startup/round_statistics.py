"""Detects whether a dependency answers a round of calls more slowly than usual.

Rounds are compared by their mean response times, since single response times vary by chance far more than an overload
changes them. This module does not read a clock.
"""

from __future__ import annotations

from math import inf

MIN_ROUND_ANSWERS = 4
SLOW_ROUND_RATIO = 2.0  # a round whose mean exceeds this multiple of the baseline indicates an overload
BASELINE_WEIGHT = 0.3  # weight of a fast round's mean in the moving average
# A gradual overload must not raise the baseline at once, but the dependency may also have become slower permanently.
MAX_BASELINE_GROWTH = 1.05  # per round


class RoundStatistics:
    """Statistics of the current round of calls, and a baseline of earlier rounds."""

    def __init__(self) -> None:
        self._answer_count = 0
        self._rejected_count = 0  # rejected and timed-out calls
        self._mean_ms = 0.0  # mean response time of the other calls
        self._baseline_ms = inf  # inf until the first round has been evaluated

    def add_answer(self, took_ms: float) -> None:
        """Count an answer; `took_ms` is inf for a rejected or timed-out call, which always counts as slow."""
        self._answer_count += 1
        if took_ms == inf:
            self._rejected_count += 1
        else:
            self._mean_ms += (took_ms - self._mean_ms) / (self._answer_count - self._rejected_count)

    def is_complete(self, max_concurrent_calls: float) -> bool:
        """Whether MIN_ROUND_ANSWERS calls, and at least as many as may be in flight at once, were answered."""
        return self._answer_count >= max(MIN_ROUND_ANSWERS, max_concurrent_calls)

    def discard_round(self) -> None:
        """Begin a new round without evaluating the current one. The first answer overwrites the mean."""
        self._answer_count = 0
        self._rejected_count = 0

    def evaluate_round(self) -> bool:
        """Return whether the round was slow, update the baseline and begin a new round."""
        is_slow = 2 * self._rejected_count > self._answer_count or self._mean_ms > SLOW_ROUND_RATIO * self._baseline_ms
        self._baseline_ms = self._updated_baseline_ms(is_slow)
        self.discard_round()
        self._mean_ms = 0.0
        return is_slow

    def _updated_baseline_ms(self, is_slow: bool) -> float:
        max_baseline_ms = self._baseline_ms * MAX_BASELINE_GROWTH
        if is_slow:
            return max_baseline_ms
        if self._baseline_ms == inf:
            return self._mean_ms
        moving_average_ms = self._baseline_ms + BASELINE_WEIGHT * (self._mean_ms - self._baseline_ms)
        return min(max_baseline_ms, moving_average_ms)
