"""Tracks which commands have reached the worker pool, and selects those to send again after a link is lost.

A command is unconfirmed until the worker pool answers a gauge query that was written after it. If the link breaks
first, the command may or may not have arrived. Once the next link has delivered all missed notifications,
`resend_decision` decides for each such command whether it is sent again.

A start that `resend_decision` does not repeat is repeated only for `pop_runs_to_probe`, and only if its client no
longer waits for the answer and the worker pool cannot stop runs.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import NamedTuple

from nickelslip.admission.interface import FINAL_STATES, RequestState, RetrySafety
from nickelslip.server.requests import Request
from nickelslip.server.worker_pool_commands import (
    QueryGauges,
    ResumeWithoutCall,
    ResumeWithReply,
    RunCommand,
    StartRun,
    StopRun,
)

MAX_UNCONFIRMED_COMMANDS = 4096  # when there are more, the oldest are discarded
# A run does not exist if no notification of it has arrived after this many stops, of which at most one counts per
# answered query.
STOPS_PROVING_NO_RUN = 3


class ResendDecision(Enum):
    """How to handle a command that may have been lost with a link."""

    SEND_AGAIN = "the command is safe to repeat"
    START_OVER = "the command is unsafe to repeat: its run is stopped, and admission control starts it again"
    DO_NOT_SEND = "the command may have arrived and is unsafe to repeat, or is no longer needed"


def resend_decision(command: RunCommand, can_stop_runs: bool) -> ResendDecision:
    """Decide whether a possibly lost command is sent again; call it once all missed notifications are read."""
    request = command.request
    if not request.has_unfinished_run or request.state in FINAL_STATES:
        return ResendDecision.DO_NOT_SEND
    if isinstance(command, StartRun) and _is_start_repeatable(request):
        return ResendDecision.SEND_AGAIN
    if isinstance(command, ResumeWithoutCall) and _is_blocked_at_call(request, command.call_seq):
        return ResendDecision.SEND_AGAIN
    if isinstance(command, ResumeWithReply) and can_stop_runs and _is_run_repeatable(request):
        return ResendDecision.START_OVER
    return ResendDecision.DO_NOT_SEND


def _is_start_repeatable(request: Request) -> bool:
    """Whether a start may be repeated: no notification of the run has arrived, and a second run does no harm."""
    return not request.has_notification_since_last_command and _is_idempotent(request)


def _is_blocked_at_call(request: Request, call_seq: int) -> bool:
    """Whether the run may still be blocked at this call.

    The command to continue without a call contains the number of the call's notification and has no effect on any
    other call, so it is safe to repeat.
    """
    return request.state is RequestState.DEGRADED and call_seq == request.call.seq


def _is_run_repeatable(request: Request) -> bool:
    """Whether a run whose reply may be lost can be started again.

    The reply itself must not be sent again: the run may have received it and be blocked at its next call, which would
    take it as its own reply. An idempotent run that has sent no notification since it was resumed is started again
    instead. Otherwise it would stay blocked at its call and occupy its slot until its deadline.
    """
    return (
        request.state is RequestState.RUNNING
        and not request.has_notification_since_last_command
        and _is_idempotent(request)
    )


def _is_idempotent(request: Request) -> bool:
    safety_by_class = request.generation.retry_safety_by_class
    return safety_by_class[request.received.traffic_class] is RetrySafety.IDEMPOTENT


class UnconfirmedRun(NamedTuple):
    """A run whose last command may have been lost with a link. It may not have started, or may have ended already.

    Attributes:
        stop_count: Stops since the current link was bound, without a notification of the run. At most one is counted
            per answered query.
        query_answer_count: Number of answered queries when the last of these stops was counted, or when the link was
            bound.
    """

    stop_count: int
    query_answer_count: int


class CommandDelivery:
    """Keeps track of the unconfirmed commands and runs.

    Args:
        can_stop_runs: Whether the worker pool can stop runs.
    """

    def __init__(self, can_stop_runs: bool) -> None:
        self._can_stop_runs = can_stop_runs
        self._unconfirmed = deque[RunCommand | QueryGauges](
            maxlen=MAX_UNCONFIRMED_COMMANDS
        )  # written on the current link
        self._possibly_lost: list[RunCommand] = []  # the last command of each run, written on earlier links
        self._unconfirmed_runs: dict[Request, UnconfirmedRun] = {}
        self._query_answer_count = 0
        self._catch_up_tag = ""  # of the query sent after the missed notifications; empty once they are read

    def command_written(self, command: RunCommand | QueryGauges) -> None:
        """Record that a command was written on the current link."""
        self._unconfirmed.append(command)

    @property
    def all_confirmed(self) -> bool:
        """Whether everything written on the current link is confirmed to have arrived."""
        return not self._unconfirmed

    @property
    def is_catching_up(self) -> bool:
        """Whether the notifications missed while there was no link are still being read."""
        return bool(self._catch_up_tag)

    def link_bound(self) -> None:
        """Record that the worker pool has accepted a new link; commands unconfirmed on the old link may be lost.

        Only the last command of each run is kept, since earlier ones are never sent again. Stops are not kept either,
        because admission control requests them again.
        """
        last_by_request = {
            command.request: command
            for command in [*self._possibly_lost, *self._unconfirmed]
            if not isinstance(command, QueryGauges | StopRun)
        }
        self._possibly_lost = [command for request, command in last_by_request.items() if request.has_unfinished_run]
        self._unconfirmed_runs = dict.fromkeys(
            (*self._unconfirmed_runs, *(command.request for command in self._possibly_lost)),
            UnconfirmedRun(0, self._query_answer_count),
        )
        self._unconfirmed.clear()

    def expect_catch_up(self, tag: str) -> None:
        """Treat the answer to the query with this tag as proof that all missed notifications are read."""
        self._catch_up_tag = tag

    def query_answered(self, tag: str) -> None:
        """Confirm the query with this tag and everything written before it."""
        self._query_answer_count += 1
        if not any(_is_query(command, tag) for command in self._unconfirmed):
            return
        while not _is_query(self._unconfirmed.popleft(), tag):
            pass

    def pop_commands_to_resend(self, tag: str) -> list[RunCommand]:
        """Remove the possibly lost commands once all missed notifications are read, and return those to send instead.

        Args:
            tag: Tag of the query that has just been answered.
        """
        if tag != self._catch_up_tag:
            return []
        self._catch_up_tag = ""
        possibly_lost = self._possibly_lost
        self._possibly_lost = []
        commands = list[RunCommand]()
        for command in possibly_lost:
            decision = resend_decision(command, self._can_stop_runs)
            if decision is ResendDecision.SEND_AGAIN:
                commands.append(command)
            elif decision is ResendDecision.START_OVER:
                commands.append(StopRun(command.request))
        return commands

    def run_confirmed(self, request: Request) -> None:
        """Record that a notification of this run has arrived, which settles whether the run exists."""
        self._unconfirmed_runs.pop(request, None)

    def record_stop(self, request: Request) -> bool:
        """Count a stop of this run, and return whether the earlier stops prove that the run does not exist.

        No notification ever arrives for a run whose start was lost. Without this check it would occupy its slot and
        its memory forever.
        """
        run = self._unconfirmed_runs.get(request)
        if run is None or not _has_no_waiting_client(request):
            return False
        if self._query_answer_count > run.query_answer_count:
            self._unconfirmed_runs[request] = UnconfirmedRun(run.stop_count + 1, self._query_answer_count)
        if run.stop_count < STOPS_PROVING_NO_RUN:
            return False
        del self._unconfirmed_runs[request]
        return True

    def pop_runs_to_probe(self) -> list[Request]:
        """Remove and return the unconfirmed runs for which no client waits, to send a start for each as a query.

        Each run is returned only once. This is for worker pools that cannot stop runs. By the protocol, such a start
        never begins a run: either the run is already in progress and sends a notification, or the worker pool replies
        that it is too late to start it. Either notification settles whether the run exists.
        """
        requests = [
            request
            for request in self._unconfirmed_runs
            if _has_no_waiting_client(request) and not request.has_notification_since_last_command
        ]
        for request in requests:
            del self._unconfirmed_runs[request]
        return requests


def _has_no_waiting_client(request: Request) -> bool:
    return request.is_answered or request.is_client_disconnected


def _is_query(command: RunCommand | QueryGauges, tag: str) -> bool:
    return isinstance(command, QueryGauges) and command.tag == tag
