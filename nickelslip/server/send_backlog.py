"""The unsent bytes of a stream, held in buffers of the pool."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from nickelslip.server.buffer_pool import BUFFER_BYTES


@dataclass(slots=True)
class Chunk:
    """A buffer and the number of bytes stored in it."""

    buffer: bytearray
    filled_bytes: int = 0


class SendBacklog:
    """A queue of bytes in which every buffer except the last is full.

    Args:
        acquire: Returns a buffer, or raises ConnectionClosedError if none is left.
        release: Takes a buffer back.
    """

    def __init__(self, acquire: Callable[[], bytearray], release: Callable[[bytearray], None]) -> None:
        self._acquire = acquire
        self._release = release
        self._chunks: deque[Chunk] = deque()
        self._sent_bytes = 0  # in the first chunk

    @property
    def is_empty(self) -> bool:
        """Whether all bytes have been sent."""
        return not self._chunks

    @property
    def allocated_bytes(self) -> int:
        """The total size of the buffers in use, including unfilled space."""
        return len(self._chunks) * BUFFER_BYTES

    def append(self, data: memoryview) -> None:
        """Copy the data to the end of the queue.

        Raises:
            ConnectionClosedError: No buffer is left. Part of the data may already have been copied.
        """
        while data:
            if not self._chunks or self._chunks[-1].filled_bytes == BUFFER_BYTES:
                self._chunks.append(Chunk(self._acquire()))
            chunk = self._chunks[-1]
            count = min(len(data), BUFFER_BYTES - chunk.filled_bytes)
            chunk.buffer[chunk.filled_bytes : chunk.filled_bytes + count] = data[:count]
            chunk.filled_bytes += count
            data = data[count:]

    def next_data(self) -> memoryview:
        """Return the unsent bytes of the first buffer. The backlog must not be empty."""
        chunk = self._chunks[0]
        return memoryview(chunk.buffer)[self._sent_bytes : chunk.filled_bytes]

    def mark_sent(self, count: int) -> bool:
        """Remove the first `count` bytes of `next_data`; return whether this released a buffer."""
        self._sent_bytes += count
        chunk = self._chunks[0]
        if self._sent_bytes < chunk.filled_bytes:
            return False
        self._chunks.popleft()
        self._release(chunk.buffer)
        self._sent_bytes = 0
        return True

    def clear(self) -> None:
        """Discard all unsent bytes and release the buffers."""
        for chunk in self._chunks:
            self._release(chunk.buffer)
        self._chunks.clear()
        self._sent_bytes = 0
