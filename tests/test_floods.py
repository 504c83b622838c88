"""Floods of connections and messages must not block other traffic.

Load balancers, health checks, the worker pool's link, calls and load reports must still be served.
"""

import resource
import socket
from contextlib import ExitStack, suppress

import anyio
import pytest

from nickelslip.configuration.descriptors import RESERVED_DESCRIPTORS, descriptor_shares
from nickelslip.server import resp
from tests.support.load_balancer_client import RawClient, encode_request
from tests.support.request_ids import A
from tests.support.server_rig import ServerRig, run_program
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio
STATUS = resp.message(b"STATUS", b"1")


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


async def set_descriptor_limit(rig: ServerRig, process, descriptors: int) -> None:
    """Set the descriptor limit of the running process, and wait until the server has sent a load report."""
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))
    await wait_until(lambda: rig.reports)


async def connect_clients(rig: ServerRig, stack: ExitStack, count: int, sends_health_check: bool) -> list[RawClient]:
    """Connect `count` clients that stay idle until the server closes them, silent or after one health check."""
    peers = []
    for _ in range(count):
        peer = RawClient(rig.port)
        stack.callback(peer.sock.close)
        if sends_health_check:
            peer.send(STATUS)
            with suppress(AssertionError, OSError):
                await peer.receive_until(b"healthy")
        peers.append(peer)
    return peers


@pytest.mark.parametrize("sends_health_check", (False, True))
async def test_requests_are_served_while_idle_clients_exhaust_descriptors_and_the_directory_is_down(
    sends_health_check, tmp_path
):
    async with ServerRig(in_subprocess=True, cpus=32) as rig:
        rig.config["limits"]["sockets"] = 120
        rig.pool.accepts_binds.set()
        async with run_program(rig, tmp_path) as process:
            with ExitStack() as stack:
                await set_descriptor_limit(rig, process, 120)
                port = await rig.stop_directory()
                await connect_clients(rig, stack, 200, sends_health_check)
                client = RawClient(rig.port)
                stack.callback(client.sock.close)
                client.send(encode_request(A, "read"))
                await wait_until(lambda: rig.pool.received_commands("spawn", A), 2.0)
                await rig.pool.block(A)
                await wait_until(lambda: rig.records.received, 1.0)  # a descriptor is left for a call
                await rig.pool.abort_connections()  # a descriptor is left to reconnect the link
                await wait_until(lambda: len(rig.pool.received_binds()) == 2, 2.0)
                await rig.records.reply(A, "DONE", b"reply")
                await wait_until(lambda: rig.pool.received_commands("supply", A), 1.0)
                await rig.pool.finish(A)
                assert b"result" in await client.receive_until(b"result")
                health_client = RawClient(rig.port)
                stack.callback(health_client.sock.close)
                health_client.send(STATUS)
                assert b"healthy" in await health_client.receive_until(b"healthy", 1.0)
                report_count = len(rig.reports)
                await rig.start_directory(port)
                await wait_until(lambda: len(rig.reports) > report_count, 1.5)  # reports resume immediately
            assert process.poll() is None


@pytest.mark.parametrize("descriptors", (32, 48))
async def test_requests_are_served_under_a_small_descriptor_limit(descriptors, tmp_path):
    async with ServerRig(in_subprocess=True, cpus=32) as rig:
        rig.config["limits"]["sockets"] = descriptors
        rig.pool.accepts_binds.set()
        async with run_program(rig, tmp_path) as process:
            with ExitStack() as stack:
                await set_descriptor_limit(rig, process, descriptors)
                await connect_clients(rig, stack, 3 * descriptors, True)
                client = await rig.connect_client()
                await rig.start_call(client, A, "read")
                await rig.records.reply(A, "DONE", b"reply")
                await wait_until(lambda: rig.pool.received_commands("supply", A))
                await rig.pool.finish(A)
                assert (await client.receive_answer())[:2] == (1, "done")
                await client.stream.aclose()
            assert process.poll() is None


@pytest.mark.parametrize("calls", (0.0, 0.5, 6.0, 90.0, 1e4))
async def test_descriptor_shares_are_positive_and_stay_within_the_limit(calls):
    for descriptors in range(32, 2000):
        shares = descriptor_shares(descriptors, calls)
        assert min(shares) >= 1 and sum(shares) + RESERVED_DESCRIPTORS <= descriptors
        # Load balancers get at least half, unless the limit is small.
        assert shares.load_balancers >= descriptors / 2 or descriptors < 100


FLOODS = {
    "health checks": STATUS * 400,
    "unknown verbs": resp.message(b"DANCE", b"1") * 400,
    "not an array": b"nonsense\r\n" * 2000,
    "cancellations": resp.message(b"NEVERMIND", b"7") * 400,
    "incomplete message": b"*5\r\n$3\r\nASK\r\n$1\r\n1\r\n$9999\r\n",
    "unterminated message": b"*2\r\n$12000\r\n" + b"x" * 60_000,
}


@pytest.mark.parametrize("kind", FLOODS)
async def test_floods_on_some_connections_do_not_delay_others(kind):
    flood = FLOODS[kind]
    async with ServerRig(cpus=32) as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        with ExitStack() as stack:
            flood_sockets = [socket.create_connection(("127.0.0.1", rig.port)) for _ in range(8)]
            for each in flood_sockets:
                stack.enter_context(each)
                each.setblocking(False)

            async def send_flood(sock: socket.socket) -> None:
                with suppress(OSError):
                    while True:
                        with suppress(BlockingIOError):
                            sock.send(flood)
                        with suppress(BlockingIOError):
                            sock.recv(65536)
                        await anyio.sleep(0)

            async with anyio.create_task_group() as tasks:
                for each in flood_sockets:
                    tasks.start_soon(send_flood, each)
                for number in range(1, 21):
                    request_id = f"{number:016x}"
                    await rig.start_run(client, request_id)
                    await rig.pool.finish(request_id)
                    assert (await client.receive_answer(1.0))[:2] == (number, "done")
                tasks.cancel_scope.cancel()
        assert rig.exited_cleanly is None and not rig.server.requests
        await wait_until(lambda: len(rig.server.listeners[0].table.connections) == 1, 4.0)


async def test_hundreds_of_simultaneous_cancellations_leave_no_requests_or_connections():
    async with ServerRig(cpus=2, **{"memory-kb": 1e6}) as rig:
        await rig.wait_until_serving()
        peers = [RawClient(rig.port) for _ in range(12)]
        for index, peer in enumerate(peers):
            peer.send(b"".join(encode_request(f"{index:08x}{tag:08x}", tag=tag) for tag in range(1, 33)))
        for peer in peers:
            peer.send(b"".join(resp.message(b"NEVERMIND", b"%d" % tag) for tag in range(1, 33)))
        await wait_until(
            lambda: all(
                request.is_client_disconnected or request.is_answered for request in rig.server.requests.values()
            )
        )
        for request in list(rig.server.requests.values()):
            await wait_until(lambda request=request: rig.pool.received_commands("spawn", request.received.id_hex))
            await rig.pool.finish(request.received.id_hex, end="broken_off")
        await wait_until(lambda: not rig.server.requests)
        for peer in peers:
            peer.sock.close()
        await wait_until(lambda: not rig.server.listeners[0].table.connections)
