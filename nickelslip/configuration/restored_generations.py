"""What a server takes over from the records of its history at a start, besides the document."""

from __future__ import annotations

from nickelslip.configuration.change_reference import ChangeReference, ChangeReferences
from nickelslip.configuration.document_conversion import config_from
from nickelslip.configuration.document_parts import complete_document
from nickelslip.configuration.generation_snapshot import GenerationSnapshot
from nickelslip.configuration.generations import Generation, digest_of
from nickelslip.configuration.history import CONFIRMING_EVENTS, HistoryRecord, last_confirmed
from nickelslip.configuration.validation import InvalidDocumentError


def changes_at_start(records: list[HistoryRecord], generation: Generation) -> ChangeReferences:
    """Return the changes on which the generation of a start is based.

    Args:
        records: The records of the history, including that of this start.
        generation: The generation with which the server starts.
    """
    confirmed = last_confirmed(records)
    if confirmed is not None and confirmed.generation == generation.number:
        return _references_of(confirmed)
    return (ChangeReference(generation.number, generation.created_at_ms, generation.origin),)


def _references_of(record: HistoryRecord) -> ChangeReferences:
    return record.changes or (ChangeReference(record.generation, record.recorded_at_ms, record.origin),)


def earlier_snapshots(records: list[HistoryRecord], started_number: int) -> list[GenerationSnapshot]:
    """Return the generations that were confirmed before the one with which the server starts, oldest first.

    Documents that are no longer valid are left out.
    """
    snapshots = [
        _snapshot_of(record)
        for record in records
        if record.event in CONFIRMING_EVENTS and record.document is not None and record.generation != started_number
    ]
    return [snapshot for snapshot in snapshots if snapshot is not None]


def _snapshot_of(record: HistoryRecord) -> GenerationSnapshot | None:
    assert record.document is not None
    try:
        document = complete_document(record.document, {}).document
        generation = Generation(record.generation, config_from(document), record.origin, record.recorded_at_ms)
    except InvalidDocumentError:
        return None
    return GenerationSnapshot(generation, document, digest_of(document), _references_of(record))
