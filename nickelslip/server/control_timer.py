"""The timer of the admission controller, and periodic clean-up."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import inf
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:  # types only; importing them would slow down the startup
    from nickelslip.server.advertised_state import AdvertisedState
    from nickelslip.server.decision_executor import DecisionExecutor
    from nickelslip.server.idempotency_table import IdempotencyTable
    from nickelslip.server.interfaces import RequestListener, WorkerPool

GAUGES_REQUEST_LEAD_MS = 5.0  # the worker pool answers queries within this time


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


class ControlTimer:
    """Calls the controller at the times it requested, with gauges queried shortly before.

    Args:
        clock: Returns the current time in milliseconds.
        wake_schedule: When the timer is due.
        executor: Calls the controller.
        worker_pool: Supplies the gauges.
        idempotency_table: Purged after every call.
        listeners: Their idle connections are closed after every call.
        advertised: Contains the time after which connections count as idle.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        wake_schedule: WakeSchedule,
        executor: DecisionExecutor,
        worker_pool: WorkerPool,
        idempotency_table: IdempotencyTable,
        listeners: Sequence[RequestListener],
        advertised: AdvertisedState,
    ) -> None:
        self._clock = clock
        self._wake_schedule = wake_schedule
        self._executor = executor
        self._worker_pool = worker_pool
        self._idempotency_table = idempotency_table
        self._listeners = listeners
        self._advertised = advertised

    async def run(self) -> None:
        """Run until cancelled."""
        requested_for_ms = -inf  # the due time for which gauges were last requested
        while True:
            wake_at_ms = self._wake_schedule.wake_at_ms
            if self._clock() < wake_at_ms - GAUGES_REQUEST_LEAD_MS:
                await self._wake_schedule.wait_until(wake_at_ms - GAUGES_REQUEST_LEAD_MS)
            elif requested_for_ms != wake_at_ms:
                self._worker_pool.request_gauges()
                requested_for_ms = wake_at_ms
            elif self._clock() < wake_at_ms:
                await self._wake_schedule.wait_until(wake_at_ms)
            else:
                self._executor.fire_timer()
                self._clean_up()

    def _clean_up(self) -> None:
        """Remove expired idempotency records and close idle connections."""
        self._idempotency_table.purge_expired()
        idle_ms = self._advertised.idle_connection_timeout_ms
        if idle_ms is None:
            return
        for listener in self._listeners:
            listener.close_idle(idle_ms)
