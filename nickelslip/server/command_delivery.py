"""Which commands have arrived at the worker pool, and which may be sent again after the link was lost.

A command is unconfirmed from its writing until the worker pool answers a query that was written after it. What is
unconfirmed when a link breaks may or may not have arrived. Once the next link has brought all missed notifications,
`resend_decision` says for each such command whether it is sent again. A start that it leaves alone is sent again in
one case only: by `take_runs_to_start_again`, when nobody waits for the answer and the worker pool cannot stop runs.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import NamedTuple

from nickelslip.admission.interface import FINAL_STATES, RequestState, RetrySafety
from nickelslip.server.requests import Request
from nickelslip.server.worker_pool_protocol import (
    QueryGauges,
    ResumeWithoutCall,
    ResumeWithReply,
    RunCommand,
    StartRun,
    StopRun,
)

MAX_UNCONFIRMED_COMMANDS = 4096  # beyond that the oldest are forgotten
STOPS_PROVING_NO_RUN = 3  # stops without a notification, each written after the answer to a query


class ResendDecision(Enum):
    """What becomes of a command that may have been lost with a link."""

    SEND_AGAIN = "arriving twice does no harm"
    START_OVER = "it cannot be sent again; its run is stopped, and admission control starts it anew"
    DO_NOT_SEND = "it may have arrived, and must not arrive twice"


def resend_decision(command: RunCommand, can_stop_runs: bool) -> ResendDecision:
    """Decide, once all missed notifications were read, whether a command that may be lost is sent again."""
    request = command.request
    if not request.has_unfinished_run or request.state in FINAL_STATES:
        return ResendDecision.DO_NOT_SEND
    if isinstance(command, StartRun) and _is_start_repeatable(request):
        return ResendDecision.SEND_AGAIN
    if isinstance(command, ResumeWithoutCall) and _stands_at_call(request, command.call_seq):
        return ResendDecision.SEND_AGAIN
    if isinstance(command, ResumeWithReply) and can_stop_runs and _is_run_repeatable(request):
        return ResendDecision.START_OVER
    return ResendDecision.DO_NOT_SEND


def _is_start_repeatable(request: Request) -> bool:
    """A start may come twice where nothing was heard of the run and a second run does no harm."""
    return not request.heard_since_last_command and _is_idempotent(request)


def _stands_at_call(request: Request, call_seq: int) -> bool:
    """Permission to continue without a call names that call's notification, and has no effect at any other call."""
    return request.state is RequestState.DEGRADED and call_seq == request.call.seq


def _is_run_repeatable(request: Request) -> bool:
    """A reply must not come twice, since the run may stand at its next call by then.

    An idempotent run of which nothing was heard since is run again instead. Left alone it would stand at its call, and
    keep its slot, until its deadline.
    """
    return request.state is RequestState.RUNNING and not request.heard_since_last_command and _is_idempotent(request)


def _is_idempotent(request: Request) -> bool:
    safety_by_class = request.generation.retry_safety_by_class
    return safety_by_class[request.received.traffic_class] is RetrySafety.IDEMPOTENT


class UnconfirmedRun(NamedTuple):
    """A run that may never have started, or may be over: its last command was lost with a link.

    Attributes:
        stop_count: Stops that were asked for since without a notification of the run.
        answers_before_count: Answers to queries that had come when the last of these stops was counted.
    """

    stop_count: int
    answers_before_count: int


class CommandDelivery:
    """Keeps the unconfirmed commands and runs.

    Args:
        can_stop_runs: Whether the worker pool stops runs when told to.
    """

    def __init__(self, can_stop_runs: bool) -> None:
        self._can_stop_runs = can_stop_runs
        self._unconfirmed = deque[RunCommand | QueryGauges](
            maxlen=MAX_UNCONFIRMED_COMMANDS
        )  # written on the present link
        self._possibly_lost: list[RunCommand] = []  # written on earlier links: the last command of each run
        self._unconfirmed_runs: dict[Request, UnconfirmedRun] = {}
        self._answer_count = 0
        self._catch_up_tag = ""  # of the query behind the missed notifications; empty once they were read

    def command_written(self, command: RunCommand | QueryGauges) -> None:
        """Take note that a command was written on the present link."""
        self._unconfirmed.append(command)

    @property
    def is_all_confirmed(self) -> bool:
        """Whether all that was written on the present link has arrived."""
        return not self._unconfirmed

    @property
    def is_catching_up(self) -> bool:
        """Whether notifications that were missed while there was no link are still being read."""
        return bool(self._catch_up_tag)

    def link_bound(self) -> None:
        """Take note that a new link stands: what was unconfirmed on the old one may be lost.

        Of each run only the last command counts, since the ones before it are not to be sent again in any case. A
        stop is passed over: admission control asks for it again.
        """
        last_by_request = {
            command.request: command
            for command in [*self._possibly_lost, *self._unconfirmed]
            if not isinstance(command, QueryGauges | StopRun)
        }
        self._possibly_lost = [command for request, command in last_by_request.items() if request.has_unfinished_run]
        self._unconfirmed_runs = dict.fromkeys(
            (*self._unconfirmed_runs, *(command.request for command in self._possibly_lost)),
            UnconfirmedRun(0, self._answer_count),
        )
        self._unconfirmed.clear()

    def await_catch_up(self, tag: str) -> None:
        """Take the answer to the query with this tag as the sign that all missed notifications were read."""
        self._catch_up_tag = tag

    def query_answered(self, tag: str) -> None:
        """Confirm the query with this tag and all that was written before it."""
        self._answer_count += 1
        if not any(_is_query(command, tag) for command in self._unconfirmed):
            return
        while not _is_query(self._unconfirmed.popleft(), tag):
            pass

    def commands_to_resend(self, tag: str) -> list[RunCommand]:
        """Return what is to be sent in place of possibly lost commands, once the query to wait for was answered.

        Args:
            tag: Of the query that was answered just now.
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

    def run_observed(self, request: Request) -> None:
        """Take note that something was told of this run, so that it is confirmed."""
        self._unconfirmed_runs.pop(request, None)

    def is_absent_after_stop(self, request: Request) -> bool:
        """Count a stop of this run, and return whether it is proven by now that there is no such run.

        A run whose start was lost ends without a notification; it would keep its slot and its memory for good.
        """
        run = self._unconfirmed_runs.get(request)
        if run is None or not _is_nobody_waiting(request):
            return False
        if self._answer_count > run.answers_before_count:
            self._unconfirmed_runs[request] = UnconfirmedRun(run.stop_count + 1, self._answer_count)
        if run.stop_count < STOPS_PROVING_NO_RUN:
            return False
        del self._unconfirmed_runs[request]
        return True

    def take_runs_to_start_again(self) -> list[Request]:
        """Return, once each, the unconfirmed runs to be started again because nobody waits for them any more.

        This is for worker pools that cannot stop runs. By the protocol nothing is started then: the run goes on
        already, or the worker pool answers that it is too late for it, and so the run is confirmed or over.
        """
        requests = [
            request
            for request in self._unconfirmed_runs
            if _is_nobody_waiting(request) and not request.heard_since_last_command
        ]
        for request in requests:
            del self._unconfirmed_runs[request]
        return requests


def _is_nobody_waiting(request: Request) -> bool:
    return request.answered or request.client_gone


def _is_query(command: RunCommand | QueryGauges, tag: str) -> bool:
    return isinstance(command, QueryGauges) and command.tag == tag
