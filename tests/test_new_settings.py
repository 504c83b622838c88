"""The real server with settings that no earlier deployment used.

They have no tenants, runs that can be paused, a downstream tier of servers instead of a shared dependency, and clients
that do not mark retries.
"""

import anyio
import pytest

from nickelslip.admission.interface import Preemption
from nickelslip.server import resp
from nickelslip.startup.slow_start import SlowStartPhase
from tests.support.fake_worker_pool import CALL_BODY
from tests.support.request_ids import A, B, C
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


def rig_without_tenants(**specifics: object) -> ServerRig:
    """Return a rig with a downstream tier, no tenants and clients that do not mark retries."""
    rig = ServerRig(below="next_hop", **specifics)
    for name in ("dep-share", "calls-over-ms", "stays-for-ms"):
        del rig.platform_settings["specifics"][name]
    del rig.platform_settings["tenants"]
    rig.platform_settings["client-habits"] = {"marks-retry": False}
    rig.platform_settings["report"] = {"how": "silent", "fields": []}
    return rig


async def test_without_tenants_only_a_request_that_names_no_tenant_succeeds():
    async with rig_without_tenants() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        assert not rig.server.generation.settings.tenants and not rig.server.generation.settings.clients_mark_retries
        await rig.start_run(client, A, without="owner")
        await rig.pool.finish(A)
        assert (await client.receive_answer())[:2] == (1, "done")
        await client.send_request(B)  # its tenant is unknown
        assert (await client.receive_answer())[:2] == (2, "error")


async def test_a_run_that_can_be_paused_is_suspended_when_its_request_is_cancelled():
    async with rig_without_tenants(**{"stop-mode": "pause"}) as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        assert rig.server.generation.settings.preemption is Preemption.KEEP_PROGRESS
        tag = await rig.start_run(client, A, without="owner")
        await client.stream.send(resp.message(b"NEVERMIND", str(tag).encode()))
        await wait_until(lambda: rig.pool.received_commands("suspend", A))
        await rig.pool.finish(A, end="broken_off")
        await wait_until(lambda: not rig.server.requests)


async def test_calls_to_a_downstream_tier_are_not_limited_and_are_retried_or_skipped_on_connection_loss():
    async with rig_without_tenants(cpus=4) as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await wait_until(lambda: rig.server.slow_start.phase is SlowStartPhase.WARM)  # one call at a time before
        for request_id in (A, B, C):
            await rig.start_call(client, request_id, without="owner")
        await rig.records.reply(A, "DONE", b"reply")
        await wait_until(lambda: rig.pool.received_commands("supply", A))
        await rig.records.abort_connections()  # the class is idempotent, so a retry and a skipped call are both correct
        with anyio.fail_after(3):
            for request_id in (B, C):
                await wait_until(
                    lambda request_id=request_id: (
                        rig.pool.received_commands("pass", request_id)
                        or rig.records.received.count(("OP", request_id, CALL_BODY)) > 1
                    )
                )
