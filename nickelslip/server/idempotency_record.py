"""One idempotency record: which request is the original one, what became of it and until when duplicates are served."""

from __future__ import annotations

from enum import Enum, auto

from nickelslip.admission.interface import RetrySafety
from nickelslip.server.requests import Request

LIMIT_TOLERANCE_MS = 50.0  # the protocol extends every time limit by this on sockets, that of duplicates included


class RecordState(Enum):
    """What can be done for a duplicate."""

    IN_PROGRESS = "the original request is not finished: duplicates wait for its result"
    SUCCEEDED = "the result is cached: duplicates get it"
    FAILED = "the original request failed: duplicates fail"
    RESULT_EVICTED = "the result was evicted from the cache: duplicates fail, as running again would not be safe"


class RecordEvent(Enum):
    """What changes the state of a record."""

    ORIGINAL_SUCCEEDED = auto()
    ORIGINAL_FAILED = auto()
    RESULT_EVICTED = auto()


TRANSITIONS = {
    (RecordState.IN_PROGRESS, RecordEvent.ORIGINAL_SUCCEEDED): RecordState.SUCCEEDED,
    (RecordState.IN_PROGRESS, RecordEvent.ORIGINAL_FAILED): RecordState.FAILED,
    (RecordState.SUCCEEDED, RecordEvent.RESULT_EVICTED): RecordState.RESULT_EVICTED,
}


class IdempotencyRecord:
    """The record of one original request, under its key.

    There are two kinds. With an idempotency key, a retry must never run a second time: the record serves every
    request that was received before `expires_at_ms`, however late it is read, and waits for the run itself. Without
    one, the record only saves work for requests with the same subject: it serves until `expires_at_ms` by this
    server's clock, and whatever comes later runs.

    Args:
        original_request: The first request under the key.

    Attributes:
        original_request: The original request while the record is in progress, otherwise None.
        expires_at_ms: Set by the table whenever the admission control says how long to keep the record.
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
        # A duplicate that was received in time may stay unread for as long as any client waits.
        self.max_read_delay_ms = original_request.generation.longest_timeout_ms

    def apply(self, event: RecordEvent) -> None:
        """Change the state; a record that leaves IN_PROGRESS lets the original request go."""
        self.state = TRANSITIONS[self.state, event]
        self.original_request = None

    def serves(self, request: Request, now_ms: float) -> bool:
        """Whether the request is a duplicate that this record answers."""
        if not self.has_idempotency_key:
            return now_ms < self.expires_at_ms
        if self.state is RecordState.IN_PROGRESS:
            return True
        received_at_ms = min(request.received.received_at_ms, now_ms)
        return received_at_ms <= self.expires_at_ms + LIMIT_TOLERANCE_MS

    def is_expired(self, now_ms: float) -> bool:
        """Whether no request that may still be read can be a duplicate."""
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
    """Return a hash that tells a true duplicate from another request under the same idempotency key.

    Python draws the seed of its hash function when the process starts, so that nobody outside can construct another
    body with the same fingerprint.
    """
    return hash((request.received.body, request.received.tenant))
