"""Measures the CPU time of a server from its start to its first answer, and compares versions in pairs."""

from __future__ import annotations

import asyncio
import random
import statistics
import tempfile
from dataclasses import dataclass
from pathlib import Path

from benchmarks.cold_start_run import CommandLine, command_line_of
from nickelslip.emulator.fleet import Fleet
from nickelslip.emulator.fleet_plan import Plan
from nickelslip.emulator.processes import Process
from nickelslip.server import resp

MAX_CONNECT_ATTEMPTS = 2000
CONNECT_PAUSE_S = 0.005
ANSWER_BYTES = 64
BOOTSTRAP_SAMPLES = 400
BOOTSTRAP_TAIL = 20  # samples dropped at either end, for a 90% interval


@dataclass(frozen=True)
class StartCosts:
    """The CPU time of starts.

    Attributes:
        median_ms: The median, by version.
        ratios: This version's time over the other's for each pair, ascending.
    """

    median_ms: dict[str, float]
    ratios: list[float]


async def first_answer_cpu_ms(command_line: CommandLine, folder: Path, cwd: Path, number: int) -> float:
    """Return the CPU time of one process from its start to its first answer to a health check."""
    fleet = Fleet(Plan(size=1, is_relayed=False, seed=number), folder)
    async with fleet:
        await fleet.run_command("pool", "n1")
        exit_codes: list[int] = []
        process = Process(command_line(str(fleet.config("n1"))), folder / "log", exit_codes.append, cwd)
        try:
            reader, writer = await _connect(fleet.spec.servers["n1"].listen)
            writer.write(resp.message(b"STATUS", b"1"))
            await reader.read(ANSWER_BYTES)
            cpu_ms = process.cpu_ms()
            writer.close()
        finally:
            await process.kill()
    return cpu_ms


async def _connect(address: tuple[str, int]) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    for _ in range(MAX_CONNECT_ATTEMPTS):
        try:
            return await asyncio.open_connection(*address)
        except OSError:
            await asyncio.sleep(CONNECT_PAUSE_S)
    raise TimeoutError(f"no connection to {address} in {MAX_CONNECT_ATTEMPTS} attempts")


async def measure_start_costs(folders: dict[str, Path], pair_count: int) -> StartCosts:
    """Start the versions "this" and "before" in turn, each from its folder, and return their costs."""
    costs_ms: dict[str, list[float]] = {name: [] for name in folders}
    for number in range(pair_count + 1):
        for name, cwd in folders.items():
            with tempfile.TemporaryDirectory(prefix="start") as folder:
                cpu_ms = await first_answer_cpu_ms(command_line_of(name), Path(folder), cwd, number)
            if number:  # the first pair only warms the disk cache
                costs_ms[name].append(cpu_ms)
    pairs = zip(costs_ms["this"], costs_ms["before"], strict=True)
    ratios = sorted(this_ms / before_ms for this_ms, before_ms in pairs)
    return StartCosts({name: statistics.median(costs) for name, costs in costs_ms.items()}, ratios)


def bootstrap_interval(figures: list[float], seed: int) -> list[float]:
    """Return the 90% bootstrap interval of the mean of these figures."""
    generator = random.Random(seed)
    means = sorted(statistics.mean(generator.choices(figures, k=len(figures))) for _ in range(BOOTSTRAP_SAMPLES))
    return [round(means[BOOTSTRAP_TAIL], 3), round(means[-BOOTSTRAP_TAIL - 1], 3)]
