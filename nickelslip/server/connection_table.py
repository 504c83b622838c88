"""The table of connections from load balancers: enforces the connection limit and chooses connections to shed.

Lingering connections have a separate limit, so they do not keep new connections out.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice
from typing import TYPE_CHECKING

from nickelslip.server.close_reasons import CloseReason
from nickelslip.server.load_balancer_connection import CLOSE_CROSSING_MS, LoadBalancerConnection
from nickelslip.server.processing_limit import ProcessingLimit

if TYPE_CHECKING:  # avoids imports at startup
    from nickelslip.server.interfaces import ServerContext

SLOW_WRITER_DIVISOR = 4  # slow writers may hold at most a quarter of the connections, and of the buffers
MAX_SILENT_CANDIDATES = 8  # number of the oldest silent connections that are examined for shedding


class ConnectionTable:
    """All connections of one listener.

    Args:
        context: The server, which provides the clock, the buffers and the descriptor limits.

    Attributes:
        connections: All connections, including lingering ones.
        lingering: Connections in a lingering close, in the order in which the closes began.
        slow_writers: Connections whose current message may take as long as the longest client timeout.
        processing_limit: Limits the processor time for messages of connections on which no request was completed.
    """

    def __init__(self, context: ServerContext) -> None:
        self._context = context
        self.connections: set[LoadBalancerConnection] = set()
        self._silent: dict[LoadBalancerConnection, None] = {}  # no valid message so far; oldest first
        self.lingering: dict[LoadBalancerConnection, None] = {}
        self.slow_writers: set[LoadBalancerConnection] = set()
        self.processing_limit = ProcessingLimit()
        self._incomplete: dict[LoadBalancerConnection, None] = {}  # in the order in which their messages began

    def add(self, connection: LoadBalancerConnection) -> None:
        """Add a newly accepted connection."""
        self.connections.add(connection)
        self._silent[connection] = None

    def remove(self, connection: LoadBalancerConnection) -> None:
        """Remove a connection if it is still in the table."""
        self.connections.discard(connection)
        self.note_complete_message(connection)
        self.lingering.pop(connection, None)
        self._silent.pop(connection, None)

    def note_valid_message(self, connection: LoadBalancerConnection) -> None:
        """Record that a valid message was received, so the connection is no longer preferred for shedding."""
        self._silent.pop(connection, None)

    def mark_lingering(self, connection: LoadBalancerConnection) -> None:
        """Record that a lingering close has begun, so the connection no longer counts towards the limit."""
        self._silent.pop(connection, None)
        self._incomplete.pop(connection, None)
        self.lingering[connection] = None

    @property
    def has_free_descriptor(self) -> bool:
        """Whether one more connection may be accepted, even if only to be closed."""
        generation = self._context.generation
        max_count = generation.max_load_balancer_connections + generation.descriptor_shares.lingering
        return len(self.connections) < max_count

    @property
    def is_below_limit(self) -> bool:
        """Whether one more connection can be served; lingering connections do not count."""
        served_count = len(self.connections) - len(self.lingering)
        return served_count < self._context.generation.max_load_balancer_connections

    def make_room(self) -> bool:
        """Begin to close one connection so that another can be served; return whether there was one.

        Clients that connect and send nothing, or never finish a message, cannot fill the table.
        """
        without_requests = (connection for connection in self._incomplete if not connection.requests)
        return self._shed_silent() or self._shed_incomplete(without_requests) or self.shed_idle_connection()

    def _shed_silent(self) -> bool:
        return self._close_first_idle(list(islice(self._silent, MAX_SILENT_CANDIDATES)))

    def shed_idle_connection(self) -> bool:
        """Begin to close one idle connection; return whether there was one.

        The oldest silent connection is chosen first, otherwise the least recently used one. Clients that connect and
        send nothing therefore cannot fill the table. A load balancer that loses an old connection opens another.
        """
        return self._shed_silent() or self._close_first_idle(self._idle_by_last_use())

    def _idle_by_last_use(self) -> list[LoadBalancerConnection]:
        idle = [
            connection for connection in self.connections if connection.has_sent_valid_message and connection.is_idle
        ]
        return sorted(idle, key=lambda connection: connection.last_used_at_ms)

    def _close_first_idle(self, candidates: Iterable[LoadBalancerConnection]) -> bool:
        """Begin to close the first candidate that is idle with no unread input; return whether there was one."""
        for connection in candidates:
            if connection.close_if_idle(CloseReason.SHED):
                self.mark_lingering(connection)
                return True
        return False

    def free_memory(self, requester: LoadBalancerConnection) -> bool:
        """Take memory from another connection, which is closed; return whether there was one.

        Only a connection on which a request was completed may take memory, and only from one on which none was: from
        the one whose incomplete message began first, otherwise from the one with most unsent answers.
        """
        if not requester.has_completed_request:
            return False
        if self._shed_incomplete(self._incomplete):
            return True
        with_backlog = [
            connection
            for connection in self.connections
            if not connection.has_completed_request and not connection.stream.all_sent
        ]
        if not with_backlog:
            return False
        max(with_backlog, key=lambda connection: connection.stream.backlog_bytes).stream.abort(CloseReason.SHED)
        return True

    def _shed_incomplete(self, candidates: Iterable[LoadBalancerConnection]) -> bool:
        """Discard the first incomplete message that may be discarded, and close its connection."""
        for connection in candidates:
            if connection.shed_incomplete_message():
                self._incomplete.pop(connection, None)
                if connection.close_began_at_ms is not None:
                    self.mark_lingering(connection)
                return True
        return False

    def abort_lingering(self) -> bool:
        """Free a descriptor immediately by aborting a lingering connection; return whether there was one.

        Only a connection that has lingered for CLOSE_CROSSING_MS, or that never sent a valid message, is aborted, so
        no message can be lost. The first such connection is chosen.
        """
        now_ms = self._context.clock()
        for connection in self.lingering:
            lingered_ms = now_ms - (connection.close_began_at_ms or now_ms)
            if not connection.has_sent_valid_message or lingered_ms >= CLOSE_CROSSING_MS:
                self.remove(connection)
                connection.stream.abort(CloseReason.SHED)
                return True
        return False

    def is_slow_writer(self, connection: LoadBalancerConnection) -> bool:
        """Whether the connection's current message may take as long as the longest client timeout."""
        return connection in self.slow_writers

    def admit_slow_writer(self, connection: LoadBalancerConnection) -> bool:
        """Decide whether a message that missed its time limit may take as long as the longest client timeout.

        The sender may be slow without being malicious. Such messages may hold only a fraction of the connections and
        buffers, so that senders that never finish a message cannot exhaust them.
        """
        max_connections = self._context.generation.max_load_balancer_connections
        max_slow_writers = min(max_connections, self._context.buffers.max_count) // SLOW_WRITER_DIVISOR
        if connection in self.slow_writers or len(self.slow_writers) >= max(1, max_slow_writers):
            return False
        self.slow_writers.add(connection)
        return True

    def note_incomplete_message(self, connection: LoadBalancerConnection) -> None:
        """Record that the connection's current message has not been received completely."""
        self._incomplete[connection] = None

    def note_complete_message(self, connection: LoadBalancerConnection) -> None:
        """Record that the current message is complete; the ordinary time limit applies to the next one."""
        self.slow_writers.discard(connection)
        self._incomplete.pop(connection, None)

    def close_idle(self, idle_timeout_ms: float) -> None:
        """Request the close of connections idle for longer than `idle_timeout_ms`; close those that do not comply."""
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
                self.mark_lingering(connection)
