"""A resettable timer on the event loop, with times on the history's clock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from nickelslip.emulator.history import MS_PER_S, History


class LoopTimer:
    """A timer with at most one pending call on the event loop.

    Args:
        history: Provides the clock.
        callback: Called when the timer fires.
    """

    def __init__(self, history: History, callback: Callable[[], None]) -> None:
        self._history = history
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None
        self._fires_at_ms = inf

    def set(self, fires_at_ms: float) -> None:
        """Fire at this time instead of any time set before; infinity cancels the timer."""
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
