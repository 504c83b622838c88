"""The report to the directory.

Owns the one datagram that keeps this server listed. When one is due is the start's to say. It must never wait for the
directory or depend on it: a report that cannot be sent is passed over, and the next one follows in its time.
"""

from __future__ import annotations

import socket
from math import inf
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:  # types only: a start is spared what it does not need
    from nickelslip.server.surroundings import Reported



class Directory:
    """The directory, as this server reports to it."""

    def __init__(self, around: Reported) -> None:
        self._around = around
        self._reached = True
        self._again = anyio.Event()

    def move(self) -> None:
        """What is due may have changed. A new address alone brings no report out of turn: a new configuration comes to
        all servers in the same moment."""
        self._again.set()

    def tell(self) -> None:
        """The health has changed: report at once."""
        self._around.coming_up.told(self._around.clock())
        self._again.set()

    async def run(self) -> None:
        """Report from the moment when the worker pool is there to the end."""
        while True:
            self._again = anyio.Event()
            now, coming_up = self._around.clock(), self._around.coming_up
            if coming_up.report_at <= now:
                self._report()
                coming_up.reported(now)
                self._around.look()
            wait = coming_up.report_at - self._around.clock()
            with anyio.move_on_after(None if wait == inf else max(0.0, wait) / 1000):
                await self._again.wait()

    def _report(self) -> None:
        address = self._around.generation.config.directory
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        word = "open" if self._around.healthy else "closed"
        detail = None
        try:
            with socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK) as sock:
                sock.sendto(f"PULSE {self._around.generation.config.name} {word}".encode(), address)
        except OSError as error:
            detail = error.strerror
        if (detail is None) is not self._reached:
            self._reached = detail is None
            self._around.log.info("directory", reached=self._reached, detail=detail)
