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
from nickelslip.server.endings import CALL_ENDS, NO_DESCRIPTOR, UNREADABLE_CALL, Ended, Ending
from nickelslip.server.streams import SIZE, Stream, connect
from nickelslip.server.transactions import Returned, Transaction

if TYPE_CHECKING:  # types only: a start is spared what it does not need
    from nickelslip.server.surroundings import Surroundings

REUSE_MS = 100.0  # a connection unused for longer may have been closed or forgotten by the service
IDLE_MOST = 16  # unused connections kept
HALF_MS = 500.0  # how long half a reply may stand still
BACKLOG_MOST = 1 << 16
HEAD_MOST = 64  # bytes of a reply's first line


class Line(Enum):
    """The states of a connection."""

    CONNECTING = "its call has not been written"
    OUT = "its call is out"
    IDLE = "it has brought one reply in order and nothing else, and may carry another call"
    OVER = "it carries no call any more"


class Carrier:
    """One connection, and the call that is out on it."""

    def __init__(self, records: Records, one: Transaction, wait_ms: float) -> None:
        self._records, self._around = records, records.around
        self.one: Transaction | None = one
        self._wait_ms = wait_ms
        self.state = Line.CONNECTING
        self.address: Address | None = records.around.generation.config.records
        self.used = 0.0
        self._stream: Stream | None = None
        self._dial = anyio.CancelScope()

    def _enter(self, state: Line) -> None:
        """The one place where it changes its state."""
        self.state = state

    async def serve(self) -> None:
        """Connect, send the call, and read to the connection's end."""
        try:
            if self.address is None:
                raise Ended(Ending.REFUSED, "no address was given")
            with self._dial:
                self._stream = await connect(
                    self.address, self._around.buffers, self._around.tasks, BACKLOG_MOST, HALF_MS
                )
            if self.one is None or self._stream is None:  # given up in the meantime, and never written
                raise Ended(Ending.IDLE)
            self._records.reached(None)
            self._write(self.one, self._wait_ms)
            while True:
                await self._stream.fill()
                if self.state is Line.IDLE:
                    raise Ended(Ending.GARBLED, "something came after the reply")
                self._reply(self._stream)
        except Ended as ended:
            self.end(ended)
        except Exception as error:  # this call alone ends, and may have run
            self._around.log.error("call failed", error=repr(error), exc_info=error)
            self.end(Ended(Ending.FAULT, repr(error)))
        finally:
            self._records.forget(self)

    def carry(self, one: Transaction, wait_ms: float) -> None:
        """Send another call on a connection that is idle."""
        self.one = one
        self._write(one, wait_ms)

    def _write(self, one: Transaction, wait_ms: float) -> None:
        body = one.call.body or b""
        head = b"OP %s %d %d\r\n" % (one.asked.ident.encode(), max(1, round(wait_ms)), len(body))
        if self._stream is not None and self._stream.write(head + body + b"\r\n"):
            self._enter(Line.OUT)

    @property
    def ready(self) -> bool:
        """Whether it may carry another call; one that has stood idle may be dead without showing it."""
        return (
            self.state is Line.IDLE
            and self._stream is not None
            and self._stream.quiet
            and self.address == self._around.generation.config.records
            and self._around.clock() - self.used <= REUSE_MS
        )

    def end(self, ended: Ended) -> None:
        """The connection has ended, with what that proves of the call on it."""
        one, self.one, was = self.one, None, self.state
        self._enter(Line.OVER)
        self._dial.cancel()  # its descriptor is wanted for a call that somebody waits for
        if self._stream is not None:
            self._stream.end_with(ended.ending)
        if one is not None:
            self._records.returned(one)
            if ended.ending is Ending.REFUSED:
                self._records.reached(ended.detail)
            else:
                self._records.tell_broken(ended)
            one.post(Returned(ended.ending.outcome if was is Line.OUT else Outcome.CONNECT_FAILED))

    def give_up(self) -> None:
        """Its call is waited for no longer: the end of its connection tells the service, and whatever still comes
        can be taken for no other call's reply."""
        self.one = None
        self.end(Ended(Ending.IDLE))

    def _reply(self, stream: Stream) -> None:
        """Read what came; replies under other ids than the call's are passed over."""
        while stream.data is not None:
            stop = stream.data.find(b"\r\n", stream.start, min(stream.end, stream.start + HEAD_MOST))
            if stop < 0:
                if stream.end - stream.start >= HEAD_MOST:
                    raise Ended(Ending.GARBLED, "a line without an end")
                return
            parts = bytes(stream.data[stream.start : stop]).split(b" ")
            if len(parts) < 2 or parts[1] not in CALL_ENDS or (parts[1] == b"DONE") is not (len(parts) == 3):
                raise Ended(Ending.GARBLED, repr(b" ".join(parts)))
            upto, body = stop + 2, b""
            if parts[1] == b"DONE":
                if not parts[2].isdigit() or len(parts[2]) > 6 or int(parts[2]) > SIZE - 2 * HEAD_MOST:
                    raise Ended(Ending.GARBLED, f"a length of {parts[2][:20]!r}")
                size = int(parts[2])
                if stream.end < upto + size + 2:
                    return
                body = bytes(stream.data[upto : upto + size])
                upto += size + 2
                if stream.data[upto - 2 : upto] != b"\r\n":
                    raise Ended(Ending.GARBLED, "a reply that is longer than its length")
            one = self.one
            if one is None or parts[0] != one.asked.ident.encode():
                stream.take(upto)
                continue
            self._records.returned(one)
            self.one, self.used = None, self._around.clock()
            stream.take(upto)
            self._enter(Line.IDLE)
            one.post(Returned(CALL_ENDS[parts[1]], body))
            if stream.data is not None:
                raise Ended(Ending.GARBLED, "something came behind the reply")
            self._records.idle(self)


class Records:
    """The records service, as this server reaches it."""

    def __init__(self, around: Surroundings) -> None:
        self.around = around
        self._carriers: dict[Transaction, Carrier] = {}
        self._idle: list[Carrier] = []
        self._standing: set[Carrier] = set()  # all that may hold a descriptor
        self._refused = False
        self._broken = 0

    def call(self, one: Transaction, wait_ms: float) -> None:
        """Send the call at which this one's run stands. A transaction's second call goes on another connection than
        its first: a second copy of the first one's reply would carry the same id. Where its body cannot be read, or no
        descriptor is left for calls, it is not made: the callers' own and the worker pool's link keep theirs."""
        if one.call.body is None:
            one.post(Returned(UNREADABLE_CALL))
            return
        carrier = self._unused(one)
        if carrier is not None:
            self._carriers[one] = carrier
            carrier.carry(one, wait_ms)
        elif self._full():
            one.post(Returned(NO_DESCRIPTOR))
            return
        else:
            carrier = self._carriers[one] = Carrier(self, one, wait_ms)
            self._standing.add(carrier)
            self.around.tasks.start_soon(self.around.guard, carrier.serve)
        one.carriers.append(carrier)

    def _full(self) -> bool:
        """Whether no connection more may be opened; one that stands unused makes place."""
        most = self.around.generation.shares.calls
        if len(self._standing) >= most and self._idle:
            self._idle.pop(0).end(Ended(Ending.IDLE))
            return False
        return len(self._standing) >= most

    def _unused(self, one: Transaction) -> Carrier | None:
        """The connection that was used last, of those that are idle and have not carried a call for this one."""
        for carrier in reversed(self._idle):
            if carrier not in one.carriers:
                self._idle.remove(carrier)
                if carrier.ready:
                    return carrier
                carrier.end(Ended(Ending.IDLE))
        return None

    def give_up(self, one: Transaction) -> None:
        """This call is waited for no longer."""
        carrier = self._carriers.pop(one, None)
        if carrier is not None:
            carrier.give_up()

    def returned(self, one: Transaction) -> None:
        """Its call has ended."""
        self._carriers.pop(one, None)

    def move(self) -> None:
        """The address has changed: new calls go to the new one, and those that are out are waited for on the old."""
        self._trim(0)

    def idle(self, carrier: Carrier) -> None:
        """It has brought its reply, and may carry another call."""
        self._idle.append(carrier)
        self._trim(IDLE_MOST)

    def _trim(self, most: int) -> None:
        while len(self._idle) > most:
            self._idle.pop(0).end(Ended(Ending.IDLE))

    def forget(self, carrier: Carrier) -> None:
        """Its connection has ended."""
        if carrier in self._idle:
            self._idle.remove(carrier)
        self._standing.discard(carrier)

    def reached(self, fault: str | None) -> None:
        """Whether a connection came about: a change of that makes a line."""
        if (fault is not None) is not self._refused:
            self._refused = fault is not None
            self.around.log.warning("records service", reached=fault is None, detail=fault)

    def tell_broken(self, ended: Ended) -> None:
        """Calls that ended with their connection: the first, and then every power of two of them, makes a line."""
        self._broken += 1
        if not self._broken & (self._broken - 1):
            self.around.log.warning(
                "call ended with its connection", ending=ended.ending.name, detail=ended.detail, so_far=self._broken
            )
