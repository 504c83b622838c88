"""Numbers in notifications of the worker pool that are huge, negative or not finite: none may stop the server."""

import anyio
import pytest

from nickelslip.admission.interface import RequestState
from nickelslip.server.lifecycle import Phase
from nickelslip.server.worker_pool_notifications import MalformedNotificationError, decode_gauges
from tests.support.request_ids import A, B, C
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("took_ms", (1e308, -1e308, 86_400_000))
async def test_a_duration_that_a_run_cannot_have_had_does_not_spoil_the_estimates(took_ms):
    """Guards against estimates that become infinite: an idle server then rejects every request of the class."""
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        for request_id in (A, B):
            await rig.start_run(client, request_id)
            await rig.pool.notify("finished", request_id, end="fine", ms=took_ms, body="")
            assert (await client.receive_answer())[1] == "done"
        await client.send_request(C)
        await wait_until(lambda: rig.pool.received_commands("spawn", C))
        assert rig.server.requests[int(C, 16)].state is RequestState.RUNNING


@pytest.mark.parametrize("seq", (10**15, 10**30, 1e300))
async def test_a_sequence_number_far_ahead_is_not_recorded(seq):
    """Guards against a number after which all notifications are passed over, and which no bind command can hold."""
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A)
        await rig.pool.send_line(op="chatter", seq=seq, end="hello")
        await rig.pool.finish(A)
        assert (await client.receive_answer())[:2] == (1, "done")
        await rig.pool.abort_connections()
        await wait_until(lambda: len(rig.pool.received_binds()) == 2)
        await rig.start_run(client, B)
        await rig.pool.finish(B)
        assert (await client.receive_answer())[:2] == (2, "done") and rig.server.phase is Phase.SERVING


@pytest.mark.parametrize("seq", ("7", 7.0, True, None))
async def test_a_sequence_number_that_is_not_a_whole_number_is_not_recorded(seq):
    """Guards against notifications that are passed over because a text or a fraction was taken for a number."""
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A)
        await rig.pool.send_line(op="chatter", seq=seq, end="hello")
        await rig.pool.finish(A)
        assert (await client.receive_answer())[:2] == (1, "done") and rig.server.worker_pool.last_seq == 1


@pytest.mark.parametrize("values", (["nan", 1, 0.1, 3], [0.5, 1, 0.1, "inf"], [True, 1, 0.1, 3]))
def test_a_gauge_that_is_not_a_number_is_malformed(values):
    """Guards against NaN in the sums that the rules and the canary analysis keep."""
    with pytest.raises(MalformedNotificationError):
        decode_gauges(("cpu_busy", "runnable", "mem_used", "sockets"), values)


@pytest.mark.parametrize("age_ms", ("nan", "inf", True, None, -1e308))
async def test_a_worker_pool_whose_age_is_not_a_number_is_served_as_just_started(age_ms):
    """Guards against a link that waits forever for another `bound`, and against a start infinitely long ago."""
    async with ServerRig() as rig:
        rig.pool.age_ms = age_ms
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A)
        await rig.pool.finish(A)
        assert (await client.receive_answer())[:2] == (1, "done")
        controller = rig.server.decision_executor.controller
        assert controller is not None and 0.0 <= rig.server.clock() - controller._overload._began_at_ms < 60_000.0


async def test_a_worker_pool_that_came_up_long_ago_is_served():
    async with ServerRig() as rig:
        rig.pool.age_ms = 1e308
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_call(client, A)
        await anyio.sleep(0.3)  # past several adjustment intervals
        assert rig.server.phase is Phase.SERVING
