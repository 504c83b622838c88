"""The rig itself: models in simulated time, links, checkers that find what is planted, schedules, and nothing left."""

from __future__ import annotations

import asyncio
import random
import signal
import subprocess
import sys
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
from nickelslip.emulator.processes import alive
from nickelslip.emulator.scenario_runner import run_schedule
from nickelslip.emulator.schedule import ScheduleError, Step, parse_schedule
from nickelslip.emulator.service_model import Service, ServiceProfile
from nickelslip.emulator.shared_processor import SharedProcessor
from nickelslip.emulator.time_weighted_mean import TimeWeightedMean

ROOT = Path(__file__).parent.parent


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


# Models


def test_a_mean_over_a_span_forgets_what_lies_before_it():
    level = TimeWeightedMean(100.0, 0.0)
    level.set(0.0, 4.0)
    assert level.mean(50.0) == pytest.approx(2.0) and level.mean(100.0) == pytest.approx(4.0)
    level.set(150.0, 0.0)
    assert level.mean(200.0) == pytest.approx(2.0) and level.mean(260.0) == pytest.approx(0.0)


def test_jobs_share_a_speed_and_end_in_the_order_of_what_is_left():
    jobs = SharedProcessor(0.0, lambda now, number: 1 / number)
    jobs.add(0.0, "a", 10.0)
    jobs.add(5.0, "b", 3.0)
    assert jobs.next_change_at_ms() == pytest.approx(11.0)  # 3 of work at half the speed, before the 5 that a has left
    assert jobs.take_finished(11.0) == ["b"] and jobs.take_finished(12.0) == [] and jobs.take_finished(13.0) == ["a"]
    jobs.add(20.0, "c", 5.0)
    assert jobs.remove(22.0, "c") and not jobs.remove(22.0, "c") and jobs.next_change_at_ms() == inf


def test_a_cold_machine_is_slower_calls_more_and_falls_sooner():
    kind = MachineProfile(
        cores=2,
        initial_speed_fraction=0.25,
        warm_up_ms=1000.0,
        cold_calls_factor=3.0,
        overload_per_core=5.0,
        overload_window_ms=100.0,
    )
    cold, warm = Machine(kind, 0.0), Machine(kind, -1000.0)
    assert cold.calls_factor(0.0) == pytest.approx(2.5) and warm.calls_factor(0.0) == 1.0
    for machine in (cold, warm):
        for key in range(7):
            machine.start(0.0, key, 1e6)
        machine.take_finished(100.0)
    assert cold.has_failed and not warm.has_failed


def test_a_service_over_what_it_survives_goes_down_loses_its_calls_and_says_for_how_long_it_was():
    service = Service(
        ServiceProfile(slots=2, call_ms=10.0, survivable_in_flight=4.0, window_ms=100.0, down_ms=500.0), 0.0
    )
    for key in range(8):
        service.begin_call(0.0, key, 1e6)
    for at in range(10, 200, 10):
        service.take_finished(float(at))
    assert (
        service.overload_failure_count == 1
        and service.is_down(199.0)
        and service.overload_ms > 0
        and service.in_flight(199.0) == 0
    )
    assert not service.is_down(900.0)


def test_calls_given_up_stay_in_a_services_hands_for_a_while():
    service = Service(ServiceProfile(abandoned_call_linger_ms=50.0), 0.0)
    service.begin_call(0.0, "a", 100.0)
    service.cancel_call(1.0, "a")
    assert service.in_flight(50.0) == 1 and service.in_flight(52.0) == 0


def test_a_list_lapses_hears_nothing_while_it_is_down_and_may_come_back_empty():
    listing = EndpointList(3000.0)
    assert listing.report(0.0, "n1") and listing.listed(3000.0) == ["n1"] and listing.listed(3001.0) == []
    listing.report(4000.0, "n1")
    listing.take_down(5000.0)
    assert listing.listed(60_000.0) == ["n1"] and not listing.report(60_000.0, "n2")
    listing.bring_up(61_000.0)
    assert listing.listed(64_000.0) == ["n1"]
    listing.take_down(64_000.0)
    listing.bring_up(65_000.0, empty=True)
    assert listing.listed(65_000.0) == []


# Links


def test_a_channel_loses_and_doubles_as_often_as_it_is_told():
    channel = Channel(random.Random(1), Faults(lost_fraction=0.25, duplicated_fraction=0.1))
    times = [len(channel.datagram_deliveries(0.0)) for _ in range(4000)]
    assert 0.22 < times.count(0) / 4000 < 0.28 and 0.06 < times.count(2) / 4000 < 0.09
    channel.set_faults(0.0, is_cut=True)
    assert channel.datagram_deliveries(1.0) == []


def test_a_stream_resets_or_goes_silent_at_its_byte_and_keeps_the_order_of_what_is_delayed():
    stream = StreamDirection(Channel(random.Random(1), Faults(delay_ms=10.0, jitter_ms=50.0, reset_after_bytes=25.0)))
    first, second = stream.deliver(0.0, 10), stream.deliver(1.0, 10)
    assert second[1] >= first[1] >= 10.0 and stream.deliver(2.0, 10)[::2] == (5, Delivery.RESET)
    stream = StreamDirection(Channel(random.Random(1), Faults(half_open_after_bytes=0.0)))
    assert stream.deliver(0.0, 10)[::2] == (0, Delivery.HALF_OPEN)


# Checkers


def told(*events):
    return History(Event(at, kind, "n1", ident, detail) for at, kind, ident, detail in events)


GOOD = (
    (0.0, Kind.STARTED, "", None),
    (1000.0, Kind.REQUEST_WRITTEN, "a1", ["pay", "", 2000.0]),
    (1100.0, Kind.RUN_STARTED, "a1", "pay"),
    (1500.0, Kind.ANSWERED, "a1", ["done", True]),
    (9000.0, Kind.FAULT, "", "the end"),
)
LEAVES = (900.0, Kind.SHUTDOWN_REQUESTED, "", None)


def without(kind):
    return tuple(each for each in GOOD if each[1] is not kind)


@pytest.mark.parametrize(
    ("rule", "events"),
    (
        ("duplicate", (*GOOD, (1600.0, Kind.ANSWERED, "a1", ["done", True]))),
        ("duplicate", (*GOOD, (1200.0, Kind.RUN_STARTED, "a1", "pay"))),
        ("duplicate", (*without(Kind.ANSWERED), (1600.0, Kind.ANSWERED, "a1", ["later", False]))),
        (
            "duplicate",
            (
                *GOOD,
                *(
                    (at, kind, ident, detail)
                    for ident in ("b1", "b2")
                    for at, kind, detail in (
                        (1000.0, Kind.REQUEST_WRITTEN, ["book", "m", 2000.0]),
                        (1100.0, Kind.RUN_STARTED, "book"),
                        (1200.0, Kind.ANSWERED, ["done", True]),
                    )
                ),
            ),
        ),
        ("lost", without(Kind.ANSWERED)),
        ("lost", (*without(Kind.ANSWERED), (2300.0, Kind.ANSWERED, "a1", ["done", True]))),
        ("lost", (*without(Kind.ANSWERED), (1500.0, Kind.ANSWERED, "a1", ["done", False]))),
        ("lost", without(Kind.RUN_STARTED)),
        ("lost", (*without(Kind.ANSWERED), LEAVES, (1900.0, Kind.ENDED, "", 0))),
        ("drain", (*GOOD, (100.0, Kind.SHUTDOWN_REQUESTED, "", None))),
    ),
)
def test_the_checker_of_the_rules_finds_a_planted_breach_and_nothing_else(rule, events):
    check = {"idempotent_classes": ["read"], "grace_ms": 300.0, "slack_ms": 100.0, "window_ms": 4000.0}
    assert checkers.request_violations(told(*GOOD), **check) == []
    found = checkers.request_violations(History(sorted(told(*events).events, key=lambda each: each.at_ms)), **check)
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
def test_what_nobody_is_owed_is_not_found_lost(excuse):
    events = sorted((*without(Kind.ANSWERED), excuse), key=lambda each: each[0])
    assert checkers.request_violations(told(*events), ["read"], 300.0, 100.0) == []


def test_checkers_of_a_whole_fleet_find_what_is_planted():
    at = [Event(float(100 * number), Kind.CALL_BEGAN, f"n{number}", "", 0) for number in range(10)]
    assert fleet_properties.capacity_violations(at, lambda event: 1.0, 10.0) == []
    assert len(fleet_properties.capacity_violations(at, lambda event: 1.0, 7.0)) == 3
    assert fleet_properties.overlap_violations(
        [(0, 10), (5, 15), (20, 30)], 2
    ) == [] and fleet_properties.overlap_violations([(0, 10), (5, 15)], 1)
    assert fleet_properties.overlap_violations([(0, 10), (10, 20)], 1) == [], (
        "one that ends as the next begins does not overlap it"
    )
    assert fleet_properties.peak_over_mean(at, 100.0, 0.0, 1000.0) == pytest.approx(1.0)
    assert fleet_properties.peak_over_mean([*at, *at[:1]], 100.0, 0.0, 1000.0) == pytest.approx(20 / 11)
    listed = History([Event(0.0, Kind.LISTED, "", "", ["n1", "n2"]), Event(100.0, Kind.LISTED, "", "", ["n1"])])
    assert fleet_properties.unlisted_count(listed, ["n1", "n2"], 0.0, 1000.0) == 1
    ends = History([Event(0.0, Kind.STARTED, "n1", "", None), Event(5.0, Kind.ENDED, "n1", "", 0)])
    assert checkers.bad_exits(ends), "it was not told to leave"


def test_a_history_comes_back_from_its_file_and_joins_in_the_order_of_time(tmp_path):
    first, second = told(*GOOD[:2]), told(*GOOD[2:])
    first.save(tmp_path / "one")
    assert History.joined([second, History.load(tmp_path / "one")]).events == told(*GOOD).events


# Schedules


def test_a_schedule_is_refused_with_every_fault_and_its_place():
    with pytest.raises(ScheduleError) as refused:
        parse_schedule(
            [
                {"at_ms": -1, "do": "kill", "servers": ["n9"]},
                {"at_ms": 5, "do": "cut", "servers": {"part": 0.5}},
                {"at_ms": 0, "do": "burn"},
                {"at_ms": 0, "do": "reload", "servers": ["n1"], "for_ms": 3},
            ],
            ["n1", "n2"],
        )
    text = str(refused.value)
    for place in ("[0].at_ms", "[0].servers", "[1].for_ms", "[2].do", "[3].for_ms: is not a field of reload"):
        assert f"schedule{place}" in text


def test_a_schedule_chooses_by_name_part_and_zone_and_is_the_same_for_a_seed():
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
async def test_drawn_faults_break_no_rule_and_what_was_done_stands_in_the_history(tmp_path, seed):
    async with Fleet(Plan(size=4, seed=seed), tmp_path) as fleet:
        await fleet.start()
        await fleet.wait_until_serving()
        await fleet.set_request_rate()
        steps = draw_schedule(fleet.names, 5000.0, seed, mean_interval_ms=600.0)
        await run_schedule(fleet, steps)
        await fleet.wait_until_serving()
        await fleet.stop_requests()
        assert not fleet.violations(scripted_falls=True), "\n".join(fleet.violations(scripted_falls=True)[:20])
        done = [event.detail.split()[0] for event in fleet.history.of(Kind.FAULT)]
        assert all(step.do in done for step in steps)
    assert not fleet.remaining_pids()


@pytest.mark.anyio
async def test_a_relay_cuts_one_way_and_a_process_that_stands_still_serves_again(tmp_path):
    async with Fleet(Plan(size=3), tmp_path) as fleet:
        await fleet.start()
        await fleet.wait_until_serving()
        await fleet.cut("n1", link="directory", ways=["OUT"])
        await fleet.wait_until(lambda: "n1" not in fleet.local_services.directory.listed(), 5.0)
        await fleet.heal("n1", link="directory", ways=["OUT"])
        await fleet.wait_until(lambda: "n1" in fleet.local_services.directory.listed(), 2.0)
        await fleet.set_request_rate()
        await run_schedule(fleet, [Step(0.0, "stand_still", ("n2",), {"for_ms": 1500.0})])
        await asyncio.sleep(0.5)
        with pytest.raises(FleetTimeoutError):
            await fleet.wait_until(lambda: False, 0.1, "what never comes")
        await fleet.stop_requests()
        assert not fleet.violations(), "\n".join(fleet.violations()[:20])


@pytest.mark.anyio
async def test_surroundings_in_processes_of_their_own_tell_the_same_history(tmp_path):
    async with Fleet(Plan(size=3, relayed=False, hosts=1), tmp_path) as fleet:
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


RIG = """
import asyncio, sys
from nickelslip.emulator.fleet import Fleet
from nickelslip.emulator.fleet_plan import Plan
async def main():
    async with Fleet(Plan(size=3, hosts=1, relayed=False)) as fleet:
        await fleet.start()
        print(*fleet.pids, *(host.pid for host in fleet.services.hosts), flush=True)
        await asyncio.sleep(60)
asyncio.run(main())
"""


@pytest.mark.parametrize("number", (signal.SIGKILL, signal.SIGINT))
def test_nothing_outlives_a_rig_that_is_killed_or_interrupted(number):
    rig = subprocess.Popen([sys.executable, "-c", RIG], cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
    pids = [int(each) for each in rig.stdout.readline().split()]
    assert len(pids) == 5 and alive(pids) == pids
    rig.send_signal(number)
    rig.wait(20)
    for _ in range(100):
        if not alive(pids):
            break
        signal.sigtimedwait((), 0.05)
    assert not alive(pids)
