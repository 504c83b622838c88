"""Watches the change in its canary period, and confirms it or rolls it back."""

from __future__ import annotations

import anyio

from nickelslip.configuration.canary_verdict import CanaryStatus, CanaryVerdict
from nickelslip.configuration.change_lifecycle import ChangeState
from nickelslip.configuration.change_manager import ChangeManager
from nickelslip.configuration.request_metrics import BUCKET_MS
from nickelslip.server.canary_observation import CanaryObservation
from nickelslip.server.change_applier import ChangeApplier
from nickelslip.server.history_writer import HistoryWriter
from nickelslip.server.server import Server

MAX_ERROR_LENGTH = 200
MS_PER_S = 1000


class CanaryWatcher:
    """Samples the server, and evaluates the change in its canary period.

    Args:
        server: The server.
        changes: The configuration changes of the server.
        applier: Confirms and rolls back changes.
        history: Writes the records of changes; the watcher retries writes that failed.
        observation: The measurements of the server.
        lock: Held while a change is confirmed or rolled back.
    """

    def __init__(
        self,
        server: Server,
        changes: ChangeManager,
        applier: ChangeApplier,
        history: HistoryWriter,
        observation: CanaryObservation,
        lock: anyio.Lock,
    ) -> None:
        self._server = server
        self._changes = changes
        self._applier = applier
        self._history = history
        self._observation = observation
        self._lock = lock

    async def run(self) -> None:
        """Sample the server and evaluate the change once per metrics bucket, until cancelled."""
        while True:
            await anyio.sleep(BUCKET_MS / MS_PER_S)
            self._observation.sample()
            if self._history.unwritten or self._changes.current is not None:
                async with self._lock:
                    await self._history.flush()
                    await self._watch()

    async def _watch(self) -> None:
        """Evaluate the change; if the analysis raises an error, roll the change back rather than leave it unwatched."""
        if not self._changes.is_in_canary_period:
            return
        try:
            await self._evaluate()
        except Exception as error:
            self._server.log.error("canary_analysis_failed", error=repr(error), exc_info=error)
            await self._end_unwatched(f"the judge failed: {error!r}"[:MAX_ERROR_LENGTH])

    async def _end_unwatched(self, reason: str) -> None:
        """End the canary period of a change that cannot be evaluated."""
        if not self._changes.is_in_canary_period:
            return
        if self._changes.is_returning:
            await self._applier.confirm(self._server.clock(), reason)
        else:
            await self._applier.roll_back(reason)

    async def _evaluate(self) -> None:
        if not self._observation.is_active:
            return
        now_ms = self._server.clock()
        if not self._observation.is_conclusive:
            self._changes.extend_canary_period(BUCKET_MS)
            self._observation.restart(now_ms)
            return
        verdict = self._observation.evaluate(now_ms)
        if verdict is None:
            return
        state = self._changes.next_state(now_ms, verdict)
        if state is ChangeState.ROLLED_BACK:
            await self._applier.roll_back(verdict.reason)
        elif state is ChangeState.CONFIRMED:
            await self._applier.confirm(now_ms, _confirmation_reason(verdict))


def _confirmation_reason(verdict: CanaryVerdict) -> str:
    if verdict.status is CanaryStatus.NO_HARM:
        return verdict.reason
    if verdict.status is CanaryStatus.HARM:
        return f"what was undone does not come back: {verdict.reason}"
    return f"nothing speaks against it: {verdict.reason}"
