"""How many requests run at once: an adaptive limit, and how many of its slots will become free."""

from __future__ import annotations

from nickelslip.admission.interface import Settings
from nickelslip.admission.interval_measurements import IntervalMeasurements
from nickelslip.admission.tracked_request import TrackedRequest, TrackedRequests

MIN_LIMIT_PER_CORE = 1 / 2  # reading may take the rest of the cores
STALLED_RUN_FACTOR = 4.0  # a run that takes so many times its expected time frees no slot soon


class ConcurrencyLimit:
    """The concurrency limit. Requests whose dependency call is in flight do not count against it."""

    __slots__ = ("limit", "effective_slots", "_core_count", "_max_concurrency")

    def __init__(self, settings: Settings) -> None:
        self.limit = float(settings.core_count)
        self.effective_slots = self.limit
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Take the bounds of the limit from the settings."""
        self._core_count = settings.core_count
        self._max_concurrency = settings.max_concurrency
        self.limit = min(self.limit, settings.max_concurrency)

    def adjust(self, interval: IntervalMeasurements, has_queue: bool) -> None:
        """Raise the limit while cores idle and requests wait; else let it fall back to the number of cores.

        Below the number of cores it falls only to make room for reading.
        """
        if interval.is_reading_late:
            self.limit = max(self._core_count * MIN_LIMIT_PER_CORE, self.limit - 1)
        elif self.limit < self._core_count or (not interval.are_cores_busy and has_queue):
            self.limit += 1
        elif self.limit > self._core_count:
            self.limit -= 1
        self.limit = min(self.limit, self._max_concurrency)

    def count_effective_slots(self, now_ms: float, requests: TrackedRequests) -> None:
        """Count the slots that become free: those of stalled runs do not.

        This covers cores that hang, a machine that has become slow, and costly requests. Where run times vary widely
        it counts a few slots too little.
        """
        stalled_count = sum(_is_stalled(now_ms, request) for request in requests.on_cores())
        self.effective_slots = max(self.limit - stalled_count, 0.0)


def _is_stalled(now_ms: float, request: TrackedRequest) -> bool:
    core_ms = now_ms - request.started_at_ms - request.time_in_calls_ms
    usual_ms = max(request.expected_run_ms, request.statistics.run_ms.mean(now_ms))
    return core_ms > STALLED_RUN_FACTOR * usual_ms
