"""The base class of the fake TCP services, which store the messages they receive."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

import anyio
import anyio.abc


class FakeTcpService:
    """A listener that accepts any number of connections.

    Attributes:
        connection_count: The number of connections accepted.
        stream: The last connection accepted, or None after `abort_connections`.
        received: The messages received, in order.
        streams: All open connections.
        listener: The listening socket, once `listen` has returned.
        port: The port listened on.
        scope: The cancel scope of the listening task.
        stopped: Set once the listening socket is closed.
    """

    def __init__(self) -> None:
        self.connection_count = 0
        self.stream: anyio.abc.SocketStream | None = None
        self.received: list[Any] = []
        self.streams: set[anyio.abc.SocketStream] = set()

    async def listen(self, tasks: anyio.abc.TaskGroup, port: int = 0) -> Any:
        """Listen on the port (0 for any free one), serve in the task group, and return the service itself."""
        self.listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        self.port = self.listener.extra(anyio.abc.SocketAttribute.local_port)
        self.scope = anyio.CancelScope()
        self.stopped = anyio.Event()
        tasks.start_soon(self._serve)
        return self

    async def _serve(self) -> None:
        with self.scope:
            await self.listener.serve(self._handle)
        await self.listener.aclose()
        self.stopped.set()

    async def _handle(self, stream: anyio.abc.SocketStream) -> None:
        self.stream = stream
        self.connection_count += 1
        buffered = b""
        self.streams.add(stream)
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            while True:
                buffered = await self.parse(buffered + await stream.receive(), stream)
        self.streams.discard(stream)

    async def parse(self, buffered: bytes, stream: anyio.abc.SocketStream) -> bytes:
        """Handle the complete messages in the buffer, and return the incomplete rest."""
        raise NotImplementedError

    async def abort_connections(self) -> None:
        """Close all connections at once, without an orderly shutdown."""
        self.stream = None
        for stream in list(self.streams):
            await anyio.aclose_forcefully(stream)

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        self.scope.cancel()
        await self.stopped.wait()
        await self.abort_connections()
