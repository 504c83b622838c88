"""Ends requests and runs that cannot go on: due answers, orphaned runs, and a lack of memory."""

from __future__ import annotations

from dataclasses import dataclass

from nickelslip.admission.answer_deadlines import AnswerDeadlines
from nickelslip.admission.concurrency_limit import ConcurrencyLimit
from nickelslip.admission.early_rejection import is_late_if_started_now
from nickelslip.admission.interface import RequestState
from nickelslip.admission.interval_measurements import ADJUSTMENT_INTERVAL_MS
from nickelslip.admission.memory_budget import MemoryBudget
from nickelslip.admission.rejections import Rejections
from nickelslip.admission.request_transitions import RequestTransitions
from nickelslip.admission.tracked_request import TrackedRequests


@dataclass(frozen=True, slots=True)
class ForcedEndings:
    """Ends what must end now.

    Attributes:
        requests: All open requests.
        transitions: Changes the states of requests.
        rejections: Answers requests that are not run.
        deadlines: The deadlines of the requests.
        concurrency: The limit on running requests.
        memory: The memory budget.
    """

    requests: TrackedRequests
    transitions: RequestTransitions
    rejections: Rejections
    deadlines: AnswerDeadlines
    concurrency: ConcurrencyLimit
    memory: MemoryBudget

    def stop_orphaned_runs(self, now_ms: float) -> None:
        """Tell the server to stop orphaned runs, once per interval."""
        for request in self.requests.orphaned.values():
            if now_ms - request.stop_requested_at_ms >= ADJUSTMENT_INTERVAL_MS:
                request.stop_requested_at_ms = now_ms
                self.transitions.request_stop(request)

    def answer_due_requests(self, now_ms: float) -> None:
        """Answer requests whose answer is due, and queued requests that can no longer finish in time."""
        if not self.deadlines.is_scan_due(now_ms):
            return
        self.deadlines.last_scan_at_ms = now_ms
        has_contention = self.requests.on_core_count() + len(self.requests.queued) > self.concurrency.limit
        for request in list(self.requests.queued.values()):
            if self.deadlines.is_due(now_ms, request) or is_late_if_started_now(
                now_ms, request, has_contention, self.deadlines
            ):
                self.rejections.reject_or_fail_queued(now_ms, request)
        if self.deadlines.is_any_due(now_ms):
            for request in self.deadlines.due_requests(now_ms, self.requests):
                self.transitions.enter(now_ms, request, RequestState.FAILED)
            self.deadlines.update_next_due(self.requests)

    def enforce_memory_budget(self, now_ms: float) -> None:
        """Reject or fail requests until the others fit into memory.

        A queued request is rejected, even if it has run and must not run twice. A coalesced request fails instead,
        because its original may have run.
        """
        for request in self.memory.excess_requests():
            if request.state is RequestState.QUEUED:
                self.rejections.reject(now_ms, request)
            else:
                self.transitions.enter(now_ms, request, RequestState.FAILED)
