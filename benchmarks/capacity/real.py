"""Real processes of the server on loopback, between a worker pool and a directory that answer at once.

A process is started and ended by its id within a bounded time. Read from outside are its resident memory, processor
time and load reports, and the time of requests and changes. Linux only: memory and processor time come from /proc.
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

READY_TIMEOUT_S, STOP_TIMEOUT_S, ANSWER_TIMEOUT_S = 20.0, 6.0, 10.0
UDP_HEADERS = 28  # of IPv4 and UDP, on each datagram
CONNECTION_COUNT = 8  # connections over which requests are sent
ECHOES_PER_REQUEST = 2  # a request passes the server twice, on its way to the worker pool and back: so does an echo
TRAFFIC_CLASS = "balance"


class InstantWorkerPool(asyncio.Protocol):
    """A worker pool whose every run ends at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport
        self._buffer = b""
        self._last_number = 0

    def data_received(self, data: bytes) -> None:
        """Execute whole commands."""
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            self._execute(json.loads(line))

    def _execute(self, command: dict[str, object]) -> None:
        if command["op"] == "bind":
            self._last_number = int(str(command["seq"]))
            self._send(op="bound", end="running", ms=60_000.0)
        elif command["op"] == "poll":
            self._send(op="polled", tag=command["tag"], values=[0.1, 0.1, 0.2, 8])
        elif command["op"] == "spawn":
            self._last_number += 1
            self._send(op="finished", seq=self._last_number, id=command["id"], end="fine", ms=0.1, body="b2s=")

    def _send(self, **message: object) -> None:
        self._transport.write(json.dumps(message).encode() + b"\n")  # type: ignore[attr-defined]


class FakeDirectory(asyncio.DatagramProtocol):
    """A directory that keeps the moment and the size in bytes of each load report."""

    def __init__(self) -> None:
        self.reports: list[tuple[float, int]] = []

    def datagram_received(self, data: bytes, address: object) -> None:
        """Keep moment and size."""
        self.reports.append((time.monotonic(), len(data)))


class ClientConnection(asyncio.Protocol):
    """A client's connection; each answer resolves the future under its tag."""

    def __init__(self) -> None:
        self.waiting: dict[int, asyncio.Future[bytes]] = {}
        self.is_closed = False
        self._buffer = bytearray()
        self._last_tag = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Note that the connection is closed."""
        self.is_closed = True

    def data_received(self, data: bytes) -> None:
        """Resolve the futures of whole answers."""
        self._buffer += data
        start = 0
        while (parsed := resp.parse(self._buffer, start, len(self._buffer))) is not None:
            parts, start = parsed
            future = self.waiting.pop(int(parts[0]) if parts[0].isdigit() else int(parts[1]), None)
            if future is not None and not future.done():
                future.set_result(parts[1])
        del self._buffer[:start]

    def send(self, verb: bytes, *parts: bytes) -> asyncio.Future[bytes]:
        """Send a message, and return a future of the word of its answer."""
        self._last_tag += 1
        future = self.waiting[self._last_tag] = asyncio.get_running_loop().create_future()
        self.transport.write(resp.message(verb, b"%d" % self._last_tag, *parts))  # type: ignore[attr-defined]
        return future


async def connect(port: int) -> ClientConnection:
    """Open a connection."""
    _, connection = await asyncio.get_running_loop().create_connection(ClientConnection, "127.0.0.1", port)
    connection.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


@dataclass
class Server:
    """A real process of the server."""

    process: subprocess.Popen[bytes]
    port: int
    directory: FakeDirectory
    socket: str
    ready_ms: float = 0.0
    connections: list[ClientConnection] = field(default_factory=list)

    def resident_kb(self) -> float:
        """Resident memory now."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return float(line.split()[1])
        raise RuntimeError("no VmRSS in /proc")

    def processor_ms(self) -> float:
        """What its main thread has had of a core so far."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e6

    async def processor_share(self, span_s: float) -> float:
        """The part of a core that it takes from now on, over this time."""
        begun, had = time.monotonic(), self.processor_ms()
        await asyncio.sleep(span_s)
        return (self.processor_ms() - had) / 1000 / (time.monotonic() - begun)

    async def open_connections(self, count: int) -> None:
        """Open connections until there are `count`; each has had one answer."""
        while len(self.connections) < count:
            connection = await connect(self.port)
            await asyncio.wait_for(connection.send(b"STATUS"), ANSWER_TIMEOUT_S)
            self.connections.append(connection)

    def close_connections(self) -> None:
        """Close all connections."""
        for connection in self.connections:
            connection.transport.close()
        self.connections.clear()


def free_port() -> int:
    """A loopback port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@asynccontextmanager
async def serving(folder: Path, tenants: int, changes: bool = False) -> AsyncIterator[Server]:
    """Run a real server with so many tenants, and yield it once it is connected to its worker pool.

    Its bounds on documents are lifted only if the size needs it. With `changes` it has a control socket.
    """
    loop = asyncio.get_running_loop()
    pool = await loop.create_server(InstantWorkerPool, "127.0.0.1", 0)
    transport, directory = await loop.create_datagram_endpoint(FakeDirectory, ("127.0.0.1", 0))
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
        server.close_connections()
        await end(process)
        transport.close()
        pool.close()


async def ready(server: Server) -> None:
    """Wait until it answers a request well, which it does once it has its worker pool."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while server.process.poll() is None:
            with suppress(OSError):
                connection = await connect(server.port)
                word = await connection.send(b"ASK", *request(random.Random(0), 1))
                connection.transport.close()
                if word == b"done":
                    return
            await asyncio.sleep(0.005)
    raise RuntimeError("the server ended before it was ready")


async def end(process: subprocess.Popen[bytes]) -> None:
    """Have one process leave, and kill it where it does not."""
    process.terminate()
    with suppress(TimeoutError):
        async with asyncio.timeout(STOP_TIMEOUT_S):
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
    return TRAFFIC_CLASS.encode(), fields.encode(), b"body"


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
    connections = [await connect(server.port) for _ in range(CONNECTION_COUNT)]
    echo = await connect(echo_port)
    request_ms: list[float] = []
    echo_ms: list[float] = []
    failed = 0

    async def send_request(connection: ClientConnection) -> None:
        nonlocal failed
        parts = request(chance, tenants)
        begun = time.perf_counter()
        try:
            word = await asyncio.wait_for(connection.send(b"ASK", *parts), ANSWER_TIMEOUT_S)
        except TimeoutError:
            word = b""
        request_ms.append((time.perf_counter() - begun) * 1000)
        failed += word != b"done"

    async def send_echoes() -> None:
        begun = time.perf_counter()
        for _ in range(ECHOES_PER_REQUEST):
            await asyncio.wait_for(echo.send(b"ASK", *request(chance, tenants)), ANSWER_TIMEOUT_S)
        echo_ms.append((time.perf_counter() - begun) * 1000)

    begun, had = time.monotonic(), server.processor_ms()
    due, count = begun, 0
    async with asyncio.TaskGroup() as tasks:
        while due < begun + span_s:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            tasks.create_task(send_request(connections[count % CONNECTION_COUNT]))
            await asyncio.sleep(max(0.0, due + 0.5 / rate - time.monotonic()))
            tasks.create_task(send_echoes())
            count += 1
            due += chance.expovariate(rate)
    share = (server.processor_ms() - had) / 1000 / (time.monotonic() - begun)
    for connection in (*connections, echo):
        connection.transport.close()
    return Times(tuple(sorted(request_ms)), tuple(sorted(echo_ms)), failed, share)


@asynccontextmanager
async def echoing() -> AsyncIterator[int]:
    """A process that echoes; its port."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", "benchmarks.capacity.echo_server", cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )
    try:
        assert process.stdout is not None
        yield int(await asyncio.wait_for(process.stdout.readline(), READY_TIMEOUT_S))
    finally:
        process.kill()
        await process.wait()
