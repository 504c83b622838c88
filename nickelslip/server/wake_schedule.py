"""The time at which the timer of the admission controller is due next."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

import anyio


class WakeSchedule:
    """Holds the time at which the controller's timer is due next.

    Args:
        clock: Returns the current time in milliseconds.

    Attributes:
        wake_at_ms: When the timer is due; inf for never.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.wake_at_ms = inf
        self._clock = clock
        self._wake_changed = anyio.Event()

    @property
    def is_due(self) -> bool:
        """Whether the timer is due or overdue."""
        return self._clock() >= self.wake_at_ms

    def wake_after(self, wait_ms: float) -> None:
        """Schedule the timer to be called after `wait_ms`, unless it is due earlier."""
        wake_at_ms = self._clock() + wait_ms
        if wake_at_ms < self.wake_at_ms:
            self.wake_at_ms = wake_at_ms
            self._wake_changed.set()

    def clear(self) -> None:
        """Clear the scheduled time; called when the timer fires."""
        self.wake_at_ms = inf
        self._wake_changed.set()

    async def wait_until(self, until_ms: float) -> None:
        """Wait until this time, or until the scheduled time is changed or cleared."""
        remaining_ms = until_ms - self._clock()
        if remaining_ms <= 0:
            return
        self._wake_changed = anyio.Event()
        with anyio.move_on_after(None if remaining_ms == inf else remaining_ms / 1000):
            await self._wake_changed.wait()
