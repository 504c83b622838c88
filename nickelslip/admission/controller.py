"""The admission controller of one server: event methods, rule order and request state transitions.

A server creates one `AdmissionController` from its settings and a seed. It calls `start` once, then one method per
event. Each method takes the current time in milliseconds and returns `Decisions`, which the server must carry out
before its next call. The controller reads no clock, does no I/O and shares no state.

Each rule has its own module in this package. docs/design.md gives the reasons for the rules.
"""

from __future__ import annotations

import random
from math import inf

from nickelslip.admission.advertised_weight import AdvertisedWeight
from nickelslip.admission.answer_deadlines import AnswerDeadlines
from nickelslip.admission.arrival_admission import ArrivalAdmission
from nickelslip.admission.attempt_age import request_age_ms
from nickelslip.admission.call_returns import CallReturns
from nickelslip.admission.class_statistics import ClassStatistics, statistics_by_class
from nickelslip.admission.concurrency_limit import ConcurrencyLimit
from nickelslip.admission.core_occupancy import CoreOccupancy, core_occupancy
from nickelslip.admission.dependency_calls import DependencyCalls
from nickelslip.admission.dependency_limit import DependencyLimit
from nickelslip.admission.dependency_usage import DependencyUsage
from nickelslip.admission.dispatch import Dispatcher
from nickelslip.admission.drain_schedule import DrainSchedule
from nickelslip.admission.forced_endings import ForcedEndings
from nickelslip.admission.idempotency_records import IdempotencyRecords
from nickelslip.admission.idle_connections import IdleConnectionTimeout
from nickelslip.admission.interface import (
    Arrival,
    Decisions,
    Gauges,
    Health,
    Outcome,
    Preemption,
    RequestState,
    Settings,
)
from nickelslip.admission.interval_measurements import IntervalMeasurements
from nickelslip.admission.memory_budget import MemoryBudget
from nickelslip.admission.overload_concurrency import OverloadConcurrency
from nickelslip.admission.queue_priority import QueuePriority
from nickelslip.admission.record_retention import RecordRetention
from nickelslip.admission.rejections import Rejections
from nickelslip.admission.request_transitions import RequestTransitions
from nickelslip.admission.retry_after import RetryAfter
from nickelslip.admission.starved_classes import StarvedClasses
from nickelslip.admission.tenant_quotas import TenantQuotas
from nickelslip.admission.tracked_request import TrackedRequest, TrackedRequests
from nickelslip.admission.wake_up import WakeUp

STATE_AFTER_RUN = {Outcome.OK: RequestState.COMPLETED, Outcome.ERROR: RequestState.FAILED}

STATISTICS_WINDOW_PER_OBJECTIVE = 2.0  # window of the recent means, as a multiple of the longest latency objective


class AdmissionController:
    """Decides when the requests of one server start, call the dependency, and are rejected or failed.

    Args:
        settings: The configuration of the server.
        seed: Seed of the Retry-After jitter. The same seed and events produce the same decisions.
        now_ms: When the machine started, which may be in the past.
    """

    def __init__(self, settings: Settings, seed: int, now_ms: float) -> None:
        longest_objective_ms = max(each.latency_objective_ms for each in settings.traffic_classes)
        # The window never changes, because existing statistics depend on it.
        self._window_ms = STATISTICS_WINDOW_PER_OBJECTIVE * longest_objective_ms
        self._classes: dict[str, ClassStatistics] = {}
        self._requests = TrackedRequests()
        self._idempotency_records = IdempotencyRecords()
        self._interval = IntervalMeasurements(now_ms)
        self._decisions = Decisions()
        self._create_rules(settings, seed, now_ms)
        self._create_actions(settings, now_ms)
        self._adopt_settings(settings)

    def _create_rules(self, settings: Settings, seed: int, now_ms: float) -> None:
        """Create the rules that measure and limit; they do not change the state of a request."""
        self._drain = DrainSchedule(settings)
        self._deadlines = AnswerDeadlines(settings, self._drain)
        self._weight = AdvertisedWeight(settings)
        self._retry_after = RetryAfter(settings, random.Random(seed))
        self._concurrency = ConcurrencyLimit(settings)
        self._overload = OverloadConcurrency(settings, now_ms)
        self._quotas = TenantQuotas(settings, self._window_ms)
        self._starved_classes = StarvedClasses(settings)
        self._priority = QueuePriority(settings, self._window_ms, self._quotas, self._starved_classes)
        self._memory = MemoryBudget(settings, self._requests, self._idempotency_records)
        self._records = RecordRetention(settings, self._idempotency_records, self._memory)
        self._dispatcher = Dispatcher(settings, self._requests, self._memory)
        self._dependency_usage = DependencyUsage(settings, self._window_ms, now_ms)
        self._idle_connections = IdleConnectionTimeout(settings)

    def _create_actions(self, settings: Settings, now_ms: float) -> None:
        """Create what changes the states of requests, and the rules on calls."""
        self._transitions = RequestTransitions(self._requests, self._records, self._dependency_usage, self._quotas)
        self._rejections = Rejections(
            self._requests, self._transitions, self._retry_after, self._interval, self._concurrency, self._drain
        )
        self._arrivals = ArrivalAdmission(
            self._requests,
            self._transitions,
            self._rejections,
            self._records,
            self._concurrency,
            self._deadlines,
            self._drain,
            self._weight,
        )
        self._endings = ForcedEndings(
            self._requests, self._transitions, self._rejections, self._deadlines, self._concurrency, self._memory
        )
        self._dependency_limit = DependencyLimit(settings, self._window_ms, self._overload, now_ms)
        self._dependency_calls = DependencyCalls(
            self._requests, self._deadlines, self._dependency_limit, self._dependency_usage, now_ms
        )
        self._call_returns = CallReturns(self._transitions, self._dependency_calls, self._interval)
        self._wake_up = WakeUp(self._requests, self._interval, self._deadlines, self._dependency_limit)

    def _adopt_settings(self, settings: Settings) -> None:
        """Apply the settings that the controller itself uses.

        Traffic classes keep their statistics. Open requests keep the class settings under which they arrived.
        """
        self._classes = statistics_by_class(settings.traffic_classes, self._window_ms, self._classes)
        self._can_stop_runs = settings.preemption is not Preemption.NEVER
        self._health_check_costs_work = settings.health_check_costs_work

    def start(self, now_ms: float) -> Decisions:
        """Handle the start of the process: if health checks cost work, they are answered from a cached result."""
        if self._health_check_costs_work:
            self._decisions.health = Health(is_healthy=True, is_cached=True)
        return self._apply_rules(now_ms)

    def request_received(self, now_ms: float, arrival: Arrival) -> Decisions:
        """Handle a request that the server has read."""
        statistics = self._classes[arrival.traffic_class]
        request = TrackedRequest(arrival, statistics, now_ms)
        self._requests.add(request)
        self._deadlines.track(request)
        self._interval.record_request()
        if not arrival.may_be_delayed_by_client:
            self._interval.record_read_delay(arrival.read_delay_ms, statistics.latency_objective_ms)
        self._priority.record_arrival(now_ms, arrival)
        statistics.record_arrival(now_ms, arrival.is_retry)
        has_to_queue = self._arrivals.has_to_queue()
        age_ms = request_age_ms(request, now_ms - arrival.read_delay_ms) if arrival.deadline_at_ms is not None else 0.0
        if has_to_queue:  # on a free core an old request runs anyway, because it may still be in time
            request.useful_until_ms -= age_ms
        self._priority.set_priority(now_ms, request, arrival)
        self._arrivals.admit(now_ms, request, arrival, has_to_queue, age_ms)
        return self._apply_rules(now_ms)

    def run_ended(self, now_ms: float, request_id: int, outcome: Outcome, took_ms: float) -> Decisions:
        """Handle the end of a run or, for a coalesced request, the arrival of its original's result.

        Args:
            now_ms: The current time.
            request_id: The request.
            outcome: How the run ended. If a run is CANCELLED while its request is RUNNING or DEGRADED, the request
                returns to the queue. If it must not run twice, it stays there until it is answered.
            took_ms: The duration of the run, calls included.
        """
        request = self._requests.by_id.get(request_id)
        if request is None:
            return self._apply_rules(now_ms)
        if outcome is Outcome.CANCELLED and request.state in (RequestState.RUNNING, RequestState.DEGRADED):
            self._transitions.enter(now_ms, request, RequestState.QUEUED, notify=False)
            return self._apply_rules(now_ms)
        if outcome is Outcome.OK and request.has_run and request.state is not RequestState.DEGRADED:
            core_ms = max(0.0, took_ms - request.time_in_calls_ms)
            request.statistics.record_completed_run(now_ms, core_ms, request.time_in_calls_ms, request.cost_hint_ms)
        if outcome.proves_not_executed:
            self._records.run_not_started(request)
        state = STATE_AFTER_RUN.get(outcome, RequestState.CANCELLED)
        self._transitions.enter(now_ms, request, state, notify=False, has_run_ended=True)
        return self._apply_rules(now_ms)

    def call_requested(self, now_ms: float, request_id: int) -> Decisions:
        """Handle a run that has reached a dependency call and waits for permission."""
        request = self._requests.by_id.get(request_id)
        if request is None:
            return self._apply_rules(now_ms)
        if request.state is RequestState.ORPHANED:  # its result is no longer needed, so the run ends here
            self._transitions.enter(now_ms, request, RequestState.CANCELLED, notify=False, has_run_ended=True)
        elif request.state in (RequestState.RUNNING, RequestState.DEGRADED):
            self._transitions.enter(now_ms, request, RequestState.AWAITING_CALL, notify=False)
            request.call_phase_began_at_ms = now_ms
            request.call_not_before_ms = -inf
        return self._apply_rules(now_ms)

    def call_returned(self, now_ms: float, request_id: int, outcome: Outcome, took_ms: float) -> Decisions:
        """Handle the end of a dependency call.

        After a failure the request waits for permission again, unless the call may have run and must not run twice.
        """
        request = self._requests.by_id.get(request_id)
        if request is not None and request.state is RequestState.CALL_IN_FLIGHT:
            self._call_returns.finish(now_ms, request, outcome, took_ms)
        return self._apply_rules(now_ms)

    def limit_calls(self, now_ms: float, max_calls: float, pause_ms: float) -> Decisions:
        """Limit the calls in flight to `max_calls` and start none for `pause_ms`.

        The server calls this during slow start, or while the dependency does not respond.
        """
        self._dependency_limit.set_external_limit(now_ms, max_calls, pause_ms)
        return self._apply_rules(now_ms)

    def client_disconnected(self, now_ms: float, request_id: int) -> Decisions:
        """Handle the disconnect of a client, whose request no longer needs an answer."""
        request = self._requests.by_id.get(request_id)
        if request is not None and request.state is not RequestState.ORPHANED:
            self._transitions.enter(now_ms, request, RequestState.CANCELLED, notify=False)
        return self._apply_rules(now_ms)

    def drain(self, now_ms: float, kill_at_ms: float) -> Decisions:
        """Start a graceful shutdown of the server, which will be killed at `kill_at_ms`."""
        self._drain.start(now_ms, kill_at_ms)
        self._deadlines.next_due_at_ms = now_ms  # forces a scan, because requests must be answered before the kill
        self._decisions.health = Health(is_healthy=False, is_cached=True)
        return self._apply_rules(now_ms)

    def settings_changed(self, now_ms: float, settings: Settings) -> Decisions:
        """Apply new settings. Open requests and all statistics are kept."""
        self._adopt_settings(settings)
        self._overload.apply_settings(settings)
        self._dependency_limit.apply_settings(settings, self._overload)
        for rule in (
            self._drain,
            self._deadlines,
            self._weight,
            self._retry_after,
            self._concurrency,
            self._quotas,
            self._starved_classes,
            self._priority,
            self._memory,
            self._records,
            self._dispatcher,
            self._dependency_usage,
            self._idle_connections,
        ):
            rule.apply_settings(settings)
        self._deadlines.next_due_at_ms = now_ms  # forces a scan, because the margins may have changed
        self._dependency_limit.end_pause(now_ms)
        return self._apply_rules(now_ms)

    def timer_fired(self, now_ms: float, gauges: Gauges) -> Decisions:
        """Handle a requested wake-up, with the current gauges."""
        self._wake_up.timer_fired(now_ms)
        if now_ms >= self._interval.ends_at_ms and gauges.cpu_utilization is not None:
            self._interval.record_gauges(gauges.cpu_utilization, gauges.connection_count or 0.0)
            self._concurrency.adjust(self._interval, has_queue=bool(self._requests.queued))
        return self._apply_rules(now_ms)

    def core_occupancy(self, now_ms: float) -> CoreOccupancy:
        """Return which runs are on the cores now, and how each came there."""
        return core_occupancy(now_ms, self._requests, self._overload)

    def _apply_rules(self, now_ms: float) -> Decisions:
        """Apply the rules that follow every event, in a fixed order, and return the decisions since the last event."""
        if now_ms >= self._interval.ends_at_ms:
            self._end_interval(now_ms)
        if self._can_stop_runs:
            self._endings.stop_orphaned_runs(now_ms)
        self._endings.answer_due_requests(now_ms)
        self._fill_cores(now_ms)
        self._endings.enforce_memory_budget(now_ms)
        decisions = self._decisions
        self._decisions = Decisions()
        decisions.state_changes = self._transitions.take_changes()
        decisions.idempotency_updates = self._idempotency_records.take_updates()
        decisions.advertised_weight = self._weight.take_change(now_ms, self._drain)
        decisions.wake_in_ms = self._wake_up.next_wake_in_ms(now_ms)
        return decisions

    def _end_interval(self, now_ms: float) -> None:
        """Run the adjustments that are made once per interval, and start the next interval.

        The concurrency limit is adjusted in `timer_fired`, because that event brings the gauges.
        """
        self._weight.adjust(self._interval)
        self._concurrency.count_effective_slots(now_ms, self._requests)
        self._decisions.idle_connection_timeout_ms = self._idle_connections.adjust(
            self._interval, self._overload.extra_when_warm
        )
        self._starved_classes.update(now_ms, self._classes.values())
        self._interval.start_next(now_ms)
        self._idempotency_records.drop_expired(now_ms)

    def _fill_cores(self, now_ms: float) -> None:
        """Let waiting requests call the dependency, continue without their call, or fail; then start queued ones."""
        safe_concurrency = self._overload.safe_concurrency(now_ms)
        for decision in self._dependency_calls.decide(now_ms, safe_concurrency, self._concurrency.max_concurrency):
            self._transitions.enter(now_ms, decision.request, decision.state, duration_ms=decision.timeout_ms)
        for request in self._dispatcher.requests_to_start(self._concurrency.limit, safe_concurrency):
            self._transitions.enter(now_ms, request, RequestState.RUNNING)
