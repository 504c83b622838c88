"""A simple model of a server that carries out the decisions of the controller and checks them."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum, auto

from nickelslip.admission.controller import AdmissionController
from nickelslip.admission.interface import (
    Arrival,
    Decisions,
    Gauges,
    LoadSignal,
    Outcome,
    Preemption,
    RequestState,
    RetrySafety,
    Settings,
    TrafficClass,
)

READ = TrafficClass("read", 1.0, 1000.0, 3000.0, RetrySafety.IDEMPOTENT, makes_calls=True, degraded_value_fraction=0.5)
PAY = TrafficClass("pay", 3.0, 500.0, 1500.0, RetrySafety.NON_IDEMPOTENT, makes_calls=True)
BOOK = TrafficClass("book", 2.0, 800.0, 2000.0, RetrySafety.IDEMPOTENCY_KEY, idempotency_window_ms=4000.0)

TOLERANCE = 1e-6
UNLIMITED_CALL_MS = 1e9
RELAXED_BOUNDS = ("memory_kb", "core_count", "overload_concurrency_per_core", "dependency_concurrency_share")


def build_settings(**changes: object) -> Settings:
    """Return the settings of a small server with three traffic classes, with the given changes."""
    base: dict[str, object] = dict(
        traffic_classes=(READ, PAY, BOOK),
        core_count=2,
        memory_kb=2000.0,
        running_memory_factor=4.0,
        starts_cold=False,
        cold_speed_fraction=0.3,
        warm_up_ms=8000.0,
        overload_concurrency_per_core=4.0,
        answer_slack_ms=60.0,
        drain_grace_ms=1000.0,
        tick_ms=5.0,
        load_signal=LoadSignal.SELECTION_PROBABILITY,
        retry_after_max_ms=999.0,
        dependency_concurrency_share=2.0,
        dependency_window_ms=2000.0,
        abandoned_call_linger_ms=200.0,
        idempotency_record_kb=20.0,
        clients_mark_retries=True,
    )
    return Settings(**{**base, **changes})  # type: ignore[arg-type]


class Stage(Enum):
    """The stage of a request: COALESCED waits for another's result, ENDED uses no resources."""

    QUEUED = auto()
    RUNNING = auto()
    AWAITING_CALL = auto()
    CALL_IN_FLIGHT = auto()
    COALESCED = auto()
    ENDED = auto()


@dataclass
class ModelledRequest:
    """A request in the model.

    Attributes:
        traffic_class: Its class.
        memory_kb: Its memory use while it is queued.
        deadline_at_ms: When its client times out.
        arrived_at_ms: When it reached the server.
        stage: Its current stage.
        run_count: How often it was started.
        answer_count: How often it was answered.
        is_abandoned: Whether its client has disconnected.
        has_unconfirmed_call: Whether one of its calls failed and may have run.
    """

    traffic_class: TrafficClass
    memory_kb: float
    deadline_at_ms: float
    arrived_at_ms: float
    stage: Stage = Stage.QUEUED
    run_count: int = 0
    answer_count: int = 0
    is_abandoned: bool = False
    has_unconfirmed_call: bool = False

    @property
    def needs_no_answer(self) -> bool:
        """Whether it was answered or its client has disconnected."""
        return bool(self.answer_count) or self.is_abandoned

    @property
    def may_not_run_again(self) -> bool:
        """Whether it has run and is not safe to run again."""
        return bool(self.run_count) and self.traffic_class.retry_safety is not RetrySafety.IDEMPOTENT


class AdmissionModel:
    """Carries out the decisions of the controller, and fails the test if one violates a rule.

    Args:
        settings: The settings, by default those of `build_settings`.
        seed: The seed of the controller.

    Attributes:
        settings: The settings in force.
        now_ms: The model's clock.
        requests: All requests by id.
        advertised_weights: All advertised weights, in order.
        last_decisions: The decisions of the last call.
        kill_at_ms: When the server is killed after a drain, or None.
        record_expires_at_ms: When each idempotency record expires, by request id.
    """

    def __init__(self, settings: Settings | None = None, seed: int = 1) -> None:
        self.settings = settings or build_settings()
        self.now_ms = 0.0
        self.kill_at_ms: float | None = None
        self.requests: dict[int, ModelledRequest] = {}
        self.record_expires_at_ms: dict[int, float] = {}
        self.advertised_weights: list[float] = []
        self._bounds = self.settings
        self._timers_at_ms: list[float] = []
        self._drain_began_at_ms: float | None = None
        self._call_spans: list[tuple[float, float]] = []
        self._call_started_at_ms: dict[int, float] = {}
        self._call_times_out_at_ms: dict[int, float] = {}
        self.controller = AdmissionController(self.settings, seed, 0.0)
        self.last_decisions = self.apply(self.controller.start(0.0))

    def apply(self, decisions: Decisions) -> Decisions:
        """Carry out the decisions, check the rules, and return the decisions."""
        self.last_decisions = decisions
        if decisions.advertised_weight is not None:
            self.advertised_weights.append(decisions.advertised_weight)
        if decisions.wake_in_ms is not None:
            assert decisions.wake_in_ms > 0
            self._timers_at_ms.append(self.now_ms + decisions.wake_in_ms)
        for update in decisions.idempotency_updates:
            self.record_expires_at_ms[update.id] = self.now_ms + update.retention_ms
        for change in decisions.state_changes:
            self._apply_state_change(change.id, change.state, change.duration_ms)
        if decisions.state_changes or decisions.idempotency_updates:
            self.check()
        return decisions

    def _apply_state_change(self, request_id: int, state: RequestState, duration_ms: float) -> None:
        if state in (RequestState.REJECTED, RequestState.FAILED):
            self._answer_without_result(request_id, state)
        elif state is RequestState.RUNNING:
            self._start_run(request_id)
        elif state is RequestState.CALL_IN_FLIGHT:
            self._start_call(request_id, duration_ms)
        elif state is RequestState.DEGRADED:
            self._continue_without_call(request_id)
        elif state is RequestState.COALESCED:
            self.requests[request_id].stage = Stage.COALESCED
        else:
            self._orphan(request_id, state)

    def _answer_without_result(self, request_id: int, state: RequestState) -> None:
        request = self.requests[request_id]
        request.answer_count += 1
        assert request.answer_count == 1 and not request.is_abandoned, "answered twice, or after a disconnect"
        assert not (state is RequestState.REJECTED and request.may_not_run_again), "rejected although it has run"
        if request.stage is not Stage.RUNNING:
            self._end(request_id)

    def _start_run(self, request_id: int) -> None:
        request = self.requests[request_id]
        assert request.stage is Stage.QUEUED and not request.answer_count and not request.may_not_run_again, (
            "started while not queued, after its answer, or again although that is unsafe"
        )
        assert (
            self._drain_began_at_ms is None
            or request.arrived_at_ms <= self._drain_began_at_ms + self._bounds.drain_grace_ms
        ), "started although it arrived after the grace period"
        if request.traffic_class.retry_safety is RetrySafety.IDEMPOTENCY_KEY:
            window_ends_at_ms = request.arrived_at_ms + request.traffic_class.idempotency_window_ms
            assert self.record_expires_at_ms[request_id] >= window_ends_at_ms, "started without its idempotency record"
        request.stage = Stage.RUNNING
        request.run_count += 1

    def _start_call(self, request_id: int, timeout_ms: float) -> None:
        request = self.requests[request_id]
        is_idempotent = request.traffic_class.retry_safety is RetrySafety.IDEMPOTENT
        assert request.stage is Stage.AWAITING_CALL and not request.answer_count
        assert is_idempotent or not request.has_unconfirmed_call, "repeated a call that may have run"
        request.stage = Stage.CALL_IN_FLIGHT
        self._call_started_at_ms[request_id] = self.now_ms
        self._call_times_out_at_ms[request_id] = self.now_ms + (timeout_ms or UNLIMITED_CALL_MS)

    def _continue_without_call(self, request_id: int) -> None:
        request = self.requests[request_id]
        assert request.stage is Stage.AWAITING_CALL and request.traffic_class.degraded_value_fraction > 0
        request.stage = Stage.RUNNING

    def _orphan(self, request_id: int, state: RequestState) -> None:
        request = self.requests[request_id]
        assert (
            state is RequestState.ORPHANED
            and self._bounds.preemption is not Preemption.NEVER
            and request.stage in (Stage.RUNNING, Stage.ENDED)
        )
        assert request.needs_no_answer
        self._end(request_id)

    def _end(self, request_id: int) -> None:
        request = self.requests[request_id]
        if request.stage is Stage.CALL_IN_FLIGHT:
            lingers_until_ms = self.now_ms + self._bounds.abandoned_call_linger_ms
            self._call_spans.append((self._call_started_at_ms.pop(request_id), lingers_until_ms))
        request.stage = Stage.ENDED

    def check(self) -> None:
        """Check the limits on concurrency, memory, answers and calls."""
        self._check_concurrency()
        self._check_memory_and_answers()
        if self._bounds.dependency_concurrency_share:
            self._check_dependency_concurrency()

    def _check_concurrency(self) -> None:
        bounds = self._bounds
        warm_fraction = 1.0
        if bounds.starts_cold:
            cold = bounds.cold_speed_fraction
            warm_fraction = min(1.0, cold + (1 - cold) * self.now_ms / bounds.warm_up_ms)
        max_running = bounds.core_count * (1 + (bounds.overload_concurrency_per_core - 1) * warm_fraction)
        returning = self.ids_in(Stage.CALL_IN_FLIGHT)  # onto the cores, without asking
        assert len(self.ids_in(Stage.RUNNING)) + len(returning) <= max_running + TOLERANCE, "the cores are crowded"

    def _check_memory_and_answers(self) -> None:
        bounds = self._bounds
        used_kb = sum(
            bounds.idempotency_record_kb for until in self.record_expires_at_ms.values() if until > self.now_ms
        )
        memory_factors = {Stage.ENDED: 0, Stage.QUEUED: 1, Stage.COALESCED: 1}
        for request in self.requests.values():
            used_kb += request.memory_kb * memory_factors.get(request.stage, bounds.running_memory_factor)
            assert request.needs_no_answer or self.now_ms <= request.deadline_at_ms + bounds.answer_slack_ms, (
                "answer is overdue"
            )
            assert request.needs_no_answer or self.kill_at_ms is None or self.now_ms < self.kill_at_ms
        assert used_kb <= bounds.memory_kb + TOLERANCE

    def _check_dependency_concurrency(self) -> None:
        window_ms = self._bounds.dependency_window_ms
        begin_ms = self.now_ms - window_ms
        spans = self._call_spans + [(since, self.now_ms) for since in self._call_started_at_ms.values()]
        mean = sum(max(0.0, min(end, self.now_ms) - max(since, begin_ms)) for since, end in spans) / window_ms
        assert mean <= self._bounds.dependency_concurrency_share + TOLERANCE

    def receive_request(
        self,
        request_id: int,
        traffic_class: TrafficClass,
        memory_kb: float = 10.0,
        timeout_ms: float | None = None,
        read_delay_ms: float = 0.0,
        **fields: object,
    ) -> Decisions:
        """Pass a request that arrived read_delay_ms ago to the controller."""
        arrived_at_ms = self.now_ms - read_delay_ms
        deadline_at_ms = None if timeout_ms is None else max(self.now_ms, arrived_at_ms + timeout_ms)
        self.requests[request_id] = ModelledRequest(
            traffic_class,
            memory_kb,
            deadline_at_ms or max(self.now_ms, arrived_at_ms + traffic_class.timeout_ms),
            arrived_at_ms,
        )
        arrival = Arrival(
            request_id,
            traffic_class.name,
            memory_kb,
            deadline_at_ms=deadline_at_ms,
            read_delay_ms=read_delay_ms,
            **fields,  # type: ignore[arg-type]
        )
        return self.apply(self.controller.request_received(self.now_ms, arrival))

    def end_run(self, request_id: int, outcome: Outcome = Outcome.OK, duration_ms: float = 100.0) -> Decisions:
        """End a run that took duration_ms."""
        request = self.requests[request_id]
        has_result = outcome in (Outcome.OK, Outcome.ERROR)
        if request.stage in (Stage.RUNNING, Stage.COALESCED) and has_result and not request.is_abandoned:
            request.answer_count = 1
        self._end(request_id)
        return self.apply(self.controller.run_ended(self.now_ms, request_id, outcome, duration_ms))

    def request_call(self, request_id: int) -> Decisions:
        """Let a run reach its call."""
        request = self.requests[request_id]
        request.stage = Stage.ENDED if request.needs_no_answer else Stage.AWAITING_CALL
        return self.apply(self.controller.call_requested(self.now_ms, request_id))

    def return_call(self, request_id: int, outcome: Outcome) -> Decisions:
        """End a call with this outcome."""
        request = self.requests[request_id]
        started_at_ms = self._call_started_at_ms.pop(request_id)
        linger_ms = self._bounds.abandoned_call_linger_ms if outcome is Outcome.TIMEOUT else 0.0
        self._call_spans.append((started_at_ms, self.now_ms + linger_ms))
        request.stage = Stage.RUNNING if outcome is Outcome.OK else Stage.AWAITING_CALL
        request.has_unconfirmed_call = outcome is not Outcome.OK and not outcome.proves_not_executed
        duration_ms = self.now_ms - started_at_ms
        return self.apply(self.controller.call_returned(self.now_ms, request_id, outcome, duration_ms))

    def disconnect_client(self, request_id: int) -> Decisions:
        """Disconnect the client of a request."""
        request = self.requests[request_id]
        request.is_abandoned = True
        if request.stage is not Stage.RUNNING:
            self._end(request_id)
        return self.apply(self.controller.client_disconnected(self.now_ms, request_id))

    def change_settings(self, **changes: object) -> Decisions:
        """Change the settings. Checks use the highest value of each limit, since open requests may exceed a new one."""
        self.settings = replace(self.settings, **changes)  # type: ignore[arg-type]
        relaxed = {name: max(getattr(self._bounds, name), getattr(self.settings, name)) for name in RELAXED_BOUNDS}
        self._bounds = replace(self.settings, **relaxed)
        return self.apply(self.controller.settings_changed(self.now_ms, self.settings))

    def drain(self, remaining_ms: float) -> Decisions:
        """Drain the server, which is killed after remaining_ms."""
        self._drain_began_at_ms = self.now_ms
        self.kill_at_ms = self.now_ms + remaining_ms
        return self.apply(self.controller.drain(self.now_ms, self.kill_at_ms))

    def advance(self, duration_ms: float, cpu_utilization: float = 1.0) -> None:
        """Advance the clock tick by tick, and handle due timers and call timeouts."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += self._bounds.tick_ms
            due = [timer_at_ms for timer_at_ms in self._timers_at_ms if timer_at_ms <= self.now_ms]
            self._timers_at_ms = [timer_at_ms for timer_at_ms in self._timers_at_ms if timer_at_ms > self.now_ms]
            self.check()
            for request_id in self.ids_in(Stage.CALL_IN_FLIGHT):
                if self._call_times_out_at_ms[request_id] <= self.now_ms:
                    self.return_call(request_id, Outcome.TIMEOUT)
            for _ in due:
                self.apply(self.controller.timer_fired(self.now_ms, Gauges(cpu_utilization=cpu_utilization)))

    def ids_in(self, stage: Stage) -> list[int]:
        """Return the ids of the requests in this stage."""
        return [request_id for request_id, request in self.requests.items() if request.stage is stage]
