"""All configuration changes of one server, and the generations they lead to.

At most one change is staged, and at most one is being applied or in its canary period. A change is planned against the
generation in force; if another one comes into force first, the change is superseded and rejected, never merged.

This module has no clock, does no I/O and applies nothing itself: its user carries out what it returns and reports back.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from nickelslip.configuration.canary_analysis import CanaryStatus, CanaryVerdict
from nickelslip.configuration.change_lifecycle import (
    STATE_WORDS,
    ChangeRejectedError,
    ChangeState,
    ConfigurationChange,
    RejectionReason,
)
from nickelslip.configuration.config import ChangeRules, Config, with_new_peer_addresses
from nickelslip.configuration.document import Document
from nickelslip.configuration.generations import Generation, digest_of
from nickelslip.configuration.history import HistoryEvent, HistoryRecord
from nickelslip.configuration.plan import plan_of
from nickelslip.configuration.rolled_back_documents import RolledBackDocuments

MAX_RECORDS_IN_MEMORY = 256
MAX_EARLIER_GENERATIONS = 8  # confirmed ones to which an operator can go back
MAX_DIFFERENCES_IN_MESSAGE = 5


@dataclass(frozen=True)
class GenerationSnapshot:
    """A generation with the document that it was made of."""

    generation: Generation
    document: Document
    digest: str


class StartedChange(NamedTuple):
    """A change that is being applied, and the record to write before its generation is adopted."""

    change: ConfigurationChange
    record: HistoryRecord


class Adoption(NamedTuple):
    """A generation to adopt at once, and the record to write then."""

    generation: Generation
    record: HistoryRecord


@dataclass(frozen=True)
class ChangeStatus:
    """What is in force, in progress and staged.

    Attributes:
        in_force: The generation in force.
        confirmed_generation: Number of the last confirmed generation.
        current: The change being applied or in its canary period.
        staged: The staged change.
        rolled_back_for_ms: How much longer each recently rolled back document is rejected, by its digest.
    """

    in_force: GenerationSnapshot
    confirmed_generation: int
    current: ConfigurationChange | None
    staged: ConfigurationChange | None
    rolled_back_for_ms: dict[str, float]


class ChangeManager:
    """All changes of one server, and the generations they lead to.

    Args:
        generation: The generation that the server starts with.
        document: The document of that generation.
        records: The records of the history.
        file_digest: The digest of the document in the configuration files.
        on_transition: Called with each change that has entered a state.

    Attributes:
        in_force: The generation in force.
        staged: The staged change.
        current: The change being applied or in its canary period.
        file_digest: The digest of the document in the configuration files, stored with each record.
        records: The latest records of the history.
    """

    def __init__(
        self,
        generation: Generation,
        document: Document,
        records: list[HistoryRecord],
        file_digest: str,
        on_transition: Callable[[ConfigurationChange], None] = lambda change: None,
    ) -> None:
        first = GenerationSnapshot(generation, document, digest_of(document))
        self._confirmed: deque[GenerationSnapshot] = deque([first], MAX_EARLIER_GENERATIONS)
        self.in_force = first
        self.staged: ConfigurationChange | None = None
        self.current: ConfigurationChange | None = None
        self.file_digest = file_digest
        self.records: deque[HistoryRecord] = deque(records, MAX_RECORDS_IN_MEMORY)
        self._rolled_back = RolledBackDocuments()
        self._on_transition = on_transition
        self._last_sequence_number = records[-1].sequence_number if records else 0
        self._last_generation_number = max([generation.number, *(record.generation for record in records)])
        self._last_change_number = 0
        for record in records:
            if record.event is HistoryEvent.ROLLED_BACK:
                self._rolled_back.add(record.digest, record.recorded_at_ms + self.rules.rejected_after_rollback_ms)

    @property
    def rules(self) -> ChangeRules:
        """The rules for changes that are in force."""
        return self.in_force.generation.config.changes

    # Drafting and staging

    def draft(
        self, now_ms: float, config: Config, document: Document, origin: str, forced: bool = False
    ) -> ConfigurationChange:
        """Return a validated change to this document.

        Raises:
            ChangeRejectedError: It changes nothing, needs a restart, or was rolled back recently.
        """
        self._last_change_number += 1
        change = ConfigurationChange(
            number=self._last_change_number,
            config=config,
            document=document,
            digest=digest_of(document),
            origin=origin,
            base_generation=self.in_force.generation,
            plan=plan_of(self.in_force.document, document),
            forced=forced,
        )
        error = self._draft_error(change, now_ms)
        if error is not None:
            self._enter(change, ChangeState.REJECTED, now_ms, str(error))
            raise error
        self._enter(change, ChangeState.VALIDATED, now_ms)
        return change

    def _draft_error(self, change: ConfigurationChange, now_ms: float) -> ChangeRejectedError | None:
        """Return why a draft is rejected, or None."""
        if change.plan.is_empty:
            return ChangeRejectedError(RejectionReason.NO_DIFFERENCE)
        if change.plan.needing_restart:
            named = change.plan.needing_restart[:MAX_DIFFERENCES_IN_MESSAGE]
            return ChangeRejectedError(RejectionReason.NEEDS_RESTART, "; ".join(map(str, named)))
        remaining_ms = self._rolled_back.remaining_ms(change.digest, now_ms)
        if remaining_ms > 0 and not change.forced:
            detail = f"refused for {remaining_ms / 1000:.0f} s more unless forced"
            return ChangeRejectedError(RejectionReason.RECENTLY_ROLLED_BACK, detail)
        return None

    def reject(self, now_ms: float, change: ConfigurationChange, error: ChangeRejectedError) -> None:
        """Reject a change that is validated or staged."""
        if self.staged is change:
            self.staged = None
        self._enter(change, ChangeState.REJECTED, now_ms, str(error))

    def stage(self, now_ms: float, change: ConfigurationChange) -> None:
        """Stage a validated change.

        Raises:
            ChangeRejectedError: Another one is staged; this one is rejected.
        """
        if self.staged is not None:
            error = ChangeRejectedError(RejectionReason.BUSY, f"change {self.staged.number} is staged")
            self.reject(now_ms, change, error)
            raise error
        self.staged = change
        self._enter(change, ChangeState.STAGED, now_ms)

    def discard_staged(self, now_ms: float) -> ConfigurationChange:
        """Reject the staged change, and return it.

        Raises:
            ChangeRejectedError: None is staged.
        """
        change = self.staged
        if change is None:
            raise ChangeRejectedError(RejectionReason.NOT_FOUND, "nothing is staged")
        self.reject(now_ms, change, ChangeRejectedError(RejectionReason.NOT_FOUND, "taken out by an operator"))
        return change

    # Applying

    def begin_applying(self, now_ms: float, number: int | None = None) -> StartedChange:
        """Begin to apply the staged change, or the one of this number.

        The caller writes the record, then adopts the change's generation, then calls `mark_applied`; or it calls
        `mark_failed`.

        Raises:
            ChangeRejectedError: It is not staged, another one is in progress, or it was superseded and is rejected.
        """
        change = self._staged_change(number)
        if self.current is not None:
            detail = f"change {self.current.number} is {STATE_WORDS[self.current.state]}"
            raise ChangeRejectedError(RejectionReason.BUSY, detail)
        if change.base_generation is not self.in_force.generation:
            error = ChangeRejectedError(RejectionReason.SUPERSEDED)
            self.reject(now_ms, change, error)
            raise error
        self.staged = None
        self.current = change
        change.generation = self._next_generation(change.config, change.origin, now_ms)
        self._enter(change, ChangeState.APPLYING, now_ms)
        record = self._record_change(HistoryEvent.APPLIED, change, now_ms, document=change.document)
        return StartedChange(change, record)

    def _staged_change(self, number: int | None) -> ConfigurationChange:
        if self.staged is None:
            raise ChangeRejectedError(RejectionReason.NOT_FOUND, "nothing is staged")
        if number not in (None, self.staged.number):
            raise ChangeRejectedError(RejectionReason.NOT_FOUND, f"change {self.staged.number} is staged")
        return self.staged

    def mark_applied(self, now_ms: float) -> HistoryRecord | None:
        """Note that the generation of the current change has been adopted.

        Returns:
            The record of its confirmation where it needs no canary period, else None.
        """
        change = self._require_current(ChangeState.APPLYING)
        assert change.generation is not None
        self.in_force = GenerationSnapshot(change.generation, change.document, change.digest)
        if change.needs_canary_period:
            self._enter(change, ChangeState.CANARY, now_ms)
            return None
        return self._confirm(change, now_ms, "needs no probation")

    def mark_failed(self, now_ms: float, reason: str) -> HistoryRecord:
        """Note that the current change could not be applied; the generation in force stays."""
        change = self._require_current(ChangeState.APPLYING)
        self.current = None
        self._enter(change, ChangeState.ROLLED_BACK, now_ms, reason)
        return self._record_change(HistoryEvent.REJECTED, change, now_ms, reason)

    # The canary period

    @property
    def is_in_canary_period(self) -> bool:
        """Whether the current change is in its canary period."""
        return self.current is not None and self.current.state is ChangeState.CANARY

    def next_state(self, now_ms: float, verdict: CanaryVerdict) -> ChangeState | None:
        """Return the state that the current change is to enter after a look at it, or None if it is to stay.

        The caller carries it out with `confirm` or `roll_back`. At the end of the longest canary period a change
        against which nothing speaks is confirmed, even if little data speaks for it.
        """
        if self.current is None or self.current.state is not ChangeState.CANARY:
            return None
        elapsed_ms = now_ms - self.current.state_entered_at_ms
        if verdict.status is CanaryStatus.HARM:
            return ChangeState.ROLLED_BACK
        if elapsed_ms >= self.rules.max_canary_period_ms and verdict.status is not CanaryStatus.SUSPECTED:
            return ChangeState.CONFIRMED
        if elapsed_ms >= self.rules.canary_period_ms and verdict.status is CanaryStatus.NO_HARM:
            return ChangeState.CONFIRMED
        return None

    def extend_canary_period(self, span_ms: float) -> None:
        """Extend the canary period by a time in which nothing could be observed."""
        if self.current is not None and self.current.state is ChangeState.CANARY:
            self.current.state_entered_at_ms += span_ms

    def confirm(self, now_ms: float, reason: str) -> HistoryRecord:
        """Confirm the change in its canary period; return the record to write.

        Raises:
            ChangeRejectedError: No change is in its canary period.
        """
        return self._confirm(self._require_current(ChangeState.CANARY), now_ms, reason)

    def _confirm(self, change: ConfigurationChange, now_ms: float, reason: str) -> HistoryRecord:
        self.current = None
        self._confirmed.append(self.in_force)
        self._enter(change, ChangeState.CONFIRMED, now_ms, reason)
        # not the change's own document: peers may have moved since it was applied
        return self._record_change(HistoryEvent.CONFIRMED, change, now_ms, reason, self.in_force.document)

    def roll_back(self, now_ms: float, reason: str) -> Adoption:
        """Roll the change in its canary period back; its document is rejected for a time.

        Returns:
            The very generation that was in force before.

        Raises:
            ChangeRejectedError: No change is in its canary period.
        """
        change = self._require_current(ChangeState.CANARY)
        self.current = None
        self.in_force = self._confirmed[-1]
        self._rolled_back.add(change.digest, now_ms + self.rules.rejected_after_rollback_ms)
        self._enter(change, ChangeState.ROLLED_BACK, now_ms, reason)
        record = self._record_change(HistoryEvent.ROLLED_BACK, change, now_ms, reason)
        return Adoption(self.in_force.generation, record)

    # Earlier generations, and peers that move

    def earlier_snapshot(self, generation: int | None = None) -> GenerationSnapshot:
        """Return the confirmed generation of this number, or the one before that in force.

        Raises:
            ChangeRejectedError: It is not kept.
        """
        for snapshot in reversed(self._confirmed):
            if snapshot is not self.in_force and generation in (None, snapshot.generation.number):
                return snapshot
        detail = "no earlier generation is kept" if generation is None else f"generation {generation} is not kept"
        raise ChangeRejectedError(RejectionReason.NOT_FOUND, detail)

    def move_peers(self, now_ms: float, config: Config, document: Document, origin: str) -> Adoption:
        """Put a configuration in force that differs in peer addresses alone, whatever is staged or in progress.

        A change in its canary period stays there, with the new addresses; so does the generation to which it would be
        rolled back.
        """
        generation = self._next_generation(config, origin, now_ms)
        self.in_force = GenerationSnapshot(generation, document, digest_of(document))
        if self.current is None:
            self._confirmed.append(self.in_force)
        else:
            self._confirmed.append(_with_peers_of(self._confirmed.pop(), self.in_force))
        confirmed = self._confirmed[-1]
        record = self._add_record(
            HistoryEvent.CONFIRMED,
            generation=confirmed.generation.number,
            digest=confirmed.digest,
            origin=origin,
            now_ms=now_ms,
            reason="peers moved",
            document=confirmed.document,
        )
        return Adoption(generation, record)

    # Status

    def status(self, now_ms: float) -> ChangeStatus:
        """Return what is in force, in progress and staged."""
        return ChangeStatus(
            in_force=self.in_force,
            confirmed_generation=self._confirmed[-1].generation.number,
            current=self.current,
            staged=self.staged,
            rolled_back_for_ms=self._rolled_back.all_remaining_ms(now_ms),
        )

    # Shared steps

    def _enter(self, change: ConfigurationChange, state: ChangeState, now_ms: float, reason: str = "") -> None:
        change.enter(state, now_ms, reason)
        self._on_transition(change)

    def _require_current(self, state: ChangeState) -> ConfigurationChange:
        """Return the current change if it is in this state, or raise ChangeRejectedError."""
        if self.current is None or self.current.state is not state:
            raise ChangeRejectedError(RejectionReason.NOT_FOUND, f"no change is {STATE_WORDS[state]}")
        return self.current

    def _next_generation(self, config: Config, origin: str, now_ms: float) -> Generation:
        self._last_generation_number += 1
        return Generation(self._last_generation_number, config, origin, now_ms)

    def _record_change(
        self,
        event: HistoryEvent,
        change: ConfigurationChange,
        now_ms: float,
        reason: str = "",
        document: Document | None = None,
    ) -> HistoryRecord:
        return self._add_record(
            event,
            generation=change.generation.number if change.generation else 0,
            digest=change.digest,
            origin=change.origin,
            now_ms=now_ms,
            reason=reason,
            document=document,
        )

    def _add_record(
        self,
        event: HistoryEvent,
        *,
        generation: int,
        digest: str,
        origin: str,
        now_ms: float,
        reason: str,
        document: Document | None,
    ) -> HistoryRecord:
        """Append a record to those in memory, and return it to be written."""
        self._last_sequence_number += 1
        record = HistoryRecord(
            sequence_number=self._last_sequence_number,
            event=event,
            generation=generation,
            digest=digest,
            origin=origin,
            recorded_at_ms=now_ms,
            reason=reason,
            document=document,
            file_digest=self.file_digest,
        )
        self.records.append(record)
        return record


def _with_peers_of(snapshot: GenerationSnapshot, peers_source: GenerationSnapshot) -> GenerationSnapshot:
    """Return a generation with the peer addresses of `peers_source`."""
    old = snapshot.generation
    document = {**snapshot.document, "peers": peers_source.document["peers"]}
    config, _ = with_new_peer_addresses(old.config, peers_source.generation.config)
    generation = Generation(old.number, config, old.origin, old.created_at_ms)
    return GenerationSnapshot(generation, document, digest_of(document))
