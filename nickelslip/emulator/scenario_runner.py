"""Runs a schedule of faults against a fleet; each step is recorded in the fleet's history, and undone at its end."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from nickelslip.emulator.fleet import Fleet
from nickelslip.emulator.history import MS_PER_S, Kind
from nickelslip.emulator.links import faults_off
from nickelslip.emulator.schedule import Step

ServerStep = Callable[[Fleet, Step, str], Awaitable[None]]
FleetStep = Callable[[Fleet, Step], Awaitable[None]]


async def run_schedule(fleet: Fleet, steps: Sequence[Step]) -> None:
    """Run each step at its time, concurrently with others, and return when all steps are undone.

    Steps on the process of the same server run one after another.
    """
    begin_at_ms = fleet.history.clock()
    locks = {name: asyncio.Lock() for name in fleet.names}
    async with asyncio.TaskGroup() as tasks:
        for step in steps:
            wait_ms = begin_at_ms + step.at_ms - fleet.history.clock()
            if wait_ms > 0:
                await asyncio.sleep(wait_ms / MS_PER_S)
            fleet.history.add(Kind.FAULT, "", "", f"{step.do} {','.join(step.servers)} {step.values}")
            for name in step.servers:
                tasks.create_task(_run_at_server(fleet, step, name, locks[name]))
            if step.do in FLEET_STEPS:
                tasks.create_task(_run_at_fleet(fleet, step))


async def _run_at_server(fleet: Fleet, step: Step, name: str, lock: asyncio.Lock) -> None:
    if step.do in LINK_STEPS:
        await LINK_STEPS[step.do](fleet, step, name)
        return
    async with lock:
        await PROCESS_STEPS[step.do](fleet, step, name)


async def _run_at_fleet(fleet: Fleet, step: Step) -> None:
    await FLEET_STEPS[step.do](fleet, step)


async def _sleep_for_duration(step: Step) -> None:
    await asyncio.sleep(step.values.get("for_ms", 0.0) / MS_PER_S)


# Steps on the links and the configuration of a server


async def _cut(fleet: Fleet, step: Step, name: str) -> None:
    await _link_faults(fleet, step, name, {"cut": True})


async def _link(fleet: Fleet, step: Step, name: str) -> None:
    await _link_faults(fleet, step, name, step.values["faults"])


async def _link_faults(fleet: Fleet, step: Step, name: str, faults: dict[str, Any]) -> None:
    target: dict[str, Any] = {"link": step.values.get("link", ""), "ways": step.values.get("ways")}
    await fleet.run_command("set_link", name, **target, **faults)
    await _sleep_for_duration(step)
    await fleet.run_command("set_link", name, **target, **faults_off(faults))


async def _reset(fleet: Fleet, step: Step, name: str) -> None:
    await fleet.run_command("reset_links", name, link=step.values.get("link", ""))


async def _reload(fleet: Fleet, _: Step, name: str) -> None:
    fleet.reload(name)


# Steps on the process of a server


async def _kill(fleet: Fleet, step: Step, name: str) -> None:
    await fleet.kill(name)
    if "back_after_ms" in step.values:
        await asyncio.sleep(step.values["back_after_ms"] / MS_PER_S)
        await _start(fleet, step, name)


async def _shut_down(fleet: Fleet, _: Step, name: str) -> None:
    await fleet.shut_down(name)


async def _replace(fleet: Fleet, step: Step, name: str) -> None:
    position = step.servers.index(name)
    await asyncio.sleep(position * step.values.get("each_after_ms", 0.0) / MS_PER_S)
    await fleet.replace(name)


async def _start(fleet: Fleet, step: Step, name: str) -> None:
    await fleet.start(name, up_ms=step.values.get("up_ms", 0.0))


async def _pause(fleet: Fleet, step: Step, name: str) -> None:
    fleet.pause(name)
    try:
        await _sleep_for_duration(step)
    finally:
        fleet.resume(name)


async def _crash_loop(fleet: Fleet, step: Step, name: str) -> None:
    for _ in range(int(step.values["times"])):
        await fleet.kill(name)
        await fleet.start(name)
        await asyncio.sleep(step.values["every_ms"] / MS_PER_S)


# Steps on the shared services and on load balancers


async def _directory_down(fleet: Fleet, step: Step) -> None:
    await fleet.run_command("directory_down")
    await _sleep_for_duration(step)
    await fleet.run_command("directory_up", empty=step.values.get("empty", False))


async def _records_down(fleet: Fleet, step: Step) -> None:
    await fleet.run_command("records_down", for_ms=step.values["for_ms"])
    await _sleep_for_duration(step)


async def _records_slow(fleet: Fleet, step: Step) -> None:
    await fleet.run_command("records_slow", by=step.values["by"])
    await _sleep_for_duration(step)
    await fleet.run_command("records_slow", by=1.0)


async def _restart_balancers(fleet: Fleet, step: Step) -> None:
    await fleet.run_command("restart_balancers", part=step.values.get("part", 1.0))


async def _set_request_rate(fleet: Fleet, step: Step) -> None:
    await fleet.set_request_rate(step.values["rate"])


LINK_STEPS: dict[str, ServerStep] = {"cut": _cut, "link": _link, "reset": _reset, "reload": _reload}
PROCESS_STEPS: dict[str, ServerStep] = {
    "kill": _kill,
    "leave": _shut_down,
    "replace": _replace,
    "start": _start,
    "stand_still": _pause,
    "loop": _crash_loop,
}
FLEET_STEPS: dict[str, FleetStep] = {
    "directory_down": _directory_down,
    "records_down": _records_down,
    "records_slow": _records_slow,
    "restart_balancers": _restart_balancers,
    "ask": _set_request_rate,
}
