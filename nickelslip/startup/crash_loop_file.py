"""The file in which the record of a server's starts outlives it.

It never keeps a server from starting: a directory that cannot be written, or a file that cannot be read, counts as no
record and is logged.
"""

from __future__ import annotations

import json
import math
import os
from pathlib import Path
from typing import Any

from nickelslip.startup.crash_loop import StartRecord

FILE_NAME = "starts.json"
MAX_FILE_BYTES = 1024
VERSION = 1
MAX_LOGGED_ERROR_CHARACTERS = 200

# The names under which a record is stored.
VERSION_KEY = "version"
EARLY_EXITS_KEY = "row"
STARTED_AT_KEY = "begun"
IS_STABLE_KEY = "lasted"


class MalformedStartRecordError(ValueError):
    """A file that holds no record of this version."""


class CrashLoopFile:
    """The file of one server.

    Args:
        directory: Where the file is, or will be.
        log: Where faults of the directory and the file go.
    """

    def __init__(self, directory: str, log: Any) -> None:
        self._path = Path(directory) / FILE_NAME
        self._log = log

    def read(self) -> StartRecord:
        """Return the record; an empty one where the file is missing, faulty or of another version."""
        try:
            with self._path.open("rb") as file:
                return decode_record(file.read(MAX_FILE_BYTES))
        except FileNotFoundError:
            return StartRecord()
        except (OSError, ValueError, KeyError, TypeError, RecursionError) as error:
            detail = repr(error)[:MAX_LOGGED_ERROR_CHARACTERS]
            self._log.warning("crash_loop_state_unreadable", file=str(self._path), error=detail)
            return StartRecord()

    def write(self, record: StartRecord) -> None:
        """Replace the file as a whole, so that a crash meanwhile leaves the file before it."""
        new_path = self._path.with_suffix(".new")
        try:
            with new_path.open("w") as file:
                file.write(encode_record(record))
                file.flush()
                os.fsync(file.fileno())
            new_path.rename(self._path)
        except OSError as error:
            self._log.warning("crash_loop_state_write_failed", file=str(self._path), error=error.strerror)


def encode_record(record: StartRecord) -> str:
    """Return the record as it is stored."""
    return json.dumps(
        {
            VERSION_KEY: VERSION,
            EARLY_EXITS_KEY: record.consecutive_early_exits,
            STARTED_AT_KEY: record.started_at_ms,
            IS_STABLE_KEY: record.is_stable,
        }
    )


def decode_record(data: bytes) -> StartRecord:
    """Return the stored record.

    Raises:
        MalformedStartRecordError: It is of another version, or a value is out of range.
        ValueError, KeyError, TypeError, RecursionError: It is no JSON object with these keys.
    """
    stored = json.loads(data)
    early_exits = stored[EARLY_EXITS_KEY]
    started_at_ms = stored[STARTED_AT_KEY]
    is_stable = stored[IS_STABLE_KEY]
    if stored[VERSION_KEY] != VERSION:
        raise MalformedStartRecordError(f"not of version {VERSION}")
    if type(early_exits) is not int or early_exits < 0:
        raise MalformedStartRecordError(f"{EARLY_EXITS_KEY} is no count")
    if type(is_stable) is not bool:
        raise MalformedStartRecordError(f"{IS_STABLE_KEY} is neither true nor false")
    if not isinstance(started_at_ms, int | float) or not math.isfinite(started_at_ms) or started_at_ms < 0:
        raise MalformedStartRecordError(f"{STARTED_AT_KEY} is no Unix time in milliseconds")
    return StartRecord(early_exits, float(started_at_ms), is_stable)
