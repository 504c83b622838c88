"""A fake directory that receives servers' reports as datagrams and serves the endpoint list."""

from __future__ import annotations

import asyncio
import random

from nickelslip.emulator.endpoint_list import EndpointList
from nickelslip.emulator.history import History, Kind

Address = tuple[str, int]
REPORT_VERB = b"PULSE"
REPORT_STATES = (b"open", b"closed")
REPORT_FIELD_COUNT = 3


class DirectoryService(asyncio.DatagramProtocol):
    """The directory of a fleet.

    Args:
        history: Where reports are recorded.
        expiry_ms: Time after which an entry without a new report expires.
    """

    def __init__(self, history: History, expiry_ms: float = 3000.0) -> None:
        self._endpoints = EndpointList(expiry_ms)
        self.lost_fraction = 0.0
        self._history = history
        self._random = random.Random("lost on the way to the directory")
        self._transports: list[asyncio.DatagramTransport] = []

    async def listen(self, address: Address) -> Address:
        """Receive reports at an address and return it with the port that was bound."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        self._transports.append(transport)
        host, port = transport.get_extra_info("sockname")[:2]
        return str(host), int(port)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Record a report. Other datagrams are ignored, and a random fraction of the reports is lost."""
        fields = data.split(b" ")
        if len(fields) != REPORT_FIELD_COUNT or fields[0] != REPORT_VERB or fields[2] not in REPORT_STATES:
            return
        now_ms = self._history.clock()
        name = fields[1].decode()
        if self._random.random() < self.lost_fraction:
            return
        self._history.add(Kind.REPORTED, name, "", self._endpoints.report(now_ms, name), now_ms)

    def register(self, name: str) -> None:
        """List a server whose worker pool has come up."""
        self._endpoints.report(self._history.clock(), name)

    def listed(self) -> list[str]:
        """Return the names on the endpoint list."""
        return self._endpoints.listed(self._history.clock())

    def take_down(self) -> None:
        """Ignore reports from now on; the list stays unchanged."""
        self._endpoints.take_down(self._history.clock())
        self._history.add(Kind.FAULT, "", "", "directory down")

    def bring_up(self, empty: bool = False) -> None:
        """Accept reports again, with the previous entries or with an empty list."""
        self._endpoints.bring_up(self._history.clock(), empty)
        self._history.add(Kind.FAULT, "", "", "directory up, empty" if empty else "directory up")

    def close(self) -> None:
        """Close all sockets."""
        for transport in self._transports:
            transport.close()
