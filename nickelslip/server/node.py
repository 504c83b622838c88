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

from nickelslip.admission.control import AdmissionController
from nickelslip.admission.interface import (
    StateChange,
    Gauges,
    Outcome,
    IdempotencyUpdate,
    Decisions,
    Settings,
    RequestState,
)
from nickelslip.coming_up.start import Start, Step
from nickelslip.configuration.config import Config, moved
from nickelslip.configuration.generations import RESULTS_PART, Generation
from nickelslip.configuration.meter import Meter
from nickelslip.server.directory import Directory
from nickelslip.server.records import Records
from nickelslip.server.streams import SIZE, Buffers
from nickelslip.server.table import Table
from nickelslip.server.transactions import FINAL, Answer, Transaction, live
from nickelslip.server.workers import Workers
from nickelslip.settings import Malformed

BUFFERS_PART = 1 / 4  # of this process's memory, for buffers
FIRST_CALLS = 1.0  # a part that is not told is found by rising from there
GAUGES_LEAD_MS = 5.0  # what asking for them takes at most, but for standstills


def part_of_calls(settings: Settings) -> float:
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
    LEAVING = "the grace is over and nothing is owed: connections are being closed"
    FAILED = "the module or a task raised: everything read is answered with a failure, and the server ends"


class Front(Protocol):
    """Where transactions come in."""

    async def serve(self) -> None: ...
    def trim(self, idle_ms: float) -> None: ...
    def shut_door(self) -> None: ...
    async def leave(self, left_ms: float) -> None: ...


class Reloads(Protocol):
    """Who takes a notice to read the configuration again, where that is more than peers' addresses."""

    def reload(self) -> None: ...


class Node:
    """One server."""

    def __init__(self, config: Config, reread: Callable[[], Config]) -> None:
        self.log, self._reread = structlog.get_logger(), reread
        self.generation = Generation(1, config)
        self.reloads: Reloads | None = None  # where changes are taken as transactions of their own
        self.meter: Meter | None = None  # there, what becomes of transactions is counted
        self._origin = time.time() * 1000 - time.monotonic() * 1000
        self.phase = Phase.WAITING
        settings = config.settings
        self.coming_up = Start(
            config.name, config.seed, self.clock(), part_of_calls(settings), settings.starts_cold, settings.warm_up_ms
        )
        self._calls_most = inf  # that the module was told last
        self._step, self._steps = Step.STARTED, Counter[Step]()
        self.said: float | None = None
        self.healthy = True
        self.idle_ms: float | None = None
        self.buffers = Buffers(int(config.memory_mb * 1024 * 1024 * BUFFERS_PART / SIZE))
        self.transactions: dict[int, Transaction] = {}
        self.table = Table(self.clock, config.memory_mb * 1024 * 1024 * RESULTS_PART)
        self.workers = Workers(self)
        self.records = Records(self)
        self.directory = Directory(self)
        self.fronts: list[Front] = []
        self.tasks: TaskGroup
        self.parts: list[Callable[[], Awaitable[None]]] = []  # what else runs as long as the server
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
        async with anyio.create_task_group() as self.tasks:
            for part in (
                self._notices,
                self.workers.run,
                self.directory.run,
                self._timer,
                *self.parts,
                *(front.serve for front in self.fronts),
            ):
                self.tasks.start_soon(self.guard, part)
            await self._leave_when_due()
            self.tasks.cancel_scope.cancel()
        return self.phase is Phase.LEAVING

    async def _notices(self) -> None:
        """The notices to leave and to read the configuration again; those that came before the program could hear
        them have waited. A person at a terminal may insist on leaving with a second interrupt."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as notices:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGTERM, signal.SIGHUP})
            try:
                async for notice in notices:
                    self.log.info("notice", signal=signal.Signals(notice).name)
                    if notice == signal.SIGHUP:
                        (self.reloads or self).reload()
                        continue
                    if notice == signal.SIGINT and self.phase not in (Phase.WAITING, Phase.SERVING):
                        self.tasks.cancel_scope.cancel()
                    self.leave()
            finally:  # at the very end, too, none of them ends the process by default
                signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGHUP})

    def reload(self) -> None:
        """Take up the peers' new addresses; a file that cannot be read or is faulty changes nothing."""
        try:
            config, rest = moved(self.generation.config, self._reread())
        except Malformed as fault:
            self.log.error("configuration not taken", fault=str(fault))
            return
        self.log.info(
            "configuration taken",
            pool=config.pool,
            records=config.records,
            directory=config.directory,
            needs_restart=rest,
        )
        self.generation = Generation(self.generation.number + 1, config, "SIGHUP", self.clock())
        self._move_links()

    def adopt(self, generation: Generation) -> None:
        """Put a generation in force, whole, between two events: what was read keeps its own, what is read from here
        on gets this one, and the module is told in one call, whose orders are carried out before this returns."""
        self.generation = generation
        self.coming_up.take_part(part_of_calls(generation.settings))
        if self._control is not None:
            self._decide(AdmissionController.settings_changed, generation.settings)
        self._move_links()

    def _move_links(self) -> None:
        for part in (self.workers, self.records, self.directory):
            part.move()

    async def guard(self, part: Callable[..., Any], *values: Any) -> None:
        """A task whose error ends the server in the open."""
        try:
            await part(*values)
        except Exception as error:  # whatever it is, everything read is still answered
            self.fail(error)

    def _enter(self, phase: Phase) -> None:
        """The one place where the server changes its phase."""
        if self.phase is not phase and self.phase is not Phase.FAILED:
            self.log.info("phase", now=phase.name, means=phase.value, in_hand=len(self.transactions))
            self.phase = phase
            self._tell_change()

    def fail(self, error: Exception) -> None:
        if self.phase is Phase.FAILED:
            return
        self.log.error("failed", error=repr(error), exc_info=error)
        self._enter(Phase.FAILED)
        self.healthy, self._control = False, None
        self.directory.tell()
        for one in list(self.transactions.values()):
            self._forfeit(one)

    def _forfeit(self, one: Transaction) -> None:
        one.answer(Answer(RequestState.FAILED, self.said))
        one.run_out = False
        one.enter(RequestState.FAILED)
        one.nudge()

    def workers_up(self, ago_ms: float) -> None:
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
        self.coming_up.linked(now, max(0.0, ago_ms))
        self.directory.move()
        self._decide(AdmissionController.start)
        self.look()

    def look(self) -> None:
        """Tell the module what follows from the start's step, where that has changed; a step makes a line."""
        now = self.clock()
        self.coming_up.look(now)
        step = self.coming_up.step
        if step is not self._step:
            self._step = step
            self._steps[step] += 1
            if not (count := self._steps[step]) & (count - 1):
                self.log.info("coming up", step=step.name, means=step.value, so_far=count)
        most, rest_ms = self.coming_up.calls_most, self.coming_up.rest_ms(now)
        if (most != self._calls_most or rest_ms > 0) and self._control is not None and not self._deciding:
            self._calls_most = most
            self._decide(AdmissionController.limit_calls, most, rest_ms)

    def leave(self) -> None:
        """Told to leave: the notice counts once."""
        if self.phase is Phase.SERVING:
            self._kill = self.clock() + self.generation.config.stop_ms
            self._enter(Phase.DRAINING)
            self._decide(AdmissionController.drain, self._kill)
        elif self.phase is Phase.WAITING:
            self.healthy = False
            self.directory.tell()
            self._enter(Phase.LEAVING)

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
            for front in self.fronts:  # what comes from here on is not run, and does better elsewhere at once
                front.shut_door()
        while self.phase is Phase.DRAINING and any(
            not one.answered and not one.gone for one in self.transactions.values()
        ):
            await self._change()
        self._enter(Phase.LEAVING)
        left = min(self._kill - self.clock(), self.generation.config.stop_ms)
        left -= self.generation.settings.answer_slack_ms
        with anyio.move_on_after(max(left, 0.0) / 1000):
            async with anyio.create_task_group() as leaving:
                for front in self.fronts:
                    leaving.start_soon(front.leave, left)
        self.log.info("ended", in_hand=len(self.transactions))

    def _tell_change(self) -> None:
        """Who leaves waits for this; while the server serves, nobody does."""
        if self.phase is not Phase.SERVING:
            self._changed.set()
            self._changed = anyio.Event()

    async def _change(self) -> None:
        changed = self._changed
        await changed.wait()

    # Transactions

    def take(self, one: Transaction) -> bool:
        """A front has read this one: the module hears of it at once, under the generation in force, and its life goes
        on in a task unless it is over already. False where there is no module to decide, its id is in hand already, or
        its key is another one's: then the front answers it with a failure."""
        if one.number in self.transactions or self._control is None or one.generation is not self.generation:
            return False
        if self.table.clashes(one):
            self._clashes += 1
            if not self._clashes & (self._clashes - 1):
                self.log.warning("a key that stands for another transaction", so_far=self._clashes)
            return False
        self.transactions[one.number] = one
        if self.meter is not None:
            if not one.asked.again:
                self.meter.read(self.clock(), one.asked.grade, one.asked.customer)
            one.watch = self._watch
        self.read(one)
        if one.state in FINAL:
            self._over(one)
        else:
            self.tasks.start_soon(self.guard, self._live, one)
        return True

    def _watch(self, one: Transaction, state: RequestState) -> None:
        """It has its answer, or its caller has gone."""
        if self.meter is not None:
            now = self.clock()
            self.meter.ended(now, one.asked.grade, one.asked.customer, state, now - one.asked.reached, one.work_ms)

    async def _live(self, one: Transaction) -> None:
        try:
            await live(self, one)
        finally:
            self._over(one)

    def _over(self, one: Transaction) -> None:
        """Nothing is left to be done for it."""
        self.table.settle(one, Outcome.CANCELLED)
        del self.transactions[one.number]
        self._tell_change()

    def read(self, one: Transaction) -> None:
        earlier = self.table.forerunner(one)
        arrival = one.asked.arrival(one.number, self.clock(), earlier.number if earlier else None)
        self._decide(AdmissionController.request_received, arrival)

    def ended(self, one: Transaction, outcome: Outcome, took_ms: float) -> None:
        one.work_ms = took_ms
        self._decide(AdmissionController.run_ended, one.number, outcome, took_ms)

    def at_call(self, one: Transaction) -> None:
        self._decide(AdmissionController.call_requested, one.number)

    def call_returned(self, one: Transaction, outcome: Outcome, took_ms: float) -> None:
        if self.meter is not None:
            self.meter.call(self.clock(), outcome is not Outcome.OK)
        if outcome in (Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT):
            self.coming_up.call_answered(self.clock(), took_ms if outcome is Outcome.OK else inf)
        elif outcome is not Outcome.NOT_STARTED:
            self.coming_up.call_failed(self.clock())
        self._decide(AdmissionController.call_returned, one.number, outcome, took_ms)
        self.look()

    def caller_gone(self, one: Transaction) -> None:
        self._decide(AdmissionController.client_disconnected, one.number)

    # The module

    def _decide(self, call: Callable[..., Decisions], *values: object) -> None:
        """One call of the module, and all that it decided."""
        if self._control is None:  # failed: what is still in hand has been answered
            for one in list(self.transactions.values()):
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
            self.said = result.advertised_weight
        if result.health is not None and result.health.is_healthy is not self.healthy:
            self.healthy = result.health.is_healthy
            self.log.info("health", good=self.healthy)
            self.directory.tell()
        if result.idle_connection_timeout_ms is not None:
            self.idle_ms = result.idle_connection_timeout_ms
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
        one = self.transactions.get(entry.id)
        if one is not None:
            self.table.remember(one, entry.retention_ms)

    def _change_of(self, change: StateChange) -> None:
        one = self.transactions.get(change.id)
        if one is not None:
            if change.state is RequestState.CALL_IN_FLIGHT:
                self.coming_up.call_out(self.clock())
            one.carry_out(self, change)
            self._tell_change()

    async def _timer(self) -> None:
        """Call the module when it asked for it, with gauges that were asked for a little before."""
        asked_for = -inf
        while True:
            wake = self._wake
            if self.clock() < wake - GAUGES_LEAD_MS:
                await self._until(wake - GAUGES_LEAD_MS)
            elif asked_for != wake:
                self.workers.ask_gauges()
                asked_for = wake
            elif self.clock() < wake:
                await self._until(wake)
            else:
                self._fire()
                self.table.purge()
                if self.idle_ms is not None:
                    for front in self.fronts:
                        front.trim(self.idle_ms)

    def _fire(self) -> None:
        """The wake is due."""
        self._wake = inf
        self._wake_moved.set()
        self.gauges = self.workers.take_gauges() or Gauges()
        self._decide(AdmissionController.timer_fired, self.gauges)

    async def _until(self, at: float) -> None:
        """Wait for a moment, or until the wake is moved."""
        left = at - self.clock()
        if left > 0:
            self._wake_moved = anyio.Event()
            with anyio.move_on_after(None if left == inf else left / 1000):
                await self._wake_moved.wait()
