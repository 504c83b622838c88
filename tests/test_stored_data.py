"""Data stored by an earlier version is read correctly and written as the same bytes (see tests/data/README.md)."""

import json
from pathlib import Path

import orjson
import structlog
import xxhash

from nickelslip.configuration.generations import digest_of
from nickelslip.configuration.history import (
    MAGIC,
    RECORD_HEADER,
    HistoryEvent,
    HistoryRecord,
    compact,
    decode_file,
    encode_file,
)
from nickelslip.configuration.store import HistoryStore
from nickelslip.startup.crash_loop import StartRecord
from nickelslip.startup.crash_loop_file import CrashLoopFile

DATA = Path(__file__).parent / "data"
HISTORY = (DATA / "history").read_bytes()
DOCUMENT = json.loads((DATA / "document.json").read_text())
DIGEST = (DATA / "document.digest").read_text()
CHANGED_DOCUMENT = {**DOCUMENT, "machine": {**DOCUMENT["machine"], "cores": 3}}
CHANGED_DIGEST = "fe1b7b8c40edf69fc50d35992048f46d"
RECORDS = [
    HistoryRecord(1, HistoryEvent.STARTED, 1, DIGEST, "file", 1764720000000.0, "", DOCUMENT, DIGEST),
    HistoryRecord(
        2, HistoryEvent.APPLIED, 2, CHANGED_DIGEST, "control socket", 1764720001000.25, "", CHANGED_DOCUMENT, DIGEST
    ),
    HistoryRecord(
        3,
        HistoryEvent.CONFIRMED,
        2,
        CHANGED_DIGEST,
        "control socket",
        1764720031000.5,
        "confirmed by an operator",
        CHANGED_DOCUMENT,
        DIGEST,
    ),
    HistoryRecord(4, HistoryEvent.APPLIED, 3, DIGEST, "Müller", 1764720041000.125, "", DOCUMENT, DIGEST),
    HistoryRecord(
        5, HistoryEvent.ROLLED_BACK, 3, DIGEST, "Müller", 1764720042000.0, "half of “payout” is lost", None, DIGEST
    ),
    HistoryRecord(
        6, HistoryEvent.REJECTED, 4, CHANGED_DIGEST, "SIGHUP", 1764720050000.0, "the server leaves", None, DIGEST
    ),
    HistoryRecord(7, HistoryEvent.REJECTED, 5, CHANGED_DIGEST, "SIGHUP", 1764720051000.0),
]


def history_file_of(*bodies):
    """Return a history file with these record bodies, without validating them."""
    return MAGIC + b"".join(RECORD_HEADER.pack(len(body), xxhash.xxh3_64_intdigest(body)) + body for body in bodies)


def test_a_stored_history_is_read_completely_and_written_as_the_same_bytes():
    records, end_offset = decode_file(HISTORY)
    assert records == RECORDS and end_offset == len(HISTORY)
    assert {record.event for record in records} == set(HistoryEvent)
    assert encode_file(records) == encode_file(RECORDS) == HISTORY


def test_a_store_opens_a_stored_history_and_appends_the_same_bytes(tmp_path):
    end_offsets = [len(encode_file(RECORDS[:count])) for count in range(len(RECORDS) + 1)]
    for count, end_offset in enumerate(end_offsets):
        folder = tmp_path / str(count)
        folder.mkdir()
        (folder / "history").write_bytes(HISTORY[:end_offset])
        store = HistoryStore(str(folder), 256.0)
        assert store.records == RECORDS[:count]
        for record in RECORDS[count:]:
            store.append(record)
        store.close()
        assert (folder / "history").read_bytes() == HISTORY


def test_a_stored_history_is_compacted_to_the_same_bytes():
    assert encode_file(compact(decode_file(HISTORY)[0])) == (DATA / "history.compacted").read_bytes()


def test_unknown_keys_are_ignored_and_an_unknown_event_or_a_missing_key_ends_decoding():
    stored = {"at": 7, "event": "refused", "generation": 5, "digest": "d", "origin": "o", "since_ms": 1.0}
    record = HistoryRecord(7, HistoryEvent.REJECTED, 5, "d", "o", 1.0)
    assert decode_file(history_file_of(orjson.dumps({**stored, "later": 1})))[0] == [record]
    assert decode_file(history_file_of(orjson.dumps({**stored, "event": "REFUSED"}))) == ([], len(MAGIC))
    for key in stored:
        assert decode_file(
            history_file_of(orjson.dumps({name: value for name, value in stored.items() if name != key}))
        ) == ([], len(MAGIC))


def test_the_digest_of_a_document_is_the_stored_one():
    assert digest_of(DOCUMENT) == DIGEST == "96833e68fbbf41db6bc43383a9a1622e"
    assert digest_of(CHANGED_DOCUMENT) == CHANGED_DIGEST


def test_a_stored_starts_file_is_read_and_written_as_the_same_bytes(tmp_path):
    log = structlog.get_logger()
    start_record = CrashLoopFile(str(DATA), log).read()
    assert start_record == StartRecord(2, 1764720000123.5, True)
    CrashLoopFile(str(tmp_path), log).write(start_record)
    assert (tmp_path / "starts.json").read_bytes() == (DATA / "starts.json").read_bytes()
