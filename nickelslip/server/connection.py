"""One balancer's connection: the messages on it, and the transactions open on it.

Owns the words of the protocol, and the limits of a single connection. Each transaction that was read lives in a task of
its own and is answered here on the connection it came on. It must never decide what becomes of one, and nothing on one
connection may hold up another. It sees the other connections only through `ConnectionTable`.
"""

from __future__ import annotations

import socket
from math import inf
from typing import TYPE_CHECKING, Protocol

import anyio

from nickelslip.admission.interface import State
from nickelslip.server import resp
from nickelslip.server.endings import Ended, Ending
from nickelslip.server.messages import BadField, asked_from, tag_in
from nickelslip.server.streams import Stream
from nickelslip.server.transactions import Answer, Gone, Transaction

if TYPE_CHECKING:  # types only: a start is spared what it does not need
    from nickelslip.server.surroundings import Host

OPEN_MOST = 32  # transactions on one connection
BACKLOG_MOST = 64 * 1024  # unread answers over which no more is read from a connection
FIRST_BYTE_MS = 2000.0  # from a connection's start to the first byte of its first message
SLOW_MESSAGE_MS = 2000.0  # from a message's first byte on: one that takes longer is written slowly
FAULTS_MOST = 64  # in a row: more come from something that will not learn
SEND_POLL_S = 0.05  # between two looks at whether all is sent
WORDS = {State.SATISFIED: b"done", State.DISMISSED: b"later", State.FORFEITED: b"error"}


class ConnectionTable(Protocol):
    """What a connection needs of the table that it is in."""

    @property
    def host(self) -> Host: ...
    def note_proven(self, connection: Connection) -> None: ...
    def is_slow_writer(self, connection: Connection) -> bool: ...
    def admit_slow_writer(self, connection: Connection) -> bool: ...
    def note_whole_message(self, connection: Connection) -> None: ...
    def note_parting(self, connection: Connection) -> None: ...
    def tell_bad(self, what: str) -> None: ...
    def tell_ended(self, ended: Ended) -> None: ...


class Connection:
    """One balancer's connection, or that of somebody who is none."""

    def __init__(self, front: ConnectionTable, sock: socket.socket) -> None:
        self._front, self._host = front, front.host
        self.stream = Stream(sock, front.host.buffers, front.host.tasks, front.host.generation.stall_ms,
                             BACKLOG_MOST)
        self._open: dict[int, Transaction] = {}
        self.began = self.used = front.host.clock()
        self._message_began: float | None = None  # when the first byte was read of one that is not whole yet
        self.proven = False  # something that could be understood came on it
        self._faults = 0
        self.closing = False
        self.parted: float | None = None  # when it began to end
        self._quiet = anyio.Event()

    async def serve(self) -> None:
        """Read messages until the connection ends, and then tell the module of every caller that it took along."""
        fault = Ended(Ending.LEFT)
        try:
            while True:
                await self.stream.room()
                await self._fill()
                self._read()
                if self._faults > FAULTS_MOST:
                    raise Ended(Ending.GARBLED, "nothing but faults")
        except Ended as ended:
            fault = ended
            if ended.ending not in (Ending.CLOSED, Ending.RESET):
                await self._answer_the_rest()
        except Exception as error:  # this connection alone ends, with all that it brought answered
            fault = Ended(Ending.FAULT, repr(error))
            self._host.log.error("balancer connection failed", error=repr(error), exc_info=error)
            await self._answer_the_rest()
        finally:
            self.stream.end_with(fault.ending)
            for one in self._open.values():
                one.post(Gone())
            self._open.clear()
            self._front.tell_ended(fault)

    def _prove(self) -> None:
        self.proven = True
        self._front.note_proven(self)

    async def _fill(self) -> None:
        """Wait until more was read, or until a message is found to be written slowly and may go on."""
        try:
            await self.stream.fill(self._time_left())
        except Ended as ended:
            if ended.ending is not Ending.STALLED or not self._front.admit_slow_writer(self):
                raise

    def _time_left(self) -> float:
        """How long the other side may take over its first byte, or over the rest of a message that it has begun."""
        now = self._host.clock()
        if self._message_began is not None:
            slow = self._front.is_slow_writer(self)
            return self._message_began + (self._host.generation.stall_ms if slow else SLOW_MESSAGE_MS) - now
        return inf if self.proven else self.used + FIRST_BYTE_MS - now

    def _read(self) -> None:
        stream = self.stream
        while stream.data is not None:
            if self._message_began is None:
                self._message_began = self._host.clock()
            try:
                whole = resp.parse(stream.data, stream.start, stream.end)
            except resp.Garbled as garbled:
                self._refuse(garbled.parts)
                raise Ended(Ending.GARBLED, str(garbled)) from None
            if whole is None:
                return
            parts, upto = whole
            stream.take(upto)
            self.used, self._message_began = self._host.clock(), None
            self._front.note_whole_message(self)
            self._message(parts)

    def _refuse(self, parts: list[bytes]) -> None:
        """What cannot be understood to its end is refused by its first parts, where they hold a usable tag."""
        if len(parts) > 1 and parts[0] != b"NEVERMIND" and (tag := tag_in(parts)) and tag not in self._open:
            self._answer(tag, Answer(State.FORFEITED, self._host.said))

    def _message(self, parts: list[bytes]) -> None:
        verb, tag = parts[0], tag_in(parts)
        if not tag:
            raise Ended(Ending.GARBLED, "no tag")
        if verb == b"NEVERMIND":
            one = self._open.pop(tag, None)
            if one is not None:
                one.post(Gone())
                self._settle()
            return
        if tag in self._open:
            raise Ended(Ending.GARBLED, f"tag {tag} is in use")
        if verb == b"STATUS":
            self._prove()
            self._send(tag, b"healthy" if self._host.healthy else b"sick", self._said(self._host.said))
        elif verb == b"ASK":
            taken = False
            try:
                taken = self._ask(tag, parts[2:])
            except BadField as bad:
                self._front.tell_bad(str(bad))
            finally:
                self._faults = 0 if taken else self._faults + 1
                if not taken:
                    self._answer(tag, Answer(State.FORFEITED, self._host.said))
        else:
            self._faults += 1
            self._answer(tag, Answer(State.FORFEITED, self._host.said))

    def _ask(self, tag: int, parts: list[bytes]) -> bool:
        """Whether the transaction that is asked for has been taken; its life then goes on in a task."""
        if len(self._open) >= OPEN_MOST:
            raise BadField("more than may be open")
        generation = self._host.generation  # under which it is read, and stays to its end
        asked = asked_from(parts, generation.repeats, generation.customers, self._host.clock(), generation.stall_ms)
        one = self._open[tag] = Transaction(asked, generation, lambda answer: self._answer(tag, answer))
        if self._host.take(one):
            self._prove()
            return True
        del self._open[tag]
        return False

    def _answer(self, tag: int, answer: Answer) -> None:
        self._open.pop(tag, None)
        fields = [self._said(answer.said)] if answer.said is not None else []
        if answer.state is State.DISMISSED:
            if answer.retry_after_ms > 0:
                fields.append(b"holdoff=%.3f" % answer.retry_after_ms)
            if answer.last:
                fields.append(b"nomore=1")
        self._send(tag, WORDS[answer.state], b",".join(fields), answer.body)
        self.used = self._host.clock()
        self._settle()

    @staticmethod
    def _said(said: float | None) -> bytes:
        return b"" if said is None else b"signal=%.6f" % said

    def _send(self, tag: int, word: bytes, fields: bytes, body: bytes = b"") -> None:
        self.stream.write(resp.message(b"%d" % tag, word, fields, body))

    def _settle(self) -> None:
        if not self._open:
            self._quiet.set()

    @property
    def idle(self) -> bool:
        """Nothing is owed on it: nothing open, no half message, all sent."""
        return not self._open and self.stream.data is None and self.stream.all_sent

    def part(self, ending: Ending) -> bool:
        """Begin to end it where nothing is owed on it, as far as can be seen: neither here nor, unread, in the system.
        What comes from here on crosses the close. False where something is owed."""
        if not self.idle or not self.stream.quiet:
            return False
        self.cut_off(ending)
        return True

    def cut_off(self, ending: Ending) -> None:
        """Begin to end it whatever may be unread on it: there is no time, or no room, to answer more. What is open on
        it, or not yet sent, is still owed."""
        if self.parted is None and not self._open and self.stream.all_sent:
            self.parted = self._host.clock()
            self.stream.shut_down(ending)

    async def _answer_the_rest(self) -> None:
        """Nothing more is understood here, but what was read is still answered."""
        while self._open and not self.stream.ending:
            self._quiet = anyio.Event()
            await self._quiet.wait()
        with anyio.move_on_after(self._host.generation.stall_ms / 1000):
            while not self.stream.all_sent and not self.stream.ending:
                await anyio.sleep(SEND_POLL_S)
        if self.parted is None:
            self.parted = self._host.clock()
            self._front.note_parting(self)
        await self.stream.linger()

    def close(self) -> None:
        """No new transaction is to come here; the balancer closes when all is answered."""
        if not self.closing:
            self.closing = True
            self.stream.write(resp.message(b"0", b"closing"))
