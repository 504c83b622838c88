"""Schedule of a graceful shutdown: when the drain started, when its grace ends, and when the server is killed."""

from __future__ import annotations

from math import inf

from nickelslip.admission.interface import Settings


class DrainSchedule:
    """The times of a graceful shutdown. All are infinite until the drain starts."""

    __slots__ = ("started_at_ms", "kill_at_ms", "_grace_ms")

    def __init__(self, settings: Settings) -> None:
        self.started_at_ms = inf
        self.kill_at_ms = inf
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Set the grace to one tick less than configured.

        Requests that arrive in the last tick of the configured grace may be decided on only after it.
        """
        self._grace_ms = settings.drain_grace_ms - settings.tick_ms

    def start(self, now_ms: float, kill_at_ms: float) -> None:
        """Start the drain."""
        self.started_at_ms = now_ms
        self.kill_at_ms = kill_at_ms

    @property
    def grace_ends_at_ms(self) -> float:
        """Requests that arrive after this time are not run."""
        return self.started_at_ms + self._grace_ms

    def is_draining(self, now_ms: float) -> bool:
        """Whether the drain has started."""
        return now_ms >= self.started_at_ms
