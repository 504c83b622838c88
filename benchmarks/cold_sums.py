"""Measures the combined load on cold services, and how soon servers that restart together are ready.

Both are part of `benchmarks.cold_start` and measure this version only.

Combined load: a whole fleet starts cold with a cold records service. Then half of the fleet is killed and starts cold
while the other half serves. Load above the budget of a cold service, by up to twice the root of the budget and two
more, is attributed to chance.

Restarts: all servers start together, several times, with the directory down, worker pools delayed and every core of
this machine kept busy by other processes.
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress
from dataclasses import replace
from math import ceil
from pathlib import Path
from typing import Any

from nickelslip.emulator import checkers
from nickelslip.emulator.fleet import Fleet
from nickelslip.emulator.fleet_plan import Plan
from nickelslip.emulator.history import MS_PER_S, History, Kind
from nickelslip.emulator.machine_model import MachineProfile
from nickelslip.emulator.shared_processor import warm_up_fraction
from nickelslip.emulator.time_weighted_mean import excess
from nickelslip.server import resp

BALANCER_COUNT = 30
POOL_DELAY_MS = 3000.0  # how long after its server a worker pool starts
MIN_RATE_PER_S = 1e-6
CHECK_INTERVAL_S = 0.02
MAX_READY_S = 30.0
CHECK_ANSWER_BYTES = 256
READY_WORD = b"healthy"
NO_EXCESS = -1e9
QUICK_SPANS_S = (5.0, 3.0)
FULL_SPANS_S = (10.0, 8.0)
QUICK_ROUNDS = 2
FULL_ROUNDS = 6
READY_PERCENTILE = 0.9


def written_requests_excess(history: History, machine: MachineProfile, mean_ms: float) -> float:
    """Return the worst excess of requests that all load balancers together wrote to one server during its warm-up.

    The budget in an overload window is the number of requests that the server can finish in it, plus the number that it
    may have on its cores. Both follow from the server's speed in the middle of the window.
    """
    starts_ms: dict[str, list[float]] = defaultdict(list)
    writes_ms: dict[str, list[float]] = defaultdict(list)
    for event in history.events:
        if event.kind is Kind.STARTED:
            starts_ms[event.server].append(event.at_ms)
        elif event.kind is Kind.REQUEST_WRITTEN:
            writes_ms[event.server].append(event.at_ms)
    return max(
        (
            _excess_after_start(sorted(writes_ms[server]), start_ms, machine, mean_ms)
            for server, server_starts_ms in starts_ms.items()
            for start_ms in server_starts_ms
        ),
        default=NO_EXCESS,
    )


def _excess_after_start(writes_ms: list[float], start_ms: float, machine: MachineProfile, mean_ms: float) -> float:
    """Return the worst excess of any overload window that begins with a write while the server warms up."""
    window_ms = machine.overload_window_ms
    worst = NO_EXCESS
    first = bisect_left(writes_ms, start_ms)
    last = bisect_left(writes_ms, start_ms + machine.warm_up_ms)
    for begin_ms in writes_ms[first:last]:
        age_ms = begin_ms - start_ms + window_ms / 2
        warm = warm_up_fraction(age_ms, machine.initial_speed_fraction, machine.warm_up_ms)
        finishable = machine.cores * machine.speed * warm * window_ms / mean_ms
        max_on_cores = machine.cores * (1 + (machine.overload_per_core - 1) * warm)
        written = bisect_left(writes_ms, begin_ms + window_ms) - bisect_left(writes_ms, begin_ms)
        worst = max(worst, excess(written, finishable + max_on_cores))
    return worst


async def combined_load_excesses(plan: Plan, folder: Path, rise_s: float, half_s: float) -> dict[str, Any]:
    """Run one fleet and return its worst excesses. One of up to 1 is attributed to chance."""
    plan = replace(plan, balancer_count=BALANCER_COUNT)
    async with Fleet(plan, folder) as fleet:
        await fleet.set_request_rate()
        await fleet.start()
        await asyncio.sleep(rise_s)
        restarting = fleet.names[1::2]
        await fleet.kill(*restarting)
        await asyncio.sleep(half_s / 2)
        await fleet.start(*restarting)
        await asyncio.sleep(half_s)
        await fleet.stop_requests()
        figures = await fleet.figures()
    mean_ms = sum(traffic.request_fraction * plan.work.work_ms[name] for name, traffic in plan.traffic_classes.items())
    overload_failures = checkers.overload_failures(fleet.history)
    return {
        "cold_runs_excess": figures["machines_worst"],
        "cold_calls_excess": figures["records_worst"],
        "cold_asked_excess": written_requests_excess(fleet.history, plan.machine, mean_ms),
        "cold_falls": sum("machine" in line for line in overload_failures) + figures["records_falls"],
        "rules_broken": len(fleet.violations(overload_failures_expected=True)),
        "callers_lag_ms": figures["lag_ms"],
    }


async def time_to_ready_s(address: tuple[str, int], clock: Callable[[], float], since_ms: float) -> float:
    """Return how long it takes until the server at this address reports that it is healthy; 30 s at most."""
    while (elapsed_s := (clock() - since_ms) / MS_PER_S) < MAX_READY_S:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(MAX_READY_S - elapsed_s):
                if READY_WORD in await _check(address):
                    return (clock() - since_ms) / MS_PER_S
        await asyncio.sleep(CHECK_INTERVAL_S)
    return MAX_READY_S


async def _check(address: tuple[str, int]) -> bytes:
    reader, writer = await asyncio.open_connection(*address)
    writer.write(resp.message(b"STATUS", b"1"))
    answer = await reader.read(CHECK_ANSWER_BYTES)
    writer.close()
    return answer


async def restart_times(plan: Plan, folder: Path, round_count: int) -> dict[str, Any]:
    """Return how soon servers that all restart at once are ready, in seconds."""
    times_s: list[float] = []
    async with AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(Fleet(replace(plan, rate_per_s=MIN_RATE_PER_S), folder))
        await fleet.run_command("directory_down")
        await _keep_cores_busy(stack)
        for _ in range(round_count):
            times_s += await _restart_all(fleet)
    times_s.sort()
    return {
        "ready_s_p90": times_s[ceil(READY_PERCENTILE * len(times_s)) - 1],
        "ready_s_max": times_s[-1],
        "restarted": len(times_s),
    }


async def _keep_cores_busy(stack: AsyncExitStack) -> None:
    """Start a busy process for each core. The processes are killed when the stack closes."""
    for _ in range(os.cpu_count() or 1):
        busy_process = await asyncio.create_subprocess_exec(sys.executable, "-c", "while True: pass")
        stack.push_async_callback(busy_process.wait)
        stack.callback(busy_process.kill)


async def _restart_all(fleet: Fleet) -> list[float]:
    if fleet.processes:
        await fleet.kill(*fleet.names)
    clock = fleet.history.clock
    since_ms = clock()
    addresses = [fleet.spec.servers[name].listen for name in fleet.names]
    _, *times_s = await asyncio.gather(
        fleet.start(up_ms=POOL_DELAY_MS),
        *(time_to_ready_s(address, clock, since_ms) for address in addresses),
    )
    return [time_s for time_s in times_s if time_s is not None]


async def measure_combined_load(plan_for: Callable[[int], Plan], sizes: list[int], quick: bool) -> dict[str, Any]:
    """Return the excesses at each size, and the restart times at the largest size."""
    results: dict[str, Any] = {}
    with tempfile.TemporaryDirectory(prefix="sums") as folder:
        for size in sizes:
            size_folder = Path(folder) / str(size)
            size_folder.mkdir()
            figures = await combined_load_excesses(
                plan_for(size), size_folder, *(QUICK_SPANS_S if quick else FULL_SPANS_S)
            )
            results |= {f"{name}_{size}": round(figure, 3) for name, figure in figures.items()}
        restarts_folder = Path(folder) / "restarts"
        restarts_folder.mkdir()
        rounds = QUICK_ROUNDS if quick else FULL_ROUNDS
        restarts = await restart_times(plan_for(max(sizes)), restarts_folder, rounds)
        results |= {name: round(figure, 2) for name, figure in restarts.items()}
    return results
