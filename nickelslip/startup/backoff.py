"""Backoff between failed attempts: decorrelated jitter, with a limited number of attempts per time window.

This module is deterministic: callers pass in the time and a random generator. It does not sleep.
"""

from __future__ import annotations

import random
from collections import deque

DECORRELATED_GROWTH = 3.0  # a delay is drawn between the minimum and this multiple of the previous delay


class Backoff:
    """Draws the delay after each failed attempt.

    No time window of `window_ms` has more than `max_attempts` failed attempts, even if successes come between them.
    """

    def __init__(
        self,
        random_source: random.Random,
        min_delay_ms: float,
        max_delay_ms: float,
        max_attempts: int,
        window_ms: float,
    ) -> None:
        self._random = random_source
        self._min_delay_ms = min_delay_ms
        self._max_delay_ms = max_delay_ms
        self._last_delay_ms = min_delay_ms
        self._window_ms = window_ms
        self._attempts_at_ms = deque[float](maxlen=max_attempts)

    def after_failure(self, now_ms: float) -> float:
        """Return the delay before the next attempt, in milliseconds. The failed attempt counts against the limit."""
        self._attempts_at_ms.append(now_ms)
        drawn_ms = self._random.uniform(self._min_delay_ms, DECORRELATED_GROWTH * self._last_delay_ms)
        self._last_delay_ms = min(self._max_delay_ms, drawn_ms)
        if len(self._attempts_at_ms) < (self._attempts_at_ms.maxlen or 0):
            return self._last_delay_ms
        window_ends_in_ms = self._attempts_at_ms[0] + self._window_ms - now_ms
        return max(self._last_delay_ms, window_ends_in_ms)

    def after_success(self) -> None:
        """Start over from the minimum delay at the next failure. Earlier attempts still count against the limit."""
        self._last_delay_ms = self._min_delay_ms
