"""Sampling of repeated log events."""

from __future__ import annotations


def is_power_of_two(count: int) -> bool:
    """Whether to log this occurrence of an event: the 1st, 2nd, 4th, 8th and so on are logged.

    Args:
        count: Number of the occurrence, from 1.
    """
    return count & (count - 1) == 0
