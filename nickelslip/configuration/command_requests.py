"""Reads the files named on the command line, and sends commands to a running server.

A fault in a file, an error reply, or no reply in time ends the program with the exit code for it.
"""

from __future__ import annotations

import os
from functools import partial
from typing import Any

import anyio
import click

from nickelslip.configuration.command_output import ExitCode, exit_with, exit_with_faults, fault_line
from nickelslip.configuration.control_client import ServerUnreachableError, ask_once
from nickelslip.configuration.document_reader import read_part
from nickelslip.configuration.json5_reader import parse_document
from nickelslip.configuration.layers import merge
from nickelslip.configuration.loading import read_file
from nickelslip.configuration.validation import Fault, InvalidDocumentError, has_errors

REPLY_TIMEOUT_MS = 10_000.0


def read_files(files: tuple[str, ...], as_json: bool) -> dict[str, Any]:
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


def ask_server(
    path: str, command: str, as_json: bool, timeout_ms: float = REPLY_TIMEOUT_MS, **fields: Any
) -> dict[str, Any]:
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


def send_files(
    command: str, path: str, files: tuple[str, ...], whole: bool, force: bool, as_json: bool
) -> dict[str, Any]:
    """Send the files to a server with the command to stage or apply them, and return its reply."""
    return ask_server(
        path,
        command,
        as_json,
        document=read_files(files, as_json),
        whole=whole,
        force=force,
        origin=f"{os.environ.get('USER', 'operator')}: {', '.join(map(os.path.basename, files))}",
    )
