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
from nickelslip.admission.attempt_age import request_age_ms
from nickelslip.admission.class_statistics import ClassStatistics
from nickelslip.admission.concurrency_limit import ConcurrencyLimit
from nickelslip.admission.core_occupancy import CoreOccupancy, core_occupancy
from nickelslip.admission.dependency_calls import DependencyCalls
from nickelslip.admission.dependency_limit import DependencyLimit
from nickelslip.admission.dependency_usage import DependencyUsage
from nickelslip.admission.dispatch import Dispatcher
from nickelslip.admission.drain_schedule import DrainSchedule
from nickelslip.admission.early_rejection import (
    is_late_if_started_now,
    is_predicted_late,
    is_retry_elsewhere_useless,
)
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
from nickelslip.admission.interval_measurements import ADJUSTMENT_INTERVAL_MS, IntervalMeasurements
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
        self._transitions = RequestTransitions(self._requests, self._records, self._dependency_usage, self._quotas)
        self._rejections = Rejections(
            self._requests, self._transitions, self._retry_after, self._interval, self._concurrency, self._drain
        )
        self._dependency_limit = DependencyLimit(settings, self._window_ms, self._overload, now_ms)
        self._dependency_calls = DependencyCalls(
            self._requests, self._deadlines, self._dependency_limit, self._dependency_usage, now_ms
        )
        self._idle_connections = IdleConnectionTimeout(settings)
        self._wake_at_ms = inf
        self._decisions = Decisions()
        self._adopt_settings(settings)

    def _adopt_settings(self, settings: Settings) -> None:
        """Apply the settings that the controller itself uses.

        Traffic classes keep their statistics. Open requests keep the class settings under which they arrived.
        """
        previous = self._classes
        self._classes = {}
        for traffic_class in settings.traffic_classes:
            statistics = ClassStatistics(traffic_class, self._window_ms)
            if traffic_class.name in previous:
                statistics.inherit(previous[traffic_class.name])
            self._classes[traffic_class.name] = statistics
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
        received_at_ms = now_ms - arrival.read_delay_ms
        self._requests.add(request)
        self._deadlines.track(request)
        self._interval.record_request(arrival.read_delay_ms, statistics.latency_objective_ms)
        self._priority.record_arrival(now_ms, arrival)
        statistics.record_arrival(now_ms, arrival.is_retry)
        has_to_queue = self._has_to_queue()
        age_ms = request_age_ms(request, received_at_ms) if arrival.deadline_at_ms is not None else 0.0
        if has_to_queue:  # on a free core an old request runs anyway, because it may still be in time
            request.useful_until_ms -= age_ms
        self._priority.set_priority(now_ms, request, arrival)
        if received_at_ms > self._drain.grace_ends_at_ms:
            self._rejections.reject(now_ms, request)
        else:
            self._admit(now_ms, request, arrival, has_to_queue, age_ms)
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
            self._finish_call(now_ms, request, outcome, took_ms)
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
        if now_ms >= self._wake_at_ms:
            self._wake_at_ms = inf
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
        self._stop_orphaned_runs(now_ms)
        self._answer_due_requests(now_ms)
        self._start_calls(now_ms)
        self._start_queued(now_ms)
        self._enforce_memory_budget(now_ms)
        decisions = self._decisions
        self._decisions = Decisions()
        decisions.state_changes = self._transitions.take_changes()
        decisions.idempotency_updates = self._idempotency_records.take_updates()
        decisions.advertised_weight = self._weight.take_change(now_ms, self._drain)
        decisions.wake_in_ms = self._schedule_wake(now_ms)
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

    def _stop_orphaned_runs(self, now_ms: float) -> None:
        """Tell the server to stop orphaned runs, if it can stop runs. The instruction is repeated once per interval."""
        if not self._can_stop_runs:
            return
        for request in self._requests.orphaned.values():
            if now_ms - request.stop_requested_at_ms >= ADJUSTMENT_INTERVAL_MS:
                request.stop_requested_at_ms = now_ms
                self._transitions.request_stop(request)

    def _answer_due_requests(self, now_ms: float) -> None:
        """Answer requests whose answer is due, and queued requests that can no longer finish in time."""
        if not self._deadlines.is_scan_due(now_ms):
            return
        self._deadlines.last_scan_at_ms = now_ms
        requests = self._requests
        has_contention = requests.on_core_count() + len(requests.queued) > self._concurrency.limit
        for request in list(requests.queued.values()):
            if self._deadlines.is_due(now_ms, request) or is_late_if_started_now(
                now_ms, request, has_contention, self._deadlines
            ):
                self._rejections.reject_or_fail_queued(now_ms, request)
        if self._deadlines.is_any_due(now_ms):
            for request in self._deadlines.due_requests(now_ms, requests):
                self._transitions.enter(now_ms, request, RequestState.FAILED)
            self._deadlines.update_next_due(requests)

    def _start_calls(self, now_ms: float) -> None:
        """Let waiting requests call the dependency, continue without their call, or fail."""
        safe_concurrency = self._overload.safe_concurrency(now_ms)
        for decision in self._dependency_calls.decide(now_ms, safe_concurrency, self._concurrency.max_concurrency):
            self._transitions.enter(now_ms, decision.request, decision.state, duration_ms=decision.timeout_ms)

    def _start_queued(self, now_ms: float) -> None:
        """Start queued requests while slots are free."""
        safe_concurrency = self._overload.safe_concurrency(now_ms)
        for request in self._dispatcher.requests_to_start(self._concurrency.limit, safe_concurrency):
            self._transitions.enter(now_ms, request, RequestState.RUNNING)

    def _enforce_memory_budget(self, now_ms: float) -> None:
        """Reject or fail requests until the others fit into memory.

        A queued request is rejected, even if it has run and must not run twice. A coalesced request fails instead,
        because its original may have run.
        """
        for request in self._memory.excess_requests():
            if request.state is RequestState.QUEUED:
                self._rejections.reject(now_ms, request)
            else:
                self._transitions.enter(now_ms, request, RequestState.FAILED)

    def _schedule_wake(self, now_ms: float) -> float | None:
        """Return the time until the next wake-up, or None if an earlier or equal one is already scheduled."""
        margin_ms = self._deadlines.margin_ms
        wake_at_ms = min(self._interval.ends_at_ms, self._deadlines.next_due_at_ms - margin_ms)
        next_call_at_ms = self._dependency_limit.next_call_at_ms
        if self._requests.awaiting_call and next_call_at_ms > now_ms:
            wake_at_ms = min(wake_at_ms, next_call_at_ms)
        wake_at_ms = max(now_ms + margin_ms / 2, wake_at_ms)
        if wake_at_ms >= self._wake_at_ms:
            return None
        self._wake_at_ms = wake_at_ms
        return wake_at_ms - now_ms

    def _has_to_queue(self) -> bool:
        """Whether a request just added to the queue must wait there, behind other requests or for a slot."""
        has_others_queued = len(self._requests.queued) > 1
        return has_others_queued or self._requests.on_core_count() >= self._concurrency.limit

    def _admit(
        self, now_ms: float, request: TrackedRequest, arrival: Arrival, has_to_queue: bool, age_ms: float
    ) -> None:
        """Coalesce the request with its original, leave it in the queue, or reject it.

        These rules reject it, in this order: it needs an idempotency record that does not fit into memory; it has to
        queue and its tenant is over its quota; it is predicted to be answered too late to be useful.
        """
        if self._records.should_coalesce(request, arrival):
            self._transitions.enter(now_ms, request, RequestState.COALESCED)
            return
        if not self._records.record_arrival(now_ms, request, arrival):
            self._rejections.reject(now_ms, request)
            return
        if has_to_queue and request.within_quota_fraction < 1:  # other servers enforce the quota, too
            self._rejections.reject(now_ms, request, retry_elsewhere_useless=True)
            return
        if has_to_queue:
            is_late = is_predicted_late(
                now_ms, request, self._requests, self._concurrency.effective_slots, self._deadlines
            )
        else:
            is_late = is_late_if_started_now(now_ms, request, has_contention=False, deadlines=self._deadlines)
        if is_late:
            is_useless = is_retry_elsewhere_useless(arrival, age_ms, self._weight.weight)
            self._rejections.reject(now_ms, request, retry_elsewhere_useless=is_useless)

    def _finish_call(self, now_ms: float, request: TrackedRequest, outcome: Outcome, took_ms: float) -> None:
        self._dependency_calls.record_return(now_ms, request, outcome, took_ms, self._interval.last_read_delay_ms)
        if outcome is Outcome.OK:
            self._transitions.enter(now_ms, request, RequestState.RUNNING, notify=False)
            return
        self._transitions.enter(now_ms, request, RequestState.AWAITING_CALL, notify=False)
        self._dependency_calls.schedule_retry(now_ms, request, outcome)
        if not outcome.proves_not_executed and not request.statistics.is_idempotent:  # it must not run twice
            is_optional = request.statistics.is_call_optional
            self._transitions.enter(now_ms, request, RequestState.DEGRADED if is_optional else RequestState.FAILED)
