"""The front for balancers: the listener and the table of connections.

Owns the listening socket, and which connections there are: which are accepted, which one makes room for another, and
how all of them end when the server leaves. What is said on one connection is `connection`'s. It must never decide what
becomes of a transaction.
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
from nickelslip.server.close_reasons import CloseReason, ConnectionClosedError
from nickelslip.server.load_balancer_connection import LoadBalancerConnection

if TYPE_CHECKING:  # types only: a start is spared what it does not need
    from nickelslip.server.interfaces import RequestHandler

LISTEN_BACKLOG = 1024  # connections that the system keeps until they are accepted
ACCEPTS_MOST = 32  # connections accepted at once
ACCEPT_PAUSE_S = 0.05  # before the next accept where no connection can be taken for the moment
LEAVE_POLL_S = 0.05  # between two looks at the connections while the server leaves
CROSSING_MS = 50.0  # what crosses a close by no more is sent again, by the protocol
SLOW_WRITERS_ONE_IN = 4  # at most one in so many of the places, and of the buffers, is for messages written slowly
SILENT_CANDIDATES = 8  # the oldest silent connections, among which one with nothing to be read makes room
OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
NEWCOMER_FAILED = (  # errors that an accept passes on from the one connection it would have returned
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENOPROTOOPT,
    errno.EHOSTDOWN,
    errno.EHOSTUNREACH,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENONET,
    errno.EOPNOTSUPP,
    errno.EPERM,
    errno.ETIMEDOUT,
)
SO_ATTACH_FILTER = 26  # of Linux; the socket module has no name for it
BPF_RETURN = 0x06  # the instruction of a packet filter that ends it with the number of bytes to keep


def bind(address: Address) -> socket.socket:
    """A listening socket on this address and no other."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(LISTEN_BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def refuse_newcomers(listener: socket.socket) -> None:
    """Have the system drop the packets of new connections from here on.

    A connection established between the last accept and the close would be reset together with its first transaction.
    With its packets dropped, the client's system tries again a second later and is refused, which proves that nothing
    ran. Where the system has no such filter, that short interval stays.
    """
    keep_no_bytes = struct.pack("HBBI", BPF_RETURN, 0, 0, 0)
    instructions = array("B", keep_no_bytes)
    address, _ = instructions.buffer_info()
    instruction_count = 1
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("@HP", instruction_count, address))


class LoadBalancerListener:
    """The listener and its connections."""

    def __init__(self, host: RequestHandler, listener: socket.socket) -> None:
        self.host = host
        self._listener = listener
        self._connections: set[LoadBalancerConnection] = set()
        self._silent: dict[LoadBalancerConnection, None] = {}  # those without a valid request so far, the oldest first
        self._parting: dict[LoadBalancerConnection, None] = {}  # those that linger, the first to do so first
        self.slow_writers: set[LoadBalancerConnection] = (
            set()
        )  # those whose message may take as long as any caller waits
        self._malformed_count = 0
        self._ending_counts: Counter[CloseReason] = Counter()

    # Accepting

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
        """Accept some of the connections that wait; returns whether to pause, as none can be taken for the moment. Not
        all are accepted, so that those that were are read before others crowd them out."""
        shares = self.host.generation.descriptor_shares
        for _ in range(most):
            if len(self._connections) >= shares.load_balancers + shares.lingering and not self._cut_lingering():
                return True
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError):
                return False
            except OSError as error:
                if error.errno in NEWCOMER_FAILED:
                    continue
                return not self._recover(error)
            self._admit(sock)
        return False

    def _recover(self, error: OSError) -> bool:
        """Whether an accept that failed with this error may be tried again at once."""
        if error.errno in OUT_OF_RESOURCES:
            return self._cut_lingering() or self._make_room()
        self.report_close(ConnectionClosedError(CloseReason.REFUSED, error.strerror or ""))
        return False

    def _admit(self, sock: socket.socket) -> None:
        """Serve a connection that was accepted. Where no place is left for it, it is ended at once with nothing read,
        so that its client may go to another server."""
        has_place = self._has_free_place() or self._make_room()
        connection = LoadBalancerConnection(self, sock)
        self._connections.add(connection)
        self._silent[connection] = None
        self.host.task_group.start_soon(self.host.supervise, self._serve, connection)
        if not has_place:
            connection.cut_off(CloseReason.SHED)
            self.note_closing(connection)

    async def _serve(self, connection: LoadBalancerConnection) -> None:
        try:
            await connection.serve()
        finally:
            self._forget(connection)

    def _forget(self, connection: LoadBalancerConnection) -> None:
        self._connections.discard(connection)
        self.slow_writers.discard(connection)
        self._parting.pop(connection, None)
        self._silent.pop(connection, None)

    # Room for others

    def _has_free_place(self) -> bool:
        """Whether one more connection fits; those that linger have places of their own."""
        return len(self._connections) - len(self._parting) < self.host.generation.descriptor_shares.load_balancers

    def _make_room(self) -> bool:
        """Begin to end one connection on which nothing is owed; returns whether there was one.

        The longest silent one goes first, else the one unused for the longest. So clients that connect and say nothing
        cannot fill the table, and a caller that loses a connection held for long opens another.
        """
        chosen = self._part_first(list(islice(self._silent, SILENT_CANDIDATES)))
        if chosen is None:
            idle = [each for each in self._connections if each.has_sent_complete_message and each.idle]
            chosen = self._part_first(sorted(idle, key=lambda each: each.used))
        if chosen is None:
            return False
        self.note_closing(chosen)
        return True

    @staticmethod
    def _part_first(candidates: list[LoadBalancerConnection]) -> LoadBalancerConnection | None:
        """The first of them on which nothing is owed, which has begun to end; None where there is none."""
        return next((each for each in candidates if each.part(CloseReason.SHED)), None)

    def _cut_lingering(self) -> bool:
        """Free a descriptor at once; returns whether one was freed.

        Of the connections that linger, the first goes that has done so for as long as anything may cross a close, or
        on which there never was a valid request, so that nothing can be lost.
        """
        now = self.host.clock()
        for connection in self._parting:
            if not connection.has_sent_complete_message or now - (connection.parted or now) >= CROSSING_MS:
                self._forget(connection)
                connection.stream.end_with(CloseReason.SHED)
                return True
        return False

    # What a connection tells

    def note_first_complete_message(self, connection: LoadBalancerConnection) -> None:
        """A valid request came on it: it is no longer among the first to make room."""
        self._silent.pop(connection, None)

    def note_closing(self, connection: LoadBalancerConnection) -> None:
        """It lingers, and its place is free for another."""
        self._silent.pop(connection, None)
        self._parting[connection] = None

    def is_slow_writer(self, connection: LoadBalancerConnection) -> bool:
        """Whether its message may take as long as any caller waits."""
        return connection in self.slow_writers

    def admit_slow_writer(self, connection: LoadBalancerConnection) -> bool:
        """Whether its message, which is not whole after SLOW_MESSAGE_MS, may take as long as any caller waits.

        Its sender may be slow without ill intent. Only a part of the places and buffers is given to such messages, so
        that senders who never finish theirs leave the rest to others.
        """
        most = min(self.host.generation.descriptor_shares.load_balancers, self.host.buffers.most) // SLOW_WRITERS_ONE_IN
        if connection in self.slow_writers or len(self.slow_writers) >= max(1, most):
            return False
        self.slow_writers.add(connection)
        return True

    def note_complete_message(self, connection: LoadBalancerConnection) -> None:
        """Its message is whole; the next one has the ordinary limit again."""
        self.slow_writers.discard(connection)

    def report_malformed(self, fault: str) -> None:
        """Log the first malformed transaction, and from then on each one whose count is a power of two."""
        self._malformed_count += 1
        if _is_power_of_two(self._malformed_count):
            self.host.log.warning("malformed_request", error=fault, count=self._malformed_count)

    def report_close(self, ended: ConnectionClosedError) -> None:
        """Log an ending other than a plain close: of each kind the first, and each whose count is a power of two."""
        if ended.reason is CloseReason.CLOSED:
            return
        self._ending_counts[ended.reason] += 1
        count = self._ending_counts[ended.reason]
        if _is_power_of_two(count):
            self.host.log.info(
                "load_balancer_connection_closed", reason=ended.reason.name, detail=ended.detail, count=count
            )

    # Ending connections

    def close_idle(self, idle_ms: float) -> None:
        """Tell balancers to close connections unused for so long; one that was told and stays open is ended."""
        now = self.host.clock()
        for connection in list(self._connections):
            unused_ms = now - connection.used
            if not connection.idle or connection.parted is not None or unused_ms <= idle_ms:
                continue
            if not connection.closing:
                connection.close()
            elif unused_ms > idle_ms + self.host.generation.longest_timeout_ms and connection.part(CloseReason.IDLE):
                self.note_closing(connection)

    def stop_accepting(self) -> None:
        """Accept the connections that already wait, and close the listener."""
        if self._listener.fileno() < 0:
            return
        refuse_newcomers(self._listener)
        self._accept(LISTEN_BACKLOG)
        anyio.notify_closing(self._listener)
        self._listener.close()

    async def shut_down(self, left_ms: float) -> None:
        """End every connection within this time.

        Balancers close theirs once they are told to. One that rests is ended by the server when nothing can arrive any
        more that its balancer sent before it was told.
        """
        self.stop_accepting()
        for connection in list(self._connections):
            connection.close()
        begun = self.host.clock()
        while self._connections:
            await anyio.sleep(LEAVE_POLL_S)
            self._end_resting(begun, left_ms)

    def _end_resting(self, begun: float, left_ms: float) -> None:
        """End the connections on which nothing is owed; near the end of the time also those with something unread."""
        for connection in list(self._connections):
            if self.host.clock() >= begun + left_ms - CROSSING_MS:
                connection.cut_off(CloseReason.SHUTDOWN)
            elif connection.parted is None and self.host.clock() >= begun + 2 * CROSSING_MS:
                connection.part(CloseReason.SHUTDOWN)


def _is_power_of_two(count: int) -> bool:
    return count & (count - 1) == 0
