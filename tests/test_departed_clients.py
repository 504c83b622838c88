"""Requests of clients that have closed their connections: not run afterwards."""

import socket
import struct

import pytest

from nickelslip.server import resp
from tests.support.load_balancer_client import RawClient, encode_request
from tests.support.request_ids import A
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
