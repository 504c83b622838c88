"""Handling of SIGTERM, SIGINT and SIGHUP."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING, Any

import anyio

from nickelslip.server.lifecycle import Lifecycle, Phase

if TYPE_CHECKING:  # needed only for type hints; importing it at run time would slow the start
    from nickelslip.server.interfaces import ProcessCommands

BLOCKED_SIGNALS = {signal.SIGTERM, signal.SIGHUP}  # blocked before the server can handle them, and again at its end


class SignalHandler:
    """Translates signals to commands to the server.

    Args:
        log: Log of the server.
        lifecycle: Lifecycle of the server; its phase tells whether an interrupt arrives during a shutdown.
        commands: Executes the commands.
    """

    def __init__(self, log: Any, lifecycle: Lifecycle, commands: ProcessCommands) -> None:
        self._log = log
        self._lifecycle = lifecycle
        self._commands = commands

    async def run(self) -> None:
        """Handle signals until cancelled.

        Signals that arrived while they were blocked are handled first. Signals are blocked again at the end, so that
        their default action does not end the process.
        """
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)
            try:
                async for signal_number in received:
                    self._handle(signal_number)
            finally:
                signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)

    def _handle(self, signal_number: int) -> None:
        """Handle one signal; an interrupt during a shutdown ends the server at once."""
        self._log.info("signal_received", signal=signal.Signals(signal_number).name)
        if signal_number == signal.SIGHUP:
            self._commands.reload_configuration()
            return
        if signal_number == signal.SIGINT and self._lifecycle.phase not in (Phase.WAITING, Phase.SERVING):
            self._commands.stop_immediately()
        self._commands.begin_shutdown()
