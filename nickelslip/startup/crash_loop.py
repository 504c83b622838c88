"""Crash loops: how long a server waits before it starts again when it keeps exiting early.

Arithmetic and seeded chance only: nothing here reads a clock or does I/O. The record is kept by crash_loop_file.py.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

EARLY_EXIT_MS = 20_000.0  # a start that lasted for less exited early
MIN_DELAY_MS = 500.0
MAX_DELAY_MS = 60_000.0
EXITS_WITHOUT_DELAY = 1  # so that a restart by hand is immediate
MAX_COUNTED_EXITS = 32
MIN_JITTER_FRACTION = 0.5  # of the delay that was doubled; servers that exit together do not come back together


@dataclass(frozen=True)
class StartRecord:
    """What is known of a server's starts.

    Attributes:
        consecutive_early_exits: How many starts in a row exited early before the latest one.
        started_at_ms: When the latest start began, in Unix milliseconds; 0 where none is known.
        is_stable: Whether the latest start is known to have lasted, or to have been told to stop.
    """

    consecutive_early_exits: int = 0
    started_at_ms: float = 0.0
    is_stable: bool = True

    def with_new_start(self, now_ms: float) -> StartRecord:
        """Return the record once another start begins now.

        The one before exited early unless it was marked as stable. The time between them is not looked at, since a
        clock may go back.
        """
        exited_early = self.started_at_ms > 0 and not self.is_stable
        early_exits = min(MAX_COUNTED_EXITS, self.consecutive_early_exits + 1) if exited_early else 0
        return StartRecord(early_exits, now_ms, is_stable=False)

    def marked_stable(self) -> StartRecord:
        """Return the record once the latest start has lasted, or was told to stop."""
        return replace(self, consecutive_early_exits=0, is_stable=True)

    def delay_ms(self, random_source: random.Random) -> float:
        """Return how long the latest start waits: doubled with each early exit in a row, with jitter."""
        if self.consecutive_early_exits <= EXITS_WITHOUT_DELAY:
            return 0.0
        doublings = self.consecutive_early_exits - EXITS_WITHOUT_DELAY - 1
        return random_source.uniform(MIN_JITTER_FRACTION, 1.0) * min(MAX_DELAY_MS, MIN_DELAY_MS * 2.0**doublings)
