"""One client outside the platform sends one request whose cost hint is out of range, and the server ends."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from case import is_trouble_on, run_case  # noqa: E402
from rig import Connection, Record, Rig, Try  # noqa: E402
from sites import latgale_card_tips  # noqa: E402

CORE_COUNT = 6
SERVER_COUNT = 11
RATE_PER_S = 60
QUIET_S = 5.0
AFTER_S = 15.0
LAST_ANSWERS_S = 9.0
TENANT = "ezerkrasts"
DEADLINES_MS = {"balance-check": 5400, "terminal-tip": 3200, "shift-split": 8600}
WORK_MS = {"balance-check": 20.0, "terminal-tip": 20.0, "shift-split": 30.0}
MIX = ("balance-check", "balance-check", "terminal-tip", "shift-split")
ROUGH = (0.7, 1.0, 1.4)  # a hint is the work times one of these
HINT_OUT_OF_RANGE = "1e-320"
HINT_IN_RANGE = "20.0"


def parts_of(each: Try) -> list[float]:
    """Return the core time of a run: classes that call do so once, in the middle."""
    work_ms = WORK_MS[each.traffic_class]
    return [work_ms] if each.traffic_class == "terminal-tip" else [work_ms / 2, work_ms / 2]


async def send_traffic(rig: Rig, balancer: Connection, for_s: float, tries: list[Try]) -> None:
    """Send the balancer's requests at a steady rate, while the server runs."""
    for _ in range(int(for_s * RATE_PER_S)):
        if balancer.is_ended or rig.server.process.poll() is not None:
            return
        number = len(tries)
        traffic_class = MIX[number % len(MIX)]
        hint_ms = WORK_MS[traffic_class] * ROUGH[number % len(ROUGH)]
        deadline_ms = DEADLINES_MS[traffic_class]
        tries.append(balancer.ask(traffic_class, b"tip %d" % number, deadline_ms, TENANT, ms=f"{hint_ms:.1f}"))
        await asyncio.sleep(1 / RATE_PER_S)


async def scenario() -> str:
    """Play the case and return what was broken."""
    settings = latgale_card_tips(CORE_COUNT, SERVER_COUNT)
    tries: list[Try] = []
    async with Rig(Record(HERE / "record.txt"), settings, CORE_COUNT, parts_of) as rig:
        balancer = await rig.connect()
        await send_traffic(rig, balancer, QUIET_S, tries)
        outsider = await rig.connect(via=9)
        hint = HINT_OUT_OF_RANGE if is_trouble_on() else HINT_IN_RANGE
        outsider.ask("balance-check", b"hello", DEADLINES_MS["balance-check"], TENANT, ms=hint)
        await send_traffic(rig, balancer, AFTER_S, tries)
        for _ in range(int(LAST_ANSWERS_S * 10)):
            if not balancer.open or balancer.is_ended:
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)  # a failing server answers, lingers and then exits
        code = rig.server.process.poll()
        unanswered = sum(not each.word for each in tries)
        rig.record.add("result", exit_code=code, answers=Counter(each.word for each in tries), unanswered=unanswered)
        print("answers", dict(Counter(each.word for each in tries)), "exit code", code)
        if code is not None:
            return f"the server exited by itself with code {code}; {unanswered} requests had no answer"
    return f"{unanswered} requests had no answer" if unanswered else ""


run_case(scenario)
