"""Relays: a listening address in front of a party, over which a link's faults act.

Owns the sockets of relays, for streams and for datagrams. Both sides are true programs that know nothing of it. It must
never look into what passes, and never hold more than a bound of it: who sends too much is not read meanwhile.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from contextlib import suppress

from nickelslip.emulator.history import History, Kind
from nickelslip.emulator.links import Course, Fate, Lane, Way

Address = tuple[str, int]
PIECE = 16 * 1024
LOOK_S = 0.005  # a cut is looked at so often by what waits for its end
CONNECT_S = 2.0


class Relay:
    """One link: whoever connects to, or sends datagrams to, the address here reaches the party behind it. `towards`
    is the way of what comes from the one who connects."""

    def __init__(self, name: str, server: str, target: Address, towards: Way, seed: int, history: History) -> None:
        self.name, self.server, self.target = name, server, target
        self.lanes = {way: Lane(random.Random(f"{seed} {name} {server} {way.name}")) for way in Way}
        self._towards, self._back = towards, (Way.IN if towards is Way.OUT else Way.OUT)
        self._history = history
        self._listener: asyncio.Server | None = None
        self._datagrams: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    # What is done to it

    def set(self, ways: tuple[Way, ...] = tuple(Way), **faults: object) -> None:
        """Other faults, one way or both. A cut and its end stand in the history."""
        now = self._history.clock()
        for way in ways:
            was = self.lanes[way].faults.cut
            self.lanes[way].set(now, **faults)
            if self.lanes[way].faults.cut is not was:
                self._history.add(Kind.HEALED if was else Kind.CUT, self.server, "", f"{self.name} {way.name}")

    def reset(self) -> None:
        """Break every connection that stands."""
        for writer in list(self._writers):
            _reset(writer)

    # Streams

    async def listen(self, address: Address) -> Address:
        """Stand at this address, port 0 for any; where it stands."""
        self._listener = await asyncio.start_server(self._join, *address, limit=PIECE)
        host, port = self._listener.sockets[0].getsockname()[:2]
        return str(host), int(port)

    def _join(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.get_running_loop().create_task(self._joined(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _joined(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        other = None
        try:
            await self._whole(self.lanes[self._towards])
            async with asyncio.timeout(CONNECT_S):
                far, other = await asyncio.open_connection(*self.target, limit=PIECE)
            for end in (writer, other):
                self._writers.add(end)
                with suppress(OSError, ValueError):  # closed already
                    end.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.TaskGroup() as ways:
                ways.create_task(self._pump(reader, other, self.lanes[self._towards]))
                ways.create_task(self._pump(far, writer, self.lanes[self._back]))
        except (OSError, TimeoutError, ExceptionGroup):
            _reset(writer)
        finally:
            for each in (writer, other):
                if each is not None:
                    self._writers.discard(each)
                    each.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, lane: Lane) -> None:
        """One way of one connection, to its end."""
        course = Course(lane)
        while data := await reader.read(PIECE):
            size, at, fate = course.piece(self._history.clock(), len(data))
            if (wait := at - self._history.clock()) > 0.1:
                await asyncio.sleep(wait / 1000)
            await self._whole(lane)
            writer.write(data[:size])
            await writer.drain()
            if fate is Fate.RESET:
                raise ConnectionResetError
            if fate is Fate.HALF_OPEN:
                await asyncio.Event().wait()
        await self._whole(lane)
        if writer.can_write_eof():
            with suppress(OSError):
                writer.write_eof()

    @staticmethod
    async def _whole(lane: Lane) -> None:
        while lane.faults.cut:
            await asyncio.sleep(LOOK_S)

    # Datagrams

    async def hear(self, address: Address) -> Address:
        """Hear datagrams at this address, port 0 for any; where. They go on to the party, and nothing comes back."""
        loop = asyncio.get_running_loop()
        out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)

        class Ear(asyncio.DatagramProtocol):
            def datagram_received(ear, data: bytes, _addr: Address) -> None:  # noqa: N805
                now = self._history.clock()
                for at in self.lanes[self._towards].datagram(now):
                    loop.call_later(max(0.0, at - now) / 1000, self._pass, out, data)

        self._datagrams, _ = await loop.create_datagram_endpoint(Ear, local_addr=address)
        host, port = self._datagrams.get_extra_info("sockname")[:2]
        return str(host), int(port)

    def _pass(self, out: socket.socket, data: bytes) -> None:
        with suppress(OSError):  # nobody is there: lost
            out.sendto(data, self.target)

    def refuse(self) -> None:
        """Take nothing new; what stands goes on."""
        if self._datagrams is not None:
            self._datagrams.close()
        if self._listener is not None:
            self._listener.close()

    async def close(self) -> None:
        """End it, and all that goes over it."""
        self.refuse()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def _reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset, and not with a close in order."""
    with suppress(OSError, ValueError, AttributeError):  # one that has been closed has no socket any more
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
