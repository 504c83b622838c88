"""The directory's endpoint list, in simulated time."""

from __future__ import annotations


class EndpointList:
    """Servers that registered or reported recently.

    While the directory is down, it receives no reports and no entry expires.

    Args:
        expiry_ms: Time after which an entry without a new report expires.
    """

    def __init__(self, expiry_ms: float = 3000.0) -> None:
        self._expiry_ms = expiry_ms
        self._reported_at_ms: dict[str, float] = {}
        self._is_down = False

    def report(self, now_ms: float, name: str) -> bool:
        """Process a report or a registration; return whether it was accepted."""
        if self._is_down:
            return False
        self._reported_at_ms[name] = now_ms
        return True

    def take_down(self, now_ms: float) -> None:
        """Go down and keep the current entries."""
        self._remove_expired(now_ms)
        self._is_down = True

    def bring_up(self, now_ms: float, empty: bool = False) -> None:
        """Come up, empty or with the previous entries; each of these counts as reported now."""
        self._is_down = False
        self._reported_at_ms = {} if empty else dict.fromkeys(self._reported_at_ms, now_ms)

    def listed(self, now_ms: float) -> list[str]:
        """Return the names on the list."""
        if not self._is_down:
            self._remove_expired(now_ms)
        return list(self._reported_at_ms)

    def _remove_expired(self, now_ms: float) -> None:
        self._reported_at_ms = {
            name: at_ms for name, at_ms in self._reported_at_ms.items() if now_ms - at_ms <= self._expiry_ms
        }
