"""Stand-ins for all that a server talks to, with a speed: worker pool, records, directory, and callers in open loop.

Owns parties that speak the published protocols on loopback addresses and count what they see. They must never know
what is measured with them. Runs wait for a free core in the order in which they were started; a caller asks at its
drawn times whatever became of what it asked before, so that a slow server is not asked less.
"""

from __future__ import annotations

import json
import random
import socket
import time
from base64 import b64decode, b64encode
from collections import Counter, deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

import anyio
import anyio.abc

from nickelslip.server import resp

BODY = b"from the till"
LINE_FEW, LINE_MOST = 4, 32  # open on a connection: with so many another is opened; and no more than so many


class Workers:
    """A worker pool with some cores; each run works once, calls once where its grade does, and works the rest."""

    def __init__(
        self, tasks: anyio.abc.TaskGroup, cores: int, work_ms: dict[str, float], calls: dict[str, bool], seed: int
    ) -> None:
        self._tasks, self.cores, self._work, self._calls = tasks, cores, work_ms, calls
        self._random = random.Random(seed)
        self._seats = anyio.Semaphore(cores)
        self._notices: deque[dict[str, object]] = deque(maxlen=4000)
        self._seq = 0
        self._stream: anyio.abc.SocketStream | None = None
        self._replies: dict[str, anyio.Event] = {}
        self._stopped: set[str] = set()
        self.starts: Counter[str] = Counter()
        self.grades: dict[str, str] = {}
        self._lock = anyio.Lock()

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """One link; the newest is told all."""
        held = b""
        with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            async for data in stream:
                *lines, held = (held + data).split(b"\n")
                for line in lines:
                    await self._command(json.loads(line), stream)

    async def _command(self, told: dict[str, object], stream: anyio.abc.SocketStream) -> None:
        op, ident = told["op"], str(told.get("id", ""))
        if op == "bind":
            self._stream = stream
            await self._send(op="bound", end="running", ms=60_000.0)
            for notice in list(self._notices):
                if notice["seq"] > told["seq"]:  # type: ignore[operator]
                    await self._send(**notice)
        elif op == "poll":
            busy = (self.cores - self._seats.value) / self.cores
            await self._send(op="polled", tag=told["tag"], values=[busy, busy * self.cores, 0.2, 8])
        elif op == "spawn":
            self.starts[ident] += 1
            self.grades[ident] = str(told["class"])
            self._tasks.start_soon(self._run, ident, str(told["class"]), b64decode(str(told["body"])))
        elif op == "suspend":
            self._stopped.add(ident)
        elif op in ("supply", "pass") and ident in self._replies:
            self._replies[ident].set()

    async def _send(self, **line: object) -> None:
        async with self._lock:
            if self._stream is not None:
                with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                    await self._stream.send(json.dumps(line).encode() + b"\n")

    async def _tell(self, **line: object) -> None:
        self._seq += 1
        self._notices.append({**line, "seq": self._seq})
        await self._send(**self._notices[-1])

    async def _run(self, ident: str, grade: str, body: bytes) -> None:
        begun, work = time.monotonic(), self._work[grade] * self._random.uniform(0.7, 1.3)
        for part in (0.5, 0.5):
            async with self._seats:
                if ident not in self._stopped:
                    await anyio.sleep(work * part / 1000)
            if part == 0.5 and self._calls[grade] and ident not in self._stopped and ident not in self._replies:
                self._replies[ident] = anyio.Event()
                await self._tell(op="blocked", id=ident, body=b64encode(b"look up").decode())
                with anyio.move_on_after(3.0):
                    await self._replies[ident].wait()
        self._replies.pop(ident, None)
        end = "broken_off" if ident in self._stopped else "fine"
        self._stopped.discard(ident)
        await self._tell(
            op="finished",
            id=ident,
            end=end,
            ms=(time.monotonic() - begun) * 1000,
            body=b64encode(body[::-1]).decode() if end == "fine" else "",
        )


async def records(stream: anyio.abc.SocketStream, call_ms: float) -> None:
    """A records service that answers each call after a while; one call at a time comes on a connection."""
    held = b""
    with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
        async for data in stream:
            held += data
            while b"\r\n" in held:
                line, _, rest = held.partition(b"\r\n")
                verb, ident, *more = line.split(b" ")
                size = int(more[1]) + 2 if more else 0
                if len(rest) < size:
                    break
                held = rest[size:]
                if verb == b"OP":
                    await anyio.sleep(call_ms / 1000)
                    await stream.send(b"%b DONE 5\r\nfound\r\n" % ident)


@dataclass
class Asked:
    """One transaction as its caller sees it."""

    grade: str
    customer: str
    begun: float
    answers: int = 0
    word: str = ""
    took_ms: float = 0.0


@dataclass
class Traffic:
    """What is asked a second, of which grades and customers; the rate may be changed at any time."""

    rate: float
    grades: dict[str, float]
    customers: dict[str, float]
    quoted_ms: dict[str, float]
    timeout_ms: dict[str, float]
    connections: int = 8
    asked: dict[str, Asked] = field(default_factory=dict)
    lag_ms: float = 0.0  # by which the callers themselves were late, at the worst


class Line:
    """One connection of the callers, and what is open on it."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream, self.open, self.closing = stream, dict[int, str](), False


class Callers:
    """Callers in open loop over a few connections, which are opened as they are needed, as balancers do: one on which
    nothing is said would be closed for its silence."""

    def __init__(self, port: int, traffic: Traffic, seed: int, now_ms: Callable[[], float]) -> None:
        self._port, self.traffic, self._random, self._now = port, traffic, random.Random(seed), now_ms
        self._lines: list[Line] = []
        self._tag = 0
        self.stopping = False

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Ask until told to stop."""
        due, traffic = time.monotonic(), self.traffic
        while not self.stopping:
            due += self._random.expovariate(traffic.rate)
            left = due - time.monotonic()
            if left > 0:
                await anyio.sleep(left)
            elif -left * 1000 > traffic.lag_ms:
                traffic.lag_ms = -left * 1000
            await self._ask(tasks)

    async def _line(self, tasks: anyio.abc.TaskGroup) -> Line | None:
        """The connection with the least open on it, a new one where that is much; None where all are full."""
        usable = [line for line in self._lines if not line.closing]
        least = min(usable, key=lambda line: len(line.open), default=None)
        if least is not None and (len(least.open) < LINE_FEW or len(self._lines) >= self.traffic.connections):
            return least if len(least.open) < LINE_MOST else None
        stream = await anyio.connect_tcp("127.0.0.1", self._port)
        stream.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        line = Line(stream)
        self._lines.append(line)
        tasks.start_soon(self._hear, line)
        return line

    async def _ask(self, tasks: anyio.abc.TaskGroup) -> None:
        traffic = self.traffic
        grade = self._random.choices(list(traffic.grades), list(traffic.grades.values()))[0]
        customer = self._random.choices(list(traffic.customers), list(traffic.customers.values()))[0]
        ident = f"{self._random.getrandbits(64):016x}"
        line = await self._line(tasks)
        if line is None:
            return  # as a balancer would: no place for it; it reaches no server
        self._tag += 1
        traffic.asked[ident] = Asked(grade, customer, time.monotonic())
        line.open[self._tag] = ident
        fields = (
            f"req={ident},ts={int(self._now())},via=1,owner={customer},"
            f"timeout={traffic.timeout_ms[grade]:.0f},need=20,level={self._random.random():.4f}"
        )
        with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            await line.stream.send(resp.message(b"ASK", b"%d" % self._tag, grade.encode(), fields.encode(), BODY))

    async def _hear(self, line: Line) -> None:
        held = bytearray()
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            while not (line.closing and not line.open):
                held += await line.stream.receive()
                start = 0
                while (whole := resp.parse(held, start, len(held))) is not None:
                    (tag, word, *_), start = whole
                    if tag == b"0":
                        line.closing = True
                    elif (ident := line.open.pop(int(tag), None)) is not None:
                        one = self.traffic.asked[ident]
                        one.answers, one.word = one.answers + 1, word.decode()
                        one.took_ms = (time.monotonic() - one.begun) * 1000
                del held[:start]
        self._lines.remove(line)
        await line.stream.aclose()


async def listen(tasks: anyio.abc.TaskGroup, handler: Callable[..., object]) -> int:
    """Serve on a free loopback port; which one."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    tasks.start_soon(listener.serve, handler)
    return int(listener.extra(anyio.abc.SocketAttribute.local_port))
