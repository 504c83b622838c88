"""The phases of a server, and which may follow which."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:  # types only; importing them would lengthen the start
    from nickelslip.server.requests import Request


class Phase(Enum):
    """The phases of a server."""

    WAITING = "the worker pool is not up yet"
    SERVING = "requests are read and decided"
    DRAINING = "shutting down: requests received in time are run, the rest is answered"
    SHUTTING_DOWN = "connections are being closed"
    FAILED = "the admission controller or a task raised: all requests are answered with a failure, and the server ends"


TRANSITIONS = {
    Phase.WAITING: (Phase.SERVING, Phase.SHUTTING_DOWN, Phase.FAILED),
    Phase.SERVING: (Phase.DRAINING, Phase.FAILED),
    Phase.DRAINING: (Phase.SHUTTING_DOWN, Phase.FAILED),
    Phase.SHUTTING_DOWN: (Phase.FAILED,),
    Phase.FAILED: (),
}


class Lifecycle:
    """The current phase, and the notification of those who wait for a change.

    Args:
        log: Log of the server.
        open_requests: The open requests, whose number is logged with a change of phase.

    Attributes:
        phase: The current phase.
    """

    def __init__(self, log: Any, open_requests: Mapping[int, Request]) -> None:
        self.phase = Phase.WAITING
        self._log = log
        self._open_requests = open_requests
        self._changed = anyio.Event()

    def enter(self, phase: Phase) -> None:
        """Change the phase; a phase that may not follow the current one is ignored."""
        if phase not in TRANSITIONS[self.phase]:
            return
        self._log.info("phase_changed", phase=phase.name, meaning=phase.value, open_requests=len(self._open_requests))
        self.phase = phase
        self.notify_change()

    def notify_change(self) -> None:
        """Wake those who wait: the phase or the state of a request has changed.

        Nobody waits for changes of requests while the server serves.
        """
        if self.phase is Phase.SERVING:
            return
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_change(self) -> None:
        """Wait for the next notification."""
        changed = self._changed
        await changed.wait()
