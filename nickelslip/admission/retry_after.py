"""Retry-After: when a rejected client is asked to come back."""

from __future__ import annotations

import random

from nickelslip.admission.drain_schedule import DrainSchedule
from nickelslip.admission.interface import Settings

# With so many clients each is told the whole time to clear the queue. Fewer clients are told a part of it, since a few
# that stay away whole leave the cores idle.
CLIENT_COUNT_FOR_FULL_DELAY = 40
MIN_JITTER, MAX_JITTER = 0.75, 1.25  # so that not all clients come back at once


class RetryAfter:
    """Computes the delay that goes out with a rejection."""

    def __init__(self, settings: Settings, random_source: random.Random) -> None:
        self._random = random_source
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Take from the settings the longest delay that clients heed, and how many clients there are."""
        self._max_delay_ms = settings.retry_after_max_ms
        self._client_fraction = min(1.0, settings.client_count / CLIENT_COUNT_FOR_FULL_DELAY)

    def delay_ms(
        self, now_ms: float, read_delay_ms: float, queued_run_ms: float, concurrency_limit: float, drain: DrainSchedule
    ) -> float:
        """Return the delay: how long requests lie unread plus the time to clear the queue, with jitter.

        A draining server gives the longest delay that clients heed; where they heed none, the delay is 0. The jitter
        is drawn in any case, so that the sequence of draws does not depend on the drain.
        """
        jittered_fraction = self._client_fraction * self._random.uniform(MIN_JITTER, MAX_JITTER)
        if drain.is_draining(now_ms):
            return self._max_delay_ms
        delay_ms = (read_delay_ms + queued_run_ms / concurrency_limit) * jittered_fraction
        return min(delay_ms, self._max_delay_ms)
