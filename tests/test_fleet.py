"""Tests of small fleets of real server processes under faults.

Each test is a short form of a daily scenario of the long-running test. It runs for some seconds under steady load,
injects the faults of that scenario, and then checks the four rules against the traffic on the sockets.
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
async def serving_fleet(tmp_path, **plan):
    """Yield a serving fleet under load; afterwards check the rules and that every server still runs."""
    async with Fleet(Plan(**plan), tmp_path) as fleet:
        await fleet.start()
        await fleet.wait_until_serving()
        await fleet.set_request_rate()
        await asyncio.sleep(1.0)
        yield fleet
        await fleet.stop_requests()
        assert not fleet.violations(), "\n".join(fleet.violations()[:20])
        assert set(fleet.processes) == {name for name in fleet.names if fleet.processes[name].exit_code is None}
    assert not fleet.remaining_pids()


async def test_half_the_servers_are_replaced_in_steps_while_services_of_the_others_move(tmp_path):
    async with serving_fleet(tmp_path, size=6, rate_per_s=90.0) as fleet:
        begin_at_ms = fleet.history.events[0].at_ms
        remaining = fleet.names[3:]
        for step in (fleet.names[:2], fleet.names[2:3]):
            await fleet.replace(*step)
            for name in remaining:
                await fleet.move_services(name)
        await fleet.wait_until_serving()
        await asyncio.sleep(1.0)
        links = fleet.history.of(Kind.POOL_LINKED)
        assert all(sum(event.server == name for event in links) == 3 for name in remaining), (
            "each move must cause a new connection to the worker pool"
        )
        assert fleet.served_fraction(begin_at_ms) > 0.8


async def test_most_load_balancers_restart_at_once_while_the_directory_is_down(tmp_path):
    async with serving_fleet(tmp_path, size=4) as fleet:
        begin_at_ms = fleet.history.clock()
        await fleet.run_command("directory_down")
        await fleet.run_command("restart_balancers", part=0.75)
        await asyncio.sleep(1.0)
        await fleet.kill("n1")
        await fleet.start("n1")
        await asyncio.sleep(1.5)
        await fleet.run_command("directory_up")
        await fleet.wait_until_serving()
        assert fleet.served_fraction(begin_at_ms, fleet.history.clock() - 1000) > 0.7


async def test_servers_that_were_killed_serve_again_after_their_start(tmp_path):
    async with serving_fleet(tmp_path, size=6) as fleet:
        killed = fleet.names[:2]
        await fleet.kill(*killed)
        await asyncio.sleep(1.0)
        await fleet.start(*killed)
        await fleet.wait_until_serving()
        serving_at_ms = fleet.history.clock()
        await asyncio.sleep(2.0)
        assert priority_weight_totals(fleet.history, serving_at_ms, fleet.history.clock(), set(killed))[1] > 0, (
            "the restarted servers must serve requests"
        )


async def test_fleet_recovers_after_a_third_is_cut_off_for_six_seconds(tmp_path):
    async with serving_fleet(tmp_path, size=6) as fleet:
        cut_off = fleet.names[:2]
        await fleet.cut(*cut_off)
        await asyncio.sleep(6.0)
        assert not set(cut_off) & set(fleet.local_services.directory.listed())
        await fleet.restore(*cut_off)
        restored_at_ms = fleet.history.clock()
        await fleet.wait_until_serving()
        await asyncio.sleep(2.5)
        assert fleet.served_fraction(restored_at_ms + 500, fleet.history.clock() - 1000) > 0.8


async def test_most_servers_are_replaced_within_seconds_and_exit_cleanly(tmp_path):
    async with serving_fleet(tmp_path, size=5) as fleet:
        generator = random.Random(7)
        async with asyncio.TaskGroup() as tasks:
            for name in fleet.names[:4]:
                tasks.create_task(fleet.replace(name))
                await asyncio.sleep(generator.uniform(0.1, 0.6))
        await fleet.wait_until_serving()
        await asyncio.sleep(1.0)
        ended = fleet.history.of(Kind.ENDED)
        assert len(ended) == 4 and all(event.detail == 0 for event in ended), "each server must exit by itself"
