"""Which occurrences of a repeated event are logged."""

from __future__ import annotations


def is_power_of_two(count: int) -> bool:
    """Whether the occurrence with this number is logged: the 1st, 2nd, 4th, 8th and so on.

    Args:
        count: Number of the occurrence; the first one is 1.
    """
    return count & (count - 1) == 0
