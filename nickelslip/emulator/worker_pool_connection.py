"""A server's connection to its fake worker pool."""

from __future__ import annotations

import asyncio
import json
from typing import Protocol, cast

from nickelslip.emulator.worker_pool_messages import Line, Reply, encode_line


class LineHandler(Protocol):
    """Keeps track of the connections, and executes the lines that they receive."""

    def connection_opened(self, connection: WorkerPoolConnection) -> None:
        """Register a connection."""

    def connection_closed(self, connection: WorkerPoolConnection) -> None:
        """Unregister a connection."""

    def handle_line(self, connection: WorkerPoolConnection, line: Line) -> None:
        """Execute one decoded line."""


class WorkerPoolConnection(asyncio.Protocol):
    """One connection of a server to its worker pool.

    Args:
        handler: The worker pool.

    Attributes:
        after_sequence: The server asked for notifications after this sequence number; None until it binds.
        bound: Whether the pool has bound the connection.
    """

    def __init__(self, handler: LineHandler) -> None:
        self.after_sequence: int | None = None
        self.bound = False
        self._handler = handler
        self._buffer = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._handler.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Execute every complete line."""
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            self._handler.handle_line(self, json.loads(line))

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection."""
        self._transport = None
        self._handler.connection_closed(self)

    def send(self, message: Reply) -> None:
        """Write a message, unless the connection is closed."""
        if self._transport is not None:
            self._transport.write(encode_line(message))

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()
