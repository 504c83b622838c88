"""One connection to the records service, which carries one call at a time.

Whatever a reply or the connection does concerns that one call. Each call ends once: by its reply, by being given up,
or with the connection; only a call that was never written is reported as one that cannot have run.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

import anyio

from nickelslip.admission.interface import Outcome
from nickelslip.configuration.config import Address
from nickelslip.server.close_reasons import CloseReason, ConnectionClosedError
from nickelslip.server.connector import connect
from nickelslip.server.records_protocol import MalformedReplyError, decode_reply, encode_call
from nickelslip.server.request_events import CallReturned
from nickelslip.server.requests import Request
from nickelslip.server.streams import Stream

if TYPE_CHECKING:  # these names are needed for types alone, and not at every start of the program
    from nickelslip.server.interfaces import ServerContext

MAX_REUSE_IDLE_MS = 100.0  # a connection unused for longer may have been closed or forgotten by the service
MAX_PARTIAL_REPLY_STALL_MS = 500.0
MAX_BACKLOG_BYTES = 1 << 16


class PooledConnectionState(Enum):
    """The states of a connection."""

    CONNECTING = "its first call has not been written"
    CALL_IN_FLIGHT = "its call has been written and not answered"
    IDLE = "it has brought one valid reply and nothing else, and may carry another call"
    CLOSED = "it carries no call any more"


class PooledConnectionEvent(Enum):
    """What changes the state of a connection."""

    CALL_WRITTEN = "a call was written"
    REPLY_READ = "the reply to the call was read"
    CLOSED = "the connection ended, or is not wanted any more"


POOLED_CONNECTION_TRANSITIONS = {
    (PooledConnectionState.CONNECTING, PooledConnectionEvent.CALL_WRITTEN): PooledConnectionState.CALL_IN_FLIGHT,
    (PooledConnectionState.IDLE, PooledConnectionEvent.CALL_WRITTEN): PooledConnectionState.CALL_IN_FLIGHT,
    (PooledConnectionState.CALL_IN_FLIGHT, PooledConnectionEvent.REPLY_READ): PooledConnectionState.IDLE,
    (PooledConnectionState.CONNECTING, PooledConnectionEvent.CLOSED): PooledConnectionState.CLOSED,
    (PooledConnectionState.CALL_IN_FLIGHT, PooledConnectionEvent.CLOSED): PooledConnectionState.CLOSED,
    (PooledConnectionState.IDLE, PooledConnectionEvent.CLOSED): PooledConnectionState.CLOSED,
    (PooledConnectionState.CLOSED, PooledConnectionEvent.CLOSED): PooledConnectionState.CLOSED,
}


class ConnectionPool(Protocol):
    """What a connection reports to the pool that opened it."""

    context: ServerContext

    def connect_finished(self, error: str | None) -> None:
        """A connection was established, or failed with this error."""

    def call_ended(self, request: Request) -> None:
        """The call of this request has ended."""

    def call_connection_closed(self, closed: ConnectionClosedError) -> None:
        """A call ended with its connection."""

    def connection_idle(self, connection: PooledConnection) -> None:
        """The connection may carry another call."""

    def connection_closed(self, connection: PooledConnection) -> None:
        """The connection holds no descriptor any more."""


class PooledConnection:
    """One connection, and the call that is in flight on it.

    Args:
        pool: Where the connection reports to.
        request: Whose call it carries first.
        wait_ms: How long that call may take.
    """

    def __init__(self, pool: ConnectionPool, request: Request, wait_ms: float) -> None:
        self._pool = pool
        self._context = pool.context
        self._request: Request | None = request  # whose call is in flight
        self._wait_ms = wait_ms
        self._state = PooledConnectionState.CONNECTING
        self._address: Address | None = self._context.generation.config.records
        self._became_idle_at_ms = 0.0
        self._stream: Stream | None = None
        self._connect_scope = anyio.CancelScope()

    def _enter_on(self, event: PooledConnectionEvent) -> None:
        """Enter the state that follows from an event."""
        self._state = POOLED_CONNECTION_TRANSITIONS[self._state, event]

    async def serve(self) -> None:
        """Connect, send the call, and read to the connection's end."""
        try:
            await self._read_replies_of(await self._open())
        except ConnectionClosedError as closed:
            self.close(closed)
        except Exception as error:  # this call alone ends, and may have run
            self._context.log.error("dependency_call_failed", error=repr(error), exc_info=error)
            self.close(ConnectionClosedError(CloseReason.FAULT, repr(error)))
        finally:
            self._pool.connection_closed(self)

    async def _open(self) -> Stream:
        """Connect and write the first call.

        Raises:
            ConnectionClosedError: There is no address, no connection came about, or the call was given up meanwhile.
        """
        if self._address is None:
            raise ConnectionClosedError(CloseReason.REFUSED, "no address was given")
        with self._connect_scope:
            self._stream = await connect(
                self._address,
                self._context.buffers,
                self._context.task_group,
                MAX_BACKLOG_BYTES,
                MAX_PARTIAL_REPLY_STALL_MS,
            )
        if self._request is None or self._stream is None:
            raise ConnectionClosedError(CloseReason.IDLE)
        self._pool.connect_finished(None)
        self._write_call(self._request, self._wait_ms)
        return self._stream

    async def _read_replies_of(self, stream: Stream) -> None:
        while True:
            await stream.fill()
            if self._state is PooledConnectionState.IDLE:
                raise ConnectionClosedError(CloseReason.MALFORMED, "something came after the reply")
            self._read_replies(stream)

    def send_call(self, request: Request, wait_ms: float) -> None:
        """Send another call on a connection that is idle."""
        self._request = request
        self._write_call(request, wait_ms)

    def _write_call(self, request: Request, wait_ms: float) -> None:
        call = encode_call(request.received.id_hex, wait_ms, request.call.body or b"")
        if self._stream is not None and self._stream.write(call):
            self._enter_on(PooledConnectionEvent.CALL_WRITTEN)

    @property
    def is_reusable(self) -> bool:
        """Whether it may carry another call; one that was idle for long may be dead without showing it."""
        return (
            self._state is PooledConnectionState.IDLE
            and self._stream is not None
            and self._stream.is_open_and_unreadable
            and self._address == self._context.generation.config.records
            and self._context.clock() - self._became_idle_at_ms <= MAX_REUSE_IDLE_MS
        )

    def close(self, closed: ConnectionClosedError) -> None:
        """End the connection, and with it the call that is in flight on it."""
        request = self._request
        self._request = None
        was_in_flight = self._state is PooledConnectionState.CALL_IN_FLIGHT
        self._enter_on(PooledConnectionEvent.CLOSED)
        self._connect_scope.cancel()  # its descriptor is free at once for a call that somebody waits for
        if self._stream is not None:
            self._stream.abort(closed.reason)
        if request is None:
            return
        self._pool.call_ended(request)
        if closed.reason is CloseReason.REFUSED:
            self._pool.connect_finished(closed.detail)
        else:
            self._pool.call_connection_closed(closed)
        request.deliver(CallReturned(closed.reason.outcome if was_in_flight else Outcome.CONNECT_FAILED))

    def give_up(self) -> None:
        """Close the connection because its call is waited for no longer.

        That tells the service, and whatever still comes can be taken for no other call's reply.
        """
        self._request = None
        self.close(ConnectionClosedError(CloseReason.IDLE))

    def _read_replies(self, stream: Stream) -> None:
        """Read what came; replies under other ids than the call's are passed over.

        Raises:
            ConnectionClosedError: Something else came than one reply to the call.
        """
        while stream.data is not None:
            try:
                reply = decode_reply(stream.data, stream.start, stream.end)
            except MalformedReplyError as error:
                raise ConnectionClosedError(CloseReason.MALFORMED, str(error)) from None
            if reply is None:
                return
            request = self._request
            if request is None or reply.request_id != request.received.id_hex.encode():
                stream.take(reply.end)
                continue
            self._pool.call_ended(request)
            self._request = None
            self._became_idle_at_ms = self._context.clock()
            stream.take(reply.end)
            self._enter_on(PooledConnectionEvent.REPLY_READ)
            request.deliver(CallReturned(reply.outcome, reply.body))
            if stream.data is not None:
                raise ConnectionClosedError(CloseReason.MALFORMED, "something came behind the reply")
            self._pool.connection_idle(self)
