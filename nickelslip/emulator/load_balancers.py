"""Balancers, and the clients behind them.

Owns the connections of balancers, their habits and the clients' patience. Clients ask in open loop, at drawn times
whatever became of what they asked before, so that a slow fleet is not asked less. Everything written and answered goes
to the history. It must never ask single-use work again that may have run.
"""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import cast

from nickelslip.emulator.history import History, Kind
from nickelslip.emulator.worker_pool import expected_response
from nickelslip.server import resp

Address = tuple[str, int]
BODY = b"from the till"
LINE_MOST = 32  # open on a connection, by the protocol's page
CROSSING_MS = 50.0  # what was written so shortly before the other side closed is sent again
CONNECT_S = 0.5
SAID_FOR_MS = 1000.0  # how long a balancer remembers what a server said of itself
LEAST_LEFT_MS = 50.0  # with less time left nothing is tried


@dataclass
class GradeTraffic:
    """What is asked of one service grade."""

    part: float  # of all that is asked
    credit: float
    quoted_ms: float
    patience_ms: float
    replayable: bool
    marked: bool = False
    without_call: float = 0.6  # of its credit, for an answer whose run went on without its call


@dataclass
class Traffic:
    """What clients ask behind one balancer; the rate may be changed at any time."""

    rate: float  # a second
    grades: dict[str, GradeTraffic]
    customers: dict[str, float] = field(default_factory=lambda: {"acme": 1.0})


@dataclass
class Habits:
    """How a balancer behaves."""

    late_ms: float = 300.0  # by which it learns of the list late
    heeds: bool = True  # the weight that servers say, and their wish not to be asked for a while
    most_tries: int = 3


@dataclass
class Try:
    """One transaction as it is written to one server."""

    ident: str
    grade: str
    body: bytes
    written: float
    over: asyncio.Future[str]  # the word of its answer, or how else it ended


class Balancer:
    """One balancer. It goes round the listed servers by what they say of themselves, keeps a connection to each, and
    tries again elsewhere where that does no harm."""

    def __init__(
        self,
        number: int,
        addresses: dict[str, Address],
        listed: Callable[[], list[str]],
        traffic: Traffic,
        habits: Habits,
        seed: int,
        history: History,
    ) -> None:
        self.number, self._addresses, self._listed = number, addresses, listed
        self.traffic, self.habits, self.history = traffic, habits, history
        self._random = random.Random(f"balancer {number} {seed}")
        self._list: list[str] = []
        self._said: dict[str, tuple[float, float]] = {}  # by server, the weight that it said, and when
        self._away: dict[str, float] = {}  # by server, until when it asked not to be asked
        self._lines: dict[str, Line] = {}
        self._at = self._random.randrange(100)
        self._tasks: set[asyncio.Task[None]] = set()
        self.lag_ms = 0.0  # by which its clients asked late, at the worst
        self.begun = False

    def begin(self) -> None:
        self.begun = True
        for part in (self._learn(), self._ask_on()):
            self._spawn(part)

    def _spawn(self, part: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(part)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for line in list(self._lines.values()):
            line.break_off()

    def restart(self) -> None:
        """Break every connection, and forget all but the list."""
        for line in list(self._lines.values()):
            line.break_off()
        self._lines.clear()
        self._said.clear()
        self._away.clear()

    async def _learn(self) -> None:
        while True:
            listed = self._listed()
            await asyncio.sleep(self.habits.late_ms / 1000)
            self._list = listed

    async def _ask_on(self) -> None:
        due = self.history.clock()
        while True:
            due += 1000 * self._random.expovariate(max(self.traffic.rate, 1e-6))
            wait = due - self.history.clock()
            if wait > 0:
                await asyncio.sleep(min(wait, 100.0) / 1000)
                if wait > 100.0:
                    due = self.history.clock()  # the rate may have changed meanwhile; without memory, so that is fair
                    continue
            self.lag_ms = max(self.lag_ms, -wait)
            grade = self._random.choices(
                list(self.traffic.grades), [each.part for each in self.traffic.grades.values()]
            )[0]
            self._spawn(self._client(grade))

    def _choose(self, but: set[str]) -> str | None:
        now, listed = self.history.clock(), [name for name in self._list if name not in but]
        for _ in range(2 * len(listed)):
            self._at += 1
            name = listed[self._at % len(listed)]
            weight, at = self._said.get(name, (1.0, 0.0))
            if self.habits.heeds and (
                now < self._away.get(name, 0.0) or (now - at < SAID_FOR_MS and self._random.random() > weight)
            ):
                continue
            return name
        return None

    async def _client(self, grade: str) -> None:
        """One client's transaction, over all its tries."""
        told, begun, been = self.traffic.grades[grade], self.history.clock(), set[str]()
        self.history.add(Kind.ASKED, "", "", [grade, told.credit], begun)
        mark = f"{self._random.getrandbits(64):016x}" if told.marked else ""
        body = BODY + b"%016x" % self._random.getrandbits(64)  # the same with every try, as the key is
        for again in range(self.habits.most_tries):
            left = told.patience_ms - (self.history.clock() - begun)
            name = self._choose(been) if left > LEAST_LEFT_MS else None
            if name is None:
                return
            been.add(name)
            word, ident = await self._try(name, grade, told, mark, body, left, again > 0)
            if word == "done":
                in_time = self.history.clock() - begun <= told.quoted_ms
                self.history.add(Kind.SATISFIED, name, ident, [grade, told.credit, in_time, begun, told.without_call])
                return
            if word not in ("later", "nowhere", "crossed") and not told.replayable:
                return  # it may have run: not asked again anywhere

    async def _try(
        self, name: str, grade: str, told: GradeTraffic, mark: str, body: bytes, left: float, again: bool
    ) -> tuple[str, str]:
        """One try: how it ended, and its id; `nowhere` where no connection came about, which proves that nothing
        ran."""
        line = self._lines.get(name)
        if line is None or not line.usable:
            line = await Line.to(name, self._addresses[name], self)
            if line is None:
                return "nowhere", ""
            self._lines[name] = line
        ident = f"{self._random.getrandbits(64):016x}"
        customer = self._random.choices(list(self.traffic.customers), list(self.traffic.customers.values()))[0]
        fields = (
            f"req={ident},ts={time.time() * 1000:.0f},via={self.number},owner={customer},timeout={left:.0f},"
            f"need=20,level={self._random.random():.4f}"
            + (",resent=1" if again else "")
            + (f",opkey={mark}" if mark else "")
        )
        return await line.ask(ident, grade, fields, mark, body, left), ident

    def heard(self, name: str, word: str, fields: dict[str, str]) -> None:
        """What rides on an answer."""
        now = self.history.clock()
        if "signal" in fields:
            self._said[name] = float(fields["signal"]), now
        if word == "later" and "holdoff" in fields:
            self._away[name] = now + float(fields["holdoff"])


class Line(asyncio.Protocol):
    """A balancer's connection to one server. It carries nothing before the server has answered a check on it: what is
    written into a relay that reaches nobody was never written to a server."""

    def __init__(self, name: str, balancer: Balancer) -> None:
        self._name, self._balancer, self._history = name, balancer, balancer.history
        self._open: dict[int, Try] = {}
        self._over: dict[int, Try] = {}  # answered: an answer more would be one too many
        self._held = bytearray()
        self._tag, self._closing = 0, False
        self._transport: asyncio.Transport | None = None
        self.proven: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    @staticmethod
    async def to(name: str, address: Address, balancer: Balancer) -> Line | None:
        """A connection on which the server has answered, or None."""
        line = Line(name, balancer)
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_S):
                await asyncio.get_running_loop().create_connection(lambda: line, *address)
                if await line.proven:
                    return line
        line.break_off()
        return None

    @property
    def usable(self) -> bool:
        return self._transport is not None and not self._closing and len(self._open) < LINE_MOST

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        with suppress(OSError, ValueError):  # closed already
            transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._tag += 1
        self._transport.write(resp.message(b"STATUS", b"%d" % self._tag))

    async def ask(self, ident: str, grade: str, fields: str, mark: str, body: bytes, left: float) -> str:
        """Write it, and wait until it is answered, given up, or has lost its connection."""
        self._tag += 1
        tag, now = self._tag, self._history.clock()
        one = self._open[tag] = Try(ident, grade, body, now, asyncio.get_running_loop().create_future())
        if self._transport is None:
            return "nowhere"
        self._history.add(Kind.WRITTEN, self._name, ident, [grade, mark, now + left], now)
        self._transport.write(resp.message(b"ASK", b"%d" % tag, grade.encode(), fields.encode(), body))
        try:
            async with asyncio.timeout(left / 1000):
                return await one.over
        except TimeoutError:
            if self._open.pop(tag, None) is not None:
                self._history.add(Kind.GONE, self._name, ident)
                if self._transport is not None:
                    self._transport.write(resp.message(b"NEVERMIND", b"%d" % tag))
            return "late"

    def data_received(self, data: bytes) -> None:
        self._held += data
        start = 0
        while (whole := resp.parse(self._held, start, len(self._held))) is not None:
            parts, start = whole
            self._answer(*parts)
        del self._held[:start]

    def _answer(self, tag: bytes, word: bytes, fields: bytes = b"", body: bytes = b"") -> None:
        if tag == b"0":
            self._closing = True
            self._close_when_over()
            return
        if not self.proven.done():
            self.proven.set_result(True)
            return
        one = self._open.pop(int(tag), None) or self._over.get(int(tag))
        if one is None:
            return  # it was given up
        self._over[int(tag)] = one
        if len(self._over) > 4 * LINE_MOST:
            del self._over[next(iter(self._over))]
        said = word.decode()
        good = body == expected_response(one.body)
        self._history.add(Kind.ANSWERED, self._name, one.ident, [said, good])
        self._balancer.heard(self._name, said, dict(pair.split("=") for pair in fields.decode().split(",") if pair))
        if not one.over.done():
            one.over.set_result(said)
        self._close_when_over()

    def _close_when_over(self) -> None:
        if self._closing and not self._open and self._transport is not None:
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if not self.proven.done():
            self.proven.set_result(False)
        now = self._history.clock()
        for one in self._open.values():
            crossed = now - one.written <= CROSSING_MS
            if crossed:
                self._history.add(Kind.CROSSED, self._name, one.ident)
            if not one.over.done():
                one.over.set_result("crossed" if crossed else "broken")
        self._open.clear()

    def break_off(self) -> None:
        """Break the connection from here: nothing is owed on it any more."""
        for one in self._open.values():
            self._history.add(Kind.GONE, self._name, one.ident)
            if not one.over.done():
                one.over.set_result("broken")
        self._open.clear()
        if self._transport is not None:
            self._transport.abort()
