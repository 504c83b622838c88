"""Selects the configuration with which a server starts, if its configuration may change while it runs."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, NamedTuple

from nickelslip.configuration.config import Config
from nickelslip.configuration.document import Document
from nickelslip.configuration.document_conversion import config_from, document_of
from nickelslip.configuration.document_parts import complete_document
from nickelslip.configuration.history import HistoryRecord
from nickelslip.configuration.start_selection import StartSelection, select_start, start_from_files
from nickelslip.configuration.store import HistoryStore
from nickelslip.json_fields import MalformedSettingsError


class StartingConfiguration(NamedTuple):
    """The configuration with which a server starts, and the history behind it.

    Attributes:
        config: The configuration.
        file_document: The document in the configuration files.
        start: The selected document, its generation number and its origin.
        records: The records of the history, including that of this start if one was written.
    """

    config: Config
    file_document: Document
    start: StartSelection
    records: list[HistoryRecord]


def select_starting_configuration(
    config: Config, store: HistoryStore | None, now_ms: float, log: Any
) -> StartingConfiguration:
    """Select the starting configuration from the history or the files.

    A document from the history is validated like any other. If it is no longer valid, the files are used. A start from
    the files is recorded in the history, if one is kept; a start from the history is not.

    Args:
        config: The configuration in the files.
        store: Stores the history; None if no history is kept.
        now_ms: The current time in Unix milliseconds.
        log: Log of the server.

    Raises:
        OSError: The record was not written.
    """
    records = list(store.records) if store is not None else []
    file_document = document_of(config)
    start = select_start(records, file_document, now_ms)
    if start.record is None:
        try:
            document = complete_document(start.document, {}).document
            restored = replace(config_from(document), seed=config.seed)
            log.info("configuration_restored", generation=start.number)
            return StartingConfiguration(restored, file_document, replace(start, document=document), records)
        except MalformedSettingsError as error:
            log.error("stored_configuration_rejected", error=str(error))
            start = start_from_files(records, file_document, now_ms)
    if store is not None and start.record is not None:
        store.append(start.record)
        records.append(start.record)
    return StartingConfiguration(config, file_document, start, records)
