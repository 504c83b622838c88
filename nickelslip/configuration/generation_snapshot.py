"""A generation together with the document it was created from, and the changes that led to it."""

from __future__ import annotations

from dataclasses import dataclass

from nickelslip.configuration.change_reference import ChangeReferences
from nickelslip.configuration.config import with_new_peer_addresses
from nickelslip.configuration.document import Document
from nickelslip.configuration.generations import PEERS_SECTION, Generation, digest_of, settings_of


@dataclass(frozen=True)
class GenerationSnapshot:
    """A generation with the document it was created from.

    Attributes:
        generation: The generation.
        document: Its document.
        digest: The digest of the document.
        changes: The changes on which the document is based, oldest first. A change of a whole document is based on
            no other one.
    """

    generation: Generation
    document: Document
    digest: str
    changes: ChangeReferences = ()

    def has_same_settings(self, other: GenerationSnapshot) -> bool:
        """Whether both differ in nothing but the addresses of peers."""
        return settings_of(self.document) == settings_of(other.document)


def with_peer_addresses_of(snapshot: GenerationSnapshot, address_source: GenerationSnapshot) -> GenerationSnapshot:
    """Return a generation with its peer addresses replaced by those of `address_source`."""
    old = snapshot.generation
    document = {**snapshot.document, PEERS_SECTION: address_source.document[PEERS_SECTION]}
    config, _ = with_new_peer_addresses(old.config, address_source.generation.config)
    generation = Generation(old.number, config, old.origin, old.created_at_ms)
    return GenerationSnapshot(generation, document, digest_of(document), snapshot.changes)
