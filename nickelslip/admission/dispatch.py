"""Dispatch: selects the queued requests that start."""

from __future__ import annotations

from collections.abc import Iterator

from nickelslip.admission.interface import Settings
from nickelslip.admission.memory_budget import MemoryBudget
from nickelslip.admission.tracked_request import START_ORDER, TrackedRequest, TrackedRequests

# A request with at least this many times the value per run time of every running request may use one slot above the
# limit. Long runs of low value would otherwise keep it waiting past its objective.
URGENT_VALUE_FACTOR = 2.0


class Dispatcher:
    """Selects the queued requests that start.

    Args:
        settings: Provides the number of cores, the maximum concurrency and the slots reserved for classes.
        requests: All open requests.
        memory: Checks whether the memory of a started request fits.
    """

    def __init__(self, settings: Settings, requests: TrackedRequests, memory: MemoryBudget) -> None:
        self._requests = requests
        self._memory = memory
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Read the number of cores, the maximum concurrency and the reserved slots from the settings."""
        self._core_count = settings.core_count
        self._max_concurrency = settings.max_concurrency
        self._reserved_slots = {
            each.name: each.reserved_slot_count for each in settings.traffic_classes if each.reserved_slot_count > 0
        }

    def requests_to_start(self, concurrency_limit: float, safe_concurrency: float) -> Iterator[TrackedRequest]:
        """Yield the requests to start, most urgent first. Each must be started before the next one is requested.

        These requests are skipped: those that have run and must not run again; those that require a call, while as many
        requests as there are cores wait for permission to call; those that would use a slot reserved for another class;
        and those that do not fit into memory. Unused reserved slots are subtracted from the highest number of requests
        that may be on the cores, which includes the extra slot for urgent requests.

        Args:
            concurrency_limit: The number of slots. A request far more urgent than the running ones may use one more.
            safe_concurrency: How many requests may be on the cores or have a call in flight.
        """
        in_flight_count = len(self._requests.call_in_flight)
        max_on_cores = min(safe_concurrency - in_flight_count, concurrency_limit + 1, self._max_concurrency)
        if self._requests.on_core_count() >= max_on_cores:
            return
        is_call_backlog_full = len(self._requests.awaiting_call) >= self._core_count
        for request in sorted(self._requests.queued.values(), key=START_ORDER):
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
        """Whether the request has far more value per run time than all running ones, which another start slows down."""
        running = [*self._requests.running.values(), *self._requests.degraded.values()]
        if not running:
            return False
        most_urgent_running = min(running, key=START_ORDER)
        # The first item of a key is the negative value per run time.
        return request.priority_key[0] <= URGENT_VALUE_FACTOR * most_urgent_running.priority_key[0]

    def _unused_reserved_slots(self, request: TrackedRequest) -> float:
        """Return the number of unused slots that are reserved for other classes than that of the request."""
        own_class = request.statistics.name
        free_slots = {name: slots for name, slots in self._reserved_slots.items() if name != own_class}
        for running in self._requests.on_cores():
            if running.statistics.name in free_slots:
                free_slots[running.statistics.name] -= 1
        return sum(max(0.0, slots) for slots in free_slots.values())
