"""Execution of the admission controller's state changes.

All commands and answers that a change requires are written before `execute_state_change` returns.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from nickelslip.admission.interface import RequestState, StateChange
from nickelslip.server.requests import Answer, Request

if TYPE_CHECKING:  # types only; importing them would slow down the startup
    from nickelslip.server.interfaces import RequestActions


def execute_state_change(actions: RequestActions, request: Request, change: StateChange) -> None:
    """Execute one state change, and wake the lifecycle task of the request."""
    match change.state:
        case RequestState.RUNNING:
            _start_run(actions, request)
        case RequestState.QUEUED | RequestState.PAUSED | RequestState.ORPHANED:
            _stop_run(actions, request)
        case RequestState.CALL_IN_FLIGHT:
            _start_call(actions, request, change.duration_ms)
        case RequestState.DEGRADED:
            _continue_without_call(actions, request)
        case RequestState.COALESCED:
            _coalesce(actions, request)
        case RequestState.REJECTED | RequestState.FAILED:
            _reject_or_fail(actions, request, change)
    request.wake()


def _start_run(actions: RequestActions, request: Request) -> None:
    request.has_unfinished_run = True
    request.may_have_run = True
    request.run_started_at_ms = actions.clock()
    request.has_notification_since_last_command = False
    request.enter(RequestState.RUNNING)
    actions.worker_pool.start(request)


def _stop_run(actions: RequestActions, request: Request) -> None:
    """Ask the worker pool to stop the run; the state changes once the worker pool reports the end of the run."""
    if request.has_unfinished_run:
        actions.worker_pool.stop(request)


def _start_call(actions: RequestActions, request: Request, timeout_ms: float) -> None:
    request.enter(RequestState.CALL_IN_FLIGHT)
    request.call_started_at_ms = actions.clock()
    request.call_deadline_at_ms = actions.clock() + timeout_ms
    actions.dependency_client.call(request, timeout_ms)


def _continue_without_call(actions: RequestActions, request: Request) -> None:
    request.enter(RequestState.DEGRADED)
    actions.worker_pool.resume_without_call(request)


def _coalesce(actions: RequestActions, request: Request) -> None:
    request.enter(RequestState.COALESCED)
    request.coalesced_at_ms = actions.clock()
    actions.idempotency_table.coalesce(request)


def _reject_or_fail(actions: RequestActions, request: Request, change: StateChange) -> None:
    """Answer a rejected or failed request, and abandon its call in flight."""
    if request.state is RequestState.CALL_IN_FLIGHT:
        actions.dependency_client.abandon_call(request)
    request.answer(
        Answer(
            change.state,
            actions.advertised_weight,
            retry_after_ms=change.duration_ms,
            retry_elsewhere_useless=change.retry_elsewhere_useless,
        )
    )
    request.enter(change.state)
