"""Configuration pushed under load: what is kept, what is undone and how soon, and what it costs.

`python -m benchmarks.configuration [--quick] [--seed N]`. Several lanes, each a server in a process of its own under a
witness, with stand-ins on loopback and callers in open loop, take good changes, harmful ones, and harmless ones at
the very start of a burst. A further lane runs two servers side by side, with changes off and on, under the same
traffic, and compares the CPU that each transaction costs. The last line is one JSON object.
"""

from __future__ import annotations

import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import click

from benchmarks.fake_services import Callers, Traffic, Workers, listen, records
from benchmarks.sample_statistics import percentile_by_rounded_rank, upper_median
from nickelslip.configuration.control_client import ControlClient, ServerUnreachableError

WORK_MS = {"balance": 40.0, "payout": 20.0}
CALLS = {"balance": True, "payout": False}
MIX = {"balance": 0.68, "payout": 0.32}
CUSTOMERS = {"daugava": 0.4, "vecriga": 0.3, "jurmala": 0.2, "cesis": 0.1}
QUOTED_MS = {"balance": 600.0, "payout": 300.0}
ABANDON_MS = {"balance": 2000.0, "payout": 1200.0}
CORES, RATE, BURST = 4, 75.0, 2.0  # 0.63 of what the cores can do, and 1.26 of it in a burst
CALL_MS = 5.0
PROBATION_MS, PROBATION_MOST_MS, BASELINE_MS = 5000.0, 6000.0, 8000.0
REST_S, AFTER_BURST_S = 2.5, 7.0  # after a change that was undone, and until the baseline is one again
LANES, QUICK_ROUNDS, FULL_ROUNDS = 6, 2, 8
CPU_WORK_MS, CPU_RATE, CPU_WINDOW_S = {"balance": 4.0, "payout": 2.0}, 250.0, 2.0
KINDS = ("good", "harmful", "burst")


def document(
    folder: Path, pool: int, service: int, directory: int, listen_on: int, seed: int, changes: bool
) -> dict[str, Any]:
    """A server in our own words."""
    return {
        "version": 1,
        "node": {
            "name": "n1",
            "listen": f"127.0.0.1:{listen_on}",
            "seed": f"{seed:x}",
            "stop_ms": 3200,
            "memory_mb": 128,
            "descriptors": 256,
        },
        "peers": {
            "pool": f"127.0.0.1:{pool}",
            "records": f"127.0.0.1:{service}",
            "directory": f"127.0.0.1:{directory}",
        },
        "machine": {
            "cores": CORES,
            "memory_kb": 40000,
            "run_factor": 4,
            "crowd_multiple": 8,
            "answer_slack_ms": 60,
            "drain_grace_ms": 1500,
            "tick_ms": 5,
            "stopping": "drop",
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
        },
        "callers": {"said": "chance", "callers": 1, "advice_most_ms": 1000, "marks_again": True, "idle_ms": 15000},
        "ranking": {"beyond_share_worth": 0.1},
        "calls": {"share": 6, "span_ms": 3000, "linger_ms": 100},
        "grades": {
            name: {
                "credit": {"balance": 1, "payout": 3}[name],
                "quoted_ms": QUOTED_MS[name],
                "abandon_ms": ABANDON_MS[name],
                "calls": CALLS[name],
                "repeat": {"balance": "replayable", "payout": "single-use"}[name],
            }
            for name in MIX
        },
        "customers": {name: {"share_per_s": 2 * part * RATE} for name, part in CUSTOMERS.items()},
        "changes": {
            "socket": str(folder / "control") if changes else "",
            "history": str(folder / "history") if changes else "",
            "probation_ms": PROBATION_MS,
            "probation_most_ms": PROBATION_MOST_MS,
            "baseline_ms": BASELINE_MS,
            "reload": "all" if changes else "peers",
        },
    }


def change_of(kind: str, chance: random.Random) -> dict[str, Any]:
    """A change of this kind; no two are quite the same."""
    part = chance.uniform(1.0, 1.1)
    if kind != "harmful":
        return chance.choice(
            [
                {"grades": {"payout": {"credit": 3 * part}}},
                {"grades": {"balance": {"quoted_ms": 600 * part}}},
                {"machine": {"answer_slack_ms": 60 * part}},
                {"calls": {"share": 6 * part}},
                {"machine": {"running_most": chance.randint(20, 31)}},
                {"customers": {"cesis": {"share_per_s": 20 * part}}},
                {"callers": {"idle_ms": 15000 * part}},
                {"machine": {"memory_kb": 40000 * part}},
                {"grades": {"payout": {"reserve": 1, "credit": 3 * part}}},
            ]
        )
    return chance.choice(
        [
            {"machine": {"running_most": 1, "answer_slack_ms": 60 * part}, "grades": {"payout": {"reserve": 0}}},
            {"grades": {"payout": {"quoted_ms": 5 * part}}},
            {"machine": {"running_most": 8}, "grades": {"payout": {"reserve": 7, "credit": 3 * part}}},
            {"calls": {"share": 0.02 * part}},
            {"grades": {"balance": {"quoted_ms": 20 * part}}},
        ]
    )


class Server:
    """A server in a process of its own, with its stand-ins and callers here."""

    def __init__(
        self, folder: Path, seed: int, changes: bool, work_ms: dict[str, float], rate: float, watched: bool
    ) -> None:
        self.folder, self._seed, self._changes, self._work, self._watched = folder, seed, changes, work_ms, watched
        self.traffic = Traffic(rate, MIX, CUSTOMERS, QUOTED_MS, ABANDON_MS)
        self.report = folder / "report.json"

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start all of it, and wait until the server has its worker pool."""
        self.folder.mkdir(parents=True)
        self.workers = Workers(tasks, CORES, self._work, CALLS, self._seed)
        pool = await listen(tasks, self.workers.serve)
        service = await listen(tasks, partial(records, call_ms=CALL_MS))
        udp = await anyio.create_udp_socket(local_host="127.0.0.1")
        directory = udp.extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(self._hear, udp)
        probe = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = probe.extra(anyio.abc.SocketAttribute.local_port)
        await probe.aclose()
        config = self.folder / "config.json"
        config.write_text(json.dumps(document(self.folder, pool, service, directory, port, self._seed, self._changes)))
        self.log = (self.folder / "log").open("wb")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.generation_watch", str(self.report), "serve", "--config", str(config)],
            stdout=self.log,
            stderr=self.log,
            env={**os.environ, "WATCHED": "yes" if self._watched else "no"},
        )
        with anyio.fail_after(20):
            while True:
                try:
                    await (await anyio.connect_tcp("127.0.0.1", port)).aclose()
                    break
                except OSError:
                    await anyio.sleep(0.05)
        await anyio.sleep(0.5)
        self.callers = Callers(port, self.traffic, self._seed, lambda: time.time() * 1000)
        tasks.start_soon(self.callers.run, tasks)

    async def _hear(self, udp: anyio.abc.UDPSocket) -> None:
        async for _ in udp:
            pass

    def cpu_ns(self) -> int:
        """What the server's thread has had of a core so far."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0])

    async def stop(self) -> dict[str, Any]:
        """Let all be answered, have the server leave, and say what came of it."""
        self.callers.stopping = True
        await anyio.sleep(max(ABANDON_MS.values()) / 1000 + 0.5)
        self.process.send_signal(signal.SIGTERM)
        with anyio.move_on_after(8):
            while self.process.poll() is None:
                await anyio.sleep(0.05)
        if self.process.poll() is None:
            self.process.kill()
        self.log.close()
        seen = json.loads(self.report.read_text()) if self.report.exists() else {}
        asked = self.traffic.asked.values()
        for ident, one in self.traffic.asked.items():
            if not one.answers:
                click.echo(
                    f"unanswered: {ident} {one.grade} asked at {one.begun:.3f}, now {time.monotonic():.3f}, "
                    f"starts {self.workers.starts[ident]}",
                    err=True,
                )
        twice = [
            ident
            for ident, count in self.workers.starts.items()
            if count > 1 and self.workers.grades[ident] == "payout"
        ]
        return {
            "asked": len(asked),
            "unanswered": sum(not one.answers for one in asked),
            "answered_twice": sum(one.answers > 1 for one in asked),
            "payouts_twice": len(twice),
            "satisfied": sum(one.word == "done" for one in asked),
            "lag_ms": self.traffic.lag_ms,
            "clean": self.process.returncode == 0,
            **{f"seen_{name}": value for name, value in seen.items()},
        }


async def push(server: Server, kind: str, chance: random.Random) -> dict[str, Any]:
    """One change, from its push to its end."""
    if kind == "burst":
        server.traffic.rate = RATE * BURST
    change = change_of(kind, chance)
    async with ControlClient(str(server.folder / "control")) as control:
        reply = await control.ask("apply", document=change, origin=kind)
        begun = time.monotonic()
        if not reply["ok"]:
            return {"kind": kind, "end": "denied", "why": reply["text"], "change": change}
        digest = reply["change"]["digest"]
        while True:
            status = await control.ask("status")
            if status["digest"] != digest or status["step"] == "confirmed":
                break
            await anyio.sleep(0.05)
    kept = status["digest"] == digest
    took = (time.monotonic() - begun) * 1000
    if kind == "burst":
        server.traffic.rate = RATE
    if kind == "burst":
        await anyio.sleep(AFTER_BURST_S)
    elif not kept:
        await anyio.sleep(REST_S)
    return {
        "kind": kind,
        "end": "kept" if kept else "undone",
        "ms": took,
        "change": change,
        "verdict": status["verdict"],
        "apply_us": status["apply_us"][-1 if kept else -2 :][0],
    }


async def lane(seed: int, rounds: int) -> dict[str, Any]:
    """One server, and all that is pushed to it."""
    chance = random.Random(seed)
    with tempfile.TemporaryDirectory(prefix="ns") as folder:
        async with anyio.create_task_group() as tasks:
            server = Server(Path(folder) / "n", seed, True, WORK_MS, RATE, True)
            await server.start(tasks)
            await anyio.sleep(BASELINE_MS / 1000 + 1)
            pushes = []
            for at in range(rounds):
                kinds = chance.sample(KINDS, len(KINDS)) if rounds > QUICK_ROUNDS else chance.sample(KINDS[:2], 2)
                for kind in kinds:
                    pushes.append(await push(server, kind, chance))
                if rounds <= QUICK_ROUNDS and at == rounds - 1:
                    pushes.append(await push(server, "burst", chance))
            end = await server.stop()
            tasks.cancel_scope.cancel()
    return {"pushes": pushes, **end}


async def costs(seed: int, seconds: float) -> dict[str, Any]:
    """Two servers side by side under the same traffic: CPU a transaction with changes off and on."""
    with tempfile.TemporaryDirectory(prefix="ns") as folder:
        async with anyio.create_task_group() as tasks:
            pair = [
                Server(Path(folder) / name, seed, on, CPU_WORK_MS, CPU_RATE, False)
                for name, on in (("off", False), ("on", True))
            ]
            for server in pair:
                await server.start(tasks)
            await anyio.sleep(3.0)
            figures: list[tuple[float, float]] = []
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                marks = [(server.cpu_ns(), len(server.traffic.asked)) for server in pair]
                await anyio.sleep(CPU_WINDOW_S)
                each = [
                    (server.cpu_ns() - mark[0]) / 1000 / max(1, len(server.traffic.asked) - mark[1])
                    for server, mark in zip(pair, marks, strict=True)
                ]
                figures.append((each[0], each[1]))
            ends = [await server.stop() for server in pair]
            tasks.cancel_scope.cancel()
    ratios = sorted(on / off for off, on in figures)
    return {
        "off_us": upper_median([off for off, _ in figures]),
        "on_us": upper_median([on for _, on in figures]),
        "ratio": upper_median(ratios),
        "ratio_from": ratios[len(ratios) // 10],
        "ratio_to": ratios[-1 - len(ratios) // 10],
        "windows": len(ratios),
        "ends": ends,
    }


def summed(lanes: list[dict[str, Any]], cost: dict[str, Any]) -> dict[str, Any]:
    """The figures of the whole run."""
    pushes = [each for one in lanes for each in one["pushes"]]
    of = {kind: [each for each in pushes if each["kind"] == kind] for kind in KINDS}
    quiet = of["good"] + of["burst"]
    undone = [each["ms"] for each in of["harmful"] if each["end"] == "undone"]
    pauses = [each["apply_us"] for each in pushes if "apply_us" in each]
    return {
        "pushed": len(pushes),
        "pushed_good": len(of["good"]),
        "pushed_burst": len(of["burst"]),
        "pushed_harmful": len(of["harmful"]),
        "good_kept": round(sum(each["end"] == "kept" for each in quiet) / max(1, len(quiet)), 3),
        "burst_kept": round(sum(each["end"] == "kept" for each in of["burst"]) / max(1, len(of["burst"])), 3),
        "denied": sum(each["end"] == "denied" for each in pushes),
        "harmful_undone": round(len(undone) / max(1, len(of["harmful"])), 3),
        "undo_ms_p50": round(upper_median(undone)),
        "undo_ms_max": round(max(undone, default=0)),
        "mixed_transactions": sum(one.get("seen_mixed", -1) for one in lanes),
        "watched_transactions": sum(one.get("seen_transactions", 0) for one in lanes),
        "events_across_an_apply": sum(one.get("seen_across", 0) for one in lanes),
        "payouts_twice": sum(one["payouts_twice"] for one in lanes),
        "unanswered": sum(one["unanswered"] for one in lanes),
        "answered_twice": sum(one["answered_twice"] for one in lanes),
        "unclean_ends": sum(not one["clean"] for one in lanes),
        "asked": sum(one["asked"] for one in lanes),
        "apply_us_p50": round(upper_median(pauses)),
        "apply_us_p99": round(percentile_by_rounded_rank(pauses, 0.99)),
        "cpu_us_per_transaction_off": round(cost["off_us"], 1),
        "cpu_us_per_transaction_on": round(cost["on_us"], 1),
        "cpu_ratio": round(cost["ratio"], 3),
        "cpu_ratio_10_90": [round(cost["ratio_from"], 3), round(cost["ratio_to"], 3)],
        "callers_lag_ms": round(max(one["lag_ms"] for one in lanes)),
    }


@click.command()
@click.option("--quick", is_flag=True, help="Under a minute.")
@click.option("--seed", default=1, show_default=True)
@click.option("--lanes", default=LANES, show_default=True)
@click.option("--part", type=click.Choice(("all", "lane", "costs")), default="all", hidden=True)
@click.option("--rounds", default=0, hidden=True)
def main(quick: bool, seed: int, lanes: int, part: str, rounds: int) -> None:
    """Run the lanes side by side, then the pair for the costs alone."""
    if part != "all":
        try:
            told = anyio.run(lane, seed, rounds) if part == "lane" else anyio.run(costs, seed, 12.0 if quick else 60.0)
        except ServerUnreachableError as fault:
            raise SystemExit(f"no answer: {fault}") from None
        click.echo(json.dumps(told))
        return
    rounds = rounds or (QUICK_ROUNDS if quick else FULL_ROUNDS)

    def begin(kind: str, at: int) -> subprocess.Popen[bytes]:
        flags = ["--quick"] if quick else []
        return subprocess.Popen(
            [
                sys.executable,
                "-m",
                "benchmarks.configuration",
                "--part",
                kind,
                "--seed",
                str(1000 * seed + at),
                "--rounds",
                str(rounds),
                *flags,
            ],
            stdout=subprocess.PIPE,
        )

    running = [begin("lane", at) for at in range(lanes)]
    if quick:
        running.append(begin("costs", lanes))
    out = [json.loads(each.communicate()[0].splitlines()[-1]) for each in running]
    cost = out.pop() if quick else json.loads(begin("costs", lanes).communicate()[0].splitlines()[-1])
    for at, one in enumerate(out):
        for each in one["pushes"]:
            why = (each.get("verdict") or {}).get("reason", each.get("why", ""))
            click.echo(
                f"lane {at}: {each['kind']:<8} {each['end']:<7} {each.get('ms', 0):7.0f} ms  "
                f"{json.dumps(each['change'])}  {why}"
            )
    click.echo(json.dumps({"benchmark": "configuration", "seed": seed, "quick": quick, **summed(out, cost)}))


if __name__ == "__main__":
    main()
