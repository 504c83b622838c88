"""The configuration with which a server that takes changes starts."""

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
    """What a server starts with.

    Attributes:
        config: The configuration.
        file_document: The document in the configuration files.
        start: Where the configuration came from.
        records: The records of the history, with that of this start.
    """

    config: Config
    file_document: Document
    start: StartSelection
    records: list[HistoryRecord]


def select_starting_configuration(
    config: Config, store: HistoryStore | None, now_ms: float, log: Any
) -> StartingConfiguration:
    """Return what a server starts with, given the configuration in its files, and write the record of this start.

    What the history restores is checked like any document; if it is not valid any more, the files are used.

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
