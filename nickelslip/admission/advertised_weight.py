"""The advertised weight: how much of the usual load clients are asked to send, from 0 to 1.

Additive increase, multiplicative decrease (AIMD), once an adjustment interval.
"""

from __future__ import annotations

from nickelslip.admission.drain_schedule import DrainSchedule
from nickelslip.admission.interface import LoadSignal, Settings
from nickelslip.admission.interval_measurements import HIGH_READ_DELAY_FRACTION, IntervalMeasurements

WEIGHT_DECREASE_FACTOR = 0.8
WEIGHT_INCREASE = 0.1


class AdvertisedWeight:
    """Adapts the weight, and says it in the way that clients understand."""

    def __init__(self, settings: Settings) -> None:
        self.weight = 1.0
        self._last_advertised = 1.0
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Take the meaning of the signal from the settings."""
        self._load_signal = settings.load_signal
        overload_concurrency = settings.core_count * settings.overload_concurrency_per_core
        self._concurrency_per_client = overload_concurrency / settings.client_count

    def adjust(self, interval: IntervalMeasurements) -> None:
        """Lower the weight after an interval with congestion, raise it after one without.

        Congestion is a rejection, or a request that lay unread for long. An interval in which nothing was read
        shows that there is no congestion only if the cores idle.
        """
        if interval.rejection_count or interval.max_read_delay_fraction > HIGH_READ_DELAY_FRACTION:
            self.weight *= WEIGHT_DECREASE_FACTOR
        elif not interval.is_reading_late and (interval.request_count or not interval.are_cores_busy):
            self.weight = min(1.0, self.weight + WEIGHT_INCREASE)

    def take_change(self, now_ms: float, drain: DrainSchedule) -> float | None:
        """Return the value to advertise where it has changed, else None.

        A draining server advertises a weight of 0 only once its grace is over: until then its cores are worth having.
        """
        weight = 0.0 if now_ms >= drain.grace_ends_at_ms else self.weight
        has_changed = weight != self._last_advertised
        self._last_advertised = weight
        return self._encode(weight) if has_changed else None

    def _encode(self, weight: float) -> float | None:
        """Return the weight as clients read it, or None where nothing can be advertised."""
        match self._load_signal:
            case LoadSignal.SELECTION_PROBABILITY:
                return weight
            case LoadSignal.CLIENT_CONCURRENCY:
                return weight * self._concurrency_per_client
            case LoadSignal.PRIORITY_THRESHOLD:
                return 1 - weight
            case LoadSignal.NONE:
                return None
