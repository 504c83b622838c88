"""Leaving: what is owed when the server is told to, when it shuts its door, and when it ends, with what crosses each of
these held until that instant."""

import socket
import time

import anyio
import pytest

from nickelslip.server import load_balancer_listener, resp
from nickelslip.server.lifecycle import Phase
from tests.helpers import A, B, Peer, Place, asking, until

pytestmark = pytest.mark.anyio
STATUS = resp.message(b"STATUS", b"1")
CLOSING = resp.message(b"0", b"closing")


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


async def ready(place: Place) -> Peer:
    """One that has asked once, has not read what it was answered, and rests."""
    peer = Peer(place.port)
    peer.send(STATUS)
    await until(
        lambda: any(
            each.has_sent_complete_message and each.is_idle for each in place.node.listeners[0].table.connections
        )
    )
    return peer


# The door


class Knocking:
    """The listener, and somebody who knocks when the last look has found nobody, just before the door is shut."""

    def __init__(self, real: socket.socket) -> None:
        self._real, self.late = real, socket.socket()
        self.late.setblocking(False)
        self._shutting = False

    def setsockopt(self, *values):
        self._shutting = True
        return self._real.setsockopt(*values)

    def accept(self):
        try:
            return self._real.accept()
        except BlockingIOError:
            if self.late.connect_ex(self._real.getsockname()) == 0:
                self.late.sendall(asking(A))
            raise

    def __getattr__(self, name):
        return getattr(self._real, name)


async def test_who_knocks_between_the_last_look_and_the_shutting_is_refused_and_not_reset():
    async with Place() as place:
        await place.up()
        front = place.node.listeners[0]
        knocking = front._listener = Knocking(place.listener)
        front.stop_accepting()
        with anyio.fail_after(5):
            await anyio.wait_writable(knocking.late)
        assert knocking.late.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0, "it was let in, to be reset"
        assert not place.pool.told("spawn", A)
        knocking.late.close()


async def test_who_stands_at_the_door_when_it_is_shut_is_let_in():
    async with Place() as place:
        await place.up()
        peer = Peer(place.port)
        peer.send(asking(A))
        place.node.listeners[0].stop_accepting()  # before the server can have looked
        await until(lambda: place.pool.told("spawn", A))
        await place.pool.finish(A)
        assert b"result" in await peer.until(b"result")
        with pytest.raises(OSError):
            Peer(place.port)


async def test_the_door_stays_open_for_the_grace_and_no_longer():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A)
        place.node.begin_shutdown()
        late = Peer(place.port)
        late.send(asking(B))
        await until(lambda: place.pool.told("spawn", B))
        await until(lambda: place.listener.fileno() < 0)
        assert place.node.phase is Phase.DRAINING  # both are still owed
        with pytest.raises(OSError):
            Peer(place.port)
        for ident in (A, B):
            await place.pool.finish(ident)
        assert (await caller.answer())[:2] == (1, "done") and b"result" in await late.until(b"result")


# Those who rest until the server ends them


async def test_those_who_rest_do_not_hold_up_the_end_and_keep_their_answers():
    async with Place() as place:
        await place.up()
        rests, silent = await ready(place), Peer(place.port)
        await until(lambda: len(place.node.listeners[0].table.connections) == 2)
        began = time.monotonic()
        place.node.begin_shutdown()
        got = await rests.to_the_end()  # a plain end, with all that it was told
        assert b"healthy" in got and got.endswith(CLOSING) and await silent.to_the_end() == CLOSING
        await until(lambda: place.clean is True)
        assert time.monotonic() - began < 0.6  # the kill comes after 0.7 s


@pytest.mark.parametrize("order", ("before", "after"))
async def test_a_transaction_that_crosses_the_end_of_its_resting_connection(order, monkeypatch):
    async with Place() as place:
        await place.up()
        peer, front = await ready(place), place.node.listeners[0]
        (connection,) = front.table.connections
        shut_down = connection.stream.shut_down

        def crossing(ending):
            if order == "after":
                shut_down(ending)
            peer.send(asking(A))
            if order == "before":
                shut_down(ending)

        part = connection.close_if_idle

        def parting(ending):
            if order == "before" and not place.pool.seen_late:
                place.pool.seen_late = True
                peer.send(asking(A))  # the last moment before the server looks whether anything is owed
            return part(ending)

        place.pool.seen_late = False
        monkeypatch.setattr(connection, "close_if_idle", parting)
        if order == "after":
            monkeypatch.setattr(connection.stream, "shut_down", crossing)
        place.node.begin_shutdown()
        got = await peer.to_the_end()
        assert b"healthy" in got and not place.pool.told("spawn", A)
        assert (b"later" in got) is (order == "before")  # read, it is answered; after the end, it is sent again
        await until(lambda: place.clean is True)


async def test_half_a_message_is_waited_for_to_the_end_and_answered_when_it_is_whole():
    async with Place() as place:
        await place.up()
        peer, whole = await ready(place), asking(A)
        peer.send(whole[:30])
        place.node.begin_shutdown()
        assert b"closing" in await peer.until(b"closing")
        with anyio.move_on_after(0.15):  # longer than what crosses a close may take
            await anyio.sleep(1)
        peer.send(whole[30:])  # it came to the machine in time, and is run
        await until(lambda: place.pool.told("spawn", A))
        await place.pool.finish(A)
        assert b"result" in await peer.until(b"result")
        peer.sock.close()
        await until(lambda: place.clean is True)


async def test_half_a_message_that_never_ends_is_cut_off_before_the_kill_with_a_plain_end():
    async with Place() as place:
        await place.up()
        peer = await ready(place)
        peer.send(asking(A)[:30])
        began = time.monotonic()
        place.node.begin_shutdown()
        assert (await peer.to_the_end()).endswith(CLOSING)
        await until(lambda: place.clean is True)
        assert time.monotonic() - began < 0.7


async def test_an_answer_that_its_caller_is_slow_to_read_is_not_cut_off_while_there_is_time():
    async with Place(cpus=32, **{"memory-kb": 1e6}) as place:
        caller = await (await place.up()).caller()
        (connection,) = place.node.listeners[0].table.connections
        sock = caller.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
        connection.stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16384)
        idents = [f"{number:016x}" for number in range(1, 32)]
        for ident in idents:
            await place.running(caller, ident)
        for ident in idents:
            await place.pool.finish(ident, body=bytes(4096))
        await until(lambda: not connection.stream.all_sent and not connection.requests)
        place.node.begin_shutdown()
        await until(lambda: place.node.phase is Phase.SHUTTING_DOWN)
        with anyio.move_on_after(0.2):
            await anyio.sleep(1)
        words = [(await caller.answer())[1] for _ in range(32)]
        assert words == ["done"] * 31 + ["closing"]


async def test_runs_that_nothing_ends_do_not_keep_the_server_to_the_kill_once_all_is_answered():
    async with Place(**{"stop-mode": "silent"}) as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A)
        await place.running(caller, B, "pay")
        began = time.monotonic()
        place.node.begin_shutdown()
        assert [(await caller.answer())[1] for _ in range(3)] == ["error", "error", "closing"]
        await caller.stream.aclose()
        await until(lambda: place.clean is True)
        assert time.monotonic() - began < 0.7


# Notices


async def test_notices_that_come_while_the_server_leaves_change_nothing():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A)
        place.node.begin_shutdown()
        await place.move()  # the new worker pool goes on where the old one was
        place.node.begin_shutdown()
        await until(lambda: len(place.pool.binds()) == 1 and place.node.worker_pool.is_up)
        await place.pool.finish(A)
        assert [(await caller.answer())[:2] for _ in range(2)] == [(1, "done"), (0, "closing")]
        await caller.stream.aclose()
        await until(lambda: place.clean is True)


async def test_a_notice_while_the_worker_pool_is_not_up_answers_what_comes_and_ends():
    async with Place() as place:
        caller = await place.caller()
        await caller.send("STATUS", "1", "")
        assert (await caller.answer())[1] == "healthy"
        place.node.begin_shutdown()
        await caller.ask(A)
        words = [(await caller.answer())[1] for _ in range(2)]
        assert sorted(words) == ["closing", "error"] and place.node.phase is Phase.SHUTTING_DOWN
        await caller.stream.aclose()
        await until(lambda: place.clean is True)


async def test_an_interrupted_leaving_still_ends(monkeypatch):
    async with Place() as place:
        await place.up()
        await ready(place)
        monkeypatch.setattr(load_balancer_listener, "CLOSE_CROSSING_MS", 1e6)
        place.node.begin_shutdown()
        await until(lambda: place.node.phase is Phase.SHUTTING_DOWN)
        place.node.task_group.cancel_scope.cancel()
        await until(lambda: place.clean is not None)
