"""One request: its received fields, its state, its mailbox and its answer.

The connection to a load balancer creates a `Request` and supplies the function that writes the answer.
`request_lifecycle` handles its events, and `state_changes` applies the admission controller's decisions to it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

import anyio

from nickelslip.admission.interface import FINAL_STATES, Arrival, RequestState, RetrySafety
from nickelslip.configuration.generations import Generation
from nickelslip.server.request_events import CallRequested, ClientDisconnected, RequestEvent, RunFinished

MAILBOX_CAPACITY = 64  # in events; the two events that end a request are accepted even when it is full


@dataclass(slots=True, eq=False)
class ReceivedRequest:
    """The validated fields of a received request.

    Attributes:
        id_hex: Identifier of the request, in hexadecimal digits.
        traffic_class: Name of its traffic class.
        body: Body for the worker pool.
        received_at_ms: When it reached this machine, in Unix milliseconds.
        memory_kb: Memory that it occupies while it is queued.
        tenant: Name of its tenant, if the request contains one.
        timeout_ms: How long its client waits for the answer, if the client states it.
        cost_hint_ms: Expected time on a core, if the client states it.
        is_retry: Whether it is marked as a retry.
        load_balancer: Number of the load balancer that sent it; None if unknown.
        key: Idempotency key, or the subject of a read whose answer may be shared with other requests.
        may_be_delayed_by_client: Whether it may have been read late because its client sent too much before it.
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
    may_be_delayed_by_client: bool = False

    def to_arrival(self, number: int, now_ms: float, original_request_id: int | None) -> Arrival:
        """Convert the request to the admission controller's format.

        Args:
            number: Identifier of the request as a number.
            now_ms: Current time, used to compute the read delay.
            original_request_id: Number of the original request, if this one is a duplicate.
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
            may_be_delayed_by_client=self.may_be_delayed_by_client,
        )


class Answer(NamedTuple):
    """The answer to a request.

    Attributes:
        state: COMPLETED, REJECTED or FAILED.
        advertised_weight: Advertised weight of this server, sent with every answer; None if there is none.
        body: Result of a completed request.
        retry_after_ms: How long the client should wait before it retries a rejected request; 0 for no advice.
        retry_elsewhere_useless: Whether other servers would reject the request as well.
    """

    state: RequestState
    advertised_weight: float | None
    body: bytes = b""
    retry_after_ms: float = 0.0
    retry_elsewhere_useless: bool = False


class Request:
    """One request of a client.

    Args:
        received: The decoded request.
        generation: The configuration that was in force when it was received. Later generations do not affect it.
        write_answer: Writes the answer to the client; called at most once.

    Attributes:
        received: The decoded request and the time at which it was received.
        number: Identifier as a number.
        generation: The configuration that applies to the request.
        state: Current state.
        is_answered: Whether an answer has been written.
        is_client_disconnected: Whether the client cancelled the request or closed its connection.
        has_unfinished_run: Whether the worker pool has an unfinished run of it.
        may_have_run: Whether the start of a run was requested, and the worker pool has not said that none was started.
        run_started_at_ms: When its run was last started.
        has_notification_since_last_command: Whether a notification of that run has arrived since it was last started
            or resumed.
        call_transports: The connections on which its calls were sent.
        call: The latest call that its run requested.
        call_started_at_ms: When the latest call was sent.
        call_deadline_at_ms: When the latest call times out.
        coalesced_at_ms: When it began to wait for the result of its original request.
        coalesced_requests: Duplicates that wait for the result of this request.
        run_ms: Duration of its run, calls included. For a coalesced request, how long it waited for its original.
        on_finished: Called with the request and its final state when it is answered or cancelled.
    """

    def __init__(
        self, received: ReceivedRequest, generation: Generation, write_answer: Callable[[Answer], None]
    ) -> None:
        self.received = received
        self.number = int(received.id_hex, 16)
        self.generation = generation
        self.state = RequestState.QUEUED
        self.is_answered = False
        self.is_client_disconnected = False
        self.has_unfinished_run = False
        self.may_have_run = False
        self.run_started_at_ms = 0.0
        self.has_notification_since_last_command = False
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

    @property
    def must_not_run_twice(self) -> bool:
        """Whether a second run of the request could have an effect."""
        retry_safety = self.generation.retry_safety_by_class[self.received.traffic_class]
        return retry_safety is not RetrySafety.IDEMPOTENT

    def enter(self, state: RequestState) -> None:
        """Change the state, unless the current state is final.

        While the run is unfinished, the request enters ORPHANED instead of a final state.
        """
        if self.state in FINAL_STATES:
            return
        if state in FINAL_STATES and self.has_unfinished_run:
            self.state = RequestState.ORPHANED
        else:
            self.state = state

    def answer(self, answer: Answer) -> None:
        """Write the answer, unless one has been written or the client has disconnected."""
        if self.is_answered or self.is_client_disconnected:
            return
        self.is_answered = True
        self._write_answer(answer)
        if self.on_finished is not None:
            self.on_finished(self, answer.state)

    def deliver(self, event: RequestEvent) -> None:
        """Put an event into the mailbox.

        A full mailbox drops every event that does not end the request. Each of the two events that end it arrives only
        once, and without it the running slot would never be freed.
        """
        if len(self._mailbox) < MAILBOX_CAPACITY or isinstance(event, RunFinished | ClientDisconnected):
            self._mailbox.append(event)
        self.wake()

    def wake(self) -> None:
        """Make `next_event` return, because of a new event or a state change outside the lifecycle task."""
        if self._mailbox_changed is not None:
            self._mailbox_changed.set()

    async def next_event(self, wait_ms: float) -> RequestEvent | None:
        """Return the next event, or None after `wait_ms` or if `wake` is called without an event."""
        if not self._mailbox:
            changed = self._mailbox_changed = anyio.Event()
            if wait_ms == inf:
                await changed.wait()
            else:
                with anyio.move_on_after(max(0.0, wait_ms) / 1000):
                    await changed.wait()
        return self._mailbox.popleft() if self._mailbox else None


def fail_requests(requests: Iterable[Request], advertised_weight: float | None) -> None:
    """Answer these requests with a failure and end them, even if their runs are unfinished."""
    for request in requests:
        request.answer(Answer(RequestState.FAILED, advertised_weight))
        request.has_unfinished_run = False
        request.enter(RequestState.FAILED)
        request.wake()
