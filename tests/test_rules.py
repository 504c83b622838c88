"""Property tests: on generated events, the controller never violates the rules that the model checks."""

from dataclasses import replace

from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from nickelslip.admission.interface import Outcome, Preemption
from tests.support.admission_model import BOOK, PAY, READ, AdmissionModel, Stage, build_settings

EVENTS = st.one_of(
    st.tuples(
        st.just("receive_request"),
        st.sampled_from((READ, PAY, BOOK)),
        st.floats(1, 80),
        st.sampled_from((None, 200.0, 900.0)),
        st.booleans(),
    ),
    st.tuples(
        st.sampled_from(("end_run", "request_call", "return_call", "disconnect_client")),
        st.integers(0, 9),
        st.sampled_from(Outcome),
    ),
    st.tuples(st.just("advance"), st.sampled_from((5.0, 50.0, 400.0))),
    st.tuples(st.just("drain"), st.sampled_from((600.0, 3000.0))),
    st.tuples(
        st.just("change_settings"),
        st.sampled_from(
            (
                {"core_count": 1},
                {"core_count": 4},
                {"max_concurrency": 1.0},
                {"max_concurrency": float("inf")},
                {"memory_kb": 400.0},
                {"memory_kb": 3000.0},
                {"dependency_concurrency_share": 0.3},
                {"dependency_concurrency_share": 3.0},
                {"overload_concurrency_per_core": 2.0},
                {
                    "traffic_classes": (
                        replace(READ, latency_objective_ms=50.0),
                        replace(PAY, reserved_slot_count=1),
                        BOOK,
                    )
                },
                {
                    "traffic_classes": (
                        replace(READ, priority_weight=9.0, makes_calls=False, degraded_value_fraction=0.0),
                        PAY,
                        replace(BOOK, idempotency_window_ms=100.0),
                    )
                },
                {"traffic_classes": (PAY,)},
                {"traffic_classes": (READ, PAY, BOOK)},
                {"retry_after_max_ms": 0.0},
            )
        ),
    ),
)


@profile(derandomize=True, database=None, deadline=None, max_examples=100)
@given(
    st.lists(EVENTS, min_size=20, max_size=80),
    st.sampled_from(Preemption),
    st.booleans(),
    st.sampled_from((0.0, 0.4, 2.0)),
    st.sampled_from((600.0, 3000.0)),
)
def test_the_rules_hold_on_generated_events(events, preemption, starts_cold, dependency_share, memory_kb):
    model = AdmissionModel(
        build_settings(
            preemption=preemption,
            starts_cold=starts_cold,
            dependency_concurrency_share=dependency_share,
            memory_kb=memory_kb,
        )
    )
    last_request_id = 0
    for event in events:
        if model.kill_at_ms is not None and model.now_ms >= model.kill_at_ms - 450:
            break
        if event[0] == "receive_request":
            last_request_id += 1
            receive_request(model, last_request_id, *event[1:])
        elif event[0] == "advance":
            model.advance(event[1])
        elif event[0] == "change_settings":
            is_forbidden = dependency_share == 0.0 and "dependency_concurrency_share" in event[1]
            if model.kill_at_ms is None and not is_forbidden:
                model.change_settings(**event[1])
        elif event[0] == "drain":
            if model.kill_at_ms is None:
                model.drain(event[1])
        else:
            change_one_request(model, *event)
    model.advance(4000 if model.kill_at_ms is None else model.kill_at_ms - model.now_ms - 10)
    assert all(request.answer_count or request.is_abandoned for request in model.requests.values())


def receive_request(model, request_id, event_class, memory_kb, timeout_ms, is_retry):
    """Receive a request of the class with its current settings, unless a change has removed the class."""
    traffic_class = next((each for each in model.settings.traffic_classes if each.name == event_class.name), None)
    if traffic_class is None:
        return
    recorded = [
        earlier_id
        for earlier_id, request in model.requests.items()
        if request.traffic_class.name == BOOK.name and model.record_expires_at_ms.get(earlier_id, 0.0) > model.now_ms
    ]
    has_original = is_retry and traffic_class.name == BOOK.name and recorded
    fields = {"original_request_id": recorded[0]} if has_original else {}
    model.receive_request(request_id, traffic_class, memory_kb, timeout_ms, is_retry=is_retry, **fields)


STAGES_BY_EVENT = {
    "end_run": (Stage.RUNNING,),
    "request_call": (Stage.RUNNING,),
    "return_call": (Stage.CALL_IN_FLIGHT,),
    "disconnect_client": (Stage.QUEUED, Stage.RUNNING, Stage.AWAITING_CALL, Stage.CALL_IN_FLIGHT),
}


def change_one_request(model, event, index, outcome):
    """Apply the event to one of the requests for which it is possible, if there is one."""
    candidates = [
        request_id
        for request_id, request in model.requests.items()
        if request.stage in STAGES_BY_EVENT[event]
        and not (event == "disconnect_client" and (request.answer_count or request.is_abandoned))
        and not (event == "request_call" and not request.traffic_class.makes_calls)
    ]
    if not candidates:
        return
    request_id = candidates[index % len(candidates)]
    if event == "end_run":
        model.end_run(request_id, Outcome.OK if outcome is not Outcome.ERROR else outcome)
    elif event == "return_call":
        model.return_call(request_id, outcome if outcome is not Outcome.NOT_STARTED else Outcome.REJECTED)
    elif event == "request_call":
        model.request_call(request_id)
    else:
        model.disconnect_client(request_id)
