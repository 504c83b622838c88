"""The states, actions and policy of a staged rollout, and the transition table of its targets."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class TargetState(Enum):
    """The state of one target."""

    PENDING = "its wave has not begun"
    APPLYING = "it is asked to apply the document"
    IN_CANARY_PERIOD = "it has applied the document and observes the effect"
    CONFIRMED = "it has confirmed the document"
    FAILED = "it has rolled back or rejected the document"
    UNREACHABLE = "it did not answer in time"
    ROLLBACK_PENDING = "it is to roll back"
    ROLLING_BACK = "it is asked to roll back"
    ROLLED_BACK = "it has rolled back"
    ROLLBACK_FAILED = "it is not known to have rolled back"


class RolloutStatus(Enum):
    """The status of the whole rollout."""

    IN_PROGRESS = "waves are under way"
    ROLLING_BACK = "a target failed or too many are unreachable; all roll back"
    COMPLETED = "every wave is confirmed"
    ROLLED_BACK = "no target has the document any more"
    ROLLBACK_FAILED = "some target is not known to have rolled back"


class Action(Enum):
    """An action to carry out at a target."""

    APPLY = "apply the document"
    CHECK_STATUS = "ask for the status"
    ROLL_BACK = "roll back, if the document is still in force"


TRANSITIONS: dict[TargetState, tuple[TargetState, ...]] = {
    TargetState.PENDING: (TargetState.APPLYING,),
    TargetState.APPLYING: (
        TargetState.IN_CANARY_PERIOD,
        TargetState.CONFIRMED,
        TargetState.FAILED,
        TargetState.UNREACHABLE,
        TargetState.ROLLBACK_PENDING,
    ),
    TargetState.IN_CANARY_PERIOD: (
        TargetState.CONFIRMED,
        TargetState.FAILED,
        TargetState.UNREACHABLE,
        TargetState.ROLLBACK_PENDING,
    ),
    TargetState.CONFIRMED: (TargetState.IN_CANARY_PERIOD, TargetState.ROLLBACK_PENDING),
    TargetState.FAILED: (),
    TargetState.UNREACHABLE: (TargetState.ROLLBACK_PENDING,),
    TargetState.ROLLBACK_PENDING: (TargetState.ROLLING_BACK,),
    TargetState.ROLLING_BACK: (
        TargetState.ROLLED_BACK,
        TargetState.ROLLBACK_FAILED,
        TargetState.ROLLBACK_PENDING,
    ),
    TargetState.ROLLED_BACK: (),
    TargetState.ROLLBACK_FAILED: (),
}
ACTION_BY_STATE: dict[TargetState, Action] = {
    TargetState.APPLYING: Action.APPLY,
    TargetState.IN_CANARY_PERIOD: Action.CHECK_STATUS,
    TargetState.ROLLBACK_PENDING: Action.ROLL_BACK,
    TargetState.ROLLING_BACK: Action.CHECK_STATUS,
}
UNDECIDED_STATES = (TargetState.APPLYING, TargetState.IN_CANARY_PERIOD)
STATES_TO_ROLL_BACK = (TargetState.CONFIRMED, TargetState.UNREACHABLE, *UNDECIDED_STATES)
STATES_DONE_WITH_ROLLBACK = (
    TargetState.PENDING,
    TargetState.FAILED,
    TargetState.ROLLED_BACK,
    TargetState.ROLLBACK_FAILED,
)
FINISHED_STATUSES = (RolloutStatus.COMPLETED, RolloutStatus.ROLLED_BACK, RolloutStatus.ROLLBACK_FAILED)


@dataclass(frozen=True)
class RolloutPolicy:
    """The waves, limits and timeouts of a rollout.

    Attributes:
        wave_fractions: The fraction of all targets that have been asked to apply the document by the end of each wave,
            in increasing order. Every wave has at least one target, so a first fraction of 0 means a single canary.
        max_unreachable_count: The number of unreachable targets above which all targets are rolled back.
        reply_timeout_ms: Timeout of one reply.
        unreachable_after_ms: Time without a reply after which a target counts as unreachable.
        status_check_interval_ms: Time between two status checks of a target.
        canary_timeout_ms: Time after which a target that is still in its canary period counts as unreachable.
        rollback_timeout_ms: Timeout of the whole rollback.
    """

    wave_fractions: tuple[float, ...] = (0.0, 0.1, 0.5, 1.0)
    max_unreachable_count: int = 0
    reply_timeout_ms: float = 5000.0
    unreachable_after_ms: float = 15_000.0
    status_check_interval_ms: float = 500.0
    canary_timeout_ms: float = 180_000.0
    rollback_timeout_ms: float = 30_000.0


@dataclass(frozen=True)
class Instruction:
    """An action to carry out at a target now."""

    target: str
    action: Action


class TargetReport(NamedTuple):
    """The state of a target and the reason for it, if there is one."""

    state: TargetState
    reason: str
