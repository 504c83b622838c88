"""Runs all measurements in sequence: in this process, in real server processes and in simulated time.

Each part adds its own measurements. A part that was not run adds nothing.
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
from benchmarks.capacity.documents import raised_limits
from benchmarks.capacity.plan import PLAN
from benchmarks.capacity.results import FEW_TENANTS, IN_PROCESS, REAL, SIMULATED, Measured
from benchmarks.capacity.rollout import simulate_rollout
from benchmarks.sample_statistics import percentile_by_floor_index
from nickelslip.configuration.config import ChangeRules
from nickelslip.configuration.control_client import ask_once
from nickelslip.configuration.rollout_states import RolloutPolicy

HELD_CORE_COUNT, RATE_CORE_COUNT = 2, 64
IDLE_S = 1.2
CHANGES_PER_SIZE = 3  # applied to each real server
CONTROL_TIMEOUT_MS = 20_000.0
CONFIRMATION_TIMEOUT_S = 8.0  # from a change's reply to its confirmation
WARM_CONNECTIONS = 100  # opened before the measured ones, which would else fit into memory left free at the start
REPORTS_SPAN_S = 3.0  # time over which load reports are collected
MIN_REPORTS = 2  # needed to compute the interval


@dataclass(frozen=True)
class Sizes:
    """The sizes at which each dimension is measured, with the repeats and durations."""

    tenants: tuple[int, ...]
    traffic_class_counts: tuple[int, ...]
    held_counts: tuple[int, ...]
    rates: tuple[float, ...]
    connections: tuple[int, ...]
    real_tenants: tuple[int, ...]
    history_tenants: tuple[int, ...]  # small, since each takes well over a hundred changes
    servers: tuple[int, ...]
    repeats: int
    requests: int
    span_s: float


RATES = (35.0, PLAN.requests_per_server_s, PLAN.requests_per_server_zone_down_s, 3 * PLAN.requests_per_server_s)
QUICK = Sizes(
    tenants=(100, 700, 5_000, PLAN.tenants),
    traffic_class_counts=(2, 8, 24, 64),
    held_counts=(16, 64, 256, 1024),
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
    traffic_class_counts=(2, 4, 8, 16, 32, 64),
    held_counts=(16, 64, 256, 512, 1024),
    connections=(50, 100, 200, 400, 800),
    servers=(10, 40, 79, 160, 320, PLAN.servers),
    repeats=5,
    requests=2_000,
    span_s=20.0,
    history_tenants=(60, 200, 600, 1_800),
)


class Run:
    """One run of the benchmark. `measured` holds the measurements so far.

    Args:
        sizes: The sizes to measure at.
        seed: Seeds the random requests and decisions.
        report_progress: Called with a line of text after each part.
    """

    def __init__(self, sizes: Sizes, seed: int, report_progress: Callable[[str], None]) -> None:
        self._sizes = sizes
        self._seed = seed
        self._report_progress = report_progress
        self.measured = Measured()

    async def measure_all(self, quick: bool) -> Measured:
        """Run all measurements in order."""
        started_at_s, loads = time.monotonic(), [os.getloadavg()[0]]
        with raised_limits():
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
        self._derived_figures()
        loads.append(os.getloadavg()[0])
        self.measured.run = {
            "quick": quick,
            "seed": self._seed,
            "seconds": round(time.monotonic() - started_at_s, 1),
            "python": platform.python_version(),
            "system": sys.platform,
            "cores": os.cpu_count(),
            "load": [round(load, 1) for load in loads],
        }
        return self.measured

    def _configurations(self) -> None:
        """Measure the cost of a settings document, by tenants and by traffic classes."""
        costs = {size: asdict(in_process.configuration_cost(size, self._sizes.repeats)) for size in self._sizes.tenants}
        for name in next(iter(costs.values())):
            unit = "bytes" if name.endswith("bytes") else "ms"
            points = {size: cost[name] for size, cost in costs.items()}
            self.measured.add(f"tenants_{name}", "tenants", unit, IN_PROCESS, points)
        points = {
            size: in_process.configuration_cost(1, self._sizes.repeats, size).change_ms
            for size in self._sizes.traffic_class_counts
        }
        self.measured.add("grades_change_ms", "grades", "ms", IN_PROCESS, points)
        self._report_progress("configurations measured")

    def _memory(self) -> None:
        """Measure the memory kept for each tenant."""
        costs = {size: asdict(in_process.memory_cost(size)) for size in self._sizes.tenants}
        for name in ("configuration", "tables", "change"):
            points = {size: cost[name] / 1024 for size, cost in costs.items()}
            self.measured.add(f"tenants_{name}_kb", "tenants", "KB", IN_PROCESS, points)
        points = {size: in_process.full_history_bytes(size) / 1024 for size in self._sizes.history_tenants}
        self.measured.add("tenants_full_history_kb", "tenants", "KB", IN_PROCESS, points)
        self.measured.figures["active_ring_bytes"] = in_process.active_ring_bytes()
        self._report_progress("memory measured")

    def _decisions(self) -> None:
        """Measure the admission controller's processor time for a request or an event."""
        sizes = self._sizes
        plan_rate = PLAN.requests_per_server_s

        def decision_us(tenants: int, traffic_class_count: int | None = None, rate_per_s: float = plan_rate) -> float:
            settings = in_process.settings_for(tenants, traffic_class_count, core_count=RATE_CORE_COUNT)
            return median(
                in_process.decision_us(settings, rate_per_s, sizes.requests, self._seed + trial) for trial in range(3)
            )

        points = {size: decision_us(size) for size in sizes.tenants}
        self.measured.add("tenants_decision_us", "tenants", "us a request", IN_PROCESS, points)
        points = {size: decision_us(1, size) for size in sizes.traffic_class_counts}
        self.measured.add("grades_decision_us", "grades", "us a request", IN_PROCESS, points)
        shares = {rate: decision_us(PLAN.tenants, None, rate) * rate / 1e6 for rate in sizes.rates}
        self.measured.add("rate_decision_share", "requests a second", "of a core", IN_PROCESS, shares)
        settings = in_process.settings_for(FEW_TENANTS, core_count=HELD_CORE_COUNT)
        traffic_classes = tuple(
            replace(traffic_class, latency_objective_ms=in_process.UNREACHED_MS, timeout_ms=in_process.UNREACHED_MS)
            for traffic_class in settings.traffic_classes
        )
        settings = replace(settings, traffic_classes=traffic_classes)
        points = {size: in_process.held_decision_us(settings, size, sizes.requests) for size in sizes.held_counts}
        self.measured.add("held_decision_us", "held items", "us an event", IN_PROCESS, points)
        self._report_progress("decisions measured")

    async def _processes(self, folder: Path) -> None:
        """Measure the start time and resident memory of real processes, and the load reports of one."""
        ready_ms, resident_kb = {}, {}
        for size in self._sizes.real_tenants:
            async with real.running_server(folder, size) as server:
                ready_ms[size], resident_kb[size] = server.ready_ms, server.resident_kb()
                if size == FEW_TENANTS:
                    await self._reports(server)
        self.measured.add("real_tenants_ready_ms", "tenants", "ms", REAL, ready_ms)
        self.measured.add("real_tenants_resident_kb", "tenants", "KB", REAL, resident_kb)
        self._report_progress("processes measured")

    async def _reports(self, server: real.Server) -> None:
        first = len(server.directory.reports)
        await asyncio.sleep(REPORTS_SPAN_S)
        reports = server.directory.reports[first:]
        figures = self.measured.figures
        if len(reports) >= MIN_REPORTS:
            figures["report_bytes"] = reports[-1][1] + real.UDP_HEADERS
            figures["report_interval_s"] = (reports[-1][0] - reports[0][0]) / (len(reports) - 1)

    async def _connections(self, folder: Path) -> None:
        """Measure what idle open connections cost a real process."""
        memory_kb, core_share = {}, {}
        async with real.running_server(folder, FEW_TENANTS) as server:
            await server.open_connections(WARM_CONNECTIONS)
            before_kb = server.resident_kb()
            self.measured.figures["rest_core_share"] = await server.processor_share(IDLE_S)
            for size in self._sizes.connections:
                await server.open_connections(WARM_CONNECTIONS + size)
                core_share[size] = await server.processor_share(IDLE_S)
                memory_kb[size] = server.resident_kb() - before_kb
                if any(connection.is_closed for connection in server.connections):
                    raise RuntimeError("the server ended a connection that was to rest")
        self.measured.add("connections_kb", "connections", "KB", REAL, memory_kb)
        self.measured.add("connections_core_share", "connections", "of a core", REAL, core_share)
        self._report_progress("connections measured")

    async def _changes(self, folder: Path) -> None:
        """Measure the time of a change in a real process, and the resident memory after it."""
        apply_ms, processor_ms, resident_after_kb, status_ms = {}, {}, {}, 0.0
        for size in self._sizes.real_tenants:
            async with real.running_server(folder, size, changes=True) as server:
                apply_times_ms, processor_times_ms, resident_kb = [], [], []
                for number in range(CHANGES_PER_SIZE):
                    processor_ms_before, started_at_s = server.processor_ms(), time.perf_counter()
                    reply = await ask_once(
                        server.socket, "apply", CONTROL_TIMEOUT_MS, document=in_process.quota_overlay(number)
                    )
                    apply_times_ms.append((time.perf_counter() - started_at_s) * 1000)
                    processor_times_ms.append(server.processor_ms() - processor_ms_before)
                    if not reply["ok"]:
                        raise RuntimeError(f"a change was not taken: {reply['text']}")
                    status_reply, status_ms = await wait_until_confirmed(server)
                    resident_kb.append(server.resident_kb())
                apply_ms[size], processor_ms[size] = median(apply_times_ms), median(processor_times_ms)
                resident_after_kb[size] = resident_kb[-1]
                change_bytes = len(orjson.dumps(in_process.quota_overlay(0)))
                self.measured.figures["change_bytes"] = change_bytes + len(orjson.dumps(reply))
                self.measured.figures["status_bytes"] = len(orjson.dumps(status_reply))
        self.measured.add("real_change_ms", "tenants", "ms", REAL, apply_ms)
        self.measured.add("real_change_core_ms", "tenants", "ms", REAL, processor_ms)
        self.measured.add("real_changed_resident_kb", "tenants", "KB", REAL, resident_after_kb)
        self.measured.figures["status_ms"] = status_ms
        self._report_progress("changes measured")

    async def _history(self, folder: Path) -> None:
        """Compare the memory of a full history in a real process with the in-process figure at the same size."""
        tenants = max(self._sizes.history_tenants)
        async with real.running_server(folder, tenants, changes=True) as server:
            before_kb = server.resident_kb()
            for number in range(1, in_process.CHANGES_TO_FILL_HISTORY + 1):
                reply = await ask_once(
                    server.socket, "apply", CONTROL_TIMEOUT_MS, document=in_process.change_rules_overlay(number)
                )
                if not reply["ok"]:
                    raise RuntimeError(f"a change was not taken: {reply['text']}")
            real_kb = server.resident_kb() - before_kb
        in_process_kb = self.measured.at("tenants_full_history_kb", tenants)
        assert in_process_kb is not None
        self.measured.figures["real_full_history_kb"] = real_kb
        self.measured.figures["hollow_error_history"] = in_process_kb / real_kb - 1
        self._report_progress("history measured")

    async def _requests(self, folder: Path) -> None:
        """Measure the latency that a real process adds to a request, with an echo as the baseline."""
        figures = self.measured.figures
        rate_per_s, span_s = PLAN.requests_per_server_s, self._sizes.span_s
        async with real.running_echo_server() as echo:
            for tenants in (FEW_TENANTS, PLAN.tenants):
                async with real.running_server(folder, tenants) as server:
                    for rate_factor in (1, 3):
                        times = await real.request_times(
                            server, echo, tenants, rate_factor * rate_per_s, span_s, self._seed
                        )
                        suffix = f"{tenants}_{rate_factor}x"
                        figures[f"added_ms_p50_{suffix}"] = percentile_by_floor_index(times.server_ms, 0.5)
                        figures[f"added_ms_p99_{suffix}"] = percentile_by_floor_index(times.server_ms, 0.99)
                        figures[f"added_echo_ms_p99_{suffix}"] = percentile_by_floor_index(times.echo_ms, 0.99)
                        figures[f"request_core_share_{suffix}"] = times.core_share
                        figures[f"requests_{suffix}"] = len(times.server_ms)
                        figures[f"requests_failed_{suffix}"] = times.failed
        self._report_progress("requests measured")

    def _rollouts(self) -> None:
        """Simulate roll-outs with the measured times of a change and a status check."""
        apply_ms = self.measured.at("real_change_ms", PLAN.tenants)
        status_ms = self.measured.figures["status_ms"]
        assert apply_ms is not None and status_ms is not None
        last_in_force_s, took_s = {}, {}
        for size in self._sizes.servers:
            rollout = simulate_rollout(size, apply_ms, status_ms)
            last_in_force_s[size], took_s[size] = rollout.in_force_s[-1], rollout.took_s
            self.measured.notes[f"rollout_{size}"] = rollout.status_word
            if size == PLAN.servers:
                self.measured.figures["simulated_in_force_s_p99"] = rollout.percentile(0.99)
                self.measured.figures["simulated_in_force_s_max"] = rollout.in_force_s[-1]
        self.measured.add("rollout_in_force_s", "servers", "s", SIMULATED, last_in_force_s)
        self.measured.add("rollout_took_s", "servers", "s", SIMULATED, took_s)
        self._report_progress("roll-outs simulated")

    def _derived_figures(self) -> None:
        """Calculate figures from several measurements: the costs of control, and the errors of in-process figures."""
        measured, figures = self.measured, self.measured.figures
        few_tenants, many_tenants = min(self._sizes.real_tenants), PLAN.tenants

        def measured_value(name: str, size: float) -> float:
            value = measured.at(name, size)
            assert value is not None, name
            return value

        idle_share, status_bytes = figures["rest_core_share"], figures["status_bytes"]
        assert idle_share is not None and status_bytes is not None
        figures["control_core_share"] = (
            idle_share + measured_value("real_change_core_ms", many_tenants) / 1000 * PLAN.changes_per_s
        )
        base_kb = measured_value("real_tenants_resident_kb", few_tenants)
        figures["control_mb"] = (measured_value("real_changed_resident_kb", many_tenants) - base_kb) / 1024
        figures["control_changes_kept"] = CHANGES_PER_SIZE
        real_kb = (measured_value("real_tenants_resident_kb", many_tenants) - base_kb) / (many_tenants - few_tenants)
        in_process_kb = (
            self._configuration_and_tables_kb(many_tenants) - self._configuration_and_tables_kb(few_tenants)
        ) / (many_tenants - few_tenants)
        figures["real_kb_per_tenant"], figures["hollow_kb_per_tenant"] = real_kb, in_process_kb
        figures["hollow_error_memory"] = in_process_kb / real_kb - 1
        figures["hollow_error_change"] = (
            measured_value("tenants_change_ms", many_tenants) / measured_value("real_change_core_ms", many_tenants) - 1
        )
        bytes_per_s = PLAN.changes_per_s * (
            (figures["change_bytes"] or 0.0) + self._status_checks_per_change() * status_bytes
        )
        report_bytes, report_interval_s = figures.get("report_bytes"), figures.get("report_interval_s")
        if report_bytes is not None and report_interval_s:
            bytes_per_s += report_bytes / report_interval_s
            figures["control_bytes_s"] = bytes_per_s
        text_bytes = measured_value("tenants_text_bytes", many_tenants)
        figures["whole_documents_bytes_s"] = text_bytes * PLAN.changes_per_s

    def _configuration_and_tables_kb(self, tenants: int) -> float:
        configuration_kb = self.measured.at("tenants_configuration_kb", tenants)
        tables_kb = self.measured.at("tenants_tables_kb", tenants)
        assert configuration_kb is not None and tables_kb is not None
        return configuration_kb + tables_kb

    @staticmethod
    def _status_checks_per_change() -> float:
        """Return how often a roll-out checks the status of one server during the shortest canary period."""
        return ChangeRules().canary_period_ms / RolloutPolicy().status_check_interval_ms


async def wait_until_confirmed(server: real.Server) -> tuple[dict[str, object], float]:
    """Wait until the server's change is confirmed; return its status and how many milliseconds the last check took."""
    async with asyncio.timeout(CONFIRMATION_TIMEOUT_S):
        while True:
            started_at_s = time.perf_counter()
            status_reply = await ask_once(server.socket, "status", CONTROL_TIMEOUT_MS)
            took_ms = (time.perf_counter() - started_at_s) * 1000
            if status_reply["step"] == "confirmed":
                return status_reply, took_ms
            await asyncio.sleep(0.1)
