"""The open requests of a server: one object per request, and tables of them by id and by state."""

from __future__ import annotations

from enum import Enum
from math import inf
from operator import attrgetter

from nickelslip.admission.class_statistics import ClassStatistics
from nickelslip.admission.interface import Arrival, RequestState

START_ORDER = attrgetter("priority_key")  # sort key: the most urgent request comes first


class CoreEntry(Enum):
    """How a run came onto the cores, or to be counted as on them."""

    STARTED = "it was started"
    RESUMED_WITH_REPLY = "its dependency call returned"
    RESUMED_WITHOUT_CALL = "it continues without its dependency call"
    ORPHANED_AT_CALL = "its request was answered or cancelled at a call, and its run has not ended"


class TrackedRequest:
    """An open request: it is tracked from its arrival until it is answered and its run has ended."""

    __slots__ = (
        "id",
        "statistics",
        "memory_kb",
        "cost_hint_ms",
        "tenant",
        "may_be_delayed_by_client",
        "deadline_at_ms",
        "expected_run_ms",
        "useful_until_ms",
        "state",
        "has_run",
        "core_entry",
        "started_at_ms",
        "time_in_calls_ms",
        "call_phase_began_at_ms",
        "call_not_before_ms",
        "call_ends_at_ms",
        "stop_requested_at_ms",
        "priority_key",
        "within_quota_fraction",
    )

    def __init__(self, arrival: Arrival, statistics: ClassStatistics, now_ms: float) -> None:
        received_at_ms = now_ms - arrival.read_delay_ms
        deadline_at_ms = received_at_ms + statistics.timeout_ms
        if arrival.deadline_at_ms is not None:
            # What a request holds until its deadline is bounded by the settings, not by its client.
            deadline_at_ms = min(arrival.deadline_at_ms, deadline_at_ms)
        self.id = arrival.id
        self.statistics = statistics
        self.memory_kb = arrival.memory_kb
        self.cost_hint_ms = arrival.cost_hint_ms
        self.tenant = arrival.tenant or ""
        self.may_be_delayed_by_client = arrival.may_be_delayed_by_client
        self.deadline_at_ms = max(now_ms, deadline_at_ms)
        self.expected_run_ms = statistics.expected_run_ms(now_ms, arrival.cost_hint_ms)
        self.useful_until_ms = min(
            self.deadline_at_ms,
            received_at_ms + statistics.latency_objective_ms + statistics.objective_stretch * self.expected_run_ms,
        )
        self.state = RequestState.QUEUED
        self.has_run = False
        self.core_entry: CoreEntry | None = None  # how its run last came onto the cores
        self.started_at_ms = now_ms
        self.time_in_calls_ms = 0.0  # total so far, including the wait for permission
        self.call_phase_began_at_ms = now_ms  # AWAITING_CALL or CALL_IN_FLIGHT: start of the current phase
        self.call_not_before_ms = inf  # AWAITING_CALL: earliest time of the next call
        self.call_ends_at_ms = inf  # CALL_IN_FLIGHT: when the call times out
        self.stop_requested_at_ms = -inf  # ORPHANED: when the server was last asked to stop its run
        self.priority_key = (0.0, 0.0, 0)  # requests with smaller keys start first
        self.within_quota_fraction = 1.0  # fraction of the tenant's recent starts within its quota


class TrackedRequests:
    """All open requests, by id in order of arrival, and by state in order of entry into it."""

    __slots__ = (
        "by_id",
        "by_state",
        "queued",
        "running",
        "degraded",
        "orphaned",
        "coalesced",
        "awaiting_call",
        "call_in_flight",
    )

    def __init__(self) -> None:
        self.by_id: dict[int, TrackedRequest] = {}
        self.by_state: dict[RequestState, dict[int, TrackedRequest]] = {state: {} for state in RequestState}
        self.queued = self.by_state[RequestState.QUEUED]
        self.running = self.by_state[RequestState.RUNNING]
        self.degraded = self.by_state[RequestState.DEGRADED]
        self.orphaned = self.by_state[RequestState.ORPHANED]
        self.coalesced = self.by_state[RequestState.COALESCED]
        self.awaiting_call = self.by_state[RequestState.AWAITING_CALL]
        self.call_in_flight = self.by_state[RequestState.CALL_IN_FLIGHT]

    def add(self, request: TrackedRequest) -> None:
        """Add a request that has arrived."""
        self.by_id[request.id] = request
        self.by_state[request.state][request.id] = request

    def on_core_count(self) -> int:
        """Return how many requests count as on a core: running, degraded and orphaned ones."""
        return len(self.running) + len(self.degraded) + len(self.orphaned)

    def on_cores(self) -> list[TrackedRequest]:
        """Return the requests that count as on a core: running, degraded and orphaned ones."""
        return [*self.running.values(), *self.degraded.values(), *self.orphaned.values()]

    def queued_run_ms(self) -> float:
        """Return the total expected run time of the queued requests."""
        return sum(request.expected_run_ms for request in self.queued.values())
