"""One run of the cold-start benchmark: a fleet of one version of the server, and its figures."""

from __future__ import annotations

import asyncio
import math
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.versions import ROOT
from nickelslip.emulator import checkers, fleet_properties
from nickelslip.emulator.client_traffic import ClassTraffic
from nickelslip.emulator.fleet import Fleet
from nickelslip.emulator.fleet_figures import served_fraction
from nickelslip.emulator.fleet_plan import Plan
from nickelslip.emulator.history import MS_PER_S, History, Kind
from nickelslip.emulator.machine_model import MachineProfile
from nickelslip.emulator.service_model import ServiceProfile
from nickelslip.emulator.shared_processor import warm_up_fraction
from nickelslip.emulator.work_profile import WorkProfile

LOAD_FRACTION = 0.55  # of the capacity of the warm machines
SERVING_LOAD_FRACTION = 0.8  # of the capacity of the servers that serve while the others start
MACHINE_WARM_UP_MS = 5000.0
MACHINE_INITIAL_SPEED = 0.25
COLD_CALLS_FACTOR = 2.5
CALL_MS = 60.0
SURVIVABLE_CALLS_PER_SERVER = 0.9
SLOTS_PER_SERVER = 0.6
CALL_SHARE_FACTOR = 2.0  # sum of the servers' shares of calls, over the calls that the records service survives
LOST_REPORTS_FRACTION = 0.25
SERVERS_PER_HOST = 40
MAX_HOSTS = 4
SERVERS_PER_BALANCER = 8
MIN_BALANCERS = 4
BIN_MS = 100.0
SEARCH_STEP_MS = 100.0
WINDOW_MS = 1000.0  # window in which served and requested priority weight are compared
BOUND_STEP_MS = 10
MAX_BOUND_MS = 60_000
MS_PER_MINUTE = 60_000
FULL_SERVICE_FRACTION = 0.95
SERVING_MARGIN_MS = 500
BEFORE_RESTART_MS = 1500
STARTUP_MARGIN_MS = 1000
MAX_SHOWN_VIOLATIONS = 5

CommandLine = Callable[[str], Sequence[str]]


@dataclass(frozen=True)
class PhaseDurations:
    """How long each phase of a run lasts, in seconds.

    Attributes:
        rise: After the start of all servers.
        calm: Without any intervention.
        lossy: While a part of the load reports is lost.
        settle: After half of the servers were killed.
        restart: After that half was started again.
    """

    rise: float
    calm: float
    lossy: float
    settle: float
    restart: float


QUICK_DURATIONS = PhaseDurations(7.0, 3.0, 3.0, 4.5, 4.0)
FULL_DURATIONS = PhaseDurations(15.0, 60.0, 30.0, 8.0, 15.0)


@dataclass(frozen=True)
class PhaseTimes:
    """When each phase of a run began or ended, in milliseconds."""

    begin: float
    calm: float
    lossy: float
    lossy_end: float
    restart: float
    end: float


def plan_for(size: int, seed: int) -> Plan:
    """Return a fleet whose machines and records service start cold.

    The servers' shares of calls add up to twice what the records service survives.
    """
    classes = {
        "read": ClassTraffic(0.6, 1.0, 1600.0, 2600.0, True),
        "pay": ClassTraffic(0.3, 3.0, 1000.0, 2000.0, False),
        "book": ClassTraffic(0.1, 2.0, 1200.0, 2200.0, False, True),
    }
    work = WorkProfile({"read": 200.0, "pay": 120.0, "book": 80.0}, {"read": 1.0, "pay": 1.0})
    machine = MachineProfile(
        initial_speed_fraction=MACHINE_INITIAL_SPEED,
        warm_up_ms=MACHINE_WARM_UP_MS,
        cold_calls_factor=COLD_CALLS_FACTOR,
    )
    survivable_calls = SURVIVABLE_CALLS_PER_SERVER * size
    service = ServiceProfile(
        slots=round(SLOTS_PER_SERVER * size),
        call_ms=CALL_MS,
        survivable_in_flight=survivable_calls,
        initial_speed_fraction=0.4,
        warm_up_ms=3000.0,
        window_ms=1000.0,
        down_ms=2000.0,
    )
    return Plan(
        size=size,
        seed=seed,
        rate_per_s=LOAD_FRACTION * machine_capacity(classes, work, machine) * size,
        balancer_count=max(MIN_BALANCERS, size // SERVERS_PER_BALANCER),
        traffic_classes=classes,
        work=work,
        machine=machine,
        service=service,
        call_share=CALL_SHARE_FACTOR * survivable_calls / size,
        cold=True,
        is_relayed=False,
        records_list=True,
        service_process_count=max(1, min(MAX_HOSTS, size // SERVERS_PER_HOST)),
        slack_ms=1000.0,
    )


def machine_capacity(classes: dict[str, ClassTraffic], work: WorkProfile, machine: MachineProfile) -> float:
    """Return the requests per second that one warm machine can process."""
    mean_ms = sum(traffic.request_fraction * work.work_ms[name] for name, traffic in classes.items())
    return MS_PER_S * machine.cores * machine.speed / mean_ms


def bound_ms(plan: Plan, fraction: float = FULL_SERVICE_FRACTION) -> float:
    """Return the earliest time after a cold start of everything at which this fraction of the demand can be served.

    It is bounded by the warm-up of the machines and by the rate at which the records service answers the calls that
    cannot be skipped.
    """
    service = plan.service
    calls_per_request = sum(
        traffic.request_fraction * plan.work.calls.get(name, 0.0)
        for name, traffic in plan.traffic_classes.items()
        if not traffic.is_idempotent
    )
    for at_ms in range(0, MAX_BOUND_MS, BOUND_STEP_MS):
        warm = warm_up_fraction(at_ms, plan.machine.initial_speed_fraction, plan.machine.warm_up_ms)
        service_warm = warm_up_fraction(at_ms, service.initial_speed_fraction, service.warm_up_ms)
        served = min(1.0, warm / LOAD_FRACTION)
        calls_factor = 1 + (plan.machine.cold_calls_factor - 1) * (1 - warm)
        calls_per_s = MS_PER_S * service.slots / service.call_ms * service_warm
        if served >= fraction and plan.rate_per_s * calls_per_request * calls_factor <= calls_per_s:
            return float(at_ms)
    return math.inf


def time_to_served_fraction(history: History, begin_ms: float, end_ms: float, fraction: float) -> float:
    """Return how long the fleet takes to serve this fraction of the requested priority weight; infinity if never.

    It is the middle of the first second in which that holds. An answer counts at the time at which it arrives, so a
    request that was queued until the fleet had capacity does not make the fleet appear ready earlier.
    """
    earned_weights = [
        (answer.event.at_ms, answer.priority_weight) for answer in fleet_properties.earned_answers(history)
    ]
    requested_weights = [(event.at_ms, event.detail[1]) for event in history.of(Kind.CLIENT_REQUESTED)]
    at_ms = begin_ms
    while at_ms <= end_ms - WINDOW_MS:
        earned_weight = _weight_within_window(earned_weights, at_ms)
        requested_weight = _weight_within_window(requested_weights, at_ms)
        if requested_weight and earned_weight >= fraction * requested_weight:
            return at_ms - begin_ms + WINDOW_MS / 2
        at_ms += SEARCH_STEP_MS
    return math.inf


def _weight_within_window(weights: list[tuple[float, float]], begin_ms: float) -> float:
    return sum(weight for at_ms, weight in weights if begin_ms <= at_ms < begin_ms + WINDOW_MS)


def command_line_of(version: str) -> CommandLine:
    """Return a function that returns the command line of a version for a configuration file.

    It is the command line of that version's deploy file.
    """
    if version == "this":
        start = ["deploy/serve.py"]
    elif version == "before":
        start = ["-m", "nickelslip.server"]
    else:
        start = [str(ROOT / "benchmarks" / "jittered.py")]
    return lambda config: [sys.executable, "-B", *start, "serve", "--config", config]


async def run_version(
    version: str, folder: Path, size: int, seed: int, durations: PhaseDurations, cwd: Path
) -> dict[str, Any]:
    """Run one version and return its figures by their keys in the benchmark's output."""
    plan = plan_for(size, seed)
    fleet = Fleet(plan, folder, command_line_of(version), cwd)
    async with fleet:
        times = await _run_phases(fleet, durations)
        await fleet.stop_requests()
        service_figures = await fleet.figures()
    return {
        **_served_figures(fleet.history, times),
        **_directory_figures(fleet, times),
        **_load_figures(fleet, times, service_figures),
    }


async def _run_phases(fleet: Fleet, durations: PhaseDurations) -> PhaseTimes:
    plan = fleet.plan
    clock = fleet.history.clock
    await fleet.set_request_rate()
    begin = clock()
    await fleet.start()
    await asyncio.sleep(durations.rise)
    calm = clock()
    await asyncio.sleep(durations.calm)
    lossy = clock()
    await fleet.run_command("directory_loses", part=LOST_REPORTS_FRACTION)
    await asyncio.sleep(durations.lossy)
    lossy_end = clock()
    await fleet.run_command("directory_loses", part=0.0)
    staying = fleet.names[::2]
    restarting = fleet.names[1::2]
    await fleet.kill(*restarting)
    await fleet.set_request_rate(plan.rate_per_s / LOAD_FRACTION * SERVING_LOAD_FRACTION * len(staying) / plan.size)
    await asyncio.sleep(durations.settle)
    restart = clock()
    await fleet.start(*restarting)
    await asyncio.sleep(durations.restart)
    return PhaseTimes(begin, calm, lossy, lossy_end, restart, clock())


def _served_figures(history: History, times: PhaseTimes) -> dict[str, Any]:
    served_before = served_fraction(history, times.restart - BEFORE_RESTART_MS, times.restart)
    served_during = served_fraction(history, times.restart, times.end - SERVING_MARGIN_MS)
    return {
        "to_95_ms": time_to_served_fraction(history, times.begin, times.lossy, FULL_SERVICE_FRACTION),
        "share_calm": served_fraction(history, times.calm, times.lossy),
        "share_rise": served_fraction(history, times.begin, times.calm),
        "serving_loss": max(0.0, 1 - served_during / served_before) if served_before else 1.0,
        "serving_before": served_before,
        "serving_during": served_during,
    }


def _directory_figures(fleet: Fleet, times: PhaseTimes) -> dict[str, Any]:
    history = fleet.history
    reports = history.of(Kind.REPORTED)
    first_report_ms = min((event.at_ms for event in reports), default=times.begin)
    calm_count = sum(times.calm <= event.at_ms < times.lossy for event in reports)
    calm_ms = times.lossy - times.calm
    return {
        "directory_peak_over_mean": fleet_properties.peak_over_mean(
            reports, BIN_MS, first_report_ms + STARTUP_MARGIN_MS, times.lossy
        ),
        "reports_a_minute": MS_PER_MINUTE * calm_count / calm_ms / fleet.plan.size,
        "falsely_unlisted": fleet_properties.unlisted_count(history, fleet.names, times.lossy, times.lossy_end),
        "unlisted_calm": fleet_properties.unlisted_count(history, fleet.names, times.calm, times.lossy),
    }


def _load_figures(fleet: Fleet, times: PhaseTimes, service_figures: dict[str, float]) -> dict[str, Any]:
    history = fleet.history
    size = fleet.plan.size
    pool_linked = history.of(Kind.POOL_LINKED)
    pool_connections = [event for event in history.of(Kind.CONNECTED) if event.detail == "pool"]
    connections_per_s = fleet_properties.counts_per_bin(pool_connections, MS_PER_S, times.begin, times.end)
    all_linked_ms = math.inf
    if len(pool_linked) >= size:
        all_linked_ms = max(event.at_ms for event in pool_linked[:size]) - times.begin
    violations = fleet.violations(overload_failures_expected=True)
    return {
        "records_over_survivable_ms": service_figures["records_over_ms"],
        "records_down": service_figures["records_falls"],
        "records_most": service_figures["records_most"],
        "links_tried_per_s_peak": max(connections_per_s, default=0),
        "linked_ms": all_linked_ms,
        "falls_over": sum("machine" in line for line in checkers.overload_failures(history)),
        "rules_broken": len(violations),
        "broken": violations[:MAX_SHOWN_VIOLATIONS],
        "left_behind": len(fleet.remaining_pids()),
        "callers_lag_ms": service_figures["lag_ms"],
    }
