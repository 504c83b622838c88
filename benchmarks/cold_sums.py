"""What many send together to something cold, and how soon many that restart together are ready.

Owns two measurements of `benchmarks.cold_start`, both of this version alone. Sums: all of a fleet starts cold beside a
cold records service, then half of it is killed and starts cold beside half that serves; over the budget of each cold
party twice its root and two more are put down to chance. Restarts: all start together, again and again, with the
directory down, worker pools late and every core of this machine busy with something else.
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from bisect import bisect_left
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress
from dataclasses import replace
from math import ceil
from pathlib import Path
from typing import Any

from nickelslip.emulator import checkers
from nickelslip.emulator.fleet import Fleet
from nickelslip.emulator.fleet_plan import Plan
from nickelslip.emulator.history import History, Kind
from nickelslip.emulator.models import MachineKind, excess, warmth
from nickelslip.server import resp

BALANCERS = 30
LATE_MS = 3000.0  # by which worker pools come up after their servers
ASK_EVERY_S, READY_MOST_S = 0.02, 30.0


def asked_excess(history: History, machine: MachineKind, mean_ms: float) -> float:
    """The worst excess of what all balancers together wrote to one cold server. Its budget in any `fall_ms` is what it
    can finish in that time and what it may have on its cores, both by its warmth in the middle of it."""
    begun: dict[str, list[float]] = {}
    written: dict[str, list[float]] = {}
    for event in history.events:
        if event.kind is Kind.STARTED:
            begun.setdefault(event.server, []).append(event.at_ms)
        elif event.kind is Kind.WRITTEN:
            written.setdefault(event.server, []).append(event.at_ms)
    worst = -1e9
    for server, starts in begun.items():
        times = sorted(written.get(server, []))
        for start in starts:
            for at in times[bisect_left(times, start) : bisect_left(times, start + machine.cold_ms)]:
                until = at + machine.fall_ms
                warm = warmth(at - start + machine.fall_ms / 2, machine.cold_from, machine.cold_ms)
                finishes = machine.cores * machine.speed * warm * machine.fall_ms / mean_ms
                holds = machine.cores * (1 + (machine.fall_multiple - 1) * warm)
                worst = max(worst, excess(bisect_left(times, until) - bisect_left(times, at), finishes + holds))
    return worst


async def sums(plan: Plan, folder: Path, rise_s: float, half_s: float) -> dict[str, Any]:
    """One fleet's worst excesses; at or under 1 is chance."""
    plan = replace(plan, balancers=BALANCERS)
    async with Fleet(plan, folder) as fleet:
        await fleet.set_request_rate()
        await fleet.start()
        await asyncio.sleep(rise_s)
        go = fleet.names[1::2]
        await fleet.kill(*go)
        await asyncio.sleep(half_s / 2)
        await fleet.start(*go)
        await asyncio.sleep(half_s)
        await fleet.stop_requests()
        figures = await fleet.figures()
    mean_ms = sum(each.request_fraction * plan.work.work_ms[name] for name, each in plan.traffic_classes.items())
    falls = checkers.falls(fleet.history)
    return {
        "cold_runs_excess": figures["machines_worst"],
        "cold_calls_excess": figures["records_worst"],
        "cold_asked_excess": asked_excess(fleet.history, plan.machine, mean_ms),
        "cold_falls": sum("machine" in line for line in falls) + figures["records_falls"],
        "rules_broken": len(fleet.violations(scripted_falls=True)),
        "callers_lag_ms": figures["lag_ms"],
    }


async def ready(address: tuple[str, int], clock: Callable[[], float], since: float) -> float:
    """Seconds from then until a server at this address answers a check well."""
    while (took := (clock() - since) / 1000) < READY_MOST_S:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(READY_MOST_S - took):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(resp.message(b"STATUS", b"1"))
                answer = await reader.read(256)
                writer.close()
                if b"healthy" in answer:
                    return (clock() - since) / 1000
        await asyncio.sleep(ASK_EVERY_S)
    return READY_MOST_S


async def restarts(plan: Plan, folder: Path, rounds: int) -> dict[str, Any]:
    """How soon servers that all restart at once are ready, in seconds."""
    times: list[float] = []
    async with AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(Fleet(replace(plan, rate=1e-6), folder))
        await fleet.run_command("directory_down")
        for _ in range(os.cpu_count() or 1):
            busy = await asyncio.create_subprocess_exec(sys.executable, "-c", "while True: pass")
            stack.push_async_callback(busy.wait)
            stack.callback(busy.kill)
        for _ in range(rounds):
            if fleet.processes:
                await fleet.kill(*fleet.names)
            since = fleet.history.clock()
            _, *took = await asyncio.gather(
                fleet.start(up_ms=LATE_MS),
                *(ready(fleet.spec.servers[name].listen, fleet.history.clock, since) for name in fleet.names),
            )
            times += took
    times.sort()
    return {"ready_s_p90": times[ceil(0.9 * len(times)) - 1], "ready_s_max": times[-1], "restarted": len(times)}


async def measured(plan_for: Callable[[int], Plan], sizes: list[int], quick: bool) -> dict[str, Any]:
    """All of it: the excesses by size, and the restarts of the largest."""
    out: dict[str, Any] = {}
    with tempfile.TemporaryDirectory(prefix="sums") as folder:
        for size in sizes:
            place = Path(folder) / str(size)
            place.mkdir()
            one = await sums(plan_for(size), place, *((5.0, 3.0) if quick else (10.0, 8.0)))
            out |= {f"{name}_{size}": round(figure, 3) for name, figure in one.items()}
        place = Path(folder) / "restarts"
        place.mkdir()
        again = await restarts(plan_for(max(sizes)), place, 2 if quick else 6)
        out |= {name: round(figure, 2) for name, figure in again.items()}
    return out
