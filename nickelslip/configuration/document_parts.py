"""Checks a part of a document that was sent or stored, and completes it."""

from __future__ import annotations

from typing import Any, NamedTuple

from nickelslip.configuration.document import Document, DocumentChecker
from nickelslip.configuration.document_reader import complete
from nickelslip.configuration.json5_reader import ParsedDocument
from nickelslip.configuration.layers import merge
from nickelslip.configuration.validation import Fault, InvalidDocumentError, has_errors

SOURCE_NAME = "document"  # the source that faults name


class CompleteDocument(NamedTuple):
    """A valid complete document, and the warnings about it."""

    document: Document
    warnings: list[Fault]


def complete_document(part: dict[str, Any], base: Document) -> CompleteDocument:
    """Merge a part over a base document and return the result, completed with the defaults.

    Raises:
        InvalidDocumentError: The part or the complete document is not valid.
    """
    checker = DocumentChecker(ParsedDocument(part, SOURCE_NAME))
    checked_part = checker.check()
    if has_errors(checker.faults):
        raise InvalidDocumentError(checker.faults)
    document, faults = complete(merge(base, checked_part))
    if has_errors(faults):
        raise InvalidDocumentError(faults)
    return CompleteDocument(document, checker.faults + faults)
