"""The configuration history as a file in a folder that is locked by one server at a time.

A record is durable once it has been written and flushed to disk. A file that would exceed its size limit is replaced
with a compacted one by a single rename, so a crash at any point loses no durable record. All calls block on disk I/O,
so an event loop must run them in a thread.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from nickelslip.configuration.history import HistoryRecord, compact, decode_file, encode_file, encode_record

HISTORY_FILE_NAME = "history"
REPLACEMENT_FILE_NAME = "history.fresh"
LOCK_FILE_NAME = "lock"
FOLDER_MODE = 0o700
FILE_MODE = 0o600
BYTES_PER_KB = 1024
READ_ALLOWANCE_BYTES = 4 << 20  # read beyond the size limit, which may have been higher at the previous start


@contextmanager
def _open_descriptor(path: Path, flags: int) -> Iterator[int]:
    """Open a file, and close it when the context ends."""
    descriptor = os.open(path, flags | os.O_CLOEXEC, FILE_MODE)
    try:
        yield descriptor
    finally:
        os.close(descriptor)


class HistoryStore:
    """The history in one folder, which is locked from construction until `close`.

    Args:
        folder: The folder of the history; created if it does not exist.
        max_kb: File size above which the history is compacted.

    Attributes:
        records: The records in the file, in order.

    Raises:
        OSError: The folder is not usable, or another server has locked it.
    """

    def __init__(self, folder: str, max_kb: float) -> None:
        self._folder = Path(folder)
        self._max_bytes = int(max_kb * BYTES_PER_KB)
        self._folder.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
        self._lock_descriptor = self._acquire_lock()
        self.records: list[HistoryRecord] = []
        self._size = 0
        self._load()

    def _acquire_lock(self) -> int:
        """Lock the folder and return the descriptor that holds the lock."""
        descriptor = os.open(self._folder / LOCK_FILE_NAME, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        return descriptor

    def _load(self) -> None:
        """Read the file and truncate it after its last valid record, where a crash may have left a partial one."""
        path = self._folder / HISTORY_FILE_NAME
        (self._folder / REPLACEMENT_FILE_NAME).unlink(missing_ok=True)  # left by a crash before the rename
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
        """Write one record, which is durable when this method returns.

        Raises:
            OSError: The record was not written. A partial record in the file is truncated before the next write.
        """
        data = encode_record(record)
        if self._size + len(data) > self._max_bytes:
            self._replace_file(compact([*self.records, record]))
            return
        with _open_descriptor(self._folder / HISTORY_FILE_NAME, os.O_WRONLY) as descriptor:
            os.ftruncate(descriptor, self._size)
            written = 0
            while written < len(data):
                written += os.pwrite(descriptor, data[written:], self._size + written)
            os.fsync(descriptor)
        self._size += len(data)
        self.records.append(record)

    def _replace_file(self, records: list[HistoryRecord]) -> None:
        """Replace the file with one that contains exactly these records."""
        data = encode_file(records)
        replacement = self._folder / REPLACEMENT_FILE_NAME
        with _open_descriptor(replacement, os.O_WRONLY | os.O_CREAT | os.O_TRUNC) as descriptor:
            written = 0
            while written < len(data):
                written += os.write(descriptor, data[written:])
            os.fsync(descriptor)
        os.replace(replacement, self._folder / HISTORY_FILE_NAME)
        with _open_descriptor(self._folder, os.O_RDONLY | os.O_DIRECTORY) as descriptor:
            os.fsync(descriptor)
        self._size = len(data)
        self.records = records

    def close(self) -> None:
        """Unlock the folder."""
        os.close(self._lock_descriptor)
