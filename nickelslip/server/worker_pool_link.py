"""The link to the worker pool: the commands that are sent, and what follows from the notifications that come.

The connection is kept by worker_pool_connection.py, the wire is described in worker_pool_protocol.py, and
command_delivery.py decides which commands may be sent again after a connection was lost.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from nickelslip.admission.interface import Gauges, Outcome, Preemption
from nickelslip.server.close_reasons import MALFORMED_RESULT_OUTCOME, UNKNOWN_START_OUTCOME
from nickelslip.server.command_delivery import CommandDelivery
from nickelslip.server.request_events import CallRequested, RunFinished
from nickelslip.server.requests import Request
from nickelslip.server.worker_pool_connection import WorkerPoolConnection
from nickelslip.server.worker_pool_protocol import (
    START_WORD,
    Bound,
    CallReached,
    CommandNotExecuted,
    GaugesReported,
    Line,
    MalformedNotificationError,
    Notification,
    QueryGauges,
    ResumeWithoutCall,
    ResumeWithReply,
    RunCommand,
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

if TYPE_CHECKING:  # these names are needed for types alone, and not at every start of the program
    from nickelslip.server.interfaces import RunOwner

LOGGED_LINE_BYTES = 100


class WorkerPoolLink:
    """The worker pool, as this server reaches it.

    Args:
        owner: Whose runs these are, and who hears that the worker pool came up.
    """

    def __init__(self, owner: RunOwner) -> None:
        self._owner = owner
        self._connection = WorkerPoolConnection(owner, self)
        # Preemption is fixed while the server runs.
        self._can_stop_runs = owner.generation.settings.preemption is not Preemption.NEVER
        self._delivery = CommandDelivery(self._can_stop_runs)
        self._unsent = deque[RunCommand]()  # they were never written, and go out once the link is up
        self._last_seq = 0
        self._last_query_number = 0
        self._gauges: Gauges | None = None

    async def run(self) -> None:
        """Keep the link, and take it up again when it is lost."""
        await self._connection.run()

    def change_endpoint(self) -> None:
        """Take up the configured address."""
        self._connection.change_endpoint()

    @property
    def is_up(self) -> bool:
        """Whether a command can be written now."""
        return self._connection.is_up

    @property
    def last_seq(self) -> int:
        """The number of the notification that was read last."""
        return self._last_seq

    @property
    def unsent_command_count(self) -> int:
        """How many commands wait for the link to be up."""
        return len(self._unsent)

    # Commands

    def start(self, request: Request) -> None:
        """Start a run of this request."""
        self._send(StartRun(request))

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
        self._send(StopRun(request))

    def resume_with_reply(self, request: Request, body: bytes) -> None:
        """Resume this request's run with the reply to its call."""
        request.heard_since_last_command = False
        self._send(ResumeWithReply(request, body))

    def resume_without_call(self, request: Request) -> None:
        """Resume this request's run without the call at which it stands."""
        request.heard_since_last_command = False
        self._send(ResumeWithoutCall(request, request.call.seq))

    def request_gauges(self) -> None:
        """Ask for the gauges, where the link is up. A link that brings nothing for many queries is given up."""
        self._connection.count_query()
        if self.is_up:
            self._last_query_number += 1
            self._write(QueryGauges(self._last_query_tag))

    def take_gauges(self) -> Gauges | None:
        """Return the gauges that have come since they were last taken."""
        gauges = self._gauges
        self._gauges = None
        return gauges

    @property
    def _last_query_tag(self) -> str:
        return str(self._last_query_number)

    def _send(self, command: RunCommand) -> None:
        if self.is_up:
            self._write(command)
        else:
            self._unsent.append(command)

    def _write(self, command: RunCommand | QueryGauges) -> None:
        line = encode_command(command)
        self._delivery.command_written(command)
        self._connection.write(line)

    # Notifications

    def line_read(self, line: Line) -> None:
        """Take a line of the worker pool; each numbered notification counts once."""
        if line.is_truncated:
            self._malformed_line_read(line.data, "over the size of a buffer")
            return
        if not line.data.strip():
            return
        try:
            envelope = decode_envelope(line.data)
            if envelope.seq is not None and not self._count_if_new(envelope.seq):
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
        if fragment is not None and self._count_if_new(fragment.seq) and fragment.notification is not None:
            self._handle_run(fragment.notification)

    def _count_if_new(self, seq: int) -> bool:
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
                self._handle_query_answer(tag, values)
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
        self._connection.bound()
        self._delivery.link_bound()
        self.request_gauges()
        self._delivery.await_catch_up(self._last_query_tag)
        unsent = self._unsent
        self._unsent = deque()
        for command in unsent:
            if command.request.has_unfinished_run:
                self._send(command)
        self._owner.worker_pool_started(ago_ms)

    def _handle_query_answer(self, tag: str, values: object) -> None:
        """Take the answer to a query, first as the confirmation of what was written before it, then for its values.

        Raises:
            MalformedNotificationError: The values cannot be read.
        """
        self._delivery.query_answered(tag)
        for command in self._delivery.commands_to_resend(tag):
            self._write(command)
        if not self._delivery.is_catching_up and not self._can_stop_runs and self.is_up:
            for request in self._delivery.take_runs_to_start_again():
                self.start(request)
        if self._delivery.is_all_confirmed:
            self._connection.all_confirmed()
        self._gauges = decode_gauges(self._owner.generation.config.gauges, values)

    def _handle_not_executed(self, notification: CommandNotExecuted) -> None:
        request = None
        if notification.request_number is not None:
            request = self._owner.requests.get(notification.request_number)
        self._owner.log.warning("command_not_executed", command=notification.command_word, is_known=request is not None)
        if request is not None and notification.command_word == START_WORD:
            request.deliver(RunFinished(UNKNOWN_START_OUTCOME, 0.0, ran=False))
