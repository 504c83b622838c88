"""`nickelslip config`: the operators' commands.

Owns arguments, what is printed and the exit codes. It decides nothing of a change: documents are checked by
document.py and again by the server that is asked, and a roll-out's course is rollout.py's.
"""

from __future__ import annotations

import os
import secrets
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import Any, NoReturn

import anyio
import anyio.to_thread
import click
import orjson

from nickelslip.configuration.control_client import ServerUnreachableError, ask_once
from nickelslip.configuration.document import part_of
from nickelslip.configuration.json5_reader import read_text
from nickelslip.configuration.layers import layered, merged, paths_of
from nickelslip.configuration.loading import load_layers, read_file
from nickelslip.configuration.plan import Plan, plan_of, shown
from nickelslip.configuration.rollout import Course, Do, Order, Place, Rollout, Terms
from nickelslip.configuration.schema import each_word
from nickelslip.configuration.validation import Fault, InvalidDocumentError, errors_of

DONE, FAILED, FAULTY, DENIED, UNDONE, UNREACHED = 0, 1, 2, 3, 4, 5
CODES = (
    "Exit codes: 0 done; 1 failed; 2 a fault in the arguments or a document; 3 denied by the server; "
    "4 the change was undone; 5 no answer in time."
)
POLL_S = 0.5
NODES_AT_ONCE = 16

SOCKET = click.option(
    "--socket",
    "path",
    envvar="NICKELSLIP_SOCKET",
    required=True,
    metavar="PATH",
    help="The server's control socket. NICKELSLIP_SOCKET names it, too.",
)
JSON = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
FORCE = click.option("--force", is_flag=True, help="Take a document that was undone not long ago.")
WHOLE = click.option(
    "--whole", is_flag=True, help="The files are the whole document; else they are laid over the one in force."
)
FILES = click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))


@click.group(help="Check, stage, apply, confirm and undo configurations.", epilog=CODES)
def config() -> None:
    """The commands."""


def _out(value: dict[str, Any], as_json: bool, lines: Sequence[str]) -> None:
    if as_json:
        click.echo(orjson.dumps(value, default=list).decode())
    else:
        for line in lines:
            click.echo(line)


def _stop(code: int, value: dict[str, Any], as_json: bool, lines: Sequence[str]) -> NoReturn:
    if as_json:
        click.echo(orjson.dumps(value, default=list).decode())
    else:
        for line in lines:
            click.echo(f"nickelslip: {line}", err=True)
    sys.exit(code)


def _faulty(faults: Sequence[Fault], left_out: int, as_json: bool) -> NoReturn:
    lines = [f"{fault.gravity.value}: {fault}" for fault in faults]
    if left_out:
        lines.append(f"and {left_out} more")
    _stop(
        FAULTY,
        {"ok": False, "code": "faulty", "faults": [each.as_dict() for each in faults], "left_out": left_out},
        as_json,
        lines,
    )


def _part(files: Sequence[str], as_json: bool) -> dict[str, Any]:
    """What the files say, one laid over the other, checked word by word."""
    part: dict[str, Any] = {}
    faults: list[Fault] = []
    for file in files:
        try:
            found, more = part_of(read_text(read_file(file), file), {})
        except InvalidDocumentError as faulty:
            faults += faulty.faults
            continue
        part, faults = merged(part, found), faults + more
    if errors_of(faults):
        _faulty(faults, 0, as_json)
    for warning in faults:
        click.echo(f"{warning.gravity.value}: {warning}", err=True)
    return part


def _ask(path: str, do: str, as_json: bool, wait_ms: float = 10_000.0, **fields: Any) -> dict[str, Any]:
    """The server's reply; one that denies, or none, ends the program."""
    try:
        reply = anyio.run(partial(ask_once, path, do, wait_ms, **fields))
    except ServerUnreachableError as fault:
        _stop(UNREACHED, {"ok": False, "code": "unreachable", "text": str(fault)}, as_json, [str(fault)])
    if reply.get("ok") is not True:
        lines = [str(reply.get("text"))] + [
            f"{each.get('path')}: {each.get('text')}" for each in reply.get("faults", [])
        ]
        _stop(FAULTY if reply.get("code") == "faulty" else DENIED, reply, as_json, lines)
    return reply


@config.command(help="Check files as they stand, layer over layer, without a server.")
@FILES
@click.option("--origins", is_flag=True, help="Print every value with where it comes from.")
@JSON
def check(files: tuple[str, ...], origins: bool, as_json: bool) -> None:
    """All faults in one go."""
    try:
        told = load_layers(files, os.environ)
    except InvalidDocumentError as faulty:
        _faulty(faulty.faults, faulty.left_out, as_json)
    lines = [f"{fault.gravity.value}: {fault}" for fault in told.warnings]
    if origins:
        lines += [
            f"{'.'.join(path)} = {shown(value)}  ({told.origin(path)})"
            for path, value in paths_of(told.document).items()
        ]
    settings = told.config.settings
    lines.append(
        f"{told.config.name}: {len(settings.traffic_classes)} service grades, {len(settings.tenants)} customers, "
        f"{settings.core_count} cores; in order"
    )
    _out(
        {
            "ok": True,
            "warnings": [each.as_dict() for each in told.warnings],
            "document": told.document,
            "origins": {".".join(path): origin for path, origin in told.origins.items()},
        },
        as_json,
        lines,
    )


@config.command(help="Print every word of the schema, its kind and when a change of it acts.")
@JSON
def words(as_json: bool) -> None:
    """The reference."""
    rows = [
        {
            "path": path,
            "kind": word.kind.value,
            "effect": word.effect.value,
            "says": word.says,
            "choices": list(word.choices),
            "default": repr(word.default),
        }
        for path, word in each_word()
    ]
    _out(
        {"ok": True, "words": rows},
        as_json,
        [
            f"{row['path']}: {row['kind']}; {row['says'] or '-'}; {row['effect']}; default {row['default']}"
            for row in rows
        ],
    )


@config.command(help="Print the plan from what a server has in force, or from a first file, to these files.")
@FILES
@click.option("--socket", "path", envvar="NICKELSLIP_SOCKET", metavar="PATH", help="Against this server.")
@click.option("--from", "before", type=click.Path(exists=True, dir_okay=False), help="Against this file.")
@WHOLE
@JSON
def diff(files: tuple[str, ...], path: str | None, before: str | None, whole: bool, as_json: bool) -> None:
    """A dry run."""
    if before is not None:
        try:
            first = read_text(read_file(before), before)
            old = layered([first], {})
            new = layered([*([] if whole else [first]), *(read_text(read_file(file), file) for file in files)], {})
        except InvalidDocumentError as faulty:
            _faulty(faulty.faults, faulty.left_out, as_json)
        plan: Plan = plan_of(old.document, new.document)
        _out({"ok": True, "plan": plan.as_dict()}, as_json, list(map(str, plan.differences)) or ["nothing differs"])
        return
    if path is None:
        raise click.UsageError("name a server by --socket, or a file by --from")
    reply = _ask(path, "diff", as_json, document=_part(files, as_json), whole=whole)
    _out(reply, as_json, reply["lines"] or ["nothing differs"])


def _push(do: str, path: str, files: tuple[str, ...], whole: bool, force: bool, as_json: bool) -> dict[str, Any]:
    return _ask(
        path,
        do,
        as_json,
        document=_part(files, as_json),
        whole=whole,
        force=force,
        origin=f"{os.environ.get('USER', 'operator')}: {', '.join(map(os.path.basename, files))}",
    )


@config.command(help="Check files at a server, and stage them there.")
@SOCKET
@FILES
@WHOLE
@FORCE
@JSON
def stage(path: str, files: tuple[str, ...], whole: bool, force: bool, as_json: bool) -> None:
    """One change waits."""
    reply = _push("stage", path, files, whole, force, as_json)
    _out(
        reply,
        as_json,
        [
            f"change {reply['change']['number']} is staged",
            *(f"warning: {each['path']}: {each['text']}" for each in reply["warnings"]),
        ],
    )


@config.command(help="Apply what is staged, or with files stage and apply these.")
@SOCKET
@click.argument("files", nargs=-1, type=click.Path(exists=True, dir_okay=False))
@WHOLE
@FORCE
@click.option("--wait", is_flag=True, help="Wait until it is confirmed or undone.")
@click.option("--wait-ms", default=120_000.0, show_default=True, help="How long at most.")
@JSON
def apply(
    path: str, files: tuple[str, ...], whole: bool, force: bool, wait: bool, wait_ms: float, as_json: bool
) -> None:
    """Puts it in force, on probation."""
    reply = _push("apply", path, files, whole, force, as_json) if files else _ask(path, "apply", as_json)
    change = reply["change"]
    if not wait or change["step"] == "confirmed":
        _out(reply, as_json, [f"change {change['number']} is in force, {change['step'].replace('_', ' ')}"])
        return
    until = time.monotonic() + wait_ms / 1000
    while time.monotonic() < until:
        status = _ask(path, "status", as_json)
        if status["digest"] != change["digest"]:
            why = (status.get("verdict") or {}).get("reason", "undone")
            _stop(UNDONE, {**status, "ok": False, "code": "undone"}, as_json, [f"undone: {why}"])
        if status["step"] == "confirmed":
            _out(status, as_json, [f"change {change['number']} is confirmed"])
            return
        time.sleep(POLL_S)
    _stop(UNREACHED, {"ok": False, "code": "late"}, as_json, ["still on probation"])


@config.command(help="End the probation: what is in force stays.")
@SOCKET
@JSON
def confirm(path: str, as_json: bool) -> None:
    """An operator's word."""
    reply = _ask(path, "confirm", as_json)
    _out(reply, as_json, ["confirmed"])


@config.command(help="Undo what is on probation; where nothing is, go back to an earlier generation.")
@SOCKET
@click.option("--generation", type=int, help="The confirmed generation to go back to; else the one before.")
@JSON
def rollback(path: str, generation: int | None, as_json: bool) -> None:
    """The way back."""
    reply = _ask(path, "rollback", as_json, generation=generation)
    _out(reply, as_json, [f"change {reply['change']['number']}: {reply['change']['step'].replace('_', ' ')}"])


@config.command(help="Take the staged change out.")
@SOCKET
@JSON
def drop(path: str, as_json: bool) -> None:
    """Nothing is staged after it."""
    _out(_ask(path, "drop", as_json), as_json, ["taken out"])


@config.command(help="Say what is in force, on probation and staged.")
@SOCKET
@JSON
def status(path: str, as_json: bool) -> None:
    """One look."""
    reply = _ask(path, "status", as_json)
    lines = [
        f"{reply['name']}: {reply['phase']}, {reply['in_hand']} in hand",
        f"generation {reply['generation']} from {reply['origin']}, {reply['step'].replace('_', ' ')}; "
        f"{reply['confirmed']} would be in force after a restart",
    ]
    if reply["verdict"]:
        lines.append(f"verdict: {reply['verdict']['standing'].replace('_', ' ')}: {reply['verdict']['reason']}")
    if reply["staged"]:
        lines.append(f"staged: change {reply['staged']['number']} from {reply['staged']['origin']}")
    if reply["history_behind"]:
        lines.append(f"the history lacks {reply['history_behind']} records: its disk cannot be written")
    _out(reply, as_json, lines)


@config.command(help="List the latest steps of generations.")
@SOCKET
@JSON
def history(path: str, as_json: bool) -> None:
    """The oldest first."""
    reply = _ask(path, "history", as_json)
    _out(
        reply,
        as_json,
        [
            f"{time.strftime('%Y-%m-%d %H:%M:%S', time.localtime(each['since_ms'] / 1000))}  {each['generation']:>4}  "
            f"{each['event']:<12} {each['digest'][:12]}  {each['origin']}"
            + (f": {each['reason']}" if each["reason"] else "")
            for each in reply["records"]
        ],
    )


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
@click.option("--lost-most", default=0, show_default=True, help="Nodes that may be lost before all is undone.")
@click.option("--silent-ms", default=15_000.0, show_default=True, help="After which a silent node is lost.")
@click.option("--watch-ms", default=180_000.0, show_default=True, help="The longest probation.")
@JSON
def rollout(
    file: str,
    nodes: tuple[str, ...],
    waves: tuple[float, ...],
    lost_most: int,
    silent_ms: float,
    watch_ms: float,
    as_json: bool,
) -> None:
    """The fleet."""
    terms = Terms(
        waves=waves or Terms.waves,
        lost_most=lost_most,
        silent_ms=silent_ms,
        watch_ms=watch_ms,
        answer_ms=min(5000.0, silent_ms),
    )
    try:
        plan = Rollout(nodes, terms, 0.0)
    except ValueError as fault:
        raise click.UsageError(str(fault)) from None
    part = _part([file], as_json)
    tell: Callable[[str], None] = (lambda line: None) if as_json else click.echo
    anyio.run(partial(roll_out, plan, terms, part, os.path.basename(file), tell))
    places = {name: {"place": place.name.lower(), "why": why} for name, (place, why) in plan.places().items()}
    value = {"ok": plan.course is Course.DONE, "course": plan.course.name.lower(), "why": plan.why, "nodes": places}
    if plan.course is Course.DONE:
        _out(value, as_json, ["every wave is good"])
    else:
        _stop(
            UNDONE if plan.course is Course.UNDONE else FAILED,
            value,
            as_json,
            [
                f"{plan.course.value}: {plan.why}",
                *(f"{name}: {each['place']} {each['why']}" for name, each in places.items()),
            ],
        )


async def roll_out(
    plan: Rollout,
    terms: Terms,
    part: dict[str, Any],
    origin: str,
    tell: Callable[[str], None],
    ask: Callable[..., Awaitable[dict[str, Any]]] = ask_once,
) -> None:
    """Carry a roll-out through to its end: every order with a bound, so many at once."""
    digests: dict[str, str] = {}
    origin = f"roll-out {secrets.token_hex(4)}: {origin}"  # by which a node knows what is to be undone
    seats = anyio.Semaphore(NODES_AT_ONCE)
    begun, shown_before = time.monotonic(), dict[str, Place]()

    def now() -> float:
        return (time.monotonic() - begun) * 1000

    async def carry_out(order: Order) -> None:
        reply: dict[str, Any] | None = None
        async with seats:
            try:
                if order.do is Do.PUSH:
                    reply = await ask(
                        order.node,
                        "apply",
                        terms.answer_ms,
                        document=part,
                        origin=origin,
                        until_ms=time.time() * 1000 + terms.answer_ms,
                    )
                    digests[order.node] = (reply.get("change") or {}).get("digest", "")
                elif order.do is Do.LOOK:
                    reply = await ask(order.node, "status", terms.answer_ms)
                else:
                    reply = await ask(order.node, "rollback", terms.answer_ms, **{"from": origin})
            except ServerUnreachableError:
                reply = None
        plan.told(now(), order.node, order.do, reply, digests.get(order.node, ""))

    async with anyio.create_task_group() as tasks:
        while not plan.over:
            for order in plan.step(now()):
                tasks.start_soon(carry_out, order)
            for name, (place, why) in plan.places().items():
                if shown_before.get(name) is not place:
                    shown_before[name] = place
                    if place is not Place.WAITING:
                        tell(f"wave {plan.wave + 1}: {name}: {place.name.lower().replace('_', ' ')} {why}".rstrip())
            await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
