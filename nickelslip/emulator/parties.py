"""The parties that servers talk to, on loopback sockets: worker pools, the records service, the directory.

Owns the sockets of each and the words of its protocol, as the published page has them. What they are like is in
models.py. Each writes what it sees to the history, and must never know what is measured with it.
"""

from __future__ import annotations

import asyncio
import json
import random
from base64 import b64decode, b64encode
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from math import inf
from typing import cast

from nickelslip.emulator.history import History, Kind
from nickelslip.emulator.models import Listing, Machine, MachineKind, Service, ServiceKind

Address = tuple[str, int]
NOTICES_KEPT = 4000  # by the protocol's page
HALF_WORK = 0.5  # of a run's work lies before its calls
CALL_BODY = b"look up"
FOUND = b"found"


def turned_round(body: bytes) -> bytes:
    """What a run makes of a body: known to whoever checks an answer."""
    return body[::-1]


class Timer:
    """One wake at a time on the loop, moved as needed; times on the history's clock."""

    def __init__(self, history: History, act: Callable[[], None]) -> None:
        self._history, self._act = history, act
        self._handle: asyncio.TimerHandle | None = None
        self._at = inf

    def set(self, at: float) -> None:
        """Act at this time, and at no other that was set before."""
        if self._handle is not None:
            if at == self._at:
                return
            self._handle.cancel()
        self._handle, self._at = None, at
        if at < inf:
            wait = max(0.0, at - self._history.clock()) / 1000
            self._handle = asyncio.get_running_loop().call_later(wait, self._fire)

    def _fire(self) -> None:
        self._handle, self._at = None, inf
        self._act()


@dataclass(frozen=True)
class Work:
    """What runs of each grade are like: work in milliseconds at a speed of 1, and calls in the mean."""

    work_ms: dict[str, float]
    calls: dict[str, float] = field(default_factory=dict)
    spread: float = 0.3  # each run's work is drawn within this part of the mean


@dataclass
class Run:
    """A run, and where it stands."""

    ident: str
    grade: str
    body: bytes
    began: float
    left: list[float]  # work still to be done, in parts with a call behind each but the last
    at_call: int = 0  # the number of the notice, while it stands at a call
    over: bool = False


class Pool:
    """One life of one server's worker pool: a listener, its links, its runs. `up_ms` after its beginning it is up;
    until then links are accepted and nothing is said on them."""

    def __init__(
        self,
        server: str,
        kind: MachineKind,
        work: Work,
        seed: int,
        history: History,
        up_ms: float = 0.0,
        on_fall: Callable[[str], None] = lambda server: None,
    ) -> None:
        self.server, self._kind, self._work, self._seed, self._history = server, kind, work, seed, history
        self._on_fall = on_fall
        self._machine = Machine(kind, history.clock() + up_ms)
        self._up_at = history.clock() + up_ms
        self._runs: dict[str, Run] = {}
        self._known: set[str] = set()
        self._seq = 0
        self._notices: deque[dict[str, object]] = deque(maxlen=NOTICES_KEPT)
        self._links: list[Link] = []
        self._timer = Timer(history, self._look)
        self.dead = False

    async def listen(self, address: Address) -> asyncio.Server:
        """Stand at an address; a pool may stand at several, as one that has moved does."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Link(self), *address)
        if self._history.clock() < self._up_at:
            loop.call_later((self._up_at - self._history.clock()) / 1000, self._come_up)
        return server

    @property
    def up(self) -> bool:
        return not self.dead and self._history.clock() >= self._up_at

    @property
    def worst(self) -> float:
        """The worst excess of its machine's crowd while it was cold."""
        return self._machine.worst

    @property
    def linked(self) -> bool:
        """Whether a server has its link here, bound."""
        return any(link.bound for link in self._links)

    def end(self, why: str) -> None:
        """It is gone: nothing more is told, and what runs comes to nothing."""
        if not self.dead:
            self.dead = True
            self._timer.set(inf)
            self._history.add(Kind.FAULT, self.server, "", f"worker pool ended: {why}")
            for link in list(self._links):
                link.break_off()

    def break_links(self) -> None:
        """Break the link; runs go on, and notices are kept for the next."""
        for link in list(self._links):
            link.break_off()

    # The link

    def joined(self, link: Link) -> None:
        self._links.append(link)
        self._history.add(Kind.CONNECTED, self.server, "", "pool")
        if self.dead:
            link.break_off()

    def left(self, link: Link) -> None:
        if link in self._links:
            self._links.remove(link)

    def _come_up(self) -> None:
        for link in self._links:
            if link.asked_from is not None:
                self._bind(link)

    def _bind(self, link: Link) -> None:
        link.bound = True
        link.say(op="bound", end="running", ms=self._history.clock() - self._up_at)
        for notice in list(self._notices):
            if notice["seq"] > link.asked_from:  # type: ignore[operator]
                link.say(**notice)
        self._history.add(Kind.LINKED, self.server)

    def command(self, link: Link, told: dict[str, object]) -> None:
        """One command. What is none closes the link."""
        if self.dead:
            return
        op, ident = told["op"], str(told.get("id", ""))
        if op == "bind":
            link.asked_from = int(str(told["seq"]))
            if self.up:
                self._bind(link)
        elif op == "poll":
            machine = self._machine
            link.say(op="polled", tag=told["tag"], values=[machine.busy, machine.running, 0.2, 8])
        elif op == "spawn":
            self._spawn(ident, str(told["class"]), b64decode(str(told["body"])))
        elif op == "suspend":
            self._suspend(ident)
        elif op in ("supply", "pass"):
            run = self._runs.get(ident)
            if run is not None and run.at_call and (op == "supply" or int(str(told["seq"])) == run.at_call):
                run.at_call = 0
                if op == "pass":
                    self._history.add(Kind.LEFT_OUT, self.server, ident)
                self._work_on(run)
            elif ident not in self._known:
                link.say(op="unknown", end=op, id=ident)
        else:
            link.break_off()

    # Runs

    def _spawn(self, ident: str, grade: str, body: bytes) -> None:
        self._known.add(ident)
        if ident in self._runs:
            return
        now = self._history.clock()
        self._history.add(Kind.RUN, self.server, ident, grade, now)
        chance = random.Random(f"{self._seed} {ident}")
        work = self._work.work_ms[grade] * chance.uniform(1 - self._work.spread, 1 + self._work.spread)
        mean = self._work.calls.get(grade, 0.0) * self._machine.calls_factor(now)
        calls = int(mean) + (chance.random() < mean % 1)
        parts = [work * HALF_WORK, *[0.0] * (calls - 1), work * (1 - HALF_WORK)] if calls else [work]
        run = self._runs[ident] = Run(ident, grade, body, now, parts)
        self._work_on(run)

    def _work_on(self, run: Run) -> None:
        self._machine.start(self._history.clock(), run.ident, run.left.pop(0))
        self._look()

    def _suspend(self, ident: str) -> None:
        run = self._runs.get(ident)
        if run is not None and (self._machine.stop(self._history.clock(), ident) or run.at_call):
            self._finish(run, "broken_off")
            self._look()

    def _look(self) -> None:
        now = self._history.clock()
        for key in self._machine.finished(now):
            run = self._runs[str(key)]
            if run.left:
                self._tell(op="blocked", id=run.ident, body=b64encode(CALL_BODY).decode())
                run.at_call = self._seq
            else:
                self._finish(run, "fine")
        if self._machine.fell and not self.dead:
            self._history.add(Kind.FELL, self.server, "", "machine")
            self.end("it fell over")
            self._on_fall(self.server)
            return
        self._timer.set(self._machine.next_at())

    def _finish(self, run: Run, end: str) -> None:
        del self._runs[run.ident]
        self._tell(
            op="finished",
            id=run.ident,
            end=end,
            ms=self._history.clock() - run.began,
            body=b64encode(turned_round(run.body)).decode() if end == "fine" else "",
        )

    def _tell(self, **line: object) -> None:
        self._seq += 1
        self._notices.append({**line, "seq": self._seq})
        if self._links and (link := self._links[-1]).bound:
            link.say(**self._notices[-1])


class Link(asyncio.Protocol):
    """One link of a server to its worker pool."""

    def __init__(self, pool: Pool) -> None:
        self._pool, self._held = pool, b""
        self.asked_from: int | None = None
        self.bound = False
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._pool.joined(self)

    def data_received(self, data: bytes) -> None:
        *lines, self._held = (self._held + data).split(b"\n")
        for line in lines:
            self._pool.command(self, json.loads(line))

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._pool.left(self)

    def say(self, **line: object) -> None:
        if self._transport is not None:
            self._transport.write(json.dumps(line, separators=(",", ":")).encode() + b"\n")

    def break_off(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class Records:
    """The records service: one for all servers, which know it under an address each, or under one."""

    def __init__(self, kind: ServiceKind, history: History, seed: int = 1) -> None:
        self.service = Service(kind, history.clock())
        self._history, self._random = history, random.Random(f"records {seed}")
        self._open: dict[tuple[int, str], Carrying] = {}
        self._lines: set[Carrying] = set()
        self._timer = Timer(history, self._look)
        self._listeners: list[tuple[asyncio.Server, str, Address]] = []
        self._coming: asyncio.Task[None] | None = None

    async def listen(self, address: Address, server: str = "") -> Address:
        """Stand at an address, under which this server, or any, knows it; where."""
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(lambda: Carrying(self, server), *address, backlog=512)
        host, port = listener.sockets[0].getsockname()[:2]
        self._listeners.append((listener, server, (str(host), int(port))))
        return str(host), int(port)

    def fall(self, for_ms: float) -> None:
        """It goes down for a while: what it has in hand is lost, and connections are refused."""
        self.service.fall(self._history.clock(), for_ms)
        self._go_down(for_ms)

    def _go_down(self, for_ms: float) -> None:
        self._history.add(Kind.FELL, "", "", "records")
        for listener, _, _ in self._listeners:
            listener.close()
        for line in list(self._lines):
            line.break_off()
        self._open.clear()
        self._coming = asyncio.get_running_loop().create_task(self._come_back(for_ms))

    async def _come_back(self, after_ms: float) -> None:
        await asyncio.sleep(after_ms / 1000)
        known, self._listeners = self._listeners, []
        for _, server, address in known:
            with suppress(OSError):
                await self.listen(address, server)

    def close(self) -> None:
        """End it."""
        self._timer.set(inf)
        if self._coming is not None:
            self._coming.cancel()
        for listener, _, _ in self._listeners:
            listener.close()
        for line in list(self._lines):
            line.break_off()

    def begin(self, line: Carrying, ident: str) -> None:
        """A call has come whole."""
        now = self._history.clock()
        if (line.number, ident) in self._open:
            self.service.give_up(now, (line.number, ident))
        self._open[line.number, ident] = line
        self.service.begin(now, (line.number, ident), self.service.kind.call_ms * self._random.uniform(0.7, 1.3))
        self._history.add(Kind.CALL, line.server, ident, self.service.in_hand(now), now)
        self._look()

    def give_up(self, line: Carrying, ident: str) -> None:
        if self._open.pop((line.number, ident), None) is not None:
            now = self._history.clock()
            self.service.give_up(now, (line.number, ident))
            self._history.add(Kind.CALL_OVER, line.server, ident, self.service.in_hand(now), now)
            self._look()

    def joined(self, line: Carrying) -> None:
        self._lines.add(line)
        self._history.add(Kind.CONNECTED, line.server, "", "records")

    def left(self, line: Carrying) -> None:
        self._lines.discard(line)
        for _, ident in [key for key in self._open if key[0] == line.number]:
            self.give_up(line, ident)

    def _look(self) -> None:
        now, falls = self._history.clock(), self.service.falls
        for key in self.service.finished(now):
            line = self._open.pop(key, None)  # type: ignore[call-overload]
            if line is not None:
                line.reply(key[1])  # type: ignore[index]
                self._history.add(Kind.CALL_OVER, line.server, key[1], self.service.in_hand(now), now)  # type: ignore[index]
        if self.service.falls > falls:
            self._go_down(self.service.kind.down_ms)
        self._timer.set(self.service.next_at())


class Carrying(asyncio.Protocol):
    """A server's connection to the records service."""

    _numbers = iter(range(1, 1 << 62))

    def __init__(self, records: Records, server: str) -> None:
        self._records, self.server, self._held = records, server, b""
        self.number = next(self._numbers)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._records.joined(self)

    def data_received(self, data: bytes) -> None:
        self._held += data
        while b"\r\n" in self._held:
            line, _, rest = self._held.partition(b"\r\n")
            verb, ident, *more = line.split(b" ")
            size = int(more[1]) + 2 if more else 0
            if len(rest) < size:
                return
            self._held = rest[size:]
            if verb == b"OP":
                self._records.begin(self, ident.decode())
            else:
                self._records.give_up(self, ident.decode())

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._records.left(self)

    def reply(self, ident: str) -> None:
        if self._transport is not None:
            self._transport.write(b"%b DONE %d\r\n%b\r\n" % (ident.encode(), len(FOUND), FOUND))

    def break_off(self) -> None:
        if self._transport is not None:
            self._transport.abort()


class Directory(asyncio.DatagramProtocol):
    """The directory: reports come in, the list is read."""

    def __init__(self, history: History, lapse_ms: float = 3000.0) -> None:
        self.listing, self._history = Listing(lapse_ms), history
        self.lost, self._random = 0.0, random.Random("lost on the way to the directory")  # this part of all reports
        self._transports: list[asyncio.DatagramTransport] = []

    async def hear(self, address: Address) -> Address:
        """Hear reports at an address; where."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self._transports.append(transport)
        host, port = transport.get_extra_info("sockname")[:2]
        return str(host), int(port)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        parts = data.split(b" ")
        if len(parts) == 3 and parts[0] == b"PULSE" and parts[2] in (b"open", b"closed"):
            now, name = self._history.clock(), parts[1].decode()
            if self._random.random() < self.lost:
                return
            self._history.add(Kind.REPORT, name, "", self.listing.report(now, name), now)

    def came_up(self, name: str) -> None:
        """A server's worker pool came up: it is listed."""
        self.listing.report(self._history.clock(), name)

    def listed(self) -> list[str]:
        return self.listing.listed(self._history.clock())

    def down(self) -> None:
        self.listing.down(self._history.clock())
        self._history.add(Kind.FAULT, "", "", "directory down")

    def up(self, empty: bool = False) -> None:
        self.listing.up(self._history.clock(), empty)
        self._history.add(Kind.FAULT, "", "", "directory up, empty" if empty else "directory up")

    def close(self) -> None:
        for transport in self._transports:
            transport.close()
