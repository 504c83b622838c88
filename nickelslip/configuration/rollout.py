"""A staged roll-out over several nodes: a canary, then waves, stopped and undone at the first node that undoes.

Owns the place of each node in the roll-out, which wave is under way, and what follows from each reply or silence. It
has no clock and does no I/O: the shell carries orders out and tells what came of them. A node that is down or answers
late is neither counted as good nor waited for without a bound.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from math import ceil, inf
from typing import Any


class Place(Enum):
    """The place of one node."""

    WAITING = "its wave has not come"
    ASKED = "told to apply, and has not answered"
    WATCHED = "the change is on probation there"
    GOOD = "the change is confirmed there"
    BAD = "it undid the change, or refused it"
    LOST = "it did not answer in time"
    TO_REVERT = "is to go back"
    REVERTING = "told to go back, and has not answered"
    REVERTED = "gone back"
    STUCK = "could not be told to go back"


class Course(Enum):
    """The course of the whole."""

    GOING = "waves are under way"
    UNDOING = "a node undid the change, or too many are lost: all go back"
    DONE = "every wave is good"
    UNDONE = "no node has the change any more"
    STUCK = "some node could not be told to go back"


class Do(Enum):
    """What the shell is to do with a node."""

    PUSH = "apply the document"
    LOOK = "ask for its status"
    REVERT = "go back, if the document is still in force"


MOVES: dict[Place, tuple[Place, ...]] = {
    Place.WAITING: (Place.ASKED,),
    Place.ASKED: (Place.WATCHED, Place.GOOD, Place.BAD, Place.LOST, Place.TO_REVERT),
    Place.WATCHED: (Place.GOOD, Place.BAD, Place.LOST, Place.TO_REVERT),
    Place.GOOD: (Place.TO_REVERT,),
    Place.BAD: (),
    Place.LOST: (Place.TO_REVERT,),
    Place.TO_REVERT: (Place.REVERTING,),
    Place.REVERTING: (Place.REVERTED, Place.STUCK, Place.TO_REVERT),
    Place.REVERTED: (),
    Place.STUCK: (),
}
OPEN = (Place.ASKED, Place.WATCHED)
FINAL_UNDONE = (Place.WAITING, Place.BAD, Place.REVERTED, Place.STUCK)
REFUSALS = ("faulty", "restart", "undone", "unproven", "improper", "leaving", "history", "none")


@dataclass(frozen=True)
class Terms:
    """How a roll-out goes on. Times in milliseconds; waves as parts of all nodes, rising, each at least one node."""

    waves: tuple[float, ...] = (0.0, 0.1, 0.5, 1.0)  # the first is the canary: one node
    lost_most: int = 0  # nodes that may be lost in all before the roll-out is undone
    answer_ms: float = 5000.0  # for one reply
    silent_ms: float = 15_000.0  # without a reply, after which a node is lost
    look_ms: float = 500.0  # between looks
    watch_ms: float = 180_000.0  # the longest probation that is waited for
    revert_ms: float = 30_000.0  # for the whole of going back


@dataclass(frozen=True)
class Order:
    """One thing to do now with one node."""

    node: str
    do: Do


@dataclass
class _Node:
    name: str
    place: Place = Place.WAITING
    heard_ms: float = 0.0  # when it last answered, or was first asked
    since_ms: float = 0.0
    next_ms: float = 0.0
    out: bool = False  # an order of it is being carried out
    why: str = ""
    had: bool = False  # its reply said that it has, or had, the change


def sizes_of(count: int, waves: Sequence[float]) -> list[int]:
    """How many nodes have been asked at the end of each wave; the last takes in all."""
    out: list[int] = []
    for part in (*waves, 1.0):
        size = min(count, max(1, ceil(part * count)))
        if not out or size > out[-1]:
            out.append(size)
    return out


class Rollout:
    """One roll-out of one document."""

    def __init__(self, nodes: Sequence[str], terms: Terms, now: float) -> None:
        if not nodes or len(set(nodes)) != len(nodes):
            raise ValueError("each node is named once, and there is at least one")
        self._terms, self._now = terms, now
        self._nodes = {name: _Node(name) for name in nodes}
        self._sizes = sizes_of(len(nodes), terms.waves)
        self.wave = -1
        self.course = Course.GOING
        self.why = ""
        self._undoing_since = inf
        self._next_wave()

    # State

    def _enter(self, node: _Node, place: Place, now: float, why: str = "") -> None:
        """The one place where a node changes its place."""
        if place not in MOVES[node.place]:
            raise RuntimeError(f"{node.name} cannot go from {node.place.name} to {place.name}")
        node.place, node.since_ms, node.why = place, now, why

    def places(self) -> dict[str, tuple[Place, str]]:
        """The place of each node, and why."""
        return {node.name: (node.place, node.why) for node in self._nodes.values()}

    @property
    def over(self) -> bool:
        return self.course in (Course.DONE, Course.UNDONE, Course.STUCK)

    def _next_wave(self) -> None:
        self.wave += 1
        for node in list(self._nodes.values())[: self._sizes[self.wave]]:
            if node.place is Place.WAITING:
                self._enter(node, Place.ASKED, self._now)
                node.heard_ms = node.next_ms = self._now

    # Time

    def step(self, now: float) -> list[Order]:
        """What time alone brings about, and what is to be done now. Each order is answered by one call of `told`."""
        self._now = now
        for node in self._nodes.values():
            self._silence(node, now)
        if self.course is Course.GOING:
            self._judge_wave(now)
        if self.course is Course.UNDOING:
            self._judge_undoing(now)
        orders: list[Order] = []
        for node in self._nodes.values():
            if node.out or now < node.next_ms or self.over:
                continue
            do = {Place.ASKED: Do.PUSH, Place.WATCHED: Do.LOOK, Place.TO_REVERT: Do.REVERT}.get(node.place)
            if do is None:
                continue
            if do is Do.REVERT:
                self._enter(node, Place.REVERTING, now)
            node.out, node.next_ms = True, now + self._terms.look_ms
            orders.append(Order(node.name, do))
        return orders

    def _silence(self, node: _Node, now: float) -> None:
        if node.place in OPEN and now - node.heard_ms > self._terms.silent_ms:
            self._enter(node, Place.LOST, now, "no answer in time")
        elif node.place is Place.WATCHED and now - node.since_ms > self._terms.watch_ms:
            self._enter(node, Place.LOST, now, "its probation does not end")

    def _judge_wave(self, now: float) -> None:
        asked = list(self._nodes.values())[: self._sizes[self.wave]]
        bad = next((node for node in asked if node.place is Place.BAD), None)
        lost = [node for node in asked if node.place is Place.LOST]
        if bad is not None:
            self._undo(now, f"{bad.name}: {bad.why}")
        elif len(lost) > self._terms.lost_most:
            self._undo(now, f"{len(lost)} lost: {', '.join(node.name for node in lost[:5])}")
        elif not any(node.place in OPEN for node in asked):
            new = asked[self._sizes[self.wave - 1] if self.wave else 0 :]
            if not any(node.place is Place.GOOD for node in new):
                self._undo(now, "a whole wave is lost")
            elif self.wave + 1 < len(self._sizes):
                self._next_wave()
            else:
                self.course = Course.DONE

    def _undo(self, now: float, why: str) -> None:
        self.course, self.why, self._undoing_since = Course.UNDOING, why, now
        for node in self._nodes.values():
            if node.place in (Place.GOOD, Place.LOST, *OPEN):  # one that said nothing may have it
                self._enter(node, Place.TO_REVERT, now, node.why)
                node.next_ms = now

    def _judge_undoing(self, now: float) -> None:
        if now - self._undoing_since > self._terms.revert_ms:
            for node in self._nodes.values():
                if node.place is Place.TO_REVERT:
                    self._enter(node, Place.REVERTING, now)
                if node.place is Place.REVERTING:
                    self._enter(node, Place.STUCK, now, "no answer while going back")
        if all(node.place in FINAL_UNDONE for node in self._nodes.values()):
            stuck = any(node.place is Place.STUCK for node in self._nodes.values())
            self.course = Course.STUCK if stuck else Course.UNDONE

    # What came of orders

    def told(self, now: float, name: str, do: Do, reply: dict[str, Any] | None, digest: str) -> None:
        """The reply to an order, or None where none came in time. `digest`: of the document at this node, as its own
        reply to the push named it."""
        node = self._nodes[name]
        node.out = False
        if reply is None:
            if node.place is Place.REVERTING:
                self._enter(node, Place.TO_REVERT, now, "no answer")
            return
        node.heard_ms = now
        if do is Do.PUSH and node.place is Place.ASKED:
            self._pushed(node, now, reply)
        elif do is Do.LOOK and node.place is Place.WATCHED:
            self._looked(node, now, reply, digest)
        elif do is Do.REVERT and node.place is Place.REVERTING:
            self._reverted(node, now, reply)

    def _pushed(self, node: _Node, now: float, reply: dict[str, Any]) -> None:
        if reply.get("ok") is True:
            node.had = True
            step = (reply.get("change") or {}).get("step")
            self._enter(node, Place.GOOD if step == "confirmed" else Place.WATCHED, now)
        elif reply.get("code") == "nothing":
            self._enter(node, Place.GOOD, now, "it has the document already")
        elif reply.get("code") == "late":
            self._enter(node, Place.LOST, now, "it answered too late")
        elif reply.get("code") in REFUSALS:
            self._enter(node, Place.BAD, now, str(reply.get("text", "refused"))[:200])
        else:
            node.why = str(reply.get("text", "busy"))[:200]  # busy: asked again until it is lost
            if now - node.since_ms > self._terms.silent_ms:
                self._enter(node, Place.LOST, now, node.why)

    def _looked(self, node: _Node, now: float, reply: dict[str, Any], digest: str) -> None:
        if reply.get("ok") is not True:
            return
        current = reply.get("current") or {}
        if reply.get("digest") != digest:
            verdict = (reply.get("verdict") or {}).get("reason", "it is not in force any more")
            self._enter(node, Place.BAD, now, str(verdict)[:200])
        elif reply.get("step") == "confirmed" and current.get("step") != "on_probation":
            self._enter(node, Place.GOOD, now)

    def _reverted(self, node: _Node, now: float, reply: dict[str, Any]) -> None:
        """Gone back; or another document is in force than the one to go back from, which is as good."""
        if reply.get("ok") is True or reply.get("code") in ("overtaken", "none"):
            self._enter(node, Place.REVERTED, now)
        else:
            self._enter(node, Place.TO_REVERT, now, str(reply.get("text", ""))[:200])
