"""The configuration history as a file in a folder, which one server at a time holds locked.

A record counts once it has been written and flushed to the disk. A file that outgrows its limit is replaced by a
compacted one in a single rename, so that a crash at any point loses no record that counts. All calls block on the
disk: an event loop runs them in a thread.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from nickelslip.configuration.history import HistoryRecord, compact, decode_file, encode_file, encode_record

HISTORY_NAME = "history"
REPLACEMENT_NAME = "history.fresh"
LOCK_NAME = "lock"
FOLDER_MODE = 0o700
FILE_MODE = 0o600
BYTES_PER_KB = 1024
READ_ALLOWANCE_BYTES = 4 << 20  # read beyond the limit, which may have been higher at the last start


@contextmanager
def _open_descriptor(path: Path, flags: int) -> Iterator[int]:
    """Open a file, and close it at the end of the context."""
    descriptor = os.open(path, flags | os.O_CLOEXEC, FILE_MODE)
    try:
        yield descriptor
    finally:
        os.close(descriptor)


class HistoryStore:
    """The history in one folder, locked from construction until `close`.

    Args:
        folder: Where the history is; created if it does not exist.
        max_kb: Size of the file above which it is compacted.

    Attributes:
        records: The records in the file, in order.

    Raises:
        OSError: The folder cannot be used, or another server holds it.
    """

    def __init__(self, folder: str, max_kb: float) -> None:
        self._folder = Path(folder)
        self._max_bytes = int(max_kb * BYTES_PER_KB)
        self._folder.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
        self._lock = self._acquire_lock()
        self.records: list[HistoryRecord] = []
        self._size = 0
        self._load()

    def _acquire_lock(self) -> int:
        """Lock the folder; return the descriptor that holds the lock."""
        descriptor = os.open(self._folder / LOCK_NAME, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        return descriptor

    def _load(self) -> None:
        """Read the file, and cut off what a crash left behind its last valid record."""
        path = self._folder / HISTORY_NAME
        (self._folder / REPLACEMENT_NAME).unlink(missing_ok=True)  # left by a crash before the rename
        data = b""
        if path.exists():
            with path.open("rb") as file:
                data = file.read(self._max_bytes + READ_ALLOWANCE_BYTES)
        self.records, end_offset = decode_file(data)
        if not end_offset:
            self._replace_file(self.records)
            return
        self._size = end_offset
        if len(data) > end_offset:
            os.truncate(path, end_offset)

    def append(self, record: HistoryRecord) -> None:
        """Write one record; it is durable when this returns.

        Raises:
            OSError: The record was not written; what reached the file of it is cut off before the next one.
        """
        data = encode_record(record)
        if self._size + len(data) > self._max_bytes:
            self._replace_file(compact([*self.records, record]))
            return
        with _open_descriptor(self._folder / HISTORY_NAME, os.O_WRONLY) as descriptor:
            os.ftruncate(descriptor, self._size)
            written = 0
            while written < len(data):
                written += os.pwrite(descriptor, data[written:], self._size + written)
            os.fsync(descriptor)
        self._size += len(data)
        self.records.append(record)

    def _replace_file(self, records: list[HistoryRecord]) -> None:
        """Replace the file by one with exactly these records."""
        data = encode_file(records)
        replacement = self._folder / REPLACEMENT_NAME
        with _open_descriptor(replacement, os.O_WRONLY | os.O_CREAT | os.O_TRUNC) as descriptor:
            written = 0
            while written < len(data):
                written += os.write(descriptor, data[written:])
            os.fsync(descriptor)
        os.replace(replacement, self._folder / HISTORY_NAME)
        with _open_descriptor(self._folder, os.O_RDONLY | os.O_DIRECTORY) as descriptor:
            os.fsync(descriptor)
        self._size = len(data)
        self.records = records

    def close(self) -> None:
        """Release the folder."""
        os.close(self._lock)
