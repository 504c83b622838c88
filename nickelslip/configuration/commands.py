"""`nickelslip config`: the commands with which operators check, apply, confirm and roll back configurations.

Scripts depend on the names of commands and options, the printed texts and the keys of ``--json``. They must not change.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from functools import partial
from typing import Any

import anyio
import anyio.to_thread
import click

from nickelslip.configuration.command_output import (
    EXIT_CODES_HELP,
    ExitCode,
    exit_with,
    exit_with_faults,
    fault_line,
    print_result,
)
from nickelslip.configuration.control_client import ServerUnreachableError, ask_once
from nickelslip.configuration.document_reader import read_part
from nickelslip.configuration.json5_reader import parse_document
from nickelslip.configuration.layers import LayeredDocument, apply_layers, merge, values_by_path
from nickelslip.configuration.loading import load_layers, read_file
from nickelslip.configuration.plan import Plan, format_value, plan_of
from nickelslip.configuration.rollout import Rollout, RolloutPolicy, RolloutStatus
from nickelslip.configuration.rollout_runner import (
    ROLLOUT_STATUS_TEXTS,
    ROLLOUT_STATUS_WORDS,
    TARGET_STATE_WORDS,
    run_rollout,
)
from nickelslip.configuration.schema import all_fields
from nickelslip.configuration.validation import Fault, InvalidDocumentError, has_errors

POLL_INTERVAL_S = 0.5
REPLY_TIMEOUT_MS = 10_000.0
MAX_REPLY_TIMEOUT_MS = 5000.0  # for each reply during a rollout
DIGEST_LENGTH = 12  # number of leading characters of a digest that the history shows
NO_DIFFERENCES = ["nothing differs"]

SOCKET_OPTION = click.option(
    "--socket",
    "path",
    envvar="NICKELSLIP_SOCKET",
    required=True,
    metavar="PATH",
    help="The server's control socket. NICKELSLIP_SOCKET names it, too.",
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
FORCE_OPTION = click.option("--force", is_flag=True, help="Take a document that was undone not long ago.")
WHOLE_OPTION = click.option(
    "--whole", is_flag=True, help="The files are the whole document; else they are laid over the one in force."
)
FILES_ARGUMENT = click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))


@click.group(help="Check, stage, apply, confirm and undo configurations.", epilog=EXIT_CODES_HELP)
def config() -> None:
    """Group the configuration commands."""


def _read_part(files: tuple[str, ...], as_json: bool) -> dict[str, Any]:
    """Return the files merged in their order, with each field checked. A fault ends the program."""
    part: dict[str, Any] = {}
    faults: list[Fault] = []
    for file in files:
        try:
            layer, layer_faults = read_part(parse_document(read_file(file), file), {})
        except InvalidDocumentError as error:
            faults += error.faults
            continue
        part = merge(part, layer)
        faults = faults + layer_faults
    if has_errors(faults):
        exit_with_faults(faults, 0, as_json)
    for warning in faults:
        click.echo(fault_line(warning), err=True)
    return part


def _ask(path: str, command: str, as_json: bool, timeout_ms: float = REPLY_TIMEOUT_MS, **fields: Any) -> dict[str, Any]:
    """Return the server's reply. An error reply, or no reply in time, ends the program."""
    try:
        reply = anyio.run(partial(ask_once, path, command, timeout_ms, **fields))
    except ServerUnreachableError as error:
        value = {"ok": False, "code": "unreachable", "text": str(error)}
        exit_with(ExitCode.UNREACHABLE, value, as_json, [str(error)])
    if reply.get("ok") is not True:
        code = ExitCode.FAULTY if reply.get("code") == "faulty" else ExitCode.REJECTED
        lines = [str(reply.get("text"))]
        lines += [f"{fault.get('path')}: {fault.get('text')}" for fault in reply.get("faults", [])]
        exit_with(code, reply, as_json, lines)
    return reply


def _with_spaces(word: str) -> str:
    """Return an identifier of the control protocol with spaces instead of underscores."""
    return word.replace("_", " ")


@config.command(help="Check files as they stand, layer over layer, without a server.")
@FILES_ARGUMENT
@click.option("--origins", is_flag=True, help="Print every value with where it comes from.")
@JSON_OPTION
def check(files: tuple[str, ...], origins: bool, as_json: bool) -> None:
    """Check files and print all of their faults."""
    try:
        layered = load_layers(files, os.environ)
    except InvalidDocumentError as error:
        exit_with_faults(error.faults, error.omitted_count, as_json)
    value = {
        "ok": True,
        "warnings": [fault.as_dict() for fault in layered.warnings],
        "document": layered.document,
        "origins": {".".join(path): origin for path, origin in layered.origins.items()},
    }
    print_result(value, as_json, _check_lines(layered, origins))


def _check_lines(layered: LayeredDocument, with_origins: bool) -> list[str]:
    lines = [fault_line(fault) for fault in layered.warnings]
    if with_origins:
        lines += [
            f"{'.'.join(path)} = {format_value(value)}  ({layered.origin_of(path)})"
            for path, value in values_by_path(layered.document).items()
        ]
    settings = layered.config.settings
    lines.append(
        f"{layered.config.name}: {len(settings.traffic_classes)} service grades, {len(settings.tenants)} customers, "
        f"{settings.core_count} cores; in order"
    )
    return lines


@config.command(help="Print every word of the schema, its kind and when a change of it acts.")
@JSON_OPTION
def words(as_json: bool) -> None:
    """Print every field of the schema."""
    rows = [
        {
            "path": path,
            "kind": field.type.value,
            "effect": field.effect.value,
            "says": field.description,
            "choices": list(field.choices),
            "default": repr(field.default),
        }
        for path, field in all_fields()
    ]
    lines = [
        f"{row['path']}: {row['kind']}; {row['says'] or '-'}; {row['effect']}; default {row['default']}" for row in rows
    ]
    print_result({"ok": True, "words": rows}, as_json, lines)


@config.command(help="Print the plan from what a server has in force, or from a first file, to these files.")
@FILES_ARGUMENT
@click.option("--socket", "path", envvar="NICKELSLIP_SOCKET", metavar="PATH", help="Against this server.")
@click.option("--from", "before", type=click.Path(exists=True, dir_okay=False), help="Against this file.")
@WHOLE_OPTION
@JSON_OPTION
def diff(files: tuple[str, ...], path: str | None, before: str | None, whole: bool, as_json: bool) -> None:
    """Print what would change, without changing it."""
    if before is not None:
        plan = _plan_between_files(before, files, whole, as_json)
        lines = [str(difference) for difference in plan.differences] or NO_DIFFERENCES
        print_result({"ok": True, "plan": plan.as_dict()}, as_json, lines)
        return
    if path is None:
        raise click.UsageError("name a server by --socket, or a file by --from")
    reply = _ask(path, "diff", as_json, document=_read_part(files, as_json), whole=whole)
    print_result(reply, as_json, reply["lines"] or NO_DIFFERENCES)


def _plan_between_files(old_file: str, files: tuple[str, ...], whole: bool, as_json: bool) -> Plan:
    try:
        old_layer = parse_document(read_file(old_file), old_file)
        old = apply_layers([old_layer], {})
        layers = [] if whole else [old_layer]
        layers += [parse_document(read_file(file), file) for file in files]
        new = apply_layers(layers, {})
    except InvalidDocumentError as error:
        exit_with_faults(error.faults, error.omitted_count, as_json)
    return plan_of(old.document, new.document)


def _send_files(
    command: str, path: str, files: tuple[str, ...], whole: bool, force: bool, as_json: bool
) -> dict[str, Any]:
    """Send the files to a server with the command to stage or apply them, and return its reply."""
    return _ask(
        path,
        command,
        as_json,
        document=_read_part(files, as_json),
        whole=whole,
        force=force,
        origin=f"{os.environ.get('USER', 'operator')}: {', '.join(map(os.path.basename, files))}",
    )


@config.command(help="Check files at a server, and stage them there.")
@SOCKET_OPTION
@FILES_ARGUMENT
@WHOLE_OPTION
@FORCE_OPTION
@JSON_OPTION
def stage(path: str, files: tuple[str, ...], whole: bool, force: bool, as_json: bool) -> None:
    """Stage a change."""
    reply = _send_files("stage", path, files, whole, force, as_json)
    lines = [f"change {reply['change']['number']} is staged"]
    lines += [f"warning: {warning['path']}: {warning['text']}" for warning in reply["warnings"]]
    print_result(reply, as_json, lines)


@config.command(help="Apply what is staged, or with files stage and apply these.")
@SOCKET_OPTION
@click.argument("files", nargs=-1, type=click.Path(exists=True, dir_okay=False))
@WHOLE_OPTION
@FORCE_OPTION
@click.option("--wait", is_flag=True, help="Wait until it is confirmed or undone.")
@click.option("--wait-ms", default=120_000.0, show_default=True, help="How long at most.")
@JSON_OPTION
def apply(
    path: str, files: tuple[str, ...], whole: bool, force: bool, wait: bool, wait_ms: float, as_json: bool
) -> None:
    """Apply a change, which starts its canary period."""
    reply = _send_files("apply", path, files, whole, force, as_json) if files else _ask(path, "apply", as_json)
    change = reply["change"]
    if not wait or change["step"] == "confirmed":
        line = f"change {change['number']} is in force, {_with_spaces(change['step'])}"
        print_result(reply, as_json, [line])
        return
    _wait_for_confirmation(path, change, wait_ms, as_json)


def _wait_for_confirmation(path: str, change: dict[str, Any], timeout_ms: float, as_json: bool) -> None:
    """Poll the status until the change is confirmed. A rollback or the timeout ends the program."""
    deadline_s = time.monotonic() + timeout_ms / 1000
    while time.monotonic() < deadline_s:
        status = _ask(path, "status", as_json)
        if status["digest"] != change["digest"]:
            reason = (status.get("verdict") or {}).get("reason", "undone")
            value = {**status, "ok": False, "code": "undone"}
            exit_with(ExitCode.ROLLED_BACK, value, as_json, [f"undone: {reason}"])
        if status["step"] == "confirmed":
            print_result(status, as_json, [f"change {change['number']} is confirmed"])
            return
        time.sleep(POLL_INTERVAL_S)
    exit_with(ExitCode.UNREACHABLE, {"ok": False, "code": "late"}, as_json, ["still on probation"])


@config.command(help="End the probation: what is in force stays.")
@SOCKET_OPTION
@JSON_OPTION
def confirm(path: str, as_json: bool) -> None:
    """Confirm the change in its canary period."""
    reply = _ask(path, "confirm", as_json)
    print_result(reply, as_json, ["confirmed"])


@config.command(help="Undo what is on probation; where nothing is, go back to an earlier generation.")
@SOCKET_OPTION
@click.option("--generation", type=int, help="The confirmed generation to go back to; else the one before.")
@JSON_OPTION
def rollback(path: str, generation: int | None, as_json: bool) -> None:
    """Roll back a change."""
    reply = _ask(path, "rollback", as_json, generation=generation)
    change = reply["change"]
    print_result(reply, as_json, [f"change {change['number']}: {_with_spaces(change['step'])}"])


@config.command(help="Take the staged change out.")
@SOCKET_OPTION
@JSON_OPTION
def drop(path: str, as_json: bool) -> None:
    """Discard the staged change."""
    print_result(_ask(path, "drop", as_json), as_json, ["taken out"])


@config.command(help="Say what is in force, on probation and staged.")
@SOCKET_OPTION
@JSON_OPTION
def status(path: str, as_json: bool) -> None:
    """Print the status of a server."""
    reply = _ask(path, "status", as_json)
    lines = [
        f"{reply['name']}: {reply['phase']}, {reply['in_hand']} in hand",
        f"generation {reply['generation']} from {reply['origin']}, {_with_spaces(reply['step'])}; "
        f"{reply['confirmed']} would be in force after a restart",
    ]
    if reply["verdict"]:
        lines.append(f"verdict: {_with_spaces(reply['verdict']['standing'])}: {reply['verdict']['reason']}")
    if reply["staged"]:
        lines.append(f"staged: change {reply['staged']['number']} from {reply['staged']['origin']}")
    if reply["history_behind"]:
        lines.append(f"the history lacks {reply['history_behind']} records: its disk cannot be written")
    print_result(reply, as_json, lines)


@config.command(help="List the latest steps of generations.")
@SOCKET_OPTION
@JSON_OPTION
def history(path: str, as_json: bool) -> None:
    """Print the history, the oldest record first."""
    reply = _ask(path, "history", as_json)
    print_result(reply, as_json, [_record_line(record) for record in reply["records"]])


def _record_line(record: dict[str, Any]) -> str:
    recorded_at = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(record["since_ms"] / 1000))
    line = (
        f"{recorded_at}  {record['generation']:>4}  {record['event']:<12} {record['digest'][:DIGEST_LENGTH]}  "
        f"{record['origin']}"
    )
    return f"{line}: {record['reason']}" if record["reason"] else line


@config.command(
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
    part = _read_part((file,), as_json)
    report: Callable[[str], None] = (lambda line: None) if as_json else click.echo
    anyio.run(partial(run_rollout, state_machine, policy, part, os.path.basename(file), report))
    _print_rollout_result(state_machine, as_json)


def _print_rollout_result(state_machine: Rollout, as_json: bool) -> None:
    """Print the result of a rollout. If it was not completed, end the program with an error code."""
    status = state_machine.status
    targets = {
        name: {"place": TARGET_STATE_WORDS[state], "why": reason}
        for name, (state, reason) in state_machine.target_states().items()
    }
    value = {
        "ok": status is RolloutStatus.COMPLETED,
        "course": ROLLOUT_STATUS_WORDS[status],
        "why": state_machine.reason,
        "nodes": targets,
    }
    if status is RolloutStatus.COMPLETED:
        print_result(value, as_json, ["every wave is good"])
        return
    lines = [f"{ROLLOUT_STATUS_TEXTS[status]}: {state_machine.reason}"]
    lines += [f"{name}: {target['place']} {target['why']}" for name, target in targets.items()]
    exit_with(
        ExitCode.ROLLED_BACK if status is RolloutStatus.ROLLED_BACK else ExitCode.FAILED,
        value,
        as_json,
        lines,
    )
