"""An idempotency record: its original request, the state of that request, and how long it answers duplicates."""

from __future__ import annotations

from enum import Enum, auto

from nickelslip.admission.interface import RetrySafety
from nickelslip.server.requests import Request

LIMIT_TOLERANCE_MS = 50.0  # on sockets, the protocol extends every time limit by this, including that of duplicates


class RecordState(Enum):
    """How duplicates of the original request are handled."""

    IN_PROGRESS = "the original request is unfinished: duplicates wait for its result"
    SUCCEEDED = "the result is cached: duplicates get it"
    FAILED = "the original request failed: duplicates fail"
    RESULT_EVICTED = "the result was evicted from the cache: duplicates fail, since running them is not safe"


class RecordEvent(Enum):
    """Events that change the state of a record."""

    ORIGINAL_SUCCEEDED = auto()
    ORIGINAL_FAILED = auto()
    RESULT_EVICTED = auto()


TRANSITIONS = {
    (RecordState.IN_PROGRESS, RecordEvent.ORIGINAL_SUCCEEDED): RecordState.SUCCEEDED,
    (RecordState.IN_PROGRESS, RecordEvent.ORIGINAL_FAILED): RecordState.FAILED,
    (RecordState.SUCCEEDED, RecordEvent.RESULT_EVICTED): RecordState.RESULT_EVICTED,
}


class IdempotencyRecord:
    """The record of one original request, stored under its key.

    There are two kinds of records:

    - With an idempotency key, a retry must never run a second time. The record answers every duplicate that was
      received before `expires_at_ms`, however late it is read. It does not expire while the original run is unfinished.
    - Without an idempotency key, the record only saves work for requests with the same subject. It answers requests
      until `expires_at_ms` by this server's clock; later ones are run.

    Args:
        original_request: The first request with the key.

    Attributes:
        state: How duplicates are handled.
        number: Number of the original request.
        fingerprint: Hash of the original request, which identifies true duplicates.
        has_idempotency_key: Whether the key is an idempotency key; otherwise it is a subject.
        original_request: The original request while the record is in progress, otherwise None.
        expires_at_ms: Set by the table each time admission control decides how long to keep the record.
        max_read_delay_ms: The longest time for which a duplicate may have been received but not yet read.
    """

    __slots__ = (
        "state",
        "number",
        "fingerprint",
        "has_idempotency_key",
        "original_request",
        "expires_at_ms",
        "max_read_delay_ms",
    )

    def __init__(self, original_request: Request) -> None:
        self.state = RecordState.IN_PROGRESS
        self.number = original_request.number
        self.fingerprint = fingerprint_of(original_request)
        self.has_idempotency_key = uses_idempotency_key(original_request)
        self.original_request: Request | None = original_request
        self.expires_at_ms = 0.0
        # A duplicate received before the expiry may remain unread for as long as its client waits.
        self.max_read_delay_ms = original_request.generation.longest_timeout_ms

    def apply(self, event: RecordEvent) -> None:
        """Change the state, and release the reference to the original request."""
        self.state = TRANSITIONS[self.state, event]
        self.original_request = None

    def serves(self, request: Request, now_ms: float) -> bool:
        """Whether this record answers the request, as a duplicate of its original request."""
        if not self.has_idempotency_key:
            return now_ms < self.expires_at_ms
        if self.state is RecordState.IN_PROGRESS:
            return True
        received_at_ms = min(request.received.received_at_ms, now_ms)
        return received_at_ms <= self.expires_at_ms + LIMIT_TOLERANCE_MS

    def is_expired(self, now_ms: float) -> bool:
        """Whether the record can be removed, since no request that is still to be read can be a duplicate."""
        if not self.has_idempotency_key:
            return self.expires_at_ms <= now_ms
        if self.state is RecordState.IN_PROGRESS:
            return False
        return self.expires_at_ms + LIMIT_TOLERANCE_MS + self.max_read_delay_ms < now_ms


def uses_idempotency_key(request: Request) -> bool:
    """Whether requests of its traffic class carry an idempotency key."""
    retry_safety = request.generation.retry_safety_by_class[request.received.traffic_class]
    return retry_safety is RetrySafety.IDEMPOTENCY_KEY


def fingerprint_of(request: Request) -> int:
    """Return a hash that distinguishes true duplicates from other requests with the same idempotency key.

    Python chooses the seed of its hash function at random when the process starts, so a client cannot construct a
    different body with the same fingerprint.
    """
    return hash((request.received.body, request.received.tenant))
