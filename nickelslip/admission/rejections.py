"""Rejects requests, and fails those that must not run on another server."""

from __future__ import annotations

from nickelslip.admission.concurrency_limit import ConcurrencyLimit
from nickelslip.admission.drain_schedule import DrainSchedule
from nickelslip.admission.interface import RequestState
from nickelslip.admission.interval_measurements import IntervalMeasurements
from nickelslip.admission.request_transitions import RequestTransitions
from nickelslip.admission.retry_after import RetryAfter
from nickelslip.admission.tracked_request import TrackedRequest, TrackedRequests


class Rejections:
    """Answers requests that are not run.

    Args:
        requests: All open requests.
        transitions: Changes the states of requests.
        retry_after: Computes the Retry-After delay.
        interval: Counts rejections, and has the last read delay.
        concurrency: The limit on running requests.
        drain: The schedule of a graceful shutdown.
    """

    __slots__ = ("_requests", "_transitions", "_retry_after", "_interval", "_concurrency", "_drain")

    def __init__(
        self,
        requests: TrackedRequests,
        transitions: RequestTransitions,
        retry_after: RetryAfter,
        interval: IntervalMeasurements,
        concurrency: ConcurrencyLimit,
        drain: DrainSchedule,
    ) -> None:
        self._requests = requests
        self._transitions = transitions
        self._retry_after = retry_after
        self._interval = interval
        self._concurrency = concurrency
        self._drain = drain

    def reject(self, now_ms: float, request: TrackedRequest, retry_elsewhere_useless: bool = False) -> None:
        """Reject a request, with a Retry-After delay."""
        if not request.may_be_delayed_by_client:
            self._interval.rejection_count += 1
        delay_ms = self._retry_after.delay_ms(
            now_ms,
            self._interval.last_read_delay_ms,
            self._requests.queued_run_ms(),
            self._concurrency.limit,
            self._drain,
        )
        self._transitions.enter(
            now_ms,
            request,
            RequestState.REJECTED,
            duration_ms=delay_ms,
            retry_elsewhere_useless=retry_elsewhere_useless and not self._drain.is_draining(now_ms),
        )

    def reject_or_fail_queued(self, now_ms: float, request: TrackedRequest) -> None:
        """Answer a queued request: fail it if it has run and must not run on another server, else reject it."""
        if request.has_run and not request.statistics.is_idempotent:
            self._transitions.enter(now_ms, request, RequestState.FAILED)
        else:
            self.reject(now_ms, request)
