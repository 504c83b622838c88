"""A limit on the processor time that messages of unproven connections may use.

A connection is unproven while none of its requests was completed. However fast such clients send, others still get most
of the processor.
"""

from __future__ import annotations

MAX_PROCESSOR_FRACTION = 0.25
MIN_TURN_S = 0.000_2  # waking a task and reading from its socket


class ProcessingLimit:
    """Spreads the turns of unproven connections over time. It has no clock."""

    def __init__(self) -> None:
        self._free_at_s = 0.0

    def pause_after(self, now_s: float, turn_s: float) -> float:
        """Return how long a connection has to pause after a turn, in seconds.

        Args:
            now_s: The time at the end of the turn.
            turn_s: How long the turn took.
        """
        spread_s = max(turn_s, MIN_TURN_S) / MAX_PROCESSOR_FRACTION
        self._free_at_s = max(now_s, self._free_at_s) + spread_s
        return self._free_at_s - now_s
