"""Graceful shutdown: what is answered when the drain begins, when the listener closes and when the server ends."""

import socket
import time

import anyio
import pytest

from nickelslip.server import load_balancer_listener, resp
from nickelslip.server.lifecycle import Phase
from tests.support.load_balancer_client import RawClient, encode_request
from tests.support.request_ids import A, B
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio
STATUS = resp.message(b"STATUS", b"1")
CLOSING = resp.message(b"0", b"closing")


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


async def connect_idle_client(rig: ServerRig) -> RawClient:
    """Connect a client that has sent a health check, has not read the answer, and is idle."""
    peer = RawClient(rig.port)
    peer.send(STATUS)
    await wait_until(
        lambda: any(each.has_sent_complete_message and each.is_idle for each in rig.node.listeners[0].table.connections)
    )
    return peer


# The listener


class ListenerWithLateClient:
    """A listener to which a client connects between the last accept and the close."""

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
                self.late.sendall(encode_request(A))
            raise

    def __getattr__(self, name):
        return getattr(self._real, name)


async def test_a_connection_between_the_last_accept_and_the_close_is_refused_and_not_reset():
    async with ServerRig() as rig:
        await rig.up()
        front = rig.node.listeners[0]
        knocking = front._listener = ListenerWithLateClient(rig.listener)
        front.stop_accepting()
        with anyio.fail_after(5):
            await anyio.wait_writable(knocking.late)
        assert knocking.late.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0, "it was let in, to be reset"
        assert not rig.pool.told("spawn", A)
        knocking.late.close()


async def test_a_connection_in_the_backlog_when_the_listener_closes_is_accepted():
    async with ServerRig() as rig:
        await rig.up()
        peer = RawClient(rig.port)
        peer.send(encode_request(A))
        rig.node.listeners[0].stop_accepting()  # before the server can have looked
        await wait_until(lambda: rig.pool.told("spawn", A))
        await rig.pool.finish(A)
        assert b"result" in await peer.until(b"result")
        with pytest.raises(OSError):
            RawClient(rig.port)


async def test_the_listener_stays_open_for_the_grace_and_no_longer():
    async with ServerRig() as rig:
        client = await (await rig.up()).caller()
        await rig.running(client, A)
        rig.node.begin_shutdown()
        late = RawClient(rig.port)
        late.send(encode_request(B))
        await wait_until(lambda: rig.pool.told("spawn", B))
        await wait_until(lambda: rig.listener.fileno() < 0)
        assert rig.node.phase is Phase.DRAINING  # both are still owed
        with pytest.raises(OSError):
            RawClient(rig.port)
        for request_id in (A, B):
            await rig.pool.finish(request_id)
        assert (await client.answer())[:2] == (1, "done") and b"result" in await late.until(b"result")


# Idle connections until the server closes them


async def test_idle_connections_do_not_delay_the_shutdown_and_keep_their_answers():
    async with ServerRig() as rig:
        await rig.up()
        rests, silent = await connect_idle_client(rig), RawClient(rig.port)
        await wait_until(lambda: len(rig.node.listeners[0].table.connections) == 2)
        began = time.monotonic()
        rig.node.begin_shutdown()
        got = await rests.to_the_end()  # a close without a reset, after all that was sent
        assert b"healthy" in got and got.endswith(CLOSING) and await silent.to_the_end() == CLOSING
        await wait_until(lambda: rig.clean is True)
        assert time.monotonic() - began < 0.6  # the kill comes after 0.7 s


@pytest.mark.parametrize("order", ("before", "after"))
async def test_a_request_that_crosses_the_close_of_its_idle_connection(order, monkeypatch):
    async with ServerRig() as rig:
        await rig.up()
        peer, front = await connect_idle_client(rig), rig.node.listeners[0]
        (connection,) = front.table.connections
        shut_down = connection.stream.shut_down

        def crossing(ending):
            if order == "after":
                shut_down(ending)
            peer.send(encode_request(A))
            if order == "before":
                shut_down(ending)

        part = connection.close_if_idle

        def parting(ending):
            if order == "before" and not rig.pool.seen_late:
                rig.pool.seen_late = True
                peer.send(encode_request(A))  # the last moment before the server looks whether anything is owed
            return part(ending)

        rig.pool.seen_late = False
        monkeypatch.setattr(connection, "close_if_idle", parting)
        if order == "after":
            monkeypatch.setattr(connection.stream, "shut_down", crossing)
        rig.node.begin_shutdown()
        got = await peer.to_the_end()
        assert b"healthy" in got and not rig.pool.told("spawn", A)
        assert (b"later" in got) is (order == "before")  # read, it is answered; after the end, it is sent again
        await wait_until(lambda: rig.clean is True)


async def test_a_partial_message_is_waited_for_to_the_end_and_answered_once_complete():
    async with ServerRig() as rig:
        await rig.up()
        peer, whole = await connect_idle_client(rig), encode_request(A)
        peer.send(whole[:30])
        rig.node.begin_shutdown()
        assert b"closing" in await peer.until(b"closing")
        with anyio.move_on_after(0.15):  # longer than what crosses a close may take
            await anyio.sleep(1)
        peer.send(whole[30:])  # it came to the machine in time, and is run
        await wait_until(lambda: rig.pool.told("spawn", A))
        await rig.pool.finish(A)
        assert b"result" in await peer.until(b"result")
        peer.sock.close()
        await wait_until(lambda: rig.clean is True)


async def test_a_partial_message_that_never_ends_is_closed_before_the_kill_without_a_reset():
    async with ServerRig() as rig:
        await rig.up()
        peer = await connect_idle_client(rig)
        peer.send(encode_request(A)[:30])
        began = time.monotonic()
        rig.node.begin_shutdown()
        assert (await peer.to_the_end()).endswith(CLOSING)
        await wait_until(lambda: rig.clean is True)
        assert time.monotonic() - began < 0.7


async def test_an_answer_to_a_slow_reader_is_not_cut_off_while_there_is_time():
    async with ServerRig(cpus=32, **{"memory-kb": 1e6}) as rig:
        client = await (await rig.up()).caller()
        (connection,) = rig.node.listeners[0].table.connections
        sock = client.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
        connection.stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16384)
        idents = [f"{number:016x}" for number in range(1, 32)]
        for request_id in idents:
            await rig.running(client, request_id)
        for request_id in idents:
            await rig.pool.finish(request_id, body=bytes(4096))
        await wait_until(lambda: not connection.stream.all_sent and not connection.requests)
        rig.node.begin_shutdown()
        await wait_until(lambda: rig.node.phase is Phase.SHUTTING_DOWN)
        with anyio.move_on_after(0.2):
            await anyio.sleep(1)
        words = [(await client.answer())[1] for _ in range(32)]
        assert words == ["done"] * 31 + ["closing"]


async def test_orphaned_runs_do_not_delay_the_shutdown_once_all_is_answered():
    async with ServerRig(**{"stop-mode": "silent"}) as rig:
        client = await (await rig.up()).caller()
        await rig.running(client, A)
        await rig.running(client, B, "pay")
        began = time.monotonic()
        rig.node.begin_shutdown()
        assert [(await client.answer())[1] for _ in range(3)] == ["error", "error", "closing"]
        await client.stream.aclose()
        await wait_until(lambda: rig.clean is True)
        assert time.monotonic() - began < 0.7


# Notices


async def test_signals_during_the_shutdown_change_nothing():
    async with ServerRig() as rig:
        client = await (await rig.up()).caller()
        await rig.running(client, A)
        rig.node.begin_shutdown()
        await rig.move()  # the new worker pool goes on where the old one was
        rig.node.begin_shutdown()
        await wait_until(lambda: len(rig.pool.binds()) == 1 and rig.node.worker_pool.is_up)
        await rig.pool.finish(A)
        assert [(await client.answer())[:2] for _ in range(2)] == [(1, "done"), (0, "closing")]
        await client.stream.aclose()
        await wait_until(lambda: rig.clean is True)


async def test_a_signal_before_the_worker_pool_is_up_answers_requests_and_ends():
    async with ServerRig() as rig:
        client = await rig.caller()
        await client.send("STATUS", "1", "")
        assert (await client.answer())[1] == "healthy"
        rig.node.begin_shutdown()
        await client.ask(A)
        words = [(await client.answer())[1] for _ in range(2)]
        assert sorted(words) == ["closing", "error"] and rig.node.phase is Phase.SHUTTING_DOWN
        await client.stream.aclose()
        await wait_until(lambda: rig.clean is True)


async def test_an_interrupted_shutdown_still_ends(monkeypatch):
    async with ServerRig() as rig:
        await rig.up()
        await connect_idle_client(rig)
        monkeypatch.setattr(load_balancer_listener, "CLOSE_CROSSING_MS", 1e6)
        rig.node.begin_shutdown()
        await wait_until(lambda: rig.node.phase is Phase.SHUTTING_DOWN)
        rig.node.task_group.cancel_scope.cancel()
        await wait_until(lambda: rig.clean is not None)
