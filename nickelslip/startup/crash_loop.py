"""Servers that die in their first seconds, again and again.

Owns what is made of the times of earlier starts: how long this one waits before it comes up. Free of I/O and clock; the
file is kept by crash_file.py. It must never keep a server down that has run well, nor for longer than the bound.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

EARLY_MS = 20_000.0  # a start that did not last so long died early
LEAST_MS, MOST_MS = 500.0, 60_000.0  # the first pause, and the longest
FREE = 1  # early deaths in a row for which nobody waits: a restart by hand is at once
ROW_MOST = 32  # no more of them are counted


@dataclass(frozen=True)
class Starts:
    """What is known of earlier starts: how many in a row died early, and when the latest began (Unix milliseconds) and
    whether it is known to have lasted. `begun` of 0: none is known."""

    row: int = 0
    begun: float = 0.0
    lasted: bool = True

    def again(self, now: float) -> Starts:
        """A start begins now. The one before died early unless it was marked as having lasted; a clock that went back
        proves nothing."""
        died = self.begun > 0 and not self.lasted
        return Starts(min(ROW_MOST, self.row + 1) if died else 0, now, False)

    def well(self) -> Starts:
        """It has lasted, or was told to leave."""
        return replace(self, row=0, lasted=True)

    def pause_ms(self, chance: random.Random) -> float:
        """How long this start waits: doubled with each early death in a row, and drawn, so that many that die together
        do not come back together."""
        if self.row <= FREE:
            return 0.0
        return chance.uniform(0.5, 1.0) * min(MOST_MS, LEAST_MS * 2.0 ** (self.row - FREE - 1))
