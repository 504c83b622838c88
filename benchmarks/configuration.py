"""Measures configuration changes under load: which are kept, which are rolled back and how soon, and their cost.

`python -m benchmarks.configuration [--quick] [--seed N]` runs several lanes at once. Each lane has a server in its own
process under `benchmarks.generation_watch`, with fake services on loopback and clients in open loop. It receives good
changes, harmful ones, and harmless ones at the very start of a burst. Another process runs two servers side by side
under the same traffic, with changes off and on, and compares the processor time of a request. The last line of the
output is one JSON object.
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

from benchmarks.fake_services import FakeWorkerPool, OpenLoopClients, Traffic, serve_on_free_port, serve_records
from benchmarks.sample_statistics import percentile_by_rounded_rank, upper_median
from nickelslip.configuration.control_client import ControlClient, ServerUnreachableError

WORK_MS = {"balance": 40.0, "payout": 20.0}
MAKES_CALL = {"balance": True, "payout": False}
CLASS_WEIGHTS = {"balance": 0.68, "payout": 0.32}
TENANT_WEIGHTS = {"daugava": 0.4, "vecriga": 0.3, "jurmala": 0.2, "cesis": 0.1}
LATENCY_OBJECTIVE_MS = {"balance": 600.0, "payout": 300.0}
TIMEOUT_MS = {"balance": 2000.0, "payout": 1200.0}
CORES = 4
RATE_PER_S = 75.0  # 0.63 of the capacity of the cores
BURST_FACTOR = 2.0
CALL_MS = 5.0
START_TIMEOUT_S = 20
QUICK_COSTS_S, FULL_COSTS_S = 12.0, 60.0
CANARY_PERIOD_MS, MAX_CANARY_PERIOD_MS, BASELINE_MS = 5000.0, 6000.0, 8000.0
# Pauses after a roll-back, and after a burst until the baseline is valid again.
AFTER_ROLL_BACK_S, AFTER_BURST_S = 2.5, 7.0
LANE_COUNT, QUICK_ROUND_COUNT, FULL_ROUND_COUNT = 6, 2, 8
CPU_WORK_MS, CPU_RATE_PER_S, CPU_WINDOW_S = {"balance": 4.0, "payout": 2.0}, 250.0, 2.0
CHANGE_KINDS = ("good", "harmful", "burst")


def document_for(
    folder: Path, pool_port: int, records_port: int, directory_port: int, listen_port: int, seed: int, changes: bool
) -> dict[str, Any]:
    """Return the configuration of a server as a document."""
    return {
        "version": 1,
        "node": {
            "name": "n1",
            "listen": f"127.0.0.1:{listen_port}",
            "seed": f"{seed:x}",
            "stop_ms": 3200,
            "memory_mb": 128,
            "descriptors": 256,
        },
        "peers": {
            "pool": f"127.0.0.1:{pool_port}",
            "records": f"127.0.0.1:{records_port}",
            "directory": f"127.0.0.1:{directory_port}",
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
                "quoted_ms": LATENCY_OBJECTIVE_MS[name],
                "abandon_ms": TIMEOUT_MS[name],
                "calls": MAKES_CALL[name],
                "repeat": {"balance": "replayable", "payout": "single-use"}[name],
            }
            for name in CLASS_WEIGHTS
        },
        "customers": {name: {"share_per_s": 2 * part * RATE_PER_S} for name, part in TENANT_WEIGHTS.items()},
        "changes": {
            "socket": str(folder / "control") if changes else "",
            "history": str(folder / "history") if changes else "",
            "probation_ms": CANARY_PERIOD_MS,
            "probation_most_ms": MAX_CANARY_PERIOD_MS,
            "baseline_ms": BASELINE_MS,
            "reload": "all" if changes else "peers",
        },
    }


def random_change(kind: str, generator: random.Random) -> dict[str, Any]:
    """Return a partial document with a change of this kind, with random values."""
    part = generator.uniform(1.0, 1.1)
    if kind != "harmful":
        return generator.choice(
            [
                {"grades": {"payout": {"credit": 3 * part}}},
                {"grades": {"balance": {"quoted_ms": 600 * part}}},
                {"machine": {"answer_slack_ms": 60 * part}},
                {"calls": {"share": 6 * part}},
                {"machine": {"running_most": generator.randint(20, 31)}},
                {"customers": {"cesis": {"share_per_s": 20 * part}}},
                {"callers": {"idle_ms": 15000 * part}},
                {"machine": {"memory_kb": 40000 * part}},
                {"grades": {"payout": {"reserve": 1, "credit": 3 * part}}},
            ]
        )
    return generator.choice(
        [
            {"machine": {"running_most": 1, "answer_slack_ms": 60 * part}, "grades": {"payout": {"reserve": 0}}},
            {"grades": {"payout": {"quoted_ms": 5 * part}}},
            {"machine": {"running_most": 8}, "grades": {"payout": {"reserve": 7, "credit": 3 * part}}},
            {"calls": {"share": 0.02 * part}},
            {"grades": {"balance": {"quoted_ms": 20 * part}}},
        ]
    )


class Server:
    """A server in its own process, with its fake services and clients in this one.

    Args:
        folder: The folder for its files. It is created.
        seed: Seeds the server, the worker pool and the clients.
        changes: Whether it accepts changes.
        work_ms: Mean work of a run, by traffic class.
        rate_per_s: Rate of requests.
        watched: Whether generations are compared at each event.
    """

    def __init__(
        self, folder: Path, seed: int, changes: bool, work_ms: dict[str, float], rate_per_s: float, watched: bool
    ) -> None:
        self.folder = folder
        self._seed = seed
        self._changes = changes
        self._work_ms = work_ms
        self._watched = watched
        self.traffic = Traffic(rate_per_s, CLASS_WEIGHTS, TENANT_WEIGHTS, TIMEOUT_MS)
        self.report_path = folder / "report.json"

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the fake services, the server and the clients.

        The clients start 0.5 s after the server listens, so that it can connect to its worker pool first.
        """
        self.folder.mkdir(parents=True)
        self.worker_pool = FakeWorkerPool(tasks, CORES, self._work_ms, MAKES_CALL, self._seed)
        pool_port = await serve_on_free_port(tasks, self.worker_pool.serve)
        records_port = await serve_on_free_port(tasks, partial(serve_records, call_ms=CALL_MS))
        udp = await anyio.create_udp_socket(local_host="127.0.0.1")
        directory_port = udp.extra(anyio.abc.SocketAttribute.local_port)
        tasks.start_soon(self._discard_reports, udp)
        probe = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = probe.extra(anyio.abc.SocketAttribute.local_port)
        await probe.aclose()
        config = self.folder / "config.json"
        config.write_text(
            json.dumps(
                document_for(self.folder, pool_port, records_port, directory_port, port, self._seed, self._changes)
            )
        )
        self.log = (self.folder / "log").open("wb")
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "benchmarks.generation_watch",
                str(self.report_path),
                "serve",
                "--config",
                str(config),
            ],
            stdout=self.log,
            stderr=self.log,
            env={**os.environ, "WATCHED": "yes" if self._watched else "no"},
        )
        await wait_until_listening(port)
        await anyio.sleep(0.5)
        self.clients = OpenLoopClients(port, self.traffic, self._seed, lambda: time.time() * 1000)
        tasks.start_soon(self.clients.run, tasks)

    async def _discard_reports(self, udp: anyio.abc.UDPSocket) -> None:
        async for _ in udp:
            pass

    def cpu_ns(self) -> int:
        """Return the processor time that the server's main thread has used so far."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0])

    async def stop(self) -> dict[str, Any]:
        """Wait for the open requests, stop the server, and return the counts of the lane."""
        self.clients.is_stopping = True
        await anyio.sleep(max(TIMEOUT_MS.values()) / 1000 + 0.5)
        self.process.send_signal(signal.SIGTERM)
        with anyio.move_on_after(8):
            while self.process.poll() is None:
                await anyio.sleep(0.05)
        if self.process.poll() is None:
            self.process.kill()
        self.log.close()
        watch_report = json.loads(self.report_path.read_text()) if self.report_path.exists() else {}
        self._print_unanswered()
        requests = self.traffic.requests.values()
        return {
            "asked": len(requests),
            "unanswered": sum(not request.answer_count for request in requests),
            "answered_twice": sum(request.answer_count > 1 for request in requests),
            "payouts_twice": self._payouts_run_twice(),
            "satisfied": sum(request.answer_word == "done" for request in requests),
            "lag_ms": self.traffic.max_lag_ms,
            "clean": self.process.returncode == 0,
            **{f"seen_{name}": value for name, value in watch_report.items()},
        }

    def _print_unanswered(self) -> None:
        for request_id, request in self.traffic.requests.items():
            if not request.answer_count:
                click.echo(
                    f"unanswered: {request_id} {request.traffic_class} asked at {request.sent_at_s:.3f}, "
                    f"now {time.monotonic():.3f}, starts {self.worker_pool.starts[request_id]}",
                    err=True,
                )

    def _payouts_run_twice(self) -> int:
        classes = self.worker_pool.classes
        starts = self.worker_pool.starts.items()
        return sum(count > 1 and classes[request_id] == "payout" for request_id, count in starts)


async def wait_until_listening(port: int) -> None:
    """Wait until a connection to a loopback port succeeds.

    Raises:
        TimeoutError: None succeeded within START_TIMEOUT_S.
    """
    with anyio.fail_after(START_TIMEOUT_S):
        while True:
            try:
                await (await anyio.connect_tcp("127.0.0.1", port)).aclose()
                return
            except OSError:
                await anyio.sleep(0.05)


async def push_change(server: Server, kind: str, generator: random.Random) -> dict[str, Any]:
    """Push one change, wait until it is confirmed or rolled back, and return the outcome."""
    if kind == "burst":
        server.traffic.rate_per_s = RATE_PER_S * BURST_FACTOR
    change = random_change(kind, generator)
    async with ControlClient(str(server.folder / "control")) as control:
        reply = await control.ask("apply", document=change, origin=kind)
        started_at_s = time.monotonic()
        if not reply["ok"]:
            return {"kind": kind, "end": "denied", "why": reply["text"], "change": change}
        digest = reply["change"]["digest"]
        while True:
            status = await control.ask("status")
            if status["digest"] != digest or status["step"] == "confirmed":
                break
            await anyio.sleep(0.05)
    is_kept = status["digest"] == digest
    elapsed_ms = (time.monotonic() - started_at_s) * 1000
    if kind == "burst":
        server.traffic.rate_per_s = RATE_PER_S
        await anyio.sleep(AFTER_BURST_S)
    elif not is_kept:
        await anyio.sleep(AFTER_ROLL_BACK_S)
    return {
        "kind": kind,
        "end": "kept" if is_kept else "undone",
        "ms": elapsed_ms,
        "change": change,
        "verdict": status["verdict"],
        "apply_us": status["apply_us"][-1 if is_kept else -2 :][0],
    }


async def run_lane(seed: int, rounds: int) -> dict[str, Any]:
    """Run one server, push all changes of the lane to it, and return the results."""
    generator = random.Random(seed)
    with tempfile.TemporaryDirectory(prefix="ns") as folder:
        async with anyio.create_task_group() as tasks:
            server = Server(Path(folder) / "n", seed, True, WORK_MS, RATE_PER_S, True)
            await server.start(tasks)
            await anyio.sleep(BASELINE_MS / 1000 + 1)
            pushes = []
            for number in range(rounds):
                kinds = (
                    generator.sample(CHANGE_KINDS, len(CHANGE_KINDS))
                    if rounds > QUICK_ROUND_COUNT
                    else generator.sample(CHANGE_KINDS[:2], 2)
                )
                for kind in kinds:
                    pushes.append(await push_change(server, kind, generator))
                if rounds <= QUICK_ROUND_COUNT and number == rounds - 1:
                    pushes.append(await push_change(server, "burst", generator))
            end = await server.stop()
            tasks.cancel_scope.cancel()
    return {"pushes": pushes, **end}


async def compare_costs(seed: int, seconds: float) -> dict[str, Any]:
    """Run two servers, with changes off and on, under the same traffic; compare the processor time of a request."""
    with tempfile.TemporaryDirectory(prefix="ns") as folder:
        async with anyio.create_task_group() as tasks:
            servers = [
                Server(Path(folder) / name, seed, on, CPU_WORK_MS, CPU_RATE_PER_S, False)
                for name, on in (("off", False), ("on", True))
            ]
            for server in servers:
                await server.start(tasks)
            await anyio.sleep(3.0)
            figures: list[tuple[float, float]] = []
            end_at_s = time.monotonic() + seconds
            while time.monotonic() < end_at_s:
                starting_points = [(server.cpu_ns(), len(server.traffic.requests)) for server in servers]
                await anyio.sleep(CPU_WINDOW_S)
                window_us = [
                    (server.cpu_ns() - start_point[0]) / 1000 / max(1, len(server.traffic.requests) - start_point[1])
                    for server, start_point in zip(servers, starting_points, strict=True)
                ]
                figures.append((window_us[0], window_us[1]))
            ends = [await server.stop() for server in servers]
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


def summary_of(lanes: list[dict[str, Any]], cost: dict[str, Any]) -> dict[str, Any]:
    """Return the figures of the whole run, by their keys in the output."""
    pushes = [push for lane in lanes for push in lane["pushes"]]
    by_kind = {kind: [push for push in pushes if push["kind"] == kind] for kind in CHANGE_KINDS}
    harmless = by_kind["good"] + by_kind["burst"]
    roll_back_ms = [push["ms"] for push in by_kind["harmful"] if push["end"] == "undone"]
    apply_us = [push["apply_us"] for push in pushes if "apply_us" in push]
    return {
        "pushed": len(pushes),
        "pushed_good": len(by_kind["good"]),
        "pushed_burst": len(by_kind["burst"]),
        "pushed_harmful": len(by_kind["harmful"]),
        "good_kept": round(sum(push["end"] == "kept" for push in harmless) / max(1, len(harmless)), 3),
        "burst_kept": round(sum(push["end"] == "kept" for push in by_kind["burst"]) / max(1, len(by_kind["burst"])), 3),
        "denied": sum(push["end"] == "denied" for push in pushes),
        "harmful_undone": round(len(roll_back_ms) / max(1, len(by_kind["harmful"])), 3),
        "undo_ms_p50": round(upper_median(roll_back_ms)),
        "undo_ms_max": round(max(roll_back_ms, default=0)),
        "mixed_transactions": sum(lane.get("seen_mixed", -1) for lane in lanes),
        "watched_transactions": sum(lane.get("seen_transactions", 0) for lane in lanes),
        "events_across_an_apply": sum(lane.get("seen_across", 0) for lane in lanes),
        "payouts_twice": sum(lane["payouts_twice"] for lane in lanes),
        "unanswered": sum(lane["unanswered"] for lane in lanes),
        "answered_twice": sum(lane["answered_twice"] for lane in lanes),
        "unclean_ends": sum(not lane["clean"] for lane in lanes),
        "asked": sum(lane["asked"] for lane in lanes),
        "apply_us_p50": round(upper_median(apply_us)),
        "apply_us_p99": round(percentile_by_rounded_rank(apply_us, 0.99)),
        "cpu_us_per_transaction_off": round(cost["off_us"], 1),
        "cpu_us_per_transaction_on": round(cost["on_us"], 1),
        "cpu_ratio": round(cost["ratio"], 3),
        "cpu_ratio_10_90": [round(cost["ratio_from"], 3), round(cost["ratio_to"], 3)],
        "callers_lag_ms": round(max(lane["lag_ms"] for lane in lanes)),
    }


@click.command()
@click.option("--quick", is_flag=True, help="Under a minute.")
@click.option("--seed", default=1, show_default=True)
@click.option("--lanes", default=LANE_COUNT, show_default=True)
@click.option("--part", type=click.Choice(("all", "lane", "costs")), default="all", hidden=True)
@click.option("--rounds", default=0, hidden=True)
def main(quick: bool, seed: int, lanes: int, part: str, rounds: int) -> None:
    """Run the lanes side by side, then the pair for the costs alone."""
    if part != "all":
        click.echo(json.dumps(run_part(part, quick, seed, rounds)))
        return
    rounds = rounds or (QUICK_ROUND_COUNT if quick else FULL_ROUND_COUNT)
    processes = [start_part("lane", 1000 * seed + number, rounds, quick) for number in range(lanes)]
    cost_seed = 1000 * seed + lanes
    if quick:
        cost_process = start_part("costs", cost_seed, rounds, quick)
        results = [result_of(process) for process in processes]
    else:
        results = [result_of(process) for process in processes]
        cost_process = start_part("costs", cost_seed, rounds, quick)
    cost = result_of(cost_process)
    for number, result in enumerate(results):
        print_pushes(number, result)
    summary = {"benchmark": "configuration", "seed": seed, "quick": quick, **summary_of(results, cost)}
    click.echo(json.dumps(summary))


def run_part(part: str, quick: bool, seed: int, rounds: int) -> dict[str, Any]:
    """Run one lane or the cost comparison in this process.

    Raises:
        SystemExit: The server does not answer.
    """
    try:
        if part == "lane":
            return anyio.run(run_lane, seed, rounds)
        return anyio.run(compare_costs, seed, QUICK_COSTS_S if quick else FULL_COSTS_S)
    except ServerUnreachableError as error:
        raise SystemExit(f"no answer: {error}") from None


def start_part(part: str, seed: int, rounds: int, quick: bool) -> subprocess.Popen[bytes]:
    """Start one lane or the cost comparison in its own process."""
    arguments = ["--part", part, "--seed", str(seed), "--rounds", str(rounds)]
    if quick:
        arguments.append("--quick")
    return subprocess.Popen([sys.executable, "-m", "benchmarks.configuration", *arguments], stdout=subprocess.PIPE)


def result_of(process: subprocess.Popen[bytes]) -> Any:
    """Wait for a process of `start_part`, and return the JSON object in the last line of its output."""
    output, _ = process.communicate()
    return json.loads(output.splitlines()[-1])


def print_pushes(number: int, result: dict[str, Any]) -> None:
    """Print a line for each change that was pushed to a lane's server."""
    for pushed in result["pushes"]:
        reason = (pushed.get("verdict") or {}).get("reason", pushed.get("why", ""))
        click.echo(
            f"lane {number}: {pushed['kind']:<8} {pushed['end']:<7} {pushed.get('ms', 0):7.0f} ms  "
            f"{json.dumps(pushed['change'])}  {reason}"
        )


if __name__ == "__main__":
    main()
