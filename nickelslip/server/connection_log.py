"""Sampled log lines about connections from load balancers, so that clients cannot flood the log.

Of each kind of line, only the 1st, 2nd, 4th, 8th and so on is written.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from nickelslip.server.close_reasons import CloseReason, ConnectionClosedError
from nickelslip.server.log_sampling import is_power_of_two

if TYPE_CHECKING:  # avoids imports at startup
    from nickelslip.server.interfaces import ServerContext


class ConnectionLog:
    """Counts and logs malformed requests and closed connections.

    Args:
        context: The server, which provides the log.
    """

    def __init__(self, context: ServerContext) -> None:
        self._context = context
        self._malformed_count = 0
        self._close_counts: Counter[CloseReason] = Counter()

    def report_malformed_request(self, error: str) -> None:
        """Log a request that could not be decoded."""
        self._malformed_count += 1
        if is_power_of_two(self._malformed_count):
            self._context.log.warning("malformed_request", error=error, count=self._malformed_count)

    def report_close(self, closed: ConnectionClosedError) -> None:
        """Log why a connection was closed, unless the peer closed it normally; each reason has its own count."""
        if closed.reason is CloseReason.CLOSED:
            return
        self._close_counts[closed.reason] += 1
        count = self._close_counts[closed.reason]
        if is_power_of_two(count):
            self._context.log.info(
                "load_balancer_connection_closed", reason=closed.reason.name, detail=closed.detail, count=count
            )
