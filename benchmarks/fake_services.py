"""Fakes of all that a server talks to: worker pool, records service and load balancers.

They speak the published protocols on loopback addresses and count what they see. Runs wait for a free core in the order
in which they were started. The clients send in open loop: a request is sent at its drawn time, whatever became of those
before it, so that a slow server gets no fewer of them.
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
FEW_REQUESTS_PER_CONNECTION = 4  # with so many open, another connection is opened
MAX_REQUESTS_PER_CONNECTION = 32
MAX_KEPT_NOTIFICATIONS = 4000
CALL_REPLY_TIMEOUT_S = 3.0
CALL_BODY = b"look up"
HALF_OF_WORK = 0.5  # a run calls when it has done this fraction


class FakeWorkerPool:
    """A worker pool with some cores.

    Each run works once, calls once if its traffic class does, and works the rest.

    Args:
        tasks: Where runs are started.
        cores: How many runs work at once.
        work_ms: Mean work of a run, by traffic class.
        calls: Whether a run calls, by traffic class.
        seed: For the work of each run.
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
        self._stopped: set[str] = set()
        self._send_lock = anyio.Lock()

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Execute the commands of one link; notifications go to the link that was bound last."""
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
            busy = (self.cores - self._free_cores.value) / self.cores
            await self._send(op="polled", tag=command["tag"], values=[busy, busy * self.cores, 0.2, 8])
        elif operation == "spawn":
            traffic_class = str(command["class"])
            self.starts[request_id] += 1
            self.classes[request_id] = traffic_class
            self._tasks.start_soon(self._run, request_id, traffic_class, b64decode(str(command["body"])))
        elif operation == "suspend":
            self._stopped.add(request_id)
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
            await self._work(request_id, work_ms * HALF_OF_WORK)
            if self._calls[traffic_class] and request_id not in self._stopped and request_id not in self._replies:
                await self._call(request_id)
        self._replies.pop(request_id, None)
        end = "broken_off" if request_id in self._stopped else "fine"
        self._stopped.discard(request_id)
        await self._notify(
            op="finished",
            id=request_id,
            end=end,
            ms=(time.monotonic() - started_at) * 1000,
            body=b64encode(body[::-1]).decode() if end == "fine" else "",
        )

    async def _work(self, request_id: str, work_ms: float) -> None:
        async with self._free_cores:
            if request_id not in self._stopped:
                await anyio.sleep(work_ms / 1000)

    async def _call(self, request_id: str) -> None:
        self._replies[request_id] = anyio.Event()
        await self._notify(op="blocked", id=request_id, body=b64encode(CALL_BODY).decode())
        with anyio.move_on_after(CALL_REPLY_TIMEOUT_S):
            await self._replies[request_id].wait()


async def serve_records(stream: anyio.abc.SocketStream, call_ms: float) -> None:
    """Answer each call of a records service after `call_ms`; calls on one connection are answered in turn."""
    buffer = b""
    with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
        async for data in stream:
            buffer += data
            while b"\r\n" in buffer:
                line, _, rest = buffer.partition(b"\r\n")
                verb, call_id, *more = line.split(b" ")
                size = int(more[1]) + 2 if more else 0
                if len(rest) < size:
                    break
                buffer = rest[size:]
                if verb == b"OP":
                    await anyio.sleep(call_ms / 1000)
                    await stream.send(b"%b DONE 5\r\nfound\r\n" % call_id)


@dataclass
class ClientRequest:
    """A request as its client sees it; `sent_at_s` is a moment of the monotonic clock."""

    traffic_class: str
    tenant: str
    sent_at_s: float
    answer_count: int = 0
    answer_word: str = ""
    answer_ms: float = 0.0


@dataclass
class Traffic:
    """What clients send, by traffic class and tenant, and what became of it; the rate may be changed at any time."""

    rate_per_s: float
    class_weights: dict[str, float]
    tenant_weights: dict[str, float]
    timeout_ms: dict[str, float]
    max_connections: int = 8
    requests: dict[str, ClientRequest] = field(default_factory=dict)
    max_lag_ms: float = 0.0  # of the clients themselves behind the drawn times


class ClientConnection:
    """A connection of the clients, and the ids of the requests that are open on it, by tag."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream = stream
        self.open_requests: dict[int, str] = {}
        self.is_closing = False


class OpenLoopClients:
    """Clients that send in open loop over a few connections.

    Connections are opened when they are needed, as load balancers do: the server closes those that are idle.

    Args:
        port: The server's, on loopback.
        traffic: What is sent; results are kept in it.
        seed: For times, classes, tenants and ids.
        now_ms: The clock by which arrivals are stamped.
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
        """Return the connection with the fewest open requests, a new one if those are many, None if all are full."""
        usable = [connection for connection in self._connections if not connection.is_closing]
        emptiest = min(usable, key=lambda connection: len(connection.open_requests), default=None)
        if emptiest is None:
            return await self._connect(tasks)
        open_count = len(emptiest.open_requests)
        if open_count >= FEW_REQUESTS_PER_CONNECTION and len(self._connections) < self.traffic.max_connections:
            return await self._connect(tasks)
        return emptiest if open_count < MAX_REQUESTS_PER_CONNECTION else None

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
            return  # as in a load balancer without a free place, the request reaches no server
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
                    self._answered(connection, tag, word)
                del buffer[:start]
        self._connections.remove(connection)
        await connection.stream.aclose()

    def _answered(self, connection: ClientConnection, tag: bytes, word: bytes) -> None:
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
