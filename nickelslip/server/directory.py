"""The report to the directory.

Owns the one datagram that keeps this server listed. It must never wait for the directory or depend on it: a report
that cannot be sent is passed over, and the next one follows in its time.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from nickelslip.server.node import Node

REPORT_S = 1.0  # a third of the time after which a silent server is taken off the list


class Directory:
    """The directory, as this server reports to it."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._reached = True

    async def run(self) -> None:
        """Report from the start to the end."""
        address = self._node.config.directory
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        with socket.socket(family, socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            while True:
                word = "open" if self._node.healthy else "closed"
                try:
                    sock.sendto(f"PULSE {self._node.config.name} {word}".encode(), address)
                    reached = True
                except OSError as error:
                    reached = False
                    detail = error.strerror
                if reached is not self._reached:
                    self._reached = reached
                    self._node.log.info("directory", reached=reached, detail=None if reached else detail)
                with anyio.move_on_after(REPORT_S):
                    await self._node.health_changed(self._node.healthy)
