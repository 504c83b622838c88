"""Why connections, runs and calls end, and the outcome that each of these means to the admission controller."""

from __future__ import annotations

from enum import Enum

from nickelslip.admission.interface import Outcome


class CloseReason(Enum):
    """Why a connection ended."""

    CLOSED = "the other side closed it"
    RESET = "the connection was reset"
    MALFORMED = "a message could not be parsed"
    STALLED = "the other side stopped half way through a message, or did not read"
    SHED = "no buffer or descriptor was left for it"
    REFUSED = "it was never established"
    IDLE = "it was unused for too long, or is no longer needed"
    UNRESPONSIVE = "no complete message arrived on it"
    ENDPOINT_CHANGED = "the address of the other side was replaced"
    SHUTDOWN = "this server shuts down"
    FAULT = "an error of this program"

    @property
    def outcome(self) -> Outcome:
        """The outcome of work that was in flight on the connection.

        Only a connection that was never established proves that nothing ran.
        """
        return Outcome.CONNECT_FAILED if self is CloseReason.REFUSED else Outcome.RESET


class ConnectionClosedError(Exception):
    """A connection has ended.

    Args:
        reason: Why it ended.
        detail: What exactly happened, if there is more to say.

    Attributes:
        reason: Why it ended.
        detail: What exactly happened; empty if there is nothing more to say.
    """

    def __init__(self, reason: CloseReason, detail: str = "") -> None:
        super().__init__(f"{reason.value}: {detail}" if detail else reason.value)
        self.reason = reason
        self.detail = detail


# The words of the worker pool's protocol for the end of a run.
RUN_OUTCOMES = {
    "fine": Outcome.OK,
    "fault": Outcome.ERROR,
    "broken_off": Outcome.CANCELLED,
    "late": Outcome.NOT_STARTED,
}

# The words of the records service's protocol for the end of a call.
CALL_OUTCOMES = {
    b"DONE": Outcome.OK,
    b"WAIT": Outcome.REJECTED,
    b"ERROR": Outcome.ERROR,
    b"PAST": Outcome.TIMEOUT,
    b"EMPTY": Outcome.NOT_STARTED,
}

ABANDONED_CALL_OUTCOME = Outcome.TIMEOUT
MALFORMED_RESULT_OUTCOME = Outcome.ERROR  # the run is over, and its result cannot be read
UNREADABLE_CALL_OUTCOME = Outcome.REJECTED  # the call is never made, as its body cannot be read
NO_DESCRIPTOR_OUTCOME = Outcome.REJECTED  # the call is never made, as no descriptor is left for calls
UNKNOWN_START_OUTCOME = Outcome.ERROR  # the worker pool does not know the start: there is no run and no result
