"""The lifecycle of a configuration change: its states, the transitions between them, and the reasons for rejection."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from nickelslip.configuration.change_reference import ChangeReference, ChangeReferences, with_reference
from nickelslip.configuration.config import Config
from nickelslip.configuration.document import Document
from nickelslip.configuration.generations import Generation
from nickelslip.configuration.plan import Plan


class ChangeState(Enum):
    """The state of a configuration change."""

    DRAFTED = "created, not validated yet"
    VALIDATED = "valid, and planned against the generation in force"
    STAGED = "waiting to be applied"
    APPLYING = "being applied"
    CANARY = "in force, in its canary period"
    CONFIRMED = "in force permanently"
    ROLLED_BACK = "rolled back"
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

# State names on the control socket, in `--json` output and (in upper case) in the log. They must stay the same when a
# member of ChangeState is renamed.
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
    """Why a requested operation is rejected. The value is the text shown to operators."""

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
    """A requested operation on the configuration is rejected.

    Args:
        reason: Why it is rejected.
        detail: Figures or names that complete the reason.
    """

    def __init__(self, reason: RejectionReason, detail: str = "") -> None:
        super().__init__(f"{reason.value}: {detail}" if detail else reason.value)
        self.reason = reason
        self.detail = detail


@dataclass(eq=False)
class ConfigurationChange:
    """One change of the configuration.

    Attributes:
        number: Number of the change within this process, starting at 1.
        config: The configuration that the change leads to.
        document: The complete document that the change leads to.
        digest: The digest of the document.
        origin: Where the change came from.
        base_generation: The generation against which the change was planned.
        plan: The differences from the base generation.
        forced: Whether the change is accepted even if the same document was rolled back recently.
        inherited_changes: The earlier changes on which the document is based.
        is_return: Whether the change goes back to a confirmed generation. It is confirmed from the start and never
            rolled back: otherwise what it undoes would come back.
        state: The current state.
        state_entered_at_ms: When the change entered the state. Time that does not count towards the canary period is
            added to it.
        reason: Why the change entered the state.
        generation: The generation created for the change; None until the change is being applied.
    """

    number: int
    config: Config
    document: Document
    digest: str
    origin: str
    base_generation: Generation
    plan: Plan
    forced: bool = False
    inherited_changes: ChangeReferences = ()
    is_return: bool = False
    state: ChangeState = ChangeState.DRAFTED
    state_entered_at_ms: float = 0.0
    reason: str = ""
    generation: Generation | None = None

    @property
    def references(self) -> ChangeReferences:
        """The changes on which the generation of this change is based, once it was created."""
        if self.is_return or self.generation is None:
            return self.inherited_changes
        own = ChangeReference(self.generation.number, self.generation.created_at_ms, self.origin)
        return with_reference(self.inherited_changes, own)

    @property
    def needs_canary_period(self) -> bool:
        """Whether the change needs a canary period. Changes to only peer addresses or only change rules need none."""
        return not (self.plan.changes_peers_only or self.plan.changes_rules_only)

    def enter(self, state: ChangeState, now_ms: float, reason: str = "") -> None:
        """Move the change to another state. No other code sets the state.

        Raises:
            RuntimeError: The transition is not allowed.
        """
        if state not in TRANSITIONS[self.state]:
            raise RuntimeError(f"a change cannot go from {self.state.name} to {state.name}")
        self.state = state
        self.state_entered_at_ms = now_ms
        self.reason = reason
