"""Retry-After: the delay after which a rejected client should retry."""

from __future__ import annotations

import random

from nickelslip.admission.drain_schedule import DrainSchedule
from nickelslip.admission.interface import Settings

# With this many clients or more, Retry-After covers the whole time to clear the queue. With fewer clients it covers
# a part of it, because the cores become idle if a few clients all stay away for the whole time.
CLIENT_COUNT_FOR_FULL_DELAY = 40
MIN_JITTER, MAX_JITTER = 0.75, 1.25  # so that clients do not all retry at once


class RetryAfter:
    """Computes the Retry-After delay of a rejection."""

    def __init__(self, settings: Settings, random_source: random.Random) -> None:
        self._random = random_source
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Read the longest delay that is passed on to clients and the number of clients from the settings."""
        self._max_delay_ms = settings.retry_after_max_ms
        self._client_fraction = min(1.0, settings.client_count / CLIENT_COUNT_FOR_FULL_DELAY)

    def delay_ms(
        self, now_ms: float, read_delay_ms: float, queued_run_ms: float, concurrency_limit: float, drain: DrainSchedule
    ) -> float:
        """Return the read delay plus the time to clear the queue, reduced for few clients, jittered and capped.

        A draining server returns the longest delay that is passed on to clients, which is 0 if none is. The jitter is
        drawn in every case, so the sequence of random draws does not depend on the drain.
        """
        jittered_fraction = self._client_fraction * self._random.uniform(MIN_JITTER, MAX_JITTER)
        if drain.is_draining(now_ms):
            return self._max_delay_ms
        delay_ms = (read_delay_ms + queued_run_ms / concurrency_limit) * jittered_fraction
        return min(delay_ms, self._max_delay_ms)
