"""Which requests are recorded under their keys, for how long, and when a record is no longer needed.

A record under an idempotency key prevents a second run, and gives retries the result of the first. Any other record
only shares a result with requests of the same subject.
"""

from __future__ import annotations

from nickelslip.admission.idempotency_records import IdempotencyRecords
from nickelslip.admission.interface import Arrival, RequestState, Settings
from nickelslip.admission.memory_budget import MemoryBudget
from nickelslip.admission.tracked_request import TrackedRequest

# If a request with an idempotency key ends in one of these states without having run, a retry may run, so its record is
# dropped.
STATES_RELEASING_RECORD = (RequestState.REJECTED, RequestState.CANCELLED)


class RecordRetention:
    """Adds and removes the records of requests.

    Args:
        settings: Provides how long an answer may be shared.
        records: The records.
        memory: Checks whether a record fits.
    """

    __slots__ = ("_records", "_memory", "_response_cache_ms")

    def __init__(self, settings: Settings, records: IdempotencyRecords, memory: MemoryBudget) -> None:
        self._records = records
        self._memory = memory
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Read from the settings how long an answer may be shared."""
        self._response_cache_ms = settings.response_cache_ms

    def should_coalesce(self, request: TrackedRequest, arrival: Arrival) -> bool:
        """Whether the request takes the result of another one, which may not have finished yet."""
        if arrival.original_request_id is None:
            return False
        if request.statistics.needs_idempotency_record:
            return True
        return request.statistics.is_idempotent and self._response_cache_ms > 0

    def record_arrival(self, now_ms: float, request: TrackedRequest, arrival: Arrival) -> bool:
        """Record the request under its key. Return False if it must not run because the record does not fit."""
        statistics = request.statistics
        time_to_deadline_ms = request.deadline_at_ms - now_ms
        if statistics.needs_idempotency_record:
            return self._add_if_it_fits(now_ms, request, max(statistics.idempotency_window_ms, time_to_deadline_ms))
        if self._response_cache_ms > 0 and arrival.has_key and statistics.is_idempotent:
            self._add_if_it_fits(now_ms, request, time_to_deadline_ms + self._response_cache_ms)
        return True

    def _add_if_it_fits(self, now_ms: float, request: TrackedRequest, retention_ms: float) -> bool:
        if not self._memory.has_room_for_record():
            return False
        self._records.add(now_ms, request.id, retention_ms)
        return True

    def run_not_started(self, request: TrackedRequest) -> None:
        """Remove the record of a request whose run was never started: a retry may run."""
        self._records.remove(request.id)

    def request_ended(self, request: TrackedRequest, final_state: RequestState) -> None:
        """Remove the record of a request that has ended, unless it prevents a second run or shares a result."""
        if not _is_record_needed(request, final_state):
            self._records.remove(request.id)


def _is_record_needed(request: TrackedRequest, final_state: RequestState) -> bool:
    """Whether later requests need the record of a request that has ended in this state."""
    if request.statistics.needs_idempotency_record:
        return request.has_run or final_state not in STATES_RELEASING_RECORD
    return final_state is RequestState.COMPLETED
