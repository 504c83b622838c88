"""Link failures and address changes that race other events.

No notification or command may be handled twice, and none may be lost that can safely be sent again.
"""

import json
import os
from base64 import b64encode
from functools import partial
from types import SimpleNamespace

import anyio
import pytest

from nickelslip.admission.interface import RequestState, RetrySafety
from nickelslip.server.close_reasons import CloseReason
from nickelslip.server.command_delivery import ResendDecision, resend_decision
from nickelslip.server.worker_pool_commands import ResumeWithoutCall, ResumeWithReply, StartRun
from nickelslip.server.worker_pool_connection import LinkState
from tests.support.request_ids import A, B
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


def send_unread_line(rig: ServerRig, **line: object) -> None:
    """Send a line from the worker pool into the kernel's receive buffer, before the server can read it."""
    sock = rig.pool.stream.extra(anyio.abc.SocketAttribute.raw_socket)
    os.write(sock.fileno(), json.dumps(line).encode() + b"\n")


@pytest.mark.parametrize("order", ("before", "after"))
async def test_a_run_end_that_races_a_link_failure_is_delivered_once(order):
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A, "pay")
        rig.pool.seq += 1
        notification = {
            "op": "finished",
            "seq": 1,
            "id": A,
            "end": "fine",
            "ms": 20.0,
            "body": b64encode(b"once").decode(),
        }
        rig.pool.notifications.append(notification)
        stream = rig.server.worker_pool._connection._stream
        if order == "before":
            send_unread_line(rig, **notification)
        # In the same event loop step: the reader that was woken finds the stream closed.
        stream.abort(CloseReason.RESET)
        assert (await client.receive_answer())[1::2] == ("done", b"once")
        await wait_until(lambda: len(rig.pool.received_binds()) == 2 and not rig.server.requests)
        assert rig.pool.received_binds()[1]["seq"] == 0 and len(rig.pool.received_commands("spawn", A)) == 1


@pytest.mark.parametrize("first_start", ("lost", "running"))
async def test_an_unconfirmed_non_idempotent_start_is_resent_after_its_request_if_runs_cannot_be_stopped(first_start):
    async with ServerRig(cpus=1, **{"stop-mode": "silent"}) as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        rig.pool.answers_gauge_queries = False
        await rig.start_run(client, A, "pay", timeout=200)
        rig.pool.answers_gauge_queries = True
        await rig.pool.abort_connections()
        await wait_until(lambda: rig.server.worker_pool.is_up)
        # The run may have started, so the command is not resent while the request is open.
        assert len(rig.pool.received_commands("spawn", A)) == 1
        assert (await client.receive_answer())[1] == "error"
        await wait_until(lambda: len(rig.pool.received_commands("spawn", A)) == 2)
        await rig.pool.finish(A, end="late" if first_start == "lost" else "fine")
        await wait_until(lambda: not rig.server.requests)
        await rig.start_run(client, B, "pay")  # the only slot is free again
        assert len(rig.pool.received_commands("spawn", A)) == 2


async def test_a_link_failure_during_a_replacement_neither_loses_nor_repeats_commands():
    async with ServerRig(cpus=4) as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A, "pay")
        old = rig.pool
        old.answers_gauge_queries = False  # written commands stay unconfirmed, so the move waits
        await rig.move_services()
        await wait_until(lambda: rig.server.worker_pool._connection.state is LinkState.MOVING)
        await client.send_request(B, "pay")  # not sent on any link yet
        await old.abort_connections()
        await wait_until(lambda: rig.pool.received_commands("spawn", B))
        assert not old.received_commands("spawn", B) and len(rig.pool.received_commands("spawn", B)) == 1
        for tag, request_id in ((1, A), (2, B)):
            await rig.pool.finish(request_id)
            assert (await client.receive_answer())[:2] == (tag, "done")
        assert not rig.pool.received_commands("spawn", A)  # non-idempotent: an unconfirmed start is not resent


@pytest.mark.parametrize("returns_to_first", (False, True))
async def test_two_moves_in_one_event_loop_step_end_at_the_newest_address(returns_to_first):
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        first, first_config = rig.pool, dict(rig.config)
        await rig.move_services()
        second = rig.pool
        if returns_to_first:
            rig.pool, rig.config = first, first_config
            rig.server.reload()
        else:
            await rig.move_services()
        newest = rig.pool
        if not returns_to_first:  # the first link may take commands until its replacement begins
            await wait_until(
                lambda: rig.server.worker_pool._connection.state is not LinkState.UP or newest.received_binds()
            )
        await client.send_request(A)
        await wait_until(lambda: newest.received_commands("spawn", A))
        await newest.finish(A)
        assert (await client.receive_answer())[:2] == (1, "done") and not second.received_commands("spawn", A)
        assert returns_to_first or not first.received_commands("spawn", A)


async def test_load_reports_resume_when_the_directory_returns_at_another_address():
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        await wait_until(lambda: rig.reports)
        await rig.stop_directory()
        await anyio.sleep(0.6)  # a report is due in this time, and is not received
        rig.reports.clear()
        rig.config["lookup"] = f"127.0.0.1:{await rig.start_directory()}"
        rig.server.reload()
        await wait_until(lambda: rig.reports, 1.0)
        assert rig.server.directory_reporter._is_reachable and rig.exited_cleanly is None


START, REPLY, SKIP_CALL = StartRun, partial(ResumeWithReply, body=b"reply"), partial(ResumeWithoutCall, call_seq=7)
SEND_AGAIN, START_OVER, DO_NOT_SEND = ResendDecision.SEND_AGAIN, ResendDecision.START_OVER, ResendDecision.DO_NOT_SEND


@pytest.mark.parametrize(
    ("command", "changed_fields", "can_stop_runs", "decision"),
    (
        (START, {}, True, SEND_AGAIN),
        (START, {}, False, SEND_AGAIN),
        (START, {"safety": RetrySafety.IDEMPOTENCY_KEY}, True, DO_NOT_SEND),
        (START, {"safety": RetrySafety.NON_IDEMPOTENT}, True, DO_NOT_SEND),
        (START, {"has_notification_since_last_command": True}, True, DO_NOT_SEND),  # it is known to have arrived
        (START, {"has_unfinished_run": False}, True, DO_NOT_SEND),
        (START, {"state": RequestState.CANCELLED}, True, DO_NOT_SEND),
        (REPLY, {}, True, START_OVER),
        (REPLY, {}, False, DO_NOT_SEND),
        (REPLY, {"safety": RetrySafety.NON_IDEMPOTENT}, True, DO_NOT_SEND),
        (REPLY, {"has_notification_since_last_command": True}, True, DO_NOT_SEND),
        (REPLY, {"state": RequestState.ORPHANED}, True, DO_NOT_SEND),
        (SKIP_CALL, {"state": RequestState.DEGRADED}, True, SEND_AGAIN),
        (SKIP_CALL, {"state": RequestState.DEGRADED, "safety": RetrySafety.NON_IDEMPOTENT}, False, SEND_AGAIN),
        (
            SKIP_CALL,
            {"state": RequestState.DEGRADED, "seq": 8},
            True,
            DO_NOT_SEND,
        ),  # the run is waiting for a later call
        (SKIP_CALL, {}, True, DO_NOT_SEND),
    ),
)
def test_a_possibly_lost_command_is_resent_only_if_a_duplicate_does_no_harm(
    command, changed_fields, can_stop_runs, decision
):
    fields = {
        "state": RequestState.RUNNING,
        "has_unfinished_run": True,
        "has_notification_since_last_command": False,
        "seq": 7,
    }
    fields |= {"safety": RetrySafety.IDEMPOTENT} | changed_fields
    request = SimpleNamespace(
        state=fields["state"],
        has_unfinished_run=fields["has_unfinished_run"],
        has_notification_since_last_command=fields["has_notification_since_last_command"],
        call=SimpleNamespace(seq=fields["seq"]),
        received=SimpleNamespace(traffic_class="read"),
        generation=SimpleNamespace(retry_safety_by_class={"read": fields["safety"]}),
    )
    assert resend_decision(command(request), can_stop_runs) is decision
