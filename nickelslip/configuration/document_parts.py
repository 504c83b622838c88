"""A part of a document that was sent or stored, checked and completed to a whole document."""

from __future__ import annotations

from typing import Any, NamedTuple

from nickelslip.configuration.document import Document, DocumentChecker
from nickelslip.configuration.document_reader import complete
from nickelslip.configuration.json5_reader import ParsedDocument
from nickelslip.configuration.layers import merge
from nickelslip.configuration.validation import Fault, InvalidDocumentError, has_errors

SOURCE_NAME = "document"  # under which faults are reported


class CompleteDocument(NamedTuple):
    """A valid whole document, and the warnings about it."""

    document: Document
    warnings: list[Fault]


def complete_document(part: dict[str, Any], base: Document) -> CompleteDocument:
    """Return the whole document of a part laid over a base; over an empty one, defaults fill in the rest.

    Raises:
        InvalidDocumentError: The part, or the whole, is not valid.
    """
    checker = DocumentChecker(ParsedDocument(part, SOURCE_NAME))
    found = checker.check()
    if has_errors(checker.faults):
        raise InvalidDocumentError(checker.faults)
    whole, faults = complete(merge(base, found))
    if has_errors(faults):
        raise InvalidDocumentError(faults)
    return CompleteDocument(whole, checker.faults + faults)
