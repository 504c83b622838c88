"""Admission of arrivals: a request is coalesced with its original, queued or rejected."""

from __future__ import annotations

from dataclasses import dataclass

from nickelslip.admission.advertised_weight import AdvertisedWeight
from nickelslip.admission.answer_deadlines import AnswerDeadlines
from nickelslip.admission.concurrency_limit import ConcurrencyLimit
from nickelslip.admission.drain_schedule import DrainSchedule
from nickelslip.admission.early_rejection import (
    is_late_if_started_now,
    is_predicted_late,
    is_retry_elsewhere_useless,
)
from nickelslip.admission.interface import Arrival, RequestState
from nickelslip.admission.record_retention import RecordRetention
from nickelslip.admission.rejections import Rejections
from nickelslip.admission.request_transitions import RequestTransitions
from nickelslip.admission.tracked_request import TrackedRequest, TrackedRequests


@dataclass(frozen=True, slots=True)
class ArrivalAdmission:
    """Decides on a request that has just been added to the queue.

    Attributes:
        requests: All open requests.
        transitions: Changes the states of requests.
        rejections: Answers requests that are not run.
        records: Keeps the idempotency records.
        concurrency: The limit on running requests.
        deadlines: The deadlines of the requests.
        drain: The schedule of a graceful shutdown.
        weight: The advertised weight.
    """

    requests: TrackedRequests
    transitions: RequestTransitions
    rejections: Rejections
    records: RecordRetention
    concurrency: ConcurrencyLimit
    deadlines: AnswerDeadlines
    drain: DrainSchedule
    weight: AdvertisedWeight

    def has_to_queue(self) -> bool:
        """Whether a request just added to the queue must wait there, behind other requests or for a slot."""
        has_others_queued = len(self.requests.queued) > 1
        return has_others_queued or self.requests.on_core_count() >= self.concurrency.limit

    def admit(
        self, now_ms: float, request: TrackedRequest, arrival: Arrival, has_to_queue: bool, age_ms: float
    ) -> None:
        """Coalesce the request with its original, leave it in the queue, or reject it.

        These rules reject it, in this order: it arrived after the grace period of a drain; it needs an idempotency
        record that does not fit into memory; it has to queue and its tenant is over its quota; it is predicted to be
        answered too late to be useful.
        """
        received_at_ms = now_ms - arrival.read_delay_ms
        if received_at_ms > self.drain.grace_ends_at_ms:
            self.rejections.reject(now_ms, request)
            return
        if self.records.should_coalesce(request, arrival):
            self.transitions.enter(now_ms, request, RequestState.COALESCED)
            return
        if not self.records.record_arrival(now_ms, request, arrival):
            self.rejections.reject(now_ms, request)
            return
        if has_to_queue and request.within_quota_fraction < 1:  # other servers enforce the quota, too
            self.rejections.reject(now_ms, request, retry_elsewhere_useless=True)
            return
        if has_to_queue:
            is_late = is_predicted_late(
                now_ms, request, self.requests, self.concurrency.effective_slots, self.deadlines
            )
        else:
            is_late = is_late_if_started_now(now_ms, request, has_contention=False, deadlines=self.deadlines)
        if is_late:
            is_useless = is_retry_elsewhere_useless(arrival, age_ms, self.weight.weight)
            self.rejections.reject(now_ms, request, retry_elsewhere_useless=is_useless)
