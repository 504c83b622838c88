"""Carries out a rollout: sends the commands that ``Rollout`` instructs to the targets and records their replies."""

from __future__ import annotations

import secrets
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio

from nickelslip.configuration.control_client import ServerUnreachableError, ask_once
from nickelslip.configuration.rollout import Rollout
from nickelslip.configuration.rollout_states import Action, Instruction, RolloutPolicy, RolloutStatus, TargetState

MAX_CONCURRENT_TARGETS = 16
POLL_INTERVAL_S = 0.05
ORIGIN_TOKEN_BYTES = 4

# State names and texts that `nickelslip config rollout` prints. Scripts read them, so they must stay the same when an
# enum member is renamed.
TARGET_STATE_WORDS = {
    TargetState.PENDING: "waiting",
    TargetState.APPLYING: "asked",
    TargetState.IN_CANARY_PERIOD: "watched",
    TargetState.CONFIRMED: "good",
    TargetState.FAILED: "bad",
    TargetState.UNREACHABLE: "lost",
    TargetState.ROLLBACK_PENDING: "to_revert",
    TargetState.ROLLING_BACK: "reverting",
    TargetState.ROLLED_BACK: "reverted",
    TargetState.ROLLBACK_FAILED: "stuck",
}
ROLLOUT_STATUS_WORDS = {
    RolloutStatus.IN_PROGRESS: "going",
    RolloutStatus.ROLLING_BACK: "undoing",
    RolloutStatus.COMPLETED: "done",
    RolloutStatus.ROLLED_BACK: "undone",
    RolloutStatus.ROLLBACK_FAILED: "stuck",
}
ROLLOUT_STATUS_TEXTS = {
    RolloutStatus.IN_PROGRESS: "waves are under way",
    RolloutStatus.ROLLING_BACK: "a node undid the change, or too many are lost: all go back",
    RolloutStatus.COMPLETED: "every wave is good",
    RolloutStatus.ROLLED_BACK: "no node has the change any more",
    RolloutStatus.ROLLBACK_FAILED: "some node is not known to have gone back",
}

Ask = Callable[..., Awaitable[dict[str, Any]]]


@dataclass
class RolloutRunner:
    """Runs one rollout to its end.

    Attributes:
        rollout: The state machine of the rollout.
        policy: The policy of the rollout; only the reply timeout is used here.
        document: The document to roll out.
        origin: The origin that the targets record. It contains a random token, by which a target recognizes the change
            to roll back.
        report: Called with one line of text for each state change of a target.
        ask: Sends a command to a control socket and returns the reply.
    """

    rollout: Rollout
    policy: RolloutPolicy
    document: dict[str, Any]
    origin: str
    report: Callable[[str], None]
    ask: Ask
    _reported: dict[str, TargetState] = field(init=False, default_factory=dict)
    _slots: anyio.Semaphore = field(init=False, default_factory=lambda: anyio.Semaphore(MAX_CONCURRENT_TARGETS))
    _began_at_s: float = field(init=False, default_factory=time.monotonic)

    def _now_ms(self) -> float:
        return (time.monotonic() - self._began_at_s) * 1000

    async def run(self) -> None:
        """Carry out the instructions until the rollout is finished."""
        async with anyio.create_task_group() as tasks:
            while not self.rollout.is_finished:
                for instruction in self.rollout.advance(self._now_ms()):
                    tasks.start_soon(self._carry_out, instruction)
                self._report_states()
                await anyio.sleep(POLL_INTERVAL_S)
            tasks.cancel_scope.cancel()

    async def _carry_out(self, instruction: Instruction) -> None:
        target = instruction.target
        reply: dict[str, Any] | None
        async with self._slots:
            try:
                reply = await self._send(instruction)
            except ServerUnreachableError:
                reply = None
        self.rollout.record_reply(self._now_ms(), target, instruction.action, reply, self.origin)

    async def _send(self, instruction: Instruction) -> dict[str, Any]:
        target = instruction.target
        timeout_ms = self.policy.reply_timeout_ms
        if instruction.action is Action.CHECK_STATUS:
            return await self.ask(target, "status", timeout_ms)
        if instruction.action is Action.ROLL_BACK:
            return await self.ask(target, "rollback", timeout_ms, **{"from": self.origin})
        expires_at_ms = time.time() * 1000 + timeout_ms
        return await self.ask(
            target, "apply", timeout_ms, document=self.document, origin=self.origin, until_ms=expires_at_ms
        )

    def _report_states(self) -> None:
        """Report each target whose state differs from the one reported last."""
        for name, (state, reason) in self.rollout.target_states().items():
            if self._reported.get(name) is state:
                continue
            self._reported[name] = state
            if state is not TargetState.PENDING:
                state_name = TARGET_STATE_WORDS[state].replace("_", " ")
                self.report(f"wave {self.rollout.wave + 1}: {name}: {state_name} {reason}".rstrip())


async def run_rollout(
    rollout: Rollout,
    policy: RolloutPolicy,
    document: dict[str, Any],
    source: str,
    report: Callable[[str], None],
    ask: Ask = ask_once,
) -> None:
    """Run a rollout to its end, with a timeout for each reply and a limit on the number of targets asked at once.

    Args:
        rollout: The rollout, not started yet.
        policy: The policy of the rollout.
        document: The document to apply.
        source: Name of the document, recorded in the history of the targets.
        report: Called with one line of text for each state change of a target.
        ask: Sends a command to a control socket and returns the reply.
    """
    origin = f"roll-out {secrets.token_hex(ORIGIN_TOKEN_BYTES)}: {source}"
    await RolloutRunner(rollout, policy, document, origin, report, ask).run()
