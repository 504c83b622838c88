"""Settings that no earlier deployment had, in the real server.

No tenants, runs that can be paused, a tier of servers below in place of a shared dependency, and no marks on retries.
"""

import anyio
import pytest

from nickelslip.admission.interface import Preemption
from nickelslip.server import resp
from tests.support.fake_worker_pool import CALL_BODY
from tests.support.request_ids import A, B, C
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


def new_operator(**facts: object) -> ServerRig:
    """Build a rig with the settings of operators without tenants."""
    rig = ServerRig(below="next_hop", **facts)
    for name in ("dep-share", "calls-over-ms", "stays-for-ms"):
        del rig.platform_settings["specifics"][name]
    del rig.platform_settings["tenants"]
    rig.platform_settings["client-habits"] = {"marks-retry": False}
    rig.platform_settings["report"] = {"how": "silent", "fields": []}
    return rig


async def test_without_tenants_a_request_names_none_and_is_served():
    async with new_operator() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        assert not rig.server.generation.settings.tenants and not rig.server.generation.settings.clients_mark_retries
        await rig.start_run(client, A, without="owner")
        await rig.pool.finish(A)
        assert (await client.receive_answer())[:2] == (1, "done")
        await client.send_request(B)  # for an unknown tenant
        assert (await client.receive_answer())[:2] == (2, "error")


async def test_a_run_that_can_be_paused_is_stopped_once_its_client_has_disconnected():
    async with new_operator(**{"stop-mode": "pause"}) as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        assert rig.server.generation.settings.preemption is Preemption.KEEP_PROGRESS
        tag = await rig.start_run(client, A, without="owner")
        await client.stream.send(resp.message(b"NEVERMIND", str(tag).encode()))
        await wait_until(lambda: rig.pool.received_commands("suspend", A))
        await rig.pool.finish(A, end="broken_off")
        await wait_until(lambda: not rig.server.requests)


async def test_calls_to_a_downstream_tier_are_not_limited_and_a_broken_one_is_retried_or_skipped():
    async with new_operator(cpus=4) as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        for request_id in (A, B, C):
            await rig.start_call(client, request_id, without="owner")
        await rig.records.reply(A, "DONE", b"reply")
        await wait_until(lambda: rig.pool.received_commands("supply", A))
        await rig.records.abort_connections()  # replayable: either is right
        with anyio.fail_after(3):
            for request_id in (B, C):
                await wait_until(
                    lambda request_id=request_id: (
                        rig.pool.received_commands("pass", request_id)
                        or rig.records.received.count(("OP", request_id, CALL_BODY)) > 1
                    )
                )
