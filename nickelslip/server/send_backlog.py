"""What a stream has yet to send, in buffers of the pool."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from nickelslip.server.buffer_pool import BUFFER_BYTES, BufferPool


@dataclass(slots=True)
class Chunk:
    """A buffer and how much of it is filled."""

    buffer: bytearray
    filled_bytes: int = 0


class SendBacklog:
    """A queue of bytes; every buffer but the last is full.

    Args:
        buffers: Where the buffers come from.
        may_use_reserve: Whether reserved buffers may be taken, too.
    """

    def __init__(self, buffers: BufferPool, may_use_reserve: bool) -> None:
        self._buffers = buffers
        self._may_use_reserve = may_use_reserve
        self._chunks: deque[Chunk] = deque()
        self._sent_bytes = 0  # of the first chunk

    @property
    def is_empty(self) -> bool:
        """Whether all was sent."""
        return not self._chunks

    @property
    def allocated_bytes(self) -> int:
        """The size of the buffers that are held, filled or not."""
        return len(self._chunks) * BUFFER_BYTES

    def append(self, data: memoryview) -> None:
        """Copy the data to the end of the queue.

        Raises:
            ConnectionClosedError: The pool has no buffer left; a part of the data may have been copied.
        """
        while data:
            if not self._chunks or self._chunks[-1].filled_bytes == BUFFER_BYTES:
                self._chunks.append(Chunk(self._buffers.take(self._may_use_reserve)))
            chunk = self._chunks[-1]
            count = min(len(data), BUFFER_BYTES - chunk.filled_bytes)
            chunk.buffer[chunk.filled_bytes : chunk.filled_bytes + count] = data[:count]
            chunk.filled_bytes += count
            data = data[count:]

    def next_data(self) -> memoryview:
        """Return what is unsent of the first buffer; the backlog must not be empty."""
        chunk = self._chunks[0]
        return memoryview(chunk.buffer)[self._sent_bytes : chunk.filled_bytes]

    def mark_sent(self, count: int) -> bool:
        """Remove so many bytes of `next_data`; return whether its buffer was given back."""
        self._sent_bytes += count
        chunk = self._chunks[0]
        if self._sent_bytes < chunk.filled_bytes:
            return False
        self._chunks.popleft()
        self._buffers.give(chunk.buffer)
        self._sent_bytes = 0
        return True

    def clear(self) -> None:
        """Discard all that is unsent and give the buffers back."""
        for chunk in self._chunks:
            self._buffers.give(chunk.buffer)
        self._chunks.clear()
        self._sent_bytes = 0
