"""The worker pool's link, ended just as something else happens to it: nothing is told twice, and nothing is lost that
could be told again."""

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
from nickelslip.server.worker_pool_connection import LinkState
from nickelslip.server.worker_pool_protocol import ResumeWithoutCall, ResumeWithReply, StartRun
from tests.support.request_ids import A, B
from tests.support.server_rig import ServerRig as Place
from tests.support.waiting import wait_until as until

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


def unread(place: Place, **line: object) -> None:
    """Put a line of the worker pool's into the system's hands, unread here."""
    sock = place.pool.stream.extra(anyio.abc.SocketAttribute.raw_socket)
    os.write(sock.fileno(), json.dumps(line).encode() + b"\n")


@pytest.mark.parametrize("order", ("before", "after"))
async def test_an_end_that_crosses_the_breaking_of_the_link_is_told_once(order):
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A, "pay")
        place.pool.seq += 1
        notice = {"op": "finished", "seq": 1, "id": A, "end": "fine", "ms": 20.0, "body": b64encode(b"once").decode()}
        place.pool.notices.append(notice)
        stream = place.node.worker_pool._connection._stream
        if order == "before":
            unread(place, **notice)
        stream.abort(CloseReason.RESET)  # in the same step: the task that was woken finds it ended
        assert (await caller.answer())[1::2] == ("done", b"once")
        await until(lambda: len(place.pool.binds()) == 2 and not place.node.requests)
        assert place.pool.binds()[1]["seq"] == 0 and len(place.pool.told("spawn", A)) == 1


@pytest.mark.parametrize("was", ("lost", "running"))
async def test_a_single_use_start_in_doubt_is_asked_after_once_it_is_over_where_runs_cannot_be_stopped(was):
    async with Place(cpus=1, **{"stop-mode": "silent"}) as place:
        caller = await (await place.up()).caller()
        place.pool.measures = False
        await place.running(caller, A, "pay", timeout=200)
        place.pool.measures = True
        await place.pool.cut()
        await until(lambda: place.node.worker_pool.is_up)
        assert len(place.pool.told("spawn", A)) == 1  # it may run: not told again while its answer is owed
        assert (await caller.answer())[1] == "error"
        await until(lambda: len(place.pool.told("spawn", A)) == 2)
        await place.pool.finish(A, end="late" if was == "lost" else "fine")
        await until(lambda: not place.node.requests)
        await place.running(caller, B, "pay")  # the one slot is free
        assert len(place.pool.told("spawn", A)) == 2


async def test_a_link_that_dies_while_it_is_being_replaced_loses_and_doubles_nothing():
    async with Place(cpus=4) as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A, "pay")
        old = place.pool
        old.measures = False  # what was written on it is not proven, so that the move waits
        await place.move()
        await until(lambda: place.node.worker_pool._connection.state is LinkState.MOVING)
        await caller.ask(B, "pay")  # told to nobody yet
        await old.cut()
        await until(lambda: place.pool.told("spawn", B))
        assert not old.told("spawn", B) and len(place.pool.told("spawn", B)) == 1
        for tag, ident in ((1, A), (2, B)):
            await place.pool.finish(ident)
            assert (await caller.answer())[:2] == (tag, "done")
        assert not place.pool.told("spawn", A)  # single-use: where its start is in doubt it is not started again


@pytest.mark.parametrize("back", (False, True))
async def test_two_moves_within_one_step_end_at_the_newest_address(back):
    async with Place() as place:
        caller = await (await place.up()).caller()
        first, told = place.pool, dict(place.config)
        await place.move()
        second = place.pool
        if back:
            place.pool, place.config = first, told
            place.node.reload()
        else:
            await place.move()
        newest = place.pool
        if not back:  # until it is being replaced the first link is up, and rightly takes what comes
            await until(lambda: place.node.worker_pool._connection.state is not LinkState.UP or newest.binds())
        await caller.ask(A)
        await until(lambda: newest.told("spawn", A))
        await newest.finish(A)
        assert (await caller.answer())[:2] == (1, "done") and not second.told("spawn", A)
        assert back or not first.told("spawn", A)


async def test_a_directory_that_goes_quiet_moves_and_comes_back_is_told_on():
    async with Place() as place:
        await place.up()
        await until(lambda: place.reports)
        await place.directory_down()
        await anyio.sleep(0.6)  # a report falls due meanwhile, and goes nowhere
        place.reports.clear()
        place.config["lookup"] = f"127.0.0.1:{await place.directory_up()}"
        place.node.reload()
        await until(lambda: place.reports, 1.0)
        assert place.node.directory_reporter._is_reachable and place.clean is None


START, REPLY, SKIP = StartRun, partial(ResumeWithReply, body=b"reply"), partial(ResumeWithoutCall, call_seq=7)
AGAIN, OVER, LEAVE = ResendDecision.SEND_AGAIN, ResendDecision.START_OVER, ResendDecision.DO_NOT_SEND


@pytest.mark.parametrize(
    ("command", "changed", "can_stop_runs", "decision"),
    (
        (START, {}, True, AGAIN),
        (START, {}, False, AGAIN),
        (START, {"safety": RetrySafety.IDEMPOTENCY_KEY}, True, LEAVE),
        (START, {"safety": RetrySafety.NON_IDEMPOTENT}, True, LEAVE),
        (START, {"heard_since_last_command": True}, True, LEAVE),  # it has arrived
        (START, {"has_unfinished_run": False}, True, LEAVE),
        (START, {"state": RequestState.CANCELLED}, True, LEAVE),
        (REPLY, {}, True, OVER),
        (REPLY, {}, False, LEAVE),
        (REPLY, {"safety": RetrySafety.NON_IDEMPOTENT}, True, LEAVE),
        (REPLY, {"heard_since_last_command": True}, True, LEAVE),
        (REPLY, {"state": RequestState.ORPHANED}, True, LEAVE),
        (SKIP, {"state": RequestState.DEGRADED}, True, AGAIN),
        (SKIP, {"state": RequestState.DEGRADED, "safety": RetrySafety.NON_IDEMPOTENT}, False, AGAIN),
        (SKIP, {"state": RequestState.DEGRADED, "seq": 8}, True, LEAVE),  # it stands at a later call
        (SKIP, {}, True, LEAVE),
    ),
)
def test_a_command_that_may_be_lost_is_sent_again_only_where_arriving_twice_does_no_harm(
    command, changed, can_stop_runs, decision
):
    facts = {"state": RequestState.RUNNING, "has_unfinished_run": True, "heard_since_last_command": False, "seq": 7}
    facts |= {"safety": RetrySafety.IDEMPOTENT} | changed
    request = SimpleNamespace(
        state=facts["state"],
        has_unfinished_run=facts["has_unfinished_run"],
        heard_since_last_command=facts["heard_since_last_command"],
        call=SimpleNamespace(seq=facts["seq"]),
        received=SimpleNamespace(traffic_class="read"),
        generation=SimpleNamespace(retry_safety_by_class={"read": facts["safety"]}),
    )
    assert resend_decision(command(request), can_stop_runs) is decision
