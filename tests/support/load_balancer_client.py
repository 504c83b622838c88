"""Clients that connect to the server as a load balancer does: on an anyio stream or on a plain socket."""

from __future__ import annotations

import socket
import time

import anyio
import anyio.abc

from nickelslip.server import resp


def _default_fields(request_id: str) -> dict[str, object]:
    return {
        "req": request_id,
        "ts": int(time.time() * 1000),
        "via": 4,
        "owner": "acme",
        "timeout": 2500,
        "need": 24.5,
        "level": 0.5,
    }


def encode_request(
    request_id: str, class_name: str = "read", tag: int = 2, body: bytes = b"body", **fields: object
) -> bytes:
    """Encode a request with the default fields. Keywords override them, and a field set to None is omitted."""
    request_fields = {**_default_fields(request_id), **fields}
    text = ",".join(f"{name}={value}" for name, value in request_fields.items() if value is not None)
    return resp.message(b"ASK", b"%d" % tag, class_name.encode(), text.encode(), body)


class LoadBalancerClient:
    """A load balancer's connection that tags its requests with consecutive numbers.

    Args:
        stream: The connection.

    Attributes:
        tag: The tag of the last request.
    """

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream = stream
        self._buffered = bytearray()
        self.tag = 0

    async def send(self, *parts: bytes | str) -> None:
        """Send one message with these parts."""
        await self.stream.send(resp.message(*(part.encode() if isinstance(part, str) else part for part in parts)))

    async def send_request(
        self, request_id: str, class_name: str = "read", body: bytes = b"body", without: str = "", **fields: object
    ) -> int:
        """Send a request with the default fields, except `without`, and return its tag. Keywords override fields."""
        self.tag += 1
        request_fields = {**_default_fields(request_id), **fields}
        text = ",".join(f"{name}={value}" for name, value in request_fields.items() if name != without)
        await self.send("ASK", str(self.tag), class_name, text, body)
        return self.tag

    async def receive_answer(self, wait_s: float = 3.0) -> tuple[int, str, dict[str, str], bytes]:
        """Receive the next answer and return its tag, word, fields and body."""
        with anyio.fail_after(wait_s):
            while (message := resp.parse(self._buffered, 0, len(self._buffered))) is None:
                self._buffered += await self.stream.receive()
        (tag, word, *rest), end = message
        del self._buffered[:end]
        fields = dict(pair.split("=") for pair in rest[0].decode().split(",")) if rest and rest[0] else {}
        return int(tag), word.decode(), fields, rest[1] if len(rest) > 1 else b""

    async def is_closed_by_server(self, wait_s: float = 3.0) -> bool:
        """Wait for data or the end of the connection; return whether the server closed it without sending more."""
        with anyio.fail_after(wait_s):
            try:
                return not await self.stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return True


class RawClient:
    """A connection on a plain socket.

    When `send` returns, the data is already in the system's buffers. A test can therefore fix the order of events.

    Args:
        port: The server's port on the loopback address.

    Attributes:
        sock: The socket, which does not block.
        local_address: The socket's own address.
    """

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.local_address = self.sock.getsockname()

    def send(self, data: bytes) -> None:
        """Send all the data, or raise if the system's buffer is full."""
        self.sock.sendall(data)

    async def receive_until(self, word: bytes, wait_s: float = 3.0) -> bytes:
        """Receive until this word has arrived, and return all data received."""
        received = b""
        with anyio.fail_after(wait_s):
            while word not in received:
                await anyio.wait_readable(self.sock)
                more = self.sock.recv(65536)
                assert more, f"the server closed the connection after sending {received!r}"
                received += more
        return received

    async def receive_to_end(self, wait_s: float = 3.0) -> bytes:
        """Receive until the server closes the connection, and return all data received; a reset raises."""
        received = b""
        with anyio.fail_after(wait_s):
            while True:
                await anyio.wait_readable(self.sock)
                more = self.sock.recv(65536)
                if not more:
                    self.sock.close()
                    return received
                received += more
