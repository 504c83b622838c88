"""A limit on the processor time for messages of connections on which no request was completed yet.

However fast their clients send, others still get most of the processor.
"""

from __future__ import annotations

from math import inf

MAX_PROCESSOR_FRACTION = 0.25
MIN_TURN_S = 0.000_2  # waking a task and reading from its socket
MAX_TURN_S = 0.002
MAX_PAUSE_S = 1.0
MAX_CREDIT_S = 0.1  # unused time that later turns may use without a pause


class ProcessingLimit:
    """Spreads the turns of such connections over time. It has no clock."""

    def __init__(self) -> None:
        self._free_at_s = -inf

    def turn_s(self, now_s: float) -> float:
        """Return how much processor time a turn that begins now may take, in seconds.

        The more connections wait, the shorter it is.
        """
        backlog_s = max(0.0, self._free_at_s - now_s)
        return MAX_TURN_S * max(0.0, 1 - backlog_s / MAX_PAUSE_S)

    def pause_after(self, now_s: float, turn_s: float) -> float:
        """Return how long a connection has to pause after a turn, in seconds.

        Args:
            now_s: The time at the end of the turn.
            turn_s: How much processor time the turn took.
        """
        spread_s = max(turn_s, MIN_TURN_S) / MAX_PROCESSOR_FRACTION
        self._free_at_s = max(now_s - MAX_CREDIT_S, self._free_at_s) + spread_s
        return min(MAX_PAUSE_S, max(0.0, self._free_at_s - now_s))
