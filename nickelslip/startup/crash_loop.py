"""Crash loops: how long a server that keeps exiting early waits before it starts again.

This module is deterministic and does no I/O: callers pass in the time and a random generator. `crash_loop_file` stores
the record.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

EARLY_EXIT_MS = 20_000.0  # a server that runs for less than this has exited early
MIN_DELAY_MS = 500.0
MAX_DELAY_MS = 60_000.0
EXITS_WITHOUT_DELAY = 1  # a single early exit may be a manual restart, which is not delayed
MAX_COUNTED_EXITS = 32
MIN_JITTER_FRACTION = 0.5  # of the full delay; jitter keeps servers that exit together from restarting together


@dataclass(frozen=True)
class StartRecord:
    """The record of a server's starts.

    Attributes:
        consecutive_early_exits: Number of consecutive early exits before the latest start.
        started_at_ms: When the latest start began, in Unix milliseconds; 0 if no start is known.
        is_stable: Whether the latest start lasted long enough or was stopped on request.
    """

    consecutive_early_exits: int = 0
    started_at_ms: float = 0.0
    is_stable: bool = True

    def with_new_start(self, now_ms: float) -> StartRecord:
        """Return the record with a new start that begins now.

        The previous start counts as an early exit unless it was marked as stable. The time between the two starts is
        ignored, since the clock may have been set back.
        """
        exited_early = self.started_at_ms > 0 and not self.is_stable
        early_exits = min(MAX_COUNTED_EXITS, self.consecutive_early_exits + 1) if exited_early else 0
        return StartRecord(early_exits, now_ms, is_stable=False)

    def marked_stable(self) -> StartRecord:
        """Return the record after the latest start has lasted long enough or was stopped on request."""
        return replace(self, consecutive_early_exits=0, is_stable=True)

    def delay_ms(self, random_source: random.Random) -> float:
        """Return how long the latest start waits. The delay doubles with each early exit in a row, and has jitter."""
        if self.consecutive_early_exits <= EXITS_WITHOUT_DELAY:
            return 0.0
        doublings = self.consecutive_early_exits - EXITS_WITHOUT_DELAY - 1
        return random_source.uniform(MIN_JITTER_FRACTION, 1.0) * min(MAX_DELAY_MS, MIN_DELAY_MS * 2.0**doublings)
