"""The table of load balancers' connections: how many there may be, and which one makes room for another.

Connections that linger after a close have places of their own, so that they do not keep new ones out.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice
from typing import TYPE_CHECKING

from nickelslip.server.close_reasons import CloseReason
from nickelslip.server.load_balancer_connection import CLOSE_CROSSING_MS, LoadBalancerConnection

if TYPE_CHECKING:  # keeps imports at startup few
    from nickelslip.server.interfaces import ServerContext

SLOW_WRITER_DIVISOR = 4  # one in so many places, and buffers, may be taken by messages that arrive slowly
MAX_SILENT_CANDIDATES = 8  # silent connections looked at, the oldest first, for one that can be closed


class ConnectionTable:
    """All connections of one listener.

    Args:
        context: The server, for the clock, the buffers and the number of descriptors.

    Attributes:
        connections: All of them, those that linger included.
        lingering: Those in a lingering close, the first to begin it first.
        slow_writers: Those whose message may take as long as any client waits.
    """

    def __init__(self, context: ServerContext) -> None:
        self._context = context
        self.connections: set[LoadBalancerConnection] = set()
        self._silent: dict[LoadBalancerConnection, None] = {}  # without a valid message so far, the oldest first
        self.lingering: dict[LoadBalancerConnection, None] = {}
        self.slow_writers: set[LoadBalancerConnection] = set()

    def add(self, connection: LoadBalancerConnection) -> None:
        """Add a connection that was just accepted."""
        self.connections.add(connection)
        self._silent[connection] = None

    def remove(self, connection: LoadBalancerConnection) -> None:
        """Remove a connection, if it is still there."""
        self.connections.discard(connection)
        self.slow_writers.discard(connection)
        self.lingering.pop(connection, None)
        self._silent.pop(connection, None)

    def note_valid_message(self, connection: LoadBalancerConnection) -> None:
        """A valid message came on it: it is no longer among the first to make room."""
        self._silent.pop(connection, None)

    def note_lingering(self, connection: LoadBalancerConnection) -> None:
        """A lingering close has begun: its place is free for another."""
        self._silent.pop(connection, None)
        self.lingering[connection] = None

    # Room

    @property
    def has_free_descriptor(self) -> bool:
        """Whether one more connection may be accepted at all, if only to be closed."""
        shares = self._context.generation.descriptor_shares
        return len(self.connections) < shares.load_balancers + shares.lingering

    @property
    def has_free_place(self) -> bool:
        """Whether one more connection can be served; those that linger do not count."""
        served_count = len(self.connections) - len(self.lingering)
        return served_count < self._context.generation.descriptor_shares.load_balancers

    def make_room(self) -> bool:
        """Begin to close one idle connection; return whether there was one.

        The oldest silent one goes first, else the one unused for the longest. So clients that connect and send nothing
        cannot fill the table, and a load balancer that loses an old connection opens another.
        """
        closed = self._close_first(list(islice(self._silent, MAX_SILENT_CANDIDATES)))
        if closed is None:
            closed = self._close_first(self._idle_by_last_use())
        if closed is None:
            return False
        self.note_lingering(closed)
        return True

    def _idle_by_last_use(self) -> list[LoadBalancerConnection]:
        idle = [
            connection for connection in self.connections if connection.has_sent_complete_message and connection.is_idle
        ]
        return sorted(idle, key=lambda connection: connection.last_used_at_ms)

    @staticmethod
    def _close_first(candidates: Iterable[LoadBalancerConnection]) -> LoadBalancerConnection | None:
        """Begin to close the first candidate that is idle with nothing unread, and return it."""
        for connection in candidates:
            if connection.close_if_idle(CloseReason.SHED):
                return connection
        return None

    def abort_lingering(self) -> bool:
        """Free a descriptor at once by aborting a lingering connection; return whether there was one.

        The first goes that has lingered for as long as messages may cross a close, or on which there never was a valid
        message, so that nothing can be lost.
        """
        now_ms = self._context.clock()
        for connection in self.lingering:
            lingered_ms = now_ms - (connection.close_began_at_ms or now_ms)
            if not connection.has_sent_complete_message or lingered_ms >= CLOSE_CROSSING_MS:
                self.remove(connection)
                connection.stream.abort(CloseReason.SHED)
                return True
        return False

    # Slow messages

    def is_slow_writer(self, connection: LoadBalancerConnection) -> bool:
        """Whether its message may take as long as any client waits."""
        return connection in self.slow_writers

    def admit_slow_writer(self, connection: LoadBalancerConnection) -> bool:
        """Return whether a message that is not complete within its time limit may take as long as any client waits.

        Its sender may be slow without ill intent. Only a part of the places and buffers is given to such messages, so
        that senders who never finish theirs leave the rest to others.
        """
        place_count = self._context.generation.descriptor_shares.load_balancers
        max_slow_writers = min(place_count, self._context.buffers.max_count) // SLOW_WRITER_DIVISOR
        if connection in self.slow_writers or len(self.slow_writers) >= max(1, max_slow_writers):
            return False
        self.slow_writers.add(connection)
        return True

    def remove_slow_writer(self, connection: LoadBalancerConnection) -> None:
        """Its message is complete; the next one has the ordinary time limit again."""
        self.slow_writers.discard(connection)

    # Idle connections

    def close_idle(self, idle_timeout_ms: float) -> None:
        """Ask for the close of connections unused for so long; close those that were asked and stay open."""
        now_ms = self._context.clock()
        for connection in list(self.connections):
            unused_ms = now_ms - connection.last_used_at_ms
            is_closing = connection.close_began_at_ms is not None
            if not connection.is_idle or is_closing or unused_ms <= idle_timeout_ms:
                continue
            if not connection.is_close_requested:
                connection.request_close()
                continue
            close_timeout_ms = idle_timeout_ms + self._context.generation.longest_timeout_ms
            if unused_ms > close_timeout_ms and connection.close_if_idle(CloseReason.IDLE):
                self.note_lingering(connection)
