"""Drafts, applies, confirms and rolls back the configuration changes of a running server.

The record of a change is written before the server adopts the change. The record of its confirmation or rollback is
written afterwards. There is no `await` between the adoption of a generation and the state transition that reports it.
"""

from __future__ import annotations

import time

from nickelslip.admission.controller import AdmissionController
from nickelslip.configuration.change_lifecycle import ChangeRejectedError, ConfigurationChange, RejectionReason
from nickelslip.configuration.change_manager import ChangeManager
from nickelslip.configuration.change_reference import ChangeReferences
from nickelslip.configuration.config import Config
from nickelslip.configuration.document import Document
from nickelslip.configuration.generations import Generation
from nickelslip.server.canary_observation import CanaryObservation, TimeSpan
from nickelslip.server.control_words import PHASE_WORDS
from nickelslip.server.history_writer import HistoryWriter
from nickelslip.server.lifecycle import Phase
from nickelslip.server.server import Server

MAX_ADOPTION_TIMES = 64
US_PER_S = 1e6
CHANGEABLE_PHASES = (Phase.WAITING, Phase.SERVING)


class ChangeApplier:
    """Executes the configuration changes of one server. The caller must ensure that calls do not overlap.

    Args:
        server: The server.
        changes: The configuration changes of the server.
        history: Writes the records of changes.
        observation: The measurements of the server, and the analysis of a change.

    Attributes:
        adoption_times_us: How long the server was paused to adopt each of the latest generations.
    """

    def __init__(
        self, server: Server, changes: ChangeManager, history: HistoryWriter, observation: CanaryObservation
    ) -> None:
        self._server = server
        self._changes = changes
        self._history = history
        self._observation = observation
        self.adoption_times_us: list[float] = []

    def draft(
        self,
        config: Config,
        document: Document,
        origin: str,
        forced: bool,
        inherited_changes: ChangeReferences = (),
        is_return: bool = False,
    ) -> ConfigurationChange:
        """Return a validated change to this document.

        Validation creates an admission controller with the new settings. An error in its constructor would otherwise
        occur only while the server is serving.

        Raises:
            ChangeRejectedError: The change cannot be applied.
        """
        now_ms = self._server.clock()
        change = self._changes.draft(now_ms, config, document, origin, forced, inherited_changes, is_return)
        try:
            AdmissionController(Generation(0, config).settings, 0, 0.0)
        except Exception as error:
            rejection = ChangeRejectedError(RejectionReason.CONTROLLER_ERROR, repr(error))
            self._changes.reject(now_ms, change, rejection)
            raise rejection from None
        return change

    async def stage_and_apply(self, change: ConfigurationChange) -> None:
        """Stage and apply a change; if it cannot be applied now, it does not stay staged.

        Raises:
            ChangeRejectedError: The change was not applied.
        """
        self._changes.stage(self._server.clock(), change)
        try:
            await self.apply_staged(change.number)
        except ChangeRejectedError as error:
            if self._changes.staged is change:
                self._changes.reject(self._server.clock(), change, error)
            raise

    async def apply_staged(self, number: int | None) -> ConfigurationChange:
        """Apply the staged change and start to observe it; if `number` is given, the staged change must have it.

        If the server crashes in the meantime, the last confirmed generation stays in force.

        Raises:
            ChangeRejectedError: The change was not applied.
        """
        self._require_changeable_phase()
        await self._history.flush()
        if self._history.unwritten:  # records after a gap would not be valid at the next start
            detail = f"{len(self._history.unwritten)} records behind"
            raise ChangeRejectedError(RejectionReason.HISTORY_UNAVAILABLE, detail)
        change, record = self._changes.begin_applying(self._server.clock(), number)
        try:
            await self._history.write(record)
        except OSError as error:
            await self._fail(f"{RejectionReason.HISTORY_UNAVAILABLE.value}: {error.strerror}")
            raise ChangeRejectedError(RejectionReason.HISTORY_UNAVAILABLE, error.strerror or "") from None
        if self._server.phase not in CHANGEABLE_PHASES:  # a shutdown began during the write
            await self._fail(RejectionReason.SHUTTING_DOWN.value)
            self._require_changeable_phase()
        await self._put_in_force(change)
        return change

    def _require_changeable_phase(self) -> None:
        if self._server.phase not in CHANGEABLE_PHASES:
            raise ChangeRejectedError(RejectionReason.SHUTTING_DOWN, PHASE_WORDS[self._server.phase])

    async def _fail(self, reason: str) -> None:
        await self._history.write_or_queue(self._changes.mark_failed(self._server.clock(), reason))

    async def _put_in_force(self, change: ConfigurationChange) -> None:
        """Adopt the generation of a change whose record is written, and start to observe it if necessary."""
        assert change.generation is not None
        baseline = self._observation.baseline(self._changes.rules.baseline_ms)
        old_objectives_ms = self._server.generation.latency_objectives_ms
        self._adopt(change.generation)
        self._observation.set_objectives_during_change(old_objectives_ms, change.generation.latency_objectives_ms)
        confirmation = self._changes.mark_applied(self._server.clock())
        self._observation.verdict = None
        if self._changes.is_in_canary_period:
            self._observation.begin(baseline, self._changes.rules.standard_errors)
        else:
            self._observation.end()
        if confirmation is not None:
            await self._history.write_or_queue(confirmation)

    async def confirm(self, now_ms: float, reason: str) -> None:
        """Confirm the change in its canary period.

        Raises:
            ChangeRejectedError: No change is in its canary period.
        """
        record = self._changes.confirm(now_ms, reason)
        self._observation.end()
        await self._history.write_or_queue(record)

    async def roll_back(self, reason: str) -> None:
        """Roll back the change in its canary period, and exclude its time span from later baselines.

        Raises:
            ChangeRejectedError: No change that can be rolled back is in its canary period.
        """
        change = self._changes.current
        if change is not None and change.generation is not None:
            end_at_ms = self._server.clock() + change.config.settings.tick_ms
            self._observation.exclude(TimeSpan(change.generation.created_at_ms, end_at_ms))
        generation, record = self._changes.roll_back(self._server.clock(), reason)
        self._adopt(generation)
        self._observation.end()
        await self._history.write_or_queue(record)

    async def adopt_peer_addresses(self, config: Config, document: Document, origin: str) -> None:
        """Adopt a configuration that differs only in the addresses of peers."""
        generation, record = self._changes.replace_peer_addresses(self._server.clock(), config, document, origin)
        self._adopt(generation)
        await self._history.write_or_queue(record)

    def _adopt(self, generation: Generation) -> None:
        started_s = time.perf_counter()
        self._server.apply_generation(generation)
        elapsed_us = (time.perf_counter() - started_s) * US_PER_S
        self.adoption_times_us = [*self.adoption_times_us[-(MAX_ADOPTION_TIMES - 1) :], elapsed_us]
