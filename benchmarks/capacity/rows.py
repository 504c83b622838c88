"""The rows of the page: each figure at the plan's size, the series that it comes from, and the plan's limit.

A row whose figure was not measured has no value and is never over its limit.
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
MAX_HELD_ITEMS = 1024  # the largest measured size
MIN_WITH_SEPARATORS = 1000  # figures from here on are whole numbers with thousands separators


@dataclass(frozen=True)
class Row:
    """One figure. `value` is None if it was not measured, and `limit` is None if the plan sets none."""

    role: str
    name: str
    value: float | None
    unit: str
    limit: float | None = None
    series: Series | None = None
    size: float | None = None  # the size at which the series is read
    method: str = ""  # how the figure was obtained, in addition to the series or in place of one
    # BOUND: a constant in today's code that rejects the plan's size. NOISY: lost in the machine's noise, since the echo
    # alone exceeds the limit.
    kind: str = COST

    @property
    def factor(self) -> float | None:
        """The value divided by the limit. Above 1 the limit is exceeded."""
        if self.value is None or not self.limit:
            return None
        return self.value / self.limit

    @property
    def is_over_limit(self) -> bool:
        """Whether the value exceeds the limit."""
        return self.factor is not None and self.factor > 1


def rows_of(measured: Measured) -> tuple[Row, ...]:
    """Return all rows, grouped by role."""
    return (
        *_server_rows(measured),
        *_caller_rows(measured),
        *_directory_rows(measured),
        *_unmeasured_rows(),
        *_command_rows(measured),
    )


def worst_of(rows: Sequence[Row], kind: str) -> Row | None:
    """Return the row of this kind that exceeds its limit by the largest factor, or None."""
    over = [row for row in rows if row.is_over_limit and row.kind == kind]
    return max(over, key=lambda row: row.factor or 0.0, default=None)


def _row_at_size(
    measured: Measured,
    role: str,
    name: str,
    series: str,
    size: float,
    unit: str,
    limit: float | None = None,
    scale: float = 1.0,
    method: str = "",
    kind: str = COST,
) -> Row:
    """Return a row with the value of a series at a size."""
    value = measured.at(series, size)
    return Row(
        role,
        name,
        None if value is None else value * scale,
        unit,
        limit,
        measured.series.get(series),
        size,
        method,
        kind,
    )


def _server_rows(measured: Measured) -> tuple[Row, ...]:
    return (
        *_server_memory_rows(measured),
        *_server_time_rows(measured),
        *_control_bytes_rows(measured),
        *_server_process_rows(measured),
        *_server_bound_rows(measured),
        *_added_latency_rows(measured),
    )


def _server_memory_rows(measured: Measured) -> list[Row]:
    figures = measured.figures
    tenants = PLAN.tenants
    return [
        _row_at_size(
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
            _active_rings_mb(measured),
            "MB",
            PLAN.control_mb,
            method=f"hollow: {_format(figures.get('active_ring_bytes'))} bytes a ring, every bucket used, "
            f"x {tenants:,}",
        ),
        _row_at_size(
            measured,
            SERVER,
            "memory of one configuration, by tenant",
            "tenants_configuration_kb",
            tenants,
            "MB",
            scale=1 / 1024,
        ),
        _row_at_size(
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
            f"after {_format(figures.get('control_changes_kept'))} changes, less the resident memory with few "
            "tenants and changes off",
        ),
        _row_at_size(
            measured, SERVER, FULL_HISTORY, "tenants_full_history_kb", tenants, "MB", PLAN.control_mb, 1 / 1024
        ),
    ]


def _server_time_rows(measured: Measured) -> list[Row]:
    figures = measured.figures
    tenants = PLAN.tenants
    return [
        Row(
            SERVER,
            "processor time of control",
            figures.get("control_core_share"),
            "of a core",
            PLAN.control_core_share,
            method="at rest, and a change's processor time x changes a second",
        ),
        _row_at_size(
            measured,
            SERVER,
            "standstill for one change",
            "real_change_core_ms",
            tenants,
            "ms",
            PLAN.max_pause_ms_per_change,
            method="limit by arithmetic: 1 request in 100 at the plan's changes a second",
        ),
        _row_at_size(measured, SERVER, "a change's adoption alone", "tenants_apply_ms", tenants, "ms"),
        _row_at_size(measured, SERVER, "a change's undoing alone", "tenants_undo_ms", tenants, "ms"),
        _row_at_size(measured, SERVER, "a settings text read", "tenants_parse_ms", tenants, "ms"),
        _row_at_size(measured, SERVER, "a settings document checked", "tenants_check_ms", tenants, "ms"),
        _row_at_size(measured, SERVER, "two documents compared (plan)", "tenants_plan_ms", tenants, "ms"),
        _row_at_size(measured, SERVER, "decisions on one request, by tenants", "tenants_decision_us", tenants, "us"),
        _row_at_size(
            measured, SERVER, "decisions on one request, by grades", "grades_decision_us", MAX_NAMES["grades"], "us"
        ),
        _row_at_size(
            measured, SERVER, "a decision on one event, by held items", "held_decision_us", MAX_HELD_ITEMS, "us"
        ),
        _row_at_size(
            measured,
            SERVER,
            "decisions' part of a core, by requests a second",
            "rate_decision_share",
            PLAN.requests_per_server_zone_down_s,
            "of a core",
            method="with one zone of six gone",
        ),
    ]


def _control_bytes_rows(measured: Measured) -> list[Row]:
    figures = measured.figures
    tenants = PLAN.tenants
    return [
        Row(
            SERVER,
            "bytes of control a second",
            figures.get("control_bytes_s"),
            "bytes/s",
            PLAN.control_bytes_s,
            method="reports, changes of one tenant each, and a roll-out's looks, as measured",
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


def _server_process_rows(measured: Measured) -> list[Row]:
    tenants = PLAN.tenants
    return [
        _row_at_size(measured, SERVER, "start until it answers, real", "real_tenants_ready_ms", tenants, "ms"),
        _row_at_size(
            measured,
            SERVER,
            "resident memory after a start, real",
            "real_tenants_resident_kb",
            tenants,
            "MB",
            scale=1 / 1024,
        ),
        _row_at_size(
            measured,
            SERVER,
            "memory of connections at rest, no subsets",
            "connections_kb",
            PLAN.callers,
            "MB",
            scale=1 / 1024,
        ),
        _row_at_size(
            measured,
            SERVER,
            "processor time with connections at rest",
            "connections_core_share",
            PLAN.callers,
            "of a core",
        ),
    ]


def _server_bound_rows(measured: Measured) -> list[Row]:
    tenants = PLAN.tenants
    return [
        Row(
            SERVER,
            "tenants in a document",
            tenants,
            "tenants",
            MAX_NAMES["customers"],
            method="a bound of the schema",
            kind=BOUND,
        ),
        _row_at_size(
            measured,
            SERVER,
            "bytes of a settings text",
            "tenants_text_bytes",
            tenants,
            "bytes",
            MAX_DOCUMENT_BYTES,
            method="a bound of the reader",
            kind=BOUND,
        ),
        _row_at_size(
            measured,
            SERVER,
            "bytes of a whole document in one control frame",
            "tenants_text_bytes",
            tenants,
            "bytes",
            MAX_FRAME_BYTES,
            method="a bound of the control protocol",
            kind=BOUND,
        ),
    ]


def _active_rings_mb(measured: Measured) -> float | None:
    ring = measured.figures.get("active_ring_bytes")
    return None if ring is None else ring * PLAN.tenants / (1 << 20)


def _added_latency_rows(measured: Measured) -> list[Row]:
    """Return rows for the latency that a real process adds to a request, less that of an echo in the same run."""
    rows = []
    for tenants in (FEW_TENANTS, PLAN.tenants):
        for times in (1, 3):
            added = measured.figures.get(f"added_ms_p99_{tenants}_{times}x")
            echo = measured.figures.get(f"added_echo_ms_p99_{tenants}_{times}x")
            value = None if added is None or echo is None else max(0.0, added - echo)
            failed = measured.figures.get(f"requests_failed_{tenants}_{times}x")
            asked = measured.figures.get(f"requests_{tenants}_{times}x")
            method = (
                f"real, loopback: 99th percentile {_format(added)} ms, of two turns of the echo {_format(echo)} ms; "
                f"{_format(asked)} requests, {_format(failed)} without a good answer"
            )
            rows.append(
                Row(
                    SERVER,
                    f"added to a request, {tenants:,} tenants, {times}x the mean rate",
                    value,
                    "ms over the echo",
                    PLAN.added_ms_p99,
                    method=method,
                    kind=NOISY if echo is not None and echo > PLAN.added_ms_p99 else COST,
                )
            )
    return rows


def _caller_rows(measured: Measured) -> list[Row]:
    return [
        Row(CALLER, "connections of one caller, no subsets", PLAN.servers, "connections", method="by arithmetic"),
        Row(
            CALLER,
            "connections in the fleet, no subsets",
            PLAN.full_mesh_connection_count,
            "connections",
            method="servers x callers, by arithmetic",
        ),
        Row(CALLER, "state, processor time and messages of a caller", None, ""),
    ]


def _directory_rows(measured: Measured) -> list[Row]:
    size, interval = measured.figures.get("report_bytes"), measured.figures.get("report_interval_s")
    known = size is not None and interval
    return [
        Row(
            DIRECTORY,
            "reports",
            PLAN.servers / interval if known and interval else None,
            "a second",
            method=f"one each {_format(interval)} s, measured at one real server, x {PLAN.servers}",
        ),
        Row(
            DIRECTORY,
            "bytes of reports",
            PLAN.servers * size / interval if size and interval else None,
            "bytes/s",
            method=f"{_format(size)} bytes each with UDP and IPv4 headers",
        ),
        Row(DIRECTORY, "state, processor time and memory", None, ""),
    ]


def _unmeasured_rows() -> list[Row]:
    return [
        Row(RECORDS, "calls, connections and memory at the plan's size", None, ""),
        Row(CONTROL, "all of it: there is none today, servers run without", None, ""),
    ]


def _command_rows(measured: Measured) -> list[Row]:
    took = measured.at("rollout_took_s", PLAN.servers)
    return [
        _row_at_size(
            measured,
            COMMAND,
            "a change in force at the last server",
            "rollout_in_force_s",
            PLAN.servers,
            "s",
            PLAN.in_force_s,
            method=f"end of that roll-out: {measured.notes.get(f'rollout_{PLAN.servers}', '-')}",
        ),
        _row_at_size(measured, COMMAND, "a whole roll-out", "rollout_took_s", PLAN.servers, "s"),
        Row(
            COMMAND,
            "roll-outs that would have to run at once",
            None if took is None else took * PLAN.changes_per_s,
            "at once",
            1.0,
            method="time of one x changes a second; one at a time may be on probation",
        ),
    ]


def _format(value: float | None) -> str:
    if value is None:
        return "not measured"
    if value >= MIN_WITH_SEPARATORS:
        return f"{value:,.0f}"
    return f"{value:.3g}"
