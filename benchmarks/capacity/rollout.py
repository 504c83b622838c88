"""How soon a change is in force everywhere by today's `nickelslip config rollout`, in simulated time.

The `Rollout` of the command is run over simulated nodes. Each takes the measured time for a change and confirms it
after its shortest canary period, with as many instructions in flight at once as the command allows. All nodes are up
and quick, so the times are the shortest that the command can reach.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

from benchmarks.sample_statistics import percentile_by_ceiling_rank
from nickelslip.configuration.config import ChangeRules
from nickelslip.configuration.rollout import Action, Instruction, Rollout, RolloutPolicy, RolloutStatus
from nickelslip.configuration.rollout_runner import MAX_CONCURRENT_TARGETS, ROLLOUT_STATUS_WORDS

STEP_MS = 50.0  # between the command's looks at its nodes
MAX_ROLLOUT_MS = 600_000.0
DIGEST = "0" * 32


@dataclass(frozen=True)
class Spread:
    """What became of one roll-out."""

    course: str
    took_s: float
    in_force_s: tuple[float, ...]  # when the change came into force at each node that got it, in order

    def percentile(self, part: float) -> float:
        """The time by which this part of the nodes that got it had it."""
        return percentile_by_ceiling_rank(self.in_force_s, part)


def spread(servers: int, apply_ms: float, status_ms: float) -> Spread:
    """One roll-out over so many servers."""
    canary_period_ms = ChangeRules().canary_period_ms
    plan = Rollout([f"n{number}" for number in range(servers)], RolloutPolicy(), 0.0)
    waiting: list[Instruction] = []
    replies: list[tuple[float, str, Action]] = []  # a heap, by the time at which they come
    in_force: dict[str, float] = {}
    now = 0.0
    while not plan.is_finished and now < MAX_ROLLOUT_MS:
        waiting += plan.advance(now)
        until = now + STEP_MS
        while True:
            while waiting and len(replies) < MAX_CONCURRENT_TARGETS:
                instruction = waiting.pop(0)
                reply_ms = status_ms if instruction.action is Action.CHECK_STATUS else apply_ms
                heapq.heappush(replies, (now + reply_ms, instruction.target, instruction.action))
            if not replies or replies[0][0] > until:
                break
            now, node, action = heapq.heappop(replies)
            if action is Action.APPLY:
                in_force.setdefault(node, now)
            step = "confirmed" if now >= in_force.get(node, now) + canary_period_ms else "on_probation"
            plan.record_reply(now, node, action, _reply(step), DIGEST)
        now = until
    course = ROLLOUT_STATUS_WORDS[plan.status if plan.is_finished else RolloutStatus.IN_PROGRESS]
    return Spread(course, now / 1000, tuple(sorted(applied_at_ms / 1000 for applied_at_ms in in_force.values())))


def _reply(step: str) -> dict[str, object]:
    return {"ok": True, "change": {"step": step}, "step": step, "digest": DIGEST, "current": None}
