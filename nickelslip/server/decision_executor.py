"""Calls to the admission controller, and the execution of its decisions.

Nothing is awaited between a decision and the write that executes it. Every decision is executed before
`DecisionExecutor.decide` returns.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from nickelslip.admission.controller import AdmissionController
from nickelslip.admission.interface import (
    Decisions,
    Gauges,
    Health,
    IdempotencyUpdate,
    RequestState,
    Settings,
    StateChange,
)
from nickelslip.server.advertised_state import AdvertisedState
from nickelslip.server.core_occupancy_log import CoreOccupancyLog
from nickelslip.server.lifecycle import Lifecycle
from nickelslip.server.requests import fail_requests
from nickelslip.server.state_changes import execute_state_change
from nickelslip.server.wake_schedule import WakeSchedule

if TYPE_CHECKING:  # types only; importing them would slow down the startup
    from nickelslip.server.interfaces import DecisionContext


class DecisionExecutor:
    """Calls the admission controller; no other component does.

    Args:
        context: The server, with its open requests and the components that execute decisions.
        advertised: The state advertised to clients; updated by decisions.
        wake_schedule: When the controller's timer is due.
        lifecycle: Notified when the state of a request changes.

    Attributes:
        context: The server, with its open requests and the components that execute decisions.
        controller: The admission controller; None before the worker pool is up and after a failure.
        gauges: The measurements passed to the latest call of the controller's timer.
    """

    def __init__(
        self,
        context: DecisionContext,
        advertised: AdvertisedState,
        wake_schedule: WakeSchedule,
        lifecycle: Lifecycle,
    ) -> None:
        self.context = context
        self.controller: AdmissionController | None = None
        self.gauges = Gauges()
        self._advertised = advertised
        self._wake_schedule = wake_schedule
        self._lifecycle = lifecycle
        self._occupancy_log = CoreOccupancyLog(context.log)
        self._is_deciding = False

    @property
    def is_ready(self) -> bool:
        """Whether there is a controller and none of its methods is being called."""
        return self.controller is not None and not self._is_deciding

    def create_controller(self, settings: Settings, seed: int, started_at_ms: float) -> None:
        """Create the controller; errors of its constructor propagate."""
        self.controller = AdmissionController(settings, seed, started_at_ms)

    def discard_controller(self) -> None:
        """Stop making decisions, after a failure."""
        self.controller = None

    def decide(self, method: Callable[..., Decisions], *arguments: object) -> None:
        """Fire an overdue timer, then call a method of the controller and execute its decisions.

        For events that have not changed the state of any request; see `decide_after_change`.

        Args:
            method: The method, as an attribute of `AdmissionController`.
            *arguments: Its arguments after the current time.

        Raises:
            RuntimeError: If a call of the controller is already in progress.
        """
        self.fire_overdue_timer()
        self.decide_after_change(method, *arguments)

    def decide_after_change(self, method: Callable[..., Decisions], *arguments: object) -> None:
        """Call a method of the controller and execute its decisions, without firing an overdue timer.

        This reports an event that has changed the state of a request in the server already. A timer fired in between
        would decide on the earlier state, for example start a request that has ended. `fire_overdue_timer` is called
        before the change instead. An error raised by the controller fails the server. Without a controller, all open
        requests are answered with a failure.

        Args:
            method: The method, as an attribute of `AdmissionController`.
            *arguments: Its arguments after the current time.

        Raises:
            RuntimeError: If a call of the controller is already in progress.
        """
        if self.controller is None:
            fail_requests(list(self.context.requests.values()), self._advertised.advertised_weight)
            return
        if self._is_deciding:
            raise RuntimeError("the admission controller was called again before its previous call returned")
        self._is_deciding = True
        try:
            self._execute(method(self.controller, self.context.clock(), *arguments))
        except Exception as error:
            self.context.fail(error)
        finally:
            self._is_deciding = False

    def fire_overdue_timer(self) -> None:
        """Call the controller's timer if it is due, as if it had fired on time."""
        if self.is_ready and self._wake_schedule.is_due:
            self.fire_timer()

    def fire_timer(self) -> None:
        """Call the controller's timer with the gauges that have arrived since the previous call."""
        self._wake_schedule.clear()
        self.gauges = self.context.worker_pool.take_gauges() or Gauges()
        self.decide_after_change(AdmissionController.timer_fired, self.gauges)
        if self.controller is not None:
            self._occupancy_log.report(self.controller.core_occupancy(self.context.clock()))

    def _execute(self, decisions: Decisions) -> None:
        """Execute the decisions of one call in a fixed order.

        The advertised state comes first, so that the answers written by the same call contain it. Then come the
        idempotency updates, the state changes in their given order, and the next wake-up.
        """
        self._advertise(decisions)
        for update in decisions.idempotency_updates:
            self._update_idempotency_record(update)
        for change in decisions.state_changes:
            self._change_state(change)
        if decisions.wake_in_ms is not None:
            self._wake_schedule.wake_after(decisions.wake_in_ms)

    def _advertise(self, decisions: Decisions) -> None:
        if decisions.advertised_weight is not None:
            self._advertised.advertised_weight = decisions.advertised_weight
        if decisions.health is not None:
            self._change_health(decisions.health)
        if decisions.idle_connection_timeout_ms is not None:
            self._advertised.idle_connection_timeout_ms = decisions.idle_connection_timeout_ms

    def _change_health(self, health: Health) -> None:
        if health.is_healthy is self._advertised.is_healthy:
            return
        self._advertised.is_healthy = health.is_healthy
        self.context.log.info("health_changed", is_healthy=health.is_healthy)
        self.context.directory_reporter.report_health_change()

    def _update_idempotency_record(self, update: IdempotencyUpdate) -> None:
        request = self.context.requests.get(update.id)
        if request is not None:
            self.context.idempotency_table.remember(request, update.retention_ms)

    def _change_state(self, change: StateChange) -> None:
        request = self.context.requests.get(change.id)
        if request is None:
            return
        if change.state is RequestState.CALL_IN_FLIGHT:
            self.context.slow_start.call_started(self.context.clock())
        execute_state_change(self.context, request, change)
        self._lifecycle.notify_change()
