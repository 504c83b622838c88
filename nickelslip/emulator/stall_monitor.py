"""Detects when the process of the services did not run, so that its delays do not count against servers."""

from __future__ import annotations

import asyncio

from nickelslip.emulator.history import MS_PER_S, History, Kind

CHECK_INTERVAL_MS = 5.0
MIN_STALL_MS = 20.0  # shorter delays are left to the tolerance of the rules


class StallMonitor:
    """Records each stall of this process's event loop.

    During a stall, answers that have arrived are not read and timers do not fire. Both are then recorded too late.

    Args:
        history: Records the stalls.
    """

    def __init__(self, history: History) -> None:
        self._history = history

    async def run(self) -> None:
        """Check the event loop until the task is cancelled."""
        while True:
            began_at_ms = self._history.clock()
            await asyncio.sleep(CHECK_INTERVAL_MS / MS_PER_S)
            ended_at_ms = self._history.clock()
            if ended_at_ms - began_at_ms - CHECK_INTERVAL_MS >= MIN_STALL_MS:
                self._history.add(Kind.OBSERVER_STALLED, detail=began_at_ms, at_ms=ended_at_ms)
