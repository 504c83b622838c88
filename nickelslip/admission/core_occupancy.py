"""Which runs are on the cores, and how each came there. For logs; no rule depends on it."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from nickelslip.admission.overload_concurrency import OverloadConcurrency
from nickelslip.admission.tracked_request import CoreEntry, TrackedRequests


class CoreOccupancy(NamedTuple):
    """The runs on the cores at one moment.

    Attributes:
        on_core_count: Requests that count as on a core.
        awaiting_call_count: Requests that wait for permission to call.
        call_in_flight_count: Requests with a call in flight.
        safe_concurrency: How many requests may be on the cores or have a call in flight.
        entries: The requests on the cores by the way in which they came there.
    """

    on_core_count: int
    awaiting_call_count: int
    call_in_flight_count: int
    safe_concurrency: float
    entries: Counter[CoreEntry | None]

    @property
    def is_crowded(self) -> bool:
        """Whether more runs are on the cores than the rules put there; one may exceed a limit that is a fraction."""
        return self.on_core_count >= self.safe_concurrency + 1


def core_occupancy(now_ms: float, requests: TrackedRequests, overload: OverloadConcurrency) -> CoreOccupancy:
    """Return the runs that are on the cores now."""
    return CoreOccupancy(
        requests.on_core_count(),
        len(requests.awaiting_call),
        len(requests.call_in_flight),
        overload.safe_concurrency(now_ms),
        Counter(request.core_entry for request in requests.on_cores()),
    )
