"""Whether a dependency answers a round of calls in its usual time.

Rounds are compared by their means, since single answers differ by chance far more than an overload makes them differ.
Arithmetic only: nothing here reads a clock.
"""

from __future__ import annotations

from math import inf

MIN_ROUND_ANSWERS = 4
SLOW_ROUND_RATIO = 2.0  # a round whose mean is so many times the usual one shows an overload
USUAL_MEAN_WEIGHT = 0.3  # of a quick round's mean in the usual one
# An overload that comes slowly must not become usual at once, yet the dependency may have become slower for good.
MAX_USUAL_MEAN_GROWTH = 1.05  # by a round


class RoundStatistics:
    """The answers of the present round, and the mean of earlier rounds."""

    def __init__(self) -> None:
        self._answer_count = 0
        self._rejected_count = 0  # answers that are slow whatever they took
        self._mean_ms = 0.0  # of the other answers
        self._usual_mean_ms = inf  # until a round was evaluated

    def add_answer(self, took_ms: float) -> None:
        """Count an answer; inf for a call that was rejected or given up, which is slow in any case."""
        self._answer_count += 1
        if took_ms == inf:
            self._rejected_count += 1
        else:
            self._mean_ms += (took_ms - self._mean_ms) / (self._answer_count - self._rejected_count)

    def is_complete(self, max_concurrent_calls: float) -> bool:
        """Whether as many calls were answered as may be in flight at once."""
        return self._answer_count >= max(MIN_ROUND_ANSWERS, max_concurrent_calls)

    def discard_round(self) -> None:
        """Begin a new round without evaluating the present one; the first answer replaces its mean."""
        self._answer_count = 0
        self._rejected_count = 0

    def evaluate_round(self) -> bool:
        """Return whether the round was slow, learn from it and begin a new one."""
        is_slow = (
            2 * self._rejected_count > self._answer_count or self._mean_ms > SLOW_ROUND_RATIO * self._usual_mean_ms
        )
        self._usual_mean_ms = self._usual_mean_after(is_slow)
        self.discard_round()
        self._mean_ms = 0.0
        return is_slow

    def _usual_mean_after(self, is_slow: bool) -> float:
        max_mean_ms = self._usual_mean_ms * MAX_USUAL_MEAN_GROWTH
        if is_slow:
            return max_mean_ms
        if self._usual_mean_ms == inf:
            return self._mean_ms
        learned_ms = self._usual_mean_ms + USUAL_MEAN_WEIGHT * (self._mean_ms - self._usual_mean_ms)
        return min(max_mean_ms, learned_ms)
