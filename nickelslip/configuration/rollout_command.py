"""`nickelslip config rollout`: a change of several servers."""

from __future__ import annotations

import os
from collections.abc import Callable
from functools import partial

import anyio
import click

from nickelslip.configuration.command_options import JSON_OPTION
from nickelslip.configuration.command_output import ExitCode, exit_with, print_result
from nickelslip.configuration.command_requests import read_files
from nickelslip.configuration.rollout import Rollout
from nickelslip.configuration.rollout_runner import (
    ROLLOUT_STATUS_TEXTS,
    ROLLOUT_STATUS_WORDS,
    TARGET_STATE_WORDS,
    run_rollout,
)
from nickelslip.configuration.rollout_states import RolloutPolicy, RolloutStatus, TargetState

MAX_REPLY_TIMEOUT_MS = 5000.0  # for each reply


@click.command(
    help="Apply files on several servers: a canary, then waves; all is undone at the first that undoes. "
    "Each NODE is the path of a control socket."
)
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.argument("nodes", nargs=-1, required=True)
@click.option(
    "--wave",
    "waves",
    multiple=True,
    type=click.FloatRange(0, 1),
    help="Part of all nodes that have been "
    "asked when this wave ends; may be given again. [default: one node, 0.1, 0.5, 1]",
)
@click.option(
    "--lost-most",
    "max_unreachable_count",
    default=0,
    show_default=True,
    help="Nodes that may be lost before all is undone.",
)
@click.option(
    "--silent-ms",
    "unreachable_after_ms",
    default=15_000.0,
    show_default=True,
    help="After which a silent node is lost.",
)
@click.option("--watch-ms", "max_canary_period_ms", default=180_000.0, show_default=True, help="The longest probation.")
@JSON_OPTION
def rollout(
    file: str,
    nodes: tuple[str, ...],
    waves: tuple[float, ...],
    max_unreachable_count: int,
    unreachable_after_ms: float,
    max_canary_period_ms: float,
    as_json: bool,
) -> None:
    """Apply a change on several servers in waves."""
    policy = RolloutPolicy(
        wave_fractions=waves or RolloutPolicy.wave_fractions,
        max_unreachable_count=max_unreachable_count,
        unreachable_after_ms=unreachable_after_ms,
        canary_timeout_ms=max_canary_period_ms,
        reply_timeout_ms=min(MAX_REPLY_TIMEOUT_MS, unreachable_after_ms),
    )
    try:
        state_machine = Rollout(nodes, policy, 0.0)
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    part = read_files((file,), as_json)
    report: Callable[[str], None] = (lambda line: None) if as_json else click.echo
    anyio.run(partial(run_rollout, state_machine, policy, part, os.path.basename(file), report))
    _print_rollout_result(state_machine, as_json)


def _print_rollout_result(state_machine: Rollout, as_json: bool) -> None:
    """Print the result of a rollout. If it was not completed, end the program with an error code."""
    status = state_machine.status
    states = state_machine.target_states()
    targets = {name: {"place": TARGET_STATE_WORDS[state], "why": reason} for name, (state, reason) in states.items()}
    unknown = [name for name, (state, _) in states.items() if state is TargetState.UNREACHABLE]
    value = {
        "ok": status is RolloutStatus.COMPLETED and not unknown,
        "course": ROLLOUT_STATUS_WORDS[status],
        "why": state_machine.reason,
        "nodes": targets,
    }
    target_lines = [f"{name}: {target['place']} {target['why']}".rstrip() for name, target in targets.items()]
    if status is RolloutStatus.COMPLETED and not unknown:
        print_result(value, as_json, ["every wave is good"])
        return
    if status is RolloutStatus.COMPLETED:
        lines = ["every wave is good, but it is not known what lost nodes have in force", *target_lines]
        exit_with(ExitCode.UNREACHABLE, value, as_json, lines)
    lines = [f"{ROLLOUT_STATUS_TEXTS[status]}: {state_machine.reason}", *target_lines]
    if any(state is TargetState.CONFIRMED for state, _ in states.values()):
        lines.insert(1, "nodes that had the change before this roll-out keep it")
    exit_with(
        ExitCode.ROLLED_BACK if status is RolloutStatus.ROLLED_BACK else ExitCode.FAILED,
        value,
        as_json,
        lines,
    )
