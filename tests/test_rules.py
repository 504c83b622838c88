"""The module and the plain model of the rules must agree on what is allowed, on generated days."""

from dataclasses import replace

from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from nickelslip.admission.interface import Outcome, Preemption
from tests.helpers import BOOK, PAY, READ, World, settings

EVENTS = st.one_of(
    st.tuples(
        st.just("read"),
        st.sampled_from((READ, PAY, BOOK)),
        st.floats(1, 80),
        st.sampled_from((None, 200.0, 900.0)),
        st.booleans(),
    ),
    st.tuples(st.sampled_from(("end", "call", "back", "gone")), st.integers(0, 9), st.sampled_from(Outcome)),
    st.tuples(st.just("wait"), st.sampled_from((5.0, 50.0, 400.0))),
    st.tuples(st.just("drain"), st.sampled_from((600.0, 3000.0))),
    st.tuples(
        st.just("change"),
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
def test_the_rules_hold_on_any_day(events, stopping, cold, share, memory):
    world = World(settings(preemption=stopping, starts_cold=cold, dependency_concurrency_share=share, memory_kb=memory))
    fresh = 0
    for event in events:
        if world.kill is not None and world.now >= world.kill - 450:
            break
        if event[0] == "read":
            fresh += 1
            _, named, kb, told, repeat = event
            grade = next((each for each in world.told.traffic_classes if each.name == named.name), None)
            if grade is None:
                continue  # taken out: no front would read one
            earlier = [
                ident
                for ident, one in world.known.items()
                if one.grade.name == BOOK.name and world.entries.get(ident, 0.0) > world.now
            ]
            more = {"original_request_id": earlier[0]} if repeat and grade.name == BOOK.name and earlier else {}
            world.read(fresh, grade, kb, told, is_retry=repeat, **more)
        elif event[0] == "wait":
            world.wait(event[1])
        elif event[0] == "change":
            if world.kill is None and not (
                share == 0.0 and "dependency_concurrency_share" in event[1]
            ):  # which the plan forbids
                world.change(**event[1])
        elif event[0] == "drain":
            if world.kill is None:
                world.drain(event[1])
        else:
            step(world, *event)
    world.wait(4000 if world.kill is None else world.kill - world.now - 10)
    assert all(one.answers or one.gone for one in world.known.values())


def step(world, what, pick, outcome):
    places = {"end": ("core",), "call": ("core",), "back": ("out",), "gone": ("held", "core", "call", "out")}[what]
    able = [
        ident
        for ident, one in world.known.items()
        if one.place in places
        and not (what == "gone" and (one.answers or one.gone))
        and not (what == "call" and not one.grade.makes_calls)
    ]
    if not able:
        return
    if what == "end":
        world.end(able[pick % len(able)], Outcome.OK if outcome is not Outcome.ERROR else outcome)
    elif what == "back":
        world.back(able[pick % len(able)], outcome if outcome is not Outcome.NOT_STARTED else Outcome.REJECTED)
    else:
        getattr(world, what)(able[pick % len(able)])
