"""A bounded pool of buffers of one size, shared by all streams of this process."""

from __future__ import annotations

from nickelslip.server.close_reasons import CloseReason, ConnectionClosedError

BUFFER_BYTES = 16 * 1024
RESERVE_DIVISOR = 4  # one buffer in so many is reserved for the servers that this one depends on


class BufferPool:
    """Buffers are made on demand up to the bound, and used again.

    A part is reserved for the connections that this server opens itself, so that load balancers, however many, cannot
    take the worker pool or the records service along.

    Args:
        max_count: How many buffers there may be.
    """

    def __init__(self, max_count: int) -> None:
        self.max_count = max_count
        self._free: list[bytearray] = []
        self._unallocated_count = max_count
        self._reserved_count = max_count // RESERVE_DIVISOR

    def take(self, may_use_reserve: bool) -> bytearray:
        """Return a buffer, whose content is arbitrary.

        Raises:
            ConnectionClosedError: None is left, or none but the reserved ones.
        """
        available_count = len(self._free) + self._unallocated_count
        if not may_use_reserve and available_count <= self._reserved_count:
            raise ConnectionClosedError(CloseReason.SHED, "no buffer is left")
        if self._free:
            return self._free.pop()
        if not self._unallocated_count:
            raise ConnectionClosedError(CloseReason.SHED, "no buffer is left")
        self._unallocated_count -= 1
        return bytearray(BUFFER_BYTES)

    def give(self, buffer: bytearray) -> None:
        """Give a buffer back."""
        self._free.append(buffer)
