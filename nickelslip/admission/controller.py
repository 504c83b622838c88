"""The admission controller of one server: its events, the order of its rules, and the one transition of requests.

A server makes one `AdmissionController` from its settings and a seed, calls `start` once, and then one method for each
thing that happens. Each method takes the time in milliseconds and returns `Decisions`, which the server carries out
before it calls again. Nothing here reads a clock, does I/O or shares state.

Each rule is a module of its own in this package; docs/design.md gives the reason for each of them.
"""

from __future__ import annotations

import random
from math import inf

from nickelslip.admission.advertised_weight import AdvertisedWeight
from nickelslip.admission.answer_deadlines import AnswerDeadlines
from nickelslip.admission.attempt_age import attempt_age_ms
from nickelslip.admission.class_statistics import ClassStatistics
from nickelslip.admission.concurrency_limit import ConcurrencyLimit
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
    FINAL_STATES,
    Arrival,
    Decisions,
    Gauges,
    Health,
    Outcome,
    Preemption,
    RequestState,
    Settings,
    StateChange,
)
from nickelslip.admission.interval_measurements import ADJUSTMENT_INTERVAL_MS, IntervalMeasurements
from nickelslip.admission.memory_budget import MemoryBudget
from nickelslip.admission.overload_concurrency import OverloadConcurrency
from nickelslip.admission.queue_priority import QueuePriority
from nickelslip.admission.retry_after import RetryAfter
from nickelslip.admission.starved_classes import StarvedClasses
from nickelslip.admission.tenant_quotas import TenantQuotas
from nickelslip.admission.tracked_request import TrackedRequest, TrackedRequests

# A final state entered from one of these leaves nothing behind. From any other, the request is ORPHANED until the
# server says that its run is over.
STATES_OFF_THE_CORES = (RequestState.QUEUED, RequestState.COALESCED, RequestState.PAUSED)
# A request that ends like this without ever having run is no original to a retry: its idempotency record is dropped.
STATES_OF_REQUESTS_NOT_RUN = (RequestState.REJECTED, RequestState.CANCELLED)
STATE_AFTER_RUN = {Outcome.OK: RequestState.COMPLETED, Outcome.ERROR: RequestState.FAILED}

LEARNING_WINDOW_OBJECTIVES = 2.0  # recent means look back over so many of the longest latency objective


class AdmissionController:
    """Decides on the requests of one server.

    Args:
        settings: What the server knows of itself.
        seed: For the jitter of Retry-After; the same seed and events give the same decisions.
        now_ms: When the machine came up, which may be in the past.
    """

    def __init__(self, settings: Settings, seed: int, now_ms: float) -> None:
        longest_objective_ms = max(each.latency_objective_ms for each in settings.traffic_classes)
        self._window_ms = LEARNING_WINDOW_OBJECTIVES * longest_objective_ms  # fixed: what was learned is kept by it
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
        self._dispatcher = Dispatcher(settings, self._requests, self._memory)
        self._dependency_usage = DependencyUsage(settings, self._window_ms, now_ms)
        self._dependency_limit = DependencyLimit(settings, self._window_ms, self._overload, now_ms)
        self._dependency_calls = DependencyCalls(
            self._requests, self._deadlines, self._dependency_limit, self._dependency_usage, now_ms
        )
        self._idle_connections = IdleConnectionTimeout(settings)
        self._wake_at_ms = inf
        self._decisions = Decisions()
        self._adopt(settings)

    def _adopt(self, settings: Settings) -> None:
        """Take what the controller itself needs of the settings.

        Classes keep what was learned of them; requests in hand keep the class settings under which they arrived.
        """
        previous = self._classes
        self._classes = {}
        for traffic_class in settings.traffic_classes:
            statistics = ClassStatistics(traffic_class, self._window_ms)
            if traffic_class.name in previous:
                statistics.inherit(previous[traffic_class.name])
            self._classes[traffic_class.name] = statistics
        self._can_stop_runs = settings.preemption is not Preemption.NEVER
        self._response_cache_ms = settings.response_cache_ms
        self._health_check_costs_work = settings.health_check_costs_work

    # Events

    def start(self, now_ms: float) -> Decisions:
        """The process has come up. Where health checks cost work, they are to be answered from a cached result."""
        if self._health_check_costs_work:
            self._decisions.health = Health(is_healthy=True, is_cached=True)
        return self._decide(now_ms)

    def request_received(self, now_ms: float, arrival: Arrival) -> Decisions:
        """A request was read."""
        statistics = self._classes[arrival.traffic_class]
        request = TrackedRequest(arrival, statistics, now_ms)
        received_at_ms = now_ms - arrival.read_delay_ms
        self._requests.add(request)
        self._deadlines.watch(request)
        self._interval.record_request(arrival.read_delay_ms, statistics.latency_objective_ms)
        self._priority.record_arrival(now_ms, arrival)
        statistics.record_arrival(now_ms, arrival.is_retry)
        has_to_queue = self._has_to_queue()
        age_ms = attempt_age_ms(request, received_at_ms) if arrival.deadline_at_ms is not None else 0.0
        if has_to_queue:  # a free core takes what may still be in time
            request.useful_until_ms -= age_ms
        self._priority.rank(now_ms, request, arrival)
        if received_at_ms > self._drain.grace_ends_at_ms:
            self._reject(now_ms, request)
        else:
            self._admit(now_ms, request, arrival, has_to_queue, age_ms)
        return self._decide(now_ms)

    def run_ended(self, now_ms: float, request_id: int, outcome: Outcome, took_ms: float) -> Decisions:
        """A run is over, or the result of the original has come for a coalesced request.

        Args:
            now_ms: The present moment.
            request_id: The request.
            outcome: How it ended. CANCELLED while its answer is still due puts it back into the queue; one that must
                not run twice waits there to be answered when it is due.
            took_ms: The time of the run, calls included.
        """
        request = self._requests.by_id.get(request_id)
        if request is None:
            return self._decide(now_ms)
        if outcome is Outcome.CANCELLED and request.state in (RequestState.RUNNING, RequestState.DEGRADED):
            self._transition(now_ms, request, RequestState.QUEUED, notify=False)
            return self._decide(now_ms)
        if outcome is Outcome.OK and request.has_run and request.state is not RequestState.DEGRADED:
            core_ms = max(0.0, took_ms - request.at_calls_ms)
            request.statistics.record_completed_run(now_ms, core_ms, request.at_calls_ms, request.cost_hint_ms)
        state = STATE_AFTER_RUN.get(outcome, RequestState.CANCELLED)
        self._transition(now_ms, request, state, notify=False, is_run_over=True)
        return self._decide(now_ms)

    def call_requested(self, now_ms: float, request_id: int) -> Decisions:
        """A run has come to a dependency call and waits for permission."""
        request = self._requests.by_id.get(request_id)
        if request is None:
            return self._decide(now_ms)
        if request.state is RequestState.ORPHANED:  # nobody awaits its result: its run ends here
            self._transition(now_ms, request, RequestState.CANCELLED, notify=False, is_run_over=True)
        elif request.state in (RequestState.RUNNING, RequestState.DEGRADED):
            self._transition(now_ms, request, RequestState.AWAITING_CALL, notify=False)
            request.call_phase_began_at_ms = now_ms
            request.call_not_before_ms = -inf
        return self._decide(now_ms)

    def call_returned(self, now_ms: float, request_id: int, outcome: Outcome, took_ms: float) -> Decisions:
        """A dependency call has ended. Unless it went well, its request waits for permission again."""
        request = self._requests.by_id.get(request_id)
        if request is not None and request.state is RequestState.CALL_IN_FLIGHT:
            self._finish_call(now_ms, request, outcome, took_ms)
        return self._decide(now_ms)

    def limit_calls(self, now_ms: float, max_calls: float, pause_ms: float) -> Decisions:
        """The server starts slowly, or the dependency does not answer: so many calls at most, and none for so long."""
        self._dependency_limit.impose(now_ms, max_calls, pause_ms)
        return self._decide(now_ms)

    def client_disconnected(self, now_ms: float, request_id: int) -> Decisions:
        """The client of a request is gone: no answer is due."""
        request = self._requests.by_id.get(request_id)
        if request is not None and request.state is not RequestState.ORPHANED:
            self._transition(now_ms, request, RequestState.CANCELLED, notify=False)
        return self._decide(now_ms)

    def drain(self, now_ms: float, kill_at_ms: float) -> Decisions:
        """The server is told to shut down, and will be killed at the given moment."""
        self._drain.start(now_ms, kill_at_ms)
        self._deadlines.next_due_at_ms = now_ms
        self._decisions.health = Health(is_healthy=False, is_cached=True)
        return self._decide(now_ms)

    def settings_changed(self, now_ms: float, settings: Settings) -> Decisions:
        """Other settings apply from here on. Requests in hand and all that was learned stay."""
        self._adopt(settings)
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
            self._dispatcher,
            self._dependency_usage,
            self._idle_connections,
        ):
            rule.apply_settings(settings)
        self._deadlines.next_due_at_ms = now_ms  # the margins may have changed, and the spacing of calls
        self._dependency_limit.end_pause(now_ms)
        return self._decide(now_ms)

    def timer_fired(self, now_ms: float, gauges: Gauges) -> Decisions:
        """A wake-up that was asked for, with the gauges of the moment."""
        if now_ms >= self._wake_at_ms:
            self._wake_at_ms = inf
        if now_ms >= self._interval.ends_at_ms and gauges.cpu_utilization is not None:
            self._interval.record_gauges(gauges.cpu_utilization, gauges.connection_count or 0.0)
            self._concurrency.adjust(self._interval, has_queue=bool(self._requests.queued))
        return self._decide(now_ms)

    # Rules, in the order in which they are applied after each event

    def _decide(self, now_ms: float) -> Decisions:
        """Apply all rules and return what was decided since the last event."""
        if now_ms >= self._interval.ends_at_ms:
            self._end_interval(now_ms)
        self._stop_orphaned_runs(now_ms)
        self._answer_due_requests(now_ms)
        self._start_calls(now_ms)
        self._start_queued(now_ms)
        self._keep_memory_budget(now_ms)
        decisions = self._decisions
        self._decisions = Decisions()
        decisions.idempotency_updates = self._idempotency_records.take_updates()
        decisions.advertised_weight = self._weight.take_change(now_ms, self._drain)
        decisions.wake_in_ms = self._schedule_wake(now_ms)
        return decisions

    def _end_interval(self, now_ms: float) -> None:
        """Adapt what adapts once an interval."""
        self._weight.adjust(self._interval)
        self._concurrency.count_effective_slots(now_ms, self._requests)
        self._decisions.idle_connection_timeout_ms = self._idle_connections.adjust(
            self._interval, self._overload.extra_when_warm
        )
        self._starved_classes.update(now_ms, self._classes.values())
        self._interval.begin_next(now_ms)
        self._idempotency_records.drop_expired(now_ms)

    def _stop_orphaned_runs(self, now_ms: float) -> None:
        """Have runs stopped whose result nobody awaits, where runs can be stopped; again after an interval."""
        if not self._can_stop_runs:
            return
        for request in self._requests.orphaned.values():
            if now_ms - request.stop_requested_at_ms >= ADJUSTMENT_INTERVAL_MS:
                request.stop_requested_at_ms = now_ms
                self._decisions.state_changes.append(StateChange(request.id, RequestState.ORPHANED))

    def _answer_due_requests(self, now_ms: float) -> None:
        """Answer what falls due, and queued requests that can no longer be in time."""
        if not self._deadlines.is_scan_due(now_ms):
            return
        self._deadlines.last_scan_at_ms = now_ms
        requests = self._requests
        has_contention = requests.on_core_count() + len(requests.queued) > self._concurrency.limit
        for request in list(requests.queued.values()):
            if self._deadlines.is_due(now_ms, request) or is_late_if_started_now(
                now_ms, request, has_contention, self._deadlines
            ):
                self._give_up_queued(now_ms, request)
        if self._deadlines.is_any_due(now_ms):
            for request in self._deadlines.due_requests(now_ms, requests):
                self._transition(now_ms, request, RequestState.FAILED)
            self._deadlines.find_next_due(requests)

    def _start_calls(self, now_ms: float) -> None:
        """Let waiting requests call the dependency, go on without their call, or fail."""
        for decision in self._dependency_calls.decide(now_ms, self._overload.safe_concurrency(now_ms)):
            self._transition(now_ms, decision.request, decision.state, duration_ms=decision.timeout_ms)

    def _start_queued(self, now_ms: float) -> None:
        """Start queued requests while slots are free."""
        safe_concurrency = self._overload.safe_concurrency(now_ms)
        for request in self._dispatcher.requests_to_start(self._concurrency.limit, safe_concurrency):
            self._transition(now_ms, request, RequestState.RUNNING)

    def _keep_memory_budget(self, now_ms: float) -> None:
        """Give up requests until the rest fits into memory.

        The original of a coalesced request may have run, so that the request fails rather than being rejected.
        """
        for request in self._memory.excess_requests():
            if request.state is RequestState.QUEUED:
                self._reject(now_ms, request)
            else:
                self._transition(now_ms, request, RequestState.FAILED)

    def _schedule_wake(self, now_ms: float) -> float | None:
        """Return in how long the controller is to be called again, unless an earlier call has been asked for."""
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

    # Steps of the events

    def _has_to_queue(self) -> bool:
        """Whether a request that has just been added to the queue has to wait there, behind others or for a slot."""
        has_others_queued = len(self._requests.queued) > 1
        return has_others_queued or self._requests.on_core_count() >= self._concurrency.limit

    def _takes_result_of_original(self, request: TrackedRequest, arrival: Arrival) -> bool:
        """Whether the request is answered with the result of another one, whether that has run or not."""
        if arrival.original_request_id is None:
            return False
        if request.statistics.needs_idempotency_record:
            return True
        return request.statistics.is_idempotent and self._response_cache_ms > 0

    def _keep_idempotency_record(self, now_ms: float, request: TrackedRequest, arrival: Arrival) -> bool:
        """Record the request for its key; return False where it must not run since it could not be recorded."""
        statistics = request.statistics
        time_to_deadline_ms = request.deadline_at_ms - now_ms
        if statistics.needs_idempotency_record:
            return self._record(now_ms, request, max(statistics.idempotency_window_ms, time_to_deadline_ms))
        if self._response_cache_ms > 0 and arrival.has_key and statistics.is_idempotent:
            self._record(now_ms, request, time_to_deadline_ms + self._response_cache_ms)
        return True

    def _record(self, now_ms: float, request: TrackedRequest, retention_ms: float) -> bool:
        if not self._memory.has_room_for_record():
            return False
        self._idempotency_records.add(now_ms, request.id, retention_ms)
        return True

    def _admit(
        self, now_ms: float, request: TrackedRequest, arrival: Arrival, has_to_queue: bool, age_ms: float
    ) -> None:
        """Coalesce the request with its original, leave it in the queue, or reject it.

        It is rejected, in this order of the rules: where it needs an idempotency record and memory has no room for
        one; where its tenant is over its quota and it has to queue; where it is predicted to miss its deadline.
        """
        if self._takes_result_of_original(request, arrival):
            self._transition(now_ms, request, RequestState.COALESCED)
            return
        if not self._keep_idempotency_record(now_ms, request, arrival):
            self._reject(now_ms, request)
            return
        if has_to_queue and request.within_quota_fraction < 1:  # the whole fleet counts the tenant's quota
            self._reject(now_ms, request, retry_elsewhere_useless=True)
            return
        if has_to_queue:
            is_late = is_predicted_late(
                now_ms, request, self._requests, self._concurrency.effective_slots, self._deadlines
            )
        else:
            is_late = is_late_if_started_now(now_ms, request, has_contention=False, deadlines=self._deadlines)
        if is_late:
            is_useless = is_retry_elsewhere_useless(arrival, age_ms, self._weight.weight)
            self._reject(now_ms, request, retry_elsewhere_useless=is_useless)

    def _finish_call(self, now_ms: float, request: TrackedRequest, outcome: Outcome, took_ms: float) -> None:
        self._dependency_usage.count_until(now_ms, len(self._requests.call_in_flight))
        if outcome is Outcome.TIMEOUT:
            self._dependency_usage.record_abandoned(now_ms)
        if not outcome.proves_never_ran:
            self._dependency_limit.record_call(now_ms, took_ms, self._interval.last_read_delay_ms)
        request.at_calls_ms = request.at_calls_ms + now_ms - request.call_phase_began_at_ms
        request.call_phase_began_at_ms = now_ms
        self._dependency_calls.suspend_optional_calls(now_ms, request)
        if outcome is Outcome.OK:
            self._transition(now_ms, request, RequestState.RUNNING, notify=False)
            return
        self._transition(now_ms, request, RequestState.AWAITING_CALL, notify=False)
        if outcome.proves_never_ran:  # what sheds calls needs fewer of them, so that the next attempt waits
            request.call_not_before_ms = now_ms + self._dependency_limit.call_duration_ms.mean(now_ms)
            return
        request.call_not_before_ms = -inf
        if not request.statistics.is_idempotent:  # the call may have run, and must not run twice
            is_optional = request.statistics.is_call_optional
            self._transition(now_ms, request, RequestState.DEGRADED if is_optional else RequestState.FAILED)

    def _give_up_queued(self, now_ms: float, request: TrackedRequest) -> None:
        """Answer a queued request. One that has run and may not run again cannot be sent elsewhere."""
        if request.has_run and not request.statistics.is_idempotent:
            self._transition(now_ms, request, RequestState.FAILED)
        else:
            self._reject(now_ms, request)

    def _reject(self, now_ms: float, request: TrackedRequest, retry_elsewhere_useless: bool = False) -> None:
        """Answer a request that has not run, or that may run again, with the moment to come back."""
        self._interval.rejection_count += 1
        delay_ms = self._retry_after.delay_ms(
            now_ms,
            self._interval.last_read_delay_ms,
            self._requests.queued_run_ms(),
            self._concurrency.limit,
            self._drain,
        )
        self._transition(
            now_ms,
            request,
            RequestState.REJECTED,
            duration_ms=delay_ms,
            retry_elsewhere_useless=retry_elsewhere_useless and not self._drain.is_draining(now_ms),
        )

    # The transition

    def _transition(
        self,
        now_ms: float,
        request: TrackedRequest,
        state: RequestState,
        *,
        duration_ms: float = 0.0,
        retry_elsewhere_useless: bool = False,
        notify: bool = True,
        is_run_over: bool = False,
    ) -> None:
        """Change the state of a request. This is the only place that does.

        Args:
            now_ms: The present moment.
            request: The request.
            state: The state that it enters. Instead of a final state it enters ORPHANED while its run is on a core.
            duration_ms: REJECTED: when to come back; CALL_IN_FLIGHT: the timeout of the call.
            retry_elsewhere_useless: REJECTED: whether another server would not help.
            notify: Whether the server has to act on the change. It has not where it reported the change itself.
            is_run_over: Whether the server has reported that nothing of the request is left on a core.
        """
        previous = request.state
        is_final = state in FINAL_STATES
        if notify:
            self._decisions.state_changes.append(StateChange(request.id, state, duration_ms, retry_elsewhere_useless))
        if previous is RequestState.CALL_IN_FLIGHT:
            self._dependency_usage.count_until(now_ms, len(self._requests.call_in_flight))
            if is_final:
                self._dependency_usage.record_abandoned(now_ms)
        del self._requests.by_state[previous][request.id]
        if state in STATES_OF_REQUESTS_NOT_RUN and request.statistics.needs_idempotency_record and not request.has_run:
            self._idempotency_records.remove(request.id)
        if is_final and (is_run_over or previous in STATES_OFF_THE_CORES):
            del self._requests.by_id[request.id]
            return
        if previous is RequestState.QUEUED and state is RequestState.RUNNING:
            self._record_start(now_ms, request)
        request.state = RequestState.ORPHANED if is_final else state
        self._requests.by_state[request.state][request.id] = request

    def _record_start(self, now_ms: float, request: TrackedRequest) -> None:
        request.started_at_ms = now_ms
        request.has_run = True
        request.statistics.record_start(now_ms)
        self._quotas.record_start(now_ms, request.tenant)
