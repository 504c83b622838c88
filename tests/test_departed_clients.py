"""Requests of clients that have closed their connections: not run afterwards, and none twice under the same id."""

import socket
import struct

import pytest

from nickelslip.server import resp
from nickelslip.server.recent_runs import RecentRuns
from tests.support.load_balancer_client import RawClient, encode_request
from tests.support.request_ids import A, B
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


def close(peer: RawClient, with_reset: bool) -> None:
    if with_reset:
        peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    peer.sock.close()


@pytest.mark.parametrize("with_reset", (False, True))
@pytest.mark.parametrize("count", (1, 30, 300))
async def test_requests_that_are_unread_when_their_client_leaves_are_not_run(count, with_reset):
    """Guards against sending on the requests of a client that has closed its connection."""
    async with ServerRig(cpus=32, **{"memory-kb": 1e6}) as rig:
        await rig.wait_until_serving()
        peer = RawClient(rig.port)
        ids = [f"bb{number:014x}" for number in range(1, count + 1)]
        peer.send(b"".join(encode_request(each, tag=tag) for tag, each in enumerate(ids, 1)))
        close(peer, with_reset)  # before the server reads anything
        client = await rig.connect_client()
        await rig.start_run(client, A)
        await wait_until(lambda: len(rig.server.listeners[0].table.connections) == 1)
        assert not any(rig.pool.received_commands("spawn", each) for each in ids)


async def test_a_health_check_whose_client_closes_its_side_at_once_is_answered():
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        peer = RawClient(rig.port)
        peer.send(resp.message(b"STATUS", b"1"))
        peer.sock.shutdown(socket.SHUT_WR)
        assert b"healthy" in await peer.receive_to_end()


@pytest.mark.parametrize("with_reset", (False, True))
@pytest.mark.parametrize("end", ("fine", "broken_off", "late", "unfinished"))
@pytest.mark.parametrize("class_name", ("read", "pay", "book"))
async def test_an_id_that_comes_again_after_its_client_left_is_started_once(class_name, end, with_reset):
    """Guards against a second run of a request under the same id, counted by its starts in the worker pool."""
    async with ServerRig(cpus=32) as rig:
        await rig.wait_until_serving()
        fields = {"opkey": "key"} if class_name == "book" else {}
        peer, again = RawClient(rig.port), RawClient(rig.port)
        peer.send(encode_request(A, class_name, **fields))
        await wait_until(lambda: rig.pool.received_commands("spawn", A))
        close(peer, with_reset)
        await wait_until(lambda: rig.connection_of(again) and len(rig.server.listeners[0].table.connections) == 1)
        if end != "unfinished":
            await rig.pool.finish(A, end=end)
            await wait_until(lambda: not rig.server.requests)
        again.send(encode_request(A, class_name, **fields))
        may_run = end == "late" or (class_name == "read" and end != "unfinished")
        if may_run:
            await wait_until(lambda: len(rig.pool.received_commands("spawn", A)) == 2)
        else:
            assert b"error" in await again.receive_until(b"$")
            other = await rig.connect_client()
            await rig.start_run(other, B)
            assert len(rig.pool.received_commands("spawn", A)) == 1


def test_an_id_may_be_used_again_after_its_retention():
    now_ms = [0.0]
    runs = RecentRuns(lambda: now_ms[0])
    runs.record(1, 100.0)
    runs.record(2, 300.0)
    now_ms[0] = 99.0
    assert 1 in runs and 2 in runs and 3 not in runs
    now_ms[0] = 100.0
    assert 1 not in runs and 2 in runs
