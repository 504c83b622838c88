"""What happened in a run, as the services around the servers saw it: one list of events on one clock.

The clock is the machine's monotonic one, which all processes of a run share. A history holds nothing that a server says
of itself, since a checker would believe it.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterable
from enum import Enum
from pathlib import Path
from typing import Any, NamedTuple

MAX_EVENTS = 4_000_000  # a run fails openly rather than take the machine's memory
MS_PER_S = 1000
SAVED_DECIMALS = 3


class Kind(Enum):
    """What may happen; the value is the word in saved histories."""

    REQUEST_WRITTEN = "WRITTEN"
    """A request was written to a server; detail: traffic class, idempotency key, deadline."""
    ANSWERED = "ANSWERED"
    """An answer came for it; detail: word, and whether its body is the one that its run made."""
    REQUEST_CANCELLED = "GONE"
    """The server was told that nobody waits, or the load balancer broke the connection."""
    REQUEST_NEVER_READ = "CROSSED"
    """The server's close crossed it on its way: it was never read."""
    CLIENT_COMPLETED = "SATISFIED"
    """A client has its answer; detail: class, weight, whether in its objective, sent when, degraded fraction."""
    CLIENT_REQUESTED = "ASKED"
    """A client sends a request; detail: traffic class, priority weight."""
    RUN_STARTED = "RUN"
    """A worker pool was told to start it; detail: traffic class."""
    CALL_SKIPPED = "LEFT_OUT"
    """A run went on without its call."""
    CALL_BEGAN = "CALL"
    """A call reached the records service; detail: calls in flight."""
    CALL_ENDED = "CALL_OVER"
    """A call is no longer in flight; detail: calls in flight."""
    CONNECTED = "CONNECTED"
    """A server connected to a service; detail: which."""
    REFUSED = "REFUSED"
    """The records service was down and a connection was refused; detail: which service."""
    REPORTED = "REPORT"
    """A report reached the directory; detail: whether it was heard."""
    LISTED = "LISTED"
    """The endpoint list as a reader finds it; detail: names."""
    STARTED = "STARTED"
    """A process was started."""
    POOL_LINKED = "LINKED"
    """Its worker pool has bound its connection."""
    SHUTDOWN_REQUESTED = "TOLD_TO_LEAVE"
    """SIGTERM."""
    ENDED = "ENDED"
    """It ended by itself; detail: exit code."""
    KILLED = "KILLED"
    """SIGKILL, or its machine fell over; detail: why."""
    PAUSED = "STOPPED"
    """SIGSTOP."""
    RESUMED = "CONTINUED"
    """SIGCONT."""
    LINK_CUT = "CUT"
    """A link to or from it was cut; detail: which."""
    LINK_RESTORED = "HEALED"
    """The link was restored; detail: which."""
    FELL_OVER = "FELL"
    """A machine or the records service fell over; detail: which."""
    FAULT = "FAULT"
    """Another fault was injected; detail: what."""


class Event(NamedTuple):
    """One event: when, what, at or by which server, for which request."""

    at_ms: float
    kind: Kind
    server: str
    request_id: str
    detail: Any


class HistoryFullError(Exception):
    """More events than a history may hold."""


class History:
    """The events of one process, or of several joined.

    Args:
        events: What it begins with.
    """

    def __init__(self, events: Iterable[Event] = ()) -> None:
        self.events = list(events)

    @staticmethod
    def clock() -> float:
        """Return monotonic milliseconds, the same in every process of this machine."""
        return time.monotonic() * MS_PER_S

    def add(
        self,
        kind: Kind,
        server: str = "",
        request_id: str = "",
        detail: Any = None,
        at_ms: float | None = None,
    ) -> None:
        """Record an event, at this moment unless another is given.

        Raises:
            HistoryFullError: There are 4,000,000 already.
        """
        if len(self.events) >= MAX_EVENTS:
            raise HistoryFullError(f"over {MAX_EVENTS} events")
        self.events.append(Event(self.clock() if at_ms is None else at_ms, kind, server, request_id, detail))

    def of(self, *kinds: Kind, server: str | None = None) -> list[Event]:
        """Return the events of these kinds, of one server or of all, in their order."""
        return [event for event in self.events if event.kind in kinds and server in (None, event.server)]

    def save(self, path: Path) -> None:
        """Write the events to a file, one JSON list a line."""
        with path.open("w") as file:
            for event in self.events:
                fields = [
                    round(event.at_ms, SAVED_DECIMALS),
                    event.kind.value,
                    event.server,
                    event.request_id,
                    event.detail,
                ]
                file.write(json.dumps(fields) + "\n")

    @staticmethod
    def load(path: Path) -> History:
        """Read a file that `save` wrote."""
        with path.open() as file:
            return History(
                Event(at_ms, Kind(kind), server, request_id, detail)
                for at_ms, kind, server, request_id, detail in map(json.loads, file)
            )

    @staticmethod
    def joined(parts: Iterable[History]) -> History:
        """Return the events of all parts in the order of time."""
        events = [event for part in parts for event in part.events]
        return History(sorted(events, key=lambda event: event.at_ms))
