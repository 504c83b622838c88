"""Tests of the admission controller: earlier failures, and rules that are easy to get wrong."""

from dataclasses import replace
from math import isfinite

import pytest

from nickelslip.admission.dependency_usage import DependencyUsage
from nickelslip.admission.interface import Gauges, LoadSignal, Outcome, Preemption, RequestState, RetrySafety, Tenant
from tests.support.admission_model import BOOK, PAY, READ, AdmissionModel, Stage, build_settings

RESPONSE_CACHE = build_settings(response_cache_ms=1000.0)


def states(result):
    return [(change.id, change.state) for change in result.state_changes]


def busy_model(**changes):
    """Return a model whose two cores are busy with runs of the initially assumed duration."""
    model = AdmissionModel(build_settings(**changes))
    for request_id in (1, 2):
        model.receive_request(request_id, READ)
    return model


def test_a_dependency_share_that_was_lowered_and_restored_is_usable_at_once():
    model = AdmissionModel(build_settings(dependency_concurrency_share=4.0, core_count=4))
    model.receive_request(1, READ)
    model.request_call(1)
    assert model.ids_in(Stage.CALL_IN_FLIGHT) == [1]
    model.return_call(1, Outcome.OK)
    model.change_settings(dependency_concurrency_share=0.05)
    model.request_call(1)
    model.advance(20)
    if model.ids_in(Stage.CALL_IN_FLIGHT):
        model.return_call(1, Outcome.OK)  # at this low share, a long pause follows the call
    model.change_settings(dependency_concurrency_share=4.0)
    for request_id in (2, 3):
        model.receive_request(request_id, READ)
        model.request_call(request_id)
    assert {2, 3} <= set(model.ids_in(Stage.CALL_IN_FLIGHT))


def test_reserved_slots_stay_free_and_the_maximum_concurrency_holds():
    model = AdmissionModel(
        build_settings(
            core_count=4, traffic_classes=(READ, replace(PAY, reserved_slot_count=2), BOOK), max_concurrency=4
        )
    )
    for request_id in range(1, 7):
        model.receive_request(request_id, READ)
    assert model.ids_in(Stage.RUNNING) == [1, 2]
    for request_id in (7, 8, 9):
        model.receive_request(request_id, model.settings.traffic_classes[1])
    assert model.ids_in(Stage.RUNNING) == [1, 2, 7, 8]
    model.end_run(7)
    assert model.ids_in(Stage.RUNNING) == [1, 2, 8, 9]


def test_a_free_core_runs_a_request_and_a_full_server_queues_it():
    model = busy_model()
    assert model.ids_in(Stage.RUNNING) == [1, 2]
    assert states(model.receive_request(3, READ)) == []
    assert states(model.end_run(1)) == [(3, RequestState.RUNNING)]


def test_a_request_predicted_late_is_rejected_at_once_and_lowers_the_weight():
    model = busy_model()
    request_id = 3
    while not model.receive_request(request_id, READ).state_changes:
        request_id += 1
    request_id += 1
    assert (
        states(model.last_decisions) == [(request_id - 1, RequestState.REJECTED)]
        and model.last_decisions.state_changes[0].duration_ms > 0
    )
    model.advance(100)
    assert model.advertised_weights[0] == 0.8
    for running_id in model.ids_in(Stage.RUNNING):
        model.end_run(running_id)
    model.advance(400, cpu_utilization=0.1)
    assert model.advertised_weights[-1] > 0.8


def test_queued_requests_start_by_priority_weight_per_work_and_first_attempts_before_retries():
    model = AdmissionModel()
    for request_id, traffic_class, is_retry in (
        (1, PAY, False),
        (2, PAY, False),
        (3, READ, True),
        (4, READ, False),
        (5, PAY, False),
    ):
        model.receive_request(request_id, traffic_class, is_retry=is_retry)
    assert [states(model.end_run(request_id))[0][0] for request_id in (1, 2, 5)] == [5, 4, 3]


def test_a_request_of_far_higher_priority_weight_does_not_wait_for_running_ones():
    model = busy_model()
    assert states(model.receive_request(3, READ)) == []
    assert states(model.receive_request(4, PAY)) == [(4, RequestState.RUNNING)]
    assert states(model.receive_request(5, PAY)) == []


def test_in_a_retry_storm_a_first_attempt_of_lower_priority_weight_starts_first():
    model = AdmissionModel(build_settings(dependency_concurrency_share=0.0))
    for request_id in range(1, 13):
        model.receive_request(request_id, PAY, is_retry=True)
        model.end_run(request_id)
    for request_id, traffic_class, is_retry in (
        (30, READ, False),
        (31, READ, False),
        (32, PAY, True),
        (33, READ, False),
    ):
        model.receive_request(request_id, traffic_class, is_retry=is_retry)
    assert states(model.end_run(30)) == [(33, RequestState.RUNNING)]


def test_a_tenant_over_its_quota_is_not_queued_and_others_start_first():
    model = AdmissionModel(build_settings(tenants=(Tenant("a", 1.0), Tenant("b", 50.0)), over_quota_value_fraction=0.1))
    for request_id in range(1, 31):
        model.receive_request(request_id, READ, tenant="a")
        model.end_run(request_id)
    for request_id, name in ((40, "b"), (41, "b"), (43, "b")):
        model.receive_request(request_id, READ, tenant=name)
    assert states(model.receive_request(44, READ, tenant="a")) == [(44, RequestState.REJECTED)]
    assert states(model.end_run(40)) == [(43, RequestState.RUNNING)]


def test_a_quota_grows_with_the_starts_of_a_fast_server():
    model = AdmissionModel(
        build_settings(tenants=(Tenant("a", 1.0), Tenant("b", 1.0)), dependency_concurrency_share=0.0)
    )
    for request_id in range(1, 61):
        model.receive_request(request_id, READ, tenant="ab"[request_id % 2])
        model.end_run(request_id)
    for request_id in (70, 71, 72):
        model.receive_request(request_id, READ, tenant="a")
    assert model.requests[72].stage is Stage.QUEUED


def test_an_idle_server_runs_a_request_that_only_its_cost_hint_predicts_late():
    model = AdmissionModel()
    assert states(model.receive_request(1, READ, cost_hint_ms=5000.0)) == [(1, RequestState.RUNNING)]


@pytest.mark.parametrize("cost_hint_ms", (1e-320, 1e-6))
def test_a_cost_hint_close_to_zero_does_not_spoil_the_estimates_of_other_requests(cost_hint_ms):
    """Guards against review/1: the mean accuracy of the hints became NaN, and a call's timeout could not be encoded."""
    model = AdmissionModel()
    model.receive_request(1, READ, cost_hint_ms=cost_hint_ms)
    model.end_run(1)
    for request_id in range(2, 22):
        model.receive_request(request_id, READ, cost_hint_ms=10.0)
        model.end_run(request_id, duration_ms=10.0)
    for request_id in (22, 23, 24):
        model.receive_request(request_id, READ, cost_hint_ms=10.0)
    assert model.requests[24].stage is Stage.QUEUED
    (change, *_) = model.request_call(22).state_changes
    assert change.state is RequestState.CALL_IN_FLIGHT and isfinite(change.duration_ms)


def test_durations_measured_under_load_do_not_keep_an_idle_server_rejecting():
    model = AdmissionModel(build_settings(dependency_concurrency_share=0.0))
    for request_id in range(1, 9):
        model.receive_request(request_id, READ)
        model.end_run(request_id, duration_ms=1500.0)  # longer than the latency objective
    assert states(model.receive_request(10, READ)) == [(10, RequestState.REJECTED)]
    model.advance(2100)  # longer than the statistics window, without a run
    assert states(model.receive_request(11, READ)) == [(11, RequestState.RUNNING)]


def test_a_request_that_arrives_too_late_is_rejected_on_a_free_core():
    assert states(AdmissionModel().receive_request(1, READ, read_delay_ms=990.0)) == [(1, RequestState.REJECTED)]


def test_a_read_delay_lowers_the_weight_and_retry_after_covers_it():
    model = AdmissionModel()
    model.receive_request(1, PAY, read_delay_ms=450.0)
    assert model.last_decisions.state_changes[0].duration_ms > 450 / 80
    model.advance(100)
    assert model.advertised_weights == [0.8]
    model.advance(500, cpu_utilization=1.0)  # nothing is read and the cores are busy, so the weight must not rise
    assert model.advertised_weights == [0.8]


def test_stalled_runs_cause_new_requests_to_be_rejected():
    model = busy_model(preemption=Preemption.NEVER)
    model.advance(800)
    assert states(model.receive_request(3, READ)) == [(3, RequestState.REJECTED)]


def test_an_answer_is_given_at_its_deadline_while_the_run_keeps_its_core():
    model = busy_model()
    model.receive_request(3, PAY, timeout_ms=3000.0)
    model.advance(2995)
    assert model.requests[1].answer_count == 1 and model.requests[1].stage is Stage.RUNNING
    assert states(model.end_run(1)) == []


def test_a_cancelled_run_is_stopped_if_preemption_allows():
    model = busy_model(preemption=Preemption.DISCARD_PROGRESS)
    assert states(model.disconnect_client(1)) == [(1, RequestState.ORPHANED)]


def test_a_non_idempotent_run_fails_and_is_never_rejected():
    model = AdmissionModel()
    model.receive_request(1, PAY, timeout_ms=400.0)
    model.advance(400)  # the model fails on a rejection
    assert model.requests[1].answer_count == 1


def test_a_non_idempotent_call_is_retried_only_if_it_never_ran():
    model = AdmissionModel()
    model.receive_request(1, PAY)
    assert states(model.request_call(1)) == [(1, RequestState.CALL_IN_FLIGHT)]
    model.return_call(1, Outcome.REJECTED)
    model.advance(100)
    assert model.ids_in(Stage.CALL_IN_FLIGHT) == [1]
    assert states(model.return_call(1, Outcome.RESET)) == [(1, RequestState.FAILED)]


def test_an_optional_call_that_would_be_late_is_skipped():
    model = AdmissionModel(build_settings(dependency_concurrency_share=0.0001))
    model.receive_request(1, READ)
    assert states(model.request_call(1)) in ([], [(1, RequestState.DEGRADED)])
    model.advance(1000)
    assert model.requests[1].answer_count == 0 and model.ids_in(Stage.RUNNING) == [1]


def test_optional_calls_are_suspended_for_a_while_after_a_slow_required_call():
    model = AdmissionModel(build_settings(dependency_concurrency_share=8.0, core_count=8))
    model.receive_request(1, PAY)
    assert states(model.request_call(1)) == [(1, RequestState.CALL_IN_FLIGHT)]
    model.advance(150)  # over a quarter of its latency objective
    model.return_call(1, Outcome.OK)
    model.receive_request(2, READ)
    assert states(model.request_call(2)) == [(2, RequestState.DEGRADED)]
    model.receive_request(3, PAY)
    assert states(model.request_call(3)) == [(3, RequestState.CALL_IN_FLIGHT)], "required calls must still be made"
    model.advance(100)
    model.return_call(3, Outcome.OK)
    model.advance(600)
    model.receive_request(4, READ)
    assert states(model.request_call(4)) == [(4, RequestState.CALL_IN_FLIGHT)], (
        "optional calls must resume after the suspension"
    )


def test_a_late_request_awaiting_its_call_yields_to_one_that_can_be_in_time():
    model = AdmissionModel(build_settings(dependency_concurrency_share=1.3, core_count=4))
    for request_id, timeout_ms in ((1, 500.0), (2, 150.0), (3, 450.0)):
        model.receive_request(request_id, PAY, timeout_ms=timeout_ms)
        model.request_call(request_id)
    assert model.ids_in(Stage.CALL_IN_FLIGHT) == [1] and model.ids_in(Stage.AWAITING_CALL) == [2, 3]
    model.advance(100)
    model.return_call(1, Outcome.OK)
    assert model.ids_in(Stage.CALL_IN_FLIGHT) == [3]


def test_a_request_with_an_optional_call_starts_while_others_await_calls():
    model = AdmissionModel(build_settings(dependency_concurrency_share=0.0001))
    for request_id in (1, 2):
        model.receive_request(request_id, PAY)
        model.request_call(request_id)
    assert model.ids_in(Stage.AWAITING_CALL) == [1, 2]
    assert states(model.receive_request(3, PAY)) == [] and states(model.receive_request(4, READ)) == [
        (4, RequestState.RUNNING)
    ]


def test_abandoned_calls_count_until_they_have_lingered():
    model = AdmissionModel(build_settings(dependency_concurrency_share=1.3, core_count=4))
    for request_id in (1, 2, 3):
        model.receive_request(request_id, PAY, timeout_ms=500.0)
        model.request_call(request_id)
    assert len(model.ids_in(Stage.CALL_IN_FLIGHT)) == 1
    model.disconnect_client(model.ids_in(Stage.CALL_IN_FLIGHT)[0])
    assert model.ids_in(Stage.CALL_IN_FLIGHT) == []
    model.advance(250)
    assert len(model.ids_in(Stage.CALL_IN_FLIGHT)) == 1


def make_calls_in_turn(model, request_ids, duration_ms):
    """Receive, call and end one request after the other. Return how long each waited for its call."""
    waits_ms = []
    for request_id in request_ids:
        model.receive_request(request_id, READ)
        requested_at_ms = model.now_ms
        model.request_call(request_id)
        while (
            request_id not in model.ids_in(Stage.CALL_IN_FLIGHT)
            and model.requests[request_id].stage is Stage.AWAITING_CALL
        ):
            model.advance(5)
        waits_ms.append(model.now_ms - requested_at_ms)
        if request_id in model.ids_in(Stage.CALL_IN_FLIGHT):
            model.advance(duration_ms)
            model.return_call(request_id, Outcome.OK)
        model.end_run(request_id)
    return waits_ms


def test_slow_calls_lower_the_number_in_flight():
    model = AdmissionModel(build_settings(dependency_concurrency_share=8.0, core_count=8))
    make_calls_in_turn(model, range(1, 21), 20)  # fast calls set the baseline
    for request_id in range(31, 39):
        model.receive_request(request_id, READ)
        model.request_call(request_id)
    before = len(model.ids_in(Stage.CALL_IN_FLIGHT))
    model.advance(200)
    for request_id in model.ids_in(Stage.CALL_IN_FLIGHT):
        model.return_call(request_id, Outcome.OK)
        model.end_run(request_id)
    for request_id in range(41, 49):
        model.receive_request(request_id, READ)
        model.request_call(request_id)
    assert len(model.ids_in(Stage.CALL_IN_FLIGHT)) < before


def test_a_dependency_share_below_one_pauses_between_slow_calls():
    model = AdmissionModel(build_settings(dependency_concurrency_share=0.6))
    make_calls_in_turn(model, range(1, 21), 20)
    assert max(make_calls_in_turn(model, range(31, 41), 80)[1:]) >= 100


def test_a_repeated_key_is_coalesced_with_its_original_and_never_runs():
    model = AdmissionModel()
    model.receive_request(1, BOOK)
    assert states(model.receive_request(2, BOOK, original_request_id=1)) == [(2, RequestState.COALESCED)]
    model.end_run(1)
    assert states(model.receive_request(3, BOOK, original_request_id=1)) == [(3, RequestState.COALESCED)]


def test_a_keyed_request_without_memory_for_its_record_is_rejected():
    assert states(AdmissionModel(build_settings(idempotency_record_kb=5000.0)).receive_request(1, BOOK)) == [
        (1, RequestState.REJECTED)
    ]


DAY_MS = 86_400_000.0


def test_a_client_timeout_longer_than_that_of_its_class_does_not_keep_a_record_longer():
    """Guards against review/3: the records of requests with a timeout of a day filled the memory for a day."""
    model = AdmissionModel()
    model.receive_request(1, BOOK, timeout_ms=DAY_MS)
    assert model.record_expires_at_ms[1] == BOOK.idempotency_window_ms


def test_a_client_timeout_longer_than_that_of_its_class_does_not_hold_a_call_or_a_place_in_the_queue_longer():
    """Guards against call slots and memory that are held for a day."""
    model = AdmissionModel(build_settings(dependency_concurrency_share=0.0))
    model.receive_request(1, PAY, timeout_ms=DAY_MS)
    (change,) = model.request_call(1).state_changes
    assert change.state is RequestState.CALL_IN_FLIGHT and change.duration_ms <= PAY.timeout_ms
    model.advance(PAY.timeout_ms)
    assert model.requests[1].answer_count == 1


def test_a_run_that_was_never_started_gives_back_its_record():
    """Guards against review/3: the records of runs that never were filled the memory."""
    model = AdmissionModel()
    model.receive_request(1, BOOK)
    model.end_run(1, Outcome.NOT_STARTED)
    assert model.record_expires_at_ms[1] == model.now_ms


def test_a_lack_of_memory_rejects_the_queued_request_of_lowest_priority_weight():
    model = busy_model(memory_kb=400.0)
    for request_id, traffic_class, memory_kb in ((3, READ, 100.0), (4, PAY, 50.0), (5, PAY, 180.0)):
        model.receive_request(request_id, traffic_class, memory_kb=memory_kb)
    assert model.requests[3].answer_count == 1 and model.requests[4].answer_count == 0


@pytest.mark.parametrize("marks_retries", (True, False))
def test_a_starved_class_has_its_minimum_admission_fraction_if_retries_are_marked(marks_retries):
    low, high = (
        replace(READ, makes_calls=False, degraded_value_fraction=0.0),
        replace(PAY, makes_calls=False, priority_weight=30.0),
    )
    model = AdmissionModel(build_settings(traffic_classes=(low, high, BOOK), clients_mark_retries=marks_retries))
    run_counts, request_id = {low: 0, high: 0}, 0
    for step in range(400):  # the high class alone fills the cores; the low class has half as many
        for traffic_class in (low, high, high):
            request_id += 1
            model.receive_request(request_id, traffic_class)
        for each in model.ids_in(Stage.RUNNING):
            run_counts[model.requests[each].traffic_class] += step >= 100
            model.end_run(each)
        model.advance(100.0)
    assert (
        (0.3 < run_counts[low] / 300 < 1.0 and run_counts[high] / 600 > 0.4)
        if marks_retries
        else run_counts[low] / 300 < 0.2
    )


def test_a_drain_is_reported_and_requests_after_the_grace_do_not_run():
    model = AdmissionModel()
    model.receive_request(1, READ)
    result = model.drain(3000.0)
    assert result.advertised_weight is None and result.health is not None and not result.health.is_healthy
    model.advance(900)
    assert model.advertised_weights == []  # clients should use its cores until the grace ends
    model.advance(105)
    assert model.advertised_weights == [0.0]
    assert states(model.receive_request(2, READ)) == [(2, RequestState.REJECTED)]
    assert model.last_decisions.state_changes[0].duration_ms == 999.0
    model.advance(1900)
    assert model.requests[1].answer_count == 1


def test_answers_are_due_two_answer_slacks_before_the_kill_and_not_earlier():
    """Guards against a margin for stalls of the process, in which work is failed that would have been finished."""
    model = AdmissionModel()
    model.receive_request(1, READ)
    model.drain(500.0)
    model.advance(500.0 - 3 * model.settings.answer_slack_ms)
    assert not model.requests[1].answer_count
    model.advance(model.settings.answer_slack_ms)
    assert model.requests[1].answer_count == 1


def test_a_request_that_its_own_client_delayed_does_not_lower_the_weight():
    """Guards against one client that sends at full speed and makes the whole server look overloaded."""
    for is_delayed_by_client, weights in ((False, [0.8]), (True, [])):
        model = AdmissionModel(build_settings(load_signal=LoadSignal.SELECTION_PROBABILITY, client_count=4))
        model.receive_request(1, PAY, read_delay_ms=450.0, may_be_delayed_by_client=is_delayed_by_client)
        model.advance(100)
        assert model.advertised_weights == weights


def test_the_advertised_weight_has_a_value_for_every_load_signal():
    weights_by_signal = {}
    for load_signal in LoadSignal:
        model = AdmissionModel(build_settings(load_signal=load_signal, client_count=4))
        model.receive_request(1, PAY, read_delay_ms=450.0)
        model.advance(100)
        weights_by_signal[load_signal] = model.advertised_weights
    assert weights_by_signal == {
        LoadSignal.NONE: [],
        LoadSignal.SELECTION_PROBABILITY: [0.8],
        LoadSignal.CLIENT_CONCURRENCY: [0.8 * 2],
        LoadSignal.PRIORITY_THRESHOLD: [1 - 0.8],
    }


def idle_timeouts_ms(model, cpu_utilization, connection_count, interval_count):
    """Return the idle connection timeouts that are decided in `interval_count` adjustment intervals."""
    timeouts_ms = []
    for _ in range(interval_count):
        model.now_ms += 100.0
        timeouts_ms.append(
            model.apply(
                model.controller.timer_fired(
                    model.now_ms, Gauges(cpu_utilization=cpu_utilization, connection_count=connection_count)
                )
            ).idle_connection_timeout_ms
        )
    return [each for each in timeouts_ms if each is not None]


def test_the_idle_timeout_falls_while_cores_are_idle_and_rises_while_they_are_busy():
    model = AdmissionModel(build_settings(idle_connection_timeout_ms=8000.0, client_count=100))
    # It stays at the clients' own timeout.
    assert idle_timeouts_ms(model, cpu_utilization=1.0, connection_count=50.0, interval_count=3) == []
    falling_ms = idle_timeouts_ms(model, cpu_utilization=0.5, connection_count=50.0, interval_count=30)
    assert falling_ms == sorted(falling_ms, reverse=True) and falling_ms[0] < 8000.0 and 80.0 <= falling_ms[-1] <= 90.0
    # With few open connections, no client is refused.
    assert idle_timeouts_ms(model, cpu_utilization=0.5, connection_count=5.0, interval_count=5) == []
    rising_ms = idle_timeouts_ms(model, cpu_utilization=1.0, connection_count=50.0, interval_count=60)
    assert rising_ms == sorted(rising_ms) and rising_ms[-1] > 7000.0


def test_the_idle_timeout_is_unchanged_if_all_clients_have_a_connection():
    model = AdmissionModel(build_settings(idle_connection_timeout_ms=8000.0, client_count=12))
    assert idle_timeouts_ms(model, cpu_utilization=0.1, connection_count=50.0, interval_count=10) == []


def test_events_of_requests_that_have_ended_are_ignored():
    controller = AdmissionModel().controller
    for result in (
        controller.call_requested(1.0, 99),
        controller.client_disconnected(1.0, 99),
        controller.run_ended(1.0, 99, Outcome.NOT_STARTED, 0.0),
        controller.call_returned(1.0, 99, Outcome.OK, 0.0),
    ):
        assert states(result) == []


def test_classes_that_keep_most_value_when_late_are_limited_by_their_timeout():
    late = READ.__class__("late", 1.0, 100.0, 5000.0, RetrySafety.IDEMPOTENT, late_value_fraction=0.8)
    model = AdmissionModel(build_settings(traffic_classes=(late,)))
    assert states(model.receive_request(1, late, read_delay_ms=500.0)) == [(1, RequestState.RUNNING)]


def test_many_requests_awaiting_calls_cause_one_scan_of_the_calls_in_flight(monkeypatch):
    scan_times_ms, original = [], DependencyUsage.max_call_duration_ms
    monkeypatch.setattr(
        DependencyUsage,
        "max_call_duration_ms",
        lambda self, now_ms, *args: scan_times_ms.append(now_ms) or original(self, now_ms, *args),
    )
    model = AdmissionModel(
        build_settings(core_count=40, memory_kb=1e6, dependency_concurrency_share=2.0, abandoned_call_linger_ms=1900.0)
    )
    for request_id in range(30):
        model.receive_request(request_id, PAY)
    for request_id in model.ids_in(Stage.RUNNING):
        model.request_call(request_id)
    model.return_call(model.ids_in(Stage.CALL_IN_FLIGHT)[0], Outcome.TIMEOUT)
    scan_times_ms.clear()
    waiting_count = len(model.ids_in(Stage.AWAITING_CALL))
    model.now_ms += 1
    model.request_call(model.ids_in(Stage.RUNNING)[0]) if model.ids_in(Stage.RUNNING) else model.apply(
        model.controller.timer_fired(model.now_ms, Gauges())
    )
    assert waiting_count > 10 and len(scan_times_ms) <= 1


def test_the_read_delay_of_a_busy_server_does_not_count_as_a_slow_dependency():
    model = AdmissionModel(build_settings(core_count=8, memory_kb=1e6, dependency_concurrency_share=6.0))

    def call(request_id, duration_ms, read_delay_ms=0.0):
        model.receive_request(request_id, READ, read_delay_ms=read_delay_ms)
        model.request_call(request_id)
        model.now_ms += duration_ms
        model.return_call(request_id, Outcome.OK)
        model.end_run(request_id)
        return model.controller._dependency_limit.limit

    assert all(call(request_id, 1.0) == 5.1 for request_id in range(1, 40))
    assert call(40, 9.0) == 5.1  # a duration of a tick or two is not significant
    assert call(41, 90.0, read_delay_ms=80.0) == 5.1  # the reply may have been read as late as the request
    assert call(42, 90.0) < 5.1


def end_requests_with_timeout(model, timeout_ms, count):
    """Receive and end `count` requests, all with the same timeout."""
    for request_id in range(100, 100 + count):
        model.receive_request(request_id, READ, timeout_ms=timeout_ms)
        model.end_run(request_id)


def test_a_timeout_shorter_than_usual_marks_an_attempt_too_old_to_queue():
    model = AdmissionModel()
    end_requests_with_timeout(model, timeout_ms=1500.0, count=30)
    for request_id in (1, 2, 3):
        model.receive_request(request_id, READ, timeout_ms=1500.0)
    assert model.ids_in(Stage.RUNNING) == [1, 2] and model.ids_in(Stage.QUEUED) == [3]
    # The first attempt of request 4 was 1600 ms ago, and the latency objective is 1000 ms.
    (change,) = model.receive_request(4, READ, timeout_ms=1400.0).state_changes
    assert change == (4, RequestState.REJECTED, change.duration_ms, True)
    assert not model.receive_request(5, READ, timeout_ms=1500.0).state_changes  # a usual timeout does not show the age
    assert not model.receive_request(6, READ, timeout_ms=2900.0).state_changes  # its first attempt was 100 ms ago


def test_an_old_attempt_runs_if_a_core_is_free():
    model = AdmissionModel()
    end_requests_with_timeout(model, timeout_ms=1500.0, count=30)
    assert states(model.receive_request(1, READ, timeout_ms=1400.0)) == [(1, RequestState.RUNNING)]


@pytest.mark.parametrize("timeouts_ms", ([1500.0], [600.0, 1500.0, 2900.0]))
def test_no_timeout_is_unusual_with_few_samples_or_several_common_timeouts(timeouts_ms):
    model = AdmissionModel()
    for request_id in (1, 2):
        model.receive_request(request_id, READ, timeout_ms=3000.0)
    for request_id, timeout_ms in enumerate(timeouts_ms * 40, start=100):
        result = model.receive_request(request_id, READ, timeout_ms=timeout_ms)
        assert not any(change.retry_elsewhere_useless for change in result.state_changes)
        model.disconnect_client(request_id)


def test_the_timeout_histogram_adapts_to_a_new_usual_timeout():
    model = AdmissionModel()
    end_requests_with_timeout(model, timeout_ms=1500.0, count=1000)
    end_requests_with_timeout(model, timeout_ms=900.0, count=200)
    for request_id in (1, 2, 3):
        model.receive_request(request_id, READ, timeout_ms=1500.0)
    assert not model.receive_request(4, READ, timeout_ms=900.0).state_changes


@pytest.mark.parametrize("end", ("rejected", "cancelled", "failed run"))
def test_a_request_without_an_idempotency_key_that_ends_without_a_result_gives_back_its_record(end):
    """Guards against records that the server has dropped and the controller counts on until they expire."""
    model = busy_model(response_cache_ms=1000.0) if end == "rejected" else AdmissionModel(RESPONSE_CACHE)
    model.receive_request(3, READ, has_key=True, timeout_ms=1.0 if end == "rejected" else None)
    if end == "cancelled":
        model.disconnect_client(3)
    if end != "rejected":
        model.end_run(3, Outcome.ERROR if end == "failed run" else Outcome.CANCELLED)
    assert model.requests[3].stage is Stage.ENDED and model.record_expires_at_ms[3] == model.now_ms


def test_a_shared_answer_keeps_its_record():
    model = AdmissionModel(RESPONSE_CACHE)
    model.receive_request(1, READ, has_key=True)
    model.end_run(1)
    assert model.record_expires_at_ms[1] > model.now_ms
