"""Byte format of the configuration history, and the selection of the records to restore or to keep.

The file begins with a magic line. Each record is a header (body length, 4 bytes, and the XXH3-64 of the body, 8 bytes,
both big-endian) and a body in JSON. Decoding stops at the first record that is truncated, fails its checksum, has
invalid contents, or whose sequence number is not higher than that of the record before it. The records before it are
valid. This module does no I/O.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any, NamedTuple

import orjson

from nickelslip.configuration.change_reference import ChangeReferences, decode_references
from nickelslip.configuration.generations import settings_of

MAGIC = b"nickelslip history 1\n"
RECORD_HEADER = struct.Struct(">IQ")
MAX_RECORD_BYTES = 1 << 20
COMPACTED_RECORD_COUNT = 64


class HistoryEvent(Enum):
    """The event of a generation that a record reports."""

    APPLIED = "applied"  # not confirmed yet, so not restored at a start
    CONFIRMED = "confirmed"
    ROLLED_BACK = "rolled back"
    REJECTED = "refused"
    STARTED = "started"  # a start from files that are not in the history; counts as confirmed


# Stored event names. They, the keys of the body and the order of the keys must not change when the code is renamed.
STORED_EVENTS = {
    HistoryEvent.APPLIED: "applied",
    HistoryEvent.CONFIRMED: "confirmed",
    HistoryEvent.ROLLED_BACK: "rolled back",
    HistoryEvent.REJECTED: "refused",
    HistoryEvent.STARTED: "started",
}
EVENTS_BY_STORED_WORD = {word: event for event, word in STORED_EVENTS.items()}
CONFIRMING_EVENTS = (HistoryEvent.CONFIRMED, HistoryEvent.STARTED)


class RecordTooLargeError(ValueError):
    """The body of a record exceeds MAX_RECORD_BYTES."""


@dataclass(frozen=True)
class HistoryRecord:
    """One event of one generation.

    Attributes:
        sequence_number: Rises from record to record, starting at 1; kept when the file is compacted.
        event: The event.
        generation: Number of the generation; 0 if the change had none yet.
        digest: Digest of the generation's document.
        origin: Where the document came from.
        recorded_at_ms: Unix time of the event.
        reason: Why it happened.
        document: The complete document, if the generation may be restored at a start.
        file_digest: Digest of the document in the configuration files at that time. If the files differ from it at a
            start, they take precedence over the history.
        changes: The changes on which the document is based; empty if they were not recorded.
    """

    sequence_number: int
    event: HistoryEvent
    generation: int
    digest: str
    origin: str
    recorded_at_ms: float
    reason: str = ""
    document: dict[str, Any] | None = None
    file_digest: str = ""
    changes: ChangeReferences = ()


class DecodedHistory(NamedTuple):
    """The valid records of a file, and the offset at which the next record is to be written."""

    records: list[HistoryRecord]
    end_offset: int


class _DecodedRecord(NamedTuple):
    """A valid record and the offset of its end."""

    record: HistoryRecord
    end_offset: int


def _stored_from_record(record: HistoryRecord) -> dict[str, Any]:
    """Return the JSON object to store for a record."""
    stored: dict[str, Any] = {
        "at": record.sequence_number,
        "event": STORED_EVENTS[record.event],
        "generation": record.generation,
        "digest": record.digest,
        "origin": record.origin,
        "since_ms": record.recorded_at_ms,
        "reason": record.reason,
        "document": record.document,
        "base": record.file_digest,
    }
    if record.changes:
        stored["changes"] = [change.as_dict() for change in record.changes]
    return stored


def _record_from_stored(stored: dict[str, Any]) -> HistoryRecord:
    """Return the record of a stored JSON object, ignoring keys that this version does not know.

    Raises:
        KeyError: A required key is missing, or the event is unknown.
        TypeError: The body is not a JSON object.
    """
    return HistoryRecord(
        sequence_number=stored["at"],
        event=EVENTS_BY_STORED_WORD[stored["event"]],
        generation=stored["generation"],
        digest=stored["digest"],
        origin=stored["origin"],
        recorded_at_ms=stored["since_ms"],
        reason=stored.get("reason", ""),
        document=stored.get("document"),
        file_digest=stored.get("base", ""),
        changes=decode_references(stored.get("changes", ())),
    )


def encode_record(record: HistoryRecord) -> bytes:
    """Return the bytes of one record.

    Raises:
        RecordTooLargeError: The body exceeds MAX_RECORD_BYTES.
    """
    import xxhash  # an optional dependency, only needed if changes are enabled

    body = orjson.dumps(_stored_from_record(record))
    if len(body) > MAX_RECORD_BYTES:
        raise RecordTooLargeError(f"a history record of {len(body)} bytes exceeds {MAX_RECORD_BYTES} bytes")
    return RECORD_HEADER.pack(len(body), xxhash.xxh3_64_intdigest(body)) + body


def encode_file(records: Iterable[HistoryRecord]) -> bytes:
    """Return the bytes of a file with exactly these records."""
    return MAGIC + b"".join(map(encode_record, records))


def decode_file(data: bytes) -> DecodedHistory:
    """Return the valid records of a file, in order.

    A file without the magic line of this version yields no records and an end offset of 0: it must be rewritten.
    """
    if not data.startswith(MAGIC):
        return DecodedHistory([], 0)
    records: list[HistoryRecord] = []
    end_offset = len(MAGIC)
    while (decoded := _decode_record(data, end_offset)) is not None:
        if records and decoded.record.sequence_number <= records[-1].sequence_number:
            break
        records.append(decoded.record)
        end_offset = decoded.end_offset
    return DecodedHistory(records, end_offset)


def _decode_record(data: bytes, offset: int) -> _DecodedRecord | None:
    """Return the record at an offset, or None if there is no valid one."""
    import xxhash

    body_offset = offset + RECORD_HEADER.size
    if body_offset > len(data):
        return None
    length, checksum = RECORD_HEADER.unpack_from(data, offset)
    end_offset = body_offset + length
    if length > MAX_RECORD_BYTES or end_offset > len(data):
        return None
    body = data[body_offset:end_offset]
    if xxhash.xxh3_64_intdigest(body) != checksum:
        return None
    try:
        return _DecodedRecord(_record_from_stored(orjson.loads(body)), end_offset)
    except (ValueError, TypeError, KeyError):
        return None


def last_confirmed(records: list[HistoryRecord]) -> HistoryRecord | None:
    """Return the last record that confirmed a generation and has its document."""
    for record in reversed(records):
        if record.event in CONFIRMING_EVENTS and record.document:
            return record
    return None


def _last_confirmed_with_other_settings(records: list[HistoryRecord], current: HistoryRecord) -> HistoryRecord | None:
    """Return the last confirming record before `current` whose document differs in more than peer addresses."""
    assert current.document is not None
    settings = settings_of(current.document)
    for record in reversed(records[: records.index(current)]):
        if record.event in CONFIRMING_EVENTS and record.document and settings_of(record.document) != settings:
            return record
    return None


def compact(records: list[HistoryRecord]) -> list[HistoryRecord]:
    """Return the records that a compacted file keeps.

    These are the latest COMPACTED_RECORD_COUNT records, and always those of the last confirmed generation and of the
    one confirmed before it with other settings, to which an operator may return. Only these two records keep their
    documents.
    """
    current = last_confirmed(records)
    previous = _last_confirmed_with_other_settings(records, current) if current else None
    restorable = [record for record in (previous, current) if record is not None]
    latest = records[-COMPACTED_RECORD_COUNT:]
    kept = [record for record in restorable if record not in latest] + latest
    kept.sort(key=lambda record: record.sequence_number)
    return [record if record in restorable else replace(record, document=None) for record in kept]
