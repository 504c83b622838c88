"""The link to the worker pool when it breaks, moves to a new address, comes up late or does not respond."""

import gc
import time
import weakref

import anyio
import pytest

from nickelslip.admission.controller import AdmissionController
from nickelslip.server import worker_pool_connection
from nickelslip.server.buffer_pool import BUFFER_BYTES
from nickelslip.server.close_reasons import CloseReason
from nickelslip.server.request_events import CallRequested
from tests.support.fake_worker_pool import CALL_BODY
from tests.support.request_ids import A, B, C
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio


async def test_a_new_link_resumes_after_the_last_notification_and_each_is_handled_once():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A)
        await rig.start_run(client, B)
        await rig.pool.finish(A)
        assert (await client.receive_answer())[:2] == (1, "done")
        await rig.pool.abort_connections()
        await rig.pool.finish(B)  # while there is no link
        assert (await client.receive_answer())[:2] == (2, "done")
        assert [each["seq"] for each in rig.pool.received if each["op"] == "bind"] == [0, 1]
        await rig.pool.send_line(**rig.pool.notifications[0])
        await rig.pool.finish("00000000000000ff")
        await rig.pool.notify("chatter", A, end="hello")
        await rig.pool.send_line(op="unknown", end="suspend", id=A)
        await rig.start_run(client, C)
        await rig.pool.finish(C)
        assert (await client.receive_answer())[:2] == (3, "done")
        assert [len(rig.pool.received_commands("spawn", request_id)) for request_id in (A, B, C)] == [1, 1, 1]


async def test_only_idempotent_starts_are_resent_after_a_broken_link():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        rig.pool.answers_gauge_queries = False  # so that no command is confirmed
        await rig.start_run(client, A, "read")
        await rig.start_run(client, B, "pay", timeout=600)
        rig.pool.answers_gauge_queries = True
        await rig.pool.abort_connections()
        await wait_until(lambda: len(rig.pool.received_commands("spawn", A)) == 2)
        await wait_until(lambda: rig.server.worker_pool.is_up)
        assert len(rig.pool.received_commands("spawn", B)) == 1
        # The request may have run, so it is neither rejected nor retried.
        assert (await client.receive_answer())[:2] == (2, "error")


async def test_a_link_that_breaks_again_while_resuming_keeps_unconfirmed_runs_and_delays_no_other_run():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        rig.pool.answers_gauge_queries = False
        await rig.start_run(client, A)
        await rig.pool.abort_connections()
        await wait_until(lambda: rig.pool.connection_count == 2 and rig.server.worker_pool.is_up)
        await rig.start_run(client, B)  # although no query is answered
        assert len(rig.pool.received_commands("spawn", A)) == 1
        rig.pool.answers_gauge_queries = True
        await rig.pool.abort_connections()
        await wait_until(
            lambda: (
                len(rig.pool.received_commands("spawn", A)) == 2 and len(rig.pool.received_commands("spawn", B)) == 2
            )
        )
        for tag, request_id in ((1, A), (2, B)):
            await rig.pool.finish(request_id)
            assert (await client.receive_answer())[:2] == (tag, "done")


async def test_a_command_issued_after_its_link_closed_is_sent_on_the_next_link():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A, "pay")
        rig.server.worker_pool._connection._stream.abort(CloseReason.RESET)  # the reading task does not notice this yet
        rig.server.worker_pool.resume_with_reply(rig.server.requests[int(A, 16)], b"reply")
        await wait_until(lambda: rig.pool.received_commands("supply", A))
        assert rig.pool.connection_count == 2 and len(rig.pool.received_commands("spawn", A)) == 1


async def test_commands_wait_until_the_worker_pool_is_reachable_again():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        port = rig.pool.port
        await rig.pool.stop()
        await client.send_request(A)
        await wait_until(lambda: rig.server.requests)
        await anyio.sleep(0.1)
        assert not rig.pool.received_commands("spawn", A)
        await rig.pool.listen(rig._tasks, port)
        await wait_until(lambda: rig.pool.received_commands("spawn", A))
        await rig.pool.finish(A)
        assert (await client.receive_answer())[:2] == (1, "done")


async def test_new_addresses_are_adopted_under_load_and_an_invalid_file_changes_nothing():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_call(client, A, "pay")
        await rig.start_run(client, B, "pay")
        old_pool, old_records = rig.pool, rig.records
        rig.server.reload()  # no change, so the link is kept
        config_before = dict(rig.config)
        rig.config["pool"] = "nowhere"
        rig.server.reload()
        rig.config = {**config_before, "stop_ms": 5}  # this change needs a restart
        await rig.move_services()
        rig.pool.answers_gauge_queries = False  # no command is confirmed at the new address
        await wait_until(lambda: rig.pool.received and rig.server.worker_pool.is_up)
        assert rig.pool.received[0] == {"op": "bind", "seq": 1} and old_pool.connection_count == 1
        assert rig.server.generation.config.stop_ms == 700
        await rig.start_run(client, C, "pay")
        assert not rig.pool.received_commands("spawn", A) and not rig.pool.received_commands("spawn", B)
        await old_records.reply(A, "DONE", b"late")  # a call in flight continues at the old address
        await wait_until(lambda: rig.pool.received_commands("supply", A))
        await rig.pool.block(C)
        await wait_until(lambda: ("OP", C, CALL_BODY) in rig.records.received)
        for tag, request_id in ((1, A), (2, B), (3, C)):
            await rig.pool.finish(request_id)
            assert (await client.receive_answer())[:2] == (tag, "done")
        rig.reports.clear()
        await wait_until(lambda: rig.reports)


async def test_an_address_change_reverted_before_it_completes_leaves_a_working_link():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        old, config_before = rig.pool, dict(rig.config)
        old.answers_gauge_queries = False  # so that the move waits for a confirmation
        await rig.move_services()
        await wait_until(lambda: rig.server.worker_pool._connection.state is worker_pool_connection.LinkState.MOVING)
        rig.pool, rig.config = old, config_before
        rig.server.reload()
        await client.send_request(A)
        await wait_until(lambda: old.received_commands("spawn", A), 1.0)  # sooner than an unresponsive link is detected
        await old.finish(A)
        assert (await client.receive_answer())[:2] == (1, "done")


async def test_new_addresses_are_adopted_while_there_is_no_link():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.pool.stop()
        await client.send_request(A)
        await anyio.sleep(0.3)  # until the pauses between connection attempts are longer
        started_at = time.monotonic()
        await rig.move_services()
        first = rig.pool
        await rig.move_services()
        await wait_until(lambda: first.received_commands("spawn", A) or rig.pool.received_commands("spawn", A))
        await wait_until(lambda: rig.pool.received_binds() and rig.server.worker_pool.is_up)
        assert time.monotonic() - started_at < 0.3
        # Both addresses belong to the same worker pool, so the run is started at only one of them.
        assert len(first.received_commands("spawn", A)) + len(rig.pool.received_commands("spawn", A)) == 1


async def test_an_address_superseded_just_as_its_connection_opened_is_not_bound(monkeypatch):
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        connect, superseded = worker_pool_connection.connect, []

        async def connect_and_change_address(*values):
            stream = await connect(*values)
            if not superseded:  # the address changes after the attempt has succeeded, too late to cancel it
                superseded.append(rig.pool)
                rig.config["pool"] = f"127.0.0.1:{newest.port}"
                rig.server.reload()
            return stream

        await rig.pool.stop()
        await client.send_request(A)
        newest = await rig.start_pool_at_new_address()
        monkeypatch.setattr(worker_pool_connection, "connect", connect_and_change_address)
        await rig.move_services()
        await wait_until(lambda: newest.received_commands("spawn", A) and rig.server.worker_pool.is_up)
        assert superseded and not superseded[0].received_binds()


async def test_a_non_idempotent_run_whose_start_was_lost_frees_its_slot_once_answered():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        rig.pool.answers_gauge_queries = False
        await rig.start_run(client, A, "pay", timeout=200)
        rig.pool.answers_gauge_queries = True
        await rig.pool.abort_connections()  # the start is lost, so the run never exists
        assert (await client.receive_answer())[:2] == (1, "error")
        await wait_until(lambda: not rig.server.requests)
        assert len(rig.pool.received_commands("spawn", A)) == 1


async def test_a_reply_lost_with_a_link_restarts_only_an_idempotent_run():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_call(client, A)
        await rig.start_call(client, B, "pay")
        rig.pool.answers_gauge_queries = False
        for request_id in (A, B):
            await rig.records.reply(request_id, "DONE", b"")
            await wait_until(lambda request_id=request_id: rig.pool.received_commands("supply", request_id))
        rig.pool.answers_gauge_queries = True
        await rig.pool.abort_connections()
        await wait_until(lambda: rig.pool.received_commands("suspend", A))
        await rig.pool.finish(A, end="broken_off")
        await wait_until(lambda: len(rig.pool.received_commands("spawn", A)) == 2)
        assert not rig.pool.received_commands("suspend", B) and len(rig.pool.received_commands("supply", B)) == 1


async def test_a_start_that_was_not_executed_and_a_failed_run_fail_their_requests():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A, "pay")
        await rig.pool.send_line(op="unknown", end="spawn", id=A)
        assert (await client.receive_answer())[:2] == (1, "error")
        await rig.start_run(client, B, "pay")
        await rig.pool.finish(B, end="fault")
        assert (await client.receive_answer())[:2] == (2, "error")


@pytest.mark.parametrize(
    "line", (b"nonsense\n", b'{"op":"finished","seq":"x"}\n', b"[1]\n", b"x" * (3 * BUFFER_BYTES) + b"\n")
)
async def test_a_malformed_notification_is_skipped(line):
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A)
        await rig.pool.stream.send(line)
        await rig.pool.finish(A)
        assert (await client.receive_answer())[:2] == (1, "done") and rig.pool.connection_count == 1


async def test_gauges_are_passed_to_the_timer_which_also_fires_without_them(monkeypatch):
    calls = []
    timer_fired = AdmissionController.timer_fired
    monkeypatch.setattr(
        AdmissionController,
        "timer_fired",
        lambda self, now, gauges: calls.append((now, gauges)) or timer_fired(self, now, gauges),
    )
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        await wait_until(
            lambda: any(gauges.cpu_utilization == 0.5 and gauges.connection_count == 3 for _, gauges in calls)
        )
        rig.pool.answers_gauge_queries = False
        previous_count = len(calls)
        await wait_until(lambda: len(calls) > previous_count + 3)
        assert calls[-1][1].cpu_utilization is None
        assert all(later - earlier < 200 for (earlier, _), (later, _) in zip(calls, calls[1:], strict=False))


async def test_a_due_timer_fires_before_later_events(monkeypatch):
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A)
        calls = []
        for name in ("timer_fired", "call_requested"):
            call = getattr(AdmissionController, name)
            monkeypatch.setattr(
                AdmissionController,
                name,
                lambda self, now, *values, name=name, call=call: calls.append(name) or call(self, now, *values),
            )
        rig.server.wake_schedule.wake_at_ms = 0.0  # overdue; the timer's own task is not woken
        rig.server.requests[int(A, 16)].deliver(CallRequested(1, b""))
        await wait_until(lambda: "call_requested" in calls)
        assert calls[:2] == ["timer_fired", "call_requested"]


async def test_an_unresponsive_link_is_replaced(monkeypatch):
    monkeypatch.setattr(worker_pool_connection, "MAX_QUERIES_WITHOUT_READ", 3)
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        rig.pool.answers_gauge_queries = False
        await wait_until(lambda: rig.pool.connection_count == 2)
        rig.pool.answers_gauge_queries = True
        await rig.start_run(client, A)
        await rig.pool.finish(A)
        assert (await client.receive_answer())[:2] == (1, "done")


async def test_load_balancer_connections_cannot_use_the_buffers_reserved_for_the_worker_pool():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A)
        rig.server.buffers._unallocated_count = rig.server.buffers._reserved_count - len(rig.server.buffers._free)
        other, incomplete = await rig.connect_client(), await rig.connect_client()
        await other.send("STATUS", "1", "")
        assert (await other.receive_answer())[1] == "healthy"  # a complete message needs no buffer of its own
        await incomplete.stream.send(b"*2\r\n$6\r\nSTA")
        assert await incomplete.is_closed_by_server()
        assert rig.server.buffers.acquire(may_use_reserve=False) is None
        await rig.pool.finish(A)
        assert (await client.receive_answer())[:2] == (1, "done") and rig.pool.connection_count == 1


async def test_an_unconfirmed_run_that_the_worker_pool_does_not_know_is_not_kept():
    """Guards against requests that stay in memory for good after their link broke."""
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        rig.pool.answers_gauge_queries = False  # so that the start is not confirmed
        await rig.start_run(client, A, "pay")
        request = weakref.ref(rig.server.requests[int(A, 16)])
        rig.pool.answers_gauge_queries = True
        await rig.pool.abort_connections()
        await wait_until(lambda: len(rig.pool.received_binds()) == 2)
        await wait_until(lambda: rig.server.worker_pool.is_up)
        await rig.pool.send_line(op="unknown", end="spawn", id=A)
        assert (await client.receive_answer())[:2] == (1, "error")
        await wait_until(lambda: not rig.server.requests)
        await rig.start_run(client, B)
        await rig.pool.finish(B)
        assert (await client.receive_answer())[:2] == (2, "done")
        gc.collect()
        assert request() is None
