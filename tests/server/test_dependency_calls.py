"""Calls to the records service: replies, retries, cancelled calls and lost connections."""

from base64 import b64decode

import anyio
import pytest

from nickelslip.server.buffer_pool import BUFFER_BYTES
from nickelslip.server.close_reasons import CloseReason
from tests.support.fake_worker_pool import CALL_BODY
from tests.support.request_ids import A, B, C
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(("status", "body"), (("DONE", b"\r\nreply\x00"), ("DONE", b"")))
async def test_a_call_sends_its_body_and_returns_the_reply_unchanged(status, body):
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_call(client, A)
        await rig.start_call(client, B)
        await rig.records.reply(B, status, body + b"b")
        await rig.records.reply("00000000000000ff", "DONE", b"unknown request", to=A)
        await rig.records.reply(A, status, body)
        await wait_until(lambda: rig.pool.received_commands("supply", A) and rig.pool.received_commands("supply", B))
        assert b64decode(rig.pool.received_commands("supply", A)[0]["body"]) == body
        assert (
            b64decode(rig.pool.received_commands("supply", B)[0]["body"]) == body + b"b"
            and rig.records.connection_count == 2
        )
        await rig.pool.finish(A)
        assert (await client.receive_answer())[:2] == (1, "done")


@pytest.mark.parametrize(("status", "is_retried"), (("WAIT", True), ("EMPTY", True), ("ERROR", False), ("PAST", False)))
async def test_a_non_idempotent_call_is_retried_only_if_it_never_ran(status, is_retried):
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_call(client, A, "pay")
        await rig.records.reply(A, status)
        if is_retried:
            await wait_until(lambda: rig.records.received.count(("OP", A, CALL_BODY)) == 2)
        else:
            assert (await client.receive_answer())[:2] == (1, "error")
            assert rig.records.received.count(("OP", A, CALL_BODY)) == 1


async def test_a_non_idempotent_call_is_retried_after_a_refused_connection_but_not_after_a_broken_one():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_call(client, A, "pay")
        await rig.records.abort_connections()
        assert (await client.receive_answer())[:2] == (1, "error")
        await rig.pool.finish(A, end="broken_off")
        await rig.records.stop()
        await rig.start_run(client, B, "pay")
        await rig.pool.block(B)
        await anyio.sleep(0.05)
        assert rig.server.requests  # the connection is refused, and the call is retried later
        await rig.records.listen(rig._tasks, rig.records.port)
        await wait_until(lambda: ("OP", B, CALL_BODY) in rig.records.received)


async def test_a_call_on_a_closed_pooled_connection_is_sent_on_a_new_one():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_call(client, A, "pay")
        await rig.records.reply(A, "DONE", b"")
        await wait_until(lambda: rig.pool.received_commands("supply", A))
        await rig.start_run(client, B, "pay")
        # The task that reads from the connection does not notice this yet.
        rig.server.dependency_client._idle_connections[0]._stream.abort(CloseReason.RESET)
        await rig.pool.block(B)
        await wait_until(lambda: ("OP", B, CALL_BODY) in rig.records.received)
        assert rig.records.connection_count == 2 and not rig.server.requests[int(B, 16)].is_answered


async def test_a_timed_out_call_is_cancelled_so_that_no_late_reply_can_arrive():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_call(client, A, "pay", timeout=300)
        assert (await client.receive_answer())[:2] == (1, "error")
        # Closing the connection cancels the call, so no late reply can arrive.
        await wait_until(lambda: not rig.records.connections_by_request[A])
        await rig.start_run(client, B)
        assert not rig.pool.received_commands("supply", A)


async def test_cancelling_a_request_during_its_call_cancels_the_call():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_call(client, A)
        await client.send("NEVERMIND", "1")
        await wait_until(lambda: not rig.records.connections_by_request[A])
        await rig.pool.finish(A, end="broken_off")
        await wait_until(lambda: not rig.server.requests)


@pytest.mark.parametrize(
    "text",
    (
        f"{A} DONE 3\r\nlonger\r\n",
        f"{A} DONE 99999\r\n",
        f"{A} DONE x\r\n",
        f"{A} DONE\r\n",
        f"{A} MAYBE\r\n",
        "\r\n",
        "x" * (BUFFER_BYTES + 1),
    ),
)
async def test_a_malformed_reply_fails_only_its_own_call(text):
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_call(client, B, "pay")
        await rig.start_call(client, A, "pay")
        await rig.records.connections_by_request[A].send(text.encode())
        assert (await client.receive_answer())[:2] == (2, "error")
        await rig.records.reply(B, "DONE", b"")
        await wait_until(lambda: rig.pool.received_commands("supply", B))


async def test_a_pooled_connection_near_its_idle_timeout_is_not_reused():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_call(client, A)
        await rig.records.reply(A, "DONE", b"")
        await wait_until(lambda: rig.pool.received_commands("supply", A))
        await rig.start_call(client, B)
        assert rig.records.connection_count == 1
        await rig.records.reply(B, "DONE", b"")
        await wait_until(lambda: rig.pool.received_commands("supply", B))
        await anyio.sleep(0.12)
        await rig.start_call(client, C)
        assert rig.records.connection_count == 2
        await rig.records.reply(C, "DONE", b"")
        await rig.records.reply(C, "DONE", b"")  # a duplicate reply, which the next call must not receive
        await wait_until(lambda: rig.pool.received_commands("supply", C))
        await rig.pool.block(C)
        await wait_until(lambda: rig.records.received.count(("OP", C, CALL_BODY)) == 2)
        await anyio.sleep(0.02)
        assert rig.records.connection_count == 3 and len(rig.pool.received_commands("supply", C)) == 1
