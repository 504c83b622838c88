"""A size-limited cache with the results of finished requests, used to answer later duplicates."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple


class IdempotencyKey(NamedTuple):
    """Identifies requests that may share one result; equal keys in different traffic classes are unrelated.

    `key` is the idempotency key if the traffic class uses one, otherwise the subject.
    """

    traffic_class: str
    key: str


class ResultCache:
    """Results by idempotency key; the oldest result is evicted first.

    Args:
        max_bytes: Maximum total size of the results, not counting keys.

    Attributes:
        max_bytes: Maximum total size of the results, not counting keys.
        size_bytes: Current total size of the results.
    """

    def __init__(self, max_bytes: float) -> None:
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self._results: OrderedDict[IdempotencyKey, bytes] = OrderedDict()

    def get(self, key: IdempotencyKey) -> bytes | None:
        """Return the result, or None if there is none or it was evicted."""
        return self._results.get(key)

    def store(self, key: IdempotencyKey, result: bytes) -> list[IdempotencyKey]:
        """Store a result, and return the keys of the results evicted to make room, oldest first.

        A result that exceeds the maximum size evicts all others and then itself.
        """
        self._results[key] = result
        self.size_bytes += len(result)
        evicted = []
        while self.size_bytes > self.max_bytes:
            oldest = next(iter(self._results))
            self.discard(oldest)
            evicted.append(oldest)
        return evicted

    def discard(self, key: IdempotencyKey) -> None:
        """Remove a result, if there is one."""
        result = self._results.pop(key, b"")
        self.size_bytes -= len(result)
