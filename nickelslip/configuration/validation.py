"""Faults of a document: what is wrong, where, and how grave it is.

Owns the one form in which every stage of reading reports. It must never raise for a single fault: whoever reads
collects all of them, so that an operator mends a document in one go.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from nickelslip.json_fields import MalformedSettingsError

Path = tuple[str, ...]
BYTES_MOST = 512 * 1024  # of a text
FAULTS_MOST = 100  # reported of one document: the rest is a number


class Severity(Enum):
    """Whether a document with this fault may be used."""

    FAULT = "fault"
    WARNING = "warning"


class Fault(NamedTuple):
    """One thing that is wrong. Line and column count from 1; 0: not known."""

    path: Path
    text: str
    source: str = ""
    line: int = 0
    column: int = 0
    gravity: Severity = Severity.FAULT

    def __str__(self) -> str:
        place = f"{self.source}:{self.line}:{self.column}" if self.line else self.source
        return ": ".join(part for part in (place, ".".join(self.path), self.text) if part)

    def as_dict(self) -> dict[str, object]:
        """For machines; the keys are stable."""
        return {
            "path": ".".join(self.path),
            "text": self.text,
            "source": self.source,
            "line": self.line,
            "column": self.column,
            "gravity": self.gravity.value,
        }


class InvalidDocumentError(MalformedSettingsError):
    """A document that cannot be used, with all that is wrong with it."""

    def __init__(self, faults: list[Fault]) -> None:
        self.faults = faults[:FAULTS_MOST]
        self.left_out = max(0, len(faults) - FAULTS_MOST)
        graver = [fault for fault in self.faults if fault.gravity is Severity.FAULT] or self.faults
        super().__init__("; ".join(map(str, graver[:3])) or "faulty")


def errors_of(faults: list[Fault]) -> bool:
    """Whether one of them forbids the use of the document."""
    return any(fault.gravity is Severity.FAULT for fault in faults)
