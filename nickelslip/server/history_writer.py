"""Writes the records of configuration changes to the history, in order, without blocking the event loop."""

from __future__ import annotations

from typing import Any

import anyio.to_thread

from nickelslip.configuration.history import HistoryRecord
from nickelslip.configuration.store import HistoryStore


class HistoryWriter:
    """Writes records to a store; without a store the history is kept only in memory.

    Args:
        store: Stores the records; None for no store.
        log: Log of the server.

    Attributes:
        store: Stores the records; None for no store.
        unwritten: Records of past events that could not be written yet, in order.
    """

    def __init__(self, store: HistoryStore | None, log: Any) -> None:
        self.store = store
        self.unwritten: list[HistoryRecord] = []
        self._log = log

    async def write(self, record: HistoryRecord) -> None:
        """Write the record of an event that is about to happen.

        Raises:
            OSError: The record was not written.
        """
        if self.store is not None:
            await anyio.to_thread.run_sync(self.store.append, record)

    async def write_or_queue(self, record: HistoryRecord) -> None:
        """Write the record of an event that has happened; if that fails, keep it for a later `flush`."""
        self.unwritten.append(record)
        await self.flush()

    async def flush(self) -> None:
        """Write the unwritten records in order, until a write fails."""
        while self.unwritten:
            try:
                await self.write(self.unwritten[0])
            except OSError as error:
                self._log.error("history_write_failed", error=error.strerror, unwritten_records=len(self.unwritten))
                return
            del self.unwritten[0]
