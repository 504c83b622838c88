"""Medians and percentiles of measured samples.

The three percentiles differ only in the element that they pick. Each benchmark keeps the one by which its published
figures were made, so that figures of different versions can be compared.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import ceil


def upper_median(samples: Sequence[float]) -> float:
    """Return the middle sample.

    Of an even number of samples it is the larger of the two in the middle, unlike `statistics.median`, which returns
    their mean. It is 0.0 of no samples.
    """
    if not samples:
        return 0.0
    return sorted(samples)[len(samples) // 2]


def percentile_by_rounded_rank(samples: Sequence[float], fraction: float) -> float:
    """Return the sample whose rank, counted from 1, is the rounded fraction of the count.

    The samples may be in any order. It is 0.0 of no samples.
    """
    if not samples:
        return 0.0
    rank = max(1, round(fraction * len(samples)))
    return sorted(samples)[rank - 1]


def percentile_by_ceiling_rank(ordered_samples: Sequence[float], fraction: float) -> float:
    """Return the sample whose rank, counted from 1, is the fraction of the count rounded up.

    The samples have to be in ascending order. Raises IndexError of no samples.
    """
    rank = ceil(fraction * len(ordered_samples))
    return ordered_samples[max(0, rank - 1)]


def percentile_by_floor_index(ordered_samples: Sequence[float], fraction: float) -> float:
    """Return the sample whose index, counted from 0, is the fraction of the count rounded down.

    The samples have to be in ascending order. Raises IndexError of no samples.
    """
    index = int(fraction * len(ordered_samples))
    return ordered_samples[min(len(ordered_samples) - 1, index)]
