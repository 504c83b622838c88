"""Malformed, duplicate, late and misaddressed messages from the worker pool and the records service.

Each may fail only its own request, and that request still ends exactly once.
"""

import os
import socket
from base64 import b64encode
from contextlib import suppress

import anyio
import pytest

from nickelslip.admission.interface import Outcome
from nickelslip.server import connector, requests
from nickelslip.server.buffer_pool import BUFFER_BYTES
from nickelslip.server.records_connection import PooledConnection
from nickelslip.server.request_events import CallReturned, RunFinished
from tests.support.fake_worker_pool import CALL_BODY
from tests.support.request_ids import A, B
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


# Messages from the worker pool


VALID_BODY = b64encode(b"result").decode()


@pytest.mark.parametrize(
    "malformed_fields",
    (
        {"end": "fine", "ms": 20.0, "body": "=" + VALID_BODY},
        {"end": "fine", "ms": 20.0, "body": VALID_BODY[:-1] + "\\u00e9"},
        {"end": "fine", "ms": 20.0, "body": VALID_BODY[:4] + " " + VALID_BODY[4:]},
        {"end": "fine", "ms": 20.0, "body": 7},
        {"end": "splendid", "ms": 20.0, "body": VALID_BODY},
        {"end": ["fine"], "ms": 20.0},
        {"end": "fine", "body": VALID_BODY},
        {"end": "fine", "ms": "long", "body": VALID_BODY},
        {"end": "fine", "ms": 20.0, "body": VALID_BODY * BUFFER_BYTES},
    ),
)
async def test_a_run_with_a_malformed_result_ends(malformed_fields):
    async with ServerRig(cpus=1) as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A, "pay")
        await rig.pool.notify("finished", A, **malformed_fields)
        assert (await client.receive_answer())[1::2] == ("error", b"")  # no result is made up
        await wait_until(lambda: not rig.server.requests)
        await rig.start_run(client, B, "pay")  # the only slot is free again
        await rig.pool.finish(B)
        assert (await client.receive_answer())[1::2] == ("done", b"result") and rig.pool.connection_count == 1


async def test_a_line_that_is_not_json_still_ends_the_run_that_it_names():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A, "pay")
        rig.pool.seq += 1
        await rig.pool.stream.send(b'{"op":"finished","seq":1,"id":"%b","end":"fine",\x00\n' % A.encode())
        assert (await client.receive_answer())[1] == "error"
        await wait_until(lambda: not rig.server.requests)


async def test_a_malformed_call_is_never_made_and_its_run_ends_at_its_deadline():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A, "pay", timeout=300)
        await rig.pool.notify("blocked", A, body="!!!")
        assert (await client.receive_answer())[1] == "error"
        assert not rig.records.received and not rig.pool.received_commands("supply", A)


async def test_a_full_mailbox_still_accepts_the_end_of_a_run(monkeypatch):
    monkeypatch.setattr(requests, "MAILBOX_CAPACITY", 2)
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A, "pay")
        (request,) = rig.server.requests.values()
        for _ in range(5):  # all within one event loop step
            request.deliver(CallReturned(Outcome.ERROR))
        request.deliver(RunFinished(Outcome.OK, 20.0, b"result"))
        assert (await client.receive_answer())[1::2] == ("done", b"result")
        await wait_until(lambda: not rig.server.requests)


# Replies from the records service


@pytest.mark.parametrize(
    "reply", (b"DONE 3\r\nabc\r\n", b"DONE 3\r\nabcdef\r\n", b"ERROR\r\n", b"WAIT\r\n", b"nonsense\r\n")
)
@pytest.mark.parametrize("order", ("before", "after"))
async def test_a_reply_that_races_the_cancellation_of_its_call_is_ignored(reply, order):
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_call(client, A, "pay")
        (request,) = rig.server.requests.values()
        call_fd = rig.records.connections_by_request[A].extra(anyio.abc.SocketAttribute.raw_socket).fileno()
        reply_line = A.encode() + b" " + reply
        if order == "before":
            os.write(call_fd, reply_line)  # in the kernel's receive buffer, not yet read by the server
        rig.server.dependency_client.abandon_call(request)
        request.deliver(CallReturned(Outcome.TIMEOUT))
        if order == "after":
            with suppress(OSError):
                os.write(call_fd, reply_line)
        assert (await client.receive_answer())[1] == "error"  # the abandoned call may have run, so it is not repeated
        assert len(rig.records.received) == 1 and not rig.pool.received_commands("supply", A)
        await rig.start_call(client, B, "pay")  # the late reply is not delivered to another request
        await rig.records.reply(B, "DONE", b"B's own")
        await wait_until(lambda: rig.pool.received_commands("supply", B))
        assert rig.pool.received_commands("supply", B)[0]["body"] == b64encode(b"B's own").decode()


async def test_an_error_in_one_call_fails_that_call_alone(monkeypatch):
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_call(client, A, "pay")
        await rig.start_call(client, B, "read")
        with monkeypatch.context() as patches:
            patches.setattr(PooledConnection, "_handle_replies", lambda *values: 1 / 0)
            await rig.records.reply(A, "DONE", b"reply")
            assert (await client.receive_answer())[1] == "error"  # the call may have run
        await rig.records.reply(B, "DONE", b"reply")
        await wait_until(lambda: rig.pool.received_commands("supply", B))
        await rig.pool.finish(B)
        assert (await client.receive_answer())[1] == "done" and rig.exited_cleanly is None


async def test_a_call_cancelled_while_connecting_frees_its_descriptor_at_once(monkeypatch):
    with socket.socket() as full_listener:  # its accept queue is full, so further connects wait
        full_listener.bind(("127.0.0.1", 0))
        full_listener.listen(0)
        queued = [socket.socket() for _ in range(3)]
        for each in queued:
            each.setblocking(False)
            each.connect_ex(full_listener.getsockname())
        monkeypatch.setattr(connector, "CONNECT_TIMEOUT_S", 30.0)
        async with ServerRig(cpus=32, **{"memory-kb": 1e6, "dep-share": 64.0}) as rig:
            rig.config["records"] = f"127.0.0.1:{full_listener.getsockname()[1]}"
            rig.reload_settings()
            client = await (await rig.wait_until_serving()).connect_client()
            request_ids = [f"{number:016x}" for number in range(1, 21)]
            for request_id in request_ids:
                await rig.start_run(client, request_id, "pay", timeout=400)
                await rig.pool.block(request_id)
            await wait_until(lambda: len(rig.server.dependency_client._open_connections) == 20)
            for _ in request_ids:
                assert (await client.receive_answer())[1] == "error"
            await wait_until(lambda: not rig.server.dependency_client._open_connections, 0.5)
        for each in queued:
            each.close()


async def test_a_call_over_the_descriptor_share_is_not_sent_before_a_descriptor_is_free():
    async with ServerRig(cpus=32, **{"memory-kb": 1e6, "dep-share": 64.0}) as rig:
        await rig.wait_until_serving()
        rig.set_descriptor_shares(calls=2)
        client = await rig.connect_client()
        for request_id in (A, B):
            await rig.start_call(client, request_id, "pay")
        third = "00000000000000c3"
        await rig.start_run(client, third, "pay")
        await rig.pool.block(third)
        await wait_until(lambda: rig.server.requests[int(third, 16)].call.seq)
        assert not [call for call in rig.records.received if call[1] == third]
        await rig.records.reply(A, "DONE", b"reply")
        # The call is sent as soon as a descriptor is free.
        await wait_until(lambda: ("OP", third, CALL_BODY) in rig.records.received)
        assert rig.records.connection_count <= 3
