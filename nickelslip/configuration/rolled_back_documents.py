"""Documents that were rolled back recently, and are rejected for a time unless they are forced."""

from __future__ import annotations

MAX_DOCUMENTS = 64  # above it the oldest is forgotten


class RolledBackDocuments:
    """Rolled back documents, by their digests, with the time up to which each is rejected."""

    def __init__(self) -> None:
        self._expires_at_ms: dict[str, float] = {}

    def add(self, digest: str, expires_at_ms: float) -> None:
        """Reject a document up to a time."""
        self._expires_at_ms.pop(digest, None)
        self._expires_at_ms[digest] = expires_at_ms
        while len(self._expires_at_ms) > MAX_DOCUMENTS:
            del self._expires_at_ms[next(iter(self._expires_at_ms))]

    def remaining_ms(self, digest: str, now_ms: float) -> float:
        """Return how much longer a document is rejected; 0 or less if it is not."""
        return self._expires_at_ms.get(digest, now_ms) - now_ms

    def all_remaining_ms(self, now_ms: float) -> dict[str, float]:
        """Return how much longer each document that is still rejected is rejected, by its digest."""
        return {digest: at_ms - now_ms for digest, at_ms in self._expires_at_ms.items() if at_ms > now_ms}
