"""Calls to the records service, sent on a pool of connections.

This module never retries a call. Admission control decides on the time limit of a call and on the effects of its end.
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

if TYPE_CHECKING:  # avoids imports at startup
    from nickelslip.server.interfaces import ServerContext

MAX_IDLE_CONNECTIONS = 16


class RecordsClient:
    """Sends calls to the records service.

    Args:
        context: The server's clock, log, buffers, tasks and configuration.
    """

    def __init__(self, context: ServerContext) -> None:
        self.context = context
        self._connection_by_request: dict[Request, PooledConnection] = {}
        self._idle_connections: list[PooledConnection] = []  # the most recently used one last
        self._open_connections: set[PooledConnection] = set()  # all connections that may hold a descriptor
        self._is_unreachable = False
        self._closed_call_count = 0

    def call(self, request: Request, timeout_ms: float) -> None:
        """Send the call for which this request's run is waiting.

        A request's second call is sent on a different connection than its first, since a duplicate of the first reply
        would carry the same id. A call is not made if its body could not be decoded, or if the descriptors for calls
        are used up; those of clients and of the worker pool link are not used for calls.
        """
        if request.call.body is None:
            request.deliver(CallReturned(UNREADABLE_CALL_OUTCOME))
            return
        connection = self._take_idle_connection(request)
        if connection is not None:
            self._connection_by_request[request] = connection
            connection.send_call(request, timeout_ms)
        elif self._ensure_free_descriptor():
            connection = self._open_connection(request, timeout_ms)
        else:
            request.deliver(CallReturned(NO_DESCRIPTOR_OUTCOME))
            return
        request.call_transports.append(connection)

    def abandon_call(self, request: Request) -> None:
        """Abandon this request's call, if it has one."""
        connection = self._connection_by_request.pop(request, None)
        if connection is not None:
            connection.abandon_call()

    def change_endpoint(self) -> None:
        """Send new calls to the configured address; calls in flight remain on connections to the old address."""
        self._close_idle_connections(0)

    def _open_connection(self, request: Request, timeout_ms: float) -> PooledConnection:
        connection = PooledConnection(self, request, timeout_ms)
        self._connection_by_request[request] = connection
        self._open_connections.add(connection)
        self.context.task_group.start_soon(self.context.supervise, connection.serve)
        return connection

    def _ensure_free_descriptor(self) -> bool:
        """Return whether one more connection may be opened, after closing an idle one if necessary."""
        if len(self._open_connections) < self.context.generation.descriptor_shares.calls:
            return True
        if not self._idle_connections:
            return False
        self._close_oldest_idle()
        return True

    def _take_idle_connection(self, request: Request) -> PooledConnection | None:
        """Return the most recently used idle connection that has not carried a call of this request.

        Connections that turn out not to be reusable are closed.
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

    def call_ended(self, request: Request) -> None:
        """Remove the association of a request with its connection, after its call has ended."""
        self._connection_by_request.pop(request, None)

    def connection_idle(self, connection: PooledConnection) -> None:
        """Keep a connection whose call was answered, for reuse by another call."""
        self._idle_connections.append(connection)
        self._close_idle_connections(MAX_IDLE_CONNECTIONS)

    def connection_closed(self, connection: PooledConnection) -> None:
        """Remove a connection that has ended from the pool."""
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)
        self._open_connections.discard(connection)

    def connect_finished(self, error: str | None) -> None:
        """Log if the service became reachable or unreachable; `error` is None after a successful attempt."""
        is_unreachable = error is not None
        if is_unreachable is not self._is_unreachable:
            self._is_unreachable = is_unreachable
            self.context.log.warning("dependency_reachability", is_reachable=not is_unreachable, detail=error)

    def call_connection_closed(self, closed: ConnectionClosedError) -> None:
        """Count a call that ended because its connection closed, and log it if the count is a power of two."""
        self._closed_call_count += 1
        if is_power_of_two(self._closed_call_count):
            self.context.log.warning(
                "dependency_call_connection_closed",
                reason=closed.reason.name,
                detail=closed.detail,
                count=self._closed_call_count,
            )
