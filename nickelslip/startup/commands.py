"""`nickelslip turns`: how many servers of a fleet may be restarted at once.

Owns the arguments and the words of the answer. It must never reach for a fleet: the figures are the operator's, as
measured.
"""

from __future__ import annotations

import json
from dataclasses import asdict
from math import inf

import click

from nickelslip.startup.rolling_restart import Measured
from nickelslip.startup.rolling_restart import turns as reckoned

FAULT = 2


@click.command(
    help="Say how many servers of a fleet may be restarted at once, and in how many turns, from measured "
    "figures. Loads are parts of what the whole warm fleet can do."
)
@click.option("--servers", type=int, required=True, help="In the fleet.")
@click.option("--load", type=float, required=True, help="At the time of the restart: 0.6 is six tenths.")
@click.option("--cold-from", type=float, default=0.2, show_default=True, help="Part of its speed a server starts with.")
@click.option("--cold-ms", type=float, default=18_000.0, show_default=True, help="Until it is warm.")
@click.option(
    "--away-ms",
    type=float,
    default=5_000.0,
    show_default=True,
    help="From the notice to leave until its successor serves.",
)
@click.option(
    "--calls", type=float, default=0.0, show_default=True, help="Out at once, of the whole fleet, at that load."
)
@click.option("--calls-survived", type=float, default=None, help="By the records service; absent: no bound.")
@click.option(
    "--cold-calls",
    type=float,
    default=1.0,
    show_default=True,
    help="Calls of a cold server, as a multiple of a warm one's.",
)
@click.option("--spare", type=float, default=0.05, show_default=True, help="Part of the fleet to be left over.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def turns(
    servers: int,
    load: float,
    cold_from: float,
    cold_ms: float,
    away_ms: float,
    calls: float,
    calls_survived: float | None,
    cold_calls: float,
    spare: float,
    as_json: bool,
) -> None:
    """The answer in words, or as JSON."""
    try:
        plan = reckoned(
            Measured(
                servers,
                load,
                cold_from,
                cold_ms,
                away_ms,
                calls,
                inf if calls_survived is None else calls_survived,
                cold_calls,
                spare,
            )
        )
    except ValueError as fault:
        click.echo(f"nickelslip: turns: {fault}", err=True)
        raise SystemExit(FAULT) from None
    if as_json:
        click.echo(json.dumps(asdict(plan)))
        return
    click.echo(
        f"{plan.at_once} of {servers} at once (bound by {plan.bound_by}), {plan.turns} turns, "
        f"one every {plan.every_ms / 1000:g} s, {plan.all_ms / 1000:g} s in all"
    )
