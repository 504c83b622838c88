"""One run of all measurements: in this process, in real processes and in simulated time, one after the other.

Each part adds what it measured; nothing is added for a part that was not run.
"""

from __future__ import annotations

import asyncio
import os
import platform
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from statistics import median

import orjson

from benchmarks.capacity import in_process, real
from benchmarks.capacity.documents import lifted_bounds
from benchmarks.capacity.plan import PLAN
from benchmarks.capacity.results import FEW_TENANTS, IN_PROCESS, REAL, SIMULATED, Measured
from benchmarks.capacity.rollout import spread
from benchmarks.sample_statistics import percentile_by_floor_index
from nickelslip.configuration.config import ChangeRules
from nickelslip.configuration.control_client import ask_once
from nickelslip.configuration.rollout import RolloutPolicy

HELD_CORES, RATE_CORES = 2, 64
REST_S = 1.2
CHANGES_PER_SIZE = 3  # taken by a real server
ASK_MS = 20_000.0
CONFIRMATION_TIMEOUT_S = 8.0  # after a change, until it has to be confirmed
WARM_CONNECTIONS = 100  # connections that are open before those that are counted: a start leaves room for some
REPORTS_S = 3.0  # over which reports are counted
MIN_REPORTS = 2  # for an interval


@dataclass(frozen=True)
class Sizes:
    """At which sizes each dimension is measured, and how long."""

    tenants: tuple[int, ...]
    grades: tuple[int, ...]
    held: tuple[int, ...]
    rates: tuple[float, ...]
    connections: tuple[int, ...]
    real_tenants: tuple[int, ...]
    history_tenants: tuple[int, ...]  # few: each takes well over a hundred changes
    servers: tuple[int, ...]
    repeats: int
    requests: int
    span_s: float


RATES = (35.0, PLAN.requests_per_server_s, PLAN.requests_without_a_zone_s, 3 * PLAN.requests_per_server_s)
QUICK = Sizes(
    tenants=(100, 700, 5_000, PLAN.tenants),
    grades=(2, 8, 24, 64),
    held=(16, 64, 256, 1024),
    rates=RATES,
    connections=(50, 125, 320, 800),
    real_tenants=(100, 700, 5_000, PLAN.tenants),
    servers=(10, 79, 250, PLAN.servers),
    repeats=3,
    requests=400,
    span_s=4.0,
    history_tenants=(50, 100, 200, 400),
)
FULL = replace(
    QUICK,
    tenants=(100, 400, 1_500, 6_000, 15_000, PLAN.tenants),
    grades=(2, 4, 8, 16, 32, 64),
    held=(16, 64, 256, 512, 1024),
    connections=(50, 100, 200, 400, 800),
    servers=(10, 40, 79, 160, 320, PLAN.servers),
    repeats=5,
    requests=2_000,
    span_s=20.0,
    history_tenants=(60, 200, 600, 1_800),
)


class Run:
    """One run; `measured` is what it has measured so far.

    Args:
        sizes: At which all is measured.
        seed: For requests and decisions.
        report_progress: Called with a line of text after each part.
    """

    def __init__(self, sizes: Sizes, seed: int, report_progress: Callable[[str], None]) -> None:
        self._sizes = sizes
        self._seed = seed
        self._report_progress = report_progress
        self.measured = Measured()

    async def all(self, quick: bool) -> Measured:
        """Everything, in order."""
        begun, loads = time.monotonic(), [os.getloadavg()[0]]
        with lifted_bounds():
            self._configurations()
            self._memory()
            self._decisions()
        with tempfile.TemporaryDirectory(prefix="capacity") as folder:
            await self._processes(Path(folder))
            await self._connections(Path(folder))
            await self._changes(Path(folder))
            await self._history(Path(folder))
            await self._requests(Path(folder))
        self._rollouts()
        self._together()
        loads.append(os.getloadavg()[0])
        self.measured.run = {
            "quick": quick,
            "seed": self._seed,
            "seconds": round(time.monotonic() - begun, 1),
            "python": platform.python_version(),
            "system": sys.platform,
            "cores": os.cpu_count(),
            "load": [round(load, 1) for load in loads],
        }
        return self.measured

    def _configurations(self) -> None:
        """What a settings document costs, by tenants and by grades."""
        costs = {size: asdict(in_process.configuration_cost(size, self._sizes.repeats)) for size in self._sizes.tenants}
        for name in next(iter(costs.values())):
            unit = "bytes" if name.endswith("bytes") else "ms"
            points = {size: cost[name] for size, cost in costs.items()}
            self.measured.add(f"tenants_{name}", "tenants", unit, IN_PROCESS, points)
        points = {
            size: in_process.configuration_cost(1, self._sizes.repeats, size).change_ms for size in self._sizes.grades
        }
        self.measured.add("grades_change_ms", "grades", "ms", IN_PROCESS, points)
        self._report_progress("configurations measured")

    def _memory(self) -> None:
        """What is kept for each tenant."""
        costs = {size: asdict(in_process.memory_cost(size)) for size in self._sizes.tenants}
        for name in ("configuration", "tables", "change"):
            points = {size: cost[name] / 1024 for size, cost in costs.items()}
            self.measured.add(f"tenants_{name}_kb", "tenants", "KB", IN_PROCESS, points)
        points = {size: in_process.full_history_bytes(size) / 1024 for size in self._sizes.history_tenants}
        self.measured.add("tenants_full_history_kb", "tenants", "KB", IN_PROCESS, points)
        self.measured.figures["active_ring_bytes"] = in_process.active_ring_bytes()
        self._report_progress("memory measured")

    def _decisions(self) -> None:
        """What the module takes for a request or an event."""
        sizes = self._sizes
        rate = PLAN.requests_per_server_s

        def decision_us(tenants: int, grades: int | None = None, rate_per_s: float = rate) -> float:
            settings = in_process.settings_for(tenants, grades, core_count=RATE_CORES)
            return median(
                in_process.decision_us(settings, rate_per_s, sizes.requests, self._seed + trial) for trial in range(3)
            )

        points = {size: decision_us(size) for size in sizes.tenants}
        self.measured.add("tenants_decision_us", "tenants", "us a request", IN_PROCESS, points)
        points = {size: decision_us(1, size) for size in sizes.grades}
        self.measured.add("grades_decision_us", "grades", "us a request", IN_PROCESS, points)
        shares = {rate: decision_us(PLAN.tenants, None, rate) * rate / 1e6 for rate in sizes.rates}
        self.measured.add("rate_decision_share", "requests a second", "of a core", IN_PROCESS, shares)
        settings = in_process.settings_for(FEW_TENANTS, core_count=HELD_CORES)
        grades = tuple(
            replace(grade, latency_objective_ms=in_process.LONG_MS, timeout_ms=in_process.LONG_MS)
            for grade in settings.traffic_classes
        )
        settings = replace(settings, traffic_classes=grades)
        points = {size: in_process.held_decision_us(settings, size, sizes.requests) for size in sizes.held}
        self.measured.add("held_decision_us", "held items", "us an event", IN_PROCESS, points)
        self._report_progress("decisions measured")

    async def _processes(self, folder: Path) -> None:
        """Start time and resident memory of real processes, and the reports of one."""
        ready, resident = {}, {}
        for size in self._sizes.real_tenants:
            async with real.serving(folder, size) as server:
                ready[size], resident[size] = server.ready_ms, server.resident_kb()
                if size == FEW_TENANTS:
                    await self._reports(server)
        self.measured.add("real_tenants_ready_ms", "tenants", "ms", REAL, ready)
        self.measured.add("real_tenants_resident_kb", "tenants", "KB", REAL, resident)
        self._report_progress("processes measured")

    async def _reports(self, server: real.Server) -> None:
        begun = len(server.directory.reports)
        await asyncio.sleep(REPORTS_S)
        reports = server.directory.reports[begun:]
        figures = self.measured.figures
        if len(reports) >= MIN_REPORTS:
            figures["report_bytes"] = reports[-1][1] + real.UDP_HEADERS
            figures["report_interval_s"] = (reports[-1][0] - reports[0][0]) / (len(reports) - 1)

    async def _connections(self, folder: Path) -> None:
        """What open connections at rest cost a real process."""
        memory, share = {}, {}
        async with real.serving(folder, FEW_TENANTS) as server:
            await server.open_connections(WARM_CONNECTIONS)
            before = server.resident_kb()
            self.measured.figures["rest_core_share"] = await server.processor_share(REST_S)
            for size in self._sizes.connections:
                await server.open_connections(WARM_CONNECTIONS + size)
                share[size] = await server.processor_share(REST_S)
                memory[size] = server.resident_kb() - before
                if any(connection.is_closed for connection in server.connections):
                    raise RuntimeError("the server ended a connection that was to rest")
        self.measured.add("connections_kb", "connections", "KB", REAL, memory)
        self.measured.add("connections_core_share", "connections", "of a core", REAL, share)
        self._report_progress("connections measured")

    async def _changes(self, folder: Path) -> None:
        """What a change costs a real process, and what it keeps of it."""
        took, spent, kept, status = {}, {}, {}, 0.0
        for size in self._sizes.real_tenants:
            async with real.serving(folder, size, changes=True) as server:
                trips, cores, resident = [], [], []
                for number in range(CHANGES_PER_SIZE):
                    had, begun = server.processor_ms(), time.perf_counter()
                    reply = await ask_once(server.socket, "apply", ASK_MS, document=in_process.part_for(number))
                    trips.append((time.perf_counter() - begun) * 1000)
                    cores.append(server.processor_ms() - had)
                    if not reply["ok"]:
                        raise RuntimeError(f"a change was not taken: {reply['text']}")
                    looked, status = await confirmed(server)
                    resident.append(server.resident_kb())
                took[size], spent[size] = median(trips), median(cores)
                kept[size] = resident[-1]
                change_bytes = len(orjson.dumps(in_process.part_for(0)))
                self.measured.figures["change_bytes"] = change_bytes + len(orjson.dumps(reply))
                self.measured.figures["status_bytes"] = len(orjson.dumps(looked))
        self.measured.add("real_change_ms", "tenants", "ms", REAL, took)
        self.measured.add("real_change_core_ms", "tenants", "ms", REAL, spent)
        self.measured.add("real_changed_resident_kb", "tenants", "KB", REAL, kept)
        self.measured.figures["status_ms"] = status
        self._report_progress("changes measured")

    async def _history(self, folder: Path) -> None:
        """The memory of a full history in a real process, against the in-process figure at the same size."""
        tenants = max(self._sizes.history_tenants)
        async with real.serving(folder, tenants, changes=True) as server:
            before = server.resident_kb()
            for number in range(1, in_process.FULL_CHANGES + 1):
                reply = await ask_once(server.socket, "apply", ASK_MS, document=in_process.rules_part_for(number))
                if not reply["ok"]:
                    raise RuntimeError(f"a change was not taken: {reply['text']}")
            real_kb = server.resident_kb() - before
        in_process_kb = self.measured.at("tenants_full_history_kb", tenants)
        assert in_process_kb is not None
        self.measured.figures["real_full_history_kb"] = real_kb
        self.measured.figures["hollow_error_history"] = in_process_kb / real_kb - 1
        self._report_progress("history measured")

    async def _requests(self, folder: Path) -> None:
        """What a real process adds to a request, beside an echo."""
        figures = self.measured.figures
        rate, span_s = PLAN.requests_per_server_s, self._sizes.span_s
        async with real.echoing() as echo:
            for tenants in (FEW_TENANTS, PLAN.tenants):
                async with real.serving(folder, tenants) as server:
                    for times in (1, 3):
                        seen = await real.request_times(server, echo, tenants, times * rate, span_s, self._seed)
                        at = f"{tenants}_{times}x"
                        figures[f"added_ms_p50_{at}"] = percentile_by_floor_index(seen.server_ms, 0.5)
                        figures[f"added_ms_p99_{at}"] = percentile_by_floor_index(seen.server_ms, 0.99)
                        figures[f"added_echo_ms_p99_{at}"] = percentile_by_floor_index(seen.echo_ms, 0.99)
                        figures[f"request_core_share_{at}"] = seen.core_share
                        figures[f"requests_{at}"] = len(seen.server_ms)
                        figures[f"requests_failed_{at}"] = seen.failed
        self._report_progress("requests measured")

    def _rollouts(self) -> None:
        """Roll-outs in simulated time, with the measured times of a change and a look."""
        apply_ms = self.measured.at("real_change_ms", PLAN.tenants)
        status_ms = self.measured.figures["status_ms"]
        assert apply_ms is not None and status_ms is not None
        last, took = {}, {}
        for size in self._sizes.servers:
            rollout = spread(size, apply_ms, status_ms)
            last[size], took[size] = rollout.in_force_s[-1], rollout.took_s
            self.measured.notes[f"rollout_{size}"] = rollout.course
            if size == PLAN.servers:
                self.measured.figures["simulated_in_force_s_p99"] = rollout.percentile(0.99)
                self.measured.figures["simulated_in_force_s_max"] = rollout.in_force_s[-1]
        self.measured.add("rollout_in_force_s", "servers", "s", SIMULATED, last)
        self.measured.add("rollout_took_s", "servers", "s", SIMULATED, took)
        self._report_progress("roll-outs simulated")

    def _together(self) -> None:
        """Figures that follow from several: the control side of a server, and in-process figures against real ones."""
        measured, figures = self.measured, self.measured.figures
        few, many = min(self._sizes.real_tenants), PLAN.tenants

        def need(name: str, size: float) -> float:
            value = measured.at(name, size)
            assert value is not None, name
            return value

        rest, status_bytes = figures["rest_core_share"], figures["status_bytes"]
        assert rest is not None and status_bytes is not None
        figures["control_core_share"] = rest + need("real_change_core_ms", many) / 1000 * PLAN.changes_per_s
        base = need("real_tenants_resident_kb", few)
        figures["control_mb"] = (need("real_changed_resident_kb", many) - base) / 1024
        figures["control_changes_kept"] = CHANGES_PER_SIZE
        real_kb = (need("real_tenants_resident_kb", many) - base) / (many - few)
        in_process_kb = (self._kept_kb(many) - self._kept_kb(few)) / (many - few)
        figures["real_kb_per_tenant"], figures["hollow_kb_per_tenant"] = real_kb, in_process_kb
        figures["hollow_error_memory"] = in_process_kb / real_kb - 1
        figures["hollow_error_change"] = need("tenants_change_ms", many) / need("real_change_core_ms", many) - 1
        bytes_s = PLAN.changes_per_s * ((figures["change_bytes"] or 0.0) + self._looks() * status_bytes)
        report_bytes, report_interval_s = figures.get("report_bytes"), figures.get("report_interval_s")
        if report_bytes is not None and report_interval_s:
            bytes_s += report_bytes / report_interval_s
            figures["control_bytes_s"] = bytes_s
        text = need("tenants_text_bytes", many)
        figures["whole_documents_bytes_s"] = text * PLAN.changes_per_s

    def _kept_kb(self, tenants: int) -> float:
        configuration = self.measured.at("tenants_configuration_kb", tenants)
        tables = self.measured.at("tenants_tables_kb", tenants)
        assert configuration is not None and tables is not None
        return configuration + tables

    @staticmethod
    def _looks() -> float:
        """Looks of a roll-out at one node while a change is on its shortest probation."""
        return ChangeRules().canary_period_ms / RolloutPolicy().status_check_interval_ms


async def confirmed(server: real.Server) -> tuple[dict[str, object], float]:
    """The status of a server once its change is confirmed, and how long the last question took, in milliseconds."""
    async with asyncio.timeout(CONFIRMATION_TIMEOUT_S):
        while True:
            begun = time.perf_counter()
            looked = await ask_once(server.socket, "status", ASK_MS)
            took = (time.perf_counter() - begun) * 1000
            if looked["step"] == "confirmed":
                return looked, took
            await asyncio.sleep(0.1)
