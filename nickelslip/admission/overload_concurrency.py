"""How many requests may be on the cores, or return to them after a call, before the machine collapses under load."""

from __future__ import annotations

from nickelslip.admission.interface import Settings

SAFE_OVERLOAD_FRACTION = 0.7  # fraction of the overload concurrency that is used at most


class OverloadConcurrency:
    """The overload concurrency of this machine, which is lower during its warm-up."""

    __slots__ = ("extra_when_warm", "_began_at_ms", "_cold_fraction", "_warm_up_ms", "_core_count")

    def __init__(self, settings: Settings, now_ms: float) -> None:
        self._began_at_ms = now_ms
        self._cold_fraction = settings.cold_speed_fraction if settings.starts_cold else 1.0
        self._warm_up_ms = settings.warm_up_ms
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Read the size of the machine from the settings. The warm-up parameters never change."""
        self._core_count = settings.core_count
        # One request per core is the regular load. Only the capacity above it depends on the warm-up.
        self.extra_when_warm = settings.core_count * (settings.overload_concurrency_per_core - 1)

    @property
    def when_warm(self) -> float:
        """The concurrency that a warm machine handles without collapsing."""
        return self._core_count + self.extra_when_warm

    def safe_concurrency(self, now_ms: float) -> float:
        """Return how many requests may be on the cores or have a call in flight now."""
        age_ms = now_ms - self._began_at_ms
        warm_fraction = min(1.0, self._cold_fraction + (1 - self._cold_fraction) * age_ms / self._warm_up_ms)
        return SAFE_OVERLOAD_FRACTION * (self._core_count + self.extra_when_warm * warm_fraction)
