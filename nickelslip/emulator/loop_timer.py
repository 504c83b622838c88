"""A timer on the event loop that can be moved, with times on the history's clock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from nickelslip.emulator.history import MS_PER_S, History


class LoopTimer:
    """At most one pending wake-up on the event loop.

    Args:
        history: Gives the clock.
        callback: Called when the timer fires.
    """

    def __init__(self, history: History, callback: Callable[[], None]) -> None:
        self._history = history
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None
        self._fires_at_ms = inf

    def set(self, fires_at_ms: float) -> None:
        """Fire at this moment, in place of any that was set before; infinity only cancels."""
        if self._handle is not None:
            if fires_at_ms == self._fires_at_ms:
                return
            self._handle.cancel()
        self._handle = None
        self._fires_at_ms = fires_at_ms
        if fires_at_ms < inf:
            wait_s = max(0.0, fires_at_ms - self._history.clock()) / MS_PER_S
            self._handle = asyncio.get_running_loop().call_later(wait_s, self._fire)

    def _fire(self) -> None:
        self._handle = None
        self._fires_at_ms = inf
        self._callback()
