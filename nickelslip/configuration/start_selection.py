"""Which configuration a server starts with: that of its files, or the last confirmed one of the history."""

from __future__ import annotations

from dataclasses import dataclass

from nickelslip.configuration.document import Document
from nickelslip.configuration.generations import digest_of
from nickelslip.configuration.history import STORED_EVENTS, HistoryEvent, HistoryRecord, last_confirmed

FAILED_EVENTS = (HistoryEvent.APPLIED, HistoryEvent.ROLLED_BACK, HistoryEvent.REJECTED)


@dataclass(frozen=True)
class StartSelection:
    """What a server starts with.

    Attributes:
        document: The whole document.
        number: The number of its generation.
        origin: Where it came from.
        record: The record to write for this start; None where the history already has it.
    """

    document: Document
    number: int
    origin: str
    record: HistoryRecord | None


def select_start(records: list[HistoryRecord], file_document: Document, now_ms: float) -> StartSelection:
    """Return what a server starts with.

    The last confirmed generation is restored as long as the files are those it was confirmed over: other files are
    newer, and take precedence. A document that was rolled back, or applied and never confirmed, is not started with,
    even if the files contain it.
    """
    confirmed = last_confirmed(records)
    if confirmed is None or confirmed.document is None:
        return start_from_files(records, file_document, now_ms)
    file_digest = digest_of(file_document)
    if confirmed.file_digest != file_digest and not _failed_last(records, file_digest):
        return start_from_files(records, file_document, now_ms)
    origin = f"history, {STORED_EVENTS[confirmed.event]}"
    return StartSelection(confirmed.document, confirmed.generation, origin, None)


def start_from_files(records: list[HistoryRecord], file_document: Document, now_ms: float) -> StartSelection:
    """Return a start from the files, as a new generation behind all those of the history."""
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


def _failed_last(records: list[HistoryRecord], digest: str) -> bool:
    """Whether the last record of a document says that it was not confirmed."""
    for record in reversed(records):
        if record.digest == digest:
            return record.event in FAILED_EVENTS
    return False
