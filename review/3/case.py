"""A client outside the platform sends some hundred requests that wait a day; the server then runs nothing any more."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from case import is_trouble_on, run_case  # noqa: E402
from rig import Connection, Record, Rig, Try  # noqa: E402
from sites import riga_payout_keyed  # noqa: E402

CORE_COUNT = 6
SERVER_COUNT = 10
TENANT = "daugava-grupa"
DEADLINES_MS = {"balance": 11000.0, "payout": 2800.0}
WORK_MS = {"balance": 60.0, "payout": 30.0}
RATE_PER_S = 20
QUIET_S = 5.0
WAVES = 5  # of the client outside the platform
REQUESTS_PER_WAVE = 150
WAVE_S = 3.0
OPEN_PER_CONNECTION = 32
NEED_KB = 0.1
DAY_MS = 86_400_000.0
EASE_S = 25.0  # longer than any deadline, and five times the window of repeats
LAST_S = 15.0
POLL_S = 0.02


def parts_of(each: Try) -> list[float]:
    """Return the core time of a run, with one call in the middle."""
    return [WORK_MS[each.traffic_class] / 2] * 2


async def send_traffic(rig: Rig, balancer: Connection, for_s: float) -> list[Try]:
    """Send the balancer's requests at a low rate, wait for their answers, and return them."""
    tries = []
    for number in range(int(for_s * RATE_PER_S)):
        if balancer.is_ended or rig.server.process.poll() is not None:
            break
        traffic_class = "payout" if number % 3 == 0 else "balance"
        key = {"opkey": f"op-{rig.world.new_id()}"} if traffic_class == "payout" else {}
        tries.append(balancer.ask(traffic_class, b"tips %d" % number, DEADLINES_MS[traffic_class], TENANT, **key))
        await asyncio.sleep(1 / RATE_PER_S)
    while balancer.open and not balancer.is_ended:
        await asyncio.sleep(POLL_S)
    return tries


async def send_outside_requests(rig: Rig) -> Counter[str]:
    """Send requests with ids that the worker pool does not know and with a timeout of a day, 32 open at a time."""
    outsider = await rig.connect(via=9)
    tries = []
    for number in range(WAVES * REQUESTS_PER_WAVE):
        if number and number % REQUESTS_PER_WAVE == 0:
            await asyncio.sleep(WAVE_S)
        while len(outsider.open) >= OPEN_PER_CONNECTION and not outsider.is_ended:
            await asyncio.sleep(POLL_S / 10)
        if outsider.is_ended:
            break
        each = outsider.ask("payout", b"mine", DAY_MS, TENANT, NEED_KB, opkey=f"mine-{number}")
        del rig.world.tries[each.id_hex]  # the pool does not know it
        tries.append(each)
    while outsider.open and not outsider.is_ended:
        await asyncio.sleep(POLL_S)
    outsider.close()
    return Counter(each.word for each in tries)


async def scenario() -> str:
    """Play the case and return what was broken."""
    settings = riga_payout_keyed(CORE_COUNT, SERVER_COUNT)
    async with Rig(Record(HERE / "record.txt"), settings, CORE_COUNT, parts_of) as rig:
        balancer = await rig.connect()
        before = Counter(each.word for each in await send_traffic(rig, balancer, QUIET_S))
        outside = await send_outside_requests(rig) if is_trouble_on() else Counter()
        await asyncio.sleep(EASE_S)
        run_count = rig.pool.spawn_count
        after = Counter(each.word for each in await send_traffic(rig, balancer, LAST_S))
        new_runs = rig.pool.spawn_count - run_count
        health = await balancer.check_health()
        rig.record.add("result", before=before, outside=outside, after=after, new_runs=new_runs, health=health)
        print("before", dict(before), "outside", dict(outside), "after", dict(after), "runs", new_runs, health)
        if set(before) != {"done"}:
            raise RuntimeError("the server did not serve all before the disruption")
        if rig.server.process.poll() is not None:
            return "the server exited by itself"
        if after["done"] < sum(after.values()) / 2:
            return (
                f"{EASE_S:.0f} s after the client's end, {after['done']} of {sum(after.values())} requests were served"
            )
        return ""


run_case(scenario)
