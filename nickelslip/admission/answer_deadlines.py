"""Deadlines of requests: the latest time to answer, and the latest time at which an answer is still useful."""

from __future__ import annotations

from math import inf

from nickelslip.admission.drain_schedule import DrainSchedule
from nickelslip.admission.interface import RequestState, Settings
from nickelslip.admission.tracked_request import TrackedRequest, TrackedRequests

MARGIN_TICKS = 2.0  # answers are sent this many ticks before they are due
# Answers are due this many times `answer_slack_ms` before the server is killed: one for answers that are written late,
# and one in which the server closes its connections.
KILL_MARGIN_PER_SLACK = 2.0


class AnswerDeadlines:
    """Finds the requests whose answer is due.

    The queue is scanned once per half margin, and whenever an answer is due. Scanning a long queue at every event
    would take CPU time from the requests.
    """

    __slots__ = ("margin_ms", "next_due_at_ms", "last_scan_at_ms", "_drain", "_kill_margin_ms")

    def __init__(self, settings: Settings, drain: DrainSchedule) -> None:
        self.next_due_at_ms = inf
        self.last_scan_at_ms = -inf
        self._drain = drain
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Compute the margins from the settings."""
        self.margin_ms = MARGIN_TICKS * settings.tick_ms
        self._kill_margin_ms = KILL_MARGIN_PER_SLACK * settings.answer_slack_ms

    def answer_by_ms(self, request: TrackedRequest) -> float:
        """Return the time by which the request must be answered in any case."""
        return min(request.deadline_at_ms, self._drain.kill_at_ms - self._kill_margin_ms)

    def answer_useful_until_ms(self, request: TrackedRequest) -> float:
        """Return the time by which the result of the request must be ready to be useful.

        If the class must meet its objective, this is at the latest the end of the objective.
        """
        answer_by_ms = self.answer_by_ms(request)
        if request.statistics.must_meet_objective:
            return min(answer_by_ms, request.useful_until_ms)
        return answer_by_ms

    def is_due(self, now_ms: float, request: TrackedRequest) -> bool:
        """Whether the request must be answered now."""
        return now_ms >= self.answer_by_ms(request) - self.margin_ms

    def is_any_due(self, now_ms: float) -> bool:
        """Whether there may be a request that must be answered now."""
        return now_ms >= self.next_due_at_ms - self.margin_ms

    def is_scan_due(self, now_ms: float) -> bool:
        """Whether the queue must be scanned now."""
        return now_ms >= min(self.last_scan_at_ms + self.margin_ms / 2, self.next_due_at_ms - self.margin_ms)

    def track(self, request: TrackedRequest) -> None:
        """Take the deadline of a new request into account."""
        self.next_due_at_ms = min(self.next_due_at_ms, self.answer_by_ms(request))

    def due_requests(self, now_ms: float, requests: TrackedRequests) -> list[TrackedRequest]:
        """Return the unanswered requests that must be answered now."""
        return [request for request in _unanswered(requests) if self.is_due(now_ms, request)]

    def update_next_due(self, requests: TrackedRequests) -> None:
        """Update `next_due_at_ms` from all unanswered requests."""
        due_times = (self.answer_by_ms(request) for request in _unanswered(requests))
        self.next_due_at_ms = min(due_times, default=inf)


def _unanswered(requests: TrackedRequests) -> list[TrackedRequest]:
    return [request for request in requests.by_id.values() if request.state is not RequestState.ORPHANED]
