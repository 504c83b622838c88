"""A fake worker pool, which accepts connections and executes runs on one emulated machine."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from math import inf

from nickelslip.emulator.history import MS_PER_S, History, Kind
from nickelslip.emulator.loop_timer import LoopTimer
from nickelslip.emulator.machine_model import Machine, MachineProfile
from nickelslip.emulator.work_profile import Run, WorkProfile, expected_response
from nickelslip.emulator.worker_pool_connection import WorkerPoolConnection
from nickelslip.emulator.worker_pool_messages import (
    Bind,
    Bound,
    Command,
    Line,
    Notification,
    Poll,
    Polled,
    RunBlocked,
    RunFinished,
    RunOutcome,
    SkipCall,
    Spawn,
    SupplyResult,
    Suspend,
    UnknownCommandError,
    UnknownRun,
    decode_command,
)

Address = tuple[str, int]
MAX_KEPT_NOTIFICATIONS = 4000  # set by the protocol
CALL_BODY = b"look up"
MEMORY_USED_GAUGE = 0.2
SOCKETS_GAUGE = 8


class WorkerPool:
    """One incarnation of a server's worker pool.

    Connections are accepted immediately, but none is bound before the pool is up.

    Args:
        server: The server that the pool belongs to.
        machine: The parameters of its machine.
        profile: The work and the calls of runs.
        seed: Seed of the work and the calls of each run.
        history: Records runs, connections and machine failures.
        up_ms: Time until the pool is up.
        on_machine_failure: Called with the server's name when the machine fails from overload.
    """

    def __init__(
        self,
        server: str,
        machine: MachineProfile,
        profile: WorkProfile,
        seed: int,
        history: History,
        up_ms: float = 0.0,
        on_machine_failure: Callable[[str], None] = lambda server: None,
    ) -> None:
        self.server = server
        self.ended = False
        self._profile = profile
        self._seed = seed
        self._history = history
        self._on_machine_failure = on_machine_failure
        self._machine = Machine(machine, history.clock() + up_ms)
        self._up_at_ms = history.clock() + up_ms
        self._runs: dict[str, Run] = {}
        self._known_ids: set[str] = set()
        self._last_sequence = 0
        self._notifications: deque[Notification] = deque(maxlen=MAX_KEPT_NOTIFICATIONS)
        self._connections: list[WorkerPoolConnection] = []
        self._timer = LoopTimer(history, self._advance)

    async def listen(self, address: Address) -> asyncio.Server:
        """Listen at an address; may be called for several addresses."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: WorkerPoolConnection(self), *address)
        if self._history.clock() < self._up_at_ms:
            loop.call_later((self._up_at_ms - self._history.clock()) / MS_PER_S, self._come_up)
        return server

    @property
    def is_up(self) -> bool:
        """Whether the pool has come up and has not ended."""
        return not self.ended and self._history.clock() >= self._up_at_ms

    @property
    def worst_excess(self) -> float:
        """The largest excess of concurrency on the machine during its warm-up."""
        return self._machine.worst_excess

    @property
    def is_linked(self) -> bool:
        """Whether the pool has a bound connection of a server."""
        return any(connection.bound for connection in self._connections)

    def end(self, reason: str) -> None:
        """End the incarnation: connections are reset and runs are discarded."""
        if self.ended:
            return
        self.ended = True
        self._timer.set(inf)
        self._history.add(Kind.FAULT, self.server, "", f"worker pool ended: {reason}")
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset the connections; runs continue, and notifications are kept for the next connection."""
        for connection in list(self._connections):
            connection.abort()

    # Connections

    def connection_opened(self, connection: WorkerPoolConnection) -> None:
        """Register a connection; one to a pool that has ended is reset."""
        self._connections.append(connection)
        self._history.add(Kind.CONNECTED, self.server, "", "pool")
        if self.ended:
            connection.abort()

    def connection_closed(self, connection: WorkerPoolConnection) -> None:
        """Unregister a connection."""
        if connection in self._connections:
            self._connections.remove(connection)

    def _come_up(self) -> None:
        for connection in self._connections:
            if connection.after_sequence is not None:
                self._bind(connection, connection.after_sequence)

    def _bind(self, connection: WorkerPoolConnection, after_sequence: int) -> None:
        connection.bound = True
        connection.send(Bound(self._history.clock() - self._up_at_ms))
        for notification in list(self._notifications):
            if notification.sequence > after_sequence:
                connection.send(notification)
        self._history.add(Kind.POOL_LINKED, self.server)

    # Commands

    def handle_line(self, connection: WorkerPoolConnection, line: Line) -> None:
        """Execute one decoded line; an unknown command resets the connection."""
        if self.ended:
            return
        try:
            command = decode_command(line)
        except UnknownCommandError:
            connection.abort()
            return
        self._handle(connection, command)

    def _handle(self, connection: WorkerPoolConnection, command: Command) -> None:
        match command:
            case Bind(after_sequence):
                connection.after_sequence = after_sequence
                if self.is_up:
                    self._bind(connection, after_sequence)
            case Poll(tag):
                gauges = (self._machine.cpu_utilization, self._machine.run_count, MEMORY_USED_GAUGE, SOCKETS_GAUGE)
                connection.send(Polled(tag, gauges))
            case Spawn():
                self._spawn(command)
            case Suspend(request_id):
                self._suspend(request_id)
            case SupplyResult(request_id):
                self._supply_result(connection, request_id)
            case SkipCall(request_id, sequence):
                self._skip_call(connection, request_id, sequence)

    def _spawn(self, command: Spawn) -> None:
        self._known_ids.add(command.request_id)
        if command.request_id in self._runs:
            return
        now_ms = self._history.clock()
        self._history.add(Kind.RUN_STARTED, self.server, command.request_id, command.traffic_class, now_ms)
        generator = random.Random(f"{self._seed} {command.request_id}")
        calls_factor = self._machine.calls_factor(now_ms)
        parts_ms = self._profile.draw_parts(command.traffic_class, calls_factor, generator)
        run = Run(command.request_id, command.traffic_class, command.body, now_ms, parts_ms)
        self._runs[run.request_id] = run
        self._start_next_part(run)

    def _suspend(self, request_id: str) -> None:
        run = self._runs.get(request_id)
        if run is None:
            return
        if self._machine.stop(self._history.clock(), request_id) or run.blocked_sequence:
            self._finish(run, RunOutcome.SUSPENDED)
            self._advance()

    def _supply_result(self, connection: WorkerPoolConnection, request_id: str) -> None:
        run = self._runs.get(request_id)
        if run is None or not run.blocked_sequence:
            self._reply_if_unknown(connection, "supply", request_id)
            return
        run.blocked_sequence = 0
        self._start_next_part(run)

    def _skip_call(self, connection: WorkerPoolConnection, request_id: str, sequence: int) -> None:
        run = self._runs.get(request_id)
        if run is None or not run.blocked_sequence or run.blocked_sequence != sequence:
            self._reply_if_unknown(connection, "pass", request_id)
            return
        run.blocked_sequence = 0
        self._history.add(Kind.CALL_SKIPPED, self.server, request_id)
        self._start_next_part(run)

    def _reply_if_unknown(self, connection: WorkerPoolConnection, command: str, request_id: str) -> None:
        if request_id not in self._known_ids:
            connection.send(UnknownRun(command, request_id))

    # Runs

    def _start_next_part(self, run: Run) -> None:
        self._machine.start(self._history.clock(), run.request_id, run.parts_ms.pop(0))
        self._advance()

    def _advance(self) -> None:
        """Process every part that is finished by now, and set the timer for the next."""
        now_ms = self._history.clock()
        for key in self._machine.take_finished(now_ms):
            run = self._runs[str(key)]
            if run.parts_ms:
                run.blocked_sequence = self._next_sequence()
                self._notify(RunBlocked(run.blocked_sequence, run.request_id, CALL_BODY))
            else:
                self._finish(run, RunOutcome.COMPLETED)
        if self._machine.has_failed and not self.ended:
            self._history.add(Kind.FELL_OVER, self.server, "", "machine")
            self.end("it fell over")
            self._on_machine_failure(self.server)
            return
        self._timer.set(self._machine.next_change_at_ms())

    def _finish(self, run: Run, outcome: RunOutcome) -> None:
        del self._runs[run.request_id]
        response = expected_response(run.body) if outcome is RunOutcome.COMPLETED else b""
        run_ms = self._history.clock() - run.started_at_ms
        self._notify(RunFinished(self._next_sequence(), run.request_id, outcome, run_ms, response))

    def _next_sequence(self) -> int:
        self._last_sequence += 1
        return self._last_sequence

    def _notify(self, notification: Notification) -> None:
        self._notifications.append(notification)
        if self._connections and self._connections[-1].bound:
            self._connections[-1].send(notification)
