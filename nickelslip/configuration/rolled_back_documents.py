"""Recently rolled back documents, which are rejected for a time unless the operator forces them."""

from __future__ import annotations

MAX_DOCUMENTS = 64  # above this number, the oldest document is dropped


class RolledBackDocuments:
    """Recently rolled back documents, identified by digest, and the time until which each is rejected."""

    def __init__(self) -> None:
        self._expires_at_ms: dict[str, float] = {}

    def add(self, digest: str, expires_at_ms: float) -> None:
        """Reject a document until the given time."""
        self._expires_at_ms.pop(digest, None)
        self._expires_at_ms[digest] = expires_at_ms
        while len(self._expires_at_ms) > MAX_DOCUMENTS:
            del self._expires_at_ms[next(iter(self._expires_at_ms))]

    def remaining_ms(self, digest: str, now_ms: float) -> float:
        """Return how much longer a document is rejected; 0 or less if it is no longer rejected."""
        return self._expires_at_ms.get(digest, now_ms) - now_ms

    def all_remaining_ms(self, now_ms: float) -> dict[str, float]:
        """Return the remaining time of each document that is still rejected, keyed by digest."""
        return {
            digest: expires_at_ms - now_ms
            for digest, expires_at_ms in self._expires_at_ms.items()
            if expires_at_ms > now_ms
        }
