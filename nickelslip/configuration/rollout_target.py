"""The progress of one target of a rollout, and the sizes of the waves."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil

from nickelslip.configuration.rollout_states import TRANSITIONS, TargetState


@dataclass
class Target:
    """The progress of one target.

    Attributes:
        name: Path of its control socket.
        state: Its current state.
        reason: Why it is in this state; may be empty.
        entered_at_ms: When it entered this state.
        last_reply_at_ms: When it last replied; before the first reply, when it was first asked.
        next_action_at_ms: When the next action is due.
        is_action_pending: Whether an action is being carried out at it.
        had_document: Whether it had the document in force before, so that it is neither changed nor rolled back.
    """

    name: str
    state: TargetState = TargetState.PENDING
    reason: str = ""
    entered_at_ms: float = 0.0
    last_reply_at_ms: float = 0.0
    next_action_at_ms: float = 0.0
    is_action_pending: bool = False
    had_document: bool = False

    def enter(self, state: TargetState, now_ms: float, reason: str = "") -> None:
        """Move to another state. No other code sets the state.

        Raises:
            RuntimeError: The transition is not allowed.
        """
        if state not in TRANSITIONS[self.state]:
            raise RuntimeError(f"{self.name} cannot go from {self.state.name} to {state.name}")
        self.state = state
        self.entered_at_ms = now_ms
        self.reason = reason

    def ask_at_once(self, state: TargetState, now_ms: float) -> None:
        """Move to a state in which the target is asked at once."""
        self.enter(state, now_ms)
        self.last_reply_at_ms = now_ms
        self.next_action_at_ms = now_ms


def wave_ends(target_count: int, wave_fractions: Sequence[float]) -> list[int]:
    """Return how many targets have been asked by the end of each wave. The last wave includes all targets."""
    ends: list[int] = []
    for fraction in (*wave_fractions, 1.0):
        end = min(target_count, max(1, ceil(fraction * target_count)))
        if not ends or end > ends[-1]:
            ends.append(end)
    return ends
