"""Calls to the records service.

Owns the connections on which calls go out, one call at a time on each, so that whatever a reply or its connection
does, it does to one call. Each call ends once: by its reply, by being given up, or with its connection. It must never
repeat a call, and tells what is proven never to have run from what is not; how long a call may take and what follows
from its end is the module's.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import anyio

from nickelslip.admission.interface import Outcome
from nickelslip.configuration.config import Address
from nickelslip.server.buffer_pool import BUFFER_BYTES
from nickelslip.server.close_reasons import (
    CALL_OUTCOMES,
    NO_DESCRIPTOR_OUTCOME,
    UNREADABLE_CALL_OUTCOME,
    CloseReason,
    ConnectionClosedError,
)
from nickelslip.server.connector import connect
from nickelslip.server.request_events import CallReturned
from nickelslip.server.requests import Request
from nickelslip.server.streams import Stream

if TYPE_CHECKING:  # types only: a start is spared what it does not need
    from nickelslip.server.interfaces import ServerContext

REUSE_MS = 100.0  # a connection unused for longer may have been closed or forgotten by the service
IDLE_MOST = 16  # unused connections kept
HALF_MS = 500.0  # how long half a reply may stand still
BACKLOG_MOST = 1 << 16
HEAD_MOST = 64  # bytes of a reply's first line


class PooledConnectionState(Enum):
    """The states of a connection."""

    CONNECTING = "its call has not been written"
    OUT = "its call is out"
    IDLE = "it has brought one reply in order and nothing else, and may carry another call"
    OVER = "it carries no call any more"


class PooledConnection:
    """One connection, and the call that is out on it."""

    def __init__(self, records: RecordsClient, one: Request, wait_ms: float) -> None:
        self._records, self._around = records, records.context
        self.one: Request | None = one
        self._wait_ms = wait_ms
        self.state = PooledConnectionState.CONNECTING
        self.address: Address | None = records.context.generation.config.records
        self.used = 0.0
        self._stream: Stream | None = None
        self._dial = anyio.CancelScope()

    def _enter(self, state: PooledConnectionState) -> None:
        """The one place where it changes its state."""
        self.state = state

    async def serve(self) -> None:
        """Connect, send the call, and read to the connection's end."""
        try:
            if self.address is None:
                raise ConnectionClosedError(CloseReason.REFUSED, "no address was given")
            with self._dial:
                self._stream = await connect(
                    self.address, self._around.buffers, self._around.task_group, BACKLOG_MOST, HALF_MS
                )
            if self.one is None or self._stream is None:  # given up in the meantime, and never written
                raise ConnectionClosedError(CloseReason.IDLE)
            self._records.reached(None)
            self._write(self.one, self._wait_ms)
            while True:
                await self._stream.fill()
                if self.state is PooledConnectionState.IDLE:
                    raise ConnectionClosedError(CloseReason.MALFORMED, "something came after the reply")
                self._reply(self._stream)
        except ConnectionClosedError as ended:
            self.end(ended)
        except Exception as error:  # this call alone ends, and may have run
            self._around.log.error("dependency_call_failed", error=repr(error), exc_info=error)
            self.end(ConnectionClosedError(CloseReason.FAULT, repr(error)))
        finally:
            self._records.forget(self)

    def carry(self, one: Request, wait_ms: float) -> None:
        """Send another call on a connection that is idle."""
        self.one = one
        self._write(one, wait_ms)

    def _write(self, one: Request, wait_ms: float) -> None:
        body = one.call.body or b""
        head = b"OP %s %d %d\r\n" % (one.received.id_hex.encode(), max(1, round(wait_ms)), len(body))
        if self._stream is not None and self._stream.write(head + body + b"\r\n"):
            self._enter(PooledConnectionState.OUT)

    @property
    def ready(self) -> bool:
        """Whether it may carry another call; one that has stood idle may be dead without showing it."""
        return (
            self.state is PooledConnectionState.IDLE
            and self._stream is not None
            and self._stream.quiet
            and self.address == self._around.generation.config.records
            and self._around.clock() - self.used <= REUSE_MS
        )

    def end(self, ended: ConnectionClosedError) -> None:
        """The connection has ended, with what that proves of the call on it."""
        one, self.one, was = self.one, None, self.state
        self._enter(PooledConnectionState.OVER)
        self._dial.cancel()  # its descriptor is wanted for a call that somebody waits for
        if self._stream is not None:
            self._stream.end_with(ended.reason)
        if one is not None:
            self._records.returned(one)
            if ended.reason is CloseReason.REFUSED:
                self._records.reached(ended.detail)
            else:
                self._records.tell_broken(ended)
            one.deliver(
                CallReturned(ended.reason.outcome if was is PooledConnectionState.OUT else Outcome.CONNECT_FAILED)
            )

    def give_up(self) -> None:
        """Its call is waited for no longer: the end of its connection tells the service, and whatever still comes
        can be taken for no other call's reply."""
        self.one = None
        self.end(ConnectionClosedError(CloseReason.IDLE))

    def _reply(self, stream: Stream) -> None:
        """Read what came; replies under other ids than the call's are passed over."""
        while stream.data is not None:
            stop = stream.data.find(b"\r\n", stream.start, min(stream.end, stream.start + HEAD_MOST))
            if stop < 0:
                if stream.end - stream.start >= HEAD_MOST:
                    raise ConnectionClosedError(CloseReason.MALFORMED, "a line without an end")
                return
            parts = bytes(stream.data[stream.start : stop]).split(b" ")
            if len(parts) < 2 or parts[1] not in CALL_OUTCOMES or (parts[1] == b"DONE") is not (len(parts) == 3):
                raise ConnectionClosedError(CloseReason.MALFORMED, repr(b" ".join(parts)))
            upto, body = stop + 2, b""
            if parts[1] == b"DONE":
                if not parts[2].isdigit() or len(parts[2]) > 6 or int(parts[2]) > BUFFER_BYTES - 2 * HEAD_MOST:
                    raise ConnectionClosedError(CloseReason.MALFORMED, f"a length of {parts[2][:20]!r}")
                size = int(parts[2])
                if stream.end < upto + size + 2:
                    return
                body = bytes(stream.data[upto : upto + size])
                upto += size + 2
                if stream.data[upto - 2 : upto] != b"\r\n":
                    raise ConnectionClosedError(CloseReason.MALFORMED, "a reply that is longer than its length")
            one = self.one
            if one is None or parts[0] != one.received.id_hex.encode():
                stream.take(upto)
                continue
            self._records.returned(one)
            self.one, self.used = None, self._around.clock()
            stream.take(upto)
            self._enter(PooledConnectionState.IDLE)
            one.deliver(CallReturned(CALL_OUTCOMES[parts[1]], body))
            if stream.data is not None:
                raise ConnectionClosedError(CloseReason.MALFORMED, "something came behind the reply")
            self._records.idle(self)


class RecordsClient:
    """The records service, as this server reaches it."""

    def __init__(self, around: ServerContext) -> None:
        self.context = around
        self._carriers: dict[Request, PooledConnection] = {}
        self._idle: list[PooledConnection] = []
        self._standing: set[PooledConnection] = set()  # all that may hold a descriptor
        self._refused = False
        self._broken = 0

    def call(self, one: Request, wait_ms: float) -> None:
        """Send the call at which this one's run stands. A transaction's second call goes on another connection than
        its first: a second copy of the first one's reply would carry the same id. Where its body cannot be read, or no
        descriptor is left for calls, it is not made: the callers' own and the worker pool's link keep theirs."""
        if one.call.body is None:
            one.deliver(CallReturned(UNREADABLE_CALL_OUTCOME))
            return
        carrier = self._unused(one)
        if carrier is not None:
            self._carriers[one] = carrier
            carrier.carry(one, wait_ms)
        elif self._full():
            one.deliver(CallReturned(NO_DESCRIPTOR_OUTCOME))
            return
        else:
            carrier = self._carriers[one] = PooledConnection(self, one, wait_ms)
            self._standing.add(carrier)
            self.context.task_group.start_soon(self.context.supervise, carrier.serve)
        one.call_transports.append(carrier)

    def _full(self) -> bool:
        """Whether no connection more may be opened; one that stands unused makes place."""
        most = self.context.generation.descriptor_shares.calls
        if len(self._standing) >= most and self._idle:
            self._idle.pop(0).end(ConnectionClosedError(CloseReason.IDLE))
            return False
        return len(self._standing) >= most

    def _unused(self, one: Request) -> PooledConnection | None:
        """The connection that was used last, of those that are idle and have not carried a call for this one."""
        for carrier in reversed(self._idle):
            if carrier not in one.call_transports:
                self._idle.remove(carrier)
                if carrier.ready:
                    return carrier
                carrier.end(ConnectionClosedError(CloseReason.IDLE))
        return None

    def give_up(self, one: Request) -> None:
        """This call is waited for no longer."""
        carrier = self._carriers.pop(one, None)
        if carrier is not None:
            carrier.give_up()

    def returned(self, one: Request) -> None:
        """Its call has ended."""
        self._carriers.pop(one, None)

    def change_endpoint(self) -> None:
        """The address has changed: new calls go to the new one, and those that are out are waited for on the old."""
        self._trim(0)

    def idle(self, carrier: PooledConnection) -> None:
        """It has brought its reply, and may carry another call."""
        self._idle.append(carrier)
        self._trim(IDLE_MOST)

    def _trim(self, most: int) -> None:
        while len(self._idle) > most:
            self._idle.pop(0).end(ConnectionClosedError(CloseReason.IDLE))

    def forget(self, carrier: PooledConnection) -> None:
        """Its connection has ended."""
        if carrier in self._idle:
            self._idle.remove(carrier)
        self._standing.discard(carrier)

    def reached(self, fault: str | None) -> None:
        """Whether a connection came about: a change of that makes a line."""
        if (fault is not None) is not self._refused:
            self._refused = fault is not None
            self.context.log.warning("dependency_reachability", is_reachable=fault is None, detail=fault)

    def tell_broken(self, ended: ConnectionClosedError) -> None:
        """Calls that ended with their connection: the first, and then every power of two of them, makes a line."""
        self._broken += 1
        if not self._broken & (self._broken - 1):
            self.context.log.warning(
                "dependency_call_connection_closed", reason=ended.reason.name, detail=ended.detail, count=self._broken
            )
