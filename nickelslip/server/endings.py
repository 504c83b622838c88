"""How things end: every way in which a connection, a run or a call can end, and what each means to the module.

Owns the one mapping from endings to the module's Outcome. It must never do I/O or choose what follows from an
ending: that is the module's, or the caller's by the protocol.
"""

from __future__ import annotations

from enum import Enum

from nickelslip.admission.interface import Outcome


class Ending(Enum):
    """Every way in which a connection can end."""

    CLOSED = "the other side closed it"
    RESET = "it broke off"
    GARBLED = "what came on it could not be understood"
    STALLED = "the other side stood still half way through a message, or did not read"
    SHED = "no buffer or descriptor was left for it"
    REFUSED = "it never came about"
    IDLE = "unused for as long as it may stay, or not needed any more"
    SILENT = "nothing whole came on it"
    MOVED = "the other side's address was replaced"
    LEFT = "this server leaves"
    FAULT = "an error of this program"

    @property
    def outcome(self) -> Outcome:
        """What became of work that was out on it: only one that never came about proves that nothing ran."""
        return Outcome.CONNECT_FAILED if self is Ending.REFUSED else Outcome.RESET


class Ended(Exception):
    """A connection has ended, in the named way."""

    def __init__(self, ending: Ending, detail: str = "") -> None:
        super().__init__(f"{ending.value}{': ' if detail else ''}{detail}")
        self.ending, self.detail = ending, detail


RUN_ENDS = {"fine": Outcome.OK, "fault": Outcome.ERROR, "broken_off": Outcome.CANCELLED, "late": Outcome.NOT_STARTED}
CALL_ENDS = {
    b"DONE": Outcome.OK,
    b"WAIT": Outcome.REJECTED,
    b"ERROR": Outcome.ERROR,
    b"PAST": Outcome.TIMEOUT,
    b"EMPTY": Outcome.NOT_STARTED,
}
CALL_GIVEN_UP = Outcome.TIMEOUT
SPOILT_END = Outcome.ERROR  # a run that is over, and nobody can read how
UNREADABLE_CALL = Outcome.REJECTED  # one that was never made, since its body cannot be read
NO_DESCRIPTOR = Outcome.REJECTED  # one that was never made, since there is none left for calls
NOT_CARRIED_OUT = Outcome.ERROR  # a start that the worker pool does not know: no run, no result
