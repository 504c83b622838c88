"""A connection to the records service, which carries one call at a time.

An invalid reply or a connection error affects only the call in flight. Each call ends exactly once: by its reply, by
being abandoned, or when the connection closes. After a close, only a call that was never written is reported as not
having run.
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

if TYPE_CHECKING:  # avoids imports at startup
    from nickelslip.server.interfaces import ServerContext

MAX_REUSE_IDLE_MS = 100.0  # after a longer idle time the service may have closed or dropped the connection
MAX_PARTIAL_REPLY_STALL_MS = 500.0
MAX_BACKLOG_BYTES = 1 << 16


class PooledConnectionState(Enum):
    """The state of a pooled connection."""

    CONNECTING = "the first call has not been written yet"
    CALL_IN_FLIGHT = "a call has been written and not yet answered"
    IDLE = "the last call was answered by one valid reply; another call may be sent"
    CLOSED = "no further calls can be sent"


class PooledConnectionEvent(Enum):
    """An event that changes the state of a pooled connection."""

    CALL_WRITTEN = "a call was written"
    REPLY_READ = "the reply to the call was read"
    CLOSED = "the connection ended, or is no longer needed"


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
    """Receives events of the connections that the pool opened."""

    context: ServerContext

    def connect_finished(self, error: str | None) -> None:
        """An attempt to connect succeeded, or failed with this error."""

    def call_ended(self, request: Request) -> None:
        """The call of this request has ended."""

    def call_connection_closed(self, closed: ConnectionClosedError) -> None:
        """A call ended because its connection closed."""

    def connection_idle(self, connection: PooledConnection) -> None:
        """The connection may carry another call."""

    def connection_closed(self, connection: PooledConnection) -> None:
        """The connection has released its descriptor."""


class PooledConnection:
    """A connection and the call in flight on it.

    Args:
        pool: The pool that receives the connection's events.
        request: The request whose call is sent first.
        timeout_ms: The time limit of that call.
    """

    def __init__(self, pool: ConnectionPool, request: Request, timeout_ms: float) -> None:
        self._pool = pool
        self._context = pool.context
        self._request: Request | None = request  # the request whose call is in flight or waits for the connection
        self._timeout_ms = timeout_ms
        self._state = PooledConnectionState.CONNECTING
        self._address: Address | None = self._context.generation.config.records
        self._became_idle_at_ms = 0.0
        self._stream: Stream | None = None
        self._connect_scope = anyio.CancelScope()

    def _apply_event(self, event: PooledConnectionEvent) -> None:
        """Change the state as POOLED_CONNECTION_TRANSITIONS specifies for this event."""
        self._state = POOLED_CONNECTION_TRANSITIONS[self._state, event]

    async def serve(self) -> None:
        """Connect, send the first call, and read replies until the connection ends."""
        try:
            await self._read_until_closed(await self._open())
        except ConnectionClosedError as closed:
            self.close(closed)
        except Exception as error:  # affects only this call, which may have run
            self._context.log.error("dependency_call_failed", error=repr(error), exc_info=error)
            self.close(ConnectionClosedError(CloseReason.FAULT, repr(error)))
        finally:
            self._pool.connection_closed(self)

    async def _open(self) -> Stream:
        """Connect and write the first call.

        Raises:
            ConnectionClosedError: No address is configured, the connection could not be established, or the call was
                abandoned in the meantime.
        """
        if self._address is None:
            raise ConnectionClosedError(CloseReason.REFUSED, "no address is configured")
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
        self._write_call(self._request, self._timeout_ms)
        return self._stream

    async def _read_until_closed(self, stream: Stream) -> None:
        while True:
            await stream.fill()
            if self._state is PooledConnectionState.IDLE:
                raise ConnectionClosedError(CloseReason.MALFORMED, "received data while idle")
            self._handle_replies(stream)

    def send_call(self, request: Request, timeout_ms: float) -> None:
        """Send another call on an idle connection."""
        self._request = request
        self._write_call(request, timeout_ms)

    def _write_call(self, request: Request, timeout_ms: float) -> None:
        call = encode_call(request.received.id_hex, timeout_ms, request.call.body or b"")
        if self._stream is not None and self._stream.write(call):
            self._apply_event(PooledConnectionEvent.CALL_WRITTEN)

    @property
    def is_reusable(self) -> bool:
        """Whether another call may be sent; a connection that was idle for long may have failed without notice."""
        return (
            self._state is PooledConnectionState.IDLE
            and self._stream is not None
            and self._stream.is_open_without_pending_input
            and self._address == self._context.generation.config.records
            and self._context.clock() - self._became_idle_at_ms <= MAX_REUSE_IDLE_MS
        )

    def close(self, closed: ConnectionClosedError) -> None:
        """Close the connection and end the call in flight on it."""
        request = self._request
        self._request = None
        was_in_flight = self._state is PooledConnectionState.CALL_IN_FLIGHT
        self._apply_event(PooledConnectionEvent.CLOSED)
        self._connect_scope.cancel()  # frees the descriptor immediately for another call
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

    def abandon_call(self) -> None:
        """Close the connection because its call was abandoned.

        The close notifies the service, and a late reply cannot be mistaken for the reply to another call.
        """
        self._request = None
        self.close(ConnectionClosedError(CloseReason.IDLE))

    def _handle_replies(self, stream: Stream) -> None:
        """Handle the received replies, ignoring those whose id differs from that of the call.

        Raises:
            ConnectionClosedError: A reply is malformed, or more data follows the reply to the call.
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
                stream.consume(reply.end)
                continue
            self._pool.call_ended(request)
            self._request = None
            self._became_idle_at_ms = self._context.clock()
            stream.consume(reply.end)
            self._apply_event(PooledConnectionEvent.REPLY_READ)
            request.deliver(CallReturned(reply.outcome, reply.body))
            if stream.data is not None:
                raise ConnectionClosedError(CloseReason.MALFORMED, "received data after the reply")
            self._pool.connection_idle(self)
