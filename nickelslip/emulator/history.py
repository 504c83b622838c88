"""The events of a run, as observed by the services around the servers, with timestamps of one clock.

The clock is the machine's monotonic clock, which all processes of a run share. A history holds nothing that servers
report about themselves, since a checker would trust a wrong report.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterable
from enum import Enum
from pathlib import Path
from typing import Any, NamedTuple

MAX_EVENTS = 4_000_000  # beyond this a run fails instead of exhausting the machine's memory
MS_PER_S = 1000
SAVED_DECIMALS = 3


class Kind(Enum):
    """The kind of an event; the value is its name in saved histories."""

    REQUEST_WRITTEN = "WRITTEN"
    """A request was written to a server; detail: traffic class, idempotency key, deadline."""
    ANSWERED = "ANSWERED"
    """An answer to the request was received; detail: status, whether the body is the one that the run produced."""
    REQUEST_CANCELLED = "GONE"
    """The load balancer cancelled the request or reset the connection."""
    REQUEST_NEVER_READ = "CROSSED"
    """The server closed the connection before it read the request."""
    REQUEST_DISCONNECTED = "DISCONNECTED"
    """The connection was lost while the request was open, and the server may have read it."""
    CLIENT_COMPLETED = "SATISFIED"
    """A client received its answer; detail: class, weight, whether in objective, send time, degraded fraction."""
    CLIENT_REQUESTED = "ASKED"
    """A client sends a request; detail: traffic class, priority weight."""
    RUN_STARTED = "RUN"
    """A worker pool received the command to start a run; detail: traffic class."""
    CALL_SKIPPED = "LEFT_OUT"
    """A run continued without its call."""
    CALL_BEGAN = "CALL"
    """A call reached the records service; detail: calls in flight."""
    CALL_ENDED = "CALL_OVER"
    """A call is no longer in flight; detail: calls in flight."""
    CONNECTED = "CONNECTED"
    """A server connected to a service; detail: the service."""
    REFUSED = "REFUSED"
    """A service refused a connection; detail: the service. The emulator does not record this event."""
    REPORTED = "REPORT"
    """A report reached the directory; detail: whether it was accepted."""
    LISTED = "LISTED"
    """The endpoint list was read; detail: the names on it."""
    STARTED = "STARTED"
    """A server process was started."""
    POOL_LINKED = "LINKED"
    """The worker pool bound the server's connection."""
    SHUTDOWN_REQUESTED = "TOLD_TO_LEAVE"
    """SIGTERM was sent."""
    ENDED = "ENDED"
    """The process exited by itself; detail: exit code."""
    KILLED = "KILLED"
    """The process was killed, as a fault or because its machine failed; detail: the reason."""
    PAUSED = "STOPPED"
    """SIGSTOP was sent."""
    RESUMED = "CONTINUED"
    """SIGCONT was sent."""
    LINK_CUT = "CUT"
    """A link of the server was cut; detail: link and direction."""
    LINK_RESTORED = "HEALED"
    """A link of the server was restored; detail: link and direction."""
    OBSERVER_STALLED = "STALLED"
    """The process that runs the load balancers did not run until now; detail: since when."""
    FELL_OVER = "FELL"
    """A machine or the records service failed from overload, or the records service was taken down; detail: which."""
    FAULT = "FAULT"
    """Another fault was injected; detail: its description."""


class Event(NamedTuple):
    """One event, with its time, kind, server, request id and a detail that depends on the kind."""

    at_ms: float
    kind: Kind
    server: str
    request_id: str
    detail: Any


class HistoryFullError(Exception):
    """The history holds the maximum number of events."""


class History:
    """The events of one process, or of several joined.

    Args:
        events: The initial events.
    """

    def __init__(self, events: Iterable[Event] = ()) -> None:
        self.events = list(events)

    @staticmethod
    def clock() -> float:
        """Return the machine's monotonic time in milliseconds; it is the same in every process."""
        return time.monotonic() * MS_PER_S

    def add(
        self,
        kind: Kind,
        server: str = "",
        request_id: str = "",
        detail: Any = None,
        at_ms: float | None = None,
    ) -> None:
        """Record an event, at the current time unless `at_ms` is given.

        Raises:
            HistoryFullError: The history holds 4,000,000 events already.
        """
        if len(self.events) >= MAX_EVENTS:
            raise HistoryFullError(f"the history holds the maximum of {MAX_EVENTS} events")
        self.events.append(Event(self.clock() if at_ms is None else at_ms, kind, server, request_id, detail))

    def of(self, *kinds: Kind, server: str | None = None) -> list[Event]:
        """Return the events of these kinds, of one server or of all servers, in the recorded order."""
        return [event for event in self.events if event.kind in kinds and server in (None, event.server)]

    def save(self, path: Path) -> None:
        """Write the events to a file, one JSON list per line."""
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
        """Return the events of all parts in chronological order."""
        events = [event for part in parts for event in part.events]
        return History(sorted(events, key=lambda event: event.at_ms))
