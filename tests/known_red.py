"""Reads and checks KNOWN-RED.txt at the root of the repository: tests that fail because of a known fault.

Each line lists the test, the command with the seed that reproduces the failure, the observed failure and the issue,
separated by " | ". At most three lines are allowed. The suite runs these tests, tolerates the failures of exactly these
tests, and prints them at its end.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

SEPARATOR = " | "
MAX_ENTRIES = 3


class KnownFailure(NamedTuple):
    """One line of the list: a test that is known to fail."""

    test: str  # the pytest node id, relative to the root of the repository
    command: str  # reproduces the failure, with the seed
    symptom: str
    issue: str

    def covers(self, test: str) -> bool:
        """Whether this entry names the test. An entry without parameters covers all parametrized cases."""
        return self.test in (test, test.split("[")[0])


class MalformedListError(Exception):
    """The list breaks a rule of its format."""


def read_known_failures(path: Path) -> list[KnownFailure]:
    """Return the entries of the list, or none if the file does not exist.

    Raises:
        MalformedListError: An entry is incomplete, there are more than MAX_ENTRIES, or a test is listed twice.
    """
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    entries = [_parse(path.name, line) for line in lines]
    if len(entries) > MAX_ENTRIES:
        raise MalformedListError(
            f"{path.name}: {len(entries)} entries, but at most {MAX_ENTRIES} are allowed: fix one of the faults first"
        )
    if len({entry.test for entry in entries}) < len(entries):
        raise MalformedListError(f"{path.name}: a test is listed twice")
    return entries


def _parse(name: str, line: str) -> KnownFailure:
    parts = [part.strip() for part in line.split(SEPARATOR)]
    if len(parts) != len(KnownFailure._fields) or not all(parts):
        raise MalformedListError(f"{name}: expected 'test | command and seed | observed failure | issue', got {line!r}")
    return KnownFailure(*parts)


def missing_tests(entries: Iterable[KnownFailure], collected: Iterable[str]) -> list[str]:
    """Return the listed tests that were not collected."""
    collected_names = {name for test in collected for name in (test, test.split("[")[0])}
    return [entry.test for entry in entries if entry.test not in collected_names]
