"""Events of requests that meet an overdue timer, which is fired before the event is handled."""

from math import inf

import pytest

from nickelslip.admission.controller import AdmissionController
from nickelslip.admission.interface import Outcome, RequestState
from nickelslip.server.request_events import ClientDisconnected, RunFinished
from tests.support.request_ids import A, B
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio

CALL_PAUSE_MS = 10_000.0


def deliver_with_overdue_timer(rig, request, event):
    """Put an event into the mailbox while the timer is overdue; the timer's own task is not woken."""
    rig.server.wake_schedule.wake_at_ms = 0.0
    request.deliver(event)


async def test_a_request_withdrawn_while_an_overdue_timer_starts_it_does_not_stay_counted():
    """Guards against a slot lost for good: the withdrawal made the state final before the timer started the run."""
    async with ServerRig(cpus=1) as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A)
        await client.send_request(B, "read")
        await wait_until(lambda: int(B, 16) in rig.server.requests)
        controller = rig.server.decision_executor.controller
        controller._concurrency.limit = 3.0  # as the timer raises it while cores are idle
        deliver_with_overdue_timer(rig, rig.server.requests[int(B, 16)], ClientDisconnected())
        await wait_until(lambda: rig.pool.received_commands("spawn", B))
        await rig.pool.finish(B, end="late")
        await wait_until(lambda: list(controller._requests.by_id) == [int(A, 16)])
        assert list(rig.server.requests) == [int(A, 16)]


@pytest.mark.parametrize("event", (ClientDisconnected(), RunFinished(Outcome.CANCELLED, 5.0)))
async def test_no_call_stays_in_flight_for_a_request_that_ends_while_an_overdue_timer_permits_its_call(event):
    """Guards against a call made for a request that has ended, whose connection is never given back."""
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A, "pay")
        rig.server.decision_executor.decide(AdmissionController.limit_calls, inf, CALL_PAUSE_MS)
        await rig.pool.block(A)
        request = rig.server.requests[int(A, 16)]
        await wait_until(lambda: request.state is RequestState.AWAITING_CALL)
        controller = rig.server.decision_executor.controller
        controller._dependency_limit.next_call_at_ms = 0.0  # the pause is over
        deliver_with_overdue_timer(rig, request, event)
        await wait_until(lambda: request.state is not RequestState.AWAITING_CALL)
        assert request.state in (RequestState.ORPHANED, RequestState.FAILED)
        assert not rig.server.dependency_client._connection_by_request
        await rig.pool.finish(A, end="broken_off")
        await wait_until(lambda: not rig.server.requests and not controller._requests.by_id)
