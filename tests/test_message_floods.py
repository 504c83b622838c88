"""A client that sends at full speed must not delay the requests of others, nor make the server look overloaded."""

import anyio
import pytest

from nickelslip.admission.controller import AdmissionController
from nickelslip.server import load_balancer_connection, resp
from nickelslip.server.load_balancer_connection import FIRST_BYTE_TIMEOUT_MS, MAX_WITHDRAWN_RUNS
from nickelslip.server.processing_limit import (
    MAX_CREDIT_S,
    MAX_PROCESSOR_FRACTION,
    MAX_TURN_S,
    MIN_TURN_S,
    ProcessingLimit,
)
from nickelslip.server.worker_pool_link import WorkerPoolLink
from tests.support.load_balancer_client import RawClient, encode_request
from tests.support.request_ids import A
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio


@pytest.fixture(autouse=True)
def limit_from_the_first_message(monkeypatch):
    monkeypatch.setattr(load_balancer_connection, "MAX_UNLIMITED_MESSAGES", -1)


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


def request_id(number: int) -> str:
    return f"{number:016x}"


def withdrawn_request(tag: int, **fields: object) -> bytes:
    return encode_request(request_id(tag), tag=tag, **fields) + resp.message(b"NEVERMIND", b"%d" % tag)


async def test_requests_that_wait_behind_those_of_their_own_client_do_not_count_as_read_late(monkeypatch):
    """Guards against a flood on one connection that lowers the concurrency limit, so that others are rejected."""
    arrivals, receive = [], AdmissionController.request_received

    def record(controller, now_ms, arrival):
        arrivals.append(arrival)
        return receive(controller, now_ms, arrival)

    monkeypatch.setattr(AdmissionController, "request_received", record)
    monkeypatch.setattr(ProcessingLimit, "pause_after", lambda limit, now_s, turn_s: 0.01)
    async with ServerRig(cpus=32) as rig:
        await rig.wait_until_serving()
        peer = RawClient(rig.port)
        for tag in range(1, 6):
            peer.send(withdrawn_request(tag))
            await wait_until(lambda tag=tag: rig.pool.received_commands("spawn", request_id(tag)))
            await rig.pool.finish(request_id(tag), end="broken_off")
            await wait_until(lambda: not rig.server.requests)
        counted = [not arrival.may_be_delayed_by_client for arrival in arrivals]
        assert counted == [True] + [False] * 4
        peer.send(encode_request(A, tag=900))
        await wait_until(lambda: rig.pool.received_commands("spawn", A))
        await rig.pool.finish(A)
        await peer.receive_until(b"result")
        peer.send(withdrawn_request(901))
        await wait_until(lambda: arrivals[-1].id == 901)
        assert not arrivals[-1].may_be_delayed_by_client  # a request of the connection was completed


async def test_a_client_without_a_completed_request_is_served_a_few_messages_at_a_time(monkeypatch):
    """Guards against one client whose messages, many in one read, keep all others waiting."""
    pauses = []
    monkeypatch.setattr(ProcessingLimit, "turn_s", lambda limit, now_s: 0.0)
    monkeypatch.setattr(ProcessingLimit, "pause_after", lambda limit, now_s, turn_s: pauses.append(turn_s) or 0.1)
    async with ServerRig(cpus=32) as rig:
        await rig.wait_until_serving()
        peer = RawClient(rig.port)
        peer.send(b"".join(resp.message(b"STATUS", b"%d" % tag) for tag in range(1, 6)))
        for tag in range(1, 6):
            received = await peer.receive_until(b"healthy")
            assert received.count(b"healthy") == 1 and len(pauses) == tag


async def test_runs_of_withdrawn_requests_of_one_client_are_limited(monkeypatch):
    """Guards against one client that takes the running slots by requests which it withdraws at once."""
    monkeypatch.setattr(load_balancer_connection, "WITHDRAWN_RUNS_TIMEOUT_S", 0.5)
    async with ServerRig(cpus=32, **{"stop-mode": "silent", "memory-kb": 1e6}) as rig:
        await rig.wait_until_serving()
        peer = RawClient(rig.port)
        tags = range(1, 3 * MAX_WITHDRAWN_RUNS + 1)

        def started_count() -> int:
            return sum(bool(rig.pool.received_commands("spawn", request_id(tag))) for tag in tags)

        for tag in tags:
            peer.send(withdrawn_request(tag))
            await wait_until(lambda tag=tag: started_count() >= min(tag, MAX_WITHDRAWN_RUNS))
        await anyio.sleep(0.2)
        assert started_count() == MAX_WITHDRAWN_RUNS
        # More is read once the time is over, since the worker pool may not report the end of a run.
        peer.send(resp.message(b"STATUS", b"900"))
        await peer.receive_until(b"healthy")


def test_the_turns_of_all_clients_together_take_a_fraction_of_the_processor():
    limit = ProcessingLimit()
    turns_within_credit = round(MAX_CREDIT_S * MAX_PROCESSOR_FRACTION / 0.001)
    assert [limit.pause_after(10.0, 0.001) for _ in range(turns_within_credit)] == [0.0] * turns_within_credit
    pauses = [limit.pause_after(10.0, 0.001) for _ in range(5)]
    assert pauses == pytest.approx([0.001 / MAX_PROCESSOR_FRACTION * count for count in range(1, 6)])
    before_s = limit.pause_after(10.0, 0.0)
    assert limit.pause_after(10.0, 0.0) - before_s == pytest.approx(MIN_TURN_S / MAX_PROCESSOR_FRACTION)


def test_turns_get_shorter_the_more_clients_wait():
    """Guards against hundreds of clients whose turns together take the whole processor."""
    limit, now_s = ProcessingLimit(), 10.0
    assert limit.turn_s(now_s) == MAX_TURN_S
    busy_s = [0.0]
    wake_at_s = [now_s] * 400
    while now_s < 30.0:
        index = min(range(400), key=wake_at_s.__getitem__)
        now_s = max(now_s, wake_at_s[index])
        turn_s = max(MIN_TURN_S, limit.turn_s(now_s))
        busy_s.append(turn_s)
        now_s += turn_s
        wake_at_s[index] = now_s + limit.pause_after(now_s, turn_s)
    assert sum(busy_s) / 20.0 < 1.1 * MAX_PROCESSOR_FRACTION


async def test_commands_that_were_not_executed_are_logged_in_samples(monkeypatch):
    """Guards against a log that grows with each id which the worker pool does not know."""
    async with ServerRig(cpus=32) as rig:
        await rig.wait_until_serving()
        lines = []
        monkeypatch.setattr(rig.server.log, "warning", lambda event, **fields: lines.append(fields["count"]), False)
        link: WorkerPoolLink = rig.server.worker_pool
        for _ in range(100):
            link._log_not_executed(type("Notification", (), {"command_word": "spawn"}), is_known=True)
        assert lines == [1, 2, 4, 8, 16, 32, 64]


async def test_a_client_that_only_cancels_requests_which_it_never_sent_is_closed():
    """Guards against a client whose useless messages keep the server busy until they are all read."""
    async with ServerRig(cpus=32) as rig:
        await rig.wait_until_serving()
        peer = RawClient(rig.port)
        peer.send(resp.message(b"NEVERMIND", b"7") * 500)
        await peer.receive_to_end(FIRST_BYTE_TIMEOUT_MS / 4000)


async def test_the_first_messages_of_a_load_balancer_are_not_limited(monkeypatch):
    """Guards against reading new load balancers late, also where their requests are rejected."""
    monkeypatch.setattr(load_balancer_connection, "MAX_UNLIMITED_MESSAGES", 32)
    pauses = []
    monkeypatch.setattr(ProcessingLimit, "pause_after", lambda limit, now_s, turn_s: pauses.append(turn_s) or 0.0)
    async with ServerRig(cpus=32) as rig:
        await rig.wait_until_serving()
        peer = RawClient(rig.port)
        for tag in range(1, 41):
            peer.send(resp.message(b"STATUS", b"%d" % tag))
            await peer.receive_until(b"healthy")
            assert bool(pauses) == (tag > 33)
