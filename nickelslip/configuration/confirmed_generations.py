"""The confirmed generations of a server: the one to roll back to, and earlier ones to which an operator can return."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from nickelslip.configuration.change_lifecycle import ChangeRejectedError, RejectionReason
from nickelslip.configuration.generation_snapshot import GenerationSnapshot, with_peer_addresses_of

MAX_CONFIRMED_GENERATIONS = 8


class ConfirmedGenerations:
    """The latest confirmed generations, at most MAX_CONFIRMED_GENERATIONS.

    Args:
        initial: The generation with which the server starts.
        earlier: The generations that were confirmed before it, oldest first.
    """

    def __init__(self, initial: GenerationSnapshot, earlier: Iterable[GenerationSnapshot] = ()) -> None:
        self._snapshots: deque[GenerationSnapshot] = deque(maxlen=MAX_CONFIRMED_GENERATIONS)
        for snapshot in (*earlier, initial):
            self.add(snapshot)

    @property
    def latest(self) -> GenerationSnapshot:
        """The generation to which a change is rolled back."""
        return self._snapshots[-1]

    def add(self, snapshot: GenerationSnapshot) -> None:
        """Add a generation that has been confirmed.

        If one that is based on the same changes is kept, this is a return to it, or it has other peer addresses. What
        was confirmed since then has been undone and is dropped, so that no later rollback brings it back.
        """
        for index, kept in enumerate(self._snapshots):
            if kept.changes and kept.changes == snapshot.changes:
                while len(self._snapshots) > index:
                    self._snapshots.pop()
                break
        self._snapshots.append(snapshot)

    def replace_latest(self, snapshot: GenerationSnapshot) -> None:
        """Replace the latest generation by one that differs only in peer addresses."""
        self._snapshots[-1] = snapshot

    def replace_peer_addresses_of_latest(self, address_source: GenerationSnapshot) -> None:
        """Replace the peer addresses of the latest generation by those of `address_source`."""
        self._snapshots.append(with_peer_addresses_of(self._snapshots.pop(), address_source))

    def earlier_than(self, in_force: GenerationSnapshot, generation: int | None) -> GenerationSnapshot:
        """Return the generation with this number, or the latest one with other settings than the one in force.

        Raises:
            ChangeRejectedError: The generation is not kept.
        """
        for snapshot in reversed(self._snapshots):
            if generation is None and not snapshot.has_same_settings(in_force):
                return snapshot
            if generation == snapshot.generation.number and snapshot is not in_force:
                return snapshot
        detail = "no earlier generation is kept" if generation is None else f"generation {generation} is not kept"
        raise ChangeRejectedError(RejectionReason.NOT_FOUND, detail)

    def latest_without(self, origin: str) -> GenerationSnapshot:
        """Return the latest generation that is not based on a change of this origin.

        Raises:
            ChangeRejectedError: No such generation is kept.
        """
        for snapshot in reversed(self._snapshots):
            if all(change.origin != origin for change in snapshot.changes):
                return snapshot
        raise ChangeRejectedError(RejectionReason.NOT_FOUND, "no generation before this change is kept")
