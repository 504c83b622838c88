"""The front for balancers: the listener and the table of connections.

Owns the listening socket, and which connections there are: who is accepted, who makes room, who is seen off. What is
said on one connection is `connection`'s. It must never decide what becomes of a transaction.
"""

from __future__ import annotations

import errno
import socket
import struct
from array import array
from collections import Counter
from contextlib import suppress
from itertools import islice
from typing import TYPE_CHECKING

import anyio

from nickelslip.configuration.config import Address
from nickelslip.server.connection import Connection
from nickelslip.server.endings import Ended, Ending

if TYPE_CHECKING:  # types only: a start is spared what it does not need
    from nickelslip.server.surroundings import Host

SLOW_WRITERS_PART = 4  # of the places, and of the buffers, one in so many at most is for messages written slowly
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

    def note_proven(self, connection: Connection) -> None:
        """Something that could be understood came on it: it no longer goes first where places run short."""
        self.silent.pop(connection, None)

    def is_slow_writer(self, connection: Connection) -> bool:
        """Whether its message may take as long as any caller waits."""
        return connection in self.slow_writers

    def note_whole_message(self, connection: Connection) -> None:
        """Its message is whole; the next one is not written slowly until it proves to be."""
        self.slow_writers.discard(connection)

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
