"""The phases of a server and the transitions between them."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:  # types only; importing them would slow down the startup
    from nickelslip.server.requests import Request


class Phase(Enum):
    """The phases of a server."""

    WAITING = "the worker pool is not up yet"
    SERVING = "requests are read and decided on"
    DRAINING = "shutting down: requests received within the grace period are run, all others are answered without a run"
    SHUTTING_DOWN = "connections are being closed"
    FAILED = "the admission controller or a task raised an error: all requests fail, and the server ends"


TRANSITIONS = {
    Phase.WAITING: (Phase.SERVING, Phase.SHUTTING_DOWN, Phase.FAILED),
    Phase.SERVING: (Phase.DRAINING, Phase.FAILED),
    Phase.DRAINING: (Phase.SHUTTING_DOWN, Phase.FAILED),
    Phase.SHUTTING_DOWN: (Phase.FAILED,),
    Phase.FAILED: (),
}


class Lifecycle:
    """Holds the current phase, and wakes the tasks that wait for a change.

    Args:
        log: Log of the server.
        open_requests: The open requests; their count is logged with each change of phase.

    Attributes:
        phase: The current phase.
    """

    def __init__(self, log: Any, open_requests: Mapping[int, Request]) -> None:
        self.phase = Phase.WAITING
        self._log = log
        self._open_requests = open_requests
        self._changed = anyio.Event()

    def enter(self, phase: Phase) -> None:
        """Change the phase; a transition that is not allowed is ignored."""
        if phase not in TRANSITIONS[self.phase]:
            return
        self._log.info("phase_changed", phase=phase.name, meaning=phase.value, open_requests=len(self._open_requests))
        self.phase = phase
        self.notify_change()

    def notify_change(self) -> None:
        """Wake the waiting tasks, after a change of the phase or of a request's state.

        While the phase is SERVING, this does nothing: no task waits for changes of requests then.
        """
        if self.phase is Phase.SERVING:
            return
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_change(self) -> None:
        """Wait for the next notification."""
        changed = self._changed
        await changed.wait()
