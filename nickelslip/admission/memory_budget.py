"""The memory budget for queued requests, running requests and idempotency records."""

from __future__ import annotations

from collections.abc import Iterator

from nickelslip.admission.idempotency_records import IdempotencyRecords
from nickelslip.admission.interface import Settings
from nickelslip.admission.tracked_request import START_ORDER, TrackedRequest, TrackedRequests

USABLE_MEMORY_FRACTION = 0.97


class MemoryBudget:
    """Checks what fits into memory, and selects the requests to drop when the budget is exceeded.

    Args:
        settings: Provides the memory size, and the memory use of requests and records.
        requests: All open requests.
        records: The idempotency records.
    """

    __slots__ = ("_requests", "_records", "_budget_kb", "_running_factor", "_record_kb")

    def __init__(self, settings: Settings, requests: TrackedRequests, records: IdempotencyRecords) -> None:
        self._requests = requests
        self._records = records
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Read the sizes from the settings."""
        self._budget_kb = settings.memory_kb * USABLE_MEMORY_FRACTION
        self._running_factor = settings.running_memory_factor
        self._record_kb = settings.idempotency_record_kb

    def used_kb(self) -> float:
        """Return the memory in use. Requests that are not queued or coalesced count with the running factor."""
        all_kb = _total_kb(self._requests.by_id)
        not_run_kb = _total_kb(self._requests.queued) + _total_kb(self._requests.coalesced)
        records_kb = self._record_kb * len(self._records)
        return records_kb + self._running_factor * all_kb - (self._running_factor - 1) * not_run_kb

    def has_room_for_record(self) -> bool:
        """Whether another idempotency record fits."""
        return self.used_kb() + self._record_kb <= self._budget_kb

    def has_room_to_start(self, request: TrackedRequest) -> bool:
        """Whether the additional memory of a queued request fits once it runs."""
        return self.used_kb() + (self._running_factor - 1) * request.memory_kb <= self._budget_kb

    def excess_requests(self) -> Iterator[TrackedRequest]:
        """Yield the requests to drop until memory use is within the budget.

        Queued requests come before coalesced ones, and the least urgent first. Each must have left its state before the
        next one is requested.
        """
        for waiting in (self._requests.queued, self._requests.coalesced):
            while waiting and self.used_kb() > self._budget_kb:
                yield max(waiting.values(), key=START_ORDER)


def _total_kb(requests: dict[int, TrackedRequest]) -> float:
    return sum(request.memory_kb for request in requests.values())
