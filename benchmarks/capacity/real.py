"""Measures real server processes on loopback, with a fake worker pool and directory that answer at once.

Each process is started and stopped within a time limit. Its resident memory, processor time and load reports, and the
times of requests and changes, are observed from outside. Linux only: memory and processor time come from /proc.
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

from benchmarks.capacity.documents import ROOT, Ports, encode_compact, native_document, platform_config, tenant_name
from nickelslip.configuration.schema import MAX_NAMES
from nickelslip.configuration.validation import MAX_DOCUMENT_BYTES
from nickelslip.server import resp

READY_TIMEOUT_S, STOP_TIMEOUT_S, ANSWER_TIMEOUT_S = 20.0, 6.0, 10.0
UDP_HEADERS = 28  # bytes of IPv4 and UDP headers on each datagram
CONNECTION_COUNT = 8  # connections over which requests are sent
ECHOES_PER_REQUEST = 2  # a request passes the server twice, to the worker pool and back, so two echoes are its baseline
TRAFFIC_CLASS = "balance"


class InstantWorkerPool(asyncio.Protocol):
    """A worker pool in which every run finishes at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport
        self._buffer = b""
        self._last_number = 0

    def data_received(self, data: bytes) -> None:
        """Execute the complete commands received so far."""
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
    """A directory that records the time and the size in bytes of each load report."""

    def __init__(self) -> None:
        self.reports: list[tuple[float, int]] = []

    def datagram_received(self, data: bytes, address: object) -> None:
        """Record the time and size of a load report."""
        self.reports.append((time.monotonic(), len(data)))


class ClientConnection(asyncio.Protocol):
    """A client's connection. Each answer resolves the future of its tag."""

    def __init__(self) -> None:
        self.waiting: dict[int, asyncio.Future[bytes]] = {}
        self.is_closed = False
        self._buffer = bytearray()
        self._last_tag = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Mark the connection as closed."""
        self.is_closed = True

    def data_received(self, data: bytes) -> None:
        """Resolve the futures of the complete answers received so far."""
        self._buffer += data
        start = 0
        while (parsed := resp.parse(self._buffer, start, len(self._buffer))) is not None:
            parts, start = parsed
            future = self.waiting.pop(int(parts[0]) if parts[0].isdigit() else int(parts[1]), None)
            if future is not None and not future.done():
                future.set_result(parts[1])
        del self._buffer[:start]

    def send(self, verb: bytes, *parts: bytes) -> asyncio.Future[bytes]:
        """Send a message, and return a future for the status word of its answer."""
        self._last_tag += 1
        future = self.waiting[self._last_tag] = asyncio.get_running_loop().create_future()
        self.transport.write(resp.message(verb, b"%d" % self._last_tag, *parts))  # type: ignore[attr-defined]
        return future


async def connect(port: int) -> ClientConnection:
    """Open a connection to a loopback port."""
    _, connection = await asyncio.get_running_loop().create_connection(ClientConnection, "127.0.0.1", port)
    connection.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


@dataclass
class Server:
    """A real server process."""

    process: subprocess.Popen[bytes]
    port: int
    directory: FakeDirectory
    socket: str
    ready_ms: float = 0.0
    connections: list[ClientConnection] = field(default_factory=list)

    def resident_kb(self) -> float:
        """Return the current resident memory."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return float(line.split()[1])
        raise RuntimeError("no VmRSS in /proc")

    def processor_ms(self) -> float:
        """Return the processor time that the main thread has used so far."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e6

    async def processor_share(self, span_s: float) -> float:
        """Return the fraction of a core that the main thread uses during the next `span_s` seconds."""
        started_at_s, processor_ms_before = time.monotonic(), self.processor_ms()
        await asyncio.sleep(span_s)
        return (self.processor_ms() - processor_ms_before) / 1000 / (time.monotonic() - started_at_s)

    async def open_connections(self, count: int) -> None:
        """Open connections until there are `count`, and wait for one answer on each new one."""
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
    """Return a loopback port that was free when probed."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@asynccontextmanager
async def running_server(folder: Path, tenants: int, changes: bool = False) -> AsyncIterator[Server]:
    """Run a real server with this many tenants, and yield it once it is connected to its worker pool.

    Its limits on documents are raised only if the size needs it. With `changes` it has a control socket.
    """
    loop = asyncio.get_running_loop()
    pool = await loop.create_server(InstantWorkerPool, "127.0.0.1", 0)
    transport, directory = await loop.create_datagram_endpoint(FakeDirectory, ("127.0.0.1", 0))
    ports = Ports(free_port(), pool.sockets[0].getsockname()[1], transport.get_extra_info("sockname")[1])
    path = str(folder / f"control{ports.listen}") if changes else ""
    text = encode_compact(native_document(tenants, ports, path) if changes else platform_config(tenants, ports))
    file = folder / f"config{ports.listen}.json"
    file.write_bytes(text)
    needs_raised_limits = len(text) > MAX_DOCUMENT_BYTES or (changes and tenants > MAX_NAMES["customers"])
    program = ["-m", "benchmarks.capacity.unbounded"] if needs_raised_limits else ["deploy/serve.py"]
    started_at_s = time.monotonic()
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
        await wait_until_ready(server)
        server.ready_ms = (time.monotonic() - started_at_s) * 1000
        yield server
    finally:
        server.close_connections()
        await terminate(process)
        transport.close()
        pool.close()


async def wait_until_ready(server: Server) -> None:
    """Wait until the server completes a request, which it does once it is connected to its worker pool."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while server.process.poll() is None:
            with suppress(OSError):
                connection = await connect(server.port)
                word = await connection.send(b"ASK", *request_parts(random.Random(0), 1))
                connection.transport.close()
                if word == b"done":
                    return
            await asyncio.sleep(0.005)
    raise RuntimeError("the server ended before it was ready")


async def terminate(process: subprocess.Popen[bytes]) -> None:
    """Terminate a process, and kill it if it does not exit within STOP_TIMEOUT_S."""
    process.terminate()
    with suppress(TimeoutError):
        async with asyncio.timeout(STOP_TIMEOUT_S):
            while process.poll() is None:
                await asyncio.sleep(0.02)
    if process.poll() is None:
        process.kill()
    process.wait()


def request_parts(generator: random.Random, tenants: int) -> tuple[bytes, bytes, bytes]:
    """Return the parts of one request after its tag: traffic class, fields and body."""
    fields = (
        f"req={generator.getrandbits(64):016x},ts={int(time.time() * 1000)},via=1,"
        f"owner={tenant_name(generator.randrange(tenants))},timeout=3000,need=8,level=0.5"
    )
    return TRAFFIC_CLASS.encode(), fields.encode(), b"body"


@dataclass(frozen=True)
class RequestTimes:
    """Times of requests through a server and of interleaved echoes, and the server's share of a core during them."""

    server_ms: tuple[float, ...]  # ascending
    echo_ms: tuple[float, ...]  # ascending
    failed: int  # requests that were not answered, or not with success
    core_share: float


async def request_times(
    server: Server, echo_port: int, tenants: int, rate_per_s: float, span_s: float, seed: int
) -> RequestTimes:
    """Send requests in open loop at this rate, and two similar messages through the echo server for each."""
    generator = random.Random(seed)
    connections = [await connect(server.port) for _ in range(CONNECTION_COUNT)]
    echo = await connect(echo_port)
    request_ms: list[float] = []
    echo_ms: list[float] = []
    failed = 0

    async def send_request(connection: ClientConnection) -> None:
        nonlocal failed
        parts = request_parts(generator, tenants)
        started_at_s = time.perf_counter()
        try:
            word = await asyncio.wait_for(connection.send(b"ASK", *parts), ANSWER_TIMEOUT_S)
        except TimeoutError:
            word = b""
        request_ms.append((time.perf_counter() - started_at_s) * 1000)
        failed += word != b"done"

    async def send_echoes() -> None:
        started_at_s = time.perf_counter()
        for _ in range(ECHOES_PER_REQUEST):
            await asyncio.wait_for(echo.send(b"ASK", *request_parts(generator, tenants)), ANSWER_TIMEOUT_S)
        echo_ms.append((time.perf_counter() - started_at_s) * 1000)

    started_at_s, processor_ms_before = time.monotonic(), server.processor_ms()
    due_at_s, count = started_at_s, 0
    async with asyncio.TaskGroup() as tasks:
        while due_at_s < started_at_s + span_s:
            await asyncio.sleep(max(0.0, due_at_s - time.monotonic()))
            tasks.create_task(send_request(connections[count % CONNECTION_COUNT]))
            await asyncio.sleep(max(0.0, due_at_s + 0.5 / rate_per_s - time.monotonic()))
            tasks.create_task(send_echoes())
            count += 1
            due_at_s += generator.expovariate(rate_per_s)
    share = (server.processor_ms() - processor_ms_before) / 1000 / (time.monotonic() - started_at_s)
    for connection in (*connections, echo):
        connection.transport.close()
    return RequestTimes(tuple(sorted(request_ms)), tuple(sorted(echo_ms)), failed, share)


@asynccontextmanager
async def running_echo_server() -> AsyncIterator[int]:
    """Run an echo server process, and yield its port."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-B", "-m", "benchmarks.capacity.echo_server", cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )
    try:
        assert process.stdout is not None
        yield int(await asyncio.wait_for(process.stdout.readline(), READY_TIMEOUT_S))
    finally:
        process.kill()
        await process.wait()
