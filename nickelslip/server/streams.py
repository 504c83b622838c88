"""Non-blocking streams over sockets. Received and unsent bytes are held in buffers of a shared pool.

A write never waits. While the backlog is empty, the data is passed to the socket before any other task can run; what
the socket does not accept at once is sent later.
"""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from math import inf

import anyio
from anyio.abc import TaskGroup

from nickelslip.server.buffer_pool import BUFFER_BYTES, BufferPool
from nickelslip.server.close_reasons import CloseReason, ConnectionClosedError
from nickelslip.server.send_backlog import SendBacklog

LINGER_TIMEOUT_S = 0.5
TCP_CLOSED_STATES = (7, 8)  # TCP_CLOSE and TCP_CLOSE_WAIT in the first byte of TCP_INFO
LINGER_READ_PAUSE_S = 0.005
NO_BUFFER_DETAIL = "the buffer pool is exhausted"
DISCARD_BUFFER = bytearray(4 * BUFFER_BYTES)  # receives bytes that are read only to be discarded


class Stream:
    """One connected socket.

    Args:
        sock: The connected socket. The stream owns and closes it.
        buffers: The pool of buffers.
        task_group: The task group in which the backlog is sent.
        stall_timeout_ms: How long the peer may pause in the middle of a message, or leave sent data unread.
        max_backlog_bytes: The backlog size in bytes above which `wait_until_backlog_shrinks` waits.
        may_use_reserve: Whether reserved buffers of the pool may be acquired.
        free_memory: Called when the pool is exhausted. Returns whether memory was taken from another connection.
        reads_into_scratch: Whether `fill` reads into the scratch buffer of the pool. The caller then has to call
            `store_rest` before another task runs.

    Attributes:
        data: A buffer in which `data[start:end]` has been read but not yet consumed; None if there are no such bytes.
        start: The index of the first unconsumed byte in `data`.
        end: The index after the last received byte in `data`.
        shut_down_reason: Why this side has stopped sending while the peer may still send; None until then.
        close_reason: Why the stream has ended; None while it is open.
    """

    def __init__(
        self,
        sock: socket.socket,
        buffers: BufferPool,
        task_group: TaskGroup,
        stall_timeout_ms: float,
        max_backlog_bytes: int,
        may_use_reserve: bool = False,
        free_memory: Callable[[], bool] = lambda: False,
        reads_into_scratch: bool = False,
    ) -> None:
        sock.setblocking(False)
        if sock.family in (socket.AF_INET, socket.AF_INET6):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._buffers = buffers
        self._task_group = task_group
        self._stall_timeout_ms = stall_timeout_ms
        self._max_backlog_bytes = max_backlog_bytes
        self._may_use_reserve = may_use_reserve
        self._free_memory = free_memory
        self._reads_into_scratch = reads_into_scratch
        self._read_end_reason: CloseReason | None = None
        self.data: bytearray | None = None
        self.start = 0
        self.end = 0
        self._backlog = SendBacklog(self._acquire_buffer, buffers.release)
        self._backlog_shrunk: anyio.Event | None = None  # while a task waits for it
        self.shut_down_reason: CloseReason | None = None
        self.close_reason: CloseReason | None = None

    async def fill(self, wait_ms: float = inf) -> None:
        """Wait until more bytes have been received.

        A buffer is held only while it contains unconsumed bytes. The method may also return without new bytes.

        Raises:
            ConnectionClosedError: The peer closed or reset the connection, nothing was received in time, the message
                is too large, no buffer is left, or this side has ended the stream. Bytes received after
                `stop_reading` or `shut_down` are not read here because they could not be answered.
        """
        self._raise_if_ended()
        if self.data is not None:
            wait_ms = min(wait_ms, self._stall_timeout_ms)
        timeout_reason = await self._wait_until_readable(wait_ms)
        self._raise_if_ended()
        data = self._buffer_with_space()
        self.end += self._receive(data, timeout_reason)
        self._release_if_empty()

    def consume(self, end_index: int) -> None:
        """Mark all bytes before `end_index` as consumed."""
        self.start = max(self.start, end_index)
        self._release_if_empty()

    def store_rest(self) -> None:
        """Move the unconsumed bytes out of the scratch buffer.

        Raises:
            ConnectionClosedError: There is no memory left for them; they are discarded.
        """
        if self.data is not self._buffers.scratch:
            return
        rest = memoryview(self.data)[self.start : self.end]
        stored = self._buffers.store(rest)
        while stored is None and self._free_memory():
            stored = self._buffers.store(rest)
        self._release_buffer()
        if stored is None:
            raise ConnectionClosedError(CloseReason.SHED, NO_BUFFER_DETAIL)
        self.data = stored
        self.end = len(rest)

    async def wait_until_backlog_shrinks(self) -> None:
        """Wait until the backlog has shrunk to `max_backlog_bytes`, or the stream has ended."""
        while self._backlog.allocated_bytes > self._max_backlog_bytes and not self.close_reason:
            self._backlog_shrunk = anyio.Event()
            await self._backlog_shrunk.wait()

    async def linger(self) -> None:
        """Finish a lingering close: discard input until the peer closes, for at most LINGER_TIMEOUT_S.

        Closing a socket with unread bytes resets the connection, and answers in transit would be lost. The pauses
        limit the work that a peer can cause by sending continuously.
        """
        self.shut_down(CloseReason.SHUTDOWN)
        with anyio.move_on_after(LINGER_TIMEOUT_S):
            try:
                while not self.close_reason:
                    self.consume(self.end)
                    await self._wait_for(anyio.wait_readable)
                    if not self._sock.recv_into(DISCARD_BUFFER):
                        return
                    await anyio.sleep(LINGER_READ_PAUSE_S)
            except (ConnectionClosedError, OSError):
                return

    @property
    def is_open_without_pending_input(self) -> bool:
        """Whether the stream is open, and everything that was received has been consumed."""
        return self.data is None and self.has_read_all_input

    @property
    def has_read_all_input(self) -> bool:
        """Whether the stream is open and neither bytes nor end-of-file are waiting in the socket."""
        if self._end_reason is not None:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    @property
    def _end_reason(self) -> CloseReason | None:
        """Why nothing more is read; None while messages are read."""
        return self._read_end_reason or self.shut_down_reason or self.close_reason

    @property
    def has_peer_closed(self) -> bool:
        """Whether the peer has closed or reset the connection, even if bytes that it sent before are still unread."""
        if self.close_reason is not None or not hasattr(socket, "TCP_INFO"):
            return False
        try:
            return self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in TCP_CLOSED_STATES
        except OSError:  # not a TCP socket
            return False

    def _raise_if_ended(self) -> None:
        if self._end_reason is not None:
            raise ConnectionClosedError(self._end_reason)

    async def _wait_until_readable(self, wait_ms: float) -> CloseReason | None:
        """Wait until the socket is readable; return None, or the reason to close the stream after a timeout."""
        if wait_ms == inf:
            await self._wait_for(anyio.wait_readable)
            return None
        with anyio.move_on_after(max(0.0, wait_ms / 1000)) as scope:
            await self._wait_for(anyio.wait_readable)
        if not scope.cancelled_caught:
            return None
        return CloseReason.UNRESPONSIVE if self.data is None else CloseReason.STALLED

    async def _wait_for(self, wait_function: Callable[[socket.socket], Awaitable[None]]) -> None:
        try:
            await wait_function(self._sock)
        except (anyio.ClosedResourceError, OSError, ValueError):
            raise ConnectionClosedError(self._end_reason or CloseReason.RESET) from None

    def _buffer_with_space(self) -> bytearray:
        """Return the buffer to read into, with unconsumed bytes moved to its beginning."""
        old = self.data
        data = old
        if self._reads_into_scratch:
            data = self._buffers.scratch
        elif data is None:
            data = self._acquire_buffer()
        rest_bytes = self.end - self.start
        if old is not None and (old is not data or self.start):
            data[:rest_bytes] = old[self.start : self.end]
        if old is not data and old is not None:
            self._buffers.release(old)
        self.data = data
        self.start = 0
        self.end = rest_bytes
        if self.end == BUFFER_BYTES:
            raise ConnectionClosedError(CloseReason.MALFORMED, "message exceeds the buffer size")
        return data

    def _acquire_buffer(self) -> bytearray:
        """Return a buffer, which may be taken from another connection.

        Raises:
            ConnectionClosedError: None is left.
        """
        buffer = self._buffers.acquire(self._may_use_reserve)
        while buffer is None and self._free_memory():
            buffer = self._buffers.acquire(self._may_use_reserve)
        if buffer is None:
            raise ConnectionClosedError(CloseReason.SHED, NO_BUFFER_DETAIL)
        return buffer

    def _receive(self, data: bytearray, timeout_reason: CloseReason | None) -> int:
        """Read into the buffer and return the number of bytes; 0 after a spurious wake-up.

        The socket is read even after a timeout: if this process was paused, the bytes may have arrived in time.
        """
        try:
            count = self._sock.recv_into(memoryview(data)[self.end :])
        except (BlockingIOError, InterruptedError):
            if timeout_reason is not None:
                raise ConnectionClosedError(timeout_reason) from None
            return 0
        except OSError as error:
            raise ConnectionClosedError(CloseReason.RESET, error.strerror or "") from None
        if count == 0:
            raise ConnectionClosedError(CloseReason.CLOSED)
        return count

    def _release_if_empty(self) -> None:
        if self.start == self.end:
            self._release_buffer()

    def _release_buffer(self) -> None:
        if self.data is None:
            return
        self._buffers.release(self.data)
        self.data = None
        self.start = 0
        self.end = 0

    @property
    def all_sent(self) -> bool:
        """Whether the backlog is empty."""
        return self._backlog.is_empty

    @property
    def backlog_bytes(self) -> int:
        """The size in bytes of the buffers that hold the backlog."""
        return self._backlog.allocated_bytes

    def write(self, data: bytes) -> bool:
        """Send as much as the socket accepts immediately, and add the rest to the backlog.

        Errors are not raised here: they end the stream, and `fill` raises them. Returns False if the stream had already
        ended or the socket failed; nothing was sent then. Returns True even if no buffer was left for the rest, which
        also ends the stream.
        """
        if self.shut_down_reason or self.close_reason:
            return False
        sent_bytes = 0
        if self._backlog.is_empty:
            try:
                sent_bytes = self._sock.send(data)
            except (BlockingIOError, InterruptedError):
                sent_bytes = 0
            except OSError:
                self.abort(CloseReason.RESET)
                return False
        if sent_bytes < len(data):
            self._enqueue(memoryview(data)[sent_bytes:])
        return True

    def _enqueue(self, data: memoryview) -> None:
        if self._backlog.is_empty:
            self._task_group.start_soon(self._flush)
        try:
            self._backlog.append(data)
        except ConnectionClosedError as closed:
            self.abort(closed.reason)

    async def _flush(self) -> None:
        """Send the backlog until it is empty or the stream ends."""
        timeout_s = None if self._stall_timeout_ms == inf else self._stall_timeout_ms / 1000
        try:
            while not self._backlog.is_empty and not self.close_reason:
                with anyio.fail_after(timeout_s):
                    await self._wait_for(anyio.wait_writable)
                if self.close_reason:
                    return
                self._send_backlog()
        except TimeoutError:
            self.abort(CloseReason.STALLED)
        except (ConnectionClosedError, OSError):
            self.abort(CloseReason.RESET)

    def _send_backlog(self) -> None:
        try:
            sent_bytes = self._sock.send(self._backlog.next_data())
        except (BlockingIOError, InterruptedError):
            return
        if self._backlog.mark_sent(sent_bytes):  # a buffer was released
            self._notify_backlog_shrunk()

    def _notify_backlog_shrunk(self) -> None:
        if self._backlog_shrunk is not None:
            self._backlog_shrunk.set()

    def stop_reading(self, reason: CloseReason) -> None:
        """Discard the received bytes and read no more; `fill` then raises with this reason. Answers can still be sent.

        Call it only when the backlog is empty, since the task that sends it would be interrupted.
        """
        if self._end_reason is not None:
            return
        self._read_end_reason = reason
        self._release_buffer()
        anyio.notify_closing(self._sock)

    def shut_down(self, reason: CloseReason) -> None:
        """Begin a lingering close by shutting down the write side. Call it only when the backlog is empty.

        `fill` then raises with this reason, and its caller continues with `linger`. Only the first call has an effect.
        """
        if self.shut_down_reason or self.close_reason:
            return
        self.shut_down_reason = reason
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.abort(CloseReason.RESET)
            return
        anyio.notify_closing(self._sock)

    def abort(self, reason: CloseReason) -> None:
        """Close the socket immediately and release all buffers.

        `fill` then raises, with this reason unless `shut_down` gave one before. Only the first call has an effect.
        """
        if self.close_reason:
            return
        self.close_reason = reason
        anyio.notify_closing(self._sock)
        self._sock.close()
        self._backlog.clear()
        self._notify_backlog_shrunk()
        self._release_buffer()
