"""Serving: from a configuration's files to the end of the process.

Owns logging, the putting together of one server, and the exit code. It must never hold anything of a server; that is
the node's. Log lines go out without ever waiting: what the reader of standard output does not take is counted and left
out. Hundreds of servers start in the same second on few cores, so that nothing is imported here that serving does not
need.
"""

from __future__ import annotations

import gc
import os
import select
import sys
import time
from collections.abc import Callable, MutableMapping
from functools import partial
from typing import Any

import anyio
import structlog

import nickelslip
from nickelslip.configuration.config import Config
from nickelslip.configuration.loading import load_config
from nickelslip.server.load_balancer_listener import LoadBalancerListener, bind
from nickelslip.server.server import Server
from nickelslip.settings import MalformedSettingsError

LINE_MOST = select.PIPE_BUF  # a pipe that can be written takes so much at once
FAILED, BAD_CONFIGURATION = 1, 2


class Lines:
    """Log lines to a descriptor, at once or not at all."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor, self._lost = descriptor, 0

    def msg(self, text: str) -> None:
        """Write one line."""
        if self._lost:
            text = f'{text[:-1]},"lines_lost":{self._lost}}}'
        data = text.encode("utf-8", "replace")[: LINE_MOST - 1] + b"\n"
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
        line["exception"] = str(line["exception"])[-LINE_MOST // 2 :]
    return line


def set_up_logging(descriptor: int) -> None:
    lines = Lines(descriptor)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            _shorten,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=lambda *_: lines,
        wrapper_class=structlog.BoundLogger,
        cache_logger_on_first_use=True,
    )


def say(text: str) -> None:
    """To whoever started the program."""
    print(f"nickelslip: {text}", file=sys.stderr)


def loaded(paths: tuple[str, ...]) -> Config:
    """The configuration in these files; faults are said, and end the process."""
    try:
        return load_config(paths, os.environ)
    except MalformedSettingsError as fault:
        for each in getattr(fault, "faults", None) or [fault]:
            say(str(each))
        sys.exit(BAD_CONFIGURATION)


def serve(paths: tuple[str, ...]) -> None:
    """One server, until it is told to leave."""
    config = loaded(paths)
    set_up_logging(sys.stdout.fileno())
    lasting = None
    if config.starts:
        from nickelslip.server.crash_loop_guard import CrashLoopGuard

        lasting = CrashLoopGuard(config.starts, config.seed, structlog.get_logger())
        if not lasting.wait():
            sys.exit(0)
    try:
        listener = bind(config.listen)
    except OSError as error:
        say(f"listen: {config.listen[0]}:{config.listen[1]}: {error.strerror}")
        sys.exit(FAILED)
    node = _node(config, partial(load_config, paths, os.environ))
    node.listeners.append(LoadBalancerListener(node, listener))
    if lasting is not None:
        node.background_tasks.append(lasting.run)
    gc.freeze()  # what the start made stays, and is never looked through: a look would cost a tenth of the start
    gc.enable()
    node.log.info("serving", version=nickelslip.__version__, name=config.name, listen=":".join(map(str, config.listen)))
    in_order = anyio.run(node.run, backend_options={"use_uvloop": True})
    if in_order and lasting is not None:
        lasting.well()
    sys.exit(0 if in_order else FAILED)


def _node(config: Config, read: Callable[[], Config]) -> Server:
    """The node, and where the configuration has changes taken while it serves, what takes them."""
    if not config.changes.accepts_changes:
        return Server(config, read)
    from importlib.util import find_spec

    if find_spec("xxhash") is None:  # an extra, which the platform does without
        say("changes: pip install nickelslip[settings] is needed")
        sys.exit(BAD_CONFIGURATION)
    from nickelslip.configuration.store import Store
    from nickelslip.server.configuration_manager import ConfigurationManager, begin
    from nickelslip.server.control_socket import ControlSocket

    rules = config.changes
    try:
        store = Store(rules.history, rules.history_kb) if rules.history else None
        config, file, start, records = begin(config, store, time.time() * 1000, structlog.get_logger())
    except OSError as error:
        say(f"changes.history: {rules.history}: {error.strerror}")
        sys.exit(FAILED)
    node = Server(config, read)
    changing = ConfigurationManager(node, file, start, records, read, store)
    node.background_tasks.append(changing.run)
    if rules.socket:
        node.background_tasks.append(ControlSocket(node, rules.socket, rules.socket_mode, changing.command).run)
    return node
