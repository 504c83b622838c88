"""Crowds and floods: whoever comes in, however many and with whatever, keeps neither balancers nor checks, the worker
pool's link, calls or reports out."""

import resource
import socket
from contextlib import ExitStack, suppress

import anyio
import pytest

from nickelslip.configuration.descriptors import RESERVED_DESCRIPTORS, descriptor_shares
from nickelslip.server import resp
from tests.helpers import A, Peer, Place, asking, serving, until

pytestmark = pytest.mark.anyio
STATUS = resp.message(b"STATUS", b"1")


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


async def limited(place: Place, process, descriptors: int) -> None:
    """Have the system itself keep the process to its limit from here on."""
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))
    await until(lambda: place.reports)


async def crowd(place: Place, tasks: ExitStack, many: int, asks: bool) -> list[Peer]:
    """So many that rest until the server ends them, silent or after one check."""
    peers = []
    for _ in range(many):
        peer = Peer(place.port)
        tasks.callback(peer.sock.close)
        if asks:
            peer.send(STATUS)
            with suppress(AssertionError, OSError):
                await peer.until(b"healthy")
        peers.append(peer)
    return peers


@pytest.mark.parametrize("asks", (False, True))
async def test_idle_clients_fill_the_descriptors_while_the_directory_is_down(asks, tmp_path):
    async with Place(elsewhere=True, cpus=32) as place:
        place.config["limits"]["sockets"] = 120
        place.pool.up.set()
        async with serving(place, tmp_path) as process:
            with ExitStack() as closing:
                await limited(place, process, 120)
                port = await place.directory_down()
                await crowd(place, closing, 200, asks)
                balancer = Peer(place.port)
                closing.callback(balancer.sock.close)
                balancer.send(asking(A, "read"))
                await until(lambda: place.pool.told("spawn", A), 2.0)
                await place.pool.block(A)
                await until(lambda: place.records.seen, 1.0)  # a call still finds a descriptor
                await place.pool.cut()  # and so does the link, anew
                await until(lambda: len(place.pool.binds()) == 2, 2.0)
                await place.records.reply(A, "DONE", b"reply")
                await until(lambda: place.pool.told("supply", A), 1.0)
                await place.pool.finish(A)
                assert b"result" in await balancer.until(b"result")
                check = Peer(place.port)
                closing.callback(check.sock.close)
                check.send(STATUS)
                assert b"healthy" in await check.until(b"healthy", 1.0)
                known = len(place.reports)
                await place.directory_up(port)
                await until(lambda: len(place.reports) > known, 1.5)  # and it is listed again at once
            assert process.poll() is None


@pytest.mark.parametrize("descriptors", (32, 48))
async def test_a_small_limit_is_served(descriptors, tmp_path):
    async with Place(elsewhere=True, cpus=32) as place:
        place.config["limits"]["sockets"] = descriptors
        place.pool.up.set()
        async with serving(place, tmp_path) as process:
            with ExitStack() as closing:
                await limited(place, process, descriptors)
                await crowd(place, closing, 3 * descriptors, True)
                caller = await place.caller()
                await place.calling(caller, A, "read")
                await place.records.reply(A, "DONE", b"reply")
                await until(lambda: place.pool.told("supply", A))
                await place.pool.finish(A)
                assert (await caller.answer())[:2] == (1, "done")
                await caller.stream.aclose()
            assert process.poll() is None


@pytest.mark.parametrize("calls", (0.0, 0.5, 6.0, 90.0, 1e4))
async def test_every_limit_is_shared_out_within_itself_with_one_for_each_at_least(calls):
    for descriptors in range(32, 2000):
        shares = descriptor_shares(descriptors, calls)
        assert min(shares) >= 1 and sum(shares) + RESERVED_DESCRIPTORS <= descriptors
        assert shares.load_balancers >= descriptors / 2 or descriptors < 100  # balancers open half of the limit at most


FLOODS = {
    "checks": STATUS * 400,
    "unknown verbs": resp.message(b"DANCE", b"1") * 400,
    "no array": b"nonsense\r\n" * 2000,
    "withdrawals": resp.message(b"NEVERMIND", b"7") * 400,
    "half a message": b"*5\r\n$3\r\nASK\r\n$1\r\n1\r\n$9999\r\n",
    "a message without an end": b"*2\r\n$12000\r\n" + b"x" * 60_000,
}


@pytest.mark.parametrize("kind", FLOODS)
async def test_a_flood_on_one_connection_holds_up_no_other(kind):
    flood = FLOODS[kind]
    async with Place(cpus=32) as place:
        caller = await (await place.up()).caller()
        with ExitStack() as closing:
            floods = [socket.create_connection(("127.0.0.1", place.port)) for _ in range(8)]
            for each in floods:
                closing.enter_context(each)
                each.setblocking(False)

            async def pour(sock: socket.socket) -> None:
                with suppress(OSError):
                    while True:
                        with suppress(BlockingIOError):
                            sock.send(flood)
                        with suppress(BlockingIOError):
                            sock.recv(65536)
                        await anyio.sleep(0)

            async with anyio.create_task_group() as tasks:
                for each in floods:
                    tasks.start_soon(pour, each)
                for number in range(1, 21):
                    ident = f"{number:016x}"
                    await place.running(caller, ident)
                    await place.pool.finish(ident)
                    assert (await caller.answer(1.0))[:2] == (number, "done")
                tasks.cancel_scope.cancel()
        assert place.clean is None and not place.node.requests
        await until(lambda: len(place.node.listeners[0].table.connections) == 1, 4.0)


async def test_hundreds_withdrawn_at_once_leave_nothing_behind():
    async with Place(cpus=2, **{"memory-kb": 1e6}) as place:
        await place.up()
        peers = [Peer(place.port) for _ in range(12)]
        for at, peer in enumerate(peers):
            peer.send(b"".join(asking(f"{at:08x}{tag:08x}", tag=tag) for tag in range(1, 33)))
        for peer in peers:
            peer.send(b"".join(resp.message(b"NEVERMIND", b"%d" % tag) for tag in range(1, 33)))
        await until(lambda: all(one.client_gone or one.answered for one in place.node.requests.values()))
        for one in list(place.node.requests.values()):
            await until(lambda one=one: place.pool.told("spawn", one.received.id_hex))
            await place.pool.finish(one.received.id_hex, end="broken_off")
        await until(lambda: not place.node.requests)
        for peer in peers:
            peer.sock.close()
        await until(lambda: not place.node.listeners[0].table.connections)
