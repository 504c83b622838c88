"""Phase jitter: when in a period each server acts, so that servers that know nothing of each other spread out.

Arithmetic and seeded chance only: nothing here reads a clock, does I/O or knows what is done at the times it names.
"""

from __future__ import annotations

import random
import re
from math import sqrt

# Multiples of the golden ratio fill a circle more evenly than chance does, however many of them there are.
GOLDEN_RATIO_CONJUGATE = (sqrt(5) - 1) / 2


def phase_of(server_name: str, seed: int) -> float:
    """Return the fraction of a period at which a server acts, from 0 to under 1.

    A name that ends in a number is placed by that number, so that any subset of the servers of a group is spread
    evenly; the rest of the name rotates the whole group, so that n7 of two groups do not coincide. A name without a
    number is placed by a random draw from the name and the seed.
    """
    match = re.fullmatch(r"(.*?)(\d*)", server_name, re.DOTALL)
    assert match is not None  # the pattern matches every string
    stem, number = match.groups()
    if not number:
        return random.Random(f"{server_name} {seed}").random()
    return (random.Random(f"phase of {stem}").random() + int(number) * GOLDEN_RATIO_CONJUGATE) % 1.0


def next_in_phase(now_ms: float, period_ms: float, phase: float) -> float:
    """Return the first moment after `now_ms` at the given phase of a period, in Unix milliseconds.

    Periods are counted from the clock's zero. Servers that were started in the same instant stay apart, and a server
    whose clock is off merely trades its place with another.
    """
    periods = now_ms / period_ms - phase
    return ((periods // 1) + 1 + phase) * period_ms
