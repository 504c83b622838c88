"""Connections that the server closes just as something arrives on them, in each of the two orders."""

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


def set_idle_for(rig: ServerRig, peer: RawClient, ago_ms: float) -> None:
    """Have the client's connection be one that was last used so long ago."""
    rig.connection_of(peer).last_used_at_ms -= ago_ms


async def connect_idle_client(rig: ServerRig) -> RawClient:
    """Connect a client that has sent a health check, has not read the answer, and is idle."""
    peer = RawClient(rig.port)
    peer.send(STATUS)
    await wait_until(
        lambda: (side := rig.connection_of(peer)) is not None and side.has_sent_complete_message and side.is_idle
    )
    return peer


# A connection that has been idle too long, and a request


async def test_a_request_just_before_its_idle_connection_is_closed_is_answered():
    async with ServerRig() as rig:
        await rig.up()
        front, peer = rig.node.listeners[0], await connect_idle_client(rig)
        set_idle_for(rig, peer, 1000.0)
        front.close_idle(500.0)  # it is asked to close, and stays open, as some clients do
        set_idle_for(rig, peer, 1000.0 + rig.node.generation.longest_timeout_ms)
        peer.send(encode_request(A))  # in the system's hands, unread here
        front.close_idle(500.0)
        await wait_until(lambda: rig.pool.told("spawn", A))
        await rig.pool.finish(A)
        assert b"healthy" in (got := await peer.until(b"result")) and got.count(b"done") == 1


async def test_a_request_just_after_its_idle_connection_was_closed_destroys_no_answer():
    async with ServerRig() as rig:
        await rig.up()
        front, peer = rig.node.listeners[0], await connect_idle_client(rig)
        set_idle_for(rig, peer, 1000.0)
        front.close_idle(500.0)
        set_idle_for(rig, peer, 1000.0 + rig.node.generation.longest_timeout_ms)
        front.close_idle(500.0)
        peer.send(encode_request(A))  # the end has been sent and not been read
        got = await peer.to_the_end()  # and not a reset, which would take the first answer along
        assert b"healthy" in got and b"closing" in got and not rig.pool.told("spawn", A)
        await wait_until(lambda: not front.table.connections)


async def test_a_connection_with_unread_input_is_not_shed():
    async with ServerRig() as rig:
        await rig.up()
        rig.set_descriptor_shares(load_balancers=2)
        asked, rests = await connect_idle_client(rig), await connect_idle_client(rig)
        set_idle_for(rig, asked, 1000.0)  # unused for longest
        asked.send(encode_request(A))
        knocking = RawClient(rig.port)
        rig.node.listeners[0]._accept()
        await wait_until(lambda: rig.pool.told("spawn", A))
        await rig.pool.finish(A)
        assert b"result" in await asked.until(b"result")
        rests.send(encode_request(B))  # crosses its end
        assert b"healthy" in await rests.to_the_end() and not rig.pool.told("spawn", B)
        knocking.send(STATUS)
        assert b"healthy" in await knocking.until(b"healthy")


async def test_a_newcomer_without_a_slot_is_closed_without_a_reset():
    async with ServerRig(cpus=32) as rig:
        client = await (await rig.up()).caller()
        rig.set_descriptor_shares(load_balancers=1)
        await rig.running(client, A)
        late = RawClient(rig.port)
        late.send(encode_request(B))
        rig.node.listeners[0]._accept()
        assert await late.to_the_end() == b"" and not rig.pool.told("spawn", B)
        await rig.pool.finish(A)
        assert (await client.answer())[:2] == (1, "done")


@pytest.mark.parametrize("order", ("before", "after"))
async def test_a_first_request_that_crosses_the_first_byte_timeout_is_answered_or_closed_without_a_reset(
    order, monkeypatch
):
    monkeypatch.setattr(load_balancer_connection, "FIRST_BYTE_TIMEOUT_MS", 100.0)
    peers = []
    fill = Stream.fill

    async def crossed(self, wait_ms=inf):
        try:
            await fill(self, wait_ms)
        except ConnectionClosedError as ended:
            if ended.reason is CloseReason.UNRESPONSIVE and peers:
                peers.pop().send(
                    encode_request(A)
                )  # when the last look has found nothing, and before anything is ended
            raise

    async with ServerRig() as rig:
        await rig.up()
        if order == "after":
            monkeypatch.setattr(Stream, "fill", crossed)
        peer = RawClient(rig.port)
        peers.append(peer)
        if order == "after":
            assert await peer.to_the_end() == b"" and not rig.pool.told("spawn", A)
        else:
            await wait_until(lambda: rig.node.listeners[0].table.connections)
            with anyio.move_on_after(0.05):
                await anyio.sleep(1)
            peer.send(encode_request(A))
            await wait_until(lambda: rig.pool.told("spawn", A))
            await rig.pool.finish(A)
            assert b"result" in await peer.until(b"result")


async def test_a_partial_message_keeps_its_connection_until_it_is_complete():
    async with ServerRig() as rig:
        await rig.up()
        front, peer, whole = rig.node.listeners[0], await connect_idle_client(rig), encode_request(A)
        peer.send(whole[:20])
        await wait_until(lambda: any(each.stream.data is not None for each in front.table.connections))
        set_idle_for(rig, peer, 1e6)
        front.close_idle(500.0)
        front.close_idle(500.0)
        assert not front.table.shed_idle_connection()
        peer.send(whole[20:])
        await wait_until(lambda: rig.pool.told("spawn", A))
        await rig.pool.finish(A)
        assert b"result" in await peer.until(b"result")


async def test_an_unsent_answer_keeps_its_connection():
    async with ServerRig() as rig:
        await rig.up()
        front, peer = rig.node.listeners[0], await connect_idle_client(rig)
        (connection,) = front.table.connections
        connection.stream._backlog.append(memoryview(b"rest of an answer"))
        set_idle_for(rig, peer, 1e6)
        front.close_idle(500.0)
        front.close_idle(500.0)
        connection.begin_close(CloseReason.SHUTDOWN)  # not even for want of time: as much of it as can be is sent
        assert not front.table.shed_idle_connection() and connection.close_began_at_ms is None


# Those that linger


async def test_lingering_connections_free_their_descriptors_once_nothing_can_cross_and_no_sooner():
    async with ServerRig() as rig:
        await rig.up()
        rig.set_descriptor_shares(load_balancers=1, lingering=1)
        front, first = rig.node.listeners[0], await connect_idle_client(rig)
        second, third = await connect_client_in_place_of(rig, first), RawClient(rig.port)
        third.send(STATUS)
        front._accept()
        # the third waits at the door
        assert rig.connection_of(first).close_began_at_ms and rig.connection_of(third) is None
        second.send(STATUS)
        assert b"healthy" in await second.until(b"healthy")
        assert b"healthy" in await third.until(b"healthy") and b"healthy" in await first.to_the_end()


async def connect_client_in_place_of(rig: ServerRig, other: RawClient) -> RawClient:
    """Connect a client that is accepted at once, for which the other one is shed."""
    peer = RawClient(rig.port)
    rig.node.listeners[0]._accept()
    assert rig.connection_of(peer) and rig.connection_of(other).close_began_at_ms
    return peer


async def test_silent_connections_are_shed_for_those_that_ask_however_many_linger():
    async with ServerRig() as rig:
        await rig.up()
        rig.set_descriptor_shares(load_balancers=8, lingering=2)
        crowd = [RawClient(rig.port) for _ in range(40)]
        last = RawClient(rig.port)
        last.send(encode_request(A))
        await wait_until(lambda: rig.pool.told("spawn", A), 1.0)
        assert len(rig.node.listeners[0].table.connections) <= 10
        await rig.pool.finish(A)
        assert b"result" in await last.until(b"result")
        for each in crowd[:30]:
            assert await each.to_the_end() == b""


async def test_timed_out_connections_that_linger_are_not_taken_for_a_full_table(monkeypatch):
    monkeypatch.setattr(load_balancer_connection, "FIRST_BYTE_TIMEOUT_MS", 50.0)
    async with ServerRig() as rig:
        await rig.up()
        rig.set_descriptor_shares(load_balancers=10, lingering=10)
        front, rests = rig.node.listeners[0], await connect_idle_client(rig)
        silent = [RawClient(rig.port) for _ in range(9)]  # more than are looked at for one that may go
        await wait_until(lambda: len(front.table.lingering) == 9)  # they heard, and stay
        asks = RawClient(rig.port)
        asks.send(encode_request(A))
        await wait_until(lambda: rig.pool.told("spawn", A), 1.0)
        assert rig.connection_of(rests).close_began_at_ms is None  # who has asked before is not the one to go
        await rig.pool.finish(A)
        assert b"result" in await asks.until(b"result") and all(each.sock.recv(1) == b"" for each in silent)


@pytest.mark.parametrize("code", (errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH, errno.EINVAL))
async def test_a_newcomer_that_failed_before_it_was_accepted_affects_nobody_else(code):
    async with ServerRig() as rig:
        await rig.up()
        listener = rig.node.listeners[0]._listener = FailingListener(rig.listener, code)
        peer = RawClient(rig.port)
        peer.send(STATUS)
        assert b"healthy" in await peer.until(b"healthy") and listener.accepts >= 2
        assert rig.clean is None  # it serves on
