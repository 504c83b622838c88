"""Fakes of the services around a server: worker pool, records service and load balancers.

They use the published protocols on loopback addresses and count requests, runs and answers. Runs wait for a free core
in the order in which they were started. The clients send in open loop: each request is sent at its drawn time, whether
or not earlier ones were answered, so a slow server does not receive fewer requests.
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

REQUEST_BODY = b"from the till"
FEW_REQUESTS_PER_CONNECTION = 4  # from this many open requests on, another connection is opened
MAX_REQUESTS_PER_CONNECTION = 32
MAX_KEPT_NOTIFICATIONS = 4000
CALL_REPLY_TIMEOUT_S = 3.0
CALL_BODY = b"look up"
CALL_AT_WORK_FRACTION = 0.5  # fraction of its work after which a run makes its call


class FakeWorkerPool:
    """A worker pool with a fixed number of cores.

    Each run does half of its work, makes a call if its traffic class does, and does the other half.

    Args:
        tasks: The task group in which runs are started.
        cores: How many runs work at once.
        work_ms: Mean work of a run, by traffic class.
        calls: Whether a run makes a call, by traffic class.
        seed: Seeds the work of each run.
    """

    def __init__(
        self, tasks: anyio.abc.TaskGroup, cores: int, work_ms: dict[str, float], calls: dict[str, bool], seed: int
    ) -> None:
        self.cores = cores
        self.starts: Counter[str] = Counter()
        self.classes: dict[str, str] = {}
        self._tasks = tasks
        self._work_ms = work_ms
        self._calls = calls
        self._random = random.Random(seed)
        self._free_cores = anyio.Semaphore(cores)
        self._notifications: deque[dict[str, object]] = deque(maxlen=MAX_KEPT_NOTIFICATIONS)
        self._last_number = 0
        self._stream: anyio.abc.SocketStream | None = None
        self._replies: dict[str, anyio.Event] = {}
        self._suspended: set[str] = set()
        self._send_lock = anyio.Lock()

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Execute the commands of one connection. Notifications go to the connection that was bound last."""
        buffer = b""
        with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            async for data in stream:
                *lines, buffer = (buffer + data).split(b"\n")
                for line in lines:
                    await self._execute(json.loads(line), stream)

    async def _execute(self, command: dict[str, object], stream: anyio.abc.SocketStream) -> None:
        operation = command["op"]
        request_id = str(command.get("id", ""))
        if operation == "bind":
            await self._bind(command, stream)
        elif operation == "poll":
            busy_fraction = (self.cores - self._free_cores.value) / self.cores
            await self._send(
                op="polled", tag=command["tag"], values=[busy_fraction, busy_fraction * self.cores, 0.2, 8]
            )
        elif operation == "spawn":
            traffic_class = str(command["class"])
            self.starts[request_id] += 1
            self.classes[request_id] = traffic_class
            self._tasks.start_soon(self._run, request_id, traffic_class, b64decode(str(command["body"])))
        elif operation == "suspend":
            self._suspended.add(request_id)
        elif operation in ("supply", "pass") and request_id in self._replies:
            self._replies[request_id].set()

    async def _bind(self, command: dict[str, object], stream: anyio.abc.SocketStream) -> None:
        self._stream = stream
        await self._send(op="bound", end="running", ms=60_000.0)
        for notification in list(self._notifications):
            if notification["seq"] > command["seq"]:  # type: ignore[operator]
                await self._send(**notification)

    async def _send(self, **message: object) -> None:
        async with self._send_lock:
            if self._stream is not None:
                with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                    await self._stream.send(json.dumps(message).encode() + b"\n")

    async def _notify(self, **notification: object) -> None:
        self._last_number += 1
        self._notifications.append({**notification, "seq": self._last_number})
        await self._send(**self._notifications[-1])

    async def _run(self, request_id: str, traffic_class: str, body: bytes) -> None:
        started_at = time.monotonic()
        work_ms = self._work_ms[traffic_class] * self._random.uniform(0.7, 1.3)
        for _ in range(2):
            await self._work(request_id, work_ms * CALL_AT_WORK_FRACTION)
            if self._calls[traffic_class] and request_id not in self._suspended and request_id not in self._replies:
                await self._call(request_id)
        self._replies.pop(request_id, None)
        end = "broken_off" if request_id in self._suspended else "fine"
        self._suspended.discard(request_id)
        await self._notify(
            op="finished",
            id=request_id,
            end=end,
            ms=(time.monotonic() - started_at) * 1000,
            body=b64encode(body[::-1]).decode() if end == "fine" else "",
        )

    async def _work(self, request_id: str, work_ms: float) -> None:
        async with self._free_cores:
            if request_id not in self._suspended:
                await anyio.sleep(work_ms / 1000)

    async def _call(self, request_id: str) -> None:
        self._replies[request_id] = anyio.Event()
        await self._notify(op="blocked", id=request_id, body=b64encode(CALL_BODY).decode())
        with anyio.move_on_after(CALL_REPLY_TIMEOUT_S):
            await self._replies[request_id].wait()


async def serve_records(stream: anyio.abc.SocketStream, call_ms: float) -> None:
    """Answer each call as a records service, after `call_ms`. Calls on one connection are answered in turn."""
    buffer = b""
    with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
        async for data in stream:
            buffer += data
            while b"\r\n" in buffer:
                line, _, rest = buffer.partition(b"\r\n")
                verb, call_id, *arguments = line.split(b" ")
                size = int(arguments[1]) + 2 if arguments else 0
                if len(rest) < size:
                    break
                buffer = rest[size:]
                if verb == b"OP":
                    await anyio.sleep(call_ms / 1000)
                    await stream.send(b"%b DONE 5\r\nfound\r\n" % call_id)


@dataclass
class ClientRequest:
    """A request as its client sees it. `sent_at_s` is a time of the monotonic clock."""

    traffic_class: str
    tenant: str
    sent_at_s: float
    answer_count: int = 0
    answer_word: str = ""
    answer_ms: float = 0.0


@dataclass
class Traffic:
    """What clients send, by traffic class and tenant, and the results. The rate may be changed at any time."""

    rate_per_s: float
    class_weights: dict[str, float]
    tenant_weights: dict[str, float]
    timeout_ms: dict[str, float]
    max_connections: int = 8
    requests: dict[str, ClientRequest] = field(default_factory=dict)
    max_lag_ms: float = 0.0  # how far the clients themselves fell behind the drawn times


class ClientConnection:
    """A client connection, with the ids of its open requests by tag."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream = stream
        self.open_requests: dict[int, str] = {}
        self.is_closing = False


class OpenLoopClients:
    """Clients that send in open loop over a few connections.

    Connections are opened on demand, as load balancers do, since the server closes idle ones.

    Args:
        port: The server's port on loopback.
        traffic: What to send. Results are stored in it.
        seed: Seeds the times, classes, tenants and ids.
        now_ms: Clock for the timestamps of requests.
    """

    def __init__(self, port: int, traffic: Traffic, seed: int, now_ms: Callable[[], float]) -> None:
        self.traffic = traffic
        self.is_stopping = False
        self._port = port
        self._random = random.Random(seed)
        self._now_ms = now_ms
        self._connections: list[ClientConnection] = []
        self._last_tag = 0

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Send requests until `is_stopping` is set."""
        traffic = self.traffic
        due_at_s = time.monotonic()
        while not self.is_stopping:
            due_at_s += self._random.expovariate(traffic.rate_per_s)
            wait_s = due_at_s - time.monotonic()
            if wait_s > 0:
                await anyio.sleep(wait_s)
            elif -wait_s * 1000 > traffic.max_lag_ms:
                traffic.max_lag_ms = -wait_s * 1000
            await self._send(tasks)

    async def _usable_connection(self, tasks: anyio.abc.TaskGroup) -> ClientConnection | None:
        """Return the connection with the fewest open requests.

        Opens a new one if that one has many open requests. Returns None if all connections are full.
        """
        usable = [connection for connection in self._connections if not connection.is_closing]
        least_loaded = min(usable, key=lambda connection: len(connection.open_requests), default=None)
        if least_loaded is None:
            return await self._connect(tasks)
        open_count = len(least_loaded.open_requests)
        if open_count >= FEW_REQUESTS_PER_CONNECTION and len(self._connections) < self.traffic.max_connections:
            return await self._connect(tasks)
        return least_loaded if open_count < MAX_REQUESTS_PER_CONNECTION else None

    async def _connect(self, tasks: anyio.abc.TaskGroup) -> ClientConnection:
        stream = await anyio.connect_tcp("127.0.0.1", self._port)
        stream.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ClientConnection(stream)
        self._connections.append(connection)
        tasks.start_soon(self._receive, connection)
        return connection

    async def _send(self, tasks: anyio.abc.TaskGroup) -> None:
        traffic = self.traffic
        traffic_class = self._draw(traffic.class_weights)
        tenant = self._draw(traffic.tenant_weights)
        request_id = f"{self._random.getrandbits(64):016x}"
        connection = await self._usable_connection(tasks)
        if connection is None:
            return  # like a load balancer whose connections are all full: the request reaches no server
        self._last_tag += 1
        tag = self._last_tag
        traffic.requests[request_id] = ClientRequest(traffic_class, tenant, time.monotonic())
        connection.open_requests[tag] = request_id
        fields = (
            f"req={request_id},ts={int(self._now_ms())},via=1,owner={tenant},"
            f"timeout={traffic.timeout_ms[traffic_class]:.0f},need=20,level={self._random.random():.4f}"
        )
        message = resp.message(b"ASK", b"%d" % tag, traffic_class.encode(), fields.encode(), REQUEST_BODY)
        with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            await connection.stream.send(message)

    def _draw(self, weights: dict[str, float]) -> str:
        return self._random.choices(list(weights), list(weights.values()))[0]

    async def _receive(self, connection: ClientConnection) -> None:
        buffer = bytearray()
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            while not (connection.is_closing and not connection.open_requests):
                buffer += await connection.stream.receive()
                start = 0
                while (parsed := resp.parse(buffer, start, len(buffer))) is not None:
                    (tag, word, *_), start = parsed
                    self._record_answer(connection, tag, word)
                del buffer[:start]
        self._connections.remove(connection)
        await connection.stream.aclose()

    def _record_answer(self, connection: ClientConnection, tag: bytes, word: bytes) -> None:
        if tag == b"0":
            connection.is_closing = True
            return
        request_id = connection.open_requests.pop(int(tag), None)
        if request_id is None:
            return
        request = self.traffic.requests[request_id]
        request.answer_count += 1
        request.answer_word = word.decode()
        request.answer_ms = (time.monotonic() - request.sent_at_s) * 1000


async def serve_on_free_port(tasks: anyio.abc.TaskGroup, handler: Callable[..., object]) -> int:
    """Serve connections on a free loopback port, and return the port."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    tasks.start_soon(listener.serve, handler)
    return int(listener.extra(anyio.abc.SocketAttribute.local_port))
