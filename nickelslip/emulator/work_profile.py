"""The work of runs: how long each part of a run takes, where it makes calls, and what it responds."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

WORK_BEFORE_CALLS_FRACTION = 0.5


def expected_response(body: bytes) -> bytes:
    """Return the response body that a run produces from a request body; response checks use it too."""
    return body[::-1]


@dataclass(frozen=True)
class WorkProfile:
    """The work and the calls of runs, by traffic class.

    Attributes:
        work_ms: Work by traffic class, in milliseconds at a speed of 1.
        calls: Mean number of dependency calls by traffic class.
        spread: The work of each run is drawn uniformly within plus or minus this fraction of the mean.
    """

    work_ms: dict[str, float]
    calls: dict[str, float] = field(default_factory=dict)
    spread: float = 0.3

    def draw_parts(self, traffic_class: str, calls_factor: float, generator: random.Random) -> list[float]:
        """Draw the work of a run in milliseconds, in parts with a dependency call after each but the last.

        Args:
            traffic_class: The traffic class of the request.
            calls_factor: Multiplies the mean number of calls.
            generator: Generator of the draws.
        """
        work_ms = self.work_ms[traffic_class] * generator.uniform(1 - self.spread, 1 + self.spread)
        mean_calls = self.calls.get(traffic_class, 0.0) * calls_factor
        call_count = int(mean_calls) + (generator.random() < mean_calls % 1)
        if not call_count:
            return [work_ms]
        first_ms = work_ms * WORK_BEFORE_CALLS_FRACTION
        last_ms = work_ms * (1 - WORK_BEFORE_CALLS_FRACTION)
        return [first_ms, *[0.0] * (call_count - 1), last_ms]


@dataclass
class Run:
    """A run and its progress.

    Attributes:
        parts_ms: The remaining work, in parts with a dependency call after each but the last.
        blocked_sequence: Sequence number of the notification of the call that the run waits for; 0 if none.
    """

    request_id: str
    traffic_class: str
    body: bytes
    started_at_ms: float
    parts_ms: list[float]
    blocked_sequence: int = 0
