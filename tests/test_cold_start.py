"""Tests of fleets of real server processes that start cold, while shared services are cold, down, lossy or delayed.

Rules and bounds are checked against the traffic on the sockets.
"""

from __future__ import annotations

import asyncio
import json
import sys

import pytest

from nickelslip.emulator.fleet import Fleet
from nickelslip.emulator.fleet_plan import Plan
from nickelslip.emulator.fleet_properties import counts_per_bin
from nickelslip.emulator.history import Kind
from nickelslip.emulator.machine_model import MachineProfile
from nickelslip.emulator.processes import program_command_line
from nickelslip.emulator.schedule import servers_of_zone
from nickelslip.emulator.service_model import ServiceProfile
from nickelslip.startup.crash_loop_file import FILE_NAME

pytestmark = pytest.mark.anyio
COLD = {"cold": True, "machine": MachineProfile(initial_speed_fraction=0.3, warm_up_ms=2000.0, cold_calls_factor=2.5)}


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


async def stop_and_check_rules(fleet, overload_failures_expected=False):
    """Stop the clients, wait for all answers, and check the rules."""
    await fleet.stop_requests()
    found = fleet.violations(overload_failures_expected)
    assert not found, "\n".join(found[:20])


async def test_all_servers_and_services_start_cold_with_records_service_that_survives_half_the_load(tmp_path):
    profile = ServiceProfile(
        slots=6, call_ms=40.0, survivable_in_flight=9.0, window_ms=500.0, initial_speed_fraction=0.4, warm_up_ms=1500.0
    )
    plan = Plan(size=6, rate_per_s=90.0, service=profile, call_share=4.0, records_list=True, **COLD)
    async with Fleet(plan, tmp_path) as fleet:
        await fleet.set_request_rate()
        await fleet.start()
        await fleet.wait_until_serving()
        await asyncio.sleep(5.0)
        assert fleet.local_services.records.service.overload_failure_count == 0, (
            "the records service must not fail from overload"
        )
        assert fleet.served_fraction(fleet.history.clock() - 2500, fleet.history.clock() - 1200) > 0.7
        await stop_and_check_rules(fleet)


async def test_directory_that_comes_up_empty_gets_spread_reports_and_lists_all_servers_soon(tmp_path):
    async with Fleet(Plan(size=8, records_list=True), tmp_path) as fleet:
        await fleet.run_command("directory_down")
        await fleet.start()
        await fleet.wait_until(lambda: all(pool.is_linked for pool in fleet.local_services.pools.values()))
        await asyncio.sleep(1.0)
        await fleet.run_command("directory_up", empty=True)
        up_at_ms = fleet.history.clock()
        await fleet.wait_until_serving(timeout_s=1.5)
        await asyncio.sleep(2.0)
        reports = fleet.history.of(Kind.REPORTED)
        assert max(counts_per_bin(reports, 100.0, up_at_ms, up_at_ms + 2000)) <= 5, "reports must be spread out"
        assert sum(counts_per_bin(reports, 100.0, up_at_ms, up_at_ms + 2000)) <= 8 * 5, (
            "servers must send no more reports than necessary"
        )
        await fleet.set_request_rate()
        await asyncio.sleep(1.0)
        await stop_and_check_rules(fleet)


async def test_worker_pools_come_up_one_by_one_and_servers_shut_down_during_their_start(tmp_path):
    async with Fleet(Plan(size=5, **COLD), tmp_path) as fleet:
        await fleet.set_request_rate()
        for number, name in enumerate(fleet.names):
            await fleet.start(name, up_ms=700.0 * number)
        await asyncio.sleep(0.5)
        assert await fleet.shut_down("n5"), "a server without a worker pool must exit in time"
        assert not fleet.history.of(Kind.REPORTED, server="n5"), "a server without a worker pool must not report"
        await fleet.wait_until_serving("n1", "n2")
        assert await fleet.shut_down("n2"), "a server that has just started serving must exit in time"
        await fleet.start("n2", "n5")
        await fleet.wait_until_serving()
        await asyncio.sleep(1.0)
        for name in fleet.names:
            linked_at_ms = fleet.history.of(Kind.POOL_LINKED, server=name)[0].at_ms
            assert all(report.at_ms >= linked_at_ms - 1 for report in fleet.history.of(Kind.REPORTED, server=name)), (
                "a server must not report before its worker pool is connected"
            )
        await stop_and_check_rules(fleet)


async def test_half_the_fleet_starts_cold_while_half_serves_and_a_zone_restarts_while_another_is_cut_off(tmp_path):
    plan = Plan(
        size=6, rate_per_s=150.0, service=ServiceProfile(slots=24, call_ms=15.0, survivable_in_flight=40.0), **COLD
    )
    async with Fleet(plan, tmp_path) as fleet:
        serving, starting = fleet.names[:3], fleet.names[3:]
        await fleet.start(*serving)
        await fleet.wait_until_serving(*serving)
        await fleet.set_request_rate()
        await asyncio.sleep(3.5)
        begin_at_ms = fleet.history.clock()
        await fleet.start(*starting)
        await fleet.wait_until_serving()
        await asyncio.sleep(2.5)
        before, during = (
            fleet.served_fraction(since, since + 1500) for since in (begin_at_ms - 1700, begin_at_ms + 500)
        )
        assert during > 0.8 * before, "the fraction served must stay at 80% or more of that before the others started"
        restarted, cut_off = servers_of_zone(fleet.names, 3, 0), servers_of_zone(fleet.names, 3, 1)
        await fleet.kill(*restarted)
        await fleet.cut(*cut_off)
        await asyncio.sleep(0.5)
        await fleet.start(*restarted)
        await asyncio.sleep(2.0)
        await fleet.restore(*cut_off)
        await fleet.wait_until_serving()
        await asyncio.sleep(1.0)
        await stop_and_check_rules(fleet)


async def test_server_in_a_crash_loop_delays_its_starts_and_does_not_affect_others(tmp_path):
    overlay = tmp_path / "layer.json5"
    starts = tmp_path / "starts"
    starts.mkdir()
    overlay.write_text(json.dumps({"version": 1, "node": {"starts": str(starts)}}))

    def command_line(config):
        return program_command_line(
            "serve", "--config", config, *(("--config", str(overlay)) if config.endswith("n1.json") else ())
        )

    async with Fleet(Plan(size=3, records_list=True), tmp_path, command_line) as fleet:
        await fleet.start("n2", "n3")
        await fleet.wait_until_serving("n2", "n3")
        await fleet.set_request_rate()
        await asyncio.sleep(1.0)
        begin_at_ms, durations_ms = fleet.history.clock(), []
        for _ in range(4):
            started_at_ms = fleet.history.clock()
            await fleet.start("n1")
            await fleet.wait_until(lambda: fleet.local_services.pools["n1"].is_linked)
            durations_ms.append(fleet.history.clock() - started_at_ms)
            await fleet.kill("n1")
        lines = [json.loads(line) for line in (tmp_path / "n1.log").read_text().splitlines() if line.startswith("{")]
        delays = [line["delay_ms"] for line in lines if line["event"] == "crash_loop_delay"]
        assert len(delays) == 2 and delays[1] > delays[0] > 0, delays  # the first two starts are not delayed
        assert (
            all(duration_ms >= delay for duration_ms, delay in zip(durations_ms[2:], delays, strict=True))
            and durations_ms[3] > 500
        ), (
            durations_ms,
            delays,
        )
        await fleet.start("n1")
        await fleet.wait_until(lambda: json.loads((starts / FILE_NAME).read_text())["row"] == 4)
        assert await fleet.shut_down("n1"), "a server that waits for its delayed start must exit in time"
        assert json.loads((starts / FILE_NAME).read_text())["row"] == 0
        await asyncio.sleep(1.0)
        assert fleet.served_fraction(begin_at_ms, fleet.history.clock() - 1000) > 0.8
        await stop_and_check_rules(fleet)


async def test_servers_with_skewed_and_drifting_clocks_start_and_stay_listed(tmp_path):
    skews = {"n1": ("3000", "0.001"), "n2": ("-3000", "0"), "n3": ("700", "-0.001")}

    def command_line(config):
        name = config.rpartition("/")[2].removesuffix(".json")
        return [
            sys.executable,
            "-B",
            "-m",
            "nickelslip.emulator.clock_skew",
            *skews.get(name, ("0", "0")),
            "serve",
            "--config",
            config,
        ]

    async with Fleet(Plan(size=5, records_list=True, **COLD), tmp_path, command_line) as fleet:
        await fleet.start()
        await fleet.wait_until_serving()
        begin_at_ms = fleet.history.clock()
        await fleet.set_request_rate()
        await asyncio.sleep(4.0)
        lists = [event.detail for event in fleet.history.of(Kind.LISTED) if event.at_ms > begin_at_ms]
        assert lists and all(set(listed) == set(fleet.names) for listed in lists)
        await stop_and_check_rules(fleet)


async def test_fleet_serves_with_reports_delayed_beyond_expiry_or_half_lost(tmp_path):
    async with Fleet(Plan(size=4, **COLD), tmp_path) as fleet:
        for name in fleet.names[:2]:
            await fleet.run_command("set_link", name, link="directory", delay_ms=3500.0)
        for name in fleet.names[2:]:
            await fleet.run_command("set_link", name, link="directory", lost=0.5)
        await fleet.start()
        await fleet.wait_until_serving()
        await fleet.set_request_rate()
        await asyncio.sleep(4.5)
        begin_at_ms = fleet.history.clock()
        await fleet.wait_until_serving()
        await asyncio.sleep(2.0)
        assert fleet.served_fraction(begin_at_ms, fleet.history.clock() - 1000) > 0.7
        await stop_and_check_rules(fleet)


async def test_twenty_starts_of_one_server_do_not_affect_the_others(tmp_path):
    async with Fleet(Plan(size=3, **COLD), tmp_path) as fleet:
        await fleet.start("n2", "n3")
        await fleet.wait_until_serving("n2", "n3")
        await fleet.set_request_rate()
        await asyncio.sleep(2.0)
        begin_at_ms = fleet.history.clock()
        for _ in range(20):
            await fleet.start("n1")
            await asyncio.sleep(0.25)
            await fleet.kill("n1")
        assert fleet.served_fraction(begin_at_ms, fleet.history.clock() - 1000) > 0.7
        await fleet.start("n1")
        await fleet.wait_until_serving()
        await stop_and_check_rules(fleet)
    assert not fleet.remaining_pids() and len(fleet.pids) == 23
