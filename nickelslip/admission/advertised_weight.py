"""The advertised weight: the fraction of their usual load that clients are asked to send, from 0 to 1.

It is adjusted once per adjustment interval by additive increase and multiplicative decrease (AIMD).
"""

from __future__ import annotations

from nickelslip.admission.drain_schedule import DrainSchedule
from nickelslip.admission.interface import LoadSignal, Settings
from nickelslip.admission.interval_measurements import HIGH_READ_DELAY_FRACTION, IntervalMeasurements

WEIGHT_DECREASE_FACTOR = 0.8
WEIGHT_INCREASE = 0.1


class AdvertisedWeight:
    """Adjusts the weight and encodes it as the load signal that clients understand."""

    def __init__(self, settings: Settings) -> None:
        self.weight = 1.0
        self._last_advertised = 1.0
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Read the load signal and its scale from the settings."""
        self._load_signal = settings.load_signal
        overload_concurrency = settings.core_count * settings.overload_concurrency_per_core
        self._concurrency_per_client = overload_concurrency / settings.client_count

    def adjust(self, interval: IntervalMeasurements) -> None:
        """Lower the weight after an interval with congestion, raise it after one without.

        A rejection or a long read delay shows congestion. A moderate read delay leaves the weight unchanged. An
        interval in which no request was read counts as free of congestion only if the cores were idle.
        """
        if interval.rejection_count or interval.max_read_delay_fraction > HIGH_READ_DELAY_FRACTION:
            self.weight *= WEIGHT_DECREASE_FACTOR
        elif not interval.is_reading_late and (interval.request_count or not interval.are_cores_busy):
            self.weight = min(1.0, self.weight + WEIGHT_INCREASE)

    def take_change(self, now_ms: float, drain: DrainSchedule) -> float | None:
        """Return the value to advertise if it has changed, else None.

        A draining server advertises a weight of 0 only after its grace. Until then clients should still use its cores.
        """
        weight = 0.0 if now_ms >= drain.grace_ends_at_ms else self.weight
        has_changed = weight != self._last_advertised
        self._last_advertised = weight
        return self._encode(weight) if has_changed else None

    def _encode(self, weight: float) -> float | None:
        """Return the weight as the value of the load signal, or None if there is no load signal."""
        match self._load_signal:
            case LoadSignal.SELECTION_PROBABILITY:
                return weight
            case LoadSignal.CLIENT_CONCURRENCY:
                return weight * self._concurrency_per_client
            case LoadSignal.PRIORITY_THRESHOLD:
                return 1 - weight
            case LoadSignal.NONE:
                return None
