"""Messages that arrive in pieces: how long the server waits for the rest, and when that time begins.

The tests advance the server's clock while no data is in transit, so that they need not wait for a timeout.
"""

import time
from contextlib import suppress

import anyio
import pytest

from nickelslip.server import load_balancer_connection, resp
from nickelslip.server.load_balancer_connection import MESSAGE_TIMEOUT_MS
from tests.support.load_balancer_client import RawClient, encode_request
from tests.support.request_ids import A, B
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio
STATUS = resp.message(b"STATUS", b"1")
JUST_BELOW_TIMEOUT_MS = MESSAGE_TIMEOUT_MS - 100.0
LONG_SHUTDOWN_MS = 5000.0  # a message in single bytes may take long on a busy machine


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


def has_partial_message(rig: ServerRig, peer: RawClient) -> bool:
    return (connection := rig.connection_of(peer)) is not None and connection.stream.data is not None


class ShiftedClock:
    """Advances the server's clock."""

    def __init__(self, rig: ServerRig) -> None:
        self._server, self._offset_ms = rig.server, 0.0

    def advance(self, ms: float) -> None:
        self._server._clock_offset_ms += ms
        self._offset_ms += ms

    def encode_request(self, request_id: str, later_ms: float = 0.0, **fields: object) -> bytes:
        """Encode a request whose timestamp is `later_ms` after the current time of this clock."""
        return encode_request(request_id, ts=int(time.time() * 1000 + self._offset_ms + later_ms), **fields)


async def connect_idle_client(rig: ServerRig) -> RawClient:
    """Connect a client, exchange a health check, and leave the connection idle."""
    peer = RawClient(rig.port)
    peer.send(STATUS)
    await peer.receive_until(b"healthy")
    return peer


async def send_in_pieces(rig: ServerRig, peer: RawClient, message: bytes, size: int) -> None:
    """Send the message in pieces, each only after the server has read the one before."""
    for start in range(0, len(message), size):
        peer.send(message[start : start + size])
        if start + size < len(message):
            await wait_until(
                lambda start=start: (
                    (connection := rig.connection_of(peer)) is not None
                    and connection.stream.data is not None
                    and connection.stream.end - connection.stream.start == start + size
                )
            )


async def finish_request(rig: ServerRig, peer: RawClient, request_id: str) -> None:
    await wait_until(lambda: rig.pool.received_commands("spawn", request_id))
    await rig.pool.finish(request_id)
    assert b"result" in await peer.receive_until(b"result")


@pytest.mark.parametrize("size", (20, 1))
@pytest.mark.parametrize("shutting_down", (False, True))
async def test_a_message_in_pieces_on_an_idle_connection_is_answered(size, shutting_down):
    rig = ServerRig(cpus=32)
    rig.config["stop_ms"] = LONG_SHUTDOWN_MS
    for traffic_class in rig.platform_settings["classes"]:
        traffic_class["aim-ms"] = traffic_class["deadline-ms"]
    async with rig:
        await rig.wait_until_serving()
        clock, peer = ShiftedClock(rig), await connect_idle_client(rig)
        other = await connect_idle_client(rig)
        other.send(clock.encode_request(B))  # an open request, which keeps a server that shuts down from ending earlier
        await wait_until(lambda: rig.pool.received_commands("spawn", B))
        clock.advance(MESSAGE_TIMEOUT_MS + 500.0)
        if shutting_down:
            rig.server.begin_shutdown()
        await send_in_pieces(rig, peer, clock.encode_request(A), size)
        await finish_request(rig, peer, A)
        await rig.pool.finish(B)


async def test_the_timeout_of_a_first_message_starts_at_its_first_byte():
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        clock, peer = ShiftedClock(rig), RawClient(rig.port)
        await wait_until(lambda: rig.connection_of(peer))
        clock.advance(JUST_BELOW_TIMEOUT_MS)
        message = clock.encode_request(A, JUST_BELOW_TIMEOUT_MS)  # its timestamp: when it will be complete
        peer.send(message[:20])
        await wait_until(lambda: has_partial_message(rig, peer))
        clock.advance(JUST_BELOW_TIMEOUT_MS)
        peer.send(message[20:40])
        await wait_until(lambda: rig.connection_of(peer) is None or rig.connection_of(peer).stream.end == 40)
        peer.send(message[40:])
        await finish_request(rig, peer, A)


async def test_a_message_begun_after_another_has_its_own_timeout():
    async with ServerRig(cpus=32) as rig:
        await rig.wait_until_serving()
        clock, peer = ShiftedClock(rig), await connect_idle_client(rig)
        # The timestamp of each is the time at which it will be complete.
        first, second = (
            clock.encode_request(A, JUST_BELOW_TIMEOUT_MS, tag=2),
            clock.encode_request(B, 2 * JUST_BELOW_TIMEOUT_MS, tag=3),
        )
        peer.send(first[:20])
        await wait_until(lambda: has_partial_message(rig, peer))
        clock.advance(JUST_BELOW_TIMEOUT_MS)
        peer.send(first[20:] + second[:20])
        await finish_request(rig, peer, A)
        clock.advance(JUST_BELOW_TIMEOUT_MS)
        assert not rig.server.listeners[0].table.slow_writers
        peer.send(second[20:])
        await finish_request(rig, peer, B)


async def test_a_stalled_partial_message_is_closed_after_the_longest_timeout(monkeypatch):
    monkeypatch.setattr(load_balancer_connection, "MESSAGE_TIMEOUT_MS", 50.0)
    async with ServerRig(cpus=32) as rig:
        await rig.wait_until_serving()
        vars(rig.server.generation)["longest_timeout_ms"] = 400.0
        peer = await connect_idle_client(rig)
        began_at_s = time.monotonic()
        peer.send(encode_request(A) + encode_request(B, tag=3)[:30])
        await wait_until(lambda: rig.pool.received_commands("spawn", A))
        await wait_until(lambda: rig.connection_of(peer) in rig.server.listeners[0].table.slow_writers)
        await anyio.sleep(0.5)
        connection = rig.connection_of(peer)
        assert connection is not None and connection.stream.shut_down_reason is None  # an answer is still outstanding
        await rig.pool.finish(A)
        assert b"result" in await peer.receive_to_end()
        assert time.monotonic() - began_at_s >= 0.4
        await wait_until(
            lambda: not rig.server.listeners[0].table.slow_writers and not rig.server.listeners[0].table.connections
        )


async def test_slow_messages_hold_at_most_a_fraction_of_the_connections(monkeypatch):
    monkeypatch.setattr(load_balancer_connection, "MESSAGE_TIMEOUT_MS", 50.0)
    async with ServerRig(cpus=32) as rig:
        await rig.wait_until_serving()
        rig.set_descriptor_shares(load_balancers=8)
        listener, slow = rig.server.listeners[0], [await connect_idle_client(rig) for _ in range(2)]
        for peer in slow:
            peer.send(STATUS[:10])
        await wait_until(lambda: len(listener.table.slow_writers) == 2)
        excess = await connect_idle_client(rig)
        excess.send(STATUS[:10])
        assert await excess.receive_to_end(1.0) == b""
        slow[0].send(STATUS[10:])
        assert b"healthy" in await slow[0].receive_until(b"healthy")
        assert len(listener.table.slow_writers) == 1
        late = await connect_idle_client(rig)
        late.send(STATUS[:10])
        await wait_until(lambda: rig.connection_of(late) in listener.table.slow_writers)
        for peer in (slow[1], late):
            peer.send(STATUS[10:])
            assert b"healthy" in await peer.receive_until(b"healthy")
        assert not listener.table.slow_writers


async def test_a_connection_closed_within_a_message_is_no_longer_a_slow_writer(monkeypatch):
    monkeypatch.setattr(load_balancer_connection, "MESSAGE_TIMEOUT_MS", 50.0)
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        listener, peer = rig.server.listeners[0], await connect_idle_client(rig)
        peer.send(STATUS[:10])
        await wait_until(lambda: listener.table.slow_writers)
        with suppress(OSError):
            peer.sock.close()
        await wait_until(lambda: not listener.table.slow_writers and not listener.table.connections)
