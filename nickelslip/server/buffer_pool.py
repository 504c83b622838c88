"""A bounded pool of buffers, shared by all streams of this process."""

from __future__ import annotations

BUFFER_BYTES = 16 * 1024
RESERVE_DIVISOR = 4  # a quarter of the buffers is reserved for connections to the servers that this one depends on
SMALL_BUFFER_STEP_BYTES = 1024  # sizes of small buffers are multiples of this


class BufferPool:
    """Allocates buffers on demand up to a limit and reuses them.

    Some buffers are reserved for the connections that this server opens itself. Load balancers therefore cannot use
    up the buffers that the worker pool and the records service need, however many connect.

    Small buffers hold the beginning of a message that is still incomplete. Their total size counts as whole buffers.

    Args:
        max_count: The maximum number of buffers.

    Attributes:
        scratch: A buffer that belongs to nobody. Its user has to be done with it before another task runs.
    """

    def __init__(self, max_count: int) -> None:
        self.max_count = max_count
        self.scratch = bytearray(BUFFER_BYTES)
        self._free: list[bytearray] = []
        self._unallocated_count = max_count
        self._reserved_count = max_count // RESERVE_DIVISOR
        self._small_bytes = 0

    def acquire(self, may_use_reserve: bool) -> bytearray | None:
        """Return a buffer with arbitrary content; None if none is left, or only reserved ones are."""
        available_count = len(self._free) + self._unallocated_count - _buffer_count(self._small_bytes)
        if available_count <= (0 if may_use_reserve else self._reserved_count):
            return None
        if self._free:
            return self._free.pop()
        self._unallocated_count -= 1
        return bytearray(BUFFER_BYTES)

    def store(self, data: memoryview) -> bytearray | None:
        """Return a small buffer that begins with this data; None if there is no memory left for it.

        Args:
            data: At most BUFFER_BYTES.
        """
        steps = -(-len(data) // SMALL_BUFFER_STEP_BYTES)
        size = max(1, steps) * SMALL_BUFFER_STEP_BYTES
        small_count = _buffer_count(self._small_bytes + size)
        if len(self._free) + self._unallocated_count - small_count < self._reserved_count:
            return None
        self._small_bytes += size
        while self._unallocated_count < small_count:  # memory of unused buffers is given back for the small ones
            self._free.pop()
            self._unallocated_count += 1
        buffer = bytearray(size)
        buffer[: len(data)] = data
        return buffer

    def release(self, buffer: bytearray) -> None:
        """Return a buffer to the pool. The scratch buffer need not be returned."""
        if buffer is self.scratch:
            return
        if len(buffer) == BUFFER_BYTES:
            self._free.append(buffer)
        else:
            self._small_bytes -= len(buffer)


def _buffer_count(size: int) -> int:
    """Return how many whole buffers have at least this size in bytes."""
    return -(-size // BUFFER_BYTES)
