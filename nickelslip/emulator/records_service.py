"""A fake records service, the dependency that all servers of a fleet call."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from itertools import count
from math import inf
from typing import NamedTuple, cast

from nickelslip.emulator.history import MS_PER_S, History, Kind
from nickelslip.emulator.loop_timer import LoopTimer
from nickelslip.emulator.service_model import Service, ServiceProfile

Address = tuple[str, int]
RESPONSE_BODY = b"found"
LINE_END = b"\r\n"
CALL_VERB = b"OP"
LISTEN_BACKLOG = 512
CALL_TIME_SPREAD = (0.7, 1.3)  # the work of a call is drawn between these multiples of the mean


class CallKey(NamedTuple):
    """Key of a call in flight; request ids are unique only within a connection."""

    connection_number: int
    request_id: str


class Listener(NamedTuple):
    """A listening socket, and the server that uses its address ("" for all servers)."""

    socket_server: asyncio.Server
    server: str
    address: Address


class RecordsService:
    """The records service of a fleet, with one address for each server or one for all servers.

    Args:
        profile: The speed and the overload limit of the service.
        history: Records calls and failures.
        seed: Seed of the work of each call.
    """

    def __init__(self, profile: ServiceProfile, history: History, seed: int = 1) -> None:
        self.service = Service(profile, history.clock())
        self._history = history
        self._random = random.Random(f"records {seed}")
        self._calls: dict[CallKey, RecordsConnection] = {}
        self._connections: set[RecordsConnection] = set()
        self._timer = LoopTimer(history, self._answer_finished_calls)
        self._listeners: list[Listener] = []
        self._recovery: asyncio.Task[None] | None = None

    async def listen(self, address: Address, server: str = "") -> Address:
        """Listen for this server, by default for all servers, and return the address with the port that was bound."""
        loop = asyncio.get_running_loop()
        socket_server = await loop.create_server(
            lambda: RecordsConnection(self, server), *address, backlog=LISTEN_BACKLOG
        )
        host, port = socket_server.sockets[0].getsockname()[:2]
        bound = (str(host), int(port))
        self._listeners.append(Listener(socket_server, server, bound))
        return bound

    def fail(self, for_ms: float) -> None:
        """Go down for this time; calls in flight are lost and connections are refused."""
        self.service.fail(self._history.clock(), for_ms)
        self._go_down(for_ms)

    def close(self) -> None:
        """Close all sockets and stop the timer."""
        self._timer.set(inf)
        if self._recovery is not None:
            self._recovery.cancel()
        self._close_sockets()

    def begin_call(self, connection: RecordsConnection, request_id: str) -> None:
        """Start a call that was received completely; it replaces a call with the same id on the connection."""
        now_ms = self._history.clock()
        key = CallKey(connection.number, request_id)
        if key in self._calls:
            self.service.cancel_call(now_ms, key)
        self._calls[key] = connection
        self.service.begin_call(now_ms, key, self.service.profile.call_ms * self._random.uniform(*CALL_TIME_SPREAD))
        self._record(Kind.CALL_BEGAN, connection, request_id, now_ms)
        self._answer_finished_calls()

    def cancel_call(self, connection: RecordsConnection, request_id: str) -> None:
        """Cancel a call, if it is still in flight."""
        key = CallKey(connection.number, request_id)
        if self._calls.pop(key, None) is None:
            return
        now_ms = self._history.clock()
        self.service.cancel_call(now_ms, key)
        self._record(Kind.CALL_ENDED, connection, request_id, now_ms)
        self._answer_finished_calls()

    def connection_opened(self, connection: RecordsConnection) -> None:
        """Register a connection."""
        self._connections.add(connection)
        self._history.add(Kind.CONNECTED, connection.server, "", "records")

    def connection_closed(self, connection: RecordsConnection) -> None:
        """Unregister a connection and cancel its calls."""
        self._connections.discard(connection)
        for key in [key for key in self._calls if key.connection_number == connection.number]:
            self.cancel_call(connection, key.request_id)

    def _record(self, kind: Kind, connection: RecordsConnection, request_id: str, now_ms: float) -> None:
        self._history.add(kind, connection.server, request_id, self.service.in_flight(now_ms), now_ms)

    def _answer_finished_calls(self) -> None:
        now_ms = self._history.clock()
        failure_count_before = self.service.overload_failure_count
        for finished in self.service.take_finished(now_ms):
            key = cast(CallKey, finished)
            connection = self._calls.pop(key, None)
            if connection is not None:
                connection.respond(key.request_id)
                self._record(Kind.CALL_ENDED, connection, key.request_id, now_ms)
        if self.service.overload_failure_count > failure_count_before:
            self._go_down(self.service.profile.down_ms)
        self._timer.set(self.service.next_change_at_ms())

    def _go_down(self, for_ms: float) -> None:
        self._history.add(Kind.FELL_OVER, "", "", "records")
        self._close_sockets()
        self._calls.clear()
        self._recovery = asyncio.get_running_loop().create_task(self._recover(for_ms))

    async def _recover(self, after_ms: float) -> None:
        await asyncio.sleep(after_ms / MS_PER_S)
        closed = self._listeners
        self._listeners = []
        for listener in closed:
            with suppress(OSError):
                await self.listen(listener.address, listener.server)

    def _close_sockets(self) -> None:
        for listener in self._listeners:
            listener.socket_server.close()
        for connection in list(self._connections):
            connection.abort()


class RecordsConnection(asyncio.Protocol):
    """A server's connection to the records service.

    Args:
        records: The service.
        server: The server that uses the address that was connected to; "" for all servers.
    """

    _numbers = count(1)

    def __init__(self, records: RecordsService, server: str) -> None:
        self.server = server
        self.number = next(self._numbers)
        self._records = records
        self._buffer = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._records.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Execute every complete command."""
        self._buffer += data
        while LINE_END in self._buffer:
            line, _, rest = self._buffer.partition(LINE_END)
            verb, request_id, *more = line.split(b" ")
            body_size = int(more[1]) + len(LINE_END) if more else 0
            if len(rest) < body_size:
                return
            self._buffer = rest[body_size:]
            if verb == CALL_VERB:
                self._records.begin_call(self, request_id.decode())
            else:
                self._records.cancel_call(self, request_id.decode())

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection."""
        self._transport = None
        self._records.connection_closed(self)

    def respond(self, request_id: str) -> None:
        """Write the response to a call."""
        if self._transport is not None:
            self._transport.write(b"%b DONE %d\r\n%b\r\n" % (request_id.encode(), len(RESPONSE_BODY), RESPONSE_BODY))

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()
