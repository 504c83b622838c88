"""Errors inside the server: which parts of it they stop, and that all received requests are still answered."""

import anyio
import pytest

from nickelslip.admission.controller import AdmissionController
from nickelslip.server import tagged_requests
from nickelslip.server.lifecycle import Phase
from tests.support.request_ids import A, B, C
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("method", ("request_received", "timer_fired", "run_ended", "drain"))
async def test_a_controller_error_fails_the_server_and_all_requests_are_answered(method, monkeypatch):
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A)

        def raise_error(self, *values):
            raise RuntimeError("injected error")

        monkeypatch.setattr(AdmissionController, method, raise_error)
        if method == "request_received":
            await client.send_request(B)
        elif method == "run_ended":
            await rig.pool.finish(A)
        elif method == "drain":
            rig.server.begin_shutdown()
        statuses = {(await client.receive_answer())[1]}
        if method == "request_received":
            statuses.add((await client.receive_answer())[1])
        assert statuses == {"error"} and rig.server.phase is Phase.FAILED
        await client.send("STATUS", "91", "")
        with anyio.move_on_after(1):
            while (await client.receive_answer())[0] != 0:
                pass
        await client.stream.aclose()
        await wait_until(lambda: rig.exited_cleanly is False)


async def test_an_error_on_a_connection_closes_only_that_connection_after_answering_its_requests(monkeypatch):
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        client, other = await rig.connect_client(), await rig.connect_client()
        await rig.start_run(client, A)
        await rig.start_run(other, B)
        monkeypatch.setattr(tagged_requests, "decode_request", lambda *values: 1 / 0)
        await client.send_request(C)
        assert (await client.receive_answer())[:2] == (2, "error")
        for request_id, each in ((A, client), (B, other)):
            await rig.pool.finish(request_id)
            assert (await each.receive_answer())[:2] == (1, "done")
        assert await client.is_closed_by_server() and rig.server.phase is Phase.SERVING


async def test_an_error_in_a_request_lifecycle_fails_the_server(monkeypatch):
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A)
        await rig.start_run(client, B)
        monkeypatch.setattr(rig.server.idempotency_table, "finish", lambda *values: 1 / 0)
        await rig.pool.finish(A)
        assert sorted([(await client.receive_answer())[:2], (await client.receive_answer())[:2]]) == [
            (1, "done"),
            (2, "error"),
        ]
        await client.stream.aclose()
        await wait_until(lambda: rig.exited_cleanly is False)
