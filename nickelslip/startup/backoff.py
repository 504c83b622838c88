"""Backoff between attempts at something that does not answer: decorrelated jitter, within a budget of attempts.

Arithmetic and seeded chance only: nothing here reads a clock or waits.
"""

from __future__ import annotations

import random
from collections import deque

DECORRELATED_GROWTH = 3.0  # a delay is drawn between the minimum and so many times the previous delay


class Backoff:
    """Draws the delay before each attempt.

    In each span no more attempts are made than the budget holds, however often success and failure alternate.
    """

    def __init__(
        self,
        random_source: random.Random,
        min_delay_ms: float,
        max_delay_ms: float,
        attempt_budget: int,
        span_ms: float,
    ) -> None:
        self._random = random_source
        self._min_delay_ms = min_delay_ms
        self._max_delay_ms = max_delay_ms
        self._last_delay_ms = min_delay_ms
        self._span_ms = span_ms
        self._attempts_at_ms = deque[float](maxlen=attempt_budget)

    def after_failure(self, now_ms: float) -> float:
        """Return the delay before the next attempt, in milliseconds. The attempt that failed counts."""
        self._attempts_at_ms.append(now_ms)
        drawn_ms = self._random.uniform(self._min_delay_ms, DECORRELATED_GROWTH * self._last_delay_ms)
        self._last_delay_ms = min(self._max_delay_ms, drawn_ms)
        if len(self._attempts_at_ms) < (self._attempts_at_ms.maxlen or 0):
            return self._last_delay_ms
        budget_free_in_ms = self._attempts_at_ms[0] + self._span_ms - now_ms
        return max(self._last_delay_ms, budget_free_in_ms)

    def after_success(self) -> None:
        """Start over from the minimum delay at the next failure. What was spent of the budget stays spent."""
        self._last_delay_ms = self._min_delay_ms
