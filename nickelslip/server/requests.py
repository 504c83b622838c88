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

from nickelslip.admission.interface import Arrival, Outcome, RequestState, StateChange
from nickelslip.configuration.generations import Generation
from nickelslip.server.close_reasons import ABANDONED_CALL_OUTCOME

FINAL_STATES = (RequestState.COMPLETED, RequestState.REJECTED, RequestState.FAILED, RequestState.CANCELLED)
MAILBOX_CAPACITY = 64  # what the worker pool and the records may have to say of one transaction at once


@dataclass(slots=True, eq=False)
class ReceivedRequest:
    """A transaction as a front read it, every field checked."""

    id_hex: str
    traffic_class: str
    body: bytes
    received_at_ms: float  # when it came to the machine, in Unix milliseconds
    memory_kb: float
    tenant: str | None = None
    timeout_ms: float | None = None
    cost_hint_ms: float | None = None
    is_retry: bool = False
    load_balancer: int | None = None
    key: str | None = None  # the idempotency key of a referenced one, or the subject of a read

    def arrival(self, number: int, now: float, forerunner: int | None) -> Arrival:
        return Arrival(
            id=number,
            traffic_class=self.traffic_class,
            memory_kb=self.memory_kb,
            tenant=self.tenant,
            deadline_at_ms=None if self.timeout_ms is None else self.received_at_ms + self.timeout_ms,
            cost_hint_ms=self.cost_hint_ms,
            is_retry=self.is_retry,
            client=self.load_balancer,
            read_delay_ms=max(0.0, now - self.received_at_ms),
            original_request_id=forerunner,
            has_key=self.key is not None,
        )


class Answer(NamedTuple):
    """What a caller is told; `said` rides on every answer."""

    state: RequestState
    advertised_weight: float | None
    body: bytes = b""
    retry_after_ms: float = 0.0
    retry_elsewhere_useless: bool = False


class CallRequested(NamedTuple):
    """Its run stands at a call."""

    seq: int
    body: bytes | None  # None where it cannot be read


class CallReturned(NamedTuple):
    """Its call has ended."""

    outcome: Outcome
    body: bytes = b""


class RunFinished(NamedTuple):
    """Its run, or its joining of a forerunner, is over; or it is told that it never ran."""

    outcome: Outcome
    took_ms: float
    body: bytes = b""
    ran: bool = True


class ClientDisconnected(NamedTuple):
    """Its caller has given it up."""


RequestEvent = CallRequested | CallReturned | RunFinished | ClientDisconnected


class RunStarter(Protocol):
    """Where runs are started, stopped and led past their calls."""

    def start(self, one: Request) -> None: ...
    def stop(self, one: Request) -> None: ...
    def resume_with_reply(self, one: Request, body: bytes) -> None: ...
    def resume_without_call(self, one: Request) -> None: ...


class DependencyClient(Protocol):
    """Where calls are made and given up."""

    def call(self, one: Request, wait_ms: float) -> None: ...
    def give_up(self, one: Request) -> None: ...


class IdempotencyStore(Protocol):
    """Where results are kept for those that join."""

    def coalesce(self, one: Request) -> None: ...
    def finish(self, one: Request, outcome: Outcome, body: bytes = b"") -> None: ...
    def forget(self, one: Request) -> None: ...


class DecisionSink(Protocol):
    """What leads transactions through their lives: it tells the module what happens to them."""

    advertised_weight: float | None

    @property
    def worker_pool(self) -> RunStarter: ...
    @property
    def dependency_client(self) -> DependencyClient: ...
    @property
    def idempotency_table(self) -> IdempotencyStore: ...
    def clock(self) -> float: ...
    def run_ended(self, one: Request, outcome: Outcome, took_ms: float) -> None: ...
    def call_requested(self, one: Request) -> None: ...
    def call_returned(self, one: Request, outcome: Outcome, took_ms: float) -> None: ...
    def client_disconnected(self, one: Request) -> None: ...


class Request:
    """What this server knows of one transaction. All that is read of the configuration for it is read from the
    generation under which it was read, to its end."""

    def __init__(self, asked: ReceivedRequest, generation: Generation, answer: Callable[[Answer], None]) -> None:
        self.received, self.number, self.generation = asked, int(asked.id_hex, 16), generation
        self.state = RequestState.QUEUED
        self.answered = self.client_gone = False
        self.run_is_out = False  # the worker pool has a run of it that has not ended
        self.notified = False  # the worker pool has told something of that run since it was last led on
        self.call_transports: list[object] = []  # the connections on which its calls went out
        self.call = CallRequested(0, b"")  # the call at which its run stands, or last stood
        self.call_deadline_at_ms, self.call_started_at_ms, self.coalesced_at_ms = inf, 0.0, 0.0
        self.coalesced_requests: list[Request] = []
        self.run_ms = 0.0  # that its run took
        self.on_finished: Callable[[Request, RequestState], None] | None = None
        self._answer = answer
        self._mail: deque[RequestEvent] = deque()
        self._bell: anyio.Event | None = None

    def enter(self, state: RequestState) -> None:
        """The one place where it changes its state; a run that is still out keeps it from its end."""
        if self.state not in FINAL_STATES:
            self.state = RequestState.ORPHANED if state in FINAL_STATES and self.run_is_out else state

    def answer(self, answer: Answer) -> None:
        """Answer, once, unless nobody waits any more."""
        if not self.answered and not self.client_gone:
            self.answered = True
            self._answer(answer)
            if self.on_finished is not None:
                self.on_finished(self, answer.state)

    def deliver(self, happening: RequestEvent) -> None:
        """Bounded, but for the two that end it and come once each: an end that was lost would keep its slot."""
        if len(self._mail) < MAILBOX_CAPACITY or isinstance(happening, RunFinished | ClientDisconnected):
            self._mail.append(happening)
        self.wake()

    def wake(self) -> None:
        if self._bell is not None:
            self._bell.set()

    async def next_event(self, wait_ms: float) -> RequestEvent | None:
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

    def execute(self, lead: DecisionSink, change: StateChange) -> None:
        """One change that the module decided: it is written out before this returns."""
        calling = self.state is RequestState.CALL_IN_FLIGHT
        match change.state:
            case RequestState.RUNNING:
                self.run_is_out, self.notified = True, False
                self.enter(RequestState.RUNNING)
                lead.worker_pool.start(self)
            case RequestState.QUEUED | RequestState.PAUSED | RequestState.ORPHANED:
                if self.run_is_out:
                    lead.worker_pool.stop(self)
            case RequestState.CALL_IN_FLIGHT:
                self.enter(RequestState.CALL_IN_FLIGHT)
                self.call_started_at_ms, self.call_deadline_at_ms = lead.clock(), lead.clock() + change.duration_ms
                lead.dependency_client.call(self, change.duration_ms)
            case RequestState.DEGRADED:
                self.enter(RequestState.DEGRADED)
                lead.worker_pool.resume_without_call(self)
            case RequestState.COALESCED:
                self.enter(RequestState.COALESCED)
                self.coalesced_at_ms = lead.clock()
                lead.idempotency_table.coalesce(self)
            case RequestState.REJECTED | RequestState.FAILED:
                if calling:
                    lead.dependency_client.give_up(self)
                self.answer(
                    Answer(
                        change.state, lead.advertised_weight, b"", change.duration_ms, change.retry_elsewhere_useless
                    )
                )
                self.enter(change.state)
        self.wake()


async def run_request_lifecycle(lead: DecisionSink, one: Request) -> None:
    """The life of one transaction, from its reading on. Every call of the module carries its orders out before it
    returns."""
    while one.state not in FINAL_STATES:
        happening = await one.next_event(
            one.call_deadline_at_ms - lead.clock() if one.state is RequestState.CALL_IN_FLIGHT else inf
        )
        if happening is None and one.state is RequestState.CALL_IN_FLIGHT and lead.clock() >= one.call_deadline_at_ms:
            lead.dependency_client.give_up(one)
            happening = CallReturned(ABANDONED_CALL_OUTCOME)
        match happening:
            case CallRequested():
                one.notified, one.call = True, happening
                if one.state in (RequestState.RUNNING, RequestState.DEGRADED):
                    one.enter(RequestState.AWAITING_CALL)
                lead.call_requested(one)
            case CallReturned(outcome, body) if one.state is RequestState.CALL_IN_FLIGHT:
                if outcome is Outcome.OK:
                    one.enter(RequestState.RUNNING)
                    lead.worker_pool.resume_with_reply(one, body)
                else:
                    one.enter(RequestState.AWAITING_CALL)
                lead.call_returned(one, outcome, lead.clock() - one.call_started_at_ms)
            case RunFinished(outcome, took_ms, body, ran):
                if one.state is RequestState.CALL_IN_FLIGHT:
                    lead.dependency_client.give_up(one)
                one.run_is_out = False
                if outcome is Outcome.CANCELLED and one.state in (RequestState.RUNNING, RequestState.DEGRADED):
                    one.enter(RequestState.QUEUED)  # off the cores, its answer still owed
                    lead.run_ended(one, outcome, took_ms)
                    continue
                lead.run_ended(one, outcome, took_ms)
                end = RequestState.COMPLETED if outcome is Outcome.OK else RequestState.FAILED
                one.answer(Answer(end, lead.advertised_weight, body))
                one.enter(end)
                lead.idempotency_table.finish(one, outcome, body)
                if not ran:
                    lead.idempotency_table.forget(one)
            case ClientDisconnected() if one.state not in (RequestState.ORPHANED, *FINAL_STATES):
                if one.state is RequestState.CALL_IN_FLIGHT:
                    lead.dependency_client.give_up(one)
                one.client_gone = True
                one.enter(RequestState.CANCELLED)
                if one.on_finished is not None and not one.answered:
                    one.on_finished(one, RequestState.CANCELLED)
                lead.client_disconnected(one)
