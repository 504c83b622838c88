"""The node: everything of one server that there is once.

Owns the one Control, its clock, its timer, the generation of the configuration in force, the drain and the root task
group. It alone constructs the module, starts it, tells it of another generation, drains it and calls its timer;
transactions reach the module through it, one call at a time, and what a call decided is carried out before the call
returns. It must never decide for the module, nor await anything between a decision and the write that carries it out.
"""

from __future__ import annotations

import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from enum import Enum
from math import inf
from typing import Any, Protocol

import anyio
import structlog
from anyio.abc import TaskGroup

from nickelslip.admission.controller import AdmissionController
from nickelslip.admission.interface import (
    Decisions,
    Gauges,
    IdempotencyUpdate,
    Outcome,
    RequestState,
    Settings,
    StateChange,
)
from nickelslip.configuration.config import Config, with_new_peer_addresses
from nickelslip.configuration.generations import CACHED_RESPONSES_MEMORY_FRACTION, Generation
from nickelslip.configuration.request_metrics import RequestMetrics
from nickelslip.server.directory_reporter import DirectoryReporter
from nickelslip.server.idempotency_table import IdempotencyTable
from nickelslip.server.records_client import RecordsClient
from nickelslip.server.requests import FINAL_STATES, Answer, Request, run_request_lifecycle
from nickelslip.server.streams import BUFFER_BYTES, BufferPool
from nickelslip.server.worker_pool_link import WorkerPoolLink
from nickelslip.settings import MalformedSettingsError
from nickelslip.startup.slow_start import SlowStart, SlowStartPhase

BUFFERS_PART = 1 / 4  # of this process's memory, for buffers
FIRST_CALLS = 1.0  # a part that is not told is found by rising from there
GAUGES_LEAD_MS = 5.0  # what asking for them takes at most, but for standstills


def dependency_share_of(settings: Settings) -> float:
    """This server's part of the calls: one at least, so that a part which is not told is no bound; 0 where it makes
    none."""
    return (
        max(settings.dependency_concurrency_share, FIRST_CALLS)
        if any(each.makes_calls for each in settings.traffic_classes)
        else 0.0
    )


class Phase(Enum):
    """The life of the server."""

    WAITING = "the worker pool is not up yet"
    SERVING = "transactions are read and decided"
    DRAINING = "told to leave: what came in time is run, the rest is answered"
    SHUTTING_DOWN = "the grace is over and nothing is owed: connections are being closed"
    FAILED = "the module or a task raised: everything read is answered with a failure, and the server ends"


class RequestListener(Protocol):
    """Where transactions come in."""

    async def serve(self) -> None: ...
    def close_idle(self, idle_ms: float) -> None: ...
    def stop_accepting(self) -> None: ...
    async def shut_down(self, left_ms: float) -> None: ...


class ReloadHandler(Protocol):
    """Who takes a notice to read the configuration again, where that is more than peers' addresses."""

    def reload(self) -> None: ...


class Server:
    """One server."""

    def __init__(self, config: Config, reread: Callable[[], Config]) -> None:
        self.log, self._reread = structlog.get_logger(), reread
        self.generation = Generation(1, config)
        self.reload_handler: ReloadHandler | None = None  # where changes are taken as transactions of their own
        self.request_metrics: RequestMetrics | None = None  # there, what becomes of transactions is counted
        self._origin = time.time() * 1000 - time.monotonic() * 1000
        self.phase = Phase.WAITING
        settings = config.settings
        self.slow_start = SlowStart(
            config.name,
            config.seed,
            self.clock(),
            dependency_share_of(settings),
            settings.starts_cold,
            settings.warm_up_ms,
        )
        self._calls_most = inf  # that the module was told last
        self._step, self._steps = SlowStartPhase.PROCESS_STARTED, Counter[SlowStartPhase]()
        self.advertised_weight: float | None = None
        self.is_healthy = True
        self.idle_connection_timeout_ms: float | None = None
        self.buffers = BufferPool(int(config.memory_mb * 1024 * 1024 * BUFFERS_PART / BUFFER_BYTES))
        self.requests: dict[int, Request] = {}
        self.idempotency_table = IdempotencyTable(
            self.clock, config.memory_mb * 1024 * 1024 * CACHED_RESPONSES_MEMORY_FRACTION
        )
        self.worker_pool = WorkerPoolLink(self)
        self.dependency_client = RecordsClient(self)
        self.directory_reporter = DirectoryReporter(self)
        self.listeners: list[RequestListener] = []
        self.task_group: TaskGroup
        self.background_tasks: list[Callable[[], Awaitable[None]]] = []  # what else runs as long as the server
        self.gauges = Gauges()
        self._control: AdmissionController | None = None
        self._deciding = False
        self._clashes = 0  # transactions whose key is another one's
        self._wake = inf
        self._wake_moved = anyio.Event()
        self._changed = anyio.Event()
        self._kill = inf

    def clock(self) -> float:
        """Unix milliseconds that only go forward."""
        return self._origin + time.monotonic() * 1000

    # Life

    async def run(self) -> bool:
        """Serve until told to leave; whether all was seen to its end."""
        async with anyio.create_task_group() as self.task_group:
            for part in (
                self._notices,
                self.worker_pool.run,
                self.directory_reporter.run,
                self._timer,
                *self.background_tasks,
                *(front.serve for front in self.listeners),
            ):
                self.task_group.start_soon(self.supervise, part)
            await self._leave_when_due()
            self.task_group.cancel_scope.cancel()
        return self.phase is Phase.SHUTTING_DOWN

    async def _notices(self) -> None:
        """The notices to leave and to read the configuration again; those that came before the program could hear
        them have waited. A person at a terminal may insist on leaving with a second interrupt."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as notices:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGTERM, signal.SIGHUP})
            try:
                async for notice in notices:
                    self.log.info("signal_received", signal=signal.Signals(notice).name)
                    if notice == signal.SIGHUP:
                        (self.reload_handler or self).reload()
                        continue
                    if notice == signal.SIGINT and self.phase not in (Phase.WAITING, Phase.SERVING):
                        self.task_group.cancel_scope.cancel()
                    self.begin_shutdown()
            finally:  # at the very end, too, none of them ends the process by default
                signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGHUP})

    def reload(self) -> None:
        """Take up the peers' new addresses; a file that cannot be read or is faulty changes nothing."""
        try:
            config, rest = with_new_peer_addresses(self.generation.config, self._reread())
        except MalformedSettingsError as fault:
            self.log.error("configuration_rejected", error=str(fault))
            return
        self.log.info(
            "configuration_applied",
            pool=config.pool,
            records=config.records,
            directory=config.directory,
            needs_restart=rest,
        )
        self.generation = Generation(self.generation.number + 1, config, "SIGHUP", self.clock())
        self._move_links()

    def apply_generation(self, generation: Generation) -> None:
        """Put a generation in force, whole, between two events: what was read keeps its own, what is read from here
        on gets this one, and the module is told in one call, whose orders are carried out before this returns."""
        self.generation = generation
        self.slow_start.change_dependency_share(dependency_share_of(generation.settings))
        if self._control is not None:
            self._decide(AdmissionController.settings_changed, generation.settings)
        self._move_links()

    def _move_links(self) -> None:
        for part in (self.worker_pool, self.dependency_client, self.directory_reporter):
            part.change_endpoint()

    async def supervise(self, part: Callable[..., Any], *values: Any) -> None:
        """A task whose error ends the server in the open."""
        try:
            await part(*values)
        except Exception as error:  # whatever it is, everything read is still answered
            self.fail(error)

    def _enter(self, phase: Phase) -> None:
        """The one place where the server changes its phase."""
        if self.phase is not phase and self.phase is not Phase.FAILED:
            self.log.info("phase_changed", phase=phase.name, meaning=phase.value, open_requests=len(self.requests))
            self.phase = phase
            self._tell_change()

    def fail(self, error: Exception) -> None:
        if self.phase is Phase.FAILED:
            return
        self.log.error("server_failed", error=repr(error), exc_info=error)
        self._enter(Phase.FAILED)
        self.is_healthy, self._control = False, None
        self.directory_reporter.report_health_change()
        for one in list(self.requests.values()):
            self._forfeit(one)

    def _forfeit(self, one: Request) -> None:
        one.answer(Answer(RequestState.FAILED, self.advertised_weight))
        one.run_is_out = False
        one.enter(RequestState.FAILED)
        one.wake()

    def worker_pool_started(self, ago_ms: float) -> None:
        """The worker pool came up so long ago: the module begins with it."""
        if self.phase is not Phase.WAITING:
            return
        now = self.clock()
        try:
            self._control = AdmissionController(
                self.generation.settings, self.generation.config.seed, now - max(0.0, ago_ms)
            )
        except Exception as error:
            self.fail(error)
            return
        self._enter(Phase.SERVING)
        self.slow_start.worker_pool_connected(now, max(0.0, ago_ms))
        self.directory_reporter.change_endpoint()
        self._decide(AdmissionController.start)
        self.update_slow_start()

    def update_slow_start(self) -> None:
        """Tell the module what follows from the start's step, where that has changed; a step makes a line."""
        now = self.clock()
        self.slow_start.time_passed(now)
        step = self.slow_start.phase
        if step is not self._step:
            self._step = step
            self._steps[step] += 1
            if not (count := self._steps[step]) & (count - 1):
                self.log.info("slow_start_phase", phase=step.name, meaning=step.value, count=count)
        most, rest_ms = self.slow_start.max_concurrent_calls, self.slow_start.call_pause_ms(now)
        if (most != self._calls_most or rest_ms > 0) and self._control is not None and not self._deciding:
            self._calls_most = most
            self._decide(AdmissionController.limit_calls, most, rest_ms)

    def begin_shutdown(self) -> None:
        """Told to leave: the notice counts once."""
        if self.phase is Phase.SERVING:
            self._kill = self.clock() + self.generation.config.stop_ms
            self._enter(Phase.DRAINING)
            self._decide(AdmissionController.drain, self._kill)
        elif self.phase is Phase.WAITING:
            self.is_healthy = False
            self.directory_reporter.report_health_change()
            self._enter(Phase.SHUTTING_DOWN)

    async def _leave_when_due(self) -> None:
        """Wait for the notice, the grace and the last answer; then close what is open, and end."""
        while self.phase in (Phase.WAITING, Phase.SERVING):
            await self._change()
        if self.phase is Phase.DRAINING:
            settings, stop_ms = self.generation.settings, self.generation.config.stop_ms
            slack = settings.answer_slack_ms
            until_ms = min(settings.drain_grace_ms + slack, stop_ms - 2 * slack)
            with anyio.move_on_after(max(until_ms, 0.0) / 1000):
                while self.phase is Phase.DRAINING:
                    await self._change()
            for front in self.listeners:  # what comes from here on is not run, and does better elsewhere at once
                front.stop_accepting()
        while self.phase is Phase.DRAINING and any(
            not one.answered and not one.client_gone for one in self.requests.values()
        ):
            await self._change()
        self._enter(Phase.SHUTTING_DOWN)
        left = min(self._kill - self.clock(), self.generation.config.stop_ms)
        left -= self.generation.settings.answer_slack_ms
        with anyio.move_on_after(max(left, 0.0) / 1000):
            async with anyio.create_task_group() as leaving:
                for front in self.listeners:
                    leaving.start_soon(front.shut_down, left)
        self.log.info("server_stopped", open_requests=len(self.requests))

    def _tell_change(self) -> None:
        """Who leaves waits for this; while the server serves, nobody does."""
        if self.phase is not Phase.SERVING:
            self._changed.set()
            self._changed = anyio.Event()

    async def _change(self) -> None:
        changed = self._changed
        await changed.wait()

    # Transactions

    def accept_request(self, one: Request) -> bool:
        """A front has read this one: the module hears of it at once, under the generation in force, and its life goes
        on in a task unless it is over already. False where there is no module to decide, its id is in hand already, or
        its key is another one's: then the front answers it with a failure."""
        if one.number in self.requests or self._control is None or one.generation is not self.generation:
            return False
        if self.idempotency_table.has_key_conflict(one):
            self._clashes += 1
            if not self._clashes & (self._clashes - 1):
                self.log.warning("idempotency_key_conflict", count=self._clashes)
            return False
        self.requests[one.number] = one
        if self.request_metrics is not None:
            if not one.received.is_retry:
                self.request_metrics.request_received(self.clock(), one.received.traffic_class, one.received.tenant)
            one.on_finished = self._watch
        self.request_received(one)
        if one.state in FINAL_STATES:
            self._over(one)
        else:
            self.task_group.start_soon(self.supervise, self._live, one)
        return True

    def _watch(self, one: Request, state: RequestState) -> None:
        """It has its answer, or its caller has gone."""
        if self.request_metrics is not None:
            now = self.clock()
            self.request_metrics.request_ended(
                now,
                one.received.traffic_class,
                one.received.tenant,
                state,
                now - one.received.received_at_ms,
                one.run_ms,
            )

    async def _live(self, one: Request) -> None:
        try:
            await run_request_lifecycle(self, one)
        finally:
            self._over(one)

    def _over(self, one: Request) -> None:
        """Nothing is left to be done for it."""
        self.idempotency_table.finish(one, Outcome.CANCELLED)
        del self.requests[one.number]
        self._tell_change()

    def request_received(self, one: Request) -> None:
        earlier = self.idempotency_table.original_of(one)
        arrival = one.received.arrival(one.number, self.clock(), earlier.number if earlier else None)
        self._decide(AdmissionController.request_received, arrival)

    def run_ended(self, one: Request, outcome: Outcome, took_ms: float) -> None:
        one.run_ms = took_ms
        self._decide(AdmissionController.run_ended, one.number, outcome, took_ms)

    def call_requested(self, one: Request) -> None:
        self._decide(AdmissionController.call_requested, one.number)

    def call_returned(self, one: Request, outcome: Outcome, took_ms: float) -> None:
        if self.request_metrics is not None:
            self.request_metrics.call_ended(self.clock(), outcome is not Outcome.OK)
        if outcome in (Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT):
            self.slow_start.call_answered(self.clock(), took_ms if outcome is Outcome.OK else inf)
        elif outcome is not Outcome.NOT_STARTED:
            self.slow_start.call_failed(self.clock())
        self._decide(AdmissionController.call_returned, one.number, outcome, took_ms)
        self.update_slow_start()

    def client_disconnected(self, one: Request) -> None:
        self._decide(AdmissionController.client_disconnected, one.number)

    # The module

    def _decide(self, call: Callable[..., Decisions], *values: object) -> None:
        """One call of the module, and all that it decided."""
        if self._control is None:  # failed: what is still in hand has been answered
            for one in list(self.requests.values()):
                self._forfeit(one)
            return
        if self._deciding:
            raise RuntimeError("the module was called within a call")
        if self.clock() >= self._wake:  # it was due before what happened now, and goes first
            self._fire()
        self._deciding = True
        try:
            self._carry_out(call(self._control, self.clock(), *values))
        except Exception as error:
            self.fail(error)
        finally:
            self._deciding = False

    def _carry_out(self, result: Decisions) -> None:
        """Outward words first, so that answers of the same result carry them; then the table; then the changes."""
        if result.advertised_weight is not None:
            self.advertised_weight = result.advertised_weight
        if result.health is not None and result.health.is_healthy is not self.is_healthy:
            self.is_healthy = result.health.is_healthy
            self.log.info("health_changed", is_healthy=self.is_healthy)
            self.directory_reporter.report_health_change()
        if result.idle_connection_timeout_ms is not None:
            self.idle_connection_timeout_ms = result.idle_connection_timeout_ms
        for entry in result.idempotency_updates:
            self._remember(entry)
        for change in result.state_changes:
            self._change_of(change)
        if result.wake_in_ms is not None:
            wake = self.clock() + result.wake_in_ms
            if wake < self._wake:
                self._wake = wake
                self._wake_moved.set()

    def _remember(self, entry: IdempotencyUpdate) -> None:
        one = self.requests.get(entry.id)
        if one is not None:
            self.idempotency_table.remember(one, entry.retention_ms)

    def _change_of(self, change: StateChange) -> None:
        one = self.requests.get(change.id)
        if one is not None:
            if change.state is RequestState.CALL_IN_FLIGHT:
                self.slow_start.call_started(self.clock())
            one.execute(self, change)
            self._tell_change()

    async def _timer(self) -> None:
        """Call the module when it asked for it, with gauges that were asked for a little before."""
        asked_for = -inf
        while True:
            wake = self._wake
            if self.clock() < wake - GAUGES_LEAD_MS:
                await self._until(wake - GAUGES_LEAD_MS)
            elif asked_for != wake:
                self.worker_pool.request_gauges()
                asked_for = wake
            elif self.clock() < wake:
                await self._until(wake)
            else:
                self._fire()
                self.idempotency_table.purge_expired()
                if self.idle_connection_timeout_ms is not None:
                    for front in self.listeners:
                        front.close_idle(self.idle_connection_timeout_ms)

    def _fire(self) -> None:
        """The wake is due."""
        self._wake = inf
        self._wake_moved.set()
        self.gauges = self.worker_pool.take_gauges() or Gauges()
        self._decide(AdmissionController.timer_fired, self.gauges)

    async def _until(self, at: float) -> None:
        """Wait for a moment, or until the wake is moved."""
        left = at - self.clock()
        if left > 0:
            self._wake_moved = anyio.Event()
            with anyio.move_on_after(None if left == inf else left / 1000):
                await self._wake_moved.wait()
