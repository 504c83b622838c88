"""Relays that listen in front of a service and apply the faults of a link.

The programs on both sides are unaware of the relay. A relay does not inspect the data. It buffers at most one chunk in
each direction of a connection and does not read from a sender while the chunk is pending, which gives backpressure.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from nickelslip.emulator.history import History, Kind
from nickelslip.emulator.links import MS_PER_S, Channel, Delivery, Direction, StreamDirection

Address = tuple[str, int]
CHUNK_BYTES = 16 * 1024
CUT_POLL_S = 0.005
CONNECT_TIMEOUT_S = 2.0
MIN_SLEEP_MS = 0.1


class Relay:
    """One link, which forwards connections and datagrams from its own address to the service behind it.

    Args:
        name: The kind of link, such as "pool".
        server: The server that the link belongs to.
        target: The address of the service.
        forward: The direction of the data from the side that connects.
        seed: Seed of the channels' random draws.
        history: Records cuts and their ends.
    """

    def __init__(
        self, name: str, server: str, target: Address, forward: Direction, seed: int, history: History
    ) -> None:
        self.name = name
        self.server = server
        self.target = target
        self.channels = {
            direction: Channel(random.Random(f"{seed} {name} {server} {direction.value}")) for direction in Direction
        }
        self._forward = self.channels[forward]
        self._backward = self.channels[forward.opposite]
        self._history = history
        self._listener: asyncio.Server | None = None
        self._datagrams: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    # Faults

    def set_faults(self, directions: tuple[Direction, ...] = tuple(Direction), **changes: Any) -> None:
        """Change fields of the faults in these directions, and record when a cut begins or ends."""
        now_ms = self._history.clock()
        for direction in directions:
            channel = self.channels[direction]
            was_cut = channel.faults.is_cut
            channel.set_faults(now_ms, **changes)
            if channel.faults.is_cut is not was_cut:
                kind = Kind.LINK_RESTORED if was_cut else Kind.LINK_CUT
                self._history.add(kind, self.server, "", f"{self.name} {direction.value}")

    def reset_connections(self) -> None:
        """Reset every connection."""
        for writer in list(self._writers):
            _reset(writer)

    # Streams

    async def listen(self, address: Address) -> Address:
        """Accept connections at this address (port 0 for any port) and return the address that was bound."""
        self._listener = await asyncio.start_server(self._accept, *address, limit=CHUNK_BYTES)
        host, port = self._listener.sockets[0].getsockname()[:2]
        return str(host), int(port)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.get_running_loop().create_task(self._relay_connection(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target_writer = None
        try:
            await _wait_while_cut(self._forward)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                target_reader, target_writer = await asyncio.open_connection(*self.target, limit=CHUNK_BYTES)
            for open_writer in (writer, target_writer):
                self._writers.add(open_writer)
                _send_without_delay(open_writer)
            async with asyncio.TaskGroup() as pumps:
                pumps.create_task(self._pump(reader, target_writer, self._forward))
                pumps.create_task(self._pump(target_reader, writer, self._backward))
        except (OSError, TimeoutError, ExceptionGroup):
            _reset(writer)
        finally:
            for any_writer in (writer, target_writer):
                if any_writer is not None:
                    self._writers.discard(any_writer)
                    any_writer.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, channel: Channel) -> None:
        """Relay one direction of one connection until it ends."""
        stream = StreamDirection(channel)
        while data := await reader.read(CHUNK_BYTES):
            chunk = stream.deliver(self._history.clock(), len(data))
            wait_ms = chunk.at_ms - self._history.clock()
            if wait_ms > MIN_SLEEP_MS:
                await asyncio.sleep(wait_ms / MS_PER_S)
            await _wait_while_cut(channel)
            writer.write(data[: chunk.size])
            await writer.drain()
            if chunk.delivery is Delivery.RESET:
                raise ConnectionResetError
            if chunk.delivery is Delivery.HALF_OPEN:
                await asyncio.Event().wait()
        await _wait_while_cut(channel)
        if writer.can_write_eof():
            with suppress(OSError):
                writer.write_eof()

    # Datagrams

    async def listen_datagrams(self, address: Address) -> Address:
        """Receive datagrams at this address (port 0 for any port) and forward them; replies are not relayed.

        Returns:
            The address that was bound.
        """
        loop = asyncio.get_running_loop()
        target_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)

        def forward(data: bytes) -> None:
            now_ms = self._history.clock()
            for at_ms in self._forward.datagram_deliveries(now_ms):
                loop.call_later(max(0.0, at_ms - now_ms) / MS_PER_S, self._send_datagram, target_socket, data)

        self._datagrams, _ = await loop.create_datagram_endpoint(lambda: _DatagramReceiver(forward), local_addr=address)
        host, port = self._datagrams.get_extra_info("sockname")[:2]
        return str(host), int(port)

    def _send_datagram(self, target_socket: socket.socket, data: bytes) -> None:
        with suppress(OSError):  # lost, since there is no receiver
            target_socket.sendto(data, self.target)

    # Shutdown

    def stop_accepting(self) -> None:
        """Accept no new connections or datagrams; existing connections continue."""
        if self._datagrams is not None:
            self._datagrams.close()
        if self._listener is not None:
            self._listener.close()

    async def close(self) -> None:
        """Close the relay and all its connections."""
        self.stop_accepting()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class _DatagramReceiver(asyncio.DatagramProtocol):
    """Passes each datagram to a callback."""

    def __init__(self, callback: Callable[[bytes], None]) -> None:
        self._callback = callback

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass the datagram on."""
        self._callback(data)


async def _wait_while_cut(channel: Channel) -> None:
    while channel.faults.is_cut:
        await asyncio.sleep(CUT_POLL_S)


def _send_without_delay(writer: asyncio.StreamWriter) -> None:
    with suppress(OSError, ValueError):  # closed already
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    with suppress(OSError, ValueError, AttributeError):  # a closed connection has no socket
        connected_socket = writer.get_extra_info("socket")
        connected_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
