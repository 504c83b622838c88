"""Writes the records of configuration changes to the history, in order, without blocking the event loop."""

from __future__ import annotations

from typing import Any

import anyio.to_thread

from nickelslip.configuration.history import HistoryRecord
from nickelslip.configuration.store import HistoryStore


class HistoryWriter:
    """Writes records to a store; without a store the history is in memory only.

    Args:
        store: Where records are written.
        log: The server's log.

    Attributes:
        store: Where records are written.
        unwritten: Records of what has happened that could not be written yet, in order.
    """

    def __init__(self, store: HistoryStore | None, log: Any) -> None:
        self.store = store
        self.unwritten: list[HistoryRecord] = []
        self._log = log

    async def write(self, record: HistoryRecord) -> None:
        """Write a record of what is about to happen.

        Raises:
            OSError: It was not written.
        """
        if self.store is not None:
            await anyio.to_thread.run_sync(self.store.append, record)

    async def write_or_queue(self, record: HistoryRecord) -> None:
        """Write a record of what has happened; if that fails it is kept, to be written by a later `flush`."""
        self.unwritten.append(record)
        await self.flush()

    async def flush(self) -> None:
        """Write the unwritten records in order, up to the first that fails."""
        while self.unwritten:
            try:
                await self.write(self.unwritten[0])
            except OSError as error:
                self._log.error("history_write_failed", error=error.strerror, unwritten_records=len(self.unwritten))
                return
            del self.unwritten[0]
