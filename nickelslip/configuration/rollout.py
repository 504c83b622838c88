"""The state machine of a staged rollout, which applies a document to a canary target and then to waves of targets.

A target is a server, addressed by its control socket. All targets are rolled back if one of them rolls the document
back or rejects it, if too many are unreachable, or if no target of a wave confirms the document. A target that is down
or replies late never counts as confirmed, and the time to wait for it is bounded.

Before the rollout or the rollback ends, each target is asked which changes are in force. A target that does not tell
counts as unreachable, or as not rolled back.

``Rollout`` decides on the next action for each target and evaluates the replies. It has no clock and does no I/O:
``rollout_runner`` carries out its instructions and records the replies.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import inf
from typing import Any

from nickelslip.configuration.rollout_replies import TargetStatus, decode_status, reason_of
from nickelslip.configuration.rollout_states import (
    ACTION_BY_STATE,
    FINISHED_STATUSES,
    STATES_DONE_WITH_ROLLBACK,
    STATES_TO_ROLL_BACK,
    UNDECIDED_STATES,
    Action,
    Instruction,
    RolloutPolicy,
    RolloutStatus,
    TargetReport,
    TargetState,
)
from nickelslip.configuration.rollout_target import Target, wave_ends

# Codes with which a target rejects a request. All but `INVALID_REQUEST_CODE` stand for a RejectionReason, see
# `server.control_words`.
REJECTION_CODES = ("faulty", "restart", "undone", "unproven", "improper", "leaving", "history", "none")
UNCHANGED_CODE = "nothing"
TOO_LATE_CODE = "late"
NOT_IN_FORCE_CODE = "none"

MAX_LISTED_TARGETS = 5
UNKNOWN_CHANGES = "its status does not tell which changes are in force"
NO_HISTORY = "until its next restart, since it keeps no history"


class Rollout:
    """One rollout of one document.

    Args:
        targets: The paths of the control sockets, in the order of the waves.
        policy: The waves, limits and timeouts.
        now_ms: The current time.

    Attributes:
        wave: Index of the current wave.
        status: Status of the whole rollout.
        reason: Why all targets are rolled back; empty while they are not.

    Raises:
        ValueError: There is no target, or a target is given twice.
    """

    def __init__(self, targets: Sequence[str], policy: RolloutPolicy, now_ms: float) -> None:
        if not targets or len(set(targets)) != len(targets):
            raise ValueError("each node is named once, and there is at least one")
        self._policy = policy
        self._targets = {name: Target(name) for name in targets}
        self._wave_ends = wave_ends(len(targets), policy.wave_fractions)
        self.wave = -1
        self.status = RolloutStatus.IN_PROGRESS
        self.reason = ""
        self._rollback_began_at_ms = inf
        self._is_verifying = False
        self._begin_next_wave(now_ms)

    def target_states(self) -> dict[str, TargetReport]:
        """Return the state of each target and the reason for it."""
        return {target.name: TargetReport(target.state, target.reason) for target in self._targets.values()}

    @property
    def is_finished(self) -> bool:
        """Whether the rollout has ended, successfully or not."""
        return self.status in FINISHED_STATUSES

    def _asked_targets(self) -> list[Target]:
        """Return the targets of all waves up to the current one."""
        return list(self._targets.values())[: self._wave_ends[self.wave]]

    def _begin_next_wave(self, now_ms: float) -> None:
        self.wave += 1
        for target in self._asked_targets():
            if target.state is TargetState.PENDING:
                target.ask_at_once(TargetState.APPLYING, now_ms)

    def _begin_verification(self, now_ms: float) -> None:
        """Ask each target once more whether it has the document in force."""
        self._is_verifying = True
        for target in self._targets.values():
            if target.state is TargetState.CONFIRMED and not target.had_document:
                target.ask_at_once(TargetState.IN_CANARY_PERIOD, now_ms)

    def advance(self, now_ms: float) -> list[Instruction]:
        """Apply timeouts, update the wave or the rollback, and return the instructions to carry out now.

        The caller must call ``record_reply`` exactly once for each instruction.
        """
        for target in self._targets.values():
            self._apply_timeouts(target, now_ms)
        if self.status is RolloutStatus.IN_PROGRESS:
            self._advance_wave(now_ms)
        if self.status is RolloutStatus.ROLLING_BACK:
            self._advance_rollback(now_ms)
        if self.is_finished:
            return []
        return [
            self._instruct(target, ACTION_BY_STATE[target.state], now_ms)
            for target in self._targets.values()
            if not target.is_action_pending and now_ms >= target.next_action_at_ms and target.state in ACTION_BY_STATE
        ]

    def _instruct(self, target: Target, action: Action, now_ms: float) -> Instruction:
        if action is Action.ROLL_BACK:
            target.enter(TargetState.ROLLING_BACK, now_ms)
        target.is_action_pending = True
        target.next_action_at_ms = now_ms + self._policy.status_check_interval_ms
        return Instruction(target.name, action)

    def _apply_timeouts(self, target: Target, now_ms: float) -> None:
        """Mark a target as unreachable if it has not replied or not finished its canary period in time."""
        since_reply_ms = now_ms - target.last_reply_at_ms
        in_state_ms = now_ms - target.entered_at_ms
        if target.state in UNDECIDED_STATES and since_reply_ms > self._policy.unreachable_after_ms:
            target.enter(TargetState.UNREACHABLE, now_ms, "no answer in time")
        elif target.state is TargetState.IN_CANARY_PERIOD and in_state_ms > self._policy.canary_timeout_ms:
            target.enter(TargetState.UNREACHABLE, now_ms, target.reason or "its probation does not end")

    def _advance_wave(self, now_ms: float) -> None:
        """Begin the rollback if a target failed or too many are unreachable. Else continue once the wave is decided."""
        asked = self._asked_targets()
        failed = next((target for target in asked if target.state is TargetState.FAILED), None)
        if failed is not None:
            self._roll_back(now_ms, f"{failed.name}: {failed.reason}")
            return
        unreachable = [target.name for target in asked if target.state is TargetState.UNREACHABLE]
        if len(unreachable) > self._policy.max_unreachable_count:
            self._roll_back(now_ms, f"{len(unreachable)} lost: {', '.join(unreachable[:MAX_LISTED_TARGETS])}")
            return
        if any(target.state in UNDECIDED_STATES for target in asked):
            return
        added_in_wave = asked[self._wave_ends[self.wave - 1] if self.wave else 0 :]
        if not any(target.state is TargetState.CONFIRMED for target in added_in_wave):
            self._roll_back(now_ms, "a whole wave is lost")
        elif self.wave + 1 < len(self._wave_ends):
            self._begin_next_wave(now_ms)
        elif not self._is_verifying:
            self._begin_verification(now_ms)
        else:
            self.status = RolloutStatus.COMPLETED

    def _roll_back(self, now_ms: float, reason: str) -> None:
        """Begin to roll back every target that has the document or may have it."""
        self.status = RolloutStatus.ROLLING_BACK
        self.reason = reason
        self._rollback_began_at_ms = now_ms
        for target in self._targets.values():
            if target.state in STATES_TO_ROLL_BACK and not target.had_document:
                target.enter(TargetState.ROLLBACK_PENDING, now_ms, target.reason)
                target.next_action_at_ms = now_ms

    def _advance_rollback(self, now_ms: float) -> None:
        """End the rollback once every target is done or the timeout has expired."""
        if now_ms - self._rollback_began_at_ms > self._policy.rollback_timeout_ms:
            for target in self._targets.values():
                self._abort_rollback(target, now_ms)
        states = [target.state for target in self._targets.values() if not target.had_document]
        if not all(state in STATES_DONE_WITH_ROLLBACK for state in states):
            return
        if TargetState.ROLLBACK_FAILED in states:
            self.status = RolloutStatus.ROLLBACK_FAILED
        else:
            self.status = RolloutStatus.ROLLED_BACK

    def _abort_rollback(self, target: Target, now_ms: float) -> None:
        reason = target.reason or "no answer while going back"
        if target.state is TargetState.ROLLBACK_PENDING:
            target.enter(TargetState.ROLLING_BACK, now_ms)
        if target.state is TargetState.ROLLING_BACK:
            target.enter(TargetState.ROLLBACK_FAILED, now_ms, reason)

    def record_reply(
        self,
        now_ms: float,
        name: str,
        action: Action,
        reply: dict[str, Any] | None,
        origin: str,
    ) -> None:
        """Record the outcome of an instruction.

        Args:
            now_ms: The current time.
            name: The target of the instruction.
            action: The action of the instruction.
            reply: The reply of the target, or None if there was none in time.
            origin: The origin of the change, by which a target knows it.
        """
        target = self._targets[name]
        target.is_action_pending = False
        if reply is None:
            if target.state is TargetState.ROLLING_BACK and action is Action.ROLL_BACK:
                target.enter(TargetState.ROLLBACK_PENDING, now_ms, "no answer")
            return
        target.last_reply_at_ms = now_ms
        if action is Action.APPLY and target.state is TargetState.APPLYING:
            self._record_apply(target, now_ms, reply)
        elif action is Action.CHECK_STATUS and reply.get("ok") is True:
            self._record_status(target, now_ms, decode_status(reply, origin))
        elif action is Action.ROLL_BACK and target.state is TargetState.ROLLING_BACK:
            self._record_rollback(target, now_ms, reply)

    def _record_apply(self, target: Target, now_ms: float, reply: dict[str, Any]) -> None:
        code = reply.get("code")
        if reply.get("ok") is True:
            target.enter(TargetState.IN_CANARY_PERIOD, now_ms)
        elif code == UNCHANGED_CODE:
            target.had_document = True
            target.enter(TargetState.CONFIRMED, now_ms, "it had the document already when it was asked")
        elif code == TOO_LATE_CODE:
            target.enter(TargetState.UNREACHABLE, now_ms, "it answered too late")
        elif code in REJECTION_CODES:
            target.enter(TargetState.FAILED, now_ms, reason_of(reply, "text", "refused"))
        else:  # busy: ask again until the target counts as unreachable
            target.reason = reason_of(reply, "text", "busy")
            if now_ms - target.entered_at_ms > self._policy.unreachable_after_ms:
                target.enter(TargetState.UNREACHABLE, now_ms, target.reason)

    def _record_status(self, target: Target, now_ms: float, status: TargetStatus) -> None:
        if status.has_change is None:
            target.reason = UNKNOWN_CHANGES
        elif target.state is TargetState.IN_CANARY_PERIOD:
            self._record_observation(target, now_ms, status)
        elif target.state is TargetState.ROLLING_BACK:
            self._record_verification_of_rollback(target, now_ms, status)

    def _record_observation(self, target: Target, now_ms: float, status: TargetStatus) -> None:
        """Record whether a target still has the document, and has confirmed it for good."""
        if not status.has_change:
            target.enter(TargetState.FAILED, now_ms, status.reason or "it is not in force any more")
        elif status.is_confirmed and status.survives_restart:
            target.enter(TargetState.CONFIRMED, now_ms, "" if status.keeps_history else NO_HISTORY)

    def _record_verification_of_rollback(self, target: Target, now_ms: float, status: TargetStatus) -> None:
        """Record whether a target that was asked to roll back has the document neither now nor after a restart."""
        if status.has_change:
            target.enter(TargetState.ROLLBACK_PENDING, now_ms, "it still has the document in force")
        elif status.survives_restart:
            target.enter(TargetState.ROLLED_BACK, now_ms)
        else:
            target.reason = "a restart may bring the document back"

    def _record_rollback(self, target: Target, now_ms: float, reply: dict[str, Any]) -> None:
        """Record the reply to a rollback, which may find that the document is not in force. The status has to agree."""
        if reply.get("ok") is True or reply.get("code") == NOT_IN_FORCE_CODE:
            target.next_action_at_ms = now_ms
        else:
            target.enter(TargetState.ROLLBACK_PENDING, now_ms, reason_of(reply, "text", ""))
