"""Clients that never finish a message, or do not read, must not take the memory that other clients need."""

from contextlib import ExitStack

import pytest

from nickelslip.configuration.generations import Generation
from nickelslip.server import load_balancer_connection, load_balancer_listener, resp
from nickelslip.server.buffer_pool import BUFFER_BYTES, SMALL_BUFFER_STEP_BYTES, BufferPool
from nickelslip.server.close_reasons import CloseReason
from tests.support.load_balancer_client import LoadBalancerClient, RawClient, encode_request
from tests.support.request_ids import A, B
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio
BUFFER_COUNT = 16
LOAD_BALANCER_BUFFER_COUNT = 12  # without the reserve
STATUS = resp.message(b"STATUS", b"1")
LARGE_REQUEST = resp.message(b"ASK", b"2", b"read", b"req=" + b"x" * 8000, b"y" * 3500)
INCOMPLETE = {
    "head": encode_request(A)[:25],
    "settings": encode_request(A)[:60],
    "body": encode_request(A, body=b"x" * 2000)[:-1000],
    "large": LARGE_REQUEST[:-1],
    "after a health check": STATUS + LARGE_REQUEST[:-1],
    "after a refused request": encode_request(A, "unknown") + LARGE_REQUEST[:-1],
}


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


async def connect_served_client(rig: ServerRig) -> LoadBalancerClient:
    """Connect a client, and answer its first request with a result."""
    client = await rig.connect_client()
    await rig.start_run(client, A)
    await rig.pool.finish(A)
    assert (await client.receive_answer())[:2] == (1, "done")
    return client


def has_read(rig: ServerRig, peer: RawClient) -> bool:
    connection = rig.connection_of(peer)
    return connection is not None and connection._message_began_at_ms is not None


async def connect_flood(rig: ServerRig, stack: ExitStack, message: bytes, count: int) -> list[RawClient]:
    """Connect clients that send this, and wait until the server has read it."""
    peers = [RawClient(rig.port) for _ in range(count)]
    for peer in peers:
        stack.callback(peer.sock.close)
        peer.send(message)

    await wait_until(lambda: all(has_read(rig, peer) for peer in peers))
    return peers


@pytest.mark.parametrize("kind", INCOMPLETE)
async def test_a_request_on_a_connection_in_use_is_answered_while_incomplete_messages_fill_the_memory(kind):
    """Guards against ending a load balancer's connection because other clients hold all buffers (review case 6)."""
    async with ServerRig(cpus=32) as rig:
        rig.server.buffers = BufferPool(BUFFER_COUNT)
        await rig.wait_until_serving()
        client = await connect_served_client(rig)
        with ExitStack() as stack:
            await connect_flood(rig, stack, INCOMPLETE[kind], 4 * LOAD_BALANCER_BUFFER_COUNT)
            await rig.start_run(client, B)
            await rig.pool.finish(B)
            assert (await client.receive_answer())[:2] == (2, "done")


async def test_a_message_in_pieces_on_a_connection_in_use_takes_the_memory_of_the_oldest_incomplete_message():
    """Guards against losing a load balancer's slow message to clients that never finish theirs."""
    async with ServerRig(cpus=32) as rig:
        rig.server.buffers = BufferPool(BUFFER_COUNT)
        await rig.wait_until_serving()
        client = await connect_served_client(rig)
        with ExitStack() as stack:
            peers = await connect_flood(rig, stack, LARGE_REQUEST[:-1], 2 * LOAD_BALANCER_BUFFER_COUNT)
            message = encode_request(B, tag=7)
            await client.stream.send(message[:40])
            # The peer sees an end without a reset, and the rest of the flood keeps its memory.
            assert await peers[0].receive_to_end() == b""
            assert rig.server.buffers.store(memoryview(LARGE_REQUEST)) is None
            await client.stream.send(message[40:])
            await wait_until(lambda: rig.pool.received_commands("spawn", B))
            await rig.pool.finish(B)
            assert (await client.receive_answer())[:2] == (7, "done")


async def test_a_connection_in_use_takes_the_memory_of_a_client_that_does_not_read():
    """Guards against ending a load balancer's connection because clients that do not read hold all buffers."""
    async with ServerRig(cpus=32) as rig:
        rig.server.buffers = BufferPool(BUFFER_COUNT)
        await rig.wait_until_serving()
        client = await connect_served_client(rig)
        slow_reader = RawClient(rig.port)
        slow_reader.send(STATUS)
        await slow_reader.receive_until(b"healthy")
        connection = rig.connection_of(slow_reader)
        connection.stream._backlog.append(memoryview(bytes(LOAD_BALANCER_BUFFER_COUNT * BUFFER_BYTES)))
        message = encode_request(B, tag=7)
        await client.stream.send(message[:40])
        await wait_until(lambda: connection.stream.close_reason is CloseReason.SHED)
        await client.stream.send(message[40:])
        await wait_until(lambda: rig.pool.received_commands("spawn", B))
        slow_reader.sock.close()


async def test_an_incomplete_message_for_which_there_is_no_memory_ends_its_connection_after_a_delay(monkeypatch):
    """Guards against clients that reconnect at once and keep the server busy with accepting them."""
    monkeypatch.setattr(load_balancer_connection, "SHED_DELAY_S", 0.2)
    async with ServerRig(cpus=32) as rig:
        rig.server.buffers = BufferPool(BUFFER_COUNT)
        await rig.wait_until_serving()
        with ExitStack() as stack:
            await connect_flood(rig, stack, LARGE_REQUEST[:-1], 2 * LOAD_BALANCER_BUFFER_COUNT)
            last = (await connect_flood(rig, stack, LARGE_REQUEST[:-1], 1))[0]
            await wait_until(lambda: (connection := rig.connection_of(last)) and connection.stream.data is None)
            with pytest.raises(TimeoutError):
                await last.receive_to_end(0.1)
            assert await last.receive_to_end() == b""


async def test_a_new_connection_displaces_an_incomplete_message_when_the_table_is_full():
    """Guards against a table that is full of clients which never finish a message."""
    async with ServerRig(cpus=32) as rig:
        await rig.wait_until_serving()
        rig.set_descriptor_shares(load_balancers=4)
        with ExitStack() as stack:
            peers = await connect_flood(rig, stack, encode_request(A)[:25], 4)
            client = await rig.connect_client()
            await rig.start_run(client, B)
            assert await peers[0].receive_to_end() == b""
            await rig.pool.finish(B)
            assert (await client.receive_answer())[:2] == (1, "done")


def test_small_buffers_count_by_their_size_and_leave_the_reserve_alone():
    pool = BufferPool(BUFFER_COUNT)
    whole = [pool.acquire(may_use_reserve=False) for _ in range(LOAD_BALANCER_BUFFER_COUNT - 1)]
    small = [pool.store(memoryview(b"x" * 10)) for _ in range(BUFFER_BYTES // SMALL_BUFFER_STEP_BYTES)]
    assert None not in small and {len(buffer) for buffer in small} == {SMALL_BUFFER_STEP_BYTES}
    assert pool.store(memoryview(b"x")) is None and pool.acquire(may_use_reserve=False) is None
    pool.release(small.pop())
    assert pool.acquire(may_use_reserve=False) is None  # the others still take the place of a whole buffer
    assert pool.store(memoryview(b"x" * SMALL_BUFFER_STEP_BYTES))[:1] == b"x"
    pool.release(whole.pop())
    assert len(pool.store(memoryview(bytes(BUFFER_BYTES - 1)))) == BUFFER_BYTES
    assert [pool.acquire(may_use_reserve=True) is None for _ in range(5)] == [False] * 4 + [True]


# Hundreds of clients


@pytest.mark.parametrize(("memory_mb", "expected"), ((48, 512), (64, 682), (192, 958)))
def test_the_memory_of_the_process_limits_the_connections(memory_mb, expected):
    """Guards against a process that passes its memory limit because hundreds of clients are connected."""
    rig = ServerRig(**{"dep-share": 4.5})
    rig.config["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}
    for name in ("pool", "records", "lookup"):
        rig.config[name] = "127.0.0.1:1"
    assert Generation(1, rig.read()).max_load_balancer_connections == expected


async def test_clients_that_reconnect_at_once_are_accepted_at_a_limited_rate_while_the_table_is_full(monkeypatch):
    """Guards against clients that displace each other and keep the server busy with accepting them."""
    monkeypatch.setattr(load_balancer_listener, "DISPLACEMENT_INTERVAL_S", 0.1)
    monkeypatch.setattr(load_balancer_listener, "MAX_DISPLACEMENT_BURST_S", 0.0)
    async with ServerRig(cpus=32) as rig:
        await rig.wait_until_serving()
        rig.set_descriptor_shares(load_balancers=4, lingering=16)
        accepted, add = [], rig.server.listeners[0].table.add
        monkeypatch.setattr(
            rig.server.listeners[0].table, "add", lambda connection: (accepted.append(connection), add(connection))
        )
        peers = [RawClient(rig.port) for _ in range(10)]
        await wait_until(lambda: len(accepted) >= 4)
        assert len(accepted) <= 6
        await wait_until(lambda: len(accepted) == 10)
        for peer in peers:
            peer.sock.close()
