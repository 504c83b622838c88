"""Documents that were rolled back recently, and are rejected for a time unless they are forced."""

from __future__ import annotations

MAX_DOCUMENTS = 64  # above it the oldest is forgotten


class RolledBackDocuments:
    """Rolled back documents, by their digests, with the time up to which each is rejected."""

    def __init__(self) -> None:
        self._until_ms: dict[str, float] = {}

    def add(self, digest: str, until_ms: float) -> None:
        """Reject a document up to a time."""
        self._until_ms.pop(digest, None)
        self._until_ms[digest] = until_ms
        while len(self._until_ms) > MAX_DOCUMENTS:
            del self._until_ms[next(iter(self._until_ms))]

    def remaining_ms(self, digest: str, now_ms: float) -> float:
        """Return how much longer a document is rejected; 0 or less if it is not."""
        return self._until_ms.get(digest, now_ms) - now_ms

    def all_remaining_ms(self, now_ms: float) -> dict[str, float]:
        """Return how much longer each document that is still rejected is rejected, by its digest."""
        return {digest: until_ms - now_ms for digest, until_ms in self._until_ms.items() if until_ms > now_ms}
