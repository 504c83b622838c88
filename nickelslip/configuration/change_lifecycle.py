"""Changes: every change of configuration as a transaction of its own, from its draft to its confirmation or undoing.

Owns the named steps of a change and the one function that moves it along them, the one place in which a change may be
staged, which generation is in force and which one would be gone back to, and what the history is told. It has no
clock, does no I/O and applies nothing itself: the shell asks it, carries out, and reports back.

At most one change is staged and at most one is being applied or on probation. A change is planned against the
generation in force; if another has come into force meanwhile it is overtaken and refused, never merged.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

from nickelslip.configuration.canary_analysis import CanaryStatus, CanaryVerdict
from nickelslip.configuration.config import ChangeRules, Config
from nickelslip.configuration.document import Document
from nickelslip.configuration.generations import Generation, digest_of
from nickelslip.configuration.history import Event, Record, in_force
from nickelslip.configuration.plan import Plan, plan_of

RECORDS_MOST = 256  # kept in memory
UNDONE_MOST = 64  # documents that are remembered as undone, the oldest forgotten first
GONE_BACK_MOST = 8  # confirmed generations to which an operator can go back


class Step(Enum):
    """The steps of a change."""

    DRAFTED = "read, and not looked at yet"
    CHECKED = "good in itself, and planned against what is in force"
    STAGED = "waits to be applied"
    APPLYING = "is being put in force"
    ON_PROBATION = "in force, and watched"
    CONFIRMED = "in force for good"
    ROLLED_BACK = "undone"
    REFUSED = "never in force"


ORDER: dict[Step, tuple[Step, ...]] = {
    Step.DRAFTED: (Step.CHECKED, Step.REFUSED),
    Step.CHECKED: (Step.STAGED, Step.REFUSED),
    Step.STAGED: (Step.APPLYING, Step.REFUSED),
    Step.APPLYING: (Step.ON_PROBATION, Step.CONFIRMED, Step.ROLLED_BACK),
    Step.ON_PROBATION: (Step.CONFIRMED, Step.ROLLED_BACK),
    Step.CONFIRMED: (),
    Step.ROLLED_BACK: (),
    Step.REFUSED: (),
}


class Denial(Enum):
    """Why something was denied: stable words for machines."""

    NOTHING = "nothing differs from what is in force"
    RESTART = "some of it needs a restart"
    UNDONE = "this document was undone not long ago"
    BUSY = "another change is staged, being applied or on probation"
    OVERTAKEN = "another generation has come into force since it was staged"
    NONE = "there is no such change"
    LEAVING = "the server leaves"
    FAULTY = "the document is faulty"
    UNPROVEN = "the module does not take it"
    HISTORY = "the history cannot be written"
    LATE = "its sender does not wait for it any more"


class Denied(Exception):
    """What was asked for is not done."""

    def __init__(self, denial: Denial, detail: str = "") -> None:
        super().__init__(f"{denial.value}{': ' if detail else ''}{detail}")
        self.denial, self.detail = denial, detail


@dataclass(eq=False)
class Change:
    """One transaction of configuration."""

    number: int
    config: Config
    document: Document
    digest: str
    origin: str
    base: Generation  # against which it was planned
    plan: Plan
    drafted_ms: float
    forced: bool = False
    step: Step = Step.DRAFTED
    since_ms: float = 0.0  # in this step
    reason: str = ""
    generation: Generation | None = None
    steps: list[tuple[Step, float]] = field(default_factory=list)

    def as_dict(self) -> dict[str, Any]:
        """For machines; the keys are stable."""
        return {
            "number": self.number,
            "step": self.step.name.lower(),
            "since_ms": self.since_ms,
            "digest": self.digest,
            "origin": self.origin,
            "base": self.base.number,
            "reason": self.reason,
            "generation": self.generation.number if self.generation else None,
            "plan": self.plan.as_dict(),
            "forced": self.forced,
        }


@dataclass(frozen=True)
class Held:
    """A generation that was confirmed, with the document that made it."""

    generation: Generation
    document: Document
    digest: str


class Changes:
    """All changes of one server."""

    def __init__(
        self,
        generation: Generation,
        document: Document,
        records: list[Record],
        base: str,
        now: float,
        tell: Callable[[Change], None] = lambda change: None,
    ) -> None:
        self._confirmed: deque[Held] = deque([Held(generation, document, digest_of(document))], GONE_BACK_MOST)
        self.in_force = self._confirmed[-1]
        self.staged: Change | None = None
        self.current: Change | None = None  # being applied, or on probation
        self.base = base  # the digest of the file that the server was started with
        self.records: deque[Record] = deque(records, RECORDS_MOST)
        self._undone: dict[str, float] = {}
        self._tell = tell
        self._at = records[-1].at if records else 0
        self._generations = max([generation.number, *(each.generation for each in records)])
        self._changes = 0
        for record in records:
            if record.event is Event.ROLLED_BACK:
                self._remember_undone(record.digest, record.since_ms + self.rules.rejected_after_rollback_ms)

    @property
    def rules(self) -> ChangeRules:
        """The rules for changes that are in force."""
        return self.in_force.generation.config.changes

    # Steps

    def _enter(self, change: Change, step: Step, now: float, reason: str = "") -> None:
        """The one place where a change goes from step to step."""
        if step not in ORDER[change.step]:
            raise RuntimeError(f"a change cannot go from {change.step.name} to {step.name}")
        change.step, change.since_ms, change.reason = step, now, reason
        change.steps.append((step, now))
        self._tell(change)

    def _record(self, event: Event, change: Change, now: float, reason: str = "") -> Record:
        self._at += 1
        held, document = self.in_force, None
        if event is Event.APPLIED:
            document = change.document
        elif event is Event.CONFIRMED:
            document = held.document  # peers may have moved since it was applied
        record = Record(
            self._at,
            event,
            change.generation.number if change.generation else 0,
            change.digest,
            change.origin,
            now,
            reason,
            document,
            self.base,
        )
        self.records.append(record)
        return record

    def _remember_undone(self, digest: str, until: float) -> None:
        self._undone.pop(digest, None)
        self._undone[digest] = until
        while len(self._undone) > UNDONE_MOST:
            del self._undone[next(iter(self._undone))]

    def draft(self, now: float, config: Config, document: Document, origin: str, forced: bool = False) -> Change:
        """A change to this document, checked and planned. Raises Denied, with the change refused."""
        self._changes += 1
        change = Change(
            self._changes,
            config,
            document,
            digest_of(document),
            origin,
            self.in_force.generation,
            plan_of(self.in_force.document, document),
            now,
            forced,
        )
        if change.plan.empty:
            raise self._refuse(change, now, Denied(Denial.NOTHING))
        if change.plan.restart:
            raise self._refuse(change, now, Denied(Denial.RESTART, "; ".join(map(str, change.plan.restart[:5]))))
        until = self._undone.get(change.digest, now)
        if until > now and not forced:
            raise self._refuse(
                change, now, Denied(Denial.UNDONE, f"refused for {(until - now) / 1000:.0f} s more unless forced")
            )
        self._enter(change, Step.CHECKED, now)
        return change

    def _refuse(self, change: Change, now: float, denied: Denied) -> Denied:
        self._enter(change, Step.REFUSED, now, str(denied))
        return denied

    def refuse(self, now: float, change: Change, denied: Denied) -> None:
        """A change that was checked, or staged, is not to come into force."""
        if self.staged is change:
            self.staged = None
        self._enter(change, Step.REFUSED, now, str(denied))

    def stage(self, now: float, change: Change) -> None:
        """Put it into the one place where changes wait. Raises Denied where that is taken."""
        if self.staged is not None:
            denied = Denied(Denial.BUSY, f"change {self.staged.number} is staged")
            self.refuse(now, change, denied)
            raise denied
        self.staged = change
        self._enter(change, Step.STAGED, now)

    def drop(self, now: float) -> Change:
        """Take the staged change out. Raises Denied where there is none."""
        change = self.staged
        if change is None:
            raise Denied(Denial.NONE, "nothing is staged")
        self.refuse(now, change, Denied(Denial.NONE, "taken out by an operator"))
        return change

    def begin(self, now: float, number: int | None = None) -> tuple[Change, Record]:
        """Begin to apply the staged change: the record is to be written first, then the generation adopted, then
        `applied` called. Raises Denied; a change that was overtaken is refused for good."""
        change = self.staged
        if change is None or number not in (None, change.number):
            raise Denied(Denial.NONE, "nothing is staged" if change is None else f"change {change.number} is staged")
        if self.current is not None:
            raise Denied(Denial.BUSY, f"change {self.current.number} is {self.current.step.name.lower()}")
        if change.base is not self.in_force.generation:
            denied = Denied(Denial.OVERTAKEN)
            self.refuse(now, change, denied)
            raise denied
        self.staged, self.current = None, change
        self._generations += 1
        change.generation = Generation(self._generations, change.config, change.origin, now)
        self._enter(change, Step.APPLYING, now)
        return change, self._record(Event.APPLIED, change, now)

    @property
    def needs_probation(self) -> bool:
        """Whether the current change has to be watched: peers' addresses and the rules for changes need not be."""
        change = self.current
        return change is not None and not (change.plan.links_only or change.plan.of_rules_only)

    def applied(self, now: float) -> Record | None:
        """The node has adopted the current change's generation. The record of its confirmation, where it needs no
        probation."""
        change = self._current(Step.APPLYING)
        watched = self.needs_probation
        assert change.generation is not None
        self.in_force = Held(change.generation, change.document, change.digest)
        if watched:
            self._enter(change, Step.ON_PROBATION, now)
            return None
        return self._confirm(change, now, "needs no probation")

    def failed(self, now: float, reason: str) -> Record:
        """The node could not adopt it, or the history could not take it: what was in force stays."""
        change = self._current(Step.APPLYING)
        self.current = None
        self._enter(change, Step.ROLLED_BACK, now, reason)
        return self._record(Event.REFUSED, change, now, reason)

    def _current(self, *steps: Step) -> Change:
        if self.current is None or self.current.step not in steps:
            raise Denied(Denial.NONE, "no change is " + " or ".join(step.name.lower() for step in steps))
        return self.current

    # Probation

    def judged(self, now: float, verdict: CanaryVerdict) -> Step | None:
        """What follows from a look at the change on probation: CONFIRMED or ROLLED_BACK is to be carried out, by
        `confirm` or `roll_back`; None: it goes on."""
        if self.current is None or self.current.step is not Step.ON_PROBATION:
            return None
        spent = now - self.current.since_ms
        if verdict.status is CanaryStatus.HARM:
            return Step.ROLLED_BACK
        if spent >= self.rules.max_canary_period_ms and verdict.status is not CanaryStatus.SUSPECTED:
            return Step.CONFIRMED  # nothing speaks against it, though little may speak for it
        if spent >= self.rules.canary_period_ms and verdict.status is CanaryStatus.NO_HARM:
            return Step.CONFIRMED
        return None

    def unseen(self, span_ms: float) -> None:
        """In this time nothing could be told of the change on probation: it lasts so much longer."""
        if self.current is not None and self.current.step is Step.ON_PROBATION:
            self.current.since_ms += span_ms

    def confirm(self, now: float, reason: str) -> Record:
        """It stays in force; the record is to be written before anybody is told so. Raises Denied."""
        return self._confirm(self._current(Step.ON_PROBATION), now, reason)

    def _confirm(self, change: Change, now: float, reason: str) -> Record:
        self.current = None
        self._confirmed.append(self.in_force)
        self._enter(change, Step.CONFIRMED, now, reason)
        return self._record(Event.CONFIRMED, change, now, reason)

    def roll_back(self, now: float, reason: str) -> tuple[Generation, Record]:
        """The generation that was in force before comes back, the same value; it is to be adopted at once, and the
        record written after. The document is refused for a time. Raises Denied where nothing is on probation."""
        change = self._current(Step.ON_PROBATION)
        self.current = None
        self.in_force = self._confirmed[-1]
        self._remember_undone(change.digest, now + self.rules.rejected_after_rollback_ms)
        self._enter(change, Step.ROLLED_BACK, now, reason)
        return self.in_force.generation, self._record(Event.ROLLED_BACK, change, now, reason)

    # Going back, and peers that move

    def earlier(self, generation: int | None = None) -> Held:
        """The confirmed generation of this number, or the one before that in force. Raises Denied."""
        for held in reversed(self._confirmed):
            if held is not self.in_force and generation in (None, held.generation.number):
                return held
        raise Denied(
            Denial.NONE,
            "no earlier generation is kept" if generation is None else f"generation {generation} is not kept",
        )

    def moved(self, now: float, config: Config, document: Document, origin: str) -> tuple[Generation, Record]:
        """Peers' addresses that the platform has moved: in force at once, whatever is staged or on probation. What is
        on probation stays so, with the new addresses, and what would be gone back to gets them, too."""
        self._generations += 1
        generation = Generation(self._generations, config, origin, now)
        self.in_force = Held(generation, document, digest_of(document))
        peers = {name: getattr(config, name) for name in ("pool", "records", "directory")}
        if self.current is None:
            self._confirmed.append(self.in_force)
        else:
            old = self._confirmed.pop()
            back = {**old.document, "peers": document["peers"]}
            self._confirmed.append(
                Held(
                    Generation(
                        old.generation.number,
                        replace(old.generation.config, **peers),
                        old.generation.origin,
                        old.generation.since_ms,
                    ),
                    back,
                    digest_of(back),
                )
            )
        last = self._confirmed[-1]
        self._at += 1
        record = Record(
            self._at,
            Event.CONFIRMED,
            last.generation.number,
            last.digest,
            origin,
            now,
            "peers moved",
            last.document,
            self.base,
        )
        self.records.append(record)
        return generation, record

    # What is shown

    def status(self, now: float) -> dict[str, Any]:
        """For machines; the keys are stable."""
        held = self.in_force
        return {
            "generation": held.generation.number,
            "digest": held.digest,
            "origin": held.generation.origin,
            "since_ms": held.generation.since_ms,
            "confirmed": self._confirmed[-1].generation.number,
            "step": self.current.step.name.lower() if self.current else "confirmed",
            "current": self.current.as_dict() if self.current else None,
            "staged": self.staged.as_dict() if self.staged else None,
            "undone": {digest: until - now for digest, until in self._undone.items() if until > now},
        }


@dataclass(frozen=True)
class Start:
    """With what a server starts: the document, the generation's number and origin, and what the history is told."""

    document: Document
    number: int
    origin: str
    record: Record | None


def start_of(records: list[Record], file_document: Document, now: float) -> Start:
    """What is in force at a start. The last confirmed generation of the history, as long as the file is the one it
    was made over; another file is an operator's later word, and wins. What was applied and not confirmed, or undone,
    is not in force any more, not even where the file says it by now."""
    base = digest_of(file_document)
    last = in_force(records)
    tried = next((each.event for each in reversed(records) if each.digest == base), None)
    distrusted = tried in (Event.APPLIED, Event.ROLLED_BACK, Event.REFUSED)
    if last is not None and last.document is not None and (last.base == base or distrusted):
        return Start(last.document, last.generation, f"history, {last.event.value}", None)
    number = max((each.generation for each in records), default=0) + 1
    at = records[-1].at + 1 if records else 1
    return Start(
        file_document, number, "file", Record(at, Event.STARTED, number, base, "file", now, "", file_document, base)
    )
