"""The adaptive limit on running requests, and how many of its slots are not held by stalled runs."""

from __future__ import annotations

from nickelslip.admission.interface import Settings
from nickelslip.admission.interval_measurements import IntervalMeasurements
from nickelslip.admission.tracked_request import TrackedRequest, TrackedRequests

MIN_LIMIT_PER_CORE = 1 / 2  # the other cores may be needed for reading requests
STALLED_RUN_FACTOR = 4.0  # a run longer than this many times its expected time is stalled: its slot stays in use


class ConcurrencyLimit:
    """The concurrency limit. Requests that wait for a call or have one in flight do not count towards it."""

    __slots__ = ("limit", "effective_slots", "max_concurrency", "_core_count")

    def __init__(self, settings: Settings) -> None:
        self.limit = float(settings.core_count)
        self.effective_slots = self.limit
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Read the bounds of the limit from the settings."""
        self._core_count = settings.core_count
        self.max_concurrency = settings.max_concurrency
        self.limit = min(self.limit, settings.max_concurrency)

    def adjust(self, interval: IntervalMeasurements, has_queue: bool) -> None:
        """Raise the limit if cores are idle while requests are queued, else move it back to the number of cores.

        It falls below the number of cores only if requests are read late, to leave CPU time for reading.
        """
        if interval.is_reading_late:
            self.limit = max(self._core_count * MIN_LIMIT_PER_CORE, self.limit - 1)
        elif self.limit < self._core_count or (not interval.are_cores_busy and has_queue):
            self.limit += 1
        elif self.limit > self._core_count:
            self.limit -= 1
        self.limit = min(self.limit, self.max_concurrency)

    def count_effective_slots(self, now_ms: float, requests: TrackedRequests) -> None:
        """Count the usable slots, which are all except those held by a stalled run.

        Runs stall when cores hang. A run also counts as stalled if the machine has become slow, or if its request
        costs far more than expected. If run times vary widely, the count is a few slots too low.
        """
        stalled_count = sum(_is_stalled(now_ms, request) for request in requests.on_cores())
        self.effective_slots = max(self.limit - stalled_count, 0.0)


def _is_stalled(now_ms: float, request: TrackedRequest) -> bool:
    core_ms = now_ms - request.started_at_ms - request.time_in_calls_ms
    usual_ms = max(request.expected_run_ms, request.statistics.run_ms.mean(now_ms))
    return core_ms > STALLED_RUN_FACTOR * usual_ms
