"""The directory's endpoint list, in simulated time."""

from __future__ import annotations


class EndpointList:
    """Servers that registered or reported lately.

    While the directory is down it hears nothing, and no entry lapses.

    Args:
        lapse_ms: How long an entry lasts without a report.
    """

    def __init__(self, lapse_ms: float = 3000.0) -> None:
        self._lapse_ms = lapse_ms
        self._reported_at_ms: dict[str, float] = {}
        self._is_down = False

    def report(self, now_ms: float, name: str) -> bool:
        """Take a report, or a registration; return whether it was heard."""
        if self._is_down:
            return False
        self._reported_at_ms[name] = now_ms
        return True

    def take_down(self, now_ms: float) -> None:
        """Go down, with the entries as they are now."""
        self._drop_lapsed(now_ms)
        self._is_down = True

    def bring_up(self, now_ms: float, empty: bool = False) -> None:
        """Come up with no entries, or with those from before, each as if it had reported now."""
        self._is_down = False
        self._reported_at_ms = {} if empty else dict.fromkeys(self._reported_at_ms, now_ms)

    def listed(self, now_ms: float) -> list[str]:
        """Return the names on the list."""
        if not self._is_down:
            self._drop_lapsed(now_ms)
        return list(self._reported_at_ms)

    def _drop_lapsed(self, now_ms: float) -> None:
        self._reported_at_ms = {
            name: at_ms for name, at_ms in self._reported_at_ms.items() if now_ms - at_ms <= self._lapse_ms
        }
