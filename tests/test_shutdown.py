"""Graceful shutdown: which requests are answered while the server drains, closes its listener and stops."""

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
        lambda: any(each.has_sent_valid_message and each.is_idle for each in rig.server.listeners[0].table.connections)
    )
    return peer


class ListenerWithLateClient:
    """A listener to which a client connects between the last accept and the close."""

    def __init__(self, real: socket.socket) -> None:
        self._real, self.late = real, socket.socket()
        self.late.setblocking(False)
        self._is_shutting_down = False

    def setsockopt(self, *values):
        self._is_shutting_down = True
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
        await rig.wait_until_serving()
        listener = rig.server.listeners[0]
        listener_with_late_client = listener._listener = ListenerWithLateClient(rig.listener)
        listener.stop_accepting()
        with anyio.fail_after(5):
            await anyio.wait_writable(listener_with_late_client.late)
        assert listener_with_late_client.late.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0, (
            "the connection was accepted and would be reset"
        )
        assert not rig.pool.received_commands("spawn", A)
        listener_with_late_client.late.close()


async def test_a_connection_in_the_backlog_when_the_listener_closes_is_accepted():
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        peer = RawClient(rig.port)
        peer.send(encode_request(A))
        rig.server.listeners[0].stop_accepting()  # before the server accepts the connection
        await wait_until(lambda: rig.pool.received_commands("spawn", A))
        await rig.pool.finish(A)
        assert b"result" in await peer.receive_until(b"result")
        with pytest.raises(OSError):
            RawClient(rig.port)


async def test_the_listener_stays_open_until_the_grace_period_ends():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A)
        rig.server.begin_shutdown()
        late = RawClient(rig.port)
        late.send(encode_request(B))
        await wait_until(lambda: rig.pool.received_commands("spawn", B))
        await wait_until(lambda: rig.listener.fileno() < 0)
        assert rig.server.phase is Phase.DRAINING  # both answers are outstanding
        with pytest.raises(OSError):
            RawClient(rig.port)
        for request_id in (A, B):
            await rig.pool.finish(request_id)
        assert (await client.receive_answer())[:2] == (1, "done") and b"result" in await late.receive_until(b"result")


async def test_idle_connections_do_not_delay_the_shutdown_and_receive_their_answers():
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        idle, silent = await connect_idle_client(rig), RawClient(rig.port)
        await wait_until(lambda: len(rig.server.listeners[0].table.connections) == 2)
        started_at = time.monotonic()
        rig.server.begin_shutdown()
        got = await idle.receive_to_end()  # closed without a reset, after all answers
        assert b"healthy" in got and got.endswith(CLOSING) and await silent.receive_to_end() == CLOSING
        await wait_until(lambda: rig.exited_cleanly is True)
        assert time.monotonic() - started_at < 0.6  # the process would be killed after 0.7 s


@pytest.mark.parametrize("order", ("before", "after"))
async def test_a_request_sent_while_its_idle_connection_closes_is_answered_only_if_it_was_read(order, monkeypatch):
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        peer, listener = await connect_idle_client(rig), rig.server.listeners[0]
        (connection,) = listener.table.connections
        shut_down = connection.stream.shut_down

        def shut_down_while_request_arrives(reason):
            if order == "after":
                shut_down(reason)
            peer.send(encode_request(A))
            if order == "before":
                shut_down(reason)

        close_if_idle = connection.close_if_idle

        def send_request_and_close(reason):
            if order == "before" and not rig.pool.is_request_sent:
                rig.pool.is_request_sent = True
                peer.send(encode_request(A))  # just before the server checks whether the connection is idle
            return close_if_idle(reason)

        rig.pool.is_request_sent = False
        monkeypatch.setattr(connection, "close_if_idle", send_request_and_close)
        if order == "after":
            monkeypatch.setattr(connection.stream, "shut_down", shut_down_while_request_arrives)
        rig.server.begin_shutdown()
        got = await peer.receive_to_end()
        assert b"healthy" in got and not rig.pool.received_commands("spawn", A)
        # The request is answered only if it was read; otherwise the client sends it again.
        assert (b"later" in got) is (order == "before")
        await wait_until(lambda: rig.exited_cleanly is True)


async def test_a_partial_message_completed_during_the_shutdown_is_answered():
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        peer, message = await connect_idle_client(rig), encode_request(A)
        peer.send(message[:30])
        rig.server.begin_shutdown()
        assert b"closing" in await peer.receive_until(b"closing")
        with anyio.move_on_after(0.15):  # longer than the server waits for messages that cross a close
            await anyio.sleep(1)
        peer.send(message[30:])  # it reached the machine within the grace period, so it is run
        await wait_until(lambda: rig.pool.received_commands("spawn", A))
        await rig.pool.finish(A)
        assert b"result" in await peer.receive_until(b"result")
        peer.sock.close()
        await wait_until(lambda: rig.exited_cleanly is True)


async def test_a_connection_with_an_incomplete_message_is_closed_without_a_reset_before_the_process_is_killed():
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        peer = await connect_idle_client(rig)
        peer.send(encode_request(A)[:30])
        started_at = time.monotonic()
        rig.server.begin_shutdown()
        assert (await peer.receive_to_end()).endswith(CLOSING)
        await wait_until(lambda: rig.exited_cleanly is True)
        assert time.monotonic() - started_at < 0.7


async def test_an_answer_to_a_slow_reader_is_sent_completely():
    async with ServerRig(cpus=32, **{"memory-kb": 1e6}) as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        (connection,) = rig.server.listeners[0].table.connections
        sock = client.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
        connection.stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16384)
        request_ids = [f"{number:016x}" for number in range(1, 32)]
        for request_id in request_ids:
            await rig.start_run(client, request_id)
        for request_id in request_ids:
            await rig.pool.finish(request_id, body=bytes(4096))
        await wait_until(lambda: not connection.stream.all_sent and not connection.requests)
        rig.server.begin_shutdown()
        await wait_until(lambda: rig.server.phase is Phase.SHUTTING_DOWN)
        with anyio.move_on_after(0.2):
            await anyio.sleep(1)
        statuses = [(await client.receive_answer())[1] for _ in range(32)]
        assert statuses == ["done"] * 31 + ["closing"]


async def test_orphaned_runs_do_not_delay_the_shutdown_once_all_requests_are_answered():
    async with ServerRig(**{"stop-mode": "silent"}) as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A)
        await rig.start_run(client, B, "pay")
        started_at = time.monotonic()
        rig.server.begin_shutdown()
        assert [(await client.receive_answer())[1] for _ in range(3)] == ["error", "error", "closing"]
        await client.stream.aclose()
        await wait_until(lambda: rig.exited_cleanly is True)
        assert time.monotonic() - started_at < 0.7


async def test_a_reload_and_a_repeated_stop_do_not_disturb_the_shutdown():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A)
        rig.server.begin_shutdown()
        await rig.move_services()  # the new worker pool address takes over the runs of the old one
        rig.server.begin_shutdown()
        await wait_until(lambda: len(rig.pool.received_binds()) == 1 and rig.server.worker_pool.is_up)
        await rig.pool.finish(A)
        assert [(await client.receive_answer())[:2] for _ in range(2)] == [(1, "done"), (0, "closing")]
        await client.stream.aclose()
        await wait_until(lambda: rig.exited_cleanly is True)


async def test_a_shutdown_before_the_worker_pool_is_up_answers_requests_and_ends():
    async with ServerRig() as rig:
        client = await rig.connect_client()
        await client.send("STATUS", "1", "")
        assert (await client.receive_answer())[1] == "healthy"
        rig.server.begin_shutdown()
        await client.send_request(A)
        statuses = [(await client.receive_answer())[1] for _ in range(2)]
        assert sorted(statuses) == ["closing", "error"] and rig.server.phase is Phase.SHUTTING_DOWN
        await client.stream.aclose()
        await wait_until(lambda: rig.exited_cleanly is True)


async def test_a_cancelled_shutdown_still_ends(monkeypatch):
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        await connect_idle_client(rig)
        monkeypatch.setattr(load_balancer_listener, "CLOSE_CROSSING_MS", 1e6)
        rig.server.begin_shutdown()
        await wait_until(lambda: rig.server.phase is Phase.SHUTTING_DOWN)
        rig.server.task_group.cancel_scope.cancel()
        await wait_until(lambda: rig.exited_cleanly is not None)
