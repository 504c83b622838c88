"""A part of a document that was sent or stored, checked and completed to a whole document."""

from __future__ import annotations

from typing import Any, NamedTuple

from nickelslip.configuration.document import Checker, Document, checked
from nickelslip.configuration.json5_reader import Read
from nickelslip.configuration.layers import merged
from nickelslip.configuration.validation import Fault, InvalidDocumentError, errors_of

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
    checker = Checker(Read(part, SOURCE_NAME))
    found = checker.part()
    if errors_of(checker.faults):
        raise InvalidDocumentError(checker.faults)
    whole, faults = checked(merged(base, found))
    if errors_of(faults):
        raise InvalidDocumentError(faults)
    return CompleteDocument(whole, checker.faults + faults)
