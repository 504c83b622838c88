"""The command line: serve, check, version.

Owns the process: arguments, logging and exit codes. It must never hold anything of a server; that is the node's. Log
lines go out without ever waiting: what the reader of standard output does not take is counted and left out.
"""

from __future__ import annotations

import gc
import os
import select
import signal
import sys
from collections.abc import MutableMapping
from functools import partial
from importlib.metadata import PackageNotFoundError
from importlib.metadata import version as installed
from typing import Any

import anyio
import click
import structlog

import nickelslip
from nickelslip.server.balancers import Balancers, bind
from nickelslip.server.config import Config, load
from nickelslip.server.node import Node
from nickelslip.settings import Malformed

LINE_MOST = select.PIPE_BUF  # a pipe that can be written takes so much at once
BAD_CONFIGURATION = 2


class Lines:
    """Log lines to a descriptor, at once or not at all."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor, self._lost = descriptor, 0

    def msg(self, text: str) -> None:
        """Write one line."""
        if self._lost:
            text = f'{text[:-1]},"lines_lost":{self._lost}}}'
        data = text.encode("utf-8", "replace")[:LINE_MOST - 1] + b"\n"
        try:
            if select.select([], [self._descriptor], [], 0)[1]:
                os.write(self._descriptor, data)
                self._lost = 0
                return
        except (OSError, ValueError):
            pass
        self._lost += 1

    debug = info = warning = error = critical = exception = msg


def _shorten(_logger: Any, _name: str, line: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Keep the end of a traceback, which names the cause, within what one line holds."""
    if "exception" in line:
        line["exception"] = str(line["exception"])[-LINE_MOST // 2:]
    return line


def set_up_logging(descriptor: int) -> None:
    lines = Lines(descriptor)
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso"),
                    structlog.processors.format_exc_info, _shorten, structlog.processors.JSONRenderer()],
        logger_factory=lambda *_: lines, wrapper_class=structlog.BoundLogger, cache_logger_on_first_use=True)


def _version() -> str:
    try:
        return installed("nickelslip")
    except PackageNotFoundError:
        return nickelslip.__version__


def _load(path: str) -> Config:
    try:
        return load(path, os.environ)
    except Malformed as fault:
        click.echo(f"nickelslip: {fault}", err=True)
        sys.exit(BAD_CONFIGURATION)


CONFIG = click.option("--config", "path", envvar="ROUTER_CONFIG", required=True, metavar="FILE",
                      help="The server's configuration, as JSON. ROUTER_CONFIG names it, too.")


@click.group(help="Admission and scheduling for the servers behind other people's balancers.",
             epilog="Exit codes: 0 done, 1 failed while serving, 2 a fault in the arguments or the configuration.")
def main() -> None:
    """The program."""


@main.command(help="Serve until told to leave by SIGTERM or an interrupt.")
@CONFIG
def serve(path: str) -> None:
    """One server."""
    config = _load(path)
    set_up_logging(sys.stdout.fileno())
    try:
        listener = bind(config.listen)
    except OSError as error:
        click.echo(f"nickelslip: listen: {config.listen[0]}:{config.listen[1]}: {error.strerror}", err=True)
        sys.exit(1)
    node = Node(config, partial(load, path, os.environ))
    node.fronts.append(Balancers(node, listener))
    gc.collect()
    gc.freeze()  # what the start made stays, and is not looked through again
    node.log.info("serving", version=_version(), name=config.name, listen=":".join(map(str, config.listen)))
    sys.exit(0 if anyio.run(node.run, backend_options={"use_uvloop": True}) else 1)


@main.command(help="Check a configuration, and say what it is.")
@CONFIG
def check(path: str) -> None:
    """A configuration without a server."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGTERM})
    config = _load(path)
    settings = config.settings
    click.echo(f"{config.name}: {len(settings.grades)} service grades, {len(settings.customers)} customers, "
               f"{settings.cores} cores, {settings.memory_kb:g} kB; in order")


@main.command(help="Print the version.")
def version() -> None:
    """The version."""
    click.echo(_version())
