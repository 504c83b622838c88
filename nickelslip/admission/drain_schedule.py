"""When this server was told to drain, until when it still runs what arrives, and when it is killed."""

from __future__ import annotations

from math import inf

from nickelslip.admission.interface import Settings


class DrainSchedule:
    """The moments of a graceful shutdown; all lie in the infinite future until the server drains."""

    __slots__ = ("started_at_ms", "kill_at_ms", "_grace_ms")

    def __init__(self, settings: Settings) -> None:
        self.started_at_ms = inf
        self.kill_at_ms = inf
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Take the grace; a tick less, since what arrives in the last tick may be decided on only after it."""
        self._grace_ms = settings.drain_grace_ms - settings.tick_ms

    def start(self, now_ms: float, kill_at_ms: float) -> None:
        """Begin to drain."""
        self.started_at_ms = now_ms
        self.kill_at_ms = kill_at_ms

    @property
    def grace_ends_at_ms(self) -> float:
        """What arrives after this moment is not run."""
        return self.started_at_ms + self._grace_ms

    def is_draining(self, now_ms: float) -> bool:
        """Whether the server has been told to drain."""
        return now_ms >= self.started_at_ms
