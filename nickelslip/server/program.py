"""Runs a server process, from reading its configuration files to its exit code.

Hundreds of servers may start in the same second on few cores, so this module imports only what serving needs.
"""

from __future__ import annotations

import gc
import os
import socket
import sys
import time
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, NoReturn

import anyio
import structlog

import nickelslip
from nickelslip.configuration.config import Config
from nickelslip.configuration.loading import load_config
from nickelslip.json_fields import MalformedSettingsError
from nickelslip.server.listening_socket import bind
from nickelslip.server.load_balancer_listener import LoadBalancerListener
from nickelslip.server.log_output import configure_logging
from nickelslip.server.server import Server

if TYPE_CHECKING:  # at run time imported only if the configuration needs them
    from nickelslip.configuration.store import HistoryStore
    from nickelslip.server.crash_loop_guard import CrashLoopGuard

EXIT_SUCCESS = 0
EXIT_FAILED = 1
EXIT_BAD_CONFIGURATION = 2


def load_or_exit(paths: tuple[str, ...]) -> Config:
    """Return the configuration in these files; if it is not valid, print its errors and exit."""
    try:
        return load_config(paths, os.environ)
    except MalformedSettingsError as error:
        for fault in getattr(error, "faults", None) or [error]:
            _print_error(str(fault))
        sys.exit(EXIT_BAD_CONFIGURATION)


def serve(paths: tuple[str, ...]) -> NoReturn:
    """Run a server with the configuration in these files, and exit the process."""
    config = load_or_exit(paths)
    configure_logging(sys.stdout.fileno())
    crash_loop_guard = _wait_after_early_exits(config)
    listening_socket = _bind_or_exit(config)
    server = _create_server(config, partial(load_config, paths, os.environ))
    server.listeners.append(LoadBalancerListener(server, listening_socket))
    if crash_loop_guard is not None:
        server.background_tasks.append(crash_loop_guard.run)
    _enable_garbage_collection()
    listen = ":".join(map(str, config.listen))
    server.log.info("serving", version=nickelslip.__version__, name=config.name, listen=listen)
    shut_down_cleanly = anyio.run(server.run, backend_options={"use_uvloop": True})
    if shut_down_cleanly and crash_loop_guard is not None:
        crash_loop_guard.mark_stable()
    sys.exit(EXIT_SUCCESS if shut_down_cleanly else EXIT_FAILED)


def _wait_after_early_exits(config: Config) -> CrashLoopGuard | None:
    """Wait if earlier starts exited early; exit if the wait is interrupted.

    Returns:
        The guard that records starts; None if the configuration does not ask for that.
    """
    if not config.starts:
        return None
    from nickelslip.server.crash_loop_guard import CrashLoopGuard

    guard = CrashLoopGuard(config.starts, config.seed, structlog.get_logger())
    if not guard.wait():
        sys.exit(EXIT_SUCCESS)
    return guard


def _bind_or_exit(config: Config) -> socket.socket:
    """Return the listening socket; if the address cannot be bound, print the error and exit."""
    try:
        return bind(config.listen)
    except OSError as error:
        _print_error(f"listen: {config.listen[0]}:{config.listen[1]}: {error.strerror}")
        sys.exit(EXIT_FAILED)


def _create_server(config: Config, read_config: Callable[[], Config]) -> Server:
    """Return the server, with a configuration manager if its configuration may change while it runs."""
    if not config.changes.accepts_changes:
        return Server(config, read_config)
    return _create_managed_server(config, read_config)


def _create_managed_server(config: Config, read_config: Callable[[], Config]) -> Server:
    """Return a server with a configuration manager; if that fails, print the error and exit."""
    _require_settings_extra()
    from nickelslip.server.configuration_manager import ConfigurationManager
    from nickelslip.server.control_socket import ControlSocket
    from nickelslip.server.starting_configuration import select_starting_configuration

    rules = config.changes
    try:
        store = _open_history(config)
        config, file_document, start, records = select_starting_configuration(
            config, store, time.time() * 1000, structlog.get_logger()
        )
    except OSError as error:
        _print_error(f"changes.history: {rules.history}: {error.strerror}")
        sys.exit(EXIT_FAILED)
    server = Server(config, read_config)
    manager = ConfigurationManager(server, file_document, start, records, read_config, store)
    server.background_tasks.append(manager.run)
    if rules.socket:
        control_socket = ControlSocket(server, rules.socket, rules.socket_mode, manager.command)
        server.background_tasks.append(control_socket.run)
    return server


def _require_settings_extra() -> None:
    """Print an error and exit if the packages of the `settings` extra are not installed."""
    from importlib.util import find_spec

    if find_spec("xxhash") is not None:
        return
    _print_error("changes: pip install nickelslip[settings] is needed")
    sys.exit(EXIT_BAD_CONFIGURATION)


def _open_history(config: Config) -> HistoryStore | None:
    """Return the history of configurations, or None if the configuration does not ask for one.

    Raises:
        OSError: The history cannot be opened.
    """
    from nickelslip.configuration.store import HistoryStore

    rules = config.changes
    return HistoryStore(rules.history, rules.history_kb) if rules.history else None


def _enable_garbage_collection() -> None:
    """Enable garbage collection, but exclude all existing objects.

    Scanning them would take a tenth of the startup time.
    """
    gc.freeze()
    gc.enable()


def _print_error(text: str) -> None:
    """Print an error to standard error."""
    print(f"nickelslip: {text}", file=sys.stderr)
