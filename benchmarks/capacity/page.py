"""Renders docs/CAPACITY.md from the data file: the template's text with tables of measured figures.

The text is in page.md beside this module, which makes the tables and figures. It does no I/O.
"""

from __future__ import annotations

from collections.abc import Sequence
from string import Template

from benchmarks.capacity.plan import PLAN
from benchmarks.capacity.results import Measured, Series
from benchmarks.capacity.rows import BOUND, COST, MIN_WITH_SEPARATORS, NOISY, ROLES, Row, rows_of, worst_of

NOT_MEASURED = "not measured"
HOUR_S = 3600.0
TABLE_HEAD = (
    "| what | at the plan's size | slope | run | the plan's limit | over by |",
    "| --- | --- | --- | --- | --- | --- |",
)
SERIES_TABLE_HEAD = (
    "| series | dimension | run | measured: size = value | exponent |",
    "| --- | --- | --- | --- | --- |",
)


def render_page(measured: Measured, template: str) -> str:
    """Return the complete page."""
    rows = rows_of(measured)
    return Template(template).substitute(
        _plan_placeholders(),
        run=_run_description(measured),
        roles="\n\n".join(_role_section(role, rows) for role in ROLES),
        series=_series_table(measured),
        worst=_worst_rows_text(rows),
        hollow=_in_process_errors(measured),
        **_failure_placeholders(measured),
    )


def format_figure(value: float | None) -> str:
    """Return a figure with three significant digits, or the text for a figure that was not measured."""
    if value is None:
        return NOT_MEASURED
    if abs(value) >= MIN_WITH_SEPARATORS:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _plan_placeholders() -> dict[str, str]:
    return {
        "servers": f"{PLAN.servers:,}",
        "callers": f"{PLAN.callers:,}",
        "tenants": f"{PLAN.tenants:,}",
        "routes": f"{PLAN.routes:,}",
        "changes": f"{PLAN.changes_per_day:,}",
        "in_force": format_figure(PLAN.in_force_s),
        "rate": format_figure(PLAN.requests_per_server_s),
        "zone_rate": format_figure(PLAN.requests_per_server_zone_down_s),
        "stop": format_figure(PLAN.max_pause_ms_per_change),
    }


def _run_description(measured: Measured) -> str:
    run = measured.run
    kind = "`--quick`" if run["quick"] else "a full run"
    return (
        f"{kind}, seed {run['seed']}, {format_figure(run['seconds'])} s, Python {run['python']}, {run['system']}, "
        f"{run['cores']} cores shared with other work (load {run['load'][0]:g} before, {run['load'][1]:g} after)"
    )


def _role_section(role: str, rows: Sequence[Row]) -> str:
    lines = [f"### {role}", "", *TABLE_HEAD]
    lines += [_table_line(row) for row in rows if row.role == role]
    return "\n".join(lines)


def _table_line(row: Row) -> str:
    value = NOT_MEASURED if row.value is None else f"{format_figure(row.value)} {row.unit}"
    limit = "" if row.limit is None else f"{format_figure(row.limit)} {row.unit}"
    over = f"**{format_figure(row.factor)}**" if row.is_over_limit else ""
    return f"| {row.name} | {value} | {_exponent_cell(row)} | {_method_cell(row)} | {limit} | {over} |"


def _exponent_cell(row: Row) -> str:
    if row.series is None:
        return ""
    return format_exponent(row.series)


def format_exponent(series: Series) -> str:
    """Return the exponent of a series with its standard error."""
    if series.fit is None:
        return "no fit"
    return f"{series.dimension} ^ {series.fit.exponent:.2f} ± {series.fit.standard_error:.2f}"


def _method_cell(row: Row) -> str:
    parts = []
    if row.series is not None:
        at = "" if row.size is None or row.series.measured_at(row.size) else ", extrapolated"
        parts.append(f"`{row.series.name}`, {row.series.source}{at}")
    if row.method:
        parts.append(row.method)
    return "; ".join(parts)


def _series_table(measured: Measured) -> str:
    lines = list(SERIES_TABLE_HEAD)
    for series in measured.series.values():
        points = ", ".join(f"{format_figure(point.size)} = {format_figure(point.value)}" for point in series.points)
        lines.append(
            f"| `{series.name}` ({series.unit}) | {series.dimension} | {series.source} | {points} | "
            f"{format_exponent(series)} |"
        )
    return "\n".join(lines)


def _in_process_errors(measured: Measured) -> str:
    names = {"memory by tenant": "memory", "time of a change": "change", "memory of a full history": "history"}
    return ", ".join(f"{text} {_percent(measured.figures.get(f'hollow_error_{name}'))}" for text, name in names.items())


def _percent(value: float | None) -> str:
    return NOT_MEASURED if value is None else f"{value:+.0%}"


def _worst_rows_text(rows: Sequence[Row]) -> str:
    cost, bound = worst_of(rows, COST), worst_of(rows, BOUND)
    parts = []
    if cost is not None:
        parts.append(
            f"Of what was measured, **{cost.name}** ({cost.role.lower()}) misses its limit by the largest "
            f"factor: {format_figure(cost.value)} {cost.unit} against {format_figure(cost.limit)}, "
            f"{format_figure(cost.factor)} times."
        )
        others = sorted(
            (row for row in rows if row.is_over_limit and row.kind == COST and row is not cost),
            key=lambda row: -(row.factor or 0.0),
        )
        if others:
            parts.append(
                "Behind it: " + "; ".join(f"{row.name}, {format_figure(row.factor)} times" for row in others) + "."
            )
    else:
        parts.append("No measured row misses its limit.")
    noisy = [row for row in rows if row.is_over_limit and row.kind == NOISY]
    if noisy:
        parts.append(
            "Undecided, since the echo alone is over the limit on this machine: "
            + "; ".join(f"{row.name}, {format_figure(row.factor)} times" for row in noisy)
            + "."
        )
    if bound is not None:
        parts.append(
            f"Of the bounds in today's code, {bound.name} is the furthest from the plan "
            f"({format_figure(bound.factor)} times); a bound alone is a constant, not a mechanism."
        )
    return " ".join(parts)


def _failure_placeholders(measured: Measured) -> dict[str, str]:
    figures = measured.figures
    return {
        "interval": format_figure(figures.get("report_interval_s")),
        "ready": format_figure(_seconds(measured.at("real_tenants_ready_ms", PLAN.tenants))),
        "last_in_force": format_figure(measured.at("rollout_in_force_s", PLAN.servers)),
        "hour_changes": format_figure(PLAN.changes_per_s * HOUR_S),
        "course": measured.notes.get(f"rollout_{PLAN.servers}", NOT_MEASURED),
    }


def _seconds(value_ms: float | None) -> float | None:
    return None if value_ms is None else value_ms / 1000
