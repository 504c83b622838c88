"""Load balancers' connections, on streams and on plain sockets."""

from __future__ import annotations

import socket
import time

import anyio
import anyio.abc

from nickelslip.server import resp


def _usual_fields(request_id: str) -> dict[str, object]:
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
    """Encode a request with the usual fields, changed by the keywords; a field that is None is left out."""
    known = {**_usual_fields(request_id), **fields}
    text = ",".join(f"{name}={value}" for name, value in known.items() if value is not None)
    return resp.message(b"ASK", b"%d" % tag, class_name.encode(), text.encode(), body)


class LoadBalancerClient:
    """A load balancer's connection that numbers its requests.

    Args:
        stream: The connection.

    Attributes:
        tag: The number of the last request.
    """

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream = stream
        self._buffered = bytearray()
        self.tag = 0

    async def send(self, *parts: bytes | str) -> None:
        """Send one message of these parts."""
        await self.stream.send(resp.message(*(part.encode() if isinstance(part, str) else part for part in parts)))

    async def send_request(
        self, request_id: str, class_name: str = "read", body: bytes = b"body", without: str = "", **fields: object
    ) -> int:
        """Send a request with the usual fields, changed or left out; return its number."""
        self.tag += 1
        known = {**_usual_fields(request_id), **fields}
        text = ",".join(f"{name}={value}" for name, value in known.items() if name != without)
        await self.send("ASK", str(self.tag), class_name, text, body)
        return self.tag

    async def receive_answer(self, wait_s: float = 3.0) -> tuple[int, str, dict[str, str], bytes]:
        """Return the next answer: number, word, fields, body."""
        with anyio.fail_after(wait_s):
            while (message := resp.parse(self._buffered, 0, len(self._buffered))) is None:
                self._buffered += await self.stream.receive()
        (tag, word, *rest), end = message
        del self._buffered[:end]
        fields = dict(pair.split("=") for pair in rest[0].decode().split(",")) if rest and rest[0] else {}
        return int(tag), word.decode(), fields, rest[1] if len(rest) > 1 else b""

    async def is_closed_by_server(self, wait_s: float = 3.0) -> bool:
        """Return whether the server closes the connection without sending anything more."""
        with anyio.fail_after(wait_s):
            try:
                return not await self.stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return True


class RawClient:
    """A connection whose sends are in the system's buffers when they return, so that a test fixes the order of events.

    Args:
        port: The server's port on the loopback address.
    """

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.local_address = self.sock.getsockname()

    def send(self, data: bytes) -> None:
        """Send all the bytes, or raise where the system's buffer is full."""
        self.sock.sendall(data)

    async def receive_until(self, word: bytes, wait_s: float = 3.0) -> bytes:
        """Receive until this word has come, and return all that came."""
        received = b""
        with anyio.fail_after(wait_s):
            while word not in received:
                await anyio.wait_readable(self.sock)
                more = self.sock.recv(65536)
                assert more, f"it ended after {received!r}"
                received += more
        return received

    async def receive_to_end(self, wait_s: float = 3.0) -> bytes:
        """Receive until the server closes the connection, and return all that came; a reset raises."""
        received = b""
        with anyio.fail_after(wait_s):
            while True:
                await anyio.wait_readable(self.sock)
                more = self.sock.recv(65536)
                if not more:
                    self.sock.close()
                    return received
                received += more
