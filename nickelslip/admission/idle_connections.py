"""Idle connection timeout: how long clients' unused connections may stay open.

A full connection table turns clients away unseen. While the cores are busy that costs nothing and spares them the
reading; while they idle it keeps work from them, so that unused connections are closed sooner then.
"""

from __future__ import annotations

from nickelslip.admission.interface import Settings
from nickelslip.admission.interval_measurements import IntervalMeasurements

CROWDED_TABLE_FACTOR = 2.0  # the table counts as crowded from so many times the extra overload concurrency
MIN_TIMEOUT_FRACTION = 0.01
TIMEOUT_DECREASE_FACTOR = 0.8
TIMEOUT_INCREASE_FACTOR = 1 + 0.1
MIN_CHANGE_FRACTION = 0.1  # smaller changes of the timeout are not announced


class IdleConnectionTimeout:
    """Adapts the timeout between the clients' own and a hundredth of it."""

    def __init__(self, settings: Settings) -> None:
        self._announced_ms = settings.idle_connection_timeout_ms
        self._fraction = 1.0
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Take the clients' own timeout and their number from the settings."""
        self._max_timeout_ms = settings.idle_connection_timeout_ms
        self._client_count = settings.client_count

    def adjust(self, interval: IntervalMeasurements, extra_overload_concurrency: float) -> float | None:
        """Adapt the timeout after an adjustment interval; return it where it changed enough to be announced.

        Clients that all find a place are left alone. A client that pauses for longer than the timeout has to connect
        anew.
        """
        crowded_count = CROWDED_TABLE_FACTOR * extra_overload_concurrency
        if self._client_count <= crowded_count:
            return None
        if interval.are_cores_busy:
            self._fraction = min(1.0, self._fraction * TIMEOUT_INCREASE_FACTOR)
        elif interval.connection_count > crowded_count:
            self._fraction = max(MIN_TIMEOUT_FRACTION, self._fraction * TIMEOUT_DECREASE_FACTOR)
        timeout_ms = self._max_timeout_ms * self._fraction
        if abs(timeout_ms - self._announced_ms) <= MIN_CHANGE_FRACTION * self._announced_ms:
            return None
        self._announced_ms = timeout_ms
        return timeout_ms
