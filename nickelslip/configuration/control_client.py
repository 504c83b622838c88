"""The caller's side of the control protocol: one connection to one server's control socket.

Owns connecting, the choice of a version, and the bound on every wait. It must never wait without one, nor ask again by
itself: whether a command that got no answer was carried out is for the caller to find out.
"""

from __future__ import annotations

from itertools import count
from types import TracebackType
from typing import Any

import anyio
from anyio.abc import SocketStream

from nickelslip.configuration.control_protocol import ControlProtocolError, Frames, framed, version_for

READ_SIZE = 64 * 1024


class ServerUnreachableError(Exception):
    """No connection, no answer in time, or an answer that is none."""


class ControlClient:
    """One server's control socket. Use as an asynchronous context."""

    def __init__(self, path: str, wait_ms: float = 5000.0) -> None:
        self._path, self._wait_s = path, wait_ms / 1000
        self._frames, self._messages = Frames(), list[dict[str, Any]]()
        self._numbers = count(1)
        self._version = 0
        self.name = ""

    async def __aenter__(self) -> ControlClient:
        self._stream: SocketStream
        try:
            with anyio.fail_after(self._wait_s):
                self._stream = await anyio.connect_unix(self._path)
        except (OSError, TimeoutError) as error:
            raise ServerUnreachableError(
                f"{self._path}: {getattr(error, 'strerror', None) or 'no answer in time'}"
            ) from None
        try:
            first = await self._next()
            self._version, self.name = version_for(first), str(first.get("nickelslip", ""))
        except ControlProtocolError as improper:
            await self._stream.aclose()
            raise ServerUnreachableError(f"{self._path}: {improper}") from None
        except ServerUnreachableError:
            await self._stream.aclose()
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self._stream.aclose()

    async def _next(self) -> dict[str, Any]:
        try:
            with anyio.fail_after(self._wait_s):
                while not self._messages:
                    self._messages += self._frames.feed(await self._stream.receive(READ_SIZE))
        except TimeoutError:
            raise ServerUnreachableError(f"{self._path}: no answer in time") from None
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise ServerUnreachableError(f"{self._path}: the server closed the connection") from None
        return self._messages.pop(0)

    async def ask(self, do: str, **fields: Any) -> dict[str, Any]:
        """The reply to one command. Raises Unreachable; then it may or may not have been carried out."""
        ident = next(self._numbers)
        try:
            with anyio.fail_after(self._wait_s):
                await self._stream.send(framed({**fields, "protocol": self._version, "id": ident, "do": do}))
            while (reply := await self._next()).get("id") not in (ident, None):
                pass
        except ControlProtocolError as improper:
            raise ServerUnreachableError(f"{self._path}: {improper}") from None
        except (TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise ServerUnreachableError(f"{self._path}: the command could not be sent") from None
        return reply


async def ask_once(path: str, do: str, wait_ms: float = 5000.0, **fields: Any) -> dict[str, Any]:
    """One command on a connection of its own. Raises Unreachable."""
    async with ControlClient(path, wait_ms) as control:
        return await control.ask(do, **fields)
