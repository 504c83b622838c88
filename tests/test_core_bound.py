"""The bound on the runs on the cores, at each way in which a run comes there."""

from dataclasses import replace

import pytest

from nickelslip.admission.interface import Outcome, RetrySafety
from nickelslip.admission.tracked_request import CoreEntry
from tests.support.admission_model import PAY, READ, AdmissionModel, Stage, build_settings

REQUEST_COUNT = 30
SLOW_CALL_MS = 300.0


def active_count(model):
    return len(model.ids_in(Stage.RUNNING)) + len(model.ids_in(Stage.CALL_IN_FLIGHT))


def receive_until_at_call(model, traffic_class, count, first_id=1):
    """Receive requests, and let each one that runs reach its call at once."""
    for request_id in range(first_id, first_id + count):
        model.receive_request(request_id, traffic_class)
        if model.requests[request_id].stage is Stage.RUNNING:
            model.request_call(request_id)


def model_with_calls_held_up(**changes):
    """Return a model in which a required call is not answered; another one and 7 optional ones wait behind it."""
    model = AdmissionModel(build_settings(dependency_concurrency_share=1.2, **changes))
    receive_until_at_call(model, PAY, 2)
    receive_until_at_call(model, READ, 7, first_id=3)
    assert len(model.ids_in(Stage.CALL_IN_FLIGHT)) == 1 and len(model.ids_in(Stage.AWAITING_CALL)) == 8
    return model


def test_the_runs_on_the_cores_are_counted_by_the_way_in_which_they_came_there():
    model = AdmissionModel()
    model.receive_request(1, READ)
    model.request_call(1)
    model.return_call(1, Outcome.OK)
    model.receive_request(2, READ)
    occupancy = model.controller.core_occupancy(model.now_ms)
    assert occupancy.entries == {CoreEntry.RESUMED_WITH_REPLY: 1, CoreEntry.STARTED: 1}
    assert occupancy.on_core_count == 2 and not occupancy.is_crowded


@pytest.mark.parametrize("starts_cold", (True, False))
def test_runs_that_wait_for_their_call_do_not_all_go_on_without_it_at_once(starts_cold):
    """Guards against review/2: a call that was not answered held up others, which then crowded a cold machine."""
    model = model_with_calls_held_up(starts_cold=starts_cold)
    model.advance(124)
    assert len(model.ids_in(Stage.AWAITING_CALL)) == 8, "nothing has gone on yet"
    model.advance(20)  # a quarter of the objective of the required call: optional calls are suspended
    occupancy = model.controller.core_occupancy(model.now_ms)
    assert 1 <= active_count(model) < occupancy.safe_concurrency + 1
    assert occupancy.awaiting_call_count > 0, "some are held back"
    model.advance(3000)
    assert all(
        model.requests[request_id].answer_count for request_id in range(1, 10) if not is_running(model, request_id)
    )


def is_running(model, request_id):
    return model.requests[request_id].stage is Stage.RUNNING


def test_an_optional_call_is_not_waited_for_longer_than_an_eighth_of_the_objective():
    """Guards against review/2: the predicted wait is short, but the call in flight is never answered."""
    model = AdmissionModel(build_settings(dependency_concurrency_share=1.2))
    receive_until_at_call(model, READ, 2)
    model.advance(120)
    assert model.ids_in(Stage.AWAITING_CALL) == [2]
    model.advance(100)  # there is no event, and the timer fires once per interval
    assert model.ids_in(Stage.RUNNING) == [2]


@pytest.mark.parametrize("starts_cold", (True, False))
@pytest.mark.parametrize("retry_safety", RetrySafety)
@pytest.mark.parametrize("degraded_value_fraction", (0.0, 0.5))
@pytest.mark.parametrize("outcome", (Outcome.OK, Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED))
def test_the_bound_holds_however_many_calls_end_at_once(starts_cold, retry_safety, degraded_value_fraction, outcome):
    """The model checks the bound after each decision, and that each request is answered when due."""
    traffic_class = replace(
        READ,
        retry_safety=retry_safety,
        degraded_value_fraction=degraded_value_fraction,
        idempotency_window_ms=3000.0,
    )
    model = AdmissionModel(
        build_settings(
            traffic_classes=(traffic_class, PAY),
            starts_cold=starts_cold,
            dependency_concurrency_share=12.0,
            memory_kb=20000.0,
        )
    )
    for first_id in range(1, REQUEST_COUNT, 6):
        receive_until_at_call(model, traffic_class, 6, first_id)
        assert active_count(model) < model.controller.core_occupancy(model.now_ms).safe_concurrency + 1
        model.advance(SLOW_CALL_MS)
        for request_id in model.ids_in(Stage.CALL_IN_FLIGHT):
            model.return_call(request_id, outcome)
        assert active_count(model) < model.controller.core_occupancy(model.now_ms).safe_concurrency + 1
    model.advance(4000)
    assert all(request.answer_count for request in model.requests.values())


def test_runs_that_wait_for_their_call_stay_off_the_cores_while_new_settings_leave_too_few():
    model = model_with_calls_held_up(core_count=4)
    model.change_settings(core_count=1)
    model.advance(200)
    assert active_count(model) < model.controller.core_occupancy(model.now_ms).safe_concurrency + 1
    assert model.ids_in(Stage.AWAITING_CALL)


def test_the_maximum_concurrency_also_bounds_the_runs_that_go_on_without_their_call():
    model = model_with_calls_held_up(max_concurrency=2.0)
    model.advance(200)
    assert len(model.ids_in(Stage.RUNNING)) == 2 and model.ids_in(Stage.AWAITING_CALL)
