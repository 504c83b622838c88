"""The history records of this process: creates them in sequence and keeps the latest in memory."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from nickelslip.configuration.change_lifecycle import ConfigurationChange
from nickelslip.configuration.change_reference import ChangeReferences
from nickelslip.configuration.document import Document
from nickelslip.configuration.generation_snapshot import GenerationSnapshot
from nickelslip.configuration.history import HistoryEvent, HistoryRecord

MAX_RECORDS_IN_MEMORY = 256


class ChangeRecords:
    """Creates records and keeps the latest.

    Args:
        records: The records read from the history.
        file_digest: The digest of the document in the configuration files.

    Attributes:
        file_digest: The digest of the document in the configuration files, stored with each new record.
        latest: The latest records, oldest first.
    """

    def __init__(self, records: Sequence[HistoryRecord], file_digest: str) -> None:
        self.file_digest = file_digest
        self.latest: deque[HistoryRecord] = deque(records, MAX_RECORDS_IN_MEMORY)
        self._last_sequence_number = records[-1].sequence_number if records else 0

    def add_change(
        self,
        event: HistoryEvent,
        change: ConfigurationChange,
        now_ms: float,
        reason: str = "",
        document: Document | None = None,
    ) -> HistoryRecord:
        """Create the record of an event of a change, add it and return it for writing."""
        return self.add(
            event,
            generation=change.generation.number if change.generation else 0,
            digest=change.digest,
            origin=change.origin,
            now_ms=now_ms,
            reason=reason,
            document=document,
            changes=change.references if document is not None else (),
        )

    def add_moved_peers(self, confirmed: GenerationSnapshot, origin: str, now_ms: float) -> HistoryRecord:
        """Create the record of the confirmed generation with new peer addresses, add it and return it for writing."""
        return self.add(
            HistoryEvent.CONFIRMED,
            generation=confirmed.generation.number,
            digest=confirmed.digest,
            origin=origin,
            now_ms=now_ms,
            reason="peers moved",
            document=confirmed.document,
            changes=confirmed.changes,
        )

    def add(
        self,
        event: HistoryEvent,
        *,
        generation: int,
        digest: str,
        origin: str,
        now_ms: float,
        reason: str,
        document: Document | None,
        changes: ChangeReferences = (),
    ) -> HistoryRecord:
        """Create a record, add it and return it for writing."""
        self._last_sequence_number += 1
        record = HistoryRecord(
            sequence_number=self._last_sequence_number,
            event=event,
            generation=generation,
            digest=digest,
            origin=origin,
            recorded_at_ms=now_ms,
            reason=reason,
            document=document,
            file_digest=self.file_digest,
            changes=changes,
        )
        self.latest.append(record)
        return record
