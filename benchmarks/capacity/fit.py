"""Fits a power law to measured points: value = factor x size ^ exponent, by least squares on logarithms."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp, log, sqrt

MIN_SIZES = 4  # a slope through fewer sizes is not meaningful


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
    standard_error: float

    def at(self, size: float) -> float:
        """Return the value that the power law predicts at this size."""
        return float(self.factor * size**self.exponent)


def fit(points: Sequence[Point]) -> Fit:
    """Fit a power law to the points.

    Raises:
        ValueError: There are fewer than MIN_SIZES distinct sizes, or a size or value is not positive.
    """
    if len({point.size for point in points}) < MIN_SIZES:
        raise ValueError(f"a fit needs at least {MIN_SIZES} distinct sizes")
    if any(point.size <= 0 or point.value <= 0 for point in points):
        raise ValueError("sizes and values must be positive")
    sizes = [log(point.size) for point in points]
    values = [log(point.value) for point in points]
    count = len(points)
    mean_size, mean_value = sum(sizes) / count, sum(values) / count
    size_variation = sum((size - mean_size) ** 2 for size in sizes)
    pairs = zip(sizes, values, strict=True)
    exponent = sum((size - mean_size) * (value - mean_value) for size, value in pairs) / size_variation
    intercept = mean_value - exponent * mean_size
    pairs = zip(sizes, values, strict=True)
    residual = sum((value - intercept - exponent * size) ** 2 for size, value in pairs)
    standard_error = sqrt(residual / (count - 2) / size_variation)
    return Fit(exp(intercept), exponent, standard_error)
