"""Real processes of the server on loopback, between a worker pool and a directory that answer at once.

Owns the start and end of each process (by its id, bounded), and what is read of it from outside: resident memory,
processor time, its reports, and the time of requests and changes. Linux only: memory and time come from /proc.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.capacity.documents import ROOT, Ports, encoded, own_document, platform_value, tenant
from nickelslip.configuration.schema import MAX_NAMES
from nickelslip.configuration.validation import MAX_DOCUMENT_BYTES
from nickelslip.server import resp

READY_MOST_S, LEAVE_MOST_S, ANSWER_MOST_S = 20.0, 6.0, 10.0
UDP_HEADERS = 28  # of IPv4 and UDP, on each datagram
LINES = 8  # connections over which requests are sent
TURNS = 2  # a request passes the server twice, on its way to the worker pool and back: so does an echo
GRADE = "balance"


class Pool(asyncio.Protocol):
    """A worker pool whose every run is over at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport, self._held, self._seq = transport, b"", 0

    def data_received(self, data: bytes) -> None:
        *lines, self._held = (self._held + data).split(b"\n")
        for line in lines:
            self._command(json.loads(line))

    def _command(self, told: dict[str, object]) -> None:
        if told["op"] == "bind":
            self._seq = int(str(told["seq"]))
            self._say(op="bound", end="running", ms=60_000.0)
        elif told["op"] == "poll":
            self._say(op="polled", tag=told["tag"], values=[0.1, 0.1, 0.2, 8])
        elif told["op"] == "spawn":
            self._seq += 1
            self._say(op="finished", seq=self._seq, id=told["id"], end="fine", ms=0.1, body="b2s=")

    def _say(self, **line: object) -> None:
        self._transport.write(json.dumps(line).encode() + b"\n")  # type: ignore[attr-defined]


class Directory(asyncio.DatagramProtocol):
    """A directory that notes when reports come and how long they are."""

    def __init__(self) -> None:
        self.reports: list[tuple[float, int]] = []

    def datagram_received(self, data: bytes, address: object) -> None:
        self.reports.append((time.monotonic(), len(data)))


class Line(asyncio.Protocol):
    """A caller's connection; each answer resolves the future under its tag."""

    def __init__(self) -> None:
        self.waiting: dict[int, asyncio.Future[bytes]] = {}
        self._held, self._tag = bytearray(), 0
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self.ended = True

    def data_received(self, data: bytes) -> None:
        self._held += data
        start = 0
        while (whole := resp.parse(self._held, start, len(self._held))) is not None:
            parts, start = whole
            future = self.waiting.pop(int(parts[0]) if parts[0].isdigit() else int(parts[1]), None)
            if future is not None and not future.done():
                future.set_result(parts[1])
        del self._held[:start]

    def send(self, verb: bytes, *parts: bytes) -> asyncio.Future[bytes]:
        """Send a message; the word of its answer."""
        self._tag += 1
        future = self.waiting[self._tag] = asyncio.get_running_loop().create_future()
        self.transport.write(resp.message(verb, b"%d" % self._tag, *parts))  # type: ignore[attr-defined]
        return future


async def line_to(port: int) -> Line:
    """A new connection."""
    _, line = await asyncio.get_running_loop().create_connection(Line, "127.0.0.1", port)
    line.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return line


@dataclass
class Server:
    """One real process."""

    process: subprocess.Popen[bytes]
    port: int
    directory: Directory
    socket: str
    ready_ms: float = 0.0
    lines: list[Line] = field(default_factory=list)

    def resident_kb(self) -> float:
        """Resident memory now."""
        for each in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if each.startswith("VmRSS:"):
                return float(each.split()[1])
        raise RuntimeError("no resident memory is told")

    def processor_ms(self) -> float:
        """What its main thread has had of a core so far."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e6

    async def processor_share(self, span_s: float) -> float:
        """The part of a core that it takes from now on, over this time."""
        begun, had = time.monotonic(), self.processor_ms()
        await asyncio.sleep(span_s)
        return (self.processor_ms() - had) / 1000 / (time.monotonic() - begun)

    async def open_lines(self, many: int) -> None:
        """Have so many open connections, each of which has been answered once."""
        while len(self.lines) < many:
            line = await line_to(self.port)
            await asyncio.wait_for(line.send(b"STATUS"), ANSWER_MOST_S)
            self.lines.append(line)

    def close_lines(self) -> None:
        """Close all of them."""
        for line in self.lines:
            line.transport.close()
        self.lines.clear()


def free_port() -> int:
    """A loopback port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@asynccontextmanager
async def serving(folder: Path, tenants: int, changes: bool = False) -> AsyncIterator[Server]:
    """A real server with so many tenants, which has its worker pool. Its bounds are lifted only where they have to be.
    With changes it has a control socket."""
    loop = asyncio.get_running_loop()
    pool = await loop.create_server(Pool, "127.0.0.1", 0)
    transport, directory = await loop.create_datagram_endpoint(Directory, ("127.0.0.1", 0))
    ports = Ports(free_port(), pool.sockets[0].getsockname()[1], transport.get_extra_info("sockname")[1])
    path = str(folder / f"control{ports.listen}") if changes else ""
    text = encoded(own_document(tenants, ports, path) if changes else platform_value(tenants, ports))
    file = folder / f"config{ports.listen}.json"
    file.write_bytes(text)
    lifted = len(text) > MAX_DOCUMENT_BYTES or (changes and tenants > MAX_NAMES["customers"])
    program = ["-m", "benchmarks.capacity.unbounded"] if lifted else ["deploy/serve.py"]
    begun = time.monotonic()
    with (folder / "log").open("ab") as log:
        process = subprocess.Popen(
            [sys.executable, "-B", *program, "serve"],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={**os.environ, "ROUTER_CONFIG": str(file)},
        )
    server = Server(process, ports.listen, directory, path)
    try:
        await ready(server)
        server.ready_ms = (time.monotonic() - begun) * 1000
        yield server
    finally:
        server.close_lines()
        await end(process)
        transport.close()
        pool.close()


async def ready(server: Server) -> None:
    """Wait until it answers a request well, which it does once it has its worker pool."""
    async with asyncio.timeout(READY_MOST_S):
        while server.process.poll() is None:
            with suppress(OSError):
                line = await line_to(server.port)
                word = await line.send(b"ASK", *request(random.Random(0), 1))
                line.transport.close()
                if word == b"done":
                    return
            await asyncio.sleep(0.005)
    raise RuntimeError("the server ended before it was ready")


async def end(process: subprocess.Popen[bytes]) -> None:
    """Have one process leave, and kill it where it does not."""
    process.terminate()
    with suppress(TimeoutError):
        async with asyncio.timeout(LEAVE_MOST_S):
            while process.poll() is None:
                await asyncio.sleep(0.02)
    if process.poll() is None:
        process.kill()
    process.wait()


def request(chance: random.Random, tenants: int) -> tuple[bytes, bytes, bytes]:
    """The parts of one request after its tag: grade, fields and body."""
    fields = (
        f"req={chance.getrandbits(64):016x},ts={int(time.time() * 1000)},via=1,"
        f"owner={tenant(chance.randrange(tenants))},timeout=3000,need=8,level=0.5"
    )
    return GRADE.encode(), fields.encode(), b"body"


@dataclass(frozen=True)
class Times:
    """Times of requests through a server and of echoes between them, and the server's share of a core meanwhile."""

    server_ms: tuple[float, ...]  # in order of size
    echo_ms: tuple[float, ...]  # likewise
    failed: int  # requests with another answer than a good one, or none
    core_share: float


async def request_times(server: Server, echo_port: int, tenants: int, rate: float, span_s: float, seed: int) -> Times:
    """Ask in open loop at this rate, with two turns of a like message through the echo beside each request."""
    chance = random.Random(seed)
    lines = [await line_to(server.port) for _ in range(LINES)]
    echo = await line_to(echo_port)
    took: list[float] = []
    echoed: list[float] = []
    failed = 0

    async def one(line: Line) -> None:
        nonlocal failed
        parts = request(chance, tenants)
        begun = time.perf_counter()
        try:
            word = await asyncio.wait_for(line.send(b"ASK", *parts), ANSWER_MOST_S)
        except TimeoutError:
            word = b""
        took.append((time.perf_counter() - begun) * 1000)
        failed += word != b"done"

    async def echo_one() -> None:
        begun = time.perf_counter()
        for _ in range(TURNS):
            await asyncio.wait_for(echo.send(b"ASK", *request(chance, tenants)), ANSWER_MOST_S)
        echoed.append((time.perf_counter() - begun) * 1000)

    begun, had = time.monotonic(), server.processor_ms()
    due, count = begun, 0
    async with asyncio.TaskGroup() as tasks:
        while due < begun + span_s:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            tasks.create_task(one(lines[count % LINES]))
            await asyncio.sleep(max(0.0, due + 0.5 / rate - time.monotonic()))
            tasks.create_task(echo_one())
            count += 1
            due += chance.expovariate(rate)
    share = (server.processor_ms() - had) / 1000 / (time.monotonic() - begun)
    for line in (*lines, echo):
        line.transport.close()
    return Times(tuple(sorted(took)), tuple(sorted(echoed)), failed, share)


@asynccontextmanager
async def echoing() -> AsyncIterator[int]:
    """A process that echoes; its port."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", "benchmarks.capacity.echo_server", cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )
    try:
        assert process.stdout is not None
        yield int(await asyncio.wait_for(process.stdout.readline(), READY_MOST_S))
    finally:
        process.kill()
        await process.wait()
