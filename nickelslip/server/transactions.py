"""One transaction, from its reading to the end of all that is done for it.

Owns the transaction's state, the mailbox in which what happens to it arrives, and its life, which reads from top to
bottom in live(). It is the same for every front: a front says how an answer is written and starts live() in a task.
It must never decide: what becomes of a transaction is a change that the module ordered, carried out here at once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import NamedTuple, Protocol

import anyio

from nickelslip.admission.interface import Arrival, StateChange, Outcome, RequestState
from nickelslip.configuration.generations import Generation
from nickelslip.server.endings import CALL_GIVEN_UP

FINAL = (RequestState.COMPLETED, RequestState.REJECTED, RequestState.FAILED, RequestState.CANCELLED)
MAIL_MOST = 64  # what the worker pool and the records may have to say of one transaction at once


@dataclass(slots=True, eq=False)
class Asked:
    """A transaction as a front read it, every field checked."""

    ident: str
    grade: str
    body: bytes
    reached: float  # when it came to the machine, in Unix milliseconds
    kb: float
    customer: str | None = None
    wait_ms: float | None = None
    cost_hint_ms: float | None = None
    again: bool = False
    caller: int | None = None
    key: str | None = None  # the idempotency key of a referenced one, or the subject of a read

    def arrival(self, number: int, now: float, forerunner: int | None) -> Arrival:
        return Arrival(
            id=number,
            traffic_class=self.grade,
            memory_kb=self.kb,
            tenant=self.customer,
            deadline_at_ms=None if self.wait_ms is None else self.reached + self.wait_ms,
            cost_hint_ms=self.cost_hint_ms,
            is_retry=self.again,
            client=self.caller,
            read_delay_ms=max(0.0, now - self.reached),
            original_request_id=forerunner,
            has_key=self.key is not None,
        )


class Answer(NamedTuple):
    """What a caller is told; `said` rides on every answer."""

    state: RequestState
    said: float | None
    body: bytes = b""
    retry_after_ms: float = 0.0
    last: bool = False


class Blocked(NamedTuple):
    """Its run stands at a call."""

    seq: int
    body: bytes | None  # None where it cannot be read


class Returned(NamedTuple):
    """Its call has ended."""

    outcome: Outcome
    body: bytes = b""


class Finished(NamedTuple):
    """Its run, or its joining of a forerunner, is over; or it is told that it never ran."""

    outcome: Outcome
    took_ms: float
    body: bytes = b""
    ran: bool = True


class Gone(NamedTuple):
    """Its caller has given it up."""


Happening = Blocked | Returned | Finished | Gone


class Starts(Protocol):
    """Where runs are started, stopped and led past their calls."""

    def start(self, one: Transaction) -> None: ...
    def stop(self, one: Transaction) -> None: ...
    def supply(self, one: Transaction, body: bytes) -> None: ...
    def go_on(self, one: Transaction) -> None: ...


class Calls(Protocol):
    """Where calls are made and given up."""

    def call(self, one: Transaction, wait_ms: float) -> None: ...
    def give_up(self, one: Transaction) -> None: ...


class Remembers(Protocol):
    """Where results are kept for those that join."""

    def join(self, one: Transaction) -> None: ...
    def settle(self, one: Transaction, outcome: Outcome, body: bytes = b"") -> None: ...
    def forget(self, one: Transaction) -> None: ...


class Leads(Protocol):
    """What leads transactions through their lives: it tells the module what happens to them."""

    said: float | None

    @property
    def workers(self) -> Starts: ...
    @property
    def records(self) -> Calls: ...
    @property
    def table(self) -> Remembers: ...
    def clock(self) -> float: ...
    def ended(self, one: Transaction, outcome: Outcome, took_ms: float) -> None: ...
    def at_call(self, one: Transaction) -> None: ...
    def call_returned(self, one: Transaction, outcome: Outcome, took_ms: float) -> None: ...
    def caller_gone(self, one: Transaction) -> None: ...


class Transaction:
    """What this server knows of one transaction. All that is read of the configuration for it is read from the
    generation under which it was read, to its end."""

    def __init__(self, asked: Asked, generation: Generation, answer: Callable[[Answer], None]) -> None:
        self.asked, self.number, self.generation = asked, int(asked.ident, 16), generation
        self.state = RequestState.QUEUED
        self.answered = self.gone = False
        self.run_out = False  # the worker pool has a run of it that has not ended
        self.heard = False  # the worker pool has told something of that run since it was last led on
        self.carriers: list[object] = []  # the connections on which its calls went out
        self.call = Blocked(0, b"")  # the call at which its run stands, or last stood
        self.call_until, self.call_since, self.joined_since = inf, 0.0, 0.0
        self.joiners: list[Transaction] = []
        self.work_ms = 0.0  # that its run took
        self.watch: Callable[[Transaction, RequestState], None] | None = None
        self._answer = answer
        self._mail: deque[Happening] = deque()
        self._bell: anyio.Event | None = None

    def enter(self, state: RequestState) -> None:
        """The one place where it changes its state; a run that is still out keeps it from its end."""
        if self.state not in FINAL:
            self.state = RequestState.ORPHANED if state in FINAL and self.run_out else state

    def answer(self, answer: Answer) -> None:
        """Answer, once, unless nobody waits any more."""
        if not self.answered and not self.gone:
            self.answered = True
            self._answer(answer)
            if self.watch is not None:
                self.watch(self, answer.state)

    def post(self, happening: Happening) -> None:
        """Bounded, but for the two that end it and come once each: an end that was lost would keep its slot."""
        if len(self._mail) < MAIL_MOST or isinstance(happening, Finished | Gone):
            self._mail.append(happening)
        self.nudge()

    def nudge(self) -> None:
        if self._bell is not None:
            self._bell.set()

    async def next(self, wait_ms: float) -> Happening | None:
        """What happens to it next; None when the time is up or its state was changed from elsewhere."""
        if not self._mail:
            bell = self._bell = anyio.Event()
            if wait_ms == inf:
                await bell.wait()
            else:
                with anyio.move_on_after(max(0.0, wait_ms) / 1000):
                    await bell.wait()
        return self._mail.popleft() if self._mail else None

    # The module's orders

    def carry_out(self, lead: Leads, change: StateChange) -> None:
        """One change that the module decided: it is written out before this returns."""
        calling = self.state is RequestState.CALL_IN_FLIGHT
        match change.state:
            case RequestState.RUNNING:
                self.run_out, self.heard = True, False
                self.enter(RequestState.RUNNING)
                lead.workers.start(self)
            case RequestState.QUEUED | RequestState.PAUSED | RequestState.ORPHANED:
                if self.run_out:
                    lead.workers.stop(self)
            case RequestState.CALL_IN_FLIGHT:
                self.enter(RequestState.CALL_IN_FLIGHT)
                self.call_since, self.call_until = lead.clock(), lead.clock() + change.duration_ms
                lead.records.call(self, change.duration_ms)
            case RequestState.DEGRADED:
                self.enter(RequestState.DEGRADED)
                lead.workers.go_on(self)
            case RequestState.COALESCED:
                self.enter(RequestState.COALESCED)
                self.joined_since = lead.clock()
                lead.table.join(self)
            case RequestState.REJECTED | RequestState.FAILED:
                if calling:
                    lead.records.give_up(self)
                self.answer(Answer(change.state, lead.said, b"", change.duration_ms, change.retry_elsewhere_useless))
                self.enter(change.state)
        self.nudge()


async def live(lead: Leads, one: Transaction) -> None:
    """The life of one transaction, from its reading on. Every call of the module carries its orders out before it
    returns."""
    while one.state not in FINAL:
        happening = await one.next(one.call_until - lead.clock() if one.state is RequestState.CALL_IN_FLIGHT else inf)
        if happening is None and one.state is RequestState.CALL_IN_FLIGHT and lead.clock() >= one.call_until:
            lead.records.give_up(one)
            happening = Returned(CALL_GIVEN_UP)
        match happening:
            case Blocked():
                one.heard, one.call = True, happening
                if one.state in (RequestState.RUNNING, RequestState.DEGRADED):
                    one.enter(RequestState.AWAITING_CALL)
                lead.at_call(one)
            case Returned(outcome, body) if one.state is RequestState.CALL_IN_FLIGHT:
                if outcome is Outcome.OK:
                    one.enter(RequestState.RUNNING)
                    lead.workers.supply(one, body)
                else:
                    one.enter(RequestState.AWAITING_CALL)
                lead.call_returned(one, outcome, lead.clock() - one.call_since)
            case Finished(outcome, took_ms, body, ran):
                if one.state is RequestState.CALL_IN_FLIGHT:
                    lead.records.give_up(one)
                one.run_out = False
                if outcome is Outcome.CANCELLED and one.state in (RequestState.RUNNING, RequestState.DEGRADED):
                    one.enter(RequestState.QUEUED)  # off the cores, its answer still owed
                    lead.ended(one, outcome, took_ms)
                    continue
                lead.ended(one, outcome, took_ms)
                end = RequestState.COMPLETED if outcome is Outcome.OK else RequestState.FAILED
                one.answer(Answer(end, lead.said, body))
                one.enter(end)
                lead.table.settle(one, outcome, body)
                if not ran:
                    lead.table.forget(one)
            case Gone() if one.state not in (RequestState.ORPHANED, *FINAL):
                if one.state is RequestState.CALL_IN_FLIGHT:
                    lead.records.give_up(one)
                one.gone = True
                one.enter(RequestState.CANCELLED)
                if one.watch is not None and not one.answered:
                    one.watch(one, RequestState.CANCELLED)
                lead.caller_gone(one)
