"""Client side of the control protocol: one connection to one server's control socket.

Every wait has a timeout. The client never retries a command. If a command gets no reply, the caller must find out
whether the server carried it out.
"""

from __future__ import annotations

from itertools import count
from types import TracebackType
from typing import Any

import anyio
from anyio.abc import SocketStream

from nickelslip.configuration.control_protocol import (
    ControlProtocolError,
    FrameDecoder,
    encode_frame,
    negotiate_version,
)

READ_SIZE_BYTES = 64 * 1024
DEFAULT_TIMEOUT_MS = 5000.0


class ServerUnreachableError(Exception):
    """The server could not be reached, did not reply in time, or sent an invalid message."""


class ControlClient:
    """An asynchronous context manager for one connection to a server's control socket.

    Args:
        path: Path of the control socket.
        timeout_ms: The timeout of connecting and of each message.

    Attributes:
        name: The server's name; empty until the server has sent its greeting.
    """

    def __init__(self, path: str, timeout_ms: float = DEFAULT_TIMEOUT_MS) -> None:
        self._path = path
        self._timeout_s = timeout_ms / 1000
        self._decoder = FrameDecoder()
        self._messages: list[dict[str, Any]] = []
        self._request_ids = count(1)
        self._version = 0
        self.name = ""

    async def __aenter__(self) -> ControlClient:
        self._stream: SocketStream = await self._connect()
        try:
            greeting = await self._receive()
            self._version = negotiate_version(greeting)
            self.name = str(greeting.get("nickelslip", ""))
        except ControlProtocolError as error:
            await self._stream.aclose()
            raise ServerUnreachableError(f"{self._path}: {error}") from None
        except ServerUnreachableError:
            await self._stream.aclose()
            raise
        return self

    async def __aexit__(
        self, exc_type: type[BaseException] | None, exc: BaseException | None, traceback: TracebackType | None
    ) -> None:
        await self._stream.aclose()

    async def _connect(self) -> SocketStream:
        try:
            with anyio.fail_after(self._timeout_s):
                return await anyio.connect_unix(self._path)
        except (OSError, TimeoutError) as error:
            reason = getattr(error, "strerror", None) or "no answer in time"
            raise ServerUnreachableError(f"{self._path}: {reason}") from None

    async def _receive(self) -> dict[str, Any]:
        """Return the next message from the server."""
        try:
            with anyio.fail_after(self._timeout_s):
                while not self._messages:
                    self._messages += self._decoder.feed(await self._stream.receive(READ_SIZE_BYTES))
        except TimeoutError:
            raise ServerUnreachableError(f"{self._path}: no answer in time") from None
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise ServerUnreachableError(f"{self._path}: the server closed the connection") from None
        return self._messages.pop(0)

    async def ask(self, command: str, **fields: Any) -> dict[str, Any]:
        """Send one command and return its reply.

        Raises:
            ServerUnreachableError: No reply was received; the command may or may not have been carried out.
        """
        request_id = next(self._request_ids)
        request = {**fields, "protocol": self._version, "id": request_id, "do": command}
        try:
            with anyio.fail_after(self._timeout_s):
                await self._stream.send(encode_frame(request))
            while True:
                reply = await self._receive()
                if reply.get("id") in (request_id, None):
                    return reply
        except ControlProtocolError as error:
            raise ServerUnreachableError(f"{self._path}: {error}") from None
        except (TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise ServerUnreachableError(f"{self._path}: the command could not be sent") from None


async def ask_once(path: str, command: str, timeout_ms: float = DEFAULT_TIMEOUT_MS, **fields: Any) -> dict[str, Any]:
    """Send one command on a new connection and return its reply.

    Raises:
        ServerUnreachableError: No reply was received; the command may or may not have been carried out.
    """
    async with ControlClient(path, timeout_ms) as client:
        return await client.ask(command, **fields)
