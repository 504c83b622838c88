"""Expiry times of the idempotency records and of the records of cached answers.

The server stores the keys and results. This module tracks which records exist, because they count towards memory use.
"""

from __future__ import annotations

from nickelslip.admission.interface import IdempotencyUpdate


class IdempotencyRecords:
    """Expiry times of the records by request id, and the updates that the server has not received yet."""

    __slots__ = ("expires_at_ms_by_id", "_updates")

    def __init__(self) -> None:
        self.expires_at_ms_by_id: dict[int, float] = {}
        self._updates: list[IdempotencyUpdate] = []

    def __len__(self) -> int:
        return len(self.expires_at_ms_by_id)

    def add(self, now_ms: float, request_id: int, retention_ms: float) -> None:
        """Add a record of a request for `retention_ms`."""
        self.expires_at_ms_by_id[request_id] = now_ms + retention_ms
        self._updates.append(IdempotencyUpdate(request_id, retention_ms))

    def remove(self, request_id: int) -> None:
        """Remove the record of a request, if there is one."""
        if request_id in self.expires_at_ms_by_id:
            del self.expires_at_ms_by_id[request_id]
            self._updates.append(IdempotencyUpdate(request_id, 0.0))

    def drop_expired(self, now_ms: float) -> None:
        """Remove expired records without an update to the server, which drops them by itself."""
        self.expires_at_ms_by_id = {
            request_id: expires_at_ms
            for request_id, expires_at_ms in self.expires_at_ms_by_id.items()
            if expires_at_ms > now_ms
        }

    def take_updates(self) -> list[IdempotencyUpdate]:
        """Return and clear the updates since the last call."""
        updates = self._updates
        self._updates = []
        return updates
