"""Printed results and exit codes of `nickelslip config`.

Scripts read this output. The JSON keys, the exit codes and the texts must not change.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from enum import IntEnum
from typing import Any, NoReturn

import click
import orjson

from nickelslip.configuration.validation import Fault


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    DONE = 0
    FAILED = 1
    FAULTY = 2
    REJECTED = 3
    ROLLED_BACK = 4
    UNREACHABLE = 5


EXIT_CODES_HELP = (
    "Exit codes: 0 done; 1 failed; 2 a fault in the arguments or a document; 3 denied by the server; "
    "4 the change was undone; 5 no answer in time."
)


def _encode_json(value: dict[str, Any]) -> str:
    return orjson.dumps(value, default=list).decode()


def print_result(value: dict[str, Any], as_json: bool, lines: Sequence[str]) -> None:
    """Print a result as one JSON object or as lines of text."""
    if as_json:
        click.echo(_encode_json(value))
        return
    for line in lines:
        click.echo(line)


def exit_with(code: ExitCode, value: dict[str, Any], as_json: bool, lines: Sequence[str]) -> NoReturn:
    """Print a result and end the program with an exit code.

    Args:
        code: The exit code.
        value: The JSON object printed to standard output with --json.
        as_json: Whether --json was given.
        lines: The lines printed to standard error without --json.
    """
    if as_json:
        click.echo(_encode_json(value))
    else:
        for line in lines:
            click.echo(f"nickelslip: {line}", err=True)
    sys.exit(code.value)


def fault_line(fault: Fault) -> str:
    """Return a fault and its severity as one line of text."""
    return f"{fault.severity.value}: {fault}"


def exit_with_faults(faults: Sequence[Fault], omitted_count: int, as_json: bool) -> NoReturn:
    """Print the faults of a document and end the program with ``ExitCode.FAULTY``.

    Args:
        faults: The faults to print.
        omitted_count: Number of further faults that are not printed.
        as_json: Whether --json was given.
    """
    lines = [fault_line(fault) for fault in faults]
    if omitted_count:
        lines.append(f"and {omitted_count} more")
    value = {
        "ok": False,
        "code": "faulty",
        "faults": [fault.as_dict() for fault in faults],
        "left_out": omitted_count,
    }
    exit_with(ExitCode.FAULTY, value, as_json, lines)
