"""The days of the standing test in small: a few true processes of the program, with faults between them.

Each day goes on for some seconds under a steady load, does to the servers what its namesake does, and then looks at the
four rules in what went over the sockets.
"""

from __future__ import annotations

import asyncio
import random
from contextlib import asynccontextmanager

import pytest

from nickelslip.emulator.fleet import Fleet
from nickelslip.emulator.fleet_plan import Plan
from nickelslip.emulator.fleet_properties import priority_weight_totals
from nickelslip.emulator.history import Kind

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


@asynccontextmanager
async def day(tmp_path, **plan):
    """A fleet that serves, under load; in the end the rules are looked at."""
    async with Fleet(Plan(**plan), tmp_path) as fleet:
        await fleet.start()
        await fleet.wait_until_serving()
        await fleet.set_request_rate()
        await asyncio.sleep(1.0)
        yield fleet
        await fleet.stop_requests()
        assert not fleet.violations(), "\n".join(fleet.violations()[:20])
        assert set(fleet.processes) == {name for name in fleet.names if fleet.processes[name].code is None}
    assert not fleet.remaining_pids()


async def test_calm_then_half_are_replaced_in_steps_while_a_reload_moves_the_addresses(tmp_path):
    async with day(tmp_path, size=6, rate=90.0) as fleet:
        begin = fleet.history.events[0].at_ms
        stay = fleet.names[3:]
        for step in (fleet.names[:2], fleet.names[2:3]):
            await fleet.replace(*step)
            for name in stay:
                await fleet.move_services(name)
        await fleet.wait_until_serving()
        await asyncio.sleep(1.0)
        links = fleet.history.of(Kind.POOL_LINKED)
        assert all(sum(each.server == name for each in links) == 3 for name in stay), "each move made a link"
        assert fleet.served_fraction(begin) > 0.8


async def test_most_balancers_restart_at_once_while_the_directory_is_down(tmp_path):
    async with day(tmp_path, size=4) as fleet:
        begin = fleet.history.clock()
        await fleet.run_command("directory_down")
        await fleet.run_command("restart_balancers", part=0.75)
        await asyncio.sleep(1.0)
        await fleet.kill("n1")
        await fleet.start("n1")
        await asyncio.sleep(1.5)
        await fleet.run_command("directory_up")
        await fleet.wait_until_serving()
        assert fleet.served_fraction(begin, fleet.history.clock() - 1000) > 0.7


async def test_a_third_is_killed_and_comes_back_cold(tmp_path):
    async with day(tmp_path, size=6) as fleet:
        gone = fleet.names[:2]
        await fleet.kill(*gone)
        await asyncio.sleep(1.0)
        await fleet.start(*gone)
        await fleet.wait_until_serving()
        back = fleet.history.clock()
        await asyncio.sleep(2.0)
        assert priority_weight_totals(fleet.history, back, fleet.history.clock(), set(gone))[1] > 0, (
            "those that came back serve"
        )


async def test_a_third_is_cut_off_from_everything_for_six_seconds(tmp_path):
    async with day(tmp_path, size=6) as fleet:
        off = fleet.names[:2]
        await fleet.cut(*off)
        await asyncio.sleep(6.0)
        assert not set(off) & set(fleet.local_services.directory.listed())
        await fleet.heal(*off)
        healed = fleet.history.clock()
        await fleet.wait_until_serving()
        await asyncio.sleep(2.5)
        assert fleet.served_fraction(healed + 500, fleet.history.clock() - 1000) > 0.8


async def test_most_are_replaced_within_seconds(tmp_path):
    async with day(tmp_path, size=5) as fleet:
        chance = random.Random(7)
        async with asyncio.TaskGroup() as tasks:
            for name in fleet.names[:4]:
                tasks.create_task(fleet.replace(name))
                await asyncio.sleep(chance.uniform(0.1, 0.6))
        await fleet.wait_until_serving()
        await asyncio.sleep(1.0)
        ended = fleet.history.of(Kind.ENDED)
        assert len(ended) == 4 and all(each.detail == 0 for each in ended), "each left by itself"
