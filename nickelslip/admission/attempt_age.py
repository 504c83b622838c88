"""Estimates the age of a retried request from the timeout that its client sends."""

from __future__ import annotations

from nickelslip.admission.tracked_request import TrackedRequest


def request_age_ms(request: TrackedRequest, received_at_ms: float) -> float:
    """Return how many milliseconds ago the first attempt of this request was sent, or 0 if that is unknown.

    Most clients send one of a few usual timeouts. Any other timeout is assumed to be the rest of the class's
    timeout after earlier attempts. A first attempt with a rare timeout is therefore mistaken for a retry.

    Args:
        request: A request whose client has sent its timeout.
        received_at_ms: When the request reached this machine.
    """
    statistics = request.statistics
    remaining_ms = request.deadline_at_ms - received_at_ms
    is_unusual = statistics.client_timeouts.record(remaining_ms / statistics.timeout_ms)
    return max(0.0, statistics.timeout_ms - remaining_ms) if is_unusual else 0.0
