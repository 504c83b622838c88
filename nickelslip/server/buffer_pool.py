"""A bounded pool of fixed-size buffers, shared by all streams of this process."""

from __future__ import annotations

from nickelslip.server.close_reasons import CloseReason, ConnectionClosedError

BUFFER_BYTES = 16 * 1024
RESERVE_DIVISOR = 4  # a quarter of the buffers is reserved for connections to the servers that this one depends on


class BufferPool:
    """Allocates buffers on demand up to a limit and reuses them.

    Some buffers are reserved for the connections that this server opens itself. Load balancers therefore cannot use
    up the buffers that the worker pool and the records service need, however many connect.

    Args:
        max_count: The maximum number of buffers.
    """

    def __init__(self, max_count: int) -> None:
        self.max_count = max_count
        self._free: list[bytearray] = []
        self._unallocated_count = max_count
        self._reserved_count = max_count // RESERVE_DIVISOR

    def acquire(self, may_use_reserve: bool) -> bytearray:
        """Return a buffer with arbitrary content.

        Raises:
            ConnectionClosedError: No buffer is left, or only reserved buffers are left and `may_use_reserve` is false.
        """
        available_count = len(self._free) + self._unallocated_count
        if not may_use_reserve and available_count <= self._reserved_count:
            raise ConnectionClosedError(CloseReason.SHED, "the buffer pool is exhausted")
        if self._free:
            return self._free.pop()
        if not self._unallocated_count:
            raise ConnectionClosedError(CloseReason.SHED, "the buffer pool is exhausted")
        self._unallocated_count -= 1
        return bytearray(BUFFER_BYTES)

    def release(self, buffer: bytearray) -> None:
        """Return a buffer to the pool."""
        self._free.append(buffer)
