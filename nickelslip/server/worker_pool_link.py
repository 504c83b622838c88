"""The link to the worker pool: sends commands and handles notifications.

worker_pool_connection.py maintains the connection. worker_pool_commands.py and worker_pool_notifications.py encode and
decode the lines. command_delivery.py decides which commands may be resent after a connection was lost.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from nickelslip.admission.interface import Gauges, Outcome, Preemption
from nickelslip.server.close_reasons import MALFORMED_RESULT_OUTCOME, UNKNOWN_START_OUTCOME
from nickelslip.server.command_delivery import CommandDelivery
from nickelslip.server.line_reader import Line
from nickelslip.server.log_sampling import is_power_of_two
from nickelslip.server.request_events import CallRequested, RunFinished
from nickelslip.server.requests import Request
from nickelslip.server.worker_pool_commands import (
    START_WORD,
    QueryGauges,
    ResumeWithoutCall,
    ResumeWithReply,
    RunCommand,
    StartRun,
    StopRun,
    encode_command,
)
from nickelslip.server.worker_pool_connection import WorkerPoolConnection
from nickelslip.server.worker_pool_notifications import (
    Bound,
    CallReached,
    CommandNotExecuted,
    GaugesReported,
    MalformedNotificationError,
    Notification,
    RunEnded,
    RunNotification,
    RunResult,
    UnknownRunNotification,
    decode_envelope,
    decode_fragment,
    decode_gauges,
    decode_notification,
)

if TYPE_CHECKING:  # avoids imports at startup
    from nickelslip.server.interfaces import RunOwner

LOGGED_LINE_BYTES = 100
# A notification whose number is further ahead is malformed. Notifications missed while there was no link are far fewer,
# because no run is started then.
MAX_SEQ_GAP = 1_000_000


class WorkerPoolLink:
    """Sends commands to the worker pool and delivers its notifications to requests.

    Args:
        owner: The server, which provides the open requests and is notified when the worker pool comes up.
    """

    def __init__(self, owner: RunOwner) -> None:
        self._owner = owner
        self._connection = WorkerPoolConnection(owner, self)
        # The preemption setting does not change while the server runs.
        self._can_stop_runs = owner.generation.settings.preemption is not Preemption.NEVER
        self._delivery = CommandDelivery(self._can_stop_runs)
        self._unsent = deque[RunCommand]()  # never written; sent once the link is up
        self._last_seq = 0
        self._last_query_number = 0
        self._not_executed_count = 0
        self._gauges: Gauges | None = None

    async def run(self) -> None:
        """Keep the link connected, and re-establish it when it is lost."""
        await self._connection.run()

    def change_endpoint(self) -> None:
        """Move the link to the configured address."""
        self._connection.change_endpoint()

    @property
    def is_up(self) -> bool:
        """Whether a command can be written now."""
        return self._connection.is_up

    @property
    def last_seq(self) -> int:
        """The sequence number of the last notification read."""
        return self._last_seq

    @property
    def unsent_command_count(self) -> int:
        """The number of commands that wait for the link to be up."""
        return len(self._unsent)

    def start(self, request: Request) -> None:
        """Start a run of the request."""
        self._send(StartRun(request))

    def stop(self, request: Request) -> None:
        """Stop the request's run, if runs can be stopped.

        Does nothing while the link is down, since admission control repeats the command while the run continues. A
        run that is known not to exist is reported as cancelled instead.
        """
        if not self._can_stop_runs or not self.is_up:
            return
        if self._delivery.record_stop(request):
            request.deliver(RunFinished(Outcome.CANCELLED, 0.0))
            return
        self._send(StopRun(request))

    def resume_with_reply(self, request: Request, body: bytes) -> None:
        """Resume the request's run with the reply to its call."""
        request.has_notification_since_last_command = False
        self._send(ResumeWithReply(request, body))

    def resume_without_call(self, request: Request) -> None:
        """Resume the request's run without the call for which it is waiting."""
        request.has_notification_since_last_command = False
        self._send(ResumeWithoutCall(request, request.call.seq))

    def request_gauges(self) -> None:
        """Query the gauges if the link is up. A link on which nothing is received for many queries is closed."""
        self._connection.count_query()
        if self.is_up:
            self._last_query_number += 1
            self._write(QueryGauges(self._last_query_tag))

    def take_gauges(self) -> Gauges | None:
        """Return the gauges if new ones have arrived since the last time, else None."""
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

    def handle_line(self, line: Line) -> None:
        """Handle a line from the worker pool; a notification whose number was already read is ignored."""
        if line.is_truncated:
            self._handle_malformed_line(line.data, "line exceeds the buffer size")
            return
        if not line.data.strip():
            return
        try:
            envelope = decode_envelope(line.data)
            if envelope.seq is not None and not self._record_seq(envelope.seq):
                return
            self._handle(decode_notification(envelope))
        except MalformedNotificationError as error:
            self._handle_malformed_line(line.data, str(error))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            # An error in handling a notification affects only that notification; the link stays up.
            self._handle_malformed_line(line.data, repr(error))

    def _handle_malformed_line(self, line: bytes, error: str) -> None:
        """Handle a line that cannot be decoded; requesting it again would return the same line.

        Its sequence number and the run that it names are still used if they can be read. A run that it reports as
        ended has ended, though without a result.
        """
        self._owner.log.error("malformed_notification", error=error, line=repr(line[:LOGGED_LINE_BYTES]))
        fragment = decode_fragment(line)
        if fragment is not None and self._record_seq(fragment.seq) and fragment.notification is not None:
            self._handle_run(fragment.notification)

    def _record_seq(self, seq: int) -> bool:
        """Record the sequence number of a notification; return False if it was read before or is too far ahead.

        After a number too far ahead, all notifications that follow would count as read before.
        """
        if seq <= self._last_seq:
            return False
        if seq > self._last_seq + MAX_SEQ_GAP:
            self._owner.log.error(
                "malformed_notification", error="sequence number too far ahead", line=str(seq)[:LOGGED_LINE_BYTES]
            )
            return False
        if seq > self._last_seq + 1:
            self._owner.log.error("notifications_lost", after_seq=self._last_seq, before_seq=seq)
        self._last_seq = seq
        return True

    def _handle(self, notification: Notification | None) -> None:
        match notification:
            case RunEnded() | CallReached() | UnknownRunNotification():
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
        self._delivery.run_confirmed(request)
        match notification:
            case RunEnded(request_id=request_id, result=None):
                self._owner.log.error("malformed_run_result", id=request_id)
                request.deliver(RunFinished(MALFORMED_RESULT_OUTCOME, 0.0))
            case RunEnded(result=RunResult(outcome, took_ms, body)):
                request.deliver(RunFinished(outcome, took_ms, body))
            case CallReached(seq=seq, body=body):
                request.deliver(CallRequested(seq, body))

    def _handle_bound(self, outcome: str, ago_ms: float | None) -> None:
        """Send the queued commands after the link was bound, and prepare to resend possibly lost ones.

        Those are resent after all missed notifications were read, which arrive before the answer to the query that is
        written here. A worker pool of unknown age counts as just started: it binds only once, so that the link would
        never come up if the notification were ignored.
        """
        self._owner.log.info("worker_pool_bound", outcome=outcome, ago_ms=ago_ms, resumed_after_seq=self._last_seq)
        if ago_ms is None:
            self._owner.log.error("malformed_notification", error="the age of the worker pool is not a number")
        self._connection.mark_bound()
        self._delivery.link_bound()
        self.request_gauges()
        self._delivery.expect_catch_up(self._last_query_tag)
        unsent = self._unsent
        self._unsent = deque()
        for command in unsent:
            if command.request.has_unfinished_run:
                self._send(command)
        self._owner.worker_pool_started(ago_ms or 0.0)

    def _handle_query_answer(self, tag: str, values: object) -> None:
        """Handle the answer to a gauge query: confirm the commands written before the query, then decode the gauges.

        Raises:
            MalformedNotificationError: The values cannot be decoded.
        """
        self._delivery.query_answered(tag)
        for command in self._delivery.pop_commands_to_resend(tag):
            self._write(command)
        if not self._delivery.is_catching_up and not self._can_stop_runs and self.is_up:
            for request in self._delivery.pop_runs_to_probe():
                self.start(request)
        if self._delivery.all_confirmed:
            self._connection.mark_all_confirmed()
        self._gauges = decode_gauges(self._owner.generation.config.gauges, values)

    def _handle_not_executed(self, notification: CommandNotExecuted) -> None:
        request = None
        if notification.request_number is not None:
            request = self._owner.requests.get(notification.request_number)
        self._log_not_executed(notification, is_known=request is not None)
        if request is not None and notification.command_word == START_WORD:
            self._delivery.run_confirmed(request)
            request.deliver(RunFinished(UNKNOWN_START_OUTCOME, 0.0))

    def _log_not_executed(self, notification: CommandNotExecuted, is_known: bool) -> None:
        """Log the 1st, 2nd, 4th, 8th ... command that was not executed, since clients can cause any number of them."""
        self._not_executed_count += 1
        if is_power_of_two(self._not_executed_count):
            self._owner.log.warning(
                "command_not_executed",
                command=notification.command_word,
                is_known=is_known,
                count=self._not_executed_count,
            )
