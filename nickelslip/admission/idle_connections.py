"""Idle connection timeout: how long clients' unused connections may stay open.

A full connection table refuses clients before their requests are read. While the cores are busy, this costs nothing and
saves the reading. While the cores are idle, it withholds work from them, so the timeout is lowered then.
"""

from __future__ import annotations

from nickelslip.admission.interface import Settings
from nickelslip.admission.interval_measurements import IntervalMeasurements

CROWDED_TABLE_FACTOR = 2.0  # the table is crowded above this many times the overload concurrency above the core count
MIN_TIMEOUT_FRACTION = 0.01
TIMEOUT_DECREASE_FACTOR = 0.8
TIMEOUT_INCREASE_FACTOR = 1 + 0.1
MIN_CHANGE_FRACTION = 0.1  # smaller changes of the timeout are not sent to clients


class IdleConnectionTimeout:
    """Adjusts the timeout between the clients' own timeout and one hundredth of it."""

    def __init__(self, settings: Settings) -> None:
        self._last_sent_ms = settings.idle_connection_timeout_ms
        self._fraction = 1.0
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Read the clients' own timeout and the number of clients from the settings."""
        self._max_timeout_ms = settings.idle_connection_timeout_ms
        self._client_count = settings.client_count

    def adjust(self, interval: IntervalMeasurements, overload_concurrency_above_cores: float) -> float | None:
        """Adjust the timeout after an adjustment interval, and return it if it has changed enough to be sent.

        If the table has space for all clients, the timeout does not change, because a lower one makes idle clients
        reconnect.
        """
        crowded_count = CROWDED_TABLE_FACTOR * overload_concurrency_above_cores
        if self._client_count <= crowded_count:
            return None
        if interval.are_cores_busy:
            self._fraction = min(1.0, self._fraction * TIMEOUT_INCREASE_FACTOR)
        elif interval.connection_count > crowded_count:
            self._fraction = max(MIN_TIMEOUT_FRACTION, self._fraction * TIMEOUT_DECREASE_FACTOR)
        timeout_ms = self._max_timeout_ms * self._fraction
        if abs(timeout_ms - self._last_sent_ms) <= MIN_CHANGE_FRACTION * self._last_sent_ms:
            return None
        self._last_sent_ms = timeout_ms
        return timeout_ms
