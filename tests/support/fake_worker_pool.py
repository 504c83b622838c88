"""A worker pool that stores the commands it receives and sends the notifications that a test chooses."""

from __future__ import annotations

import json
from base64 import b64encode

import anyio
import anyio.abc

from tests.support.fake_tcp_service import FakeTcpService

CALL_BODY = b"\r\ncall\x00"


class FakeWorkerPool(FakeTcpService):
    """A fake worker pool: the far end of the server's link.

    Attributes:
        send_lock: Held while a line is sent.
        bound_stream: The link on which all earlier notifications have been sent; later ones are sent on it at once.
        seq: The sequence number of the last notification.
        notifications: All notifications sent. After a bind, those later than the bind's number are sent again.
        accepts_binds: An event that a test sets to let the pool answer bind commands.
        age_ms: How long ago the pool came up, as it answers bind commands.
        answers_gauge_queries: Whether gauge queries are answered.
        gauge_query_count: The number of gauge queries received.
    """

    def __init__(self) -> None:
        super().__init__()
        self.send_lock = anyio.Lock()
        self.bound_stream: anyio.abc.SocketStream | None = None
        self.seq = 0
        self.notifications: list[dict[str, object]] = []
        self.accepts_binds = anyio.Event()
        self.age_ms: object = 5.0
        self.answers_gauge_queries = True
        self.gauge_query_count = 0

    async def parse(self, buffered: bytes, stream: anyio.abc.SocketStream) -> bytes:
        """Store each command except gauge queries, and answer gauge queries and binds."""
        *lines, rest = buffered.split(b"\n")
        for command in map(json.loads, lines):
            if command["op"] == "poll":
                self.gauge_query_count += 1
                if self.answers_gauge_queries:
                    await self.send_line(op="polled", tag=command["tag"], values=[0.5, 1, 0.1, 3])
                continue
            self.received.append(command)
            if command["op"] == "bind":
                await self._bind(stream, command["seq"])
        return rest

    async def _bind(self, stream: anyio.abc.SocketStream, last_seq: int) -> None:
        await self.accepts_binds.wait()
        await self.send_line(op="bound", end="running", ms=self.age_ms)
        sent_count = 0
        while sent_count < len(self.notifications):  # more may be added meanwhile
            notification = self.notifications[sent_count]
            sent_count += 1
            if notification["seq"] > last_seq:  # type: ignore[operator]
                await self.send_line(**notification)
        self.bound_stream = stream

    async def send_line(self, **line: object) -> None:
        """Send one line on the last link, if any."""
        async with self.send_lock:
            if self.stream is not None:
                await self.stream.send(json.dumps(line).encode() + b"\n")

    async def notify(self, op: str, request_id: str, **fields: object) -> None:
        """Send a notification with the next sequence number if the link is bound, and store it for later links."""
        self.seq += 1
        notification = {"op": op, "seq": self.seq, "id": request_id, **fields}
        self.notifications.append(notification)
        if self.stream is self.bound_stream:
            await self.send_line(**notification)

    async def finish(self, request_id: str, end: str = "fine", body: bytes = b"result") -> None:
        """Notify the server that the run finished, with this outcome and result."""
        await self.notify("finished", request_id, end=end, ms=20.0, body=b64encode(body).decode())

    async def block(self, request_id: str, body: bytes = CALL_BODY) -> None:
        """Notify the server that the run is blocked on its call, with the call's body."""
        await self.notify("blocked", request_id, body=b64encode(body).decode())

    def received_binds(self) -> list[dict[str, object]]:
        """Return all bind commands received."""
        return [command for command in self.received if command["op"] == "bind"]

    def received_commands(self, op: str, request_id: str) -> list[dict[str, object]]:
        """Return all commands with this `op` received for the request."""
        return [command for command in self.received if command["op"] == op and command.get("id") == request_id]
