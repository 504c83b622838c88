"""How a server starts: the state machine in simulated steps, jitter, backoff, crash loops and rolling restarts."""

from __future__ import annotations

import random
from collections import Counter
from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from nickelslip.startup.backoff import Backoff
from nickelslip.startup.commands import encode_plan
from nickelslip.startup.crash_loop import MAX_DELAY_MS, StartRecord
from nickelslip.startup.crash_loop_file import FILE_NAME, CrashLoopFile
from nickelslip.startup.phase_jitter import next_in_phase, phase_of
from nickelslip.startup.rolling_restart import FleetMeasurement, RestartBound, plan_rolling_restart
from nickelslip.startup.slow_start import (
    BACKOFF_WINDOW_MS,
    DIRECTORY_ENTRY_LIFETIME_MS,
    FAILURES_UNTIL_BACKOFF,
    INITIAL_CONCURRENT_CALLS,
    MAX_BACKOFF_DELAY_MS,
    MAX_SHORT_OUTAGE_MS,
    REPORTS_PER_LIFETIME,
    SlowStart,
    SlowStartPhase,
)

COLD_MS = 4000.0


def start(part=4.0, cold=True, name="n7", now=0.0):
    return SlowStart(name, 1, now, part, cold, COLD_MS)


# Spread


@pytest.mark.parametrize(
    "names",
    (
        [f"n{number}" for number in range(1, 41)],
        [f"n{number}" for number in range(1, 301)],
        [f"riga-{number:03}" for number in range(60, 160)],
    ),
)
def test_phases_of_numbered_names_fill_a_period_evenly_whichever_are_there(names):
    for there in (names, random.Random(1).sample(names, len(names) // 2)):
        tenths = Counter(int(10 * phase_of(name, 1)) for name in there)
        most = 1.5 if there is names else 2.2
        assert max(tenths.values()) <= most * len(there) / 10


def test_names_without_numbers_and_groups_of_names_are_set_apart():
    assert len({phase_of(name, 1) for name in ("alpha", "beta", "alpha-1", "beta-1", "gamma-1")}) == 5
    assert phase_of("alpha", 1) != phase_of("alpha", 2) and phase_of("n3", 1) == phase_of("n3", 2)


def test_acts_in_phase_keep_apart_whatever_moment_they_begin_in_and_come_once_a_period():
    first = [next_in_phase(1_000_000.0, 500.0, phase_of(f"n{number}", 1)) for number in range(1, 101)]
    assert max(Counter(int(at // 50) for at in first).values()) <= 16
    at = next_in_phase(12.0, 500.0, 0.4)
    assert at == pytest.approx(200.0) and next_in_phase(at, 500.0, 0.4) == pytest.approx(700.0)


@given(st.integers(0, 10**6), st.lists(st.tuples(st.booleans(), st.floats(0, 300)), max_size=200))
@settings(derandomize=True, deadline=None)
def test_pauses_keep_their_bounds_and_the_budget_in_any_order_of_success_and_failure(seed, events):
    backoff, now, made = Backoff(random.Random(seed), 20.0, 1000.0, 5, 2000.0), 0.0, []
    for failed, wait in events:
        if failed:
            pause = backoff.after_failure(now)
            made.append(now)
            assert 20.0 <= pause <= 2000.0
            now += pause
        else:
            backoff.after_success()
            now += wait
    assert all(later - made[at] >= 2000.0 - 1e-6 for at, later in enumerate(made[5:]))


# The start


def warm_up(one, now, took=10.0, until=60_000.0):
    """What is below answers every call in the same time; when the start is warm."""
    while one.phase is not SlowStartPhase.WARM and now < until:
        now = max(now, now + one.call_pause_ms(now))
        one.time_passed(now)
        if one.phase in (SlowStartPhase.PROCESS_STARTED,):
            one.worker_pool_connected(now, 0.0)
        if one.next_report_at_ms <= now:
            one.report_sent(now)
        one.call_started(now)
        now += took
        one.call_answered(now, took)
    return now


def test_a_cold_start_asks_little_first_and_for_more_as_rounds_are_answered_in_time():
    one = start()
    assert one.next_report_at_ms == inf and one.phase is SlowStartPhase.PROCESS_STARTED
    one.worker_pool_connected(0.0, 0.0)
    one.report_sent(one.next_report_at_ms)
    one.call_started(500.0)
    assert one.phase is SlowStartPhase.FIRST_CALLS and one.max_concurrent_calls == INITIAL_CONCURRENT_CALLS
    seen = []
    for at in range(40):
        one.call_answered(510.0 + 10 * at, 10.0)
        seen.append(one.max_concurrent_calls)
    assert seen == sorted(seen) and one.phase is SlowStartPhase.WARM and one.max_concurrent_calls == inf
    assert max(each for each in seen if each < inf) < 4.0


def test_slow_rounds_take_the_step_back_and_a_service_slower_for_good_is_got_used_to():
    one = start(part=8.0)
    one.worker_pool_connected(0.0, 0.0)
    one.call_started(0.0)
    for at in range(6):
        one.call_answered(10.0 * at, 10.0)
    grown = one.max_concurrent_calls
    assert grown > INITIAL_CONCURRENT_CALLS
    for at in range(30):
        one.call_answered(100.0 + 40 * at, 40.0)
    assert one.max_concurrent_calls == INITIAL_CONCURRENT_CALLS and one.phase is SlowStartPhase.RAMPING_UP
    assert warm_up(one, 2000.0, took=40.0) < 60_000.0


def test_refused_calls_make_one_attempt_at_a_time_with_pauses_and_the_first_answer_ends_that():
    one = start()
    one.worker_pool_connected(0.0, 0.0)
    one.call_started(0.0)
    now, tries = 0.0, 0
    while now < 20_000.0:
        one.call_failed(now)
        tries += 1
        if tries < FAILURES_UNTIL_BACKOFF:
            continue
        assert (
            one.phase is SlowStartPhase.BACKING_OFF
            and one.max_concurrent_calls == INITIAL_CONCURRENT_CALLS
            and one.call_pause_ms(now) > 0
        )
        now += one.call_pause_ms(now)
    assert tries <= FAILURES_UNTIL_BACKOFF + 20_000.0 / BACKOFF_WINDOW_MS * 12
    one.call_answered(now, 10.0)
    assert one.phase is SlowStartPhase.FIRST_CALLS and one.call_pause_ms(now) == 0.0


def test_a_lone_call_lost_is_no_failing_service():
    one = start()
    one.worker_pool_connected(0.0, 0.0)
    one.call_started(0.0)
    one.call_failed(10.0)
    assert one.phase is SlowStartPhase.FIRST_CALLS
    for at in range(3):
        one.call_failed(20.0 + at)
    assert one.phase is SlowStartPhase.BACKING_OFF


def test_after_a_short_failure_a_start_goes_on_where_it_was_and_after_a_long_one_from_the_beginning():
    for span, step, most in (
        (MAX_SHORT_OUTAGE_MS / 2, SlowStartPhase.WARM, inf),
        (2 * MAX_SHORT_OUTAGE_MS, SlowStartPhase.FIRST_CALLS, INITIAL_CONCURRENT_CALLS),
    ):
        one = start()
        now = warm_up(one, 0.0)
        for _ in range(FAILURES_UNTIL_BACKOFF):
            one.call_failed(now)
        assert one.phase is SlowStartPhase.BACKING_OFF and one.max_concurrent_calls == INITIAL_CONCURRENT_CALLS
        one.call_answered(now + span, 10.0)
        assert one.phase is step and one.max_concurrent_calls == most


def test_a_machine_that_is_not_cold_or_makes_no_calls_is_warm_with_its_first_report():
    for one in (start(cold=False), start(part=0.0)):
        one.worker_pool_connected(0.0, 0.0)
        one.report_sent(one.next_report_at_ms)
        assert one.phase is SlowStartPhase.WARM and one.max_concurrent_calls == inf


def test_one_that_has_little_to_call_for_is_warm_in_time_unless_below_is_seen_slow():
    one = start()
    one.worker_pool_connected(0.0, 0.0)
    one.report_sent(one.next_report_at_ms)
    one.time_passed(COLD_MS - 1)
    assert one.phase is SlowStartPhase.LISTED
    one.time_passed(COLD_MS)
    assert one.phase is SlowStartPhase.WARM


def test_reports_are_in_phase_six_to_a_lapse_at_once_where_an_entry_runs_out_and_told_again_on_a_change():
    one = start()
    one.worker_pool_connected(1000.0, 0.0)
    first = one.next_report_at_ms
    assert 1000.0 < first <= 1000.0 + one.report_period_ms
    one.report_sent(first)
    assert (
        one.next_report_at_ms == pytest.approx(first + one.report_period_ms)
        and (REPORTS_PER_LIFETIME - 1) * one.report_period_ms < DIRECTORY_ENTRY_LIFETIME_MS - 400
    )
    one.health_changed(first + 1)
    times = []
    while len(times) < 4:
        times.append(one.next_report_at_ms)
        one.report_sent(times[-1])
    assert times[:3] == [first + 1, first + 61, first + 181] and times[3] == pytest.approx(first + one.report_period_ms)
    late = start()
    late.worker_pool_connected(1000.0, 2900.0)
    assert late.next_report_at_ms == 1000.0


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(("linked", "reported", "told", "out", "answered", "slow", "lost", "look")), st.floats(0, 500)
    ),
    max_size=80,
)


@given(EVENTS, st.floats(0.0, 9.0), st.booleans())
@settings(derandomize=True, deadline=None, max_examples=300)
def test_from_any_events_in_any_order_a_start_keeps_its_bounds_and_gets_warm_once_below_is_well(events, part, cold):
    one, now = start(part, cold), 0.0
    act = {
        "linked": lambda at: one.worker_pool_connected(at, 100.0),
        "reported": one.report_sent,
        "told": one.health_changed,
        "out": one.call_started,
        "answered": lambda at: one.call_answered(at, 10.0),
        "slow": lambda at: one.call_answered(at, 300.0),
        "lost": one.call_failed,
        "look": one.time_passed,
    }
    for what, wait in events:
        now += wait
        act[what](now)
        assert one.max_concurrent_calls >= INITIAL_CONCURRENT_CALLS and (
            one.max_concurrent_calls == inf or one.max_concurrent_calls <= max(INITIAL_CONCURRENT_CALLS, part)
        )
        assert 0 <= one.call_pause_ms(now) <= max(MAX_BACKOFF_DELAY_MS, BACKOFF_WINDOW_MS)
        assert (
            one.next_report_at_ms == inf
            if one.phase is SlowStartPhase.PROCESS_STARTED
            else one.next_report_at_ms <= now + one.report_period_ms + 1e-6
        )
    assert warm_up(one, now, until=now + 60_000.0) < now + 60_000.0 and one.phase is SlowStartPhase.WARM
    assert len(one.phases) <= 64


# Crash loops


def test_early_deaths_in_a_row_come_back_ever_less_often_and_a_restart_by_hand_at_once():
    chance, starts, now, waits = random.Random(1), StartRecord(), 1e12, []
    for _ in range(12):
        starts = starts.with_new_start(now)
        waits.append(starts.delay_ms(chance))
        now += waits[-1] + 1000
    assert waits[:2] == [0.0, 0.0] and 0 < waits[2] < waits[5] < waits[8] and max(waits) <= MAX_DELAY_MS
    assert starts.marked_stable().with_new_start(now).delay_ms(chance) == 0.0


@pytest.mark.parametrize(
    "text",
    (
        "",
        "{",
        "[]",
        '{"version": 2, "row": 9, "begun": 1, "lasted": false}',
        "[" * 900,
        '{"version": 1, "row": -1, "begun": 1, "lasted": false}',
        '{"version": 1, "row": 9, "begun": 1e999, "lasted": false}',
        "\xff" * 2000,
    ),
)
def test_a_file_of_starts_that_cannot_be_understood_keeps_nothing_down(tmp_path, text):
    warned = []
    log = type("Log", (), {"warning": lambda self, *words, **more: warned.append(more)})()
    (tmp_path / FILE_NAME).write_text(text, encoding="latin-1")
    file = CrashLoopFile(str(tmp_path), log)
    assert file.read() == StartRecord() and warned
    file.write(StartRecord(3, 5.0, False))
    assert file.read() == StartRecord(3, 5.0, False)
    assert (tmp_path / FILE_NAME).read_text() == '{"version": 1, "row": 3, "begun": 5.0, "lasted": false}'
    CrashLoopFile(str(tmp_path / "gone"), log).write(StartRecord())
    assert len(warned) == 2


# Turns


def test_turns_are_bound_by_cores_or_by_calls_and_refused_where_not_one_may_go():
    told = FleetMeasurement(
        server_count=100, load_fraction=0.6, cold_speed_fraction=0.2, warm_up_ms=18_000.0, downtime_ms=3000.0
    )
    plan = plan_rolling_restart(told)
    assert (plan.batch_size, plan.bound, plan.batch_count) == (35, RestartBound.CORES, 3)
    assert plan.total_ms == pytest.approx(63_000.0)
    assert encode_plan(plan) == {
        "at_once": 35,
        "bound_by": "cores",
        "turns": 3,
        "every_ms": 21_000.0,
        "all_ms": 63_000.0,
    }
    crowded = FleetMeasurement(
        100, 0.6, 0.2, 18_000.0, 3000.0, concurrent_calls=200.0, max_concurrent_calls=240.0, cold_call_multiple=3.0
    )
    plan = plan_rolling_restart(crowded)
    assert plan.bound is RestartBound.CALLS and plan.batch_size == 20 and encode_plan(plan)["bound_by"] == "calls"
    for bad in (
        FleetMeasurement(3, 0.8, 0.2, 1.0, 1.0),
        FleetMeasurement(0, 0.1, 0.2, 1.0, 1.0),
        FleetMeasurement(
            10, 0.1, 0.2, 1.0, 1.0, concurrent_calls=50.0, max_concurrent_calls=50.0, cold_call_multiple=2.0
        ),
    ):
        with pytest.raises(ValueError):
            plan_rolling_restart(bad)
