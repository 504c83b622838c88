"""The rows of the page: each figure at the plan's size, the slope that it comes from, and the plan's limit.

A row whose figure was not measured has no value, and is never over its limit.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.capacity.plan import PLAN
from benchmarks.capacity.results import FEW_TENANTS, Measured, Series
from nickelslip.configuration.control_protocol import MAX_FRAME_BYTES
from nickelslip.configuration.schema import MAX_NAMES
from nickelslip.configuration.validation import MAX_DOCUMENT_BYTES

SERVER, CALLER, DIRECTORY = "Server", "Caller", "Directory"
RECORDS, CONTROL, COMMAND = "Records service", "Control machine", "Operator's command"
ROLES = (SERVER, CALLER, DIRECTORY, RECORDS, CONTROL, COMMAND)
FULL_HISTORY = "memory of changes once the history in memory is full"
COST, BOUND, NOISY = "cost", "bound", "noisy"
MAX_HELD = 1024  # items, the most that were measured
MIN_WITH_SEPARATORS = 1000  # figures from here on are written whole, with separators of thousands


@dataclass(frozen=True)
class Row:
    """One figure. `value` is None where it was not measured; `limit` None where the plan sets none."""

    role: str
    name: str
    value: float | None
    unit: str
    limit: float | None = None
    series: Series | None = None
    size: float | None = None  # at which the series is taken
    how: str = ""  # where there is no series: by which figures or arithmetic
    kind: str = COST  # or BOUND: in today's code, refusing the plan's size; or NOISY: lost in the machine's noise

    @property
    def factor(self) -> float | None:
        """By how much the limit is missed; under 1 it is kept."""
        if self.value is None or not self.limit:
            return None
        return self.value / self.limit

    @property
    def over(self) -> bool:
        """Whether the limit is missed."""
        return self.factor is not None and self.factor > 1


def rows_of(measured: Measured) -> tuple[Row, ...]:
    """All rows, role by role."""
    return (*_server(measured), *_caller(measured), *_directory(measured), *_not_measured(), *_command(measured))


def worst_of(rows: Sequence[Row], kind: str) -> Row | None:
    """Of this kind of row, the one that misses its limit by the largest factor."""
    over = [row for row in rows if row.over and row.kind == kind]
    return max(over, key=lambda row: row.factor or 0.0, default=None)


def _from(
    measured: Measured,
    role: str,
    name: str,
    series: str,
    size: float,
    unit: str,
    limit: float | None = None,
    scale: float = 1.0,
    how: str = "",
    kind: str = COST,
) -> Row:
    """A row that is a series at a size."""
    value = measured.at(series, size)
    return Row(
        role, name, None if value is None else value * scale, unit, limit, measured.series.get(series), size, how, kind
    )


def _server(measured: Measured) -> tuple[Row, ...]:
    return (
        *_server_memory(measured),
        *_server_time(measured),
        *_server_bytes(measured),
        *_server_process(measured),
        *_server_bounds(measured),
        *_added(measured),
    )


def _server_memory(measured: Measured) -> list[Row]:
    figures = measured.figures
    tenants = PLAN.tenants
    return [
        _from(
            measured,
            SERVER,
            "memory of the tables of the module, by tenant",
            "tenants_tables_kb",
            tenants,
            "MB",
            scale=1 / 1024,
        ),
        Row(
            SERVER,
            "memory of the tables' rings once every tenant is active",
            _active_mb(measured),
            "MB",
            PLAN.control_mb,
            how=f"hollow: {_text(figures.get('active_ring_bytes'))} bytes a ring, every bucket used, x {tenants:,}",
        ),
        _from(
            measured,
            SERVER,
            "memory of one configuration, by tenant",
            "tenants_configuration_kb",
            tenants,
            "MB",
            scale=1 / 1024,
        ),
        _from(
            measured,
            SERVER,
            "memory of one more change that is kept",
            "tenants_change_kb",
            tenants,
            "MB",
            scale=1 / 1024,
        ),
        Row(
            SERVER,
            "memory of control with few changes kept",
            figures.get("control_mb"),
            "MB",
            PLAN.control_mb,
            measured.series.get("real_changed_resident_kb"),
            tenants,
            f"after {_text(figures.get('control_changes_kept'))} changes, less the resident memory with few "
            "tenants and changes off",
        ),
        _from(measured, SERVER, FULL_HISTORY, "tenants_full_history_kb", tenants, "MB", PLAN.control_mb, 1 / 1024),
    ]


def _server_time(measured: Measured) -> list[Row]:
    figures = measured.figures
    tenants = PLAN.tenants
    return [
        Row(
            SERVER,
            "processor time of control",
            figures.get("control_core_share"),
            "of a core",
            PLAN.control_core_share,
            how="at rest, and a change's processor time x changes a second",
        ),
        _from(
            measured,
            SERVER,
            "standstill for one change",
            "real_change_core_ms",
            tenants,
            "ms",
            PLAN.stop_ms_per_change,
            how="limit by arithmetic: 1 request in 100 at the plan's changes a second",
        ),
        _from(measured, SERVER, "a change's adoption alone", "tenants_apply_ms", tenants, "ms"),
        _from(measured, SERVER, "a change's undoing alone", "tenants_undo_ms", tenants, "ms"),
        _from(measured, SERVER, "a settings text read", "tenants_parse_ms", tenants, "ms"),
        _from(measured, SERVER, "a settings document checked", "tenants_check_ms", tenants, "ms"),
        _from(measured, SERVER, "two documents compared (plan)", "tenants_plan_ms", tenants, "ms"),
        _from(measured, SERVER, "decisions on one request, by tenants", "tenants_decision_us", tenants, "us"),
        _from(measured, SERVER, "decisions on one request, by grades", "grades_decision_us", MAX_NAMES["grades"], "us"),
        _from(measured, SERVER, "a decision on one event, by held items", "held_decision_us", MAX_HELD, "us"),
        _from(
            measured,
            SERVER,
            "decisions' part of a core, by requests a second",
            "rate_decision_share",
            PLAN.requests_without_a_zone_s,
            "of a core",
            how="with one zone of six gone",
        ),
    ]


def _server_bytes(measured: Measured) -> list[Row]:
    figures = measured.figures
    tenants = PLAN.tenants
    return [
        Row(
            SERVER,
            "bytes of control a second",
            figures.get("control_bytes_s"),
            "bytes/s",
            PLAN.control_bytes_s,
            how="reports, changes of one tenant each, and a roll-out's looks, as measured",
        ),
        Row(
            SERVER,
            "bytes of control a second if whole documents are sent",
            figures.get("whole_documents_bytes_s"),
            "bytes/s",
            PLAN.control_bytes_s,
            measured.series.get("tenants_text_bytes"),
            tenants,
            "text x changes a second",
        ),
    ]


def _server_process(measured: Measured) -> list[Row]:
    tenants = PLAN.tenants
    return [
        _from(measured, SERVER, "start until it answers, real", "real_tenants_ready_ms", tenants, "ms"),
        _from(
            measured,
            SERVER,
            "resident memory after a start, real",
            "real_tenants_resident_kb",
            tenants,
            "MB",
            scale=1 / 1024,
        ),
        _from(
            measured,
            SERVER,
            "memory of connections at rest, no subsets",
            "connections_kb",
            PLAN.callers,
            "MB",
            scale=1 / 1024,
        ),
        _from(
            measured,
            SERVER,
            "processor time with connections at rest",
            "connections_core_share",
            PLAN.callers,
            "of a core",
        ),
    ]


def _server_bounds(measured: Measured) -> list[Row]:
    tenants = PLAN.tenants
    return [
        Row(
            SERVER,
            "tenants in a document",
            tenants,
            "tenants",
            MAX_NAMES["customers"],
            how="a bound of the schema",
            kind=BOUND,
        ),
        _from(
            measured,
            SERVER,
            "bytes of a settings text",
            "tenants_text_bytes",
            tenants,
            "bytes",
            MAX_DOCUMENT_BYTES,
            how="a bound of the reader",
            kind=BOUND,
        ),
        _from(
            measured,
            SERVER,
            "bytes of a whole document in one control frame",
            "tenants_text_bytes",
            tenants,
            "bytes",
            MAX_FRAME_BYTES,
            how="a bound of the control protocol",
            kind=BOUND,
        ),
    ]


def _active_mb(measured: Measured) -> float | None:
    ring = measured.figures.get("active_ring_bytes")
    return None if ring is None else ring * PLAN.tenants / (1 << 20)


def _added(measured: Measured) -> list[Row]:
    """The time that a real process adds to a request, over an echo in the same run."""
    rows = []
    for tenants in (FEW_TENANTS, PLAN.tenants):
        for times in (1, 3):
            added = measured.figures.get(f"added_ms_p99_{tenants}_{times}x")
            echo = measured.figures.get(f"added_echo_ms_p99_{tenants}_{times}x")
            value = None if added is None or echo is None else max(0.0, added - echo)
            failed = measured.figures.get(f"requests_failed_{tenants}_{times}x")
            asked = measured.figures.get(f"requests_{tenants}_{times}x")
            how = (
                f"real, loopback: 99th percentile {_text(added)} ms, of two turns of the echo {_text(echo)} ms; "
                f"{_text(asked)} requests, {_text(failed)} without a good answer"
            )
            rows.append(
                Row(
                    SERVER,
                    f"added to a request, {tenants:,} tenants, {times}x the mean rate",
                    value,
                    "ms over the echo",
                    PLAN.added_ms_p99,
                    how=how,
                    kind=NOISY if echo is not None and echo > PLAN.added_ms_p99 else COST,
                )
            )
    return rows


def _caller(measured: Measured) -> list[Row]:
    return [
        Row(CALLER, "connections of one caller, no subsets", PLAN.servers, "connections", how="by arithmetic"),
        Row(
            CALLER,
            "connections in the fleet, no subsets",
            PLAN.pairs,
            "connections",
            how="servers x callers, by arithmetic",
        ),
        Row(CALLER, "state, processor time and messages of a caller", None, ""),
    ]


def _directory(measured: Measured) -> list[Row]:
    size, interval = measured.figures.get("report_bytes"), measured.figures.get("report_interval_s")
    known = size is not None and interval
    return [
        Row(
            DIRECTORY,
            "reports",
            PLAN.servers / interval if known and interval else None,
            "a second",
            how=f"one each {_text(interval)} s, measured at one real server, x {PLAN.servers}",
        ),
        Row(
            DIRECTORY,
            "bytes of reports",
            PLAN.servers * size / interval if size and interval else None,
            "bytes/s",
            how=f"{_text(size)} bytes each with UDP and IPv4 headers",
        ),
        Row(DIRECTORY, "state, processor time and memory", None, ""),
    ]


def _not_measured() -> list[Row]:
    return [
        Row(RECORDS, "calls, connections and memory at the plan's size", None, ""),
        Row(CONTROL, "all of it: there is none today, servers run without", None, ""),
    ]


def _command(measured: Measured) -> list[Row]:
    took = measured.at("rollout_took_s", PLAN.servers)
    return [
        _from(
            measured,
            COMMAND,
            "a change in force at the last server",
            "rollout_in_force_s",
            PLAN.servers,
            "s",
            PLAN.in_force_s,
            how=f"end of that roll-out: {measured.notes.get(f'rollout_{PLAN.servers}', '-')}",
        ),
        _from(measured, COMMAND, "a whole roll-out", "rollout_took_s", PLAN.servers, "s"),
        Row(
            COMMAND,
            "roll-outs that would have to run at once",
            None if took is None else took * PLAN.changes_per_s,
            "at once",
            1.0,
            how="time of one x changes a second; one at a time may be on probation",
        ),
    ]


def _text(value: float | None) -> str:
    if value is None:
        return "not measured"
    if value >= MIN_WITH_SEPARATORS:
        return f"{value:,.0f}"
    return f"{value:.3g}"
