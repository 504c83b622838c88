"""One request: the fields that were received, its state, its mailbox and its answer.

The load balancers' side creates a `Request` and supplies the function that writes its answer. `request_lifecycle` runs
it, `state_changes` executes on it what the admission controller decided.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

import anyio

from nickelslip.admission.interface import FINAL_STATES, Arrival, RequestState
from nickelslip.configuration.generations import Generation
from nickelslip.server.request_events import CallRequested, ClientDisconnected, RequestEvent, RunFinished

MAILBOX_CAPACITY = 64  # events that may wait; the two events that end a request are accepted beyond it


@dataclass(slots=True, eq=False)
class ReceivedRequest:
    """The fields of a request as they were received, all validated.

    Attributes:
        id_hex: Identifier of the request, in hexadecimal digits.
        traffic_class: Name of its traffic class.
        body: Body for the worker pool.
        received_at_ms: When it reached this machine, in Unix milliseconds.
        memory_kb: Memory that it takes while it is queued.
        tenant: Name of its tenant, if it names one.
        timeout_ms: How long its client waits for the answer, if it says so.
        cost_hint_ms: Expected time on a core, if the client says so.
        is_retry: Whether it is marked as a retry.
        load_balancer: Number of the load balancer, if it names itself.
        key: Idempotency key, or the subject of a read whose answer may serve others.
    """

    id_hex: str
    traffic_class: str
    body: bytes
    received_at_ms: float
    memory_kb: float
    tenant: str | None = None
    timeout_ms: float | None = None
    cost_hint_ms: float | None = None
    is_retry: bool = False
    load_balancer: int | None = None
    key: str | None = None

    def arrival(self, number: int, now_ms: float, original_request_id: int | None) -> Arrival:
        """Return the request as the admission controller takes it.

        Args:
            number: Identifier of the request as a number.
            now_ms: Current time, from which the read delay follows.
            original_request_id: Number of the request that this one repeats, if one is on record.
        """
        return Arrival(
            id=number,
            traffic_class=self.traffic_class,
            memory_kb=self.memory_kb,
            tenant=self.tenant,
            deadline_at_ms=None if self.timeout_ms is None else self.received_at_ms + self.timeout_ms,
            cost_hint_ms=self.cost_hint_ms,
            is_retry=self.is_retry,
            client=self.load_balancer,
            read_delay_ms=max(0.0, now_ms - self.received_at_ms),
            original_request_id=original_request_id,
            has_key=self.key is not None,
        )


class Answer(NamedTuple):
    """The answer to a request.

    Attributes:
        state: COMPLETED, REJECTED or FAILED.
        advertised_weight: Weight of this server, which every answer carries.
        body: Result of a completed request.
        retry_after_ms: How long the client should wait before a retry of a rejected request; 0 for no advice.
        retry_elsewhere_useless: Whether another server would reject the request as well.
    """

    state: RequestState
    advertised_weight: float | None
    body: bytes = b""
    retry_after_ms: float = 0.0
    retry_elsewhere_useless: bool = False


class Request:
    """One request of a client.

    Args:
        received: The fields that were received.
        generation: The configuration that was in force when it was received; it applies to the end of the request.
        write_answer: Writes the answer to the client; called once at most.

    Attributes:
        received: The fields that were received.
        number: Identifier as a number.
        generation: The configuration that applies to the request.
        state: Current state.
        answered: Whether an answer was written.
        client_gone: Whether the client cancelled the request or closed its connection.
        has_unfinished_run: Whether the worker pool has a run of it that has not ended.
        heard_since_last_command: Whether the worker pool has sent anything about that run since it was last started
            or resumed.
        call_transports: The connections on which its calls were sent.
        call: The call at which its run stands, or last stood.
        call_started_at_ms: When the latest call was sent.
        call_deadline_at_ms: When the latest call is given up.
        coalesced_at_ms: When the request began to wait for the result of its original.
        coalesced_requests: Requests that wait for the result of this one.
        run_ms: Time that its run took.
        on_finished: Called with the request and its final state when it is answered or cancelled.
    """

    def __init__(
        self, received: ReceivedRequest, generation: Generation, write_answer: Callable[[Answer], None]
    ) -> None:
        self.received = received
        self.number = int(received.id_hex, 16)
        self.generation = generation
        self.state = RequestState.QUEUED
        self.answered = False
        self.client_gone = False
        self.has_unfinished_run = False
        self.heard_since_last_command = False
        self.call_transports: list[object] = []
        self.call = CallRequested(0, b"")
        self.call_started_at_ms = 0.0
        self.call_deadline_at_ms = inf
        self.coalesced_at_ms = 0.0
        self.coalesced_requests: list[Request] = []
        self.run_ms = 0.0
        self.on_finished: Callable[[Request, RequestState], None] | None = None
        self._write_answer = write_answer
        self._mailbox: deque[RequestEvent] = deque()
        self._mailbox_changed: anyio.Event | None = None

    def enter(self, state: RequestState) -> None:
        """Change the state; a final state is never left.

        A final state is replaced by ORPHANED while a run is out.
        """
        if self.state in FINAL_STATES:
            return
        if state in FINAL_STATES and self.has_unfinished_run:
            self.state = RequestState.ORPHANED
        else:
            self.state = state

    def answer(self, answer: Answer) -> None:
        """Write the answer, unless one was written or the client has gone."""
        if self.answered or self.client_gone:
            return
        self.answered = True
        self._write_answer(answer)
        if self.on_finished is not None:
            self.on_finished(self, answer.state)

    def deliver(self, event: RequestEvent) -> None:
        """Put an event into the mailbox.

        An event that would exceed the capacity is dropped, unless it ends the request. Those come once each, and the
        running slot would never be freed without them.
        """
        if len(self._mailbox) < MAILBOX_CAPACITY or isinstance(event, RunFinished | ClientDisconnected):
            self._mailbox.append(event)
        self.wake()

    def wake(self) -> None:
        """Have `next_event` return, for an event or for a state that was changed from elsewhere."""
        if self._mailbox_changed is not None:
            self._mailbox_changed.set()

    async def next_event(self, wait_ms: float) -> RequestEvent | None:
        """Return the next event, or None after `wait_ms` or a call of `wake` without one."""
        if not self._mailbox:
            changed = self._mailbox_changed = anyio.Event()
            if wait_ms == inf:
                await changed.wait()
            else:
                with anyio.move_on_after(max(0.0, wait_ms) / 1000):
                    await changed.wait()
        return self._mailbox.popleft() if self._mailbox else None


def fail_requests(requests: Iterable[Request], advertised_weight: float | None) -> None:
    """Answer these requests with a failure and end them, whether or not their runs are out."""
    for request in requests:
        request.answer(Answer(RequestState.FAILED, advertised_weight))
        request.has_unfinished_run = False
        request.enter(RequestState.FAILED)
        request.wake()
