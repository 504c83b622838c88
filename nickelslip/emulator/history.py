"""What happened, as the parties round the servers saw it: one list of events on one clock.

Owns the events, their file and the joining of several processes' lists. The clock is the machine's monotonic one,
which all its processes share. It must never hold what a server says of itself: a checker would believe it.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterable
from enum import Enum
from pathlib import Path
from typing import Any, NamedTuple

MOST = 4_000_000  # events: past that the rig fails in the open, rather than take the machine's memory


class Kind(Enum):
    """What may happen."""

    WRITTEN = "a transaction was written to a server; detail: grade, mark, due"
    ANSWERED = "an answer came for it; detail: word, and whether its body is the one that its run made"
    GONE = "the server was told that nobody waits, or the connection was broken from the caller's side"
    CROSSED = "the server's close crossed it on its way: it was never read"
    SATISFIED = "a client has its answer; detail: grade, credit, in its quoted time, asked when, part kept uncalled"
    ASKED = "a client asks; detail: grade, credit"
    RUN = "a worker pool was told to start it; detail: grade"
    LEFT_OUT = "a run went on without its call"
    CALL = "a call reached the records service; detail: calls in hand"
    CALL_OVER = "it left the records service's hands; detail: calls in hand"
    CONNECTED = "somebody connected to a party; detail: which"
    REFUSED = "the records service was down and somebody tried; detail: which party"
    REPORT = "a report reached the directory; detail: whether it was heard"
    LISTED = "the list as a reader finds it; detail: names"
    STARTED = "a process was started"
    LINKED = "its worker pool has its link"
    TOLD_TO_LEAVE = "SIGTERM"
    ENDED = "it ended by itself; detail: exit code"
    KILLED = "SIGKILL, or its machine fell over; detail: why"
    STOPPED = "SIGSTOP"
    CONTINUED = "SIGCONT"
    CUT = "a link to or from it was cut; detail: which"
    HEALED = "and is whole again"
    FELL = "a machine or the records service fell over; detail: which"
    FAULT = "something else was done; detail: what"


class Event(NamedTuple):
    """One of them: monotonic milliseconds, what, at or by which server, for which transaction."""

    at: float
    kind: Kind
    server: str
    ident: str
    detail: Any


class TooMuch(Exception):
    """More events than a history may hold."""


class History:
    """The events of one process, or of several joined."""

    def __init__(self, events: Iterable[Event] = ()) -> None:
        self.events = list(events)

    @staticmethod
    def clock() -> float:
        """Monotonic milliseconds, the same in every process of this machine."""
        return time.monotonic() * 1000

    def add(self, kind: Kind, server: str = "", ident: str = "", detail: Any = None, at: float | None = None) -> None:
        if len(self.events) >= MOST:
            raise TooMuch(f"over {MOST} events")
        self.events.append(Event(self.clock() if at is None else at, kind, server, ident, detail))

    def of(self, *kinds: Kind, server: str | None = None) -> list[Event]:
        """Those of these kinds, in their order."""
        return [each for each in self.events if each.kind in kinds and server in (None, each.server)]

    def save(self, path: Path) -> None:
        with path.open("w") as file:
            for at, kind, server, ident, detail in self.events:
                file.write(json.dumps([round(at, 3), kind.name, server, ident, detail]) + "\n")

    @staticmethod
    def load(path: Path) -> History:
        with path.open() as file:
            return History(
                Event(at, Kind[kind], server, ident, detail)
                for at, kind, server, ident, detail in map(json.loads, file)
            )

    @staticmethod
    def joined(parts: Iterable[History]) -> History:
        """All of them in the order of time."""
        return History(sorted((event for part in parts for event in part.events), key=lambda each: each.at))
