"""Connections from load balancers: when they are closed, and which requests are answered first."""

import asyncio
import errno
import socket
from contextlib import ExitStack, suppress

import anyio
import pytest

from nickelslip.server import load_balancer_connection, resp
from nickelslip.server.close_reasons import CloseReason
from tests.support.failing_listener import FailingListener
from tests.support.request_ids import A, B, C
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio

FLOOD_TIMEOUT_S = 30.0


@pytest.mark.parametrize(
    "text",
    (
        b"GET / HTTP/1.1\r\n\r\n",
        b"*2\r\n$6\r\nSTATUS\r\n$1\r\n0\r\n",
        b"*2\r\n$6\r\nSTATUS\r\n$2\r\n-1\r\n",
        b"*1\r\n$6\r\nSTATUS\r\n",
        resp.message(b"STATUS", b"1"),
        b"*1\r\n$20000\r\n",
    ),
)
async def test_malformed_input_closes_only_its_connection_after_answering_its_requests(text):
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        client, other = await rig.connect_client(), await rig.connect_client()
        await rig.start_run(client, A)
        await rig.start_run(other, B)
        await client.stream.send(text)  # one of the inputs reuses the tag of an open request
        await rig.pool.finish(A)
        assert (await client.receive_answer())[:2] == (1, "done") and await client.is_closed_by_server()
        await rig.pool.finish(B)
        assert (await other.receive_answer())[:2] == (1, "done")


async def test_a_connection_closed_with_unread_input_is_not_reset_before_its_answers_arrive():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A)
        await client.stream.send(b"nonsense\r\n" * 20_000)  # more than the server reads before it closes the connection
        await rig.pool.finish(A)
        assert (await client.receive_answer())[:2] == (1, "done")
        with pytest.raises(anyio.EndOfStream):  # a reset would raise BrokenResourceError
            await client.stream.receive()


async def test_idle_connections_are_asked_to_close_and_a_request_sent_meanwhile_is_answered():
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        idle, busy = await rig.connect_client(), await rig.connect_client()
        await rig.start_run(busy, A)
        rig.server.advertised.idle_connection_timeout_ms = 50.0
        assert await idle.receive_answer() == (0, "closing", {}, b"")
        await rig.start_run(idle, B)
        await rig.pool.finish(B)
        assert (await idle.receive_answer())[:2] == (1, "done")
        await rig.pool.finish(A)
        assert (await busy.receive_answer())[:2] == (1, "done")


async def test_the_listener_survives_running_out_of_file_descriptors():
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        listener = rig.server.listeners[0]._listener = FailingListener(
            rig.listener, errno.EMFILE, errno.ENFILE, errno.EMFILE
        )
        client = await rig.connect_client()
        await client.send("STATUS", "1", "")
        assert (await client.receive_answer())[1] == "healthy" and listener.accept_count >= 4


async def test_silent_connections_are_shed_before_idle_ones_and_those_with_open_requests_never():
    async with ServerRig(cpus=32) as rig:
        await rig.wait_until_serving()
        rig.set_descriptor_shares(load_balancers=3)
        busy, silent, idle = [await rig.connect_client() for _ in range(3)]
        await rig.start_run(busy, A)
        await idle.send("STATUS", "1", "")
        assert (await idle.receive_answer())[1] == "healthy"
        others = []
        for shed, request_id in ((silent, B), (idle, C)):
            others.append(await rig.connect_client())
            await rig.start_run(others[-1], request_id)
            assert await shed.is_closed_by_server()
        with pytest.raises(
            (anyio.EndOfStream, anyio.BrokenResourceError, OSError)
        ):  # all connections have open requests
            rejected = await rig.connect_client()
            await rejected.send("STATUS", "1", "")
            await rejected.receive_answer()
        await rig.pool.finish(A)
        assert (await busy.receive_answer())[:2] == (1, "done")


async def flood_until_closed(client: socket.socket, flood: bytes) -> None:
    """Send without reading until the server resets the connection."""
    while True:
        try:
            client.send(flood)
        except BlockingIOError:
            await anyio.sleep(0.005)
        except ConnectionError:
            return


async def test_a_client_that_does_not_read_its_answers_is_closed_without_blocking_other_clients():
    # The server answers some megabytes before the kernel takes no more, which takes seconds on a busy machine.
    async with ServerRig(cpus=32) as rig:
        await rig.wait_until_serving()
        vars(rig.server.generation)["longest_timeout_ms"] = 300.0  # also limits how long answers may remain unread
        with socket.socket() as non_reading_client:
            non_reading_client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            non_reading_client.connect(("127.0.0.1", rig.port))
            non_reading_client.setblocking(False)
            await wait_until(lambda: rig.server.listeners[0].table.connections)
            stream = next(iter(rig.server.listeners[0].table.connections)).stream
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(flood_until_closed, non_reading_client, resp.message(b"STATUS", b"1") * 200)
                await wait_until(lambda: not stream.all_sent, FLOOD_TIMEOUT_S)
                other = await rig.connect_client()
                await other.send("STATUS", "1", "")
                assert (await other.receive_answer())[1] == "healthy"
                await wait_until(lambda: stream.close_reason is CloseReason.STALLED)
            await wait_until(lambda: len(rig.server.listeners[0].table.connections) == 1)
        assert rig.server.buffers._unallocated_count > 900


async def test_a_flood_of_silent_connections_does_not_displace_one_that_has_sent_a_message():
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        rig.set_descriptor_shares(load_balancers=20)
        with ExitStack() as flood:  # all connections are in the backlog before the server accepts any
            client = flood.enter_context(socket.create_connection(("127.0.0.1", rig.port)))
            client.sendall(resp.message(b"STATUS", b"1"))
            for _ in range(100):
                flood.enter_context(socket.create_connection(("127.0.0.1", rig.port)))
            client.setblocking(False)
            with anyio.fail_after(3):
                assert b"healthy" in await asyncio.get_running_loop().sock_recv(client, 100)


@pytest.mark.parametrize("partial_input", (b"", b"*2\r\n$6\r\nSTA", resp.message(b"STATUS", b"1") + b"*2\r\n"))
async def test_the_first_message_and_the_rest_of_a_partial_one_have_a_timeout(partial_input, monkeypatch):
    monkeypatch.setattr(load_balancer_connection, "FIRST_BYTE_TIMEOUT_MS", 150.0)
    monkeypatch.setattr(load_balancer_connection, "MESSAGE_TIMEOUT_MS", 75.0)
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        vars(rig.server.generation)["longest_timeout_ms"] = 150.0  # the longest time that any client waits
        client, idle = await rig.connect_client(), await rig.connect_client()
        await idle.send("STATUS", "1", "")
        await client.stream.send(partial_input)
        with anyio.move_on_after(0.1):  # single bytes do not complete the partial word
            while partial_input:
                await anyio.sleep(0.02)
                await client.stream.send(b"x" if partial_input.endswith(b"A") else b"")
        with suppress(anyio.EndOfStream):
            await client.receive_answer()
            assert await client.is_closed_by_server()
        await anyio.sleep(0.1)
        assert (await idle.receive_answer())[1] == "healthy"  # a connection that has sent a message may stay open
        await idle.send("STATUS", "2", "")
        assert (await idle.receive_answer())[1] == "healthy"
