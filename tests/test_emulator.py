"""Tests of the emulator: its models in simulated time, links, checkers, schedules and the cleanup of processes."""

from __future__ import annotations

import asyncio
import random
import signal
import subprocess
import sys
import time
from math import inf
from pathlib import Path

import pytest

from nickelslip.emulator import checkers, fleet_properties
from nickelslip.emulator.drawn_schedule import draw_schedule
from nickelslip.emulator.endpoint_list import EndpointList
from nickelslip.emulator.fleet import Fleet, FleetTimeoutError
from nickelslip.emulator.fleet_plan import Plan
from nickelslip.emulator.history import Event, History, Kind
from nickelslip.emulator.links import Channel, Delivery, Faults, StreamDirection
from nickelslip.emulator.machine_model import Machine, MachineProfile
from nickelslip.emulator.processes import running_pids
from nickelslip.emulator.scenario_runner import run_schedule
from nickelslip.emulator.schedule import ScheduleError, Step, parse_schedule
from nickelslip.emulator.service_model import Service, ServiceProfile
from nickelslip.emulator.shared_processor import SharedProcessor
from nickelslip.emulator.stall_monitor import StallMonitor
from nickelslip.emulator.time_weighted_mean import TimeWeightedMean

ROOT = Path(__file__).parent.parent


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


# Models


def test_mean_ignores_levels_before_its_window():
    level = TimeWeightedMean(100.0, 0.0)
    level.set(0.0, 4.0)
    assert level.mean(50.0) == pytest.approx(2.0) and level.mean(100.0) == pytest.approx(4.0)
    level.set(150.0, 0.0)
    assert level.mean(200.0) == pytest.approx(2.0) and level.mean(260.0) == pytest.approx(0.0)


def test_jobs_share_the_speed_and_finish_in_order_of_remaining_work():
    jobs = SharedProcessor(0.0, lambda now, number: 1 / number)
    jobs.add(0.0, "a", 10.0)
    jobs.add(5.0, "b", 3.0)
    assert jobs.next_change_at_ms() == pytest.approx(11.0)  # b needs 3 ms of work at half speed; a has 5 ms left
    assert jobs.take_finished(11.0) == ["b"] and jobs.take_finished(12.0) == [] and jobs.take_finished(13.0) == ["a"]
    jobs.add(20.0, "c", 5.0)
    assert jobs.remove(22.0, "c") and not jobs.remove(22.0, "c") and jobs.next_change_at_ms() == inf


def test_cold_machine_makes_more_calls_and_fails_at_lower_concurrency():
    profile = MachineProfile(
        cores=2,
        initial_speed_fraction=0.25,
        warm_up_ms=1000.0,
        cold_calls_factor=3.0,
        overload_per_core=5.0,
        overload_window_ms=100.0,
    )
    cold, warm = Machine(profile, 0.0), Machine(profile, -1000.0)
    assert cold.calls_factor(0.0) == pytest.approx(2.5) and warm.calls_factor(0.0) == 1.0
    for machine in (cold, warm):
        for key in range(7):
            machine.start(0.0, key, 1e6)
        machine.take_finished(100.0)
    assert cold.has_failed and not warm.has_failed


def test_overloaded_service_goes_down_drops_its_calls_and_counts_overload_time():
    service = Service(
        ServiceProfile(slots=2, call_ms=10.0, survivable_in_flight=4.0, window_ms=100.0, down_ms=500.0), 0.0
    )
    for key in range(8):
        service.begin_call(0.0, key, 1e6)
    for now_ms in range(10, 200, 10):
        service.take_finished(float(now_ms))
    assert (
        service.overload_failure_count == 1
        and service.is_down(199.0)
        and service.overload_ms > 0
        and service.in_flight(199.0) == 0
    )
    assert not service.is_down(900.0)


def test_cancelled_calls_stay_in_flight_for_the_linger_time():
    service = Service(ServiceProfile(abandoned_call_linger_ms=50.0), 0.0)
    service.begin_call(0.0, "a", 100.0)
    service.cancel_call(1.0, "a")
    assert service.in_flight(50.0) == 1 and service.in_flight(52.0) == 0


def test_endpoint_list_expires_entries_ignores_reports_while_down_and_may_come_up_empty():
    endpoints = EndpointList(3000.0)
    assert endpoints.report(0.0, "n1") and endpoints.listed(3000.0) == ["n1"] and endpoints.listed(3001.0) == []
    endpoints.report(4000.0, "n1")
    endpoints.take_down(5000.0)
    assert endpoints.listed(60_000.0) == ["n1"] and not endpoints.report(60_000.0, "n2")
    endpoints.bring_up(61_000.0)
    assert endpoints.listed(64_000.0) == ["n1"]
    endpoints.take_down(64_000.0)
    endpoints.bring_up(65_000.0, empty=True)
    assert endpoints.listed(65_000.0) == []


# Links


def test_channel_loses_and_duplicates_the_configured_fractions():
    channel = Channel(random.Random(1), Faults(lost_fraction=0.25, duplicated_fraction=0.1))
    times = [len(channel.datagram_deliveries(0.0)) for _ in range(4000)]
    assert 0.22 < times.count(0) / 4000 < 0.28 and 0.06 < times.count(2) / 4000 < 0.09
    channel.set_faults(0.0, is_cut=True)
    assert channel.datagram_deliveries(1.0) == []


def test_stream_resets_or_becomes_half_open_at_its_limit_and_keeps_order():
    stream = StreamDirection(Channel(random.Random(1), Faults(delay_ms=10.0, jitter_ms=50.0, reset_after_bytes=25.0)))
    first, second = stream.deliver(0.0, 10), stream.deliver(1.0, 10)
    assert second[1] >= first[1] >= 10.0 and stream.deliver(2.0, 10)[::2] == (5, Delivery.RESET)
    stream = StreamDirection(Channel(random.Random(1), Faults(half_open_after_bytes=0.0)))
    assert stream.deliver(0.0, 10)[::2] == (0, Delivery.HALF_OPEN)


# Checkers


def history_of(*events):
    return History(Event(at_ms, kind, "n1", request_id, detail) for at_ms, kind, request_id, detail in events)


VALID_EVENTS = (
    (0.0, Kind.STARTED, "", None),
    (1000.0, Kind.REQUEST_WRITTEN, "a1", ["pay", "", 2000.0]),
    (1100.0, Kind.RUN_STARTED, "a1", "pay"),
    (1500.0, Kind.ANSWERED, "a1", ["done", True]),
    (9000.0, Kind.FAULT, "", "the end"),
)
SHUTDOWN = (900.0, Kind.SHUTDOWN_REQUESTED, "", None)


def valid_events_without(kind):
    return tuple(event for event in VALID_EVENTS if event[1] is not kind)


@pytest.mark.parametrize(
    ("rule", "events"),
    (
        ("duplicate", (*VALID_EVENTS, (1600.0, Kind.ANSWERED, "a1", ["done", True]))),
        ("duplicate", (*VALID_EVENTS, (1200.0, Kind.RUN_STARTED, "a1", "pay"))),
        ("duplicate", (*valid_events_without(Kind.ANSWERED), (1600.0, Kind.ANSWERED, "a1", ["later", False]))),
        (
            "duplicate",
            (
                *VALID_EVENTS,
                *(
                    (at_ms, kind, request_id, detail)
                    for request_id in ("b1", "b2")
                    for at_ms, kind, detail in (
                        (1000.0, Kind.REQUEST_WRITTEN, ["book", "m", 2000.0]),
                        (1100.0, Kind.RUN_STARTED, "book"),
                        (1200.0, Kind.ANSWERED, ["done", True]),
                    )
                ),
            ),
        ),
        ("lost", valid_events_without(Kind.ANSWERED)),
        ("lost", (*valid_events_without(Kind.ANSWERED), (2300.0, Kind.ANSWERED, "a1", ["done", True]))),
        ("lost", (*valid_events_without(Kind.ANSWERED), (1500.0, Kind.ANSWERED, "a1", ["done", False]))),
        ("lost", valid_events_without(Kind.RUN_STARTED)),
        ("lost", (*valid_events_without(Kind.ANSWERED), SHUTDOWN, (1900.0, Kind.ENDED, "", 0))),
        ("drain", (*VALID_EVENTS, (100.0, Kind.SHUTDOWN_REQUESTED, "", None))),
    ),
)
def test_rule_checker_finds_only_the_planted_violation(rule, events):
    limits = {"idempotent_classes": ["read"], "grace_ms": 300.0, "slack_ms": 100.0, "window_ms": 4000.0}
    assert checkers.request_violations(history_of(*VALID_EVENTS), **limits) == []
    found = checkers.request_violations(
        History(sorted(history_of(*events).events, key=lambda event: event.at_ms)), **limits
    )
    assert found and {line.split(":")[0] for line in found} == {rule}, found


@pytest.mark.parametrize(
    "excuse",
    (
        (1600.0, Kind.REQUEST_CANCELLED, "a1", None),
        (1010.0, Kind.REQUEST_NEVER_READ, "a1", None),
        (1700.0, Kind.KILLED, "", "a fault"),
        (1700.0, Kind.LINK_CUT, "", "pool OUT"),
        (1700.0, Kind.PAUSED, "", None),
    ),
)
def test_attempt_that_needs_no_answer_is_not_reported_as_lost(excuse):
    events = sorted((*valid_events_without(Kind.ANSWERED), excuse), key=lambda event: event[0])
    assert checkers.request_violations(history_of(*events), ["read"], 300.0, 100.0) == []


def test_deadline_during_a_stall_of_the_observer_moves_to_the_end_of_the_stall():
    # Guards against answers that count as lost because the process of the load balancers stalled and read them late.
    unanswered = (*valid_events_without(Kind.ANSWERED), (2300.0, Kind.REQUEST_CANCELLED, "a1", None))
    for stall_began_at_ms, stall_ended_at_ms, expected in (
        (1950.0, 2250.0, 0),
        (1600.0, 1990.0, 1),
        (1950.0, 2150.0, 1),
    ):
        stall = (stall_ended_at_ms, Kind.OBSERVER_STALLED, "", stall_began_at_ms)
        events = sorted((*unanswered, stall), key=lambda event: event[0])
        found = checkers.request_violations(history_of(*events), ["read"], 300.0, 100.0)
        assert len(found) == expected and all("never answered, cancelled at" in line for line in found)


@pytest.mark.anyio
async def test_stall_of_the_event_loop_is_recorded():
    history = History()
    monitor = asyncio.get_running_loop().create_task(StallMonitor(history).run())
    await asyncio.sleep(0.02)
    history.events.clear()  # a busy machine may have stalled this process
    began_at_ms = history.clock()
    time.sleep(0.06)
    ended_at_ms = history.clock()
    await asyncio.sleep(0.02)
    monitor.cancel()
    stall = history.of(Kind.OBSERVER_STALLED)[0]
    assert stall.detail <= began_at_ms and stall.at_ms >= ended_at_ms


def test_fleet_checkers_find_planted_violations():
    calls = [Event(float(100 * number), Kind.CALL_BEGAN, f"n{number}", "", 0) for number in range(10)]
    assert fleet_properties.capacity_violations(calls, lambda event: 1.0, 10.0) == []
    assert len(fleet_properties.capacity_violations(calls, lambda event: 1.0, 7.0)) == 3
    assert fleet_properties.overlap_violations(
        [(0, 10), (5, 15), (20, 30)], 2
    ) == [] and fleet_properties.overlap_violations([(0, 10), (5, 15)], 1)
    assert fleet_properties.overlap_violations([(0, 10), (10, 20)], 1) == [], (
        "a span that ends when the next begins must not overlap it"
    )
    assert fleet_properties.peak_over_mean(calls, 100.0, 0.0, 1000.0) == pytest.approx(1.0)
    assert fleet_properties.peak_over_mean([*calls, *calls[:1]], 100.0, 0.0, 1000.0) == pytest.approx(20 / 11)
    listed = History([Event(0.0, Kind.LISTED, "", "", ["n1", "n2"]), Event(100.0, Kind.LISTED, "", "", ["n1"])])
    assert fleet_properties.unlisted_count(listed, ["n1", "n2"], 0.0, 1000.0) == 1
    exits = History([Event(0.0, Kind.STARTED, "n1", "", None), Event(5.0, Kind.ENDED, "n1", "", 0)])
    assert checkers.bad_exits(exits), "an exit without a request to shut down must be reported"


def test_history_is_restored_from_its_file_and_joined_in_chronological_order(tmp_path):
    first, second = history_of(*VALID_EVENTS[:2]), history_of(*VALID_EVENTS[2:])
    first.save(tmp_path / "one")
    assert History.joined([second, History.load(tmp_path / "one")]).events == history_of(*VALID_EVENTS).events


# Schedules


def test_invalid_schedule_is_rejected_with_the_location_of_every_error():
    with pytest.raises(ScheduleError) as raised:
        parse_schedule(
            [
                {"at_ms": -1, "do": "kill", "servers": ["n9"]},
                {"at_ms": 5, "do": "cut", "servers": {"part": 0.5}},
                {"at_ms": 0, "do": "burn"},
                {"at_ms": 0, "do": "reload", "servers": ["n1"], "for_ms": 3},
            ],
            ["n1", "n2"],
        )
    text = str(raised.value)
    for place in ("[0].at_ms", "[0].servers", "[1].for_ms", "[2].do", "[3].for_ms: is not a field of reload"):
        assert f"schedule{place}" in text


def test_schedule_selects_servers_by_fraction_and_zone_and_is_reproducible():
    names = [f"n{number}" for number in range(9)]
    value = [
        {"at_ms": 9, "do": "cut", "servers": {"zone": 1}, "for_ms": 5, "ways": ["OUT"]},
        {"at_ms": 3, "do": "kill", "servers": {"part": 0.5}},
    ]
    steps = parse_schedule(value, names, seed=4)
    assert [step.do for step in steps] == ["kill", "cut"] and steps == parse_schedule(value, names, seed=4)
    assert len(steps[0].servers) == 4 and steps[1].servers == ("n1", "n4", "n7")
    assert draw_schedule(names, 20_000.0, 5) == draw_schedule(names, 20_000.0, 5) != draw_schedule(names, 20_000.0, 6)
    for seed in range(30):
        assert all(step.at_ms + step.values.get("for_ms", 0) <= 18_000 for step in draw_schedule(names, 20_000.0, seed))


# Processes


@pytest.mark.anyio
@pytest.mark.parametrize("seed", (3, 8))
async def test_random_faults_violate_no_rule_and_are_recorded(tmp_path, seed):
    async with Fleet(Plan(size=4, seed=seed), tmp_path) as fleet:
        await fleet.start()
        await fleet.wait_until_serving()
        await fleet.set_request_rate()
        steps = draw_schedule(fleet.names, 5000.0, seed, mean_interval_ms=600.0)
        await run_schedule(fleet, steps)
        await fleet.wait_until_serving()
        await fleet.stop_requests()
        assert not fleet.violations(overload_failures_expected=True), "\n".join(
            fleet.violations(overload_failures_expected=True)[:20]
        )
        recorded = [event.detail.split()[0] for event in fleet.history.of(Kind.FAULT)]
        assert all(step.do in recorded for step in steps)
    assert not fleet.remaining_pids()


@pytest.mark.anyio
async def test_relay_cuts_one_direction_and_a_paused_server_resumes(tmp_path):
    async with Fleet(Plan(size=3), tmp_path) as fleet:
        await fleet.start()
        await fleet.wait_until_serving()
        await fleet.cut("n1", link="directory", ways=["OUT"])
        await fleet.wait_until(lambda: "n1" not in fleet.local_services.directory.listed(), 5.0)
        await fleet.restore("n1", link="directory", ways=["OUT"])
        await fleet.wait_until(lambda: "n1" in fleet.local_services.directory.listed(), 2.0)
        await fleet.set_request_rate()
        await run_schedule(fleet, [Step(0.0, "stand_still", ("n2",), {"for_ms": 1500.0})])
        await asyncio.sleep(0.5)
        with pytest.raises(FleetTimeoutError):
            await fleet.wait_until(lambda: False, 0.1, "a condition that is never true")
        await fleet.stop_requests()
        assert not fleet.violations(), "\n".join(fleet.violations()[:20])


@pytest.mark.anyio
async def test_services_in_a_separate_process_record_the_same_kinds_of_events(tmp_path):
    async with Fleet(Plan(size=3, is_relayed=False, service_process_count=1), tmp_path) as fleet:
        await fleet.start()
        await fleet.set_request_rate()
        await asyncio.sleep(2.0)
        await fleet.kill("n1")
        await fleet.start("n1")
        await asyncio.sleep(1.0)
        await fleet.stop_requests()
        assert (await fleet.run_command("figures"))["records_calls"] > 0
    assert not fleet.violations() and fleet.served_fraction(fleet.history.events[0].at_ms + 1000) > 0.5
    assert {event.kind for event in fleet.history.events} >= {
        Kind.RUN_STARTED,
        Kind.ANSWERED,
        Kind.REPORTED,
        Kind.POOL_LINKED,
    }
    assert not fleet.remaining_pids()


FLEET_SCRIPT = """
import asyncio, signal
from nickelslip.emulator.fleet import Fleet
from nickelslip.emulator.fleet_plan import Plan
async def main():
    async with Fleet(Plan(size=3, service_process_count=1, is_relayed=False)) as fleet:
        await fleet.start()
        print(*fleet.pids, *(host.pid for host in fleet.services.hosts), flush=True)
        await asyncio.sleep(60)
signal.signal(signal.SIGINT, signal.default_int_handler)  # a shell ignores it in its background jobs
asyncio.run(main())
"""


@pytest.mark.parametrize("number", (signal.SIGKILL, signal.SIGINT))
def test_no_process_outlives_a_killed_or_interrupted_fleet(number):
    fleet_process = subprocess.Popen(
        [sys.executable, "-c", FLEET_SCRIPT], cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
    )
    pids = [int(pid) for pid in fleet_process.stdout.readline().split()]
    assert len(pids) == 5 and running_pids(pids) == pids
    fleet_process.send_signal(number)
    fleet_process.wait(20)
    for _ in range(100):
        if not running_pids(pids):
            break
        signal.sigtimedwait((), 0.05)
    assert not running_pids(pids)
