"""Reasons for which connections, runs and calls end, and the outcome reported to the admission controller for each."""

from __future__ import annotations

from enum import Enum

from nickelslip.admission.interface import Outcome


class CloseReason(Enum):
    """The reason for which a connection ended."""

    CLOSED = "closed by the peer"
    RESET = "connection reset"
    MALFORMED = "malformed message"
    STALLED = "the peer stopped in the middle of a message, or stopped reading"
    SHED = "no free buffer or file descriptor"
    REFUSED = "the connection was not established"
    IDLE = "idle for too long, or no longer needed"
    UNRESPONSIVE = "no message was received in time"
    ENDPOINT_CHANGED = "the configured address of the peer changed"
    SHUTDOWN = "server shutdown"
    FAULT = "internal error"

    @property
    def outcome(self) -> Outcome:
        """The outcome of work that was in flight on the connection.

        Work is known not to have run only if the connection was never established.
        """
        return Outcome.CONNECT_FAILED if self is CloseReason.REFUSED else Outcome.RESET


class ConnectionClosedError(Exception):
    """A connection has ended.

    Args:
        reason: The reason for which it ended.
        detail: Further information about the cause, if any.

    Attributes:
        reason: The reason for which it ended.
        detail: Further information about the cause; may be empty.
    """

    def __init__(self, reason: CloseReason, detail: str = "") -> None:
        super().__init__(f"{reason.value}: {detail}" if detail else reason.value)
        self.reason = reason
        self.detail = detail


# The worker pool protocol's words for the outcome of a run.
RUN_OUTCOMES = {
    "fine": Outcome.OK,
    "fault": Outcome.ERROR,
    "broken_off": Outcome.CANCELLED,
    "late": Outcome.NOT_STARTED,
}

# The records service protocol's words for the outcome of a call.
CALL_OUTCOMES = {
    b"DONE": Outcome.OK,
    b"WAIT": Outcome.REJECTED,
    b"ERROR": Outcome.ERROR,
    b"PAST": Outcome.TIMEOUT,
    b"EMPTY": Outcome.NOT_STARTED,
}

ABANDONED_CALL_OUTCOME = Outcome.TIMEOUT
MALFORMED_RESULT_OUTCOME = Outcome.ERROR  # the run has ended, but its result cannot be decoded
UNREADABLE_CALL_OUTCOME = Outcome.REJECTED  # the call is not made because its body cannot be decoded
NO_DESCRIPTOR_OUTCOME = Outcome.REJECTED  # the call is not made because no file descriptor is left for calls
UNKNOWN_START_OUTCOME = Outcome.NOT_STARTED  # the worker pool does not know the request
