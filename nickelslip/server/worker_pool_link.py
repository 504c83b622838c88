"""The link to the worker pool: its one connection, what is sent on it and what comes.

Connects with backoff, binds where the last notification left off, and moves to another address. The wire is described
in worker_pool_protocol.py; command_delivery.py decides which commands may be sent again after the link was lost.
"""

from __future__ import annotations

import random
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

import anyio

from nickelslip.admission.interface import Gauges, Outcome, Preemption
from nickelslip.configuration.config import Address
from nickelslip.server.close_reasons import (
    MALFORMED_RESULT_OUTCOME,
    UNKNOWN_START_OUTCOME,
    CloseReason,
    ConnectionClosedError,
)
from nickelslip.server.command_delivery import CommandDelivery, PendingCommand
from nickelslip.server.connector import connect
from nickelslip.server.request_events import CallRequested, RunFinished
from nickelslip.server.requests import Request
from nickelslip.server.streams import Stream
from nickelslip.server.worker_pool_protocol import (
    START_WORD,
    Bind,
    Bound,
    CallReached,
    CommandNotExecuted,
    GaugesReported,
    Line,
    LineReader,
    MalformedNotificationError,
    Notification,
    QueryGauges,
    ResumeWithoutCall,
    ResumeWithReply,
    RunEnded,
    RunMentioned,
    RunNotification,
    RunResult,
    StartRun,
    StopRun,
    decode_envelope,
    decode_fragment,
    decode_gauges,
    decode_notification,
    encode_command,
)
from nickelslip.startup.backoff import Backoff

if TYPE_CHECKING:  # these names are needed for types alone, and not at every start of the program
    from nickelslip.server.interfaces import RunOwner

MIN_RECONNECT_DELAY_MS = 20.0
MAX_RECONNECT_DELAY_MS = 500.0
RECONNECT_BUDGET = 24  # attempts to connect within each span
RECONNECT_SPAN_MS = 5000.0
MAX_CONFIRMATION_WAIT_MS = 100.0  # for what was written to a link that is being replaced
MAX_QUERIES_WITHOUT_READ = 20  # on which a link that brings nothing is given up; there are ten a second
MAX_BACKLOG_BYTES = 1 << 20
LOGGED_LINE_BYTES = 100


class LinkState(Enum):
    """The state of the link."""

    DOWN = "there is no connection; commands wait"
    BINDING = "connected, and waiting for the worker pool to be up; commands wait"
    UP = "commands go out at once"
    MOVING = "the connection to another address stands ready; commands wait until all that was written has arrived"


class LinkEvent(Enum):
    """What changes the state of the link."""

    CONNECTED = "a connection stands"
    BOUND = "the worker pool is up and has taken the link up"
    REPLACEMENT_CONNECTED = "a connection to the new address stands"
    CLOSED = "the connection has ended"


LINK_TRANSITIONS = {
    (LinkState.DOWN, LinkEvent.CONNECTED): LinkState.BINDING,
    (LinkState.BINDING, LinkEvent.BOUND): LinkState.UP,
    (LinkState.UP, LinkEvent.BOUND): LinkState.UP,
    (LinkState.MOVING, LinkEvent.BOUND): LinkState.UP,
    (LinkState.UP, LinkEvent.REPLACEMENT_CONNECTED): LinkState.MOVING,
    (LinkState.BINDING, LinkEvent.CLOSED): LinkState.DOWN,
    (LinkState.UP, LinkEvent.CLOSED): LinkState.DOWN,
    (LinkState.MOVING, LinkEvent.CLOSED): LinkState.DOWN,
}


class WorkerPoolLink:
    """The worker pool, as this server reaches it.

    Args:
        owner: Whose runs these are, and who hears that the worker pool came up.
    """

    def __init__(self, owner: RunOwner) -> None:
        self._owner = owner
        self._state = LinkState.DOWN
        self._stream: Stream | None = None
        self._replacement: Stream | None = None  # the next connection, not bound yet
        self._address = owner.generation.config.pool  # to which the link goes
        self._connect_scope: anyio.CancelScope | None = None  # of the attempt to connect, or the delay before it
        self._all_confirmed = anyio.Event()  # of a link that is being replaced: all that was written has arrived
        self._was_ever_bound = False
        self._last_seq = 0  # of the notification that was read last
        self._last_query_number = 0
        self._queries_without_read = 0
        self._gauges: Gauges | None = None
        self._unsent = deque[PendingCommand]()
        # Preemption is fixed while the server runs.
        self._can_stop_runs = owner.generation.settings.preemption is not Preemption.NEVER
        self._delivery = CommandDelivery(self._can_stop_runs)

    @property
    def is_up(self) -> bool:
        """Whether a command can be written now."""
        return self._state is LinkState.UP and self._stream is not None and not self._stream.ending

    # Commands

    def start(self, request: Request) -> None:
        """Start a run of this request."""
        received = request.received
        command = StartRun(received.id_hex, received.traffic_class, received.body)
        self._send(PendingCommand(command, request))

    def stop(self, request: Request) -> None:
        """Stop this request's run, where runs can be stopped.

        Without a link this does nothing, since admission control asks again while a run goes on. A run that is proven
        not to exist is reported as cancelled instead.
        """
        if not self._can_stop_runs or not self.is_up:
            return
        if self._delivery.is_absent_after_stop(request):
            request.deliver(RunFinished(Outcome.CANCELLED, 0.0))
            return
        self._send(PendingCommand(StopRun(request.received.id_hex), request))

    def resume_with_reply(self, request: Request, body: bytes) -> None:
        """Resume this request's run with the reply to its call."""
        request.notified = False
        self._send(PendingCommand(ResumeWithReply(request.received.id_hex, body), request))

    def resume_without_call(self, request: Request) -> None:
        """Resume this request's run without the call at which it stands."""
        request.notified = False
        self._send(PendingCommand(ResumeWithoutCall(request.received.id_hex, request.call.seq), request))

    def request_gauges(self) -> None:
        """Ask for the gauges, where a link stands, and give up a link that brings nothing for many queries in a row.

        A peer that vanished without closing would otherwise be waited for until every request's deadline. Queries are
        counted, and not time, since a server that stands still itself sends none.
        """
        if self._stream is not None and self._was_ever_bound:
            self._queries_without_read += 1
            if self._queries_without_read > MAX_QUERIES_WITHOUT_READ:
                self._stream.end_with(CloseReason.UNRESPONSIVE)
        if self.is_up:
            self._last_query_number += 1
            self._write(PendingCommand(QueryGauges(self._last_query_tag), None))

    def take_gauges(self) -> Gauges | None:
        """Return the gauges that have come since they were last taken."""
        gauges = self._gauges
        self._gauges = None
        return gauges

    @property
    def _last_query_tag(self) -> str:
        return str(self._last_query_number)

    def _send(self, pending: PendingCommand) -> None:
        if self.is_up:
            self._write(pending)
        else:
            self._unsent.append(pending)

    def _write(self, pending: PendingCommand) -> None:
        line = encode_command(pending.command)
        self._delivery.command_written(pending)
        if self._stream is not None:
            self._stream.write(line)

    # The connection

    async def run(self) -> None:
        """Keep the link, and take it up again when it is lost."""
        backoff = self._new_backoff()
        while True:
            stream = await self._next_connection(backoff)
            if stream is not None:
                await self._serve_connection(stream)

    def _new_backoff(self) -> Backoff:
        config = self._owner.generation.config
        return Backoff(
            random.Random(f"link {config.name} {config.seed}"),
            MIN_RECONNECT_DELAY_MS,
            MAX_RECONNECT_DELAY_MS,
            RECONNECT_BUDGET,
            RECONNECT_SPAN_MS,
        )

    async def _next_connection(self, backoff: Backoff) -> Stream | None:
        """Return the replacement that stands ready, or else a new connection; None where the attempt came to nothing.

        The address may change just when the attempt has succeeded and can be cancelled no more. That connection is
        closed, since once it is bound the link would stay at the old address.
        """
        with anyio.CancelScope() as self._connect_scope:
            try:
                if self._replacement is None:
                    self._address = self._configured_address
                    self._replacement = await self._connect(self._address)
            except ConnectionClosedError:
                await anyio.sleep(backoff.after_failure(self._owner.clock()) / 1000)
        stream = self._replacement
        if stream is None:
            return None
        self._replacement = None
        if self._address != self._configured_address:
            stream.end_with(CloseReason.ENDPOINT_CHANGED)
            return None
        backoff.after_success()
        return stream

    async def _serve_connection(self, stream: Stream) -> None:
        """Bind the link on this connection, and read notifications until it ends."""
        self._stream = stream
        try:
            self._enter_on(LinkEvent.CONNECTED)
            self._queries_without_read = 0
            stream.write(encode_command(Bind(self._last_seq)))
            await self._read(stream)
        except ConnectionClosedError as closed:
            self._owner.log.warning("worker_pool_link_closed", reason=closed.reason.name, detail=closed.detail)
            stream.end_with(closed.reason)
            self._stream = None
            self._enter_on(LinkEvent.CLOSED)
            if closed.reason is not CloseReason.ENDPOINT_CHANGED:
                await anyio.sleep(MIN_RECONNECT_DELAY_MS / 1000)

    async def _connect(self, address: Address) -> Stream:
        return await connect(address, self._owner.buffers, self._owner.task_group, MAX_BACKLOG_BYTES)

    def _enter_on(self, event: LinkEvent) -> None:
        """Enter the state that follows from an event; a change is logged."""
        state = LINK_TRANSITIONS[self._state, event]
        if state is not self._state:
            self._owner.log.info("worker_pool_link_state", state=state.name, waiting_commands=len(self._unsent))
        self._state = state

    # A change of the address

    @property
    def _configured_address(self) -> Address:
        return self._owner.generation.config.pool

    def change_endpoint(self) -> None:
        """Take up the configured address: a link that is up is replaced once the new one stands, any other at once."""
        if self._address == self._configured_address and self._stream is not None:
            return
        if self.is_up:
            self._owner.task_group.start_soon(self._owner.supervise, self._move_to, self._configured_address)
        elif self._stream is not None:
            self._stream.end_with(CloseReason.ENDPOINT_CHANGED)
        elif self._connect_scope is not None:
            self._connect_scope.cancel()

    async def _move_to(self, address: Address) -> None:
        """Replace the link by one to another address, with as few commands in doubt as can be.

        The old link stays until all that was written on it is confirmed, or until that takes too long; commands wait
        for that. A break of the old link, or another move, overtakes this one.
        """
        old = self._stream
        replacement = await self._connect_replacement(old, address)
        if replacement is None:
            return
        if self._is_move_wanted(old, address):
            self.request_gauges()
            self._enter_on(LinkEvent.REPLACEMENT_CONNECTED)
            self._all_confirmed = anyio.Event()
            with anyio.move_on_after(MAX_CONFIRMATION_WAIT_MS / 1000):
                await self._all_confirmed.wait()
        if old is None or self._stream is not old or self._state is not LinkState.MOVING:
            replacement.end_with(CloseReason.IDLE)
            return
        if address == self._configured_address:
            self._replacement = replacement
            self._address = address
        else:  # the address changed again meanwhile: the old link ends all the same, since commands wait
            replacement.end_with(CloseReason.IDLE)
        old.end_with(CloseReason.ENDPOINT_CHANGED)

    async def _connect_replacement(self, old: Stream | None, address: Address) -> Stream | None:
        """Return a connection to the new address; None where the move is not wanted any more."""
        while self._is_move_wanted(old, address):
            try:
                return await self._connect(address)
            except ConnectionClosedError:
                await anyio.sleep(MIN_RECONNECT_DELAY_MS / 1000)
        return None

    def _is_move_wanted(self, old: Stream | None, address: Address) -> bool:
        return self.is_up and self._stream is old and address == self._configured_address

    # Notifications

    async def _read(self, stream: Stream) -> None:
        lines = LineReader(stream)
        while True:
            await stream.fill()
            self._queries_without_read = 0
            while (line := lines.next_line()) is not None:
                self._line_read(line)

    def _line_read(self, line: Line) -> None:
        if line.is_truncated:
            self._malformed_line_read(line.data, "over the size of a buffer")
            return
        if not line.data.strip():
            return
        try:
            envelope = decode_envelope(line.data)
            if envelope.seq is not None and not self._is_new(envelope.seq):
                return
            self._handle(decode_notification(envelope))
        except MalformedNotificationError as error:
            self._malformed_line_read(line.data, str(error))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            # An error in handling a notification costs that notification alone; the link goes on.
            self._malformed_line_read(line.data, repr(error))

    def _malformed_line_read(self, line: bytes, error: str) -> None:
        """Pass over a line that cannot be understood; asked for again it would be the same.

        Its number counts as far as it can be read, and so does the run that it names: a run that has ended has ended,
        though with no result.
        """
        self._owner.log.error("malformed_notification", error=error, line=repr(line[:LOGGED_LINE_BYTES]))
        fragment = decode_fragment(line)
        if fragment is not None and self._is_new(fragment.seq) and fragment.notification is not None:
            self._handle_run(fragment.notification)

    def _is_new(self, seq: int) -> bool:
        """Count the notification with this number, and return whether it has not been read before."""
        if seq <= self._last_seq:
            return False
        if seq > self._last_seq + 1:
            self._owner.log.error("notifications_lost", after_seq=self._last_seq, before_seq=seq)
        self._last_seq = seq
        return True

    def _handle(self, notification: Notification | None) -> None:
        match notification:
            case RunEnded() | CallReached() | RunMentioned():
                self._handle_run(notification)
            case GaugesReported(tag, values):
                self._handle_gauges(tag, values)
            case Bound(outcome, ago_ms):
                self._handle_bound(outcome, ago_ms)
            case CommandNotExecuted():
                self._handle_not_executed(notification)

    def _handle_run(self, notification: RunNotification) -> None:
        request = self._owner.requests.get(notification.request_number)
        if request is None:
            return
        self._delivery.run_observed(request)
        match notification:
            case RunEnded(request_id=request_id, result=None):
                self._owner.log.error("malformed_run_result", id=request_id)
                request.deliver(RunFinished(MALFORMED_RESULT_OUTCOME, 0.0))
            case RunEnded(result=RunResult(outcome, took_ms, body)):
                request.deliver(RunFinished(outcome, took_ms, body))
            case CallReached(seq=seq, body=body):
                request.deliver(CallRequested(seq, body))

    def _handle_bound(self, outcome: str, ago_ms: float) -> None:
        """The link stands: what was never written goes out now, and what may be lost once all was caught up with.

        Missed notifications come before the answer to a query that is written now.
        """
        self._owner.log.info("worker_pool_bound", outcome=outcome, ago_ms=ago_ms, resumed_after_seq=self._last_seq)
        self._enter_on(LinkEvent.BOUND)
        self._was_ever_bound = True
        self._delivery.link_bound()
        self.request_gauges()
        self._delivery.await_catch_up(self._last_query_tag)
        unsent = self._unsent
        self._unsent = deque()
        for pending in unsent:
            if pending.request is not None and pending.request.run_is_out:
                self._send(pending)
        self._owner.worker_pool_started(ago_ms)

    def _handle_gauges(self, tag: str, values: object) -> None:
        """Take the answer to a query, first as the confirmation of what was written before it, then for its values.

        Raises:
            MalformedNotificationError: The values cannot be read.
        """
        self._delivery.query_answered(tag)
        for pending in self._delivery.commands_to_resend(tag):
            self._write(pending)
        if not self._delivery.is_catching_up and not self._can_stop_runs and self.is_up:
            for request in self._delivery.take_runs_to_start_again():
                self.start(request)
        if self._state is LinkState.MOVING and self._delivery.is_all_confirmed:
            self._all_confirmed.set()
        self._gauges = decode_gauges(self._owner.generation.config.gauges, values)

    def _handle_not_executed(self, notification: CommandNotExecuted) -> None:
        request = None
        if notification.request_number is not None:
            request = self._owner.requests.get(notification.request_number)
        self._owner.log.warning("command_not_executed", command=notification.command_word, is_known=request is not None)
        if request is not None and notification.command_word == START_WORD:
            request.deliver(RunFinished(UNKNOWN_START_OUTCOME, 0.0, ran=False))
