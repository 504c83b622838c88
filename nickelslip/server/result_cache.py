"""Results of finished requests, kept within a bound of bytes for duplicates that are still to come."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple


class IdempotencyKey(NamedTuple):
    """What requests have in common that may share one result: keys of different traffic classes are unrelated.

    `key` is the idempotency key of a request that has one, and the subject of any other.
    """

    traffic_class: str
    key: str


class ResultCache:
    """Results by their idempotency keys; the oldest is evicted first.

    Args:
        max_bytes: Upper bound of the sum of the results' sizes, not counting keys.
    """

    def __init__(self, max_bytes: float) -> None:
        self.max_bytes = max_bytes
        self.size_bytes = 0
        self._results: OrderedDict[IdempotencyKey, bytes] = OrderedDict()

    def get(self, key: IdempotencyKey) -> bytes | None:
        """Return the result, or None where there is none or it was evicted."""
        return self._results.get(key)

    def store(self, key: IdempotencyKey, result: bytes) -> list[IdempotencyKey]:
        """Store a result and return the keys of those evicted for it, the oldest first.

        A result larger than the whole cache evicts every other one and then itself.
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
        """Remove the result, if there is one."""
        result = self._results.pop(key, b"")
        self.size_bytes -= len(result)
