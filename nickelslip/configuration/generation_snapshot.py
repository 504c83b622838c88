"""A generation together with the document it was created from."""

from __future__ import annotations

from dataclasses import dataclass

from nickelslip.configuration.config import with_new_peer_addresses
from nickelslip.configuration.document import Document
from nickelslip.configuration.generations import Generation, digest_of


@dataclass(frozen=True)
class GenerationSnapshot:
    """A generation with the document it was created from."""

    generation: Generation
    document: Document
    digest: str


def with_peer_addresses_of(snapshot: GenerationSnapshot, address_source: GenerationSnapshot) -> GenerationSnapshot:
    """Return a generation with its peer addresses replaced by those of `address_source`."""
    old = snapshot.generation
    document = {**snapshot.document, "peers": address_source.document["peers"]}
    config, _ = with_new_peer_addresses(old.config, address_source.generation.config)
    generation = Generation(old.number, config, old.origin, old.created_at_ms)
    return GenerationSnapshot(generation, document, digest_of(document))
