"""Faults of a configuration document: what is wrong, where, and whether the document may still be used.

Every stage of reading collects all of its faults instead of raising at the first one, so that an operator can correct a
document in one go.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from nickelslip.json_fields import MalformedSettingsError

Path = tuple[str, ...]
MAX_DOCUMENT_BYTES = 512 * 1024
MAX_FAULTS = 100  # reported of one document; further ones are only counted
MAX_FAULTS_IN_MESSAGE = 3


class Severity(Enum):
    """Whether a document with this fault may be used."""

    FAULT = "fault"
    WARNING = "warning"


class Fault(NamedTuple):
    """One thing that is wrong.

    Attributes:
        path: Path of the key in the document; empty for the whole document.
        text: What is wrong.
        source: File or environment variable it comes from.
        line: Line from 1 on; 0 if unknown.
        column: Column from 1 on; 0 if unknown.
        severity: Whether it forbids the use of the document.
    """

    path: Path
    text: str
    source: str = ""
    line: int = 0
    column: int = 0
    severity: Severity = Severity.FAULT

    def __str__(self) -> str:
        place = f"{self.source}:{self.line}:{self.column}" if self.line else self.source
        return ": ".join(part for part in (place, ".".join(self.path), self.text) if part)

    def as_dict(self) -> dict[str, object]:
        """Return the fault for clients; the keys are stable."""
        return {
            "path": ".".join(self.path),
            "text": self.text,
            "source": self.source,
            "line": self.line,
            "column": self.column,
            "gravity": self.severity.value,
        }


class InvalidDocumentError(MalformedSettingsError):
    """A document cannot be used.

    Args:
        faults: All that is wrong with it, warnings included.

    Attributes:
        faults: The first ``MAX_FAULTS`` of them.
        omitted_count: How many more there are.
    """

    def __init__(self, faults: list[Fault]) -> None:
        self.faults = faults[:MAX_FAULTS]
        self.omitted_count = max(0, len(faults) - MAX_FAULTS)
        severe = [fault for fault in self.faults if fault.severity is Severity.FAULT] or self.faults
        super().__init__("; ".join(map(str, severe[:MAX_FAULTS_IN_MESSAGE])) or "faulty")


def has_errors(faults: list[Fault]) -> bool:
    """Return whether one of the faults forbids the use of the document."""
    return any(fault.severity is Severity.FAULT for fault in faults)
