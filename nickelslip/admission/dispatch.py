"""Dispatch: which queued request starts next."""

from __future__ import annotations

from collections.abc import Iterator

from nickelslip.admission.interface import Settings
from nickelslip.admission.memory_budget import MemoryBudget
from nickelslip.admission.tracked_request import PRIORITY, TrackedRequest, TrackedRequests

# A request of so many times the value per run time of all that runs may start one over the limit: long runs of little
# value would keep it waiting past its objective.
URGENT_VALUE_FACTOR = 2.0


class Dispatcher:
    """Chooses the requests that start.

    Args:
        settings: The size of the machine and the slots reserved for classes.
        requests: All requests in hand.
        memory: Tells whether a request may take the memory of a running one.
    """

    def __init__(self, settings: Settings, requests: TrackedRequests, memory: MemoryBudget) -> None:
        self._requests = requests
        self._memory = memory
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Take the size of the machine and the reserved slots from the settings."""
        self._core_count = settings.core_count
        self._max_concurrency = settings.max_concurrency
        self._reserved_slots = {
            each.name: each.reserved_slot_count for each in settings.traffic_classes if each.reserved_slot_count > 0
        }

    def requests_to_start(self, concurrency_limit: float, safe_concurrency: float) -> Iterator[TrackedRequest]:
        """Yield the requests that start, the most urgent first; each must have started before the next is asked for.

        Passed over are requests that have run and may not run again, requests that need a call while as many as the
        cores wait for permission to call, requests that would take a slot reserved for another class, and those that
        memory has no room for. Reserved slots are counted with the one slot over the limit.

        Args:
            concurrency_limit: The slots; one more is used by a request that is far more urgent than what runs.
            safe_concurrency: How many requests may be on the cores, those with a call in flight included.
        """
        in_flight_count = len(self._requests.call_in_flight)
        max_on_cores = min(safe_concurrency - in_flight_count, concurrency_limit + 1, self._max_concurrency)
        if self._requests.on_core_count() >= max_on_cores:
            return
        is_call_backlog_full = len(self._requests.awaiting_call) >= self._core_count
        for request in sorted(self._requests.queued.values(), key=PRIORITY):
            on_core_count = self._requests.on_core_count()
            if on_core_count >= max_on_cores:
                return
            if on_core_count >= concurrency_limit and not self._is_far_more_urgent(request):
                return
            if request.has_run and not request.statistics.is_idempotent:
                continue
            if is_call_backlog_full and request.statistics.makes_calls and not request.statistics.is_call_optional:
                continue
            if self._reserved_slots and on_core_count + self._unused_reserved_slots(request) >= max_on_cores:
                continue
            if self._memory.has_room_to_start(request):
                yield request

    def _is_far_more_urgent(self, request: TrackedRequest) -> bool:
        """Whether all that runs has far less value for its run time. Starting one more slows what runs."""
        running = [*self._requests.running.values(), *self._requests.degraded.values()]
        if not running:
            return False
        most_urgent_running = min(running, key=PRIORITY)
        return request.priority_key[0] <= URGENT_VALUE_FACTOR * most_urgent_running.priority_key[0]

    def _unused_reserved_slots(self, request: TrackedRequest) -> float:
        """Return the slots reserved for other classes than this request's that are not in use."""
        own_class = request.statistics.name
        free_slots = {name: slots for name, slots in self._reserved_slots.items() if name != own_class}
        for running in self._requests.on_cores():
            if running.statistics.name in free_slots:
                free_slots[running.statistics.name] -= 1
        return sum(max(0.0, slots) for slots in free_slots.values())
