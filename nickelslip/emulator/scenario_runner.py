"""A schedule played against a fleet.

Owns the order and the times of steps, and their undoing. What was done stands in the fleet's history. It must never
leave a fault standing when it ends in good order.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import asdict
from typing import Any

from nickelslip.emulator.fleet import Fleet
from nickelslip.emulator.history import Kind
from nickelslip.emulator.links import Faults
from nickelslip.emulator.schedule import Step

NONE = asdict(Faults())


async def play(fleet: Fleet, steps: Sequence[Step]) -> None:
    """Do all of it, each step at its time and beside the others; return when the last is undone. Steps that meet at
    one server take turns there: one that is being replaced is killed when it is back."""
    begin = fleet.history.clock()
    turns = {name: asyncio.Lock() for name in fleet.names}
    async with asyncio.TaskGroup() as tasks:
        for step in steps:
            wait = begin + step.at_ms - fleet.history.clock()
            if wait > 0:
                await asyncio.sleep(wait / 1000)
            fleet.history.add(Kind.FAULT, "", "", f"{step.do} {','.join(step.servers)} {step.values}")
            if step.servers:
                for name in step.servers:
                    tasks.create_task(_at_server(fleet, step, name, turns[name]))
            else:
                tasks.create_task(_at_all(fleet, step))


async def _at_server(fleet: Fleet, step: Step, name: str, turn: asyncio.Lock) -> None:
    values, for_s = step.values, step.values.get("for_ms", 0.0) / 1000
    if step.do == "cut" or step.do == "link":
        faults = {"cut": True} if step.do == "cut" else values["faults"]
        where: dict[str, Any] = {"link": values.get("link", ""), "ways": values.get("ways")}
        await fleet.run_command("set_link", name, **where, **faults)
        await asyncio.sleep(for_s)
        await fleet.run_command("set_link", name, **where, **{word: NONE[word] for word in faults})
    elif step.do == "reset":
        await fleet.run_command("reset_links", name, link=values.get("link", ""))
    elif step.do == "reload":
        fleet.reload(name)
    else:
        async with turn:
            await _to_process(fleet, step, name)


async def _to_process(fleet: Fleet, step: Step, name: str) -> None:
    values = step.values
    if step.do == "kill":
        await fleet.kill(name)
        if "back_after_ms" in values:
            await asyncio.sleep(values["back_after_ms"] / 1000)
            await fleet.start(name, up_ms=values.get("up_ms", 0.0))
    elif step.do == "leave":
        await fleet.shut_down(name)
    elif step.do == "replace":
        await asyncio.sleep(step.servers.index(name) * values.get("each_after_ms", 0.0) / 1000)
        await fleet.replace(name)
    elif step.do == "start":
        await fleet.start(name, up_ms=values.get("up_ms", 0.0))
    elif step.do == "stand_still":
        fleet.pause(name)
        try:
            await asyncio.sleep(values["for_ms"] / 1000)
        finally:
            fleet.resume(name)
    elif step.do == "loop":
        for _ in range(int(values["times"])):
            await fleet.kill(name)
            await fleet.start(name)
            await asyncio.sleep(values["every_ms"] / 1000)


async def _at_all(fleet: Fleet, step: Step) -> None:
    values, for_s = step.values, step.values.get("for_ms", 0.0) / 1000
    if step.do == "directory_down":
        await fleet.run_command("directory_down")
        await asyncio.sleep(for_s)
        await fleet.run_command("directory_up", empty=values.get("empty", False))
    elif step.do == "records_down":
        await fleet.run_command("records_down", for_ms=values["for_ms"])
        await asyncio.sleep(for_s)
    elif step.do == "records_slow":
        await fleet.run_command("records_slow", by=values["by"])
        await asyncio.sleep(for_s)
        await fleet.run_command("records_slow", by=1.0)
    elif step.do == "restart_balancers":
        await fleet.run_command("restart_balancers", part=values.get("part", 1.0))
    elif step.do == "ask":
        await fleet.set_request_rate(values["rate"])
