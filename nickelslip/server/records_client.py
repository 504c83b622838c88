"""Calls to the records service: the pool of connections on which they go out.

A call is never repeated here. How long it may take and what follows from its end is decided by admission control.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from nickelslip.server.close_reasons import (
    NO_DESCRIPTOR_OUTCOME,
    UNREADABLE_CALL_OUTCOME,
    CloseReason,
    ConnectionClosedError,
)
from nickelslip.server.log_sampling import is_power_of_two
from nickelslip.server.records_connection import PooledConnection
from nickelslip.server.request_events import CallReturned
from nickelslip.server.requests import Request

if TYPE_CHECKING:  # these names are needed for types alone, and not at every start of the program
    from nickelslip.server.interfaces import ServerContext

MAX_IDLE_CONNECTIONS = 16


class RecordsClient:
    """The records service, as this server reaches it.

    Args:
        context: The server's clock, log, buffers, tasks and configuration.
    """

    def __init__(self, context: ServerContext) -> None:
        self.context = context
        self._connection_by_request: dict[Request, PooledConnection] = {}
        self._idle_connections: list[PooledConnection] = []  # the one used last at the end
        self._open_connections: set[PooledConnection] = set()  # all that may hold a descriptor
        self._is_unreachable = False
        self._broken_call_count = 0

    # Calls

    def call(self, request: Request, wait_ms: float) -> None:
        """Send the call at which this request's run stands.

        A request's second call goes on another connection than its first, since a second copy of the first reply would
        carry the same id. A call whose body cannot be read is not made. Nor is one for which no descriptor is left:
        those of the clients and of the worker pool's link are not taken for calls.
        """
        if request.call.body is None:
            request.deliver(CallReturned(UNREADABLE_CALL_OUTCOME))
            return
        connection = self._take_idle_connection(request)
        if connection is not None:
            self._connection_by_request[request] = connection
            connection.send_call(request, wait_ms)
        elif self._make_room():
            connection = self._open_connection(request, wait_ms)
        else:
            request.deliver(CallReturned(NO_DESCRIPTOR_OUTCOME))
            return
        request.call_transports.append(connection)

    def give_up(self, request: Request) -> None:
        """Wait for this request's call no longer."""
        connection = self._connection_by_request.pop(request, None)
        if connection is not None:
            connection.give_up()

    # The pool

    def change_endpoint(self) -> None:
        """Send new calls to the configured address; those in flight are waited for at the old one."""
        self._close_idle_connections(0)

    def _open_connection(self, request: Request, wait_ms: float) -> PooledConnection:
        connection = PooledConnection(self, request, wait_ms)
        self._connection_by_request[request] = connection
        self._open_connections.add(connection)
        self.context.task_group.start_soon(self.context.supervise, connection.serve)
        return connection

    def _make_room(self) -> bool:
        """Return whether one more connection may be opened; an idle one is closed for it where need be."""
        if len(self._open_connections) < self.context.generation.descriptor_shares.calls:
            return True
        if not self._idle_connections:
            return False
        self._close_oldest_idle()
        return True

    def _take_idle_connection(self, request: Request) -> PooledConnection | None:
        """Return the idle connection used last that has not carried a call of this request yet.

        Those that turn out not to be reusable are closed.
        """
        for connection in reversed(self._idle_connections.copy()):
            if connection in request.call_transports:
                continue
            self._idle_connections.remove(connection)
            if connection.is_reusable:
                return connection
            connection.close(ConnectionClosedError(CloseReason.IDLE))
        return None

    def _close_idle_connections(self, max_count: int) -> None:
        while len(self._idle_connections) > max_count:
            self._close_oldest_idle()

    def _close_oldest_idle(self) -> None:
        self._idle_connections.pop(0).close(ConnectionClosedError(CloseReason.IDLE))

    # What connections report

    def call_ended(self, request: Request) -> None:
        """Forget the connection of a call that has ended."""
        self._connection_by_request.pop(request, None)

    def connection_idle(self, connection: PooledConnection) -> None:
        """Keep a connection that has brought its reply for another call."""
        self._idle_connections.append(connection)
        self._close_idle_connections(MAX_IDLE_CONNECTIONS)

    def connection_closed(self, connection: PooledConnection) -> None:
        """Forget a connection that has ended."""
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)
        self._open_connections.discard(connection)

    def connect_finished(self, error: str | None) -> None:
        """Log a change of whether the service can be connected to; `error` is None where it could."""
        is_unreachable = error is not None
        if is_unreachable is not self._is_unreachable:
            self._is_unreachable = is_unreachable
            self.context.log.warning("dependency_reachability", is_reachable=not is_unreachable, detail=error)

    def call_connection_closed(self, closed: ConnectionClosedError) -> None:
        """Count a call that ended with its connection; each time the count is a power of two it is logged."""
        self._broken_call_count += 1
        if is_power_of_two(self._broken_call_count):
            self.context.log.warning(
                "dependency_call_connection_closed",
                reason=closed.reason.name,
                detail=closed.detail,
                count=self._broken_call_count,
            )
