"""The file that keeps the record of a server's starts across restarts.

The file never prevents a server from starting. If it cannot be read, the server starts with an empty record; errors of
reading and writing are logged.
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

# The keys of a stored record.
VERSION_KEY = "version"
EARLY_EXITS_KEY = "row"
STARTED_AT_KEY = "begun"
IS_STABLE_KEY = "lasted"


class MalformedStartRecordError(ValueError):
    """The file does not contain a valid record of this version."""


class CrashLoopFile:
    """The start record file of one server.

    Args:
        directory: The directory of the file.
        log: Log for errors of the directory and the file.
    """

    def __init__(self, directory: str, log: Any) -> None:
        self._path = Path(directory) / FILE_NAME
        self._log = log

    def read(self) -> StartRecord:
        """Return the record; an empty one if the file is missing, malformed or of another version."""
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
        """Replace the file atomically, so that a crash during the write leaves the previous file."""
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
    """Return the stored form of a record."""
    return json.dumps(
        {
            VERSION_KEY: VERSION,
            EARLY_EXITS_KEY: record.consecutive_early_exits,
            STARTED_AT_KEY: record.started_at_ms,
            IS_STABLE_KEY: record.is_stable,
        }
    )


def decode_record(data: bytes) -> StartRecord:
    """Decode the stored form of a record.

    Raises:
        MalformedStartRecordError: The record is of another version, or a value is out of range.
        ValueError, KeyError, TypeError, RecursionError: The data is not a JSON object with these keys.
    """
    stored = json.loads(data)
    early_exits = stored[EARLY_EXITS_KEY]
    started_at_ms = stored[STARTED_AT_KEY]
    is_stable = stored[IS_STABLE_KEY]
    if stored[VERSION_KEY] != VERSION:
        raise MalformedStartRecordError(f"the record's version is not {VERSION}")
    if type(early_exits) is not int or early_exits < 0:
        raise MalformedStartRecordError(f"{EARLY_EXITS_KEY} is not a non-negative integer")
    if type(is_stable) is not bool:
        raise MalformedStartRecordError(f"{IS_STABLE_KEY} is not a boolean")
    if not isinstance(started_at_ms, int | float) or not math.isfinite(started_at_ms) or started_at_ms < 0:
        raise MalformedStartRecordError(f"{STARTED_AT_KEY} is not a Unix time in milliseconds")
    return StartRecord(early_exits, float(started_at_ms), is_stable)
