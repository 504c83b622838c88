"""A records service that stores the calls it receives and sends the replies that a test chooses."""

from __future__ import annotations

import anyio.abc

from tests.support.fake_tcp_service import FakeTcpService


class CallConnections(dict[str, anyio.abc.SocketStream]):
    """Maps each request id to the connection of its last call, or to None once that connection is closed.

    Args:
        open_streams: The open connections. The service updates this set.
    """

    def __init__(self, open_streams: set[anyio.abc.SocketStream]) -> None:
        super().__init__()
        self._open_streams = open_streams

    def __getitem__(self, request_id: str) -> anyio.abc.SocketStream | None:  # type: ignore[override]
        stream = super().__getitem__(request_id)
        return stream if stream in self._open_streams else None


class FakeRecordsService(FakeTcpService):
    """A fake records service. Stores each call in `received` as (verb, request id, body).

    Attributes:
        connections_by_request: The connection that each request's last call arrived on.
    """

    def __init__(self) -> None:
        super().__init__()
        self.connections_by_request = CallConnections(self.streams)

    async def parse(self, buffered: bytes, stream: anyio.abc.SocketStream) -> bytes:
        """Store each complete call and its connection, and return the incomplete rest."""
        while b"\r\n" in buffered:
            verb, request_id, *rest = buffered.split(b"\r\n", 1)[0].decode().split(" ")
            start = buffered.index(b"\r\n") + 2
            size = int(rest[1]) if rest else 0
            if rest and len(buffered) < start + size + 2:
                return buffered
            self.received.append((verb, request_id, buffered[start : start + size]))
            self.connections_by_request[request_id] = stream
            buffered = buffered[start + (size + 2 if rest else 0) :]
        return buffered

    async def reply(self, request_id: str, word: str, body: bytes | None = None, to: str = "") -> None:
        """Send a reply on the connection of the request's call, or on that of another request `to`."""
        tail = b"" if body is None else b" %d\r\n%b" % (len(body), body)
        await self.connections_by_request[to or request_id].send(f"{request_id} {word}".encode() + tail + b"\r\n")  # type: ignore[union-attr]
