"""The configuration changes of one server and the generations that result from them.

A generation is a numbered configuration that is or was in force. At most one change is staged, and at most one is
being applied or in its canary period. A change is planned against the generation in force. If another generation comes
into force first, the change is superseded: it is rejected, never merged.

This module has no clock and does no I/O. The caller writes the returned records, adopts the returned generations and
reports the outcome.
"""

from __future__ import annotations

from collections.abc import Callable

from nickelslip.configuration.canary_verdict import CanaryVerdict
from nickelslip.configuration.change_checks import draft_error, state_after_verdict
from nickelslip.configuration.change_lifecycle import (
    STATE_WORDS,
    ChangeRejectedError,
    ChangeState,
    ConfigurationChange,
    RejectionReason,
)
from nickelslip.configuration.change_records import ChangeRecords
from nickelslip.configuration.change_reference import ChangeReferences
from nickelslip.configuration.change_results import Adoption, ChangeStatus, StartedChange
from nickelslip.configuration.config import ChangeRules, Config
from nickelslip.configuration.confirmed_generations import ConfirmedGenerations
from nickelslip.configuration.document import Document
from nickelslip.configuration.generation_snapshot import GenerationSnapshot
from nickelslip.configuration.generations import Generation, digest_of
from nickelslip.configuration.history import HistoryEvent, HistoryRecord
from nickelslip.configuration.plan import plan_of
from nickelslip.configuration.restored_generations import changes_at_start, earlier_snapshots
from nickelslip.configuration.rolled_back_documents import RolledBackDocuments


class ChangeManager:
    """Manages the configuration changes of one server and the generations that result from them.

    Args:
        generation: The generation with which the server starts.
        document: The document of that generation.
        records: The records read from the history.
        file_digest: The digest of the document in the configuration files.
        on_transition: Called with a change each time it has entered a state.

    Attributes:
        in_force: The generation in force.
        staged: The staged change.
        current: The change being applied or in its canary period.
        records: The latest records of the history, and the digest of the files that is stored with each.
    """

    def __init__(
        self,
        generation: Generation,
        document: Document,
        records: list[HistoryRecord],
        file_digest: str,
        on_transition: Callable[[ConfigurationChange], None] = lambda change: None,
    ) -> None:
        self.in_force = GenerationSnapshot(
            generation, document, digest_of(document), changes_at_start(records, generation)
        )
        self._confirmed = ConfirmedGenerations(self.in_force, earlier_snapshots(records, generation.number))
        self.staged: ConfigurationChange | None = None
        self.current: ConfigurationChange | None = None
        self.records = ChangeRecords(records, file_digest)
        self._rolled_back_documents = RolledBackDocuments()
        self._on_transition = on_transition
        self._last_generation_number = max([generation.number, *(record.generation for record in records)])
        self._last_change_number = 0
        for record in records:
            if record.event is HistoryEvent.ROLLED_BACK:
                self._rolled_back_documents.add(
                    record.digest, record.recorded_at_ms + self.rules.rejected_after_rollback_ms
                )

    @property
    def rules(self) -> ChangeRules:
        """The change rules in force."""
        return self.in_force.generation.config.changes

    def draft(
        self,
        now_ms: float,
        config: Config,
        document: Document,
        origin: str,
        forced: bool = False,
        inherited_changes: ChangeReferences = (),
        is_return: bool = False,
    ) -> ConfigurationChange:
        """Create and validate a change that puts this document into force.

        Args:
            now_ms: The current time.
            config: The configuration of the document.
            document: The complete document.
            origin: Where the change comes from.
            forced: Whether the document is accepted even if it was rolled back recently.
            inherited_changes: The earlier changes on which the document is based.
            is_return: Whether the document is that of a confirmed generation, to which the change goes back.

        Raises:
            ChangeRejectedError: The document changes nothing, needs a restart, or was rolled back recently and is not
                forced.
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
            inherited_changes=inherited_changes,
            is_return=is_return,
        )
        error = draft_error(change, self._rolled_back_documents.remaining_ms(change.digest, now_ms))
        if error is not None:
            self._enter(change, ChangeState.REJECTED, now_ms, str(error))
            raise error
        self._enter(change, ChangeState.VALIDATED, now_ms)
        return change

    def reject(self, now_ms: float, change: ConfigurationChange, error: ChangeRejectedError) -> None:
        """Reject a validated or staged change."""
        if self.staged is change:
            self.staged = None
        self._enter(change, ChangeState.REJECTED, now_ms, str(error))

    def stage(self, now_ms: float, change: ConfigurationChange) -> None:
        """Stage a validated change.

        Raises:
            ChangeRejectedError: Another change is staged already, and this one has been rejected.
        """
        if self.staged is not None:
            error = ChangeRejectedError(RejectionReason.BUSY, f"change {self.staged.number} is staged")
            self.reject(now_ms, change, error)
            raise error
        self.staged = change
        self._enter(change, ChangeState.STAGED, now_ms)

    def discard_staged(self, now_ms: float) -> ConfigurationChange:
        """Reject the staged change and return it.

        Raises:
            ChangeRejectedError: No change is staged.
        """
        change = self.staged
        if change is None:
            raise ChangeRejectedError(RejectionReason.NOT_FOUND, "nothing is staged")
        self.reject(now_ms, change, ChangeRejectedError(RejectionReason.NOT_FOUND, "taken out by an operator"))
        return change

    def begin_applying(self, now_ms: float, number: int | None = None) -> StartedChange:
        """Begin to apply the staged change.

        The caller writes the record, adopts the generation of the change and then calls `mark_applied`. If the change
        cannot be applied, it calls `mark_failed` instead.

        Args:
            now_ms: The current time.
            number: The number that the staged change must have; None for any.

        Raises:
            ChangeRejectedError: No such change is staged, another change is in progress, or the staged change was
                superseded and has been rejected.
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
        record = self.records.add_change(HistoryEvent.APPLIED, change, now_ms, document=change.document)
        return StartedChange(change, record)

    def _staged_change(self, number: int | None) -> ConfigurationChange:
        if self.staged is None:
            raise ChangeRejectedError(RejectionReason.NOT_FOUND, "nothing is staged")
        if number not in (None, self.staged.number):
            raise ChangeRejectedError(RejectionReason.NOT_FOUND, f"change {self.staged.number} is staged")
        return self.staged

    def mark_applied(self, now_ms: float) -> HistoryRecord | None:
        """Record that the generation of the current change has been adopted.

        Returns:
            The record of the confirmation if the change is confirmed from the start, else None.
        """
        change = self._require_current(ChangeState.APPLYING)
        assert change.generation is not None
        self.in_force = GenerationSnapshot(change.generation, change.document, change.digest, change.references)
        if not change.needs_canary_period:
            return self._confirm(change, now_ms, "needs no probation")
        self._enter(change, ChangeState.CANARY, now_ms)
        if not change.is_return:
            return None
        self._confirmed.add(self.in_force)
        reason = "goes back to a confirmed generation"
        return self.records.add_change(HistoryEvent.CONFIRMED, change, now_ms, reason, self.in_force.document)

    def mark_failed(self, now_ms: float, reason: str) -> HistoryRecord:
        """Record that the current change could not be applied. The generation in force stays the same.

        The change enters ROLLED_BACK although it was never in force; its history record says REJECTED.
        """
        change = self._require_current(ChangeState.APPLYING)
        self.current = None
        self._enter(change, ChangeState.ROLLED_BACK, now_ms, reason)
        return self.records.add_change(HistoryEvent.REJECTED, change, now_ms, reason)

    @property
    def is_in_canary_period(self) -> bool:
        """Whether the current change is in its canary period."""
        return self.current is not None and self.current.state is ChangeState.CANARY

    @property
    def is_returning(self) -> bool:
        """Whether the current change is in its canary period and goes back to a confirmed generation."""
        return self.is_in_canary_period and self.current is not None and self.current.is_return

    def next_state(self, now_ms: float, verdict: CanaryVerdict) -> ChangeState | None:
        """Return the state to which a verdict moves the change in its canary period, or None if it stays there.

        The caller performs the transition with `confirm` or `roll_back`.
        """
        if self.current is None or self.current.state is not ChangeState.CANARY:
            return None
        elapsed_ms = now_ms - self.current.state_entered_at_ms
        return state_after_verdict(verdict, elapsed_ms, self.rules, self.current.is_return)

    def extend_canary_period(self, duration_ms: float) -> None:
        """Extend the canary period by a time during which the change could not be observed."""
        if self.current is not None and self.current.state is ChangeState.CANARY:
            # Moves the start of the period, so the attribute no longer holds the time at which the state was entered.
            self.current.state_entered_at_ms += duration_ms

    def confirm(self, now_ms: float, reason: str) -> HistoryRecord:
        """Confirm the change in its canary period and return the record to write.

        Raises:
            ChangeRejectedError: No change is in its canary period.
        """
        return self._confirm(self._require_current(ChangeState.CANARY), now_ms, reason)

    def _confirm(self, change: ConfigurationChange, now_ms: float, reason: str) -> HistoryRecord:
        self.current = None
        if not (change.is_return and change.state is ChangeState.CANARY):
            self._confirmed.add(self.in_force)
        self._enter(change, ChangeState.CONFIRMED, now_ms, reason)
        # The change's own document may be out of date: peer addresses can change during the canary period.
        return self.records.add_change(HistoryEvent.CONFIRMED, change, now_ms, reason, self.in_force.document)

    def roll_back(self, now_ms: float, reason: str) -> Adoption:
        """Roll back the change in its canary period, and reject its document for a time.

        Returns:
            The last confirmed generation and the record to write. The generation is the object that was in force before
            the change, unless peer addresses were replaced during the canary period.

        Raises:
            ChangeRejectedError: No change that can be rolled back is in its canary period.
        """
        change = self._require_current(ChangeState.CANARY)
        if change.is_return:
            raise ChangeRejectedError(RejectionReason.NOT_FOUND, "what is observed goes back to a confirmed generation")
        self.current = None
        rejected_until_ms = now_ms + self.rules.rejected_after_rollback_ms
        for digest in (change.digest, self.in_force.digest):  # they differ if peer addresses were replaced
            self._rolled_back_documents.add(digest, rejected_until_ms)
        self.in_force = self._confirmed.latest
        self._enter(change, ChangeState.ROLLED_BACK, now_ms, reason)
        record = self.records.add_change(HistoryEvent.ROLLED_BACK, change, now_ms, reason)
        return Adoption(self.in_force.generation, record)

    def earlier_snapshot(self, generation: int | None = None) -> GenerationSnapshot:
        """Return the snapshot of an earlier confirmed generation.

        Args:
            generation: Its number; None for the latest confirmed one that is not in force.

        Raises:
            ChangeRejectedError: The generation is not kept.
        """
        return self._confirmed.earlier_than(self.in_force, generation)

    def snapshot_before(self, origin: str) -> GenerationSnapshot:
        """Return the confirmed generation to which a change of this origin is undone.

        Raises:
            ChangeRejectedError: Nothing in force comes from this origin, another change is based on the change, or no
                generation before it is kept.
        """
        origins = [change.origin for change in self.in_force.changes]
        if origin not in origins:
            raise ChangeRejectedError(RejectionReason.NOT_FOUND, "what is to be undone is not in force")
        if origin != origins[-1]:
            detail = "what is in force is based on what is to be undone, and came from elsewhere"
            raise ChangeRejectedError(RejectionReason.SUPERSEDED, detail)
        return self._confirmed.latest_without(origin)

    def replace_peer_addresses(self, now_ms: float, config: Config, document: Document, origin: str) -> Adoption:
        """Put a configuration that differs only in peer addresses into force, even if a change is staged or current.

        A change in its canary period stays in it. Both the generation in force and the one to which the change would
        be rolled back get the new addresses. A staged change is superseded, and is rejected when it is to be applied.
        """
        generation = self._next_generation(config, origin, now_ms)
        self.in_force = GenerationSnapshot(generation, document, digest_of(document), self.in_force.changes)
        if self.current is None or self.is_returning:
            self._confirmed.replace_latest(self.in_force)
        else:
            self._confirmed.replace_peer_addresses_of_latest(self.in_force)
        record = self.records.add_moved_peers(self._confirmed.latest, origin, now_ms)
        return Adoption(generation, record)

    def status(self, now_ms: float) -> ChangeStatus:
        """Return the generation in force, the change in progress and the staged change."""
        return ChangeStatus(
            in_force=self.in_force,
            confirmed_generation=self._confirmed.latest.generation.number,
            current=self.current,
            staged=self.staged,
            rolled_back_for_ms=self._rolled_back_documents.all_remaining_ms(now_ms),
        )

    def _enter(self, change: ConfigurationChange, state: ChangeState, now_ms: float, reason: str = "") -> None:
        change.enter(state, now_ms, reason)
        self._on_transition(change)

    def _require_current(self, state: ChangeState) -> ConfigurationChange:
        """Return the current change, or raise ChangeRejectedError if it is not in this state."""
        if self.current is None or self.current.state is not state:
            raise ChangeRejectedError(RejectionReason.NOT_FOUND, f"no change is {STATE_WORDS[state]}")
        return self.current

    def _next_generation(self, config: Config, origin: str, now_ms: float) -> Generation:
        self._last_generation_number += 1
        return Generation(self._last_generation_number, config, origin, now_ms)
