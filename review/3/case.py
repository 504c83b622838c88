"""Clients send hundreds of requests and withdraw them at once; afterwards the server turns away all that it is sent."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from case import is_trouble_on, run_case  # noqa: E402
from rig import Connection, Rig, Try, now_ms  # noqa: E402
from sites import latgale_card_tips  # noqa: E402

CORE_COUNT = 2
SERVER_COUNT = 20
TENANTS = ("ezerkrasts", "dinaburga-galds")
DEADLINE_MS = 8600.0
WORK_MS = 10.0
GAUGES_DELAY_MS = 8.0  # the pool answers `poll` after this time
CONNECTION_COUNT = 10
OPEN_PER_CONNECTION = 32  # the most that the protocol allows
ASKS_PER_STEP = 4
STEP_S = 0.001
GAP_S = 0.002  # between two connections
PAUSE_S = 0.1
ROUND_S = 13.0
ROUNDS = 6
CALM_S = 2.0
PROBES = 20
LAST_PROBES = 40
PROBE_PAUSE_S = 0.05


async def probe(balancer: Connection, count: int) -> Counter[str]:
    """Send requests of the ordinary balancer one at a time to an idle server, and return the words of the answers."""
    words: Counter[str] = Counter()
    for number in range(count):
        each = balancer.ask("shift-split", b"split %d" % number, DEADLINE_MS, TENANTS[0], ms=f"{WORK_MS}")
        while not each.word and not balancer.is_ended and now_ms() < each.written_at_ms + DEADLINE_MS:
            await asyncio.sleep(PROBE_PAUSE_S / 10)
        words[each.word] += 1
        await asyncio.sleep(PROBE_PAUSE_S)
    return words


async def send_and_withdraw(connections: list[Connection]) -> list[Try]:
    """Send 320 requests, and withdraw at once all of a connection that are not answered yet."""
    sent: list[Try] = []
    for connection in connections:
        tries: list[Try] = []
        for number in range(OPEN_PER_CONNECTION):
            if number % ASKS_PER_STEP == 0:
                await asyncio.sleep(STEP_S)
            owner = TENANTS[number % len(TENANTS)]
            tries.append(connection.ask("shift-split", b"more", DEADLINE_MS, owner, need=2.0, ms=f"{WORK_MS}"))
        if is_trouble_on():
            for each in tries:
                connection.withdraw(each)
            connection.open.clear()
        sent += tries
        await asyncio.sleep(GAP_S)
    while not all(each.is_over for each in sent):  # only without the disruption
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(PAUSE_S)
    return sent


async def scenario() -> str:
    """Play the case and return what was broken."""
    settings = latgale_card_tips(CORE_COUNT, SERVER_COUNT)
    async with Rig(HERE, settings, CORE_COUNT, lambda each: [WORK_MS / 2, WORK_MS / 2]) as rig:
        rig.pool.gauges_delay_ms = GAUGES_DELAY_MS
        balancer = await rig.connect()
        before = await probe(balancer, PROBES)
        connections = [await rig.connect(via=9) for _ in range(CONNECTION_COUNT)]
        withdrawn = answered = 0
        for _ in range(ROUNDS):
            ends_at_ms = now_ms() + ROUND_S * 1000
            while now_ms() < ends_at_ms:
                tries = await send_and_withdraw(connections)
                withdrawn += sum(each.is_withdrawn for each in tries)
                answered += sum(bool(each.word) for each in tries)
            await asyncio.sleep(CALM_S)
            words = await probe(balancer, PROBES // 4)
            rig.record.add("probe", answers=words)
            if not words["done"]:
                break
        await asyncio.sleep(CALM_S)
        after = await probe(balancer, LAST_PROBES)
        runs_left = len(rig.pool.runs)
        health = await balancer.check_health()
        rig.record.add("result", before=before, after=after, withdrawn=withdrawn, health=health, runs_left=runs_left)
        print("before", dict(before), "withdrawn", withdrawn, "answered", answered, "after", dict(after), health)
        if before["done"] != PROBES:
            raise RuntimeError("the idle server did not serve before the disruption")
        if rig.server.process.poll() is not None:
            return "the server exited by itself"
        if after["done"] < LAST_PROBES / 2:
            return f"of {LAST_PROBES} requests sent singly to the idle server afterwards, {after['done']} were served"
        return ""


run_case(scenario)
