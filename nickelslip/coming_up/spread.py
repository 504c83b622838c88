"""Spread in time without knowing the others: phases of what is done again and again, and backoff between attempts.

Owns both, as arithmetic and seeded chance. Nothing here reads a clock, does I/O or knows what is done at the times that
it names.
"""

from __future__ import annotations

import random
import re
from collections import deque
from math import sqrt

GOLDEN = (sqrt(5) - 1) / 2  # multiples of it fill a circle more evenly than chance does, however many there are
GROWTH = 3.0  # a pause is drawn from the least to so many times the last one: "decorrelated"


def phase(name: str, seed: int) -> float:
    """Where in a period this server acts, from 0 to under 1. Servers whose names end in a number are set apart by it
    evenly, whichever of them are there; the rest of the name turns the whole circle, so that n7 of two groups do not
    meet. A name without a number falls where its letters, and the seed, have it."""
    stem, number = re.fullmatch(r"(.*?)(\d*)", name, re.DOTALL).groups()  # type: ignore[union-attr]
    if not number:
        return random.Random(f"{name} {seed}").random()
    return (random.Random(f"phase of {stem}").random() + int(number) * GOLDEN) % 1.0


def next_in_phase(now: float, period_ms: float, part: float) -> float:
    """The first time after now that lies at this part of a period, periods counted from the clock's own zero. Servers
    that were started in the same instant keep apart, and one whose clock is off only trades places."""
    periods = now / period_ms - part
    return ((periods // 1) + 1 + part) * period_ms


class Backoff:
    """Backoff between attempts at something that does not answer: decorrelated, and within a budget. In each span of
    time no more attempts are made than the budget has, however often success and failure take turns."""

    def __init__(self, chance: random.Random, least_ms: float, most_ms: float, budget: int, span_ms: float) -> None:
        self._random, self._least, self._most = chance, least_ms, most_ms
        self._last = least_ms
        self._span, self._made = span_ms, deque[float](maxlen=budget)

    def after_failure(self, now: float) -> float:
        """The pause before the next attempt, in milliseconds; the attempt that failed counts."""
        self._made.append(now)
        self._last = min(self._most, self._random.uniform(self._least, GROWTH * self._last))
        full = len(self._made) == self._made.maxlen
        return max(self._last, self._made[0] + self._span - now if full else 0.0)

    def after_success(self) -> None:
        """It answered: the next failure is a first one again. What was spent of the budget stays spent."""
        self._last = self._least
