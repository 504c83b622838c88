"""`nickelslip config stage`, `apply`, `confirm`, `rollback`, `drop`, `status` and `history`: changes of one server."""

from __future__ import annotations

import time
from typing import Any

import click

from nickelslip.configuration.change_reference import ChangeReference, decode_references
from nickelslip.configuration.command_options import (
    FILES_ARGUMENT,
    FORCE_OPTION,
    JSON_OPTION,
    SOCKET_OPTION,
    WHOLE_OPTION,
)
from nickelslip.configuration.command_output import ExitCode, exit_with, print_result
from nickelslip.configuration.command_requests import ask_server, send_files

MS_PER_S = 1000
POLL_INTERVAL_S = 0.5
DIGEST_LENGTH = 12  # number of leading characters of a digest that the history shows


def _with_spaces(word: str) -> str:
    """Return an identifier of the control protocol with spaces instead of underscores."""
    return word.replace("_", " ")


@click.command(help="Check files at a server, and stage them there.")
@SOCKET_OPTION
@FILES_ARGUMENT
@WHOLE_OPTION
@FORCE_OPTION
@JSON_OPTION
def stage(path: str, files: tuple[str, ...], whole: bool, force: bool, as_json: bool) -> None:
    """Stage a change."""
    reply = send_files("stage", path, files, whole, force, as_json)
    lines = [f"change {reply['change']['number']} is staged"]
    lines += [f"warning: {warning['path']}: {warning['text']}" for warning in reply["warnings"]]
    print_result(reply, as_json, lines)


@click.command(help="Apply what is staged, or with files stage and apply these.")
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
    reply = send_files("apply", path, files, whole, force, as_json) if files else ask_server(path, "apply", as_json)
    change = reply["change"]
    if not wait:
        line = f"change {change['number']} is in force, {_with_spaces(change['step'])}"
        print_result(reply, as_json, [line])
        return
    _wait_for_confirmation(path, change, wait_ms, as_json)


def _wait_for_confirmation(path: str, change: dict[str, Any], timeout_ms: float, as_json: bool) -> None:
    """Poll the status until the change is confirmed for good. A rollback or the timeout ends the program.

    The change is known by its reference: the digest of what is in force also changes when peers move.
    """
    reference = ChangeReference(change["generation"], change["applied_ms"], change["origin"])
    deadline_s = time.monotonic() + timeout_ms / MS_PER_S
    while time.monotonic() < deadline_s:
        status = ask_server(path, "status", as_json)
        if reference not in decode_references(status["changes"]):
            reason = (status.get("verdict") or {}).get("reason", "undone")
            value = {**status, "ok": False, "code": "undone"}
            exit_with(ExitCode.ROLLED_BACK, value, as_json, [f"undone: {reason}"])
        if status["step"] == "confirmed" and not status["history_behind"]:
            suffix = "" if status["history_kept"] else ", until the next restart: no history is kept"
            print_result(status, as_json, [f"change {change['number']} is confirmed{suffix}"])
            return
        time.sleep(POLL_INTERVAL_S)
    lines = ["not known to be confirmed: still on probation, or not in the history yet"]
    exit_with(ExitCode.UNREACHABLE, {"ok": False, "code": "late"}, as_json, lines)


@click.command(help="End the probation: what is in force stays.")
@SOCKET_OPTION
@JSON_OPTION
def confirm(path: str, as_json: bool) -> None:
    """Confirm the change in its canary period."""
    reply = ask_server(path, "confirm", as_json)
    print_result(reply, as_json, ["confirmed"])


@click.command(help="Undo what is on probation; where nothing is, go back to an earlier generation.")
@SOCKET_OPTION
@click.option("--generation", type=int, help="The confirmed generation to go back to; else the one before.")
@JSON_OPTION
def rollback(path: str, generation: int | None, as_json: bool) -> None:
    """Roll back a change."""
    reply = ask_server(path, "rollback", as_json, generation=generation)
    change = reply["change"]
    print_result(reply, as_json, [f"change {change['number']}: {_with_spaces(change['step'])}"])


@click.command(help="Take the staged change out.")
@SOCKET_OPTION
@JSON_OPTION
def drop(path: str, as_json: bool) -> None:
    """Discard the staged change."""
    print_result(ask_server(path, "drop", as_json), as_json, ["taken out"])


@click.command(help="Say what is in force, on probation and staged.")
@SOCKET_OPTION
@JSON_OPTION
def status(path: str, as_json: bool) -> None:
    """Print the status of a server."""
    reply = ask_server(path, "status", as_json)
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


@click.command(help="List the latest steps of generations.")
@SOCKET_OPTION
@JSON_OPTION
def history(path: str, as_json: bool) -> None:
    """Print the history, the oldest record first."""
    reply = ask_server(path, "history", as_json)
    print_result(reply, as_json, [_record_line(record) for record in reply["records"]])


def _record_line(record: dict[str, Any]) -> str:
    recorded_at = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(record["since_ms"] / 1000))
    line = (
        f"{recorded_at}  {record['generation']:>4}  {record['event']:<12} {record['digest'][:DIGEST_LENGTH]}  "
        f"{record['origin']}"
    )
    return f"{line}: {record['reason']}" if record["reason"] else line
