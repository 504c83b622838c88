"""Phase jitter, backoff, slow start, crash loops and rolling restarts, all with simulated time."""

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

WARM_UP_MS = 4000.0


def create_slow_start(dependency_share=4.0, is_cold=True, server_name="n7", now_ms=0.0):
    return SlowStart(server_name, 1, now_ms, dependency_share, is_cold, WARM_UP_MS)


# Phase jitter and backoff


@pytest.mark.parametrize(
    "names",
    (
        [f"n{number}" for number in range(1, 41)],
        [f"n{number}" for number in range(1, 301)],
        [f"riga-{number:03}" for number in range(60, 160)],
    ),
)
def test_phases_of_numbered_servers_and_of_any_half_of_them_are_spread_evenly(names):
    for subset in (names, random.Random(1).sample(names, len(names) // 2)):
        count_by_tenth = Counter(int(10 * phase_of(name, 1)) for name in subset)
        max_excess = 1.5 if subset is names else 2.2
        assert max(count_by_tenth.values()) <= max_excess * len(subset) / 10


def test_names_without_numbers_and_equal_numbers_in_two_groups_get_different_phases():
    assert len({phase_of(name, 1) for name in ("alpha", "beta", "alpha-1", "beta-1", "gamma-1")}) == 5
    assert phase_of("alpha", 1) != phase_of("alpha", 2) and phase_of("n3", 1) == phase_of("n3", 2)


def test_servers_started_together_act_at_different_times_and_once_per_period():
    first_times_ms = [next_in_phase(1_000_000.0, 500.0, phase_of(f"n{number}", 1)) for number in range(1, 101)]
    assert max(Counter(int(time_ms // 50) for time_ms in first_times_ms).values()) <= 16
    time_ms = next_in_phase(12.0, 500.0, 0.4)
    assert time_ms == pytest.approx(200.0) and next_in_phase(time_ms, 500.0, 0.4) == pytest.approx(700.0)


@given(st.integers(0, 10**6), st.lists(st.tuples(st.booleans(), st.floats(0, 300)), max_size=200))
@settings(derandomize=True, deadline=None)
def test_backoff_delays_stay_in_range_and_attempts_within_the_limit_per_window(seed, events):
    backoff, now_ms, attempts_at_ms = Backoff(random.Random(seed), 20.0, 1000.0, 5, 2000.0), 0.0, []
    for failed, wait_ms in events:
        if failed:
            delay_ms = backoff.after_failure(now_ms)
            attempts_at_ms.append(now_ms)
            assert 20.0 <= delay_ms <= 2000.0
            now_ms += delay_ms
        else:
            backoff.after_success()
            now_ms += wait_ms
    assert all(later_ms - attempts_at_ms[index] >= 2000.0 - 1e-6 for index, later_ms in enumerate(attempts_at_ms[5:]))


# Slow start


def run_until_warm(slow_start, now_ms, response_time_ms=10.0, end_at_ms=60_000.0):
    """Answer every call after the same time until the start is warm or `end_at_ms` is reached; return the end time."""
    while slow_start.phase is not SlowStartPhase.WARM and now_ms < end_at_ms:
        now_ms = max(now_ms, now_ms + slow_start.call_pause_ms(now_ms))
        slow_start.check_warm_up_time(now_ms)
        if slow_start.phase in (SlowStartPhase.PROCESS_STARTED,):
            slow_start.worker_pool_connected(now_ms, 0.0)
        if slow_start.next_report_at_ms <= now_ms:
            slow_start.report_sent(now_ms)
        slow_start.call_started(now_ms)
        now_ms += response_time_ms
        slow_start.call_answered(now_ms, response_time_ms)
    return now_ms


def test_a_cold_start_raises_the_call_limit_as_rounds_are_answered_in_time():
    slow_start = create_slow_start()
    assert slow_start.next_report_at_ms == inf and slow_start.phase is SlowStartPhase.PROCESS_STARTED
    slow_start.worker_pool_connected(0.0, 0.0)
    slow_start.report_sent(slow_start.next_report_at_ms)
    slow_start.call_started(500.0)
    assert (
        slow_start.phase is SlowStartPhase.FIRST_CALLS and slow_start.max_concurrent_calls == INITIAL_CONCURRENT_CALLS
    )
    limits = []
    for index in range(40):
        slow_start.call_answered(510.0 + 10 * index, 10.0)
        limits.append(slow_start.max_concurrent_calls)
    assert (
        limits == sorted(limits) and slow_start.phase is SlowStartPhase.WARM and slow_start.max_concurrent_calls == inf
    )
    assert max(limit for limit in limits if limit < inf) < 4.0


def test_slow_rounds_lower_the_call_limit_until_the_baseline_adapts_to_a_slower_dependency():
    slow_start = create_slow_start(dependency_share=8.0)
    slow_start.worker_pool_connected(0.0, 0.0)
    slow_start.call_started(0.0)
    for index in range(6):
        slow_start.call_answered(10.0 * index, 10.0)
    raised_limit = slow_start.max_concurrent_calls
    assert raised_limit > INITIAL_CONCURRENT_CALLS
    for index in range(30):
        slow_start.call_answered(100.0 + 40 * index, 40.0)
    assert slow_start.max_concurrent_calls == INITIAL_CONCURRENT_CALLS and slow_start.phase is SlowStartPhase.RAMPING_UP
    assert run_until_warm(slow_start, 2000.0, response_time_ms=40.0) < 60_000.0


def test_failed_calls_are_attempted_one_at_a_time_with_backoff_until_the_first_answer():
    slow_start = create_slow_start()
    slow_start.worker_pool_connected(0.0, 0.0)
    slow_start.call_started(0.0)
    now_ms, attempt_count = 0.0, 0
    while now_ms < 20_000.0:
        slow_start.call_failed(now_ms)
        attempt_count += 1
        if attempt_count < FAILURES_UNTIL_BACKOFF:
            continue
        assert (
            slow_start.phase is SlowStartPhase.BACKING_OFF
            and slow_start.max_concurrent_calls == INITIAL_CONCURRENT_CALLS
            and slow_start.call_pause_ms(now_ms) > 0
        )
        now_ms += slow_start.call_pause_ms(now_ms)
    assert attempt_count <= FAILURES_UNTIL_BACKOFF + 20_000.0 / BACKOFF_WINDOW_MS * 12
    slow_start.call_answered(now_ms, 10.0)
    assert slow_start.phase is SlowStartPhase.FIRST_CALLS and slow_start.call_pause_ms(now_ms) == 0.0


def test_a_single_lost_call_does_not_cause_backoff():
    slow_start = create_slow_start()
    slow_start.worker_pool_connected(0.0, 0.0)
    slow_start.call_started(0.0)
    slow_start.call_failed(10.0)
    assert slow_start.phase is SlowStartPhase.FIRST_CALLS
    for index in range(3):
        slow_start.call_failed(20.0 + index)
    assert slow_start.phase is SlowStartPhase.BACKING_OFF


def test_a_start_resumes_after_a_short_outage_and_restarts_with_one_call_after_a_long_one():
    for outage_ms, phase, max_concurrent_calls in (
        (MAX_SHORT_OUTAGE_MS / 2, SlowStartPhase.WARM, inf),
        (2 * MAX_SHORT_OUTAGE_MS, SlowStartPhase.FIRST_CALLS, INITIAL_CONCURRENT_CALLS),
    ):
        slow_start = create_slow_start()
        now_ms = run_until_warm(slow_start, 0.0)
        for _ in range(FAILURES_UNTIL_BACKOFF):
            slow_start.call_failed(now_ms)
        assert (
            slow_start.phase is SlowStartPhase.BACKING_OFF
            and slow_start.max_concurrent_calls == INITIAL_CONCURRENT_CALLS
        )
        slow_start.call_answered(now_ms + outage_ms, 10.0)
        assert slow_start.phase is phase and slow_start.max_concurrent_calls == max_concurrent_calls


def test_a_server_that_is_not_cold_or_makes_no_calls_is_warm_after_its_first_report():
    for slow_start in (create_slow_start(is_cold=False), create_slow_start(dependency_share=0.0)):
        slow_start.worker_pool_connected(0.0, 0.0)
        slow_start.report_sent(slow_start.next_report_at_ms)
        assert slow_start.phase is SlowStartPhase.WARM and slow_start.max_concurrent_calls == inf


def test_a_server_without_calls_is_warm_once_the_warm_up_time_has_passed():
    slow_start = create_slow_start()
    slow_start.worker_pool_connected(0.0, 0.0)
    slow_start.report_sent(slow_start.next_report_at_ms)
    slow_start.check_warm_up_time(WARM_UP_MS - 1)
    assert slow_start.phase is SlowStartPhase.LISTED
    slow_start.check_warm_up_time(WARM_UP_MS)
    assert slow_start.phase is SlowStartPhase.WARM


def test_reports_are_sent_in_phase_repeated_after_a_health_change_and_at_once_before_the_entry_expires():
    slow_start = create_slow_start()
    slow_start.worker_pool_connected(1000.0, 0.0)
    first_ms = slow_start.next_report_at_ms
    assert 1000.0 < first_ms <= 1000.0 + slow_start.report_period_ms
    slow_start.report_sent(first_ms)
    assert (
        slow_start.next_report_at_ms == pytest.approx(first_ms + slow_start.report_period_ms)
        and (REPORTS_PER_LIFETIME - 1) * slow_start.report_period_ms < DIRECTORY_ENTRY_LIFETIME_MS - 400
    )
    slow_start.health_changed(first_ms + 1)
    reports_at_ms = []
    while len(reports_at_ms) < 4:
        reports_at_ms.append(slow_start.next_report_at_ms)
        slow_start.report_sent(reports_at_ms[-1])
    assert reports_at_ms[:3] == [first_ms + 1, first_ms + 61, first_ms + 181] and reports_at_ms[3] == pytest.approx(
        first_ms + slow_start.report_period_ms
    )
    connected_late = create_slow_start()
    connected_late.worker_pool_connected(1000.0, 2900.0)
    assert connected_late.next_report_at_ms == 1000.0


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                "worker_pool_connected",
                "report_sent",
                "health_changed",
                "call_started",
                "fast_answer",
                "slow_answer",
                "call_failed",
                "check_warm_up_time",
            )
        ),
        st.floats(0, 500),
    ),
    max_size=80,
)


@given(EVENTS, st.floats(0.0, 9.0), st.booleans())
@settings(derandomize=True, deadline=None, max_examples=300)
def test_limits_hold_after_any_events_and_the_start_becomes_warm_once_the_dependency_answers(
    events, dependency_share, is_cold
):
    slow_start, now_ms = create_slow_start(dependency_share, is_cold), 0.0
    handlers = {
        "worker_pool_connected": lambda at_ms: slow_start.worker_pool_connected(at_ms, 100.0),
        "report_sent": slow_start.report_sent,
        "health_changed": slow_start.health_changed,
        "call_started": slow_start.call_started,
        "fast_answer": lambda at_ms: slow_start.call_answered(at_ms, 10.0),
        "slow_answer": lambda at_ms: slow_start.call_answered(at_ms, 300.0),
        "call_failed": slow_start.call_failed,
        "check_warm_up_time": slow_start.check_warm_up_time,
    }
    for event, wait_ms in events:
        now_ms += wait_ms
        handlers[event](now_ms)
        assert slow_start.max_concurrent_calls >= INITIAL_CONCURRENT_CALLS and (
            slow_start.max_concurrent_calls == inf
            or slow_start.max_concurrent_calls <= max(INITIAL_CONCURRENT_CALLS, dependency_share)
        )
        assert 0 <= slow_start.call_pause_ms(now_ms) <= max(MAX_BACKOFF_DELAY_MS, BACKOFF_WINDOW_MS)
        assert (
            slow_start.next_report_at_ms == inf
            if slow_start.phase is SlowStartPhase.PROCESS_STARTED
            else slow_start.next_report_at_ms <= now_ms + slow_start.report_period_ms + 1e-6
        )
    assert (
        run_until_warm(slow_start, now_ms, end_at_ms=now_ms + 60_000.0) < now_ms + 60_000.0
        and slow_start.phase is SlowStartPhase.WARM
    )
    assert len(slow_start.phases) <= 64


# Crash loops


def test_delays_grow_with_consecutive_early_exits_and_a_manual_restart_is_not_delayed():
    random_source, record, now_ms, delays_ms = random.Random(1), StartRecord(), 1e12, []
    for _ in range(12):
        record = record.with_new_start(now_ms)
        delays_ms.append(record.delay_ms(random_source))
        now_ms += delays_ms[-1] + 1000
    assert (
        delays_ms[:2] == [0.0, 0.0]
        and 0 < delays_ms[2] < delays_ms[5] < delays_ms[8]
        and max(delays_ms) <= MAX_DELAY_MS
    )
    assert record.marked_stable().with_new_start(now_ms).delay_ms(random_source) == 0.0


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
def test_a_malformed_start_record_is_logged_and_counts_as_an_empty_one(tmp_path, text):
    warnings = []
    log = type("Log", (), {"warning": lambda self, *event, **fields: warnings.append(fields)})()
    (tmp_path / FILE_NAME).write_text(text, encoding="latin-1")
    file = CrashLoopFile(str(tmp_path), log)
    assert file.read() == StartRecord() and warnings
    file.write(StartRecord(3, 5.0, False))
    assert file.read() == StartRecord(3, 5.0, False)
    assert (tmp_path / FILE_NAME).read_text() == '{"version": 1, "row": 3, "begun": 5.0, "lasted": false}'
    CrashLoopFile(str(tmp_path / "missing"), log).write(StartRecord())
    assert len(warnings) == 2


# Rolling restarts


def test_batches_are_limited_by_cores_or_calls_and_a_fleet_that_can_spare_no_server_is_rejected():
    limited_by_cores = FleetMeasurement(
        server_count=100, load_fraction=0.6, cold_speed_fraction=0.2, warm_up_ms=18_000.0, downtime_ms=3000.0
    )
    plan = plan_rolling_restart(limited_by_cores)
    assert (plan.batch_size, plan.bound, plan.batch_count) == (35, RestartBound.CORES, 3)
    assert plan.total_ms == pytest.approx(63_000.0)
    assert encode_plan(plan) == {
        "at_once": 35,
        "bound_by": "cores",
        "turns": 3,
        "every_ms": 21_000.0,
        "all_ms": 63_000.0,
    }
    limited_by_calls = FleetMeasurement(
        100, 0.6, 0.2, 18_000.0, 3000.0, concurrent_calls=200.0, max_concurrent_calls=240.0, cold_call_multiple=3.0
    )
    plan = plan_rolling_restart(limited_by_calls)
    assert plan.bound is RestartBound.CALLS and plan.batch_size == 20 and encode_plan(plan)["bound_by"] == "calls"
    for measurement in (
        FleetMeasurement(3, 0.8, 0.2, 1.0, 1.0),
        FleetMeasurement(0, 0.1, 0.2, 1.0, 1.0),
        FleetMeasurement(
            10, 0.1, 0.2, 1.0, 1.0, concurrent_calls=50.0, max_concurrent_calls=50.0, cold_call_multiple=2.0
        ),
    ):
        with pytest.raises(ValueError):
            plan_rolling_restart(measurement)
