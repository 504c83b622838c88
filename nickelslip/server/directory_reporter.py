"""The report to the directory.

Owns the one datagram that keeps this server listed. When one is due is the start's to say. It must never wait for the
directory or depend on it: a report that cannot be sent is passed over, and the next one follows in its time.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from math import inf
from typing import TYPE_CHECKING

import anyio

from nickelslip.configuration.config import Address

if TYPE_CHECKING:  # types only: a start is spared what it does not need
    from nickelslip.server.interfaces import ReportSource


def family_of(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


class DirectoryReporter:
    """The directory, as this server reports to it."""

    def __init__(self, around: ReportSource) -> None:
        self._around = around
        self._reached = True
        self._again = anyio.Event()
        self._sock: socket.socket | None = None  # kept: where descriptors run short a report must not need one

    def change_endpoint(self) -> None:
        """What is due may have changed. A new address alone brings no report out of turn: a new configuration comes to
        all servers in the same moment."""
        self._again.set()

    def report_health_change(self) -> None:
        """The health has changed: report at once."""
        self._around.slow_start.health_changed(self._around.clock())
        self._again.set()

    async def run(self) -> None:
        """Report from the moment when the worker pool is there to the end."""
        with suppress(OSError):
            self._socket(family_of(self._around.generation.config.directory))  # before callers come
        try:
            await self._run()
        finally:
            if self._sock is not None:
                self._sock.close()

    async def _run(self) -> None:
        while True:
            self._again = anyio.Event()
            now, coming_up = self._around.clock(), self._around.slow_start
            if coming_up.next_report_at_ms <= now:
                self._report()
                coming_up.report_sent(now)
                self._around.update_slow_start()
            wait = coming_up.next_report_at_ms - self._around.clock()
            with anyio.move_on_after(None if wait == inf else max(0.0, wait) / 1000):
                await self._again.wait()

    def _socket(self, family: int) -> socket.socket:
        """The one from which reports go out, to whatever address."""
        if self._sock is None or self._sock.family != family:
            fresh = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
            if self._sock is not None:
                self._sock.close()
            self._sock = fresh
        return self._sock

    def _report(self) -> None:
        address = self._around.generation.config.directory
        report = f"PULSE {self._around.generation.config.name} {'open' if self._around.is_healthy else 'closed'}"
        detail = None
        try:
            self._socket(family_of(address)).sendto(report.encode(), address)
        except OSError as error:
            detail = error.strerror
        if (detail is None) is not self._reached:
            self._reached = detail is None
            self._around.log.info("directory_reachability", is_reachable=self._reached, detail=detail)
