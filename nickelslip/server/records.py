"""Calls to the records service.

Owns the one connection on which calls go out and the list of those that are out. Each call ends once: by its reply,
by being given up, or with the connection. It must never repeat a call, and tells what is proven never to have run
from what is not; how long a call may take and what follows from its end is the module's.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import anyio

from nickelslip.admission.interface import Outcome
from nickelslip.server.endings import CALL_ENDS, Ended, Ending
from nickelslip.server.streams import SIZE, Stream, connect
from nickelslip.server.transactions import Returned, Transaction

if TYPE_CHECKING:
    from nickelslip.server.node import Node

SERVICE_IDLE_MS = 10_000.0  # the service closes a connection unused for so long
BACKLOG_MOST = 1 << 20


class Line(Enum):
    """The state of the connection."""

    DOWN = "there is none, and none is wanted"
    WANTED = "calls wait for one"
    UP = "calls go out at once"


class Records:
    """The records service, as this server reaches it."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._line = Line.DOWN
        self._stream: Stream | None = None
        self._wanted = anyio.Event()
        self._waiting: dict[Transaction, float] = {}  # not written yet; the module bounds how many are out
        self._out: dict[Transaction, None] = {}
        self._used = 0.0
        self._refused = False

    def call(self, one: Transaction, wait_ms: float) -> None:
        """Send the call at which this one's run stands, now or as soon as there is a connection."""
        now = self._node.clock()
        if self._stream is not None and not self._out and now - self._used > SERVICE_IDLE_MS / 2:
            self._drop(Ending.IDLE)  # the service may be closing it at this very moment
        self._used = now
        if self._stream is not None and not self._stream.ending:
            self._write(self._stream, one, wait_ms)
        else:
            self._waiting[one] = wait_ms  # not written, whatever became of the connection before
            self._enter(Line.WANTED)
            self._wanted.set()

    def give_up(self, one: Transaction) -> None:
        """This call is waited for no longer; a reply that still comes is passed over."""
        self._waiting.pop(one, None)
        if one in self._out:
            del self._out[one]
            if self._stream is not None:
                self._stream.write(b"UNOP %s\r\n" % one.asked.ident.encode())

    def _write(self, stream: Stream, one: Transaction, wait_ms: float) -> None:
        self._out[one] = None
        head = b"OP %s %d %d\r\n" % (one.asked.ident.encode(), max(1, round(wait_ms)), len(one.call.body))
        stream.write(head + one.call.body + b"\r\n")

    def _enter(self, line: Line) -> None:
        """The one place where the connection changes its state."""
        self._line = line

    def _drop(self, ending: Ending) -> None:
        if self._stream is not None:
            self._stream.end_with(ending)
            self._stream = None
        self._enter(Line.DOWN)

    async def run(self) -> None:
        """Connect when a call wants it, and read replies until the connection ends."""
        while True:
            if self._line is not Line.WANTED:
                self._wanted = anyio.Event()
                await self._wanted.wait()
            stream = None
            try:
                stream = self._stream = await self._connect()
                for one, wait_ms in self._waiting.items():
                    self._write(stream, one, wait_ms)
                self._waiting.clear()
                while True:
                    await stream.fill()
                    self._replies(stream)
            except Ended as ended:
                self._over(stream, ended)

    async def _connect(self) -> Stream:
        if self._node.config.records is None:
            raise Ended(Ending.REFUSED, "no address was given")
        stream = await connect(self._node.config.records, self._node, BACKLOG_MOST, patient=True)
        self._enter(Line.UP)
        if self._refused:
            self._node.log.info("records service reached again")
        self._refused = False
        return stream

    def _over(self, stream: Stream | None, ended: Ended) -> None:
        """A connection ended: every call on it has, too, with what that proves."""
        if stream is not None and stream is not self._stream:
            stream.end_with(ended.ending)
            return  # it had been dropped, unused, and another may be wanted
        lost = [*self._out, *self._waiting] if ended.ending is Ending.REFUSED else list(self._out)
        if ended.ending is Ending.REFUSED:
            if not self._refused:
                self._node.log.warning("records service not reached", detail=ended.detail)
            self._refused = True
            self._waiting.clear()
        elif lost or ended.ending is not Ending.CLOSED:
            self._node.log.warning("records connection ended", ending=ended.ending.name, detail=ended.detail,
                                   calls=len(lost))
        self._out.clear()
        self._drop(ended.ending)
        if self._waiting:
            self._enter(Line.WANTED)
        for one in lost:
            one.post(Returned(ended.ending.outcome))

    def _replies(self, stream: Stream) -> None:
        while stream.data is not None:
            stop = stream.data.find(b"\r\n", stream.start, stream.end)
            if stop < 0:
                return
            parts = bytes(stream.data[stream.start:stop]).split(b" ")
            if len(parts) < 2 or parts[1] not in CALL_ENDS or (parts[1] == b"DONE") is not (len(parts) == 3):
                raise Ended(Ending.GARBLED, repr(b" ".join(parts)[:100]))
            upto, body = stop + 2, b""
            if parts[1] == b"DONE":
                if not parts[2].isdigit() or len(parts[2]) > 6 or int(parts[2]) > SIZE - 256:
                    raise Ended(Ending.GARBLED, f"a length of {parts[2][:20]!r}")
                size = int(parts[2])
                if stream.end < upto + size + 2:
                    return
                body = bytes(stream.data[upto:upto + size])
                upto += size + 2
                if stream.data[upto - 2:upto] != b"\r\n":
                    raise Ended(Ending.GARBLED, "a reply that is longer than its length")
            stream.take(upto)
            self._reply(parts[0], CALL_ENDS[parts[1]], body)

    def _reply(self, ident: bytes, outcome: Outcome, body: bytes) -> None:
        self._used = self._node.clock()
        try:
            one = self._node.transactions.get(int(ident, 16))
        except ValueError:
            raise Ended(Ending.GARBLED, f"an id of {ident[:20]!r}") from None
        if one is not None and one in self._out:
            del self._out[one]
            one.post(Returned(outcome, body))
