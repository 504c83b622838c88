"""How old a request is whose client has tried before: told from the timeout that the client sends."""

from __future__ import annotations

from nickelslip.admission.tracked_request import TrackedRequest


def attempt_age_ms(request: TrackedRequest, received_at_ms: float) -> float:
    """Return how long ago the first attempt of this request was sent, in milliseconds; 0 where nothing tells.

    Most clients send one of a few usual timeouts. One that is none of those is what is left of the class's timeout
    after earlier attempts. A client with a rare timeout of its own is taken for an old one.

    Args:
        request: A request whose client has sent its timeout.
        received_at_ms: When the request reached this machine.
    """
    statistics = request.statistics
    remaining_ms = request.deadline_at_ms - received_at_ms
    is_unusual = statistics.client_timeouts.record(remaining_ms / statistics.timeout_ms)
    return max(0.0, statistics.timeout_ms - remaining_ms) if is_unusual else 0.0
