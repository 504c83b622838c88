"""docs/CAPACITY.md out of the data file: the template's prose with tables whose every figure was measured.

The prose is in page.md beside this module; this module makes the tables and figures. It does no I/O.
"""

from __future__ import annotations

from collections.abc import Sequence
from string import Template

from benchmarks.capacity.plan import PLAN
from benchmarks.capacity.results import Measured, Series
from benchmarks.capacity.rows import BOUND, COST, MIN_WITH_SEPARATORS, NOISY, ROLES, Row, rows_of, worst_of

NOT_MEASURED = "not measured"
HOUR_S = 3600.0
HEAD = (
    "| what | at the plan's size | slope | run | the plan's limit | over by |",
    "| --- | --- | --- | --- | --- | --- |",
)
SERIES_HEAD = ("| series | dimension | run | measured: size = value | exponent |", "| --- | --- | --- | --- | --- |")


def page(measured: Measured, template: str) -> str:
    """The whole page."""
    rows = rows_of(measured)
    return Template(template).substitute(
        _plan_words(),
        run=_run(measured),
        roles="\n\n".join(_role(role, rows) for role in ROLES),
        series=_series_table(measured),
        worst=_worst(rows),
        hollow=_hollow(measured),
        **_failure_words(measured),
    )


def number(value: float | None) -> str:
    """A figure with three digits that count, or that it was not measured."""
    if value is None:
        return NOT_MEASURED
    if abs(value) >= MIN_WITH_SEPARATORS:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _plan_words() -> dict[str, str]:
    return {
        "servers": f"{PLAN.servers:,}",
        "callers": f"{PLAN.callers:,}",
        "tenants": f"{PLAN.tenants:,}",
        "routes": f"{PLAN.routes:,}",
        "changes": f"{PLAN.changes_per_day:,}",
        "in_force": number(PLAN.in_force_s),
        "rate": number(PLAN.requests_per_server_s),
        "zone_rate": number(PLAN.requests_without_a_zone_s),
        "stop": number(PLAN.stop_ms_per_change),
    }


def _run(measured: Measured) -> str:
    run = measured.run
    kind = "`--quick`" if run["quick"] else "a full run"
    return (
        f"{kind}, seed {run['seed']}, {number(run['seconds'])} s, Python {run['python']}, {run['system']}, "
        f"{run['cores']} cores shared with other work (load {run['load'][0]:g} before, {run['load'][1]:g} after)"
    )


def _role(role: str, rows: Sequence[Row]) -> str:
    lines = [f"### {role}", "", *HEAD]
    lines += [_line(row) for row in rows if row.role == role]
    return "\n".join(lines)


def _line(row: Row) -> str:
    value = NOT_MEASURED if row.value is None else f"{number(row.value)} {row.unit}"
    limit = "" if row.limit is None else f"{number(row.limit)} {row.unit}"
    over = f"**{number(row.factor)}**" if row.over else ""
    return f"| {row.name} | {value} | {_slope(row)} | {_how(row)} | {limit} | {over} |"


def _slope(row: Row) -> str:
    if row.series is None:
        return ""
    return exponent(row.series)


def exponent(series: Series) -> str:
    """The exponent of a series with its standard error."""
    if series.fit is None:
        return "no fit"
    return f"{series.dimension} ^ {series.fit.exponent:.2f} ± {series.fit.error:.2f}"


def _how(row: Row) -> str:
    words = []
    if row.series is not None:
        at = "" if row.size is None or row.series.measured_at(row.size) else ", extrapolated"
        words.append(f"`{row.series.name}`, {row.series.source}{at}")
    if row.how:
        words.append(row.how)
    return "; ".join(words)


def _series_table(measured: Measured) -> str:
    lines = list(SERIES_HEAD)
    for series in measured.series.values():
        points = ", ".join(f"{number(point.size)} = {number(point.value)}" for point in series.points)
        lines.append(
            f"| `{series.name}` ({series.unit}) | {series.dimension} | {series.source} | {points} | "
            f"{exponent(series)} |"
        )
    return "\n".join(lines)


def _hollow(measured: Measured) -> str:
    names = {"memory by tenant": "memory", "time of a change": "change", "memory of a full history": "history"}
    return ", ".join(
        f"{words} {_percent(measured.figures.get(f'hollow_error_{name}'))}" for words, name in names.items()
    )


def _percent(value: float | None) -> str:
    return NOT_MEASURED if value is None else f"{value:+.0%}"


def _worst(rows: Sequence[Row]) -> str:
    cost, bound = worst_of(rows, COST), worst_of(rows, BOUND)
    parts = []
    if cost is not None:
        parts.append(
            f"Of what was measured, **{cost.name}** ({cost.role.lower()}) misses its limit by the largest "
            f"factor: {number(cost.value)} {cost.unit} against {number(cost.limit)}, "
            f"{number(cost.factor)} times."
        )
        others = sorted(
            (row for row in rows if row.over and row.kind == COST and row is not cost),
            key=lambda row: -(row.factor or 0.0),
        )
        if others:
            parts.append("Behind it: " + "; ".join(f"{row.name}, {number(row.factor)} times" for row in others) + ".")
    else:
        parts.append("No measured row misses its limit.")
    noisy = [row for row in rows if row.over and row.kind == NOISY]
    if noisy:
        parts.append(
            "Undecided, since the echo alone is over the limit on this machine: "
            + "; ".join(f"{row.name}, {number(row.factor)} times" for row in noisy)
            + "."
        )
    if bound is not None:
        parts.append(
            f"Of the bounds in today's code, {bound.name} is the furthest from the plan "
            f"({number(bound.factor)} times); a bound alone is a constant, not a mechanism."
        )
    return " ".join(parts)


def _failure_words(measured: Measured) -> dict[str, str]:
    figures = measured.figures
    return {
        "interval": number(figures.get("report_interval_s")),
        "ready": number(_seconds(measured.at("real_tenants_ready_ms", PLAN.tenants))),
        "last_in_force": number(measured.at("rollout_in_force_s", PLAN.servers)),
        "hour_changes": number(PLAN.changes_per_s * HOUR_S),
        "course": measured.notes.get(f"rollout_{PLAN.servers}", NOT_MEASURED),
    }


def _seconds(value_ms: float | None) -> float | None:
    return None if value_ms is None else value_ms / 1000
