"""`nickelslip turns`: how many servers of a fleet may be restarted at once.

The operator passes in measured figures; the command contacts no server. This module maps the names of the options and
of the output to those of `rolling_restart`.
"""

from __future__ import annotations

import json
from math import inf
from typing import Any

import click

from nickelslip.startup.rolling_restart import FleetMeasurement, RestartBound, RestartPlan, plan_rolling_restart

EXIT_BAD_ARGUMENTS = 2

BOUND_WORDS = {
    RestartBound.CORES: "cores",
    RestartBound.CALLS: "calls",
    RestartBound.FLEET_SIZE: "all at once",
}


@click.command(
    help="Say how many servers of a fleet may be restarted at once, and in how many turns, from measured "
    "figures. Loads are parts of what the whole warm fleet can do."
)
@click.option("--servers", "server_count", type=int, required=True, help="In the fleet.")
@click.option(
    "--load", "load_fraction", type=float, required=True, help="At the time of the restart: 0.6 is six tenths."
)
@click.option(
    "--cold-from",
    "cold_speed_fraction",
    type=float,
    default=0.2,
    show_default=True,
    help="Part of its speed a server starts with.",
)
@click.option("--cold-ms", "warm_up_ms", type=float, default=18_000.0, show_default=True, help="Until it is warm.")
@click.option(
    "--away-ms",
    "downtime_ms",
    type=float,
    default=5_000.0,
    show_default=True,
    help="From the notice to leave until its successor serves.",
)
@click.option(
    "--calls",
    "concurrent_calls",
    type=float,
    default=0.0,
    show_default=True,
    help="Out at once, of the whole fleet, at that load.",
)
@click.option(
    "--calls-survived",
    "max_concurrent_calls",
    type=float,
    default=None,
    help="By the records service; absent: no bound.",
)
@click.option(
    "--cold-calls",
    "cold_call_multiple",
    type=float,
    default=1.0,
    show_default=True,
    help="Calls of a cold server, as a multiple of a warm one's.",
)
@click.option(
    "--spare", "spare_fraction", type=float, default=0.05, show_default=True, help="Part of the fleet to be left over."
)
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def turns(
    server_count: int,
    load_fraction: float,
    cold_speed_fraction: float,
    warm_up_ms: float,
    downtime_ms: float,
    concurrent_calls: float,
    max_concurrent_calls: float | None,
    cold_call_multiple: float,
    spare_fraction: float,
    as_json: bool,
) -> None:
    """Print the plan of a rolling restart, as text or as JSON."""
    fleet = FleetMeasurement(
        server_count,
        load_fraction,
        cold_speed_fraction,
        warm_up_ms,
        downtime_ms,
        concurrent_calls,
        inf if max_concurrent_calls is None else max_concurrent_calls,
        cold_call_multiple,
        spare_fraction,
    )
    try:
        plan = plan_rolling_restart(fleet)
    except ValueError as error:
        click.echo(f"nickelslip: turns: {error}", err=True)
        raise SystemExit(EXIT_BAD_ARGUMENTS) from None
    click.echo(json.dumps(encode_plan(plan)) if as_json else format_plan(plan, server_count))


def encode_plan(plan: RestartPlan) -> dict[str, Any]:
    """Return the plan with the keys of the `--json` output."""
    return {
        "at_once": plan.batch_size,
        "bound_by": BOUND_WORDS[plan.bound],
        "turns": plan.batch_count,
        "every_ms": plan.batch_interval_ms,
        "all_ms": plan.total_ms,
    }


def format_plan(plan: RestartPlan, server_count: int) -> str:
    """Return the plan as text."""
    return (
        f"{plan.batch_size} of {server_count} at once (bound by {BOUND_WORDS[plan.bound]}), {plan.batch_count} turns, "
        f"one every {plan.batch_interval_ms / 1000:g} s, {plan.total_ms / 1000:g} s in all"
    )
