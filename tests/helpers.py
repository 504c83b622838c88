"""A server in a test's hands, and the plain model of the four rules that judges every decision on it."""

from __future__ import annotations

from dataclasses import dataclass

from nickelslip.admission.control import Control
from nickelslip.admission.interface import (
    Arrival, Gauges, Grade, Outcome, Repeat, Result, Said, Settings, State, Stopping,
)

READ = Grade("read", 1.0, 1000.0, 3000.0, Repeat.REPLAYABLE, calls=True, omit_share=0.5)
PAY = Grade("pay", 3.0, 500.0, 1500.0, Repeat.SINGLE_USE, calls=True)
BOOK = Grade("book", 2.0, 800.0, 2000.0, Repeat.REFERENCED, window_ms=4000.0)


def settings(**changes: object) -> Settings:
    base: dict[str, object] = dict(
        grades=(READ, PAY, BOOK), cores=2, memory_kb=2000.0, run_factor=4.0, cold=False, cold_from=0.3, cold_ms=8000.0,
        crowd_multiple=4.0, answer_slack_ms=60.0, drain_grace_ms=1000.0, tick_ms=5.0, said=Said.CHANCE,
        advice_max_ms=999.0, call_share=2.0, call_span_ms=2000.0, call_linger_ms=200.0, entry_kb=20., marks_again=True,
    )
    return Settings(**{**base, **changes})  # type: ignore[arg-type]


@dataclass
class Known:
    """What the model knows of one transaction."""

    grade: Grade
    kb: float
    due: float
    reached: float
    place: str = "held"  # held, core, call, out, joined or off
    runs: int = 0
    answers: int = 0
    gone: bool = False
    unproven: bool = False


class World:
    """Carries out what the module decides, and fails the test where a rule does not allow it."""

    def __init__(self, chosen: Settings | None = None, seed: int = 1) -> None:
        self.s, self.now, self.wakes, self.kill, self.drained = chosen or settings(), 0.0, [], None, None
        self.known: dict[int, Known] = {}
        self.entries: dict[int, float] = {}
        self.said: list[float] = []
        self.outs: list[tuple[float, float]] = []  # spans in which a call was out
        self.out_since: dict[int, float] = {}
        self.out_until: dict[int, float] = {}
        self.control = Control(self.s, seed, 0.0)
        self.last = self.take(self.control.start(0.0))

    def take(self, result: Result) -> Result:
        self.last = result
        if result.said is not None:
            self.said.append(result.said)
        if result.wake_in_ms is not None:
            assert result.wake_in_ms > 0
            self.wakes.append(self.now + result.wake_in_ms)
        for entry in result.table:
            self.entries[entry.id] = self.now + entry.span_ms
        for change in result.changes:
            self.change(change.id, change.state, change.span_ms)
        if result.changes or result.table:
            self.check()
        return result

    def change(self, ident: int, state: State, span: float) -> None:
        one = self.known[ident]
        final_risk = one.runs and one.grade.repeat is not Repeat.REPLAYABLE
        if state in (State.DISMISSED, State.FORFEITED):
            one.answers += 1
            assert one.answers == 1 and not one.gone, "a second answer"
            assert not (state is State.DISMISSED and final_risk), "dismissed after it ran"
            if one.place != "core":
                self.leave(ident)
        elif state is State.RUNNING:
            assert one.place == "held" and not one.answers and not final_risk, "run twice"
            assert self.drained is None or one.reached <= self.drained + self.s.drain_grace_ms, "run past the grace"
            if one.grade.repeat is Repeat.REFERENCED:
                assert self.entries[ident] >= one.reached + one.grade.window_ms, "run without its entry"
            one.place, one.runs = "core", one.runs + 1
        elif state is State.CALLING:
            assert one.place == "call" and not one.answers
            assert one.grade.repeat is Repeat.REPLAYABLE or not one.unproven, "a call repeated"
            one.place, self.out_since[ident], self.out_until[ident] = "out", self.now, self.now + (span or 1e9)
        elif state is State.OMITTED:
            assert one.place == "call" and one.grade.omit_share > 0
            one.place = "core"
        elif state is State.JOINED:
            one.place = "joined"
        else:
            assert state is State.SPENT and self.s.stopping is not Stopping.NEVER and one.place in ("core", "off")
            assert one.answers or one.gone
            self.leave(ident)

    def leave(self, ident: int) -> None:
        if self.known[ident].place == "out":
            self.outs.append((self.out_since.pop(ident), self.now + self.s.call_linger_ms))
        self.known[ident].place = "off"

    def check(self) -> None:
        """Rule 4 at the end of every call, and rule 1."""
        places = [one.place for one in self.known.values()]
        warmth = min(1.0, self.s.cold_from + (1 - self.s.cold_from) * self.now / self.s.cold_ms) if self.s.cold else 1.0
        assert places.count("core") <= self.s.cores * (1 + (self.s.crowd_multiple - 1) * warmth) + 1e-6
        used = sum(self.s.entry_kb for until in self.entries.values() if until > self.now)
        for one in self.known.values():
            used += one.kb * {"off": 0, "held": 1, "joined": 1}.get(one.place, self.s.run_factor)
            assert one.answers or one.gone or self.now <= one.due + self.s.answer_slack_ms, "an answer overdue"
            assert one.answers or one.gone or self.kill is None or self.now < self.kill
        assert used <= self.s.memory_kb + 1e-6
        if self.s.call_share:
            begin = self.now - self.s.call_span_ms
            spans = self.outs + [(since, self.now) for since in self.out_since.values()]
            mean = sum(max(0.0, min(end, self.now) - max(since, begin)) for since, end in spans) / self.s.call_span_ms
            assert mean <= self.s.call_share + 1e-6

    def read(self, ident: int, grade: Grade, kb: float = 10.0, wait: float | None = None, unread: float = 0.0,
             **more: object) -> Result:
        reached = self.now - unread
        due = None if wait is None else max(self.now, reached + wait)
        self.known[ident] = Known(grade, kb, due or max(self.now, reached + grade.abandon_ms), reached)
        arrival = Arrival(ident, grade.name, kb, due_ms=due, unread_ms=unread, **more)  # type: ignore[arg-type]
        return self.take(self.control.read(self.now, arrival))

    def end(self, ident: int, outcome: Outcome = Outcome.OK, took: float = 100.0) -> Result:
        one = self.known[ident]
        if one.place in ("core", "joined") and outcome in (Outcome.OK, Outcome.ERROR) and not one.gone:
            one.answers = 1
        self.leave(ident)
        return self.take(self.control.ended(self.now, ident, outcome, took))

    def call(self, ident: int) -> Result:
        one = self.known[ident]
        one.place = "off" if one.answers or one.gone else "call"
        return self.take(self.control.at_call(self.now, ident))

    def back(self, ident: int, outcome: Outcome) -> Result:
        one, since = self.known[ident], self.out_since.pop(ident)
        self.outs.append((since, self.now + (self.s.call_linger_ms if outcome is Outcome.TIMEOUT else 0.0)))
        one.place = "core" if outcome is Outcome.OK else "call"
        one.unproven = not outcome.proves_never_ran
        return self.take(self.control.call_returned(self.now, ident, outcome, self.now - since))

    def gone(self, ident: int) -> Result:
        one = self.known[ident]
        one.gone = True
        if one.place != "core":
            self.leave(ident)
        return self.take(self.control.caller_gone(self.now, ident))

    def drain(self, left: float) -> Result:
        self.drained, self.kill = self.now, self.now + left
        return self.take(self.control.drain(self.now, self.kill))

    def wait(self, span: float, busy: float = 1.0) -> None:
        """Let time pass, a tick at a time, with the wakes that fall due."""
        end = self.now + span
        while self.now < end:
            self.now += self.s.tick_ms
            due = [at for at in self.wakes if at <= self.now]
            self.wakes = [at for at in self.wakes if at > self.now]
            self.check()
            for ident in self.at("out"):
                if self.out_until[ident] <= self.now:
                    self.back(ident, Outcome.TIMEOUT)
            for _ in due:
                self.take(self.control.timer(self.now, Gauges(busy=busy)))

    def at(self, place: str) -> list[int]:
        return [ident for ident, one in self.known.items() if one.place == place]
