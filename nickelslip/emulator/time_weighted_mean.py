"""The mean of a level over a sliding time window, and the excess of a figure over its budget."""

from __future__ import annotations

from collections import deque
from math import sqrt
from typing import NamedTuple

CHANCE_ROOT_FACTOR = 2.0
CHANCE_CONSTANT = 2.0


def excess(figure: float, budget: float) -> float:
    """Return by how much a figure exceeds its budget, in units of the random variation that is expected.

    The unit is 2 * sqrt(budget) + 2. An excess of up to 1 is attributed to chance.
    """
    return (figure - budget) / (CHANCE_ROOT_FACTOR * sqrt(budget) + CHANCE_CONSTANT)


class LevelStep(NamedTuple):
    """A level and the time from which it applies."""

    from_ms: float
    level: float


class TimeWeightedMean:
    """A level over time, and its mean over a sliding window.

    Args:
        window_ms: The length of the window.
        now_ms: The start time; before it the level counts as 0.
    """

    def __init__(self, window_ms: float, now_ms: float) -> None:
        self._window_ms = window_ms
        self._steps: deque[LevelStep] = deque([LevelStep(now_ms, 0.0)])
        self._closed_area = 0.0  # integral over all kept steps but the last

    def set(self, now_ms: float, level: float) -> None:
        """Set the level from now on."""
        last = self._steps[-1]
        if last.level == level:
            return
        self._closed_area += last.level * (now_ms - last.from_ms)
        self._steps.append(LevelStep(now_ms, level))

    def mean(self, now_ms: float) -> float:
        """Return the mean over the window that ends now."""
        begin_ms = now_ms - self._window_ms
        while len(self._steps) > 1 and self._steps[1].from_ms <= begin_ms:
            step = self._steps.popleft()
            self._closed_area -= step.level * (self._steps[0].from_ms - step.from_ms)
        first = self._steps[0]
        area_before = first.level * max(0.0, begin_ms - first.from_ms)
        last = self._steps[-1]
        return (self._closed_area + last.level * (now_ms - last.from_ms) - area_before) / self._window_ms
