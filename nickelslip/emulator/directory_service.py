"""A fake directory: it hears servers' reports as datagrams and serves the endpoint list."""

from __future__ import annotations

import asyncio
import random

from nickelslip.emulator.endpoint_list import EndpointList
from nickelslip.emulator.history import History, Kind

Address = tuple[str, int]
REPORT_VERB = b"PULSE"
REPORT_STATES = (b"open", b"closed")
REPORT_WORD_COUNT = 3


class DirectoryService(asyncio.DatagramProtocol):
    """The directory of a fleet.

    Args:
        history: Where reports are recorded.
        lapse_ms: How long an entry lasts without a report.
    """

    def __init__(self, history: History, lapse_ms: float = 3000.0) -> None:
        self._endpoints = EndpointList(lapse_ms)
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
        """Record a report; anything else is ignored, as is the drawn fraction that is lost."""
        words = data.split(b" ")
        if len(words) != REPORT_WORD_COUNT or words[0] != REPORT_VERB or words[2] not in REPORT_STATES:
            return
        now_ms = self._history.clock()
        name = words[1].decode()
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
        """Stop hearing reports; the list stays as it is."""
        self._endpoints.take_down(self._history.clock())
        self._history.add(Kind.FAULT, "", "", "directory down")

    def bring_up(self, empty: bool = False) -> None:
        """Hear reports again, with the entries from before or with none."""
        self._endpoints.bring_up(self._history.clock(), empty)
        self._history.add(Kind.FAULT, "", "", "directory up, empty" if empty else "directory up")

    def close(self) -> None:
        """Close every socket."""
        for transport in self._transports:
            transport.close()
