"""A history grouped by servers' incarnations, by attempts at requests and by outages of servers and their links."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from nickelslip.emulator.history import Event, History, Kind


@dataclass
class Incarnation:
    """One server process, from its start to its end; the time of an event that did not happen is infinity."""

    server: str
    started_at_ms: float
    shutdown_at_ms: float = inf  # SIGTERM
    ended_at_ms: float = inf  # exited by itself
    killed_at_ms: float = inf  # together with its worker pool


class Answer(NamedTuple):
    """One answer: its status, and whether its body is the one that the run produced."""

    at_ms: float
    status: str
    is_valid: bool


@dataclass
class Attempt:
    """One request at one server, as seen by load balancer and worker pool.

    The time of an event that did not happen is infinity.
    """

    request_id: str
    server: str
    written_at_ms: float = inf
    traffic_class: str = ""
    idempotency_key: str = ""
    deadline_at_ms: float = inf
    cancelled_at_ms: float = inf
    disconnected_at_ms: float = inf
    was_never_read: bool = False
    answers: list[Answer] = field(default_factory=list)
    runs_at_ms: list[float] = field(default_factory=list)

    @property
    def statuses(self) -> list[str]:
        """The statuses of all answers."""
        return [answer.status for answer in self.answers]

    def __str__(self) -> str:
        return f"{self.traffic_class} {self.request_id} at {self.server}, written {self.written_at_ms:.0f}"


@dataclass
class Outage:
    """A time span in which a server was paused or one of its links was cut."""

    begin_at_ms: float
    end_at_ms: float = inf


class ObservedHistory:
    """The incarnations, attempts and outages in a history.

    Args:
        history: The events, in chronological order.

    Attributes:
        incarnations: Incarnations by server, in the order of their starts.
        attempts: Attempts by server and request id, in the order of their first events.
        outages: Outages by server.
        stalls: Time spans in which the process that runs the load balancers did not run.
        last_at_ms: Time of the last event.
    """

    def __init__(self, history: History) -> None:
        self.incarnations: dict[str, list[Incarnation]] = defaultdict(list)
        self.attempts: dict[tuple[str, str], Attempt] = {}
        self.outages: dict[str, list[Outage]] = defaultdict(list)
        self.stalls: list[Outage] = []
        self.last_at_ms = history.events[-1].at_ms if history.events else 0.0
        self._open_outages: dict[str, dict[str, Outage]] = defaultdict(dict)
        handlers: dict[Kind, Callable[[Event], None]] = {
            Kind.STARTED: self._started,
            Kind.SHUTDOWN_REQUESTED: self._shutdown_requested,
            Kind.ENDED: self._ended,
            Kind.KILLED: self._killed,
            Kind.LINK_CUT: self._outage_began,
            Kind.PAUSED: self._outage_began,
            Kind.LINK_RESTORED: self._outage_ended,
            Kind.RESUMED: self._outage_ended,
            Kind.REQUEST_WRITTEN: self._written,
            Kind.ANSWERED: self._answered,
            Kind.REQUEST_CANCELLED: self._cancelled,
            Kind.REQUEST_NEVER_READ: self._never_read,
            Kind.REQUEST_DISCONNECTED: self._disconnected,
            Kind.OBSERVER_STALLED: self._observer_stalled,
            Kind.RUN_STARTED: self._run_started,
        }
        for event in history.events:
            handler = handlers.get(event.kind)
            if handler is not None:
                handler(event)

    def incarnation_at(self, server: str, at_ms: float) -> Incarnation | None:
        """Return the incarnation that a request written to the server at this time reaches."""
        incarnations = self.incarnations[server]
        count = bisect_right([incarnation.started_at_ms for incarnation in incarnations], at_ms)
        return incarnations[count - 1] if count else None

    def extended_deadline(self, server: str, deadline_at_ms: float) -> float:
        """Return the deadline; one that falls into an outage or a stall moves to its end."""
        outages = [*self.outages[server], *self.stalls]
        for outage in sorted(outages, key=lambda outage: (outage.begin_at_ms, outage.end_at_ms)):
            if outage.begin_at_ms <= deadline_at_ms < outage.end_at_ms:
                deadline_at_ms = outage.end_at_ms
        return deadline_at_ms

    def was_cut_off(self, server: str, begin_at_ms: float, end_at_ms: float) -> bool:
        """Return whether an outage of the server overlaps this time span."""
        return any(outage.begin_at_ms < end_at_ms and begin_at_ms < outage.end_at_ms for outage in self.outages[server])

    # Event handlers

    def _attempt(self, event: Event) -> Attempt:
        key = event.server, event.request_id
        return self.attempts.setdefault(key, Attempt(event.request_id, event.server))

    def _started(self, event: Event) -> None:
        self.incarnations[event.server].append(Incarnation(event.server, event.at_ms))

    def _shutdown_requested(self, event: Event) -> None:
        self.incarnations[event.server][-1].shutdown_at_ms = event.at_ms

    def _ended(self, event: Event) -> None:
        self.incarnations[event.server][-1].ended_at_ms = event.at_ms

    def _killed(self, event: Event) -> None:
        if self.incarnations[event.server]:
            incarnation = self.incarnations[event.server][-1]
            incarnation.killed_at_ms = min(incarnation.killed_at_ms, event.at_ms)

    def _outage_began(self, event: Event) -> None:
        outage = Outage(event.at_ms)
        self._open_outages[event.server][event.detail or ""] = outage
        self.outages[event.server].append(outage)

    def _outage_ended(self, event: Event) -> None:
        outage = self._open_outages[event.server].pop(event.detail or "", None)
        if outage is not None:
            outage.end_at_ms = event.at_ms

    def _written(self, event: Event) -> None:
        attempt = self._attempt(event)
        attempt.written_at_ms = event.at_ms
        attempt.traffic_class, attempt.idempotency_key, attempt.deadline_at_ms = event.detail

    def _answered(self, event: Event) -> None:
        self._attempt(event).answers.append(Answer(event.at_ms, *event.detail))

    def _cancelled(self, event: Event) -> None:
        attempt = self._attempt(event)
        attempt.cancelled_at_ms = min(attempt.cancelled_at_ms, event.at_ms)

    def _never_read(self, event: Event) -> None:
        self._attempt(event).was_never_read = True

    def _disconnected(self, event: Event) -> None:
        self._attempt(event).disconnected_at_ms = event.at_ms

    def _observer_stalled(self, event: Event) -> None:
        self.stalls.append(Outage(event.detail, event.at_ms))

    def _run_started(self, event: Event) -> None:
        attempt = self._attempt(event)
        attempt.runs_at_ms.append(event.at_ms)
        attempt.traffic_class = attempt.traffic_class or event.detail
