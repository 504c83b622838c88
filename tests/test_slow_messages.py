"""Messages that come in pieces: how long the rest of one is waited for, and from when that is counted.

Time passes for the server by moving its clock while nothing is on its way, so that no test waits for a limit.
"""

import time
from contextlib import suppress

import anyio
import pytest

from nickelslip.server import load_balancer_connection, resp
from nickelslip.server.load_balancer_connection import MESSAGE_TIMEOUT_MS
from tests.helpers import A, B, Peer, Place, asking, until

pytestmark = pytest.mark.anyio
STATUS = resp.message(b"STATUS", b"1")
NEARLY_MS = MESSAGE_TIMEOUT_MS - 100.0


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


def half_read(place: Place, peer: Peer) -> bool:
    return (side := place.connection_of(peer)) is not None and side.stream.data is not None


class Clock:
    """The server's clock, which a test moves forward."""

    def __init__(self, place: Place) -> None:
        self._node, self._moved_ms = place.node, 0.0

    def advance(self, ms: float) -> None:
        self._node._clock_offset_ms += ms
        self._moved_ms += ms

    def asking(self, ident: str, later_ms: float = 0.0, **fields: object) -> bytes:
        """A transaction that comes so much later than now, by this clock."""
        return asking(ident, ts=int(time.time() * 1000 + self._moved_ms + later_ms), **fields)


async def resting(place: Place) -> Peer:
    """A peer that has asked once and rests."""
    peer = Peer(place.port)
    peer.send(STATUS)
    await peer.until(b"healthy")
    return peer


async def send_in_pieces(place: Place, peer: Peer, message: bytes, size: int) -> None:
    """Each piece has been read before the next one is sent."""
    for at in range(0, len(message), size):
        peer.send(message[at : at + size])
        if at + size < len(message):
            await until(
                lambda at=at: (
                    (side := place.connection_of(peer)) is not None
                    and side.stream.data is not None
                    and side.stream.end - side.stream.start == at + size
                )
            )


async def served(place: Place, peer: Peer, ident: str) -> None:
    await until(lambda: place.pool.told("spawn", ident))
    await place.pool.finish(ident)
    assert b"result" in await peer.until(b"result")


@pytest.mark.parametrize("size", (20, 1))
@pytest.mark.parametrize("leaving", (False, True))
async def test_a_message_in_pieces_on_a_connection_that_rested_is_answered(size, leaving):
    async with Place(cpus=32) as place:
        await place.up()
        clock, peer = Clock(place), await resting(place)
        other = await resting(place)
        other.send(clock.asking(B))  # keeps a server that leaves from ending before
        await until(lambda: place.pool.told("spawn", B))
        clock.advance(MESSAGE_TIMEOUT_MS + 500.0)
        if leaving:
            place.node.begin_shutdown()
        await send_in_pieces(place, peer, clock.asking(A), size)
        await served(place, peer, A)
        await place.pool.finish(B)


async def test_a_first_message_has_its_time_from_its_first_byte():
    async with Place() as place:
        await place.up()
        clock, peer = Clock(place), Peer(place.port)
        await until(lambda: place.connection_of(peer))
        clock.advance(NEARLY_MS)
        message = clock.asking(A, NEARLY_MS)  # when it is whole
        peer.send(message[:20])
        await until(lambda: half_read(place, peer))
        clock.advance(NEARLY_MS)
        peer.send(message[20:40])
        await until(lambda: place.connection_of(peer) is None or place.connection_of(peer).stream.end == 40)
        peer.send(message[40:])
        await served(place, peer, A)


async def test_a_message_begun_behind_the_end_of_another_has_its_own_time():
    async with Place(cpus=32) as place:
        await place.up()
        clock, peer = Clock(place), await resting(place)
        first, second = clock.asking(A, NEARLY_MS, tag=2), clock.asking(B, 2 * NEARLY_MS, tag=3)  # when they are whole
        peer.send(first[:20])
        await until(lambda: half_read(place, peer))
        clock.advance(NEARLY_MS)
        peer.send(first[20:] + second[:20])
        await served(place, peer, A)
        clock.advance(NEARLY_MS)
        assert not place.node.listeners[0].table.slow_writers
        peer.send(second[20:])
        await served(place, peer, B)


async def test_one_that_stands_still_half_way_is_ended_by_the_longest_that_callers_wait(monkeypatch):
    monkeypatch.setattr(load_balancer_connection, "MESSAGE_TIMEOUT_MS", 50.0)
    async with Place(cpus=32) as place:
        await place.up()
        vars(place.node.generation)["longest_timeout_ms"] = 400.0
        peer = await resting(place)
        begun = time.monotonic()
        peer.send(asking(A) + asking(B, tag=3)[:30])
        await until(lambda: place.pool.told("spawn", A))
        await until(lambda: place.connection_of(peer) in place.node.listeners[0].table.slow_writers)
        await anyio.sleep(0.5)
        side = place.connection_of(peer)
        assert side is not None and side.stream.shut_down_reason is None  # an answer is still owed
        await place.pool.finish(A)
        assert b"result" in await peer.to_the_end()
        assert time.monotonic() - begun >= 0.4
        await until(
            lambda: not place.node.listeners[0].table.slow_writers and not place.node.listeners[0].table.connections
        )


async def test_slow_messages_take_a_part_of_the_places_and_no_more(monkeypatch):
    monkeypatch.setattr(load_balancer_connection, "MESSAGE_TIMEOUT_MS", 50.0)
    async with Place(cpus=32) as place:
        await place.up()
        place.share_out(load_balancers=8)
        front, slow = place.node.listeners[0], [await resting(place) for _ in range(2)]
        for peer in slow:
            peer.send(STATUS[:10])
        await until(lambda: len(front.table.slow_writers) == 2)
        beyond = await resting(place)
        beyond.send(STATUS[:10])
        assert await beyond.to_the_end(1.0) == b""
        slow[0].send(STATUS[10:])
        assert b"healthy" in await slow[0].until(b"healthy")
        assert len(front.table.slow_writers) == 1
        late = await resting(place)
        late.send(STATUS[:10])
        await until(lambda: place.connection_of(late) in front.table.slow_writers)
        for peer in (slow[1], late):
            peer.send(STATUS[10:])
            assert b"healthy" in await peer.until(b"healthy")
        assert not front.table.slow_writers


async def test_a_connection_that_ends_half_way_is_no_slow_writer_any_more(monkeypatch):
    monkeypatch.setattr(load_balancer_connection, "MESSAGE_TIMEOUT_MS", 50.0)
    async with Place() as place:
        await place.up()
        front, peer = place.node.listeners[0], await resting(place)
        peer.send(STATUS[:10])
        await until(lambda: front.table.slow_writers)
        with suppress(OSError):
            peer.sock.close()
        await until(lambda: not front.table.slow_writers and not front.table.connections)
