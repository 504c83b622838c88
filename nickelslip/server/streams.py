"""Sockets as this server uses them: non-blocking streams over a pool of buffers of one size.

Owns reading into a pooled buffer, writing at once with what does not fit kept in pooled buffers, and the end of a
stream. A write never waits, so that what was decided leaves before anything else is. It must never know a
protocol, and never hold more than the pool's bound.
"""

from __future__ import annotations

import os
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from math import inf

import anyio
from anyio.abc import TaskGroup

from nickelslip.server.close_reasons import CloseReason, ConnectionClosedError

BUFFER_BYTES = 16 * 1024
CONNECT_S = 1.0
KEPT_PART = 4  # of the buffers, one in so many is kept for this server's own peers
LINGER_S, LINGER_PAUSE_S = 0.5, 0.005
PASSED_OVER = bytearray(4 * BUFFER_BYTES)  # where what nobody reads is put


class BufferPool:
    """The pool: buffers are made on demand up to the bound, and used again. A part is kept for this server's own
    peers, so that those who come in, however many, cannot take the worker pool or the records along."""

    def __init__(self, most: int) -> None:
        self._free: list[bytearray] = []
        self.most = self._left = most
        self._kept = most // KEPT_PART

    def take(self, own: bool) -> bytearray:
        if not own and len(self._free) + self._left <= self._kept:
            raise ConnectionClosedError(CloseReason.SHED, "no buffer is left")
        if self._free:
            return self._free.pop()
        if not self._left:
            raise ConnectionClosedError(CloseReason.SHED, "no buffer is left")
        self._left -= 1
        return bytearray(BUFFER_BYTES)

    def give(self, buffer: bytearray) -> None:
        self._free.append(buffer)


class Stream:
    """One connected socket. data[start:end] is what was read and not yet taken."""

    def __init__(
        self,
        sock: socket.socket,
        buffers: BufferPool,
        tasks: TaskGroup,
        stall_ms: float,
        backlog_most: int,
        own: bool = False,
    ) -> None:
        sock.setblocking(False)
        if sock.family in (socket.AF_INET, socket.AF_INET6):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock, self._buffers, self._tasks = sock, buffers, tasks
        self._stall_s, self._backlog_most, self._own = stall_ms / 1000, backlog_most, own
        self.data: bytearray | None = None
        self.start = self.end = 0
        self._out: deque[tuple[bytearray, int]] = deque()  # full ones but the last, and how much each holds
        self._out_from = 0
        self._room = anyio.Event()
        self.shut: CloseReason | None = None  # why nothing more is sent, while the other side may still send
        self.ending: CloseReason | None = None

    # Reading

    async def fill(self, wait_ms: float = inf) -> None:
        """Wait until more was read; a buffer is held only while something in it is unfinished. What comes once nothing
        more is sent is not read here: it could not be answered."""
        if over := self.shut or self.ending:
            raise ConnectionClosedError(over)
        if self.data is not None:
            wait_ms = min(wait_ms, self._stall_s * 1000)
        late = None
        if wait_ms == inf:
            await self._until(anyio.wait_readable)
        else:
            with anyio.move_on_after(max(0.0, wait_ms / 1000)) as wait:
                await self._until(anyio.wait_readable)
            if wait.cancelled_caught:  # unless this server stood still itself, and it has long been there
                late = CloseReason.UNRESPONSIVE if self.data is None else CloseReason.STALLED
        if over := self.shut or self.ending:
            raise ConnectionClosedError(over)
        if self.data is None:
            self.data, self.start, self.end = self._buffers.take(self._own), 0, 0
        elif self.start:
            left = self.end - self.start
            self.data[:left] = self.data[self.start : self.end]
            self.start, self.end = 0, left
        if self.end == BUFFER_BYTES:
            raise ConnectionClosedError(CloseReason.MALFORMED, "a message over the size of a buffer")
        try:
            count = self._sock.recv_into(memoryview(self.data)[self.end :])
        except (BlockingIOError, InterruptedError):
            if late:
                raise ConnectionClosedError(late) from None
            count = -1
        except OSError as error:
            raise ConnectionClosedError(CloseReason.RESET, error.strerror or "") from None
        if not count:
            raise ConnectionClosedError(CloseReason.CLOSED)
        self.end += max(count, 0)
        self.take(0)

    def take(self, upto: int) -> None:
        """All before `upto` has been understood."""
        self.start = max(self.start, upto)
        if self.data is not None and self.start == self.end:
            self._buffers.give(self.data)
            self.data, self.start, self.end = None, 0, 0

    async def room(self) -> None:
        """Wait until the other side has read most of what it was sent."""
        while len(self._out) * BUFFER_BYTES > self._backlog_most and not self.ending:
            self._room = anyio.Event()
            await self._room.wait()

    async def linger(self) -> None:
        """The rest of a lingering close: nothing more is sent, and what still comes is passed over until the other side
        closes, for a moment; closed with something unread, the connection would take answers along that are on their
        way. Whoever sends without end is read no faster than a little at a time, and not for long."""
        self.shut_down(CloseReason.SHUTDOWN)
        with anyio.move_on_after(LINGER_S):
            try:
                while not self.ending:
                    self.take(self.end)
                    await self._until(anyio.wait_readable)
                    if not self._sock.recv_into(PASSED_OVER):
                        return
                    await anyio.sleep(LINGER_PAUSE_S)
            except (ConnectionClosedError, OSError):
                return

    async def _until(self, ready: Callable[[socket.socket], Awaitable[None]]) -> None:
        try:
            await ready(self._sock)
        except (anyio.ClosedResourceError, OSError, ValueError):
            raise ConnectionClosedError(self.shut or self.ending or CloseReason.RESET) from None

    # Writing

    def write(self, data: bytes) -> bool:
        """Send at once what the socket takes; the rest follows from the backlog. Of an end the reader hears. False
        proves that nothing of it has left."""
        if self.shut or self.ending:
            return False
        sent = 0
        if not self._out:
            try:
                sent = self._sock.send(data)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except OSError:
                self.end_with(CloseReason.RESET)
                return False
        if sent < len(data):
            if not self._out:
                self._tasks.start_soon(self._flush)
            self._keep(memoryview(data)[sent:])
        return True

    def _keep(self, rest: memoryview) -> None:
        while rest:
            if not self._out or self._out[-1][1] == BUFFER_BYTES:
                try:
                    self._out.append((self._buffers.take(self._own), 0))
                except ConnectionClosedError as ended:
                    self.end_with(ended.reason)
                    return
            buffer, held = self._out[-1]
            count = min(len(rest), BUFFER_BYTES - held)
            buffer[held : held + count] = rest[:count]
            self._out[-1] = buffer, held + count
            rest = rest[count:]

    async def _flush(self) -> None:
        try:
            while self._out and not self.ending:
                with anyio.fail_after(self._stall_s if self._stall_s < inf else None):
                    await self._until(anyio.wait_writable)
                if self.ending:
                    return
                buffer, held = self._out[0]
                try:
                    self._out_from += self._sock.send(memoryview(buffer)[self._out_from : held])
                except (BlockingIOError, InterruptedError):
                    continue
                if self._out_from == held:
                    self._buffers.give(self._out.popleft()[0])
                    self._out_from = 0
                    self._room.set()
        except TimeoutError:
            self.end_with(CloseReason.STALLED)
        except (ConnectionClosedError, OSError):
            self.end_with(CloseReason.RESET)

    @property
    def quiet(self) -> bool:
        """Whether it stands, with nothing to be read: neither bytes nor its end."""
        if self.shut or self.ending or self.data is not None:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    @property
    def all_sent(self) -> bool:
        return not self._out

    # The end

    def shut_down(self, ending: CloseReason) -> None:
        """Begin a lingering close: say that nothing more is sent. Whoever reads the stream hears of the ending, and
        goes on with linger(). To be called when all is sent; only the first one counts."""
        if self.shut or self.ending:
            return
        self.shut = ending
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.end_with(CloseReason.RESET)
            return
        anyio.notify_closing(self._sock)

    def end_with(self, ending: CloseReason) -> None:
        """End the stream; whoever reads it hears of the ending. Only the first one counts."""
        if self.ending:
            return
        self.ending = ending
        anyio.notify_closing(self._sock)
        self._sock.close()
        for buffer, _ in self._out:
            self._buffers.give(buffer)
        self._out.clear()
        self._room.set()
        if self.data is not None:
            self._buffers.give(self.data)
            self.data, self.start, self.end = None, 0, 0


async def connect(
    address: tuple[str, int], buffers: BufferPool, tasks: TaskGroup, backlog_most: int, stall_ms: float = inf
) -> Stream:
    """A stream to the address, which may stand still for so long half way through what it reads."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    try:
        sock = socket.socket(family, socket.SOCK_STREAM)
    except OSError as error:  # no descriptor is left
        raise ConnectionClosedError(CloseReason.REFUSED, str(error)) from None
    try:
        sock.setblocking(False)
        try:
            sock.connect(address)
        except BlockingIOError:
            with anyio.fail_after(CONNECT_S):
                await anyio.wait_writable(sock)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, os.strerror(code)) from None
    except (OSError, TimeoutError) as error:
        sock.close()
        raise ConnectionClosedError(CloseReason.REFUSED, str(error)) from None
    except BaseException:
        sock.close()
        raise
    return Stream(sock, buffers, tasks, stall_ms, backlog_most, own=True)
