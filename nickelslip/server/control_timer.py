"""The timer of the admission controller, and periodic clean-up."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import inf
from typing import TYPE_CHECKING

from nickelslip.server.wake_schedule import WakeSchedule

if TYPE_CHECKING:  # types only; importing them would slow down the startup
    from nickelslip.server.advertised_state import AdvertisedState
    from nickelslip.server.decision_executor import DecisionExecutor
    from nickelslip.server.idempotency_table import IdempotencyTable
    from nickelslip.server.interfaces import RequestListener, WorkerPool

GAUGES_REQUEST_LEAD_MS = 5.0  # the worker pool answers queries within this time


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
