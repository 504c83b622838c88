"""Early rejection: requests that are predicted to be answered too late to be useful are rejected at once."""

from __future__ import annotations

from math import inf

from nickelslip.admission.answer_deadlines import AnswerDeadlines
from nickelslip.admission.interface import Arrival
from nickelslip.admission.tracked_request import TrackedRequest, TrackedRequests

# Allows for requests that will overtake the new one in the queue, and for runs that take longer than the mean.
PREDICTION_SAFETY_FACTOR = 1.5
FLEET_OVERLOADED_WEIGHT = 0.6  # below this weight the whole fleet is probably overloaded


def is_predicted_late(
    now_ms: float,
    request: TrackedRequest,
    requests: TrackedRequests,
    effective_slots: float,
    deadlines: AnswerDeadlines,
) -> bool:
    """Whether an arrival that has to queue is predicted to be answered too late.

    The prediction is the queue wait plus the expected time of the request itself. The queue wait is the expected run
    time of the queued requests ahead of it, divided by the effective slots. Without effective slots it is infinite.
    """
    run_ms_ahead = sum(
        queued.expected_run_ms for queued in requests.queued.values() if queued.priority_key < request.priority_key
    )
    wait_ms = run_ms_ahead / effective_slots if effective_slots else inf
    own_ms = request.expected_run_ms
    call_ms = request.statistics.time_in_calls_ms.mean(now_ms)
    return now_ms + PREDICTION_SAFETY_FACTOR * (wait_ms + own_ms + call_ms) > deadlines.answer_useful_until_ms(request)


def is_late_if_started_now(
    now_ms: float, request: TrackedRequest, has_contention: bool, deadlines: AnswerDeadlines
) -> bool:
    """Whether the request would be answered too late even if it started now.

    Without contention, which means that no request has to wait for a slot, recent runs give the time in calls, and also
    the run time unless the expected one is lower. Durations measured under load would otherwise make an idle server
    reject requests, and it would never measure shorter ones.
    """
    statistics = request.statistics
    if has_contention:
        run_ms = request.expected_run_ms
        call_ms = statistics.time_in_calls_ms.mean(now_ms)
    else:
        run_ms = min(request.expected_run_ms, statistics.run_ms.recent_mean(now_ms))
        call_ms = statistics.time_in_calls_ms.recent_mean(now_ms)
    return now_ms + run_ms + call_ms > deadlines.answer_useful_until_ms(request)


def is_retry_elsewhere_useless(arrival: Arrival, request_age_ms: float, weight: float) -> bool:
    """Whether the rejection of an arrival should advise against a retry on another server.

    A retry has been to another server already. With a low weight the whole fleet is probably overloaded, and
    each further server would have to read the request again.
    """
    return arrival.is_retry or request_age_ms > 0 or weight < FLEET_OVERLOADED_WEIGHT
