"""Races between the server closing a connection and input arriving on it, in both orders."""

import errno
from math import inf

import anyio
import pytest

from nickelslip.server import load_balancer_connection, resp
from nickelslip.server.close_reasons import CloseReason, ConnectionClosedError
from nickelslip.server.streams import Stream
from tests.support.failing_listener import FailingListener
from tests.support.load_balancer_client import RawClient, encode_request
from tests.support.request_ids import A, B
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio
STATUS = resp.message(b"STATUS", b"1")


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


def set_idle_for(rig: ServerRig, peer: RawClient, idle_ms: float) -> None:
    """Move the last use of the client's connection back by `idle_ms`."""
    rig.connection_of(peer).last_used_at_ms -= idle_ms


async def connect_idle_client(rig: ServerRig) -> RawClient:
    """Connect a client that has sent a health check, has not read the answer, and is idle."""
    peer = RawClient(rig.port)
    peer.send(STATUS)
    await wait_until(
        lambda: (
            (connection := rig.connection_of(peer)) is not None
            and connection.has_sent_valid_message
            and connection.is_idle
        )
    )
    return peer


# Requests that race the closing of an idle connection


async def test_a_request_just_before_its_idle_connection_is_closed_is_answered():
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        listener, peer = rig.server.listeners[0], await connect_idle_client(rig)
        set_idle_for(rig, peer, 1000.0)
        # Requests a close; the client keeps the connection open, as some clients do.
        listener.close_idle(500.0)
        set_idle_for(rig, peer, 1000.0 + rig.server.generation.longest_timeout_ms)
        peer.send(encode_request(A))  # in the kernel's receive buffer, not yet read by the server
        listener.close_idle(500.0)
        await wait_until(lambda: rig.pool.received_commands("spawn", A))
        await rig.pool.finish(A)
        assert b"healthy" in (got := await peer.receive_until(b"result")) and got.count(b"done") == 1


async def test_a_request_just_after_its_idle_connection_was_closed_does_not_lose_an_answer():
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        listener, peer = rig.server.listeners[0], await connect_idle_client(rig)
        set_idle_for(rig, peer, 1000.0)
        listener.close_idle(500.0)
        set_idle_for(rig, peer, 1000.0 + rig.server.generation.longest_timeout_ms)
        listener.close_idle(500.0)
        peer.send(encode_request(A))  # the server's FIN has been sent but not read
        got = await peer.receive_to_end()  # no reset, which would discard the first answer
        assert b"healthy" in got and b"closing" in got and not rig.pool.received_commands("spawn", A)
        await wait_until(lambda: not listener.table.connections)


async def test_a_connection_with_unread_input_is_not_shed():
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        rig.set_descriptor_shares(load_balancers=2)
        oldest, other = await connect_idle_client(rig), await connect_idle_client(rig)
        set_idle_for(rig, oldest, 1000.0)  # least recently used
        oldest.send(encode_request(A))
        new_client = RawClient(rig.port)
        rig.server.listeners[0]._accept()
        await wait_until(lambda: rig.pool.received_commands("spawn", A))
        await rig.pool.finish(A)
        assert b"result" in await oldest.receive_until(b"result")
        other.send(encode_request(B))  # crosses the close
        assert b"healthy" in await other.receive_to_end() and not rig.pool.received_commands("spawn", B)
        new_client.send(STATUS)
        assert b"healthy" in await new_client.receive_until(b"healthy")


async def test_a_connection_over_the_limit_is_closed_without_a_reset():
    async with ServerRig(cpus=32) as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        rig.set_descriptor_shares(load_balancers=1)
        await rig.start_run(client, A)
        excess = RawClient(rig.port)
        excess.send(encode_request(B))
        rig.server.listeners[0]._accept()
        assert await excess.receive_to_end() == b"" and not rig.pool.received_commands("spawn", B)
        await rig.pool.finish(A)
        assert (await client.receive_answer())[:2] == (1, "done")


@pytest.mark.parametrize("order", ("before", "after"))
async def test_a_first_request_that_crosses_the_first_byte_timeout_is_answered_or_closed_without_a_reset(
    order, monkeypatch
):
    monkeypatch.setattr(load_balancer_connection, "FIRST_BYTE_TIMEOUT_MS", 100.0)
    peers = []
    fill = Stream.fill

    async def fill_and_send_after_timeout(self, wait_ms=inf):
        try:
            await fill(self, wait_ms)
        except ConnectionClosedError as closed:
            if closed.reason is CloseReason.UNRESPONSIVE and peers:
                # After the last read found nothing, and before the server closes the connection.
                peers.pop().send(encode_request(A))
            raise

    async with ServerRig() as rig:
        await rig.wait_until_serving()
        if order == "after":
            monkeypatch.setattr(Stream, "fill", fill_and_send_after_timeout)
        peer = RawClient(rig.port)
        peers.append(peer)
        if order == "after":
            assert await peer.receive_to_end() == b"" and not rig.pool.received_commands("spawn", A)
        else:
            await wait_until(lambda: rig.server.listeners[0].table.connections)
            with anyio.move_on_after(0.05):
                await anyio.sleep(1)
            peer.send(encode_request(A))
            await wait_until(lambda: rig.pool.received_commands("spawn", A))
            await rig.pool.finish(A)
            assert b"result" in await peer.receive_until(b"result")


async def test_a_partial_message_keeps_its_connection_until_it_is_complete():
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        listener, peer, message = rig.server.listeners[0], await connect_idle_client(rig), encode_request(A)
        peer.send(message[:20])
        await wait_until(lambda: any(each.stream.data is not None for each in listener.table.connections))
        set_idle_for(rig, peer, 1e6)
        listener.close_idle(500.0)
        listener.close_idle(500.0)
        assert not listener.table.shed_idle_connection()
        peer.send(message[20:])
        await wait_until(lambda: rig.pool.received_commands("spawn", A))
        await rig.pool.finish(A)
        assert b"result" in await peer.receive_until(b"result")


async def test_an_unsent_answer_keeps_its_connection():
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        listener, peer = rig.server.listeners[0], await connect_idle_client(rig)
        (connection,) = listener.table.connections
        connection.stream._backlog.append(memoryview(b"rest of an answer"))
        set_idle_for(rig, peer, 1e6)
        listener.close_idle(500.0)
        listener.close_idle(500.0)
        # Has no effect even at shutdown: the answer is still sent as far as possible.
        connection.begin_close(CloseReason.SHUTDOWN)
        assert not listener.table.shed_idle_connection() and connection.close_began_at_ms is None


# Lingering connections


async def test_lingering_connections_free_their_descriptors_only_when_no_message_can_cross_the_close():
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        rig.set_descriptor_shares(load_balancers=1, lingering=1)
        listener, first = rig.server.listeners[0], await connect_idle_client(rig)
        second, third = await connect_client_shedding(rig, first), RawClient(rig.port)
        third.send(STATUS)
        listener._accept()
        # The third is not accepted yet.
        assert rig.connection_of(first).close_began_at_ms and rig.connection_of(third) is None
        second.send(STATUS)
        assert b"healthy" in await second.receive_until(b"healthy")
        assert b"healthy" in await third.receive_until(b"healthy") and b"healthy" in await first.receive_to_end()


async def connect_client_shedding(rig: ServerRig, other: RawClient) -> RawClient:
    """Connect a client that is accepted immediately, and for which the other client's connection is shed."""
    peer = RawClient(rig.port)
    rig.server.listeners[0]._accept()
    assert rig.connection_of(peer) and rig.connection_of(other).close_began_at_ms
    return peer


async def test_silent_connections_are_shed_for_active_ones_regardless_of_how_many_linger():
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        rig.set_descriptor_shares(load_balancers=8, lingering=2)
        silent = [RawClient(rig.port) for _ in range(40)]
        last = RawClient(rig.port)
        last.send(encode_request(A))
        await wait_until(lambda: rig.pool.received_commands("spawn", A), 1.0)
        assert len(rig.server.listeners[0].table.connections) <= 10
        await rig.pool.finish(A)
        assert b"result" in await last.receive_until(b"result")
        for each in silent[:30]:
            assert await each.receive_to_end() == b""


async def test_timed_out_connections_that_linger_do_not_count_towards_the_limit(monkeypatch):
    monkeypatch.setattr(load_balancer_connection, "FIRST_BYTE_TIMEOUT_MS", 50.0)
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        rig.set_descriptor_shares(load_balancers=10, lingering=10)
        listener, idle = rig.server.listeners[0], await connect_idle_client(rig)
        silent = [RawClient(rig.port) for _ in range(9)]  # more than MAX_SILENT_CANDIDATES
        # The server has ended its direction; the clients keep their connections open.
        await wait_until(lambda: len(listener.table.lingering) == 9)
        active = RawClient(rig.port)
        active.send(encode_request(A))
        await wait_until(lambda: rig.pool.received_commands("spawn", A), 1.0)
        assert rig.connection_of(idle).close_began_at_ms is None  # it has sent a valid message and is not shed
        await rig.pool.finish(A)
        assert b"result" in await active.receive_until(b"result") and all(each.sock.recv(1) == b"" for each in silent)


@pytest.mark.parametrize("code", (errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH, errno.EINVAL))
async def test_a_connection_that_failed_before_accept_does_not_affect_others(code):
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        failing = rig.server.listeners[0]._listener = FailingListener(rig.listener, code)
        peer = RawClient(rig.port)
        peer.send(STATUS)
        assert b"healthy" in await peer.receive_until(b"healthy") and failing.accept_count >= 2
        assert rig.exited_cleanly is None  # the server is still running
