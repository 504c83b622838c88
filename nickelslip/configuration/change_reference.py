"""References to the changes on which a generation is based."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

MAX_REFERENCES = 32  # above this number, the oldest reference is dropped


class ChangeReference(NamedTuple):
    """Identifies a change of one server. It stays the same when peer addresses are replaced, and across restarts.

    Attributes:
        generation: Number of the generation that was created for the change.
        applied_at_ms: Unix time at which the change was applied.
        origin: Where the change came from.
    """

    generation: int
    applied_at_ms: float
    origin: str

    def as_dict(self) -> dict[str, Any]:
        """Return the reference in the form of the control protocol and of the history."""
        return {"generation": self.generation, "since_ms": self.applied_at_ms, "origin": self.origin}


ChangeReferences = tuple[ChangeReference, ...]


def decode_references(encoded: Iterable[Mapping[str, Any]]) -> ChangeReferences:
    """Return the references of a reply or of a record of the history.

    Raises:
        KeyError: A key is missing.
        TypeError: An element is not a JSON object.
    """
    return tuple(ChangeReference(each["generation"], each["since_ms"], each["origin"]) for each in encoded)


def with_reference(references: ChangeReferences, reference: ChangeReference) -> ChangeReferences:
    """Return the references with one more at the end."""
    return (*references, reference)[-MAX_REFERENCES:]
