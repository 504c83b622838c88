"""The front for balancers: listener, connections and what is spoken on them.

Owns the listening socket, every balancer's connection with the transactions open on it, and the words of the
protocol. Each transaction that was read lives in a task of its own and is answered here on the connection it came
on. It must never decide what becomes of one, and nothing on one connection may hold up another.
"""

from __future__ import annotations

import errno
import socket
import struct
from array import array
from collections import Counter
from contextlib import suppress
from itertools import islice
from math import inf
from typing import TYPE_CHECKING

import anyio

from nickelslip.admission.interface import State
from nickelslip.server import resp
from nickelslip.configuration.config import Address
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
SLOW_WRITERS_PART = 4  # of the places, and of the buffers, one in so many at most is for messages written slowly
FAULTS_MOST = 64  # in a row: more come from something that will not learn
BACKLOG = 1024  # connections that the system keeps for this server
ACCEPTS_MOST = 32  # of them at once
CROSSING_MS = 50.0  # what crosses a close by no more is sent again, by the protocol
OLDEST = 8  # of those that never said anything, among whom one with nothing to be read goes first
ACCEPT_PAUSE_S = 0.05
FULL = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
SO_ATTACH_FILTER = 26
FAILED_BEFORE = (  # what an accept may tell of the connection that it would have brought: the next one may be well
    errno.ECONNABORTED, errno.EPROTO, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.EHOSTUNREACH, errno.ENETDOWN,
    errno.ENETUNREACH, errno.ENONET, errno.EOPNOTSUPP, errno.EPERM, errno.ETIMEDOUT)
WORDS = {State.SATISFIED: b"done", State.DISMISSED: b"later", State.FORFEITED: b"error"}


def bind(address: Address) -> socket.socket:
    """A listening socket on this address and no other."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def refuse_newcomers(listener: socket.socket) -> None:
    """Have the system pass over whoever knocks from here on: what came about between the last accept and the close
    would be reset with its first transaction. Told again a second later, a newcomer meets a closed door, which proves
    that nothing ran. Where the system has no such filter that instant stays open."""
    drop_all = array("B", struct.pack("HBBI", 0x06, 0, 0, 0))  # one instruction: return 0 bytes of each packet
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("@HP", 1, drop_all.buffer_info()[0]))


class Connection:
    """One balancer's connection, or that of somebody who is none."""

    def __init__(self, front: Balancers, sock: socket.socket) -> None:
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
        self._front.silent.pop(self, None)

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
            slow = self in self._front.slow_writers
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
            self._front.slow_writers.discard(self)
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
                await anyio.sleep(ACCEPT_PAUSE_S)
        if self.parted is None:
            self.parted = self._host.clock()
            self._front.note_parting(self)
        await self.stream.linger()

    def close(self) -> None:
        """No new transaction is to come here; the balancer closes when all is answered."""
        if not self.closing:
            self.closing = True
            self.stream.write(resp.message(b"0", b"closing"))


class Balancers:
    """The listener and its connections."""

    def __init__(self, host: Host, listener: socket.socket) -> None:
        self.host, self._listener = host, listener
        self._connections: set[Connection] = set()
        self.silent: dict[Connection, None] = {}  # those of them that have proven nothing yet, the oldest first
        self._parting: dict[Connection, None] = {}  # those that linger, the first to do so first
        self.slow_writers: set[Connection] = set()  # those whose message may take as long as any caller waits
        self._bad = 0
        self._endings: Counter[Ending] = Counter()

    def tell_bad(self, what: str) -> None:
        """Malformed transactions: the first, and then every power of two of them, makes a line."""
        self._bad += 1
        if not self._bad & (self._bad - 1):
            self.host.log.warning("transaction not understood", fault=what, so_far=self._bad)

    def tell_ended(self, ended: Ended) -> None:
        """Endings other than a plain close: of each kind the first, and then every power of two, makes a line."""
        if ended.ending is not Ending.CLOSED:
            self._endings[ended.ending] += 1
            if not (count := self._endings[ended.ending]) & (count - 1):
                self.host.log.info("balancer connection ended", ending=ended.ending.name, detail=ended.detail,
                                   so_far=count)

    async def serve(self) -> None:
        """Accept until the door is shut."""
        while True:
            try:
                await anyio.wait_readable(self._listener)
            except (anyio.ClosedResourceError, OSError, ValueError):
                return
            if self._accept():
                await anyio.sleep(ACCEPT_PAUSE_S)

    def _accept(self, most: int = ACCEPTS_MOST) -> bool:
        """Take some of the connections that wait; whether none can be taken for the moment. Not all, so that those that
        were taken are read before others crowd them out."""
        shares = self.host.generation.shares
        for _ in range(most):
            if len(self._connections) >= shares.balancers + shares.lingering and not self._cut_lingering():
                return True
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError):
                return False
            except OSError as error:
                if error.errno in FAILED_BEFORE:
                    continue
                if error.errno in FULL:
                    return not (self._cut_lingering() or self._make_room())
                self.tell_ended(Ended(Ending.REFUSED, error.strerror or ""))
                return True
            full = len(self._connections) - len(self._parting) >= shares.balancers
            roomy = not full or self._make_room()
            connection = Connection(self, sock)
            self._connections.add(connection)
            self.silent[connection] = None
            self.host.tasks.start_soon(self.host.guard, self._serve, connection)
            if not roomy:  # whoever it is may go elsewhere at once: nothing was read
                connection.cut_off(Ending.SHED)
                self.note_parting(connection)
        return False

    def admit_slow_writer(self, connection: Connection) -> bool:
        """Whether its message, which is not whole after SLOW_MESSAGE_MS, may take as long as any caller waits. Its
        sender may be slow and mean well. Only a part of the places and buffers is given to such messages, so that
        those who never end theirs take nobody else's."""
        most = min(self.host.generation.shares.balancers, self.host.buffers.most) // SLOW_WRITERS_PART
        if connection in self.slow_writers or len(self.slow_writers) >= max(1, most):
            return False
        self.slow_writers.add(connection)
        return True

    def _make_room(self) -> bool:
        """Begin to end one connection on which nothing is owed: the one that has said nothing for the longest time if
        there are any that never said anything, else the one unused for the longest. Those who connect and say nothing
        cannot fill the table; a caller that holds its connection for long opens another."""
        chosen = next((each for each in list(islice(self.silent, OLDEST)) if each.part(Ending.SHED)), None)
        if chosen is None:
            idle = sorted((each for each in self._connections if each.proven and each.idle), key=lambda each: each.used)
            chosen = next((each for each in idle if each.part(Ending.SHED)), None)
        if chosen is not None:
            self.note_parting(chosen)
        return chosen is not None

    def _cut_lingering(self) -> bool:
        """Free a descriptor at once: of those that linger, the first that has done so for as long as what crosses a
        close may take, or that never said anything, so that nothing of it can be lost."""
        now = self.host.clock()
        for connection in self._parting:
            if not connection.proven or now - (connection.parted or now) >= CROSSING_MS:
                self._forget(connection)
                connection.stream.end_with(Ending.SHED)
                return True
        return False

    def note_parting(self, connection: Connection) -> None:
        """It lingers, and its place is free for another."""
        self.silent.pop(connection, None)
        self._parting[connection] = None

    def _forget(self, connection: Connection) -> None:
        self._connections.discard(connection)
        self.slow_writers.discard(connection)
        self._parting.pop(connection, None)
        self.silent.pop(connection, None)

    async def _serve(self, connection: Connection) -> None:
        try:
            await connection.serve()
        finally:
            self._forget(connection)

    def trim(self, idle_ms: float) -> None:
        """Have connections closed that were unused for so long; one that is told and stays is ended."""
        now = self.host.clock()
        for connection in list(self._connections):
            if connection.idle and connection.parted is None and now - connection.used > idle_ms:
                if not connection.closing:
                    connection.close()
                elif now - connection.used > idle_ms + self.host.generation.stall_ms and connection.part(Ending.IDLE):
                    self.note_parting(connection)

    def shut_door(self) -> None:
        """Take what already stands at the door, and shut it."""
        if self._listener.fileno() < 0:
            return
        refuse_newcomers(self._listener)
        self._accept(BACKLOG)
        anyio.notify_closing(self._listener)
        self._listener.close()

    async def leave(self, left_ms: float) -> None:
        """See every connection off within this time. Balancers close when they are told; what rests until the server
        ends it is ended once nothing that they sent before they heard can still come."""
        self.shut_door()
        for connection in list(self._connections):
            connection.close()
        begun = self.host.clock()
        while self._connections:
            await anyio.sleep(ACCEPT_PAUSE_S)
            for connection in list(self._connections):
                if self.host.clock() >= begun + left_ms - CROSSING_MS:
                    connection.cut_off(Ending.LEFT)
                elif connection.parted is None and self.host.clock() >= begun + 2 * CROSSING_MS:
                    connection.part(Ending.LEFT)
