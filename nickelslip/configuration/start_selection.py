"""Selects the configuration with which a server starts: that of its files or the last confirmed one in the history."""

from __future__ import annotations

from dataclasses import dataclass

from nickelslip.configuration.document import Document
from nickelslip.configuration.generations import digest_of
from nickelslip.configuration.history import STORED_EVENTS, HistoryEvent, HistoryRecord, last_confirmed

FAILED_EVENTS = (HistoryEvent.APPLIED, HistoryEvent.ROLLED_BACK, HistoryEvent.REJECTED)


@dataclass(frozen=True)
class StartSelection:
    """The document and the generation number with which a server starts.

    Attributes:
        document: The complete document.
        number: The number of its generation.
        origin: Where the document came from.
        record: The record to write for this start; None if the history already contains the generation.
    """

    document: Document
    number: int
    origin: str
    record: HistoryRecord | None


def select_start(records: list[HistoryRecord], file_document: Document, now_ms: float) -> StartSelection:
    """Select the document with which a server starts.

    The last confirmed generation is restored if the files have not changed since its confirmation. Files that differ
    are newer and take precedence. However, if the last change to the files' document was rolled back, rejected or never
    confirmed, the last confirmed generation is restored instead. Without a confirmed generation, the files are used.
    """
    confirmed = last_confirmed(records)
    if confirmed is None or confirmed.document is None:
        return start_from_files(records, file_document, now_ms)
    file_digest = digest_of(file_document)
    if confirmed.file_digest != file_digest and not _last_change_failed(records, file_digest):
        return start_from_files(records, file_document, now_ms)
    origin = f"history, {STORED_EVENTS[confirmed.event]}"
    return StartSelection(confirmed.document, confirmed.generation, origin, None)


def start_from_files(records: list[HistoryRecord], file_document: Document, now_ms: float) -> StartSelection:
    """Select the document in the files, as a new generation numbered after all those in the history."""
    digest = digest_of(file_document)
    number = max((record.generation for record in records), default=0) + 1
    started = HistoryRecord(
        sequence_number=records[-1].sequence_number + 1 if records else 1,
        event=HistoryEvent.STARTED,
        generation=number,
        digest=digest,
        origin="file",
        recorded_at_ms=now_ms,
        document=file_document,
        file_digest=digest,
    )
    return StartSelection(file_document, number, "file", started)


def _last_change_failed(records: list[HistoryRecord], digest: str) -> bool:
    """Return whether the last record of a document shows that it was not confirmed."""
    for record in reversed(records):
        if record.digest == digest:
            return record.event in FAILED_EVENTS
    return False
