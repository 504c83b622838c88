"""The history of generations as bytes: whole records, each with its checksum, or nothing.

Owns the form of a record and of the file, and what a file means at the next start. It does no I/O. A record that was
cut short, or changed by a byte, ends the reading: what stands before it is whole, and nothing behind it is believed.

The file begins with a magic line. Each record is its length (4 bytes), the XXH3 of its body (8 bytes) and the body,
JSON. A body names its own number in the order of the file, so that a record from another place is no record here.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

import orjson

MAGIC = b"nickelslip history 1\n"
HEAD = struct.Struct(">IQ")
RECORD_MOST = 1 << 20
KEPT_MOST = 64  # records that a file written anew keeps beside what is in force


class Event(Enum):
    """What a record tells."""

    APPLIED = "applied"  # on probation: no longer in force after a restart
    CONFIRMED = "confirmed"
    ROLLED_BACK = "rolled back"
    REFUSED = "refused"
    STARTED = "started"  # a start with a file that the history did not know: confirmed by being started with


# The words and names of the file stay when a name in the code changes, and so does their order, which is the order
# in which they are written.
STORED_EVENTS = {
    Event.APPLIED: "applied",
    Event.CONFIRMED: "confirmed",
    Event.ROLLED_BACK: "rolled back",
    Event.REFUSED: "refused",
    Event.STARTED: "started",
}
EVENTS_BY_STORED = {stored: event for event, stored in STORED_EVENTS.items()}
IN_FORCE = (Event.CONFIRMED, Event.STARTED)


@dataclass(frozen=True)
class Record:
    """One step of one generation."""

    at: int  # its number in the file, from 1 up, kept when the file is written anew
    event: Event
    generation: int
    digest: str
    origin: str
    since_ms: float
    reason: str = ""
    document: dict[str, Any] | None = None  # whole; with what may be in force at a next start
    base: str = ""  # the digest of the file's document at the start: another file wins over the history


def _stored_from(record: Record) -> dict[str, Any]:
    """Return a record as the object that is stored."""
    return {
        "at": record.at,
        "event": STORED_EVENTS[record.event],
        "generation": record.generation,
        "digest": record.digest,
        "origin": record.origin,
        "since_ms": record.since_ms,
        "reason": record.reason,
        "document": record.document,
        "base": record.base,
    }


def _record_from(stored: dict[str, Any]) -> Record:
    """Return the record of a stored object; names that this version does not know are passed over.

    Raises:
        KeyError: a name is missing, or the event is not known.
        TypeError: it is no object.
    """
    return Record(
        at=stored["at"],
        event=EVENTS_BY_STORED[stored["event"]],
        generation=stored["generation"],
        digest=stored["digest"],
        origin=stored["origin"],
        since_ms=stored["since_ms"],
        reason=stored.get("reason", ""),
        document=stored.get("document"),
        base=stored.get("base", ""),
    )


def encoded(record: Record) -> bytes:
    """One record as it stands in the file."""
    import xxhash

    body = orjson.dumps(_stored_from(record))
    if len(body) > RECORD_MOST:
        raise ValueError(f"a record over {RECORD_MOST} bytes")
    return HEAD.pack(len(body), xxhash.xxh3_64_intdigest(body)) + body


def whole_file(records: Iterable[Record]) -> bytes:
    """A file with these records and no others."""
    return MAGIC + b"".join(map(encoded, records))


def scanned(data: bytes) -> tuple[list[Record], int]:
    """The whole records of a file, in order, and up to which byte they reach: there the next one is written. A file
    with no magic line of this version holds none, and reaches to 0: it is begun anew."""
    import xxhash

    if not data.startswith(MAGIC):
        return [], 0
    records: list[Record] = []
    upto = len(MAGIC)
    while upto + HEAD.size <= len(data):
        length, checksum = HEAD.unpack_from(data, upto)
        end = upto + HEAD.size + length
        body = data[upto + HEAD.size : end]
        if length > RECORD_MOST or end > len(data) or xxhash.xxh3_64_intdigest(body) != checksum:
            break
        try:
            record = _record_from(orjson.loads(body))
        except (ValueError, TypeError, KeyError):
            break
        if records and record.at <= records[-1].at:
            break  # not written behind the one before
        records.append(record)
        upto = end
    return records, upto


def in_force(records: list[Record]) -> Record | None:
    """The last generation that was confirmed, or with which a server was started."""
    return next((each for each in reversed(records) if each.event in IN_FORCE and each.document), None)


def compacted(records: list[Record]) -> list[Record]:
    """What a file written anew keeps: the latest records, without the documents that cannot be in force again but the
    one to which an operator would go back; and the one in force, in any case."""
    force = in_force(records)
    earlier = in_force(records[: records.index(force)]) if force else None
    kept = [each for each in (earlier, force) if each is not None and each not in records[-KEPT_MOST:]]
    out: list[Record] = []
    for each in sorted([*kept, *records[-KEPT_MOST:]], key=lambda record: record.at):
        bare = each in (force, earlier) or each.document is None
        out.append(each if bare else replace(each, document=None))
    return out
