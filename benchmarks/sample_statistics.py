"""Medians and percentiles of measured samples.

The three percentiles differ only in the sample that they select. Each benchmark keeps the one that its published
figures used, so that figures of different versions can be compared.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import ceil


def upper_median(samples: Sequence[float]) -> float:
    """Return the middle sample, or 0.0 if there are no samples.

    For an even number of samples this is the larger of the two in the middle, unlike `statistics.median`, which returns
    their mean.
    """
    if not samples:
        return 0.0
    return sorted(samples)[len(samples) // 2]


def percentile_by_rounded_rank(samples: Sequence[float], fraction: float) -> float:
    """Return the sample whose 1-based rank is the fraction of the count, rounded; 0.0 if there are no samples.

    The samples may be in any order.
    """
    if not samples:
        return 0.0
    rank = max(1, round(fraction * len(samples)))
    return sorted(samples)[rank - 1]


def percentile_by_ceiling_rank(ordered_samples: Sequence[float], fraction: float) -> float:
    """Return the sample whose 1-based rank is the fraction of the count, rounded up.

    The samples must be in ascending order.

    Raises:
        IndexError: There are no samples.
    """
    rank = ceil(fraction * len(ordered_samples))
    return ordered_samples[max(0, rank - 1)]


def percentile_by_floor_index(ordered_samples: Sequence[float], fraction: float) -> float:
    """Return the sample whose 0-based index is the fraction of the count, rounded down.

    The samples must be in ascending order.

    Raises:
        IndexError: There are no samples.
    """
    index = int(fraction * len(ordered_samples))
    return ordered_samples[min(len(ordered_samples) - 1, index)]
