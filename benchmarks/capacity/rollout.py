"""Simulates how long `nickelslip config rollout` takes until a change is in force on every server.

The `Rollout` of the command runs against simulated servers in simulated time. Each server takes the measured time to
apply a change and confirms it after its shortest canary period. As many instructions are in flight as the command
allows. All servers are up and respond quickly, so the times are the shortest that the command can achieve.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from benchmarks.sample_statistics import percentile_by_ceiling_rank
from nickelslip.configuration.config import ChangeRules
from nickelslip.configuration.rollout import Rollout
from nickelslip.configuration.rollout_runner import MAX_CONCURRENT_TARGETS, ROLLOUT_STATUS_WORDS
from nickelslip.configuration.rollout_states import Action, Instruction, RolloutPolicy, RolloutStatus

ADVANCE_INTERVAL_MS = 50.0  # between the times at which the command advances the roll-out
MAX_ROLLOUT_MS = 600_000.0
ORIGIN = "roll-out"


@dataclass(frozen=True)
class SimulatedRollout:
    """The result of one simulated roll-out."""

    status_word: str
    took_s: float
    in_force_s: tuple[float, ...]  # when each server that received the change applied it, ascending

    def percentile(self, fraction: float) -> float:
        """Return when this fraction of the servers that received the change had applied it."""
        return percentile_by_ceiling_rank(self.in_force_s, fraction)


def simulate_rollout(server_count: int, apply_ms: float, status_ms: float) -> SimulatedRollout:
    """Simulate one roll-out to this many servers."""
    canary_period_ms = ChangeRules().canary_period_ms
    rollout = Rollout([f"n{number}" for number in range(server_count)], RolloutPolicy(), 0.0)
    pending: list[Instruction] = []
    pending_replies: list[tuple[float, str, Action]] = []  # a heap ordered by arrival time
    in_force_at_ms: dict[str, float] = {}
    now_ms = 0.0
    while not rollout.is_finished and now_ms < MAX_ROLLOUT_MS:
        pending += rollout.advance(now_ms)
        until_ms = now_ms + ADVANCE_INTERVAL_MS
        while True:
            while pending and len(pending_replies) < MAX_CONCURRENT_TARGETS:
                instruction = pending.pop(0)
                reply_ms = status_ms if instruction.action is Action.CHECK_STATUS else apply_ms
                heapq.heappush(pending_replies, (now_ms + reply_ms, instruction.target, instruction.action))
            if not pending_replies or pending_replies[0][0] > until_ms:
                break
            now_ms, target, action = heapq.heappop(pending_replies)
            if action is Action.APPLY:
                in_force_at_ms.setdefault(target, now_ms)
            step = "confirmed" if now_ms >= in_force_at_ms.get(target, now_ms) + canary_period_ms else "on_probation"
            rollout.record_reply(now_ms, target, action, _reply(step), ORIGIN)
        now_ms = until_ms
    status_word = ROLLOUT_STATUS_WORDS[rollout.status if rollout.is_finished else RolloutStatus.IN_PROGRESS]
    return SimulatedRollout(
        status_word, now_ms / 1000, tuple(sorted(applied_at_ms / 1000 for applied_at_ms in in_force_at_ms.values()))
    )


def _reply(step: str) -> dict[str, object]:
    return {"ok": True, "change": {"step": step}, "step": step, "changes": [{"origin": ORIGIN}], "current": None}
