"""The confirmed generations of a server: the one to roll back to, and earlier ones to which an operator can return."""

from __future__ import annotations

from collections import deque

from nickelslip.configuration.change_lifecycle import ChangeRejectedError, RejectionReason
from nickelslip.configuration.generation_snapshot import GenerationSnapshot, with_peer_addresses_of

MAX_CONFIRMED_GENERATIONS = 8


class ConfirmedGenerations:
    """The latest confirmed generations, at most MAX_CONFIRMED_GENERATIONS.

    Args:
        initial: The generation with which the server starts.
    """

    def __init__(self, initial: GenerationSnapshot) -> None:
        self._snapshots = deque([initial], MAX_CONFIRMED_GENERATIONS)

    @property
    def latest(self) -> GenerationSnapshot:
        """The generation to which a change is rolled back."""
        return self._snapshots[-1]

    def add(self, snapshot: GenerationSnapshot) -> None:
        """Add a generation that has been confirmed."""
        self._snapshots.append(snapshot)

    def replace_peer_addresses_of_latest(self, address_source: GenerationSnapshot) -> None:
        """Replace the peer addresses of the latest generation by those of `address_source`."""
        self._snapshots.append(with_peer_addresses_of(self._snapshots.pop(), address_source))

    def earlier_than(self, in_force: GenerationSnapshot, generation: int | None) -> GenerationSnapshot:
        """Return the generation with this number, or the latest one if it is None, but not the one in force.

        Raises:
            ChangeRejectedError: The generation is not kept.
        """
        for snapshot in reversed(self._snapshots):
            if snapshot is not in_force and generation in (None, snapshot.generation.number):
                return snapshot
        detail = "no earlier generation is kept" if generation is None else f"generation {generation} is not kept"
        raise ChangeRejectedError(RejectionReason.NOT_FOUND, detail)
