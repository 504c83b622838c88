"""Tests that are known to fail for a real fault: KNOWN-RED.txt at the root, read and checked.

A line each: the test, the cause and the issue, parted by " | ". Three lines at most. The suite runs these tests, passes
over exactly them, and prints them at its end.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

MOST = 3


class Known(NamedTuple):
    """One test that is known to fail."""

    test: str  # as pytest names it, from the root
    cause: str
    issue: str


class Faulty(Exception):
    """The list is not in order."""


def listed(path: Path) -> list[Known]:
    """The list; empty where there is none."""
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    known = []
    for line in lines:
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise Faulty(f"{path.name}: test | cause | issue is needed, not {line!r}")
        known.append(Known(*parts))
    if len(known) > MOST:
        raise Faulty(f"{path.name}: {len(known)} lines, and {MOST} at most: mend one first")
    if len({each.test for each in known}) < len(known):
        raise Faulty(f"{path.name}: a test is listed twice")
    return known


def unmatched(known: Iterable[Known], collected: Iterable[str]) -> list[str]:
    """The names on the list that are no test's; one with cases may be named without them."""
    there = {name for test in collected for name in (test, test.split("[")[0])}
    return [each.test for each in known if each.test not in there]


def covers(each: Known, test: str) -> bool:
    return each.test in (test, test.split("[")[0])
