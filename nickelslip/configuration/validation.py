"""Faults of a configuration document: what is wrong, where, and whether the document may still be used.

Every stage of reading collects all of its faults instead of raising the first one, so that an operator can correct them
all at once.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from nickelslip.json_fields import MalformedSettingsError

Path = tuple[str, ...]
MAX_DOCUMENT_BYTES = 512 * 1024
MAX_FAULTS = 100  # reported for one document; further ones are only counted
MAX_FAULTS_IN_MESSAGE = 3


class Severity(Enum):
    """Whether a document with this fault may be used."""

    FAULT = "fault"
    WARNING = "warning"


class Fault(NamedTuple):
    """One fault or warning about a document.

    Attributes:
        path: Path of the key in the document; empty for the whole document.
        text: What is wrong.
        source: File or environment variable that the value comes from.
        line: Line, counted from 1; 0 if unknown.
        column: Column, counted from 1; 0 if unknown.
        severity: Whether the fault prevents the use of the document.
    """

    path: Path
    text: str
    source: str = ""
    line: int = 0
    column: int = 0
    severity: Severity = Severity.FAULT

    def __str__(self) -> str:
        location = f"{self.source}:{self.line}:{self.column}" if self.line else self.source
        return ": ".join(part for part in (location, ".".join(self.path), self.text) if part)

    def as_dict(self) -> dict[str, object]:
        """Return the fault as a JSON object for clients, which depend on its keys."""
        return {
            "path": ".".join(self.path),
            "text": self.text,
            "source": self.source,
            "line": self.line,
            "column": self.column,
            "gravity": self.severity.value,
        }


class InvalidDocumentError(MalformedSettingsError):
    """A document has faults that prevent its use.

    Args:
        faults: All faults of the document, including warnings.

    Attributes:
        faults: The first ``MAX_FAULTS`` faults.
        omitted_count: Number of further faults.
    """

    def __init__(self, faults: list[Fault]) -> None:
        self.faults = faults[:MAX_FAULTS]
        self.omitted_count = max(0, len(faults) - MAX_FAULTS)
        errors = [fault for fault in self.faults if fault.severity is Severity.FAULT] or self.faults
        super().__init__("; ".join(map(str, errors[:MAX_FAULTS_IN_MESSAGE])) or "faulty")


def has_errors(faults: list[Fault]) -> bool:
    """Return whether one of the faults prevents the use of the document."""
    return any(fault.severity is Severity.FAULT for fault in faults)
