"""The listener for load balancers: accepts connections, and closes all of them when the server shuts down."""

from __future__ import annotations

import errno
import socket
import time
from typing import TYPE_CHECKING

import anyio

from nickelslip.server.close_reasons import CloseReason, ConnectionClosedError
from nickelslip.server.connection_log import ConnectionLog
from nickelslip.server.connection_table import ConnectionTable
from nickelslip.server.listening_socket import LISTEN_BACKLOG, drop_new_connections
from nickelslip.server.load_balancer_connection import CLOSE_CROSSING_MS, LoadBalancerConnection

if TYPE_CHECKING:  # avoids imports at startup
    from nickelslip.server.interfaces import RequestHandler

MAX_ACCEPTS = 32  # per wake-up
ACCEPT_PAUSE_S = 0.05  # before the next accept while no connection can be accepted
DISPLACEMENT_INTERVAL_S = 1 / 160  # mean time between accepts while the table is full
MAX_DISPLACEMENT_BURST_S = 0.2  # accepts of this time may follow each other at once
SHUTDOWN_POLL_INTERVAL_S = 0.05
OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
NEW_CONNECTION_ERRORS = (  # raised by accept() for an error of the new connection, not of the listener
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


class LoadBalancerListener:
    """Accepts connections from load balancers and serves each in its own task.

    Args:
        server: Receives decoded requests.
        listener: The listening socket.

    Attributes:
        table: The accepted connections.
    """

    def __init__(self, server: RequestHandler, listener: socket.socket) -> None:
        self._server = server
        self._listener = listener
        self._log = ConnectionLog(server)
        self.table = ConnectionTable(server)
        self._next_displacement_at_s = 0.0

    async def serve(self) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                await anyio.wait_readable(self._listener)
            except (anyio.ClosedResourceError, OSError, ValueError):
                return
            if self._accept():
                await anyio.sleep(ACCEPT_PAUSE_S)

    def _accept(self, max_count: int = MAX_ACCEPTS, is_shutting_down: bool = False) -> bool:
        """Accept waiting connections; return whether to pause because no connection can be accepted at present.

        At most `max_count` are accepted at once, so that they are read before later connections displace them. While
        the table is full, the rate of accepts is limited, since clients whose connections are displaced may reconnect
        at once; further connections wait in the listen queue.
        """
        for _ in range(max_count):
            if not (is_shutting_down or self._may_accept()):
                return True
            if not self.table.has_free_descriptor and not self.table.abort_lingering():
                return True
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError):
                return False
            except OSError as error:
                if error.errno in NEW_CONNECTION_ERRORS:
                    continue
                return not self._recover(error)
            self._admit(sock)
        return False

    def _may_accept(self) -> bool:
        """Whether the table has room, or another connection may be displaced now."""
        if self.table.is_below_limit:
            return True
        now_s = time.monotonic()
        if now_s < self._next_displacement_at_s:
            return False
        self._next_displacement_at_s = max(self._next_displacement_at_s, now_s - MAX_DISPLACEMENT_BURST_S)
        self._next_displacement_at_s += DISPLACEMENT_INTERVAL_S
        return True

    def _recover(self, error: OSError) -> bool:
        """Return whether an accept that failed with this error may be retried immediately."""
        if error.errno in OUT_OF_RESOURCES:
            return self.table.abort_lingering() or self.table.shed_idle_connection()
        self._log.report_close(ConnectionClosedError(CloseReason.REFUSED, error.strerror or ""))
        return False

    def _admit(self, sock: socket.socket) -> None:
        """Serve an accepted connection.

        If the connection limit is reached and no connection can be shed, a lingering close begins immediately
        without reading anything, so that the client can use another server.
        """
        can_serve = self.table.is_below_limit or self.table.make_room()
        connection = LoadBalancerConnection(self._server, self.table, self._log, sock)
        self.table.add(connection)
        self._server.task_group.start_soon(self._server.supervise, self._serve, connection)
        if not can_serve:
            connection.begin_close(CloseReason.SHED)
            self.table.mark_lingering(connection)

    async def _serve(self, connection: LoadBalancerConnection) -> None:
        try:
            await connection.serve()
        finally:
            self.table.remove(connection)

    def close_idle(self, idle_ms: float) -> None:
        """Request the close of connections idle for longer than `idle_ms`; close those that do not comply."""
        self.table.close_idle(idle_ms)

    def stop_accepting(self) -> None:
        """Accept the connections that are already queued, and close the listener."""
        if self._listener.fileno() < 0:
            return
        drop_new_connections(self._listener)
        self._accept(LISTEN_BACKLOG, is_shutting_down=True)
        anyio.notify_closing(self._listener)
        self._listener.close()

    async def shut_down(self, remaining_ms: float) -> None:
        """Close every connection within `remaining_ms`.

        Load balancers close their connections on request. An idle connection that stays open is closed once nothing
        can arrive any more that was sent before the load balancer received the request. Shortly before the time is
        up, connections with unread input are closed as well.
        """
        self.stop_accepting()
        for connection in list(self.table.connections):
            connection.request_close()
        began_at_ms = self._server.clock()
        while self.table.connections:
            await anyio.sleep(SHUTDOWN_POLL_INTERVAL_S)
            self._close_connections(began_at_ms + 2 * CLOSE_CROSSING_MS, began_at_ms + remaining_ms - CLOSE_CROSSING_MS)

    def _close_connections(self, close_idle_at_ms: float, close_unread_at_ms: float) -> None:
        """Close idle connections from `close_idle_at_ms` on, and those with unread input from `close_unread_at_ms`."""
        for connection in list(self.table.connections):
            now_ms = self._server.clock()
            if now_ms >= close_unread_at_ms:
                connection.begin_close(CloseReason.SHUTDOWN)
            elif connection.close_began_at_ms is None and now_ms >= close_idle_at_ms:
                connection.close_if_idle(CloseReason.SHUTDOWN)
