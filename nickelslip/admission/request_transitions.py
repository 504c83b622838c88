"""The transitions of requests between states, with what is counted and given back at each."""

from __future__ import annotations

from nickelslip.admission.dependency_usage import DependencyUsage
from nickelslip.admission.interface import FINAL_STATES, RequestState, StateChange
from nickelslip.admission.record_retention import RecordRetention
from nickelslip.admission.tenant_quotas import TenantQuotas
from nickelslip.admission.tracked_request import CoreEntry, TrackedRequest, TrackedRequests

# A request that enters a final state from one of these has no active run and is removed at once. From any other state
# it becomes ORPHANED until the server reports that its run has ended.
STATES_WITHOUT_ACTIVE_RUN = (RequestState.QUEUED, RequestState.COALESCED, RequestState.PAUSED)


# Other changes of state leave the entry as it is: an orphaned run stays on the cores as it came there.
CORE_ENTRIES = {
    (RequestState.QUEUED, RequestState.RUNNING): CoreEntry.STARTED,
    (RequestState.CALL_IN_FLIGHT, RequestState.RUNNING): CoreEntry.RESUMED_WITH_REPLY,
    (RequestState.AWAITING_CALL, RequestState.DEGRADED): CoreEntry.RESUMED_WITHOUT_CALL,
    (RequestState.AWAITING_CALL, RequestState.ORPHANED): CoreEntry.ORPHANED_AT_CALL,
    (RequestState.CALL_IN_FLIGHT, RequestState.ORPHANED): CoreEntry.ORPHANED_AT_CALL,
}


class RequestTransitions:
    """Changes the states of requests. No other code does.

    Args:
        requests: All open requests.
        records: Keeps or removes the record of a request that has ended.
        usage: Counts the calls that are abandoned.
        quotas: Counts the starts of each tenant.
    """

    __slots__ = ("_requests", "_records", "_usage", "_quotas", "_changes")

    def __init__(
        self, requests: TrackedRequests, records: RecordRetention, usage: DependencyUsage, quotas: TenantQuotas
    ) -> None:
        self._requests = requests
        self._records = records
        self._usage = usage
        self._quotas = quotas
        self._changes: list[StateChange] = []

    def take_changes(self) -> list[StateChange]:
        """Return the changes that the server has to carry out, in order, since the last call."""
        changes = self._changes
        self._changes = []
        return changes

    def request_stop(self, request: TrackedRequest) -> None:
        """Tell the server to stop the run of an orphaned request."""
        self._changes.append(StateChange(request.id, RequestState.ORPHANED))

    def enter(
        self,
        now_ms: float,
        request: TrackedRequest,
        state: RequestState,
        *,
        duration_ms: float = 0.0,
        retry_elsewhere_useless: bool = False,
        notify: bool = True,
        has_run_ended: bool = False,
    ) -> None:
        """Change the state of a request.

        Args:
            now_ms: The current time.
            request: The request.
            state: The new state. If it is final but the run has not ended, the request becomes ORPHANED instead.
            duration_ms: REJECTED: the Retry-After delay; CALL_IN_FLIGHT: the timeout of the call.
            retry_elsewhere_useless: REJECTED: whether a retry on another server would not help.
            notify: Whether the server has to act on the change; False if the server reported the change itself.
            has_run_ended: Whether the server has reported that the request no longer occupies a core.
        """
        previous = request.state
        is_final = state in FINAL_STATES
        if notify:
            self._changes.append(StateChange(request.id, state, duration_ms, retry_elsewhere_useless))
        if previous is RequestState.CALL_IN_FLIGHT:
            self._usage.accumulate_until(now_ms, len(self._requests.call_in_flight))
            if is_final:
                self._usage.record_abandoned(now_ms)
        del self._requests.by_state[previous][request.id]
        if is_final and (has_run_ended or previous in STATES_WITHOUT_ACTIVE_RUN):
            self._records.request_ended(request, state)
            del self._requests.by_id[request.id]
            return
        if previous is RequestState.QUEUED and state is RequestState.RUNNING:
            self._record_start(now_ms, request)
        request.state = RequestState.ORPHANED if is_final else state
        request.core_entry = CORE_ENTRIES.get((previous, request.state), request.core_entry)
        self._requests.by_state[request.state][request.id] = request

    def _record_start(self, now_ms: float, request: TrackedRequest) -> None:
        request.started_at_ms = now_ms
        request.has_run = True
        request.statistics.record_start(now_ms)
        self._quotas.record_start(now_ms, request.tenant)
