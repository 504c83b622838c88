"""The lifecycle of one configuration change: its states, their transitions, and why a change is rejected."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from nickelslip.configuration.config import Config
from nickelslip.configuration.document import Document
from nickelslip.configuration.generations import Generation
from nickelslip.configuration.plan import Plan


class ChangeState(Enum):
    """The states of a change."""

    DRAFTED = "read, not validated yet"
    VALIDATED = "valid, and planned against the generation in force"
    STAGED = "waiting to be applied"
    APPLYING = "being applied"
    CANARY = "in force, in its canary period"
    CONFIRMED = "in force for good"
    ROLLED_BACK = "undone"
    REJECTED = "never in force"


TRANSITIONS: Mapping[ChangeState, tuple[ChangeState, ...]] = {
    ChangeState.DRAFTED: (ChangeState.VALIDATED, ChangeState.REJECTED),
    ChangeState.VALIDATED: (ChangeState.STAGED, ChangeState.REJECTED),
    ChangeState.STAGED: (ChangeState.APPLYING, ChangeState.REJECTED),
    ChangeState.APPLYING: (ChangeState.CANARY, ChangeState.CONFIRMED, ChangeState.ROLLED_BACK),
    ChangeState.CANARY: (ChangeState.CONFIRMED, ChangeState.ROLLED_BACK),
    ChangeState.CONFIRMED: (),
    ChangeState.ROLLED_BACK: (),
    ChangeState.REJECTED: (),
}

# The words of the control socket, of `--json` and (in capitals) of the log: they stay when a name in the code changes.
STATE_WORDS: Mapping[ChangeState, str] = {
    ChangeState.DRAFTED: "drafted",
    ChangeState.VALIDATED: "checked",
    ChangeState.STAGED: "staged",
    ChangeState.APPLYING: "applying",
    ChangeState.CANARY: "on_probation",
    ChangeState.CONFIRMED: "confirmed",
    ChangeState.ROLLED_BACK: "rolled_back",
    ChangeState.REJECTED: "refused",
}


class RejectionReason(Enum):
    """Why something that was asked for is not done; the value is the text that is shown."""

    NO_DIFFERENCE = "nothing differs from what is in force"
    NEEDS_RESTART = "some of it needs a restart"
    RECENTLY_ROLLED_BACK = "this document was undone not long ago"
    BUSY = "another change is staged, being applied or on probation"
    SUPERSEDED = "another generation has come into force since it was staged"
    NOT_FOUND = "there is no such change"
    SHUTTING_DOWN = "the server leaves"
    INVALID_DOCUMENT = "the document is faulty"
    CONTROLLER_ERROR = "the module does not take it"
    HISTORY_UNAVAILABLE = "the history cannot be written"
    EXPIRED = "its sender does not wait for it any more"


class ChangeRejectedError(Exception):
    """What was asked for is not done.

    Args:
        reason: Why not.
        detail: Figures or names that belong to the reason.
    """

    def __init__(self, reason: RejectionReason, detail: str = "") -> None:
        super().__init__(f"{reason.value}: {detail}" if detail else reason.value)
        self.reason = reason
        self.detail = detail


@dataclass(eq=False)
class ConfigurationChange:
    """One change of the configuration.

    Attributes:
        number: Counts from 1 up in this process.
        config: The configuration it leads to.
        document: The whole document it leads to.
        digest: The digest of the document.
        origin: Where the change came from.
        base_generation: The generation it was planned against.
        plan: What differs from the base generation.
        forced: Whether a recent rollback of the same document is disregarded.
        state: Its state.
        state_entered_at_ms: When it entered the state; moved on by time that does not count for the canary period.
        reason: Why it entered the state.
        generation: The generation made of it, once it is being applied.
    """

    number: int
    config: Config
    document: Document
    digest: str
    origin: str
    base_generation: Generation
    plan: Plan
    forced: bool = False
    state: ChangeState = ChangeState.DRAFTED
    state_entered_at_ms: float = 0.0
    reason: str = ""
    generation: Generation | None = None

    @property
    def needs_canary_period(self) -> bool:
        """Whether it has to be observed; changes of peer addresses or of the rules for changes alone do not."""
        return not (self.plan.changes_peers_only or self.plan.changes_rules_only)

    def enter(self, state: ChangeState, now_ms: float, reason: str = "") -> None:
        """Move the change to a state: the only place where its state is set.

        Raises:
            RuntimeError: There is no such transition.
        """
        if state not in TRANSITIONS[self.state]:
            raise RuntimeError(f"a change cannot go from {self.state.name} to {state.name}")
        self.state = state
        self.state_entered_at_ms = now_ms
        self.reason = reason
