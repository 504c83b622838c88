"""Phase jitter: spreads the periodic actions of servers that do not communicate over the whole period.

This module is deterministic: callers pass in the time and the seed. It does no I/O, and does not depend on what is done
at the computed times.
"""

from __future__ import annotations

import random
import re
from math import sqrt

# Multiples of the golden ratio, modulo 1, are spread more evenly than random numbers, however many there are.
GOLDEN_RATIO_CONJUGATE = (sqrt(5) - 1) / 2


def phase_of(server_name: str, seed: int) -> float:
    """Return the point in a period at which a server acts, as a fraction in [0, 1).

    If the name ends in a number, that number determines the fraction, so that any subset of a group of servers is
    spread evenly. The rest of the name shifts the whole group, so that equal numbers in two groups do not coincide. If
    the name does not end in a number, the fraction is a random draw seeded with the name and the seed.
    """
    match = re.fullmatch(r"(.*?)(\d*)", server_name, re.DOTALL)
    assert match is not None  # the pattern matches every string
    stem, number = match.groups()
    if not number:
        return random.Random(f"{server_name} {seed}").random()
    return (random.Random(f"phase of {stem}").random() + int(number) * GOLDEN_RATIO_CONJUGATE) % 1.0


def next_in_phase(now_ms: float, period_ms: float, phase: float) -> float:
    """Return the first time after `now_ms` at the given phase of a period, in Unix milliseconds.

    Periods are counted from the clock's zero, not from the start of the server. Servers that start at the same time
    therefore act at different times. A server whose clock is wrong only acts at another server's point in the period.
    """
    periods = now_ms / period_ms - phase
    return ((periods // 1) + 1 + phase) * period_ms
