"""The lifecycle of one request, from its arrival to a final state.

Each event updates the request and is reported to the admission controller. The controller's decisions are executed
before the report returns.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from nickelslip.admission.interface import FINAL_STATES, Outcome, RequestState
from nickelslip.server.close_reasons import ABANDONED_CALL_OUTCOME
from nickelslip.server.request_events import (
    CallRequested,
    CallReturned,
    ClientDisconnected,
    RequestEvent,
    RunFinished,
)
from nickelslip.server.requests import Answer, Request

if TYPE_CHECKING:  # types only; importing them would slow down the startup
    from nickelslip.server.interfaces import RequestActions, RequestEventSink


async def run_request_lifecycle(actions: RequestActions, sink: RequestEventSink, request: Request) -> None:
    """Handle the events of a request until it has reached a final state.

    Args:
        actions: Starts and stops runs, makes calls and updates idempotency records.
        sink: Reports the events to the admission controller.
        request: The request, whose arrival has already been reported.
    """
    while request.state not in FINAL_STATES:
        event = await _next_event(actions, request)
        if event is not None:
            _handle_event(actions, sink, request, event)


async def _next_event(actions: RequestActions, request: Request) -> RequestEvent | None:
    """Wait for the next event, at most until the deadline of the call in flight.

    A call past its deadline is abandoned and reported as returned. None means that the state may have changed.
    """
    wait_ms = inf
    if request.state is RequestState.CALL_IN_FLIGHT:
        wait_ms = request.call_deadline_at_ms - actions.clock()
    event = await request.next_event(wait_ms)
    if event is not None or request.state is not RequestState.CALL_IN_FLIGHT:
        return event
    if actions.clock() < request.call_deadline_at_ms:
        return None
    actions.dependency_client.abandon_call(request)
    return CallReturned(ABANDONED_CALL_OUTCOME)


def _handle_event(actions: RequestActions, sink: RequestEventSink, request: Request, event: RequestEvent) -> None:
    """Handle one event, unless an overdue timer, which is fired first, has ended the request."""
    sink.fire_overdue_timer()
    if request.state in FINAL_STATES:
        return
    match event:
        case CallRequested():
            _handle_call_requested(sink, request, event)
        case CallReturned():
            _handle_call_returned(actions, sink, request, event)
        case RunFinished():
            _handle_run_finished(actions, sink, request, event)
        case ClientDisconnected():
            _handle_client_disconnected(actions, sink, request)


def _handle_call_requested(sink: RequestEventSink, request: Request, event: CallRequested) -> None:
    """Record the call that the run requests, and ask the admission controller for permission to make it."""
    request.has_notification_since_last_command = True
    request.call = event
    if request.state in (RequestState.RUNNING, RequestState.DEGRADED):
        request.enter(RequestState.AWAITING_CALL)
    sink.call_requested(request)


def _handle_call_returned(
    actions: RequestActions, sink: RequestEventSink, request: Request, event: CallReturned
) -> None:
    """Resume the run with the reply; after any other outcome the run keeps waiting for the call.

    The end of a call that is no longer in flight is ignored.
    """
    if request.state is not RequestState.CALL_IN_FLIGHT:
        return
    if event.outcome is Outcome.OK:
        request.enter(RequestState.RUNNING)
        actions.worker_pool.resume_with_reply(request, event.body)
    else:
        request.enter(RequestState.AWAITING_CALL)
    sink.call_returned(request, event.outcome, actions.clock() - request.call_started_at_ms)


def _handle_run_finished(actions: RequestActions, sink: RequestEventSink, request: Request, event: RunFinished) -> None:
    """Report the end of the run and answer with its result; the request of a stopped run is queued again."""
    if request.state is RequestState.CALL_IN_FLIGHT:
        actions.dependency_client.abandon_call(request)
    took_ms = _possible_run_ms(actions, request, event)
    request.has_unfinished_run = False
    if event.outcome.proves_not_executed:
        request.may_have_run = False
    if event.outcome is Outcome.CANCELLED and request.state in (RequestState.RUNNING, RequestState.DEGRADED):
        request.enter(RequestState.QUEUED)
        sink.run_ended(request, event.outcome, took_ms)
        return
    sink.run_ended(request, event.outcome, took_ms)
    final_state = RequestState.COMPLETED if event.outcome is Outcome.OK else RequestState.FAILED
    request.answer(Answer(final_state, actions.advertised_weight, event.body))
    request.enter(final_state)
    actions.idempotency_table.finish(request, event.outcome, event.body)


def _possible_run_ms(actions: RequestActions, request: Request, event: RunFinished) -> float:
    """Return the duration that the worker pool reports, but at most the time since the run was started."""
    if not request.has_unfinished_run:  # coalesced: this server has measured the time
        return event.took_ms
    return max(0.0, min(event.took_ms, actions.clock() - request.run_started_at_ms))


def _handle_client_disconnected(actions: RequestActions, sink: RequestEventSink, request: Request) -> None:
    """Cancel the request, unless it is orphaned or in a final state."""
    if request.state is RequestState.ORPHANED or request.state in FINAL_STATES:
        return
    if request.state is RequestState.CALL_IN_FLIGHT:
        actions.dependency_client.abandon_call(request)
    request.is_client_disconnected = True
    request.enter(RequestState.CANCELLED)
    if request.on_finished is not None and not request.is_answered:
        request.on_finished(request, RequestState.CANCELLED)
    sink.client_disconnected(request)
