"""Sends load reports to the directory: the datagrams that keep this server listed.

The slow start decides when a report is due. A report that cannot be sent is skipped, and the next one is sent when it
is due. This module never waits for the directory.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from math import inf
from typing import TYPE_CHECKING

import anyio

from nickelslip.configuration.config import Address

if TYPE_CHECKING:  # avoids imports at startup
    from nickelslip.server.interfaces import ReportSource

HEALTHY_WORD = "open"
UNHEALTHY_WORD = "closed"


class DirectoryReporter:
    """Sends this server's load reports to the directory.

    Args:
        source: Provides the content of the reports and the times at which they are due.
    """

    def __init__(self, source: ReportSource) -> None:
        self._source = source
        self._is_reachable = True
        self._schedule_changed = anyio.Event()
        self._socket: socket.socket | None = None  # kept open; when a report is due, all descriptors may be in use

    def change_endpoint(self) -> None:
        """Re-evaluate when the next report is due.

        A new address does not trigger a report: all servers receive a new configuration at the same time, and would
        all report at once.
        """
        self._schedule_changed.set()

    def report_health_change(self) -> None:
        """Send a report immediately after a change of health."""
        self._source.slow_start.health_changed(self._source.clock())
        self._schedule_changed.set()

    async def run(self) -> None:
        """Send reports when they are due, from the time the worker pool is available until cancelled."""
        with suppress(OSError):  # open it before clients use up the descriptors; on failure, retry at the first report
            self._socket_for(self._address)
        try:
            await self._report_when_due()
        finally:
            if self._socket is not None:
                self._socket.close()

    async def _report_when_due(self) -> None:
        slow_start = self._source.slow_start
        while True:
            self._schedule_changed = anyio.Event()
            now_ms = self._source.clock()
            if slow_start.next_report_at_ms <= now_ms:
                self._report()
                slow_start.report_sent(now_ms)
                self._source.apply_call_limit()
            wait_ms = slow_start.next_report_at_ms - self._source.clock()
            with anyio.move_on_after(None if wait_ms == inf else max(0.0, wait_ms) / 1000):
                await self._schedule_changed.wait()

    @property
    def _address(self) -> Address:
        return self._source.generation.config.directory

    def _report(self) -> None:
        error_text = None
        try:
            self._socket_for(self._address).sendto(self._encode_report(), self._address)
        except OSError as error:
            error_text = error.strerror
        self._log_reachability(error_text)

    def _encode_report(self) -> bytes:
        health_word = HEALTHY_WORD if self._source.is_healthy else UNHEALTHY_WORD
        return f"PULSE {self._source.generation.config.name} {health_word}".encode()

    def _socket_for(self, address: Address) -> socket.socket:
        """Return the socket that sends reports, replacing it if the address is of another family."""
        family = address_family(address)
        if self._socket is None or self._socket.family != family:
            new_socket = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
            if self._socket is not None:
                self._socket.close()
            self._socket = new_socket
        return self._socket

    def _log_reachability(self, error_text: str | None) -> None:
        """Log if reports became sendable or unsendable; `error_text` is None after a successful send."""
        is_reachable = error_text is None
        if is_reachable is not self._is_reachable:
            self._is_reachable = is_reachable
            self._source.log.info("directory_reachability", is_reachable=is_reachable, detail=error_text)


def address_family(address: Address) -> socket.AddressFamily:
    """Return the address family of a numeric address."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET
