"""A power law through measured points: value = factor x size ^ exponent, by least squares on logarithms."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp, log, sqrt

MIN_SIZES = 4  # through fewer sizes a slope says little


@dataclass(frozen=True)
class Point:
    """One measured value at one size."""

    size: float
    value: float


@dataclass(frozen=True)
class Fit:
    """A power law with the standard error of its exponent."""

    factor: float
    exponent: float
    error: float

    def at(self, size: float) -> float:
        """The value that the law gives at this size."""
        return float(self.factor * size**self.exponent)


def fit(points: Sequence[Point]) -> Fit:
    """The power law through these points. Raises ValueError where they are too few sizes, or not positive."""
    if len({point.size for point in points}) < MIN_SIZES:
        raise ValueError(f"no fewer than {MIN_SIZES} sizes are needed")
    if any(point.size <= 0 or point.value <= 0 for point in points):
        raise ValueError("sizes and values have to be over 0")
    sizes = [log(point.size) for point in points]
    values = [log(point.value) for point in points]
    count = len(points)
    mean_size, mean_value = sum(sizes) / count, sum(values) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    pairs = zip(sizes, values, strict=True)
    exponent = sum((size - mean_size) * (value - mean_value) for size, value in pairs) / spread
    start = mean_value - exponent * mean_size
    pairs = zip(sizes, values, strict=True)
    residual = sum((value - start - exponent * size) ** 2 for size, value in pairs)
    error = sqrt(residual / (count - 2) / spread)
    return Fit(exp(start), exponent, error)
