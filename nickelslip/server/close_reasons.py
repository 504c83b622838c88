"""How things end: every way in which a connection, a run or a call can end, and what each means to the module.

Owns the one mapping from endings to the module's Outcome. It must never do I/O or choose what follows from an
ending: that is the module's, or the caller's by the protocol.
"""

from __future__ import annotations

from enum import Enum

from nickelslip.admission.interface import Outcome


class CloseReason(Enum):
    """Every way in which a connection can end."""

    CLOSED = "the other side closed it"
    RESET = "it broke off"
    MALFORMED = "what came on it could not be understood"
    STALLED = "the other side stood still half way through a message, or did not read"
    SHED = "no buffer or descriptor was left for it"
    REFUSED = "it never came about"
    IDLE = "unused for as long as it may stay, or not needed any more"
    UNRESPONSIVE = "nothing whole came on it"
    ENDPOINT_CHANGED = "the other side's address was replaced"
    SHUTDOWN = "this server leaves"
    FAULT = "an error of this program"

    @property
    def outcome(self) -> Outcome:
        """What became of work that was out on it: only one that never came about proves that nothing ran."""
        return Outcome.CONNECT_FAILED if self is CloseReason.REFUSED else Outcome.RESET


class ConnectionClosedError(Exception):
    """A connection has ended, in the named way."""

    def __init__(self, ending: CloseReason, detail: str = "") -> None:
        super().__init__(f"{ending.value}{': ' if detail else ''}{detail}")
        self.reason, self.detail = ending, detail


RUN_OUTCOMES = {
    "fine": Outcome.OK,
    "fault": Outcome.ERROR,
    "broken_off": Outcome.CANCELLED,
    "late": Outcome.NOT_STARTED,
}
CALL_OUTCOMES = {
    b"DONE": Outcome.OK,
    b"WAIT": Outcome.REJECTED,
    b"ERROR": Outcome.ERROR,
    b"PAST": Outcome.TIMEOUT,
    b"EMPTY": Outcome.NOT_STARTED,
}
ABANDONED_CALL_OUTCOME = Outcome.TIMEOUT
MALFORMED_RESULT_OUTCOME = Outcome.ERROR  # a run that is over, and nobody can read how
UNREADABLE_CALL_OUTCOME = Outcome.REJECTED  # one that was never made, since its body cannot be read
NO_DESCRIPTOR_OUTCOME = Outcome.REJECTED  # one that was never made, since there is none left for calls
UNKNOWN_START_OUTCOME = Outcome.ERROR  # a start that the worker pool does not know: no run, no result
