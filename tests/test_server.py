"""The real server over loopback sockets, among stand-ins, with bounded waits and no bench."""

import asyncio
import errno
import gc
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from base64 import b64decode
from contextlib import ExitStack, suppress

import anyio
import pytest

from nickelslip.admission.controller import AdmissionController
from nickelslip.server import load_balancer_connection, resp, tagged_requests, worker_pool_connection
from nickelslip.server.buffer_pool import BUFFER_BYTES
from nickelslip.server.close_reasons import CloseReason
from nickelslip.server.lifecycle import Phase
from tests.helpers import A, B, C, Failing, Place, until

pytestmark = pytest.mark.anyio
CALL = b"\r\ncall\x00"


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


# Balancers


async def test_a_transaction_is_run_and_answered_with_the_result_unchanged():
    async with Place() as place:
        caller = await (await place.up()).caller()
        body = bytes(range(256)) * 8
        await place.running(caller, A, body=body)
        assert place.pool.told("spawn", A)[0]["class"] == "read"
        assert b64decode(place.pool.told("spawn", A)[0]["body"]) == body
        await place.pool.finish(A, body=body * 2)
        tag, word, fields, result = await caller.answer()
        assert (tag, word, result) == (1, "done", body * 2) and not {"holdoff", "nomore"} & set(fields)


async def test_messages_split_at_any_byte_and_many_in_one_read():
    async with Place() as place:
        caller = await (await place.up()).caller()
        for byte in resp.message(b"STATUS", b"7", b""):
            await caller.stream.send(bytes([byte]))
        assert (await caller.answer())[:2] == (7, "healthy")
        await caller.stream.send(b"".join(resp.message(b"STATUS", b"%d" % tag) for tag in range(1, 200)))
        assert [(await caller.answer())[0] for _ in range(1, 200)] == list(range(1, 200))


async def test_32_are_open_at_once_and_answered_in_any_order_and_one_more_fails():
    async with Place(cpus=32, **{"memory-kb": 1e6}) as place:
        caller = await (await place.up()).caller()
        idents = [f"{number:016x}" for number in range(1, 34)]
        for ident in idents:
            await caller.ask(ident)
        assert (await caller.answer())[:2] == (33, "error")
        await until(lambda: all(place.pool.told("spawn", ident) for ident in idents[:32]))
        for ident in reversed(idents[:32]):
            await place.pool.finish(ident, body=ident.encode())
        answers = [await caller.answer() for _ in range(32)]
        assert [(tag, body.decode()) for tag, _, _, body in answers] == [
            (number, idents[number - 1]) for number in range(32, 0, -1)
        ]


async def test_what_the_fields_say_reaches_the_module(monkeypatch):
    seen = []
    read = AdmissionController.request_received
    monkeypatch.setattr(
        AdmissionController,
        "request_received",
        lambda self, now, arrival: seen.append((now, arrival)) or read(self, now, arrival),
    )
    async with Place() as place:
        caller = await (await place.up()).caller()
        ts = int(time.time() * 1000) - 40
        await caller.ask(A, ts=ts, timeout=480, resent=1, subject="7f3a", need=12.5, via=9)
        await until(lambda: seen)
        now, arrival = seen[0]
        assert abs(arrival.deadline_at_ms - ts - 480) < 1e-6 and abs(arrival.read_delay_ms - (now - ts)) < 0.5
        assert (arrival.is_retry, arrival.client, arrival.memory_kb, arrival.tenant) == (True, 9, 12.5, "acme")
        assert arrival.has_key
        await caller.ask(B, ts=ts + 540)
        await until(lambda: len(seen) == 2)
        assert seen[1][1].read_delay_ms == 0 and not seen[1][1].is_retry and not seen[1][1].has_key


async def test_a_dismissal_says_when_to_come_back_and_the_weight_rides_on_all_answers():
    async with Place() as place:
        caller = await (await place.up()).caller()
        for number in range(1, 31):
            await caller.ask(f"{number:016x}", grade="pay", timeout=60, resent=1)
        answers = [await caller.answer() for _ in range(30)]
        dismissed = [fields for _, word, fields, _ in answers if word == "later"]
        assert dismissed and all(0 < float(fields["holdoff"]) <= 1000 for fields in dismissed if "holdoff" in fields)
        assert all(fields.get("nomore", "1") == "1" for fields in dismissed)
        assert not any({"holdoff", "nomore"} & set(fields) for _, word, fields, _ in answers if word != "later")
        await until(lambda: place.node.advertised_weight is not None)
        await caller.send("STATUS", "900", "")
        assert float((await caller.answer())[2]["signal"]) < 1


async def test_checks_are_answered_before_the_worker_pool_is_up_and_reports_go_out_from_then_on():
    async with Place() as place:
        caller = await place.caller()
        await caller.send("STATUS", "1", "")
        assert (await caller.answer())[:2] == (1, "healthy")
        await caller.ask(A)
        assert (await caller.answer())[1] == "error"  # none should come yet, but what comes is answered
        await anyio.sleep(0.6)
        assert not place.reports  # the list would name a server that can do nothing
        await place.up()
        await until(lambda: place.reports.count("PULSE n1 open") > 3, 2.5)  # since some of them get lost
        place.node.begin_shutdown()
        await until(lambda: place.reports.count("PULSE n1 closed") > 1, 0.3)  # a change is told at once, and again


@pytest.mark.parametrize(
    "bad",
    (
        {"req": "12"},
        {"req": "z" * 16},
        {"without": "req"},
        {"without": "ts"},
        {"ts": "soon"},
        {"ts": 1},
        {"ts": int(time.time() * 1000) + 60_000},
        {"need": 0},
        {"need": 2000},
        {"without": "need"},
        {"level": 1.0},
        {"level": -0.1},
        {"owner": "nobody"},
        {"without": "owner"},
        {"timeout": -5},
        {"timeout": "nan"},
        {"via": "x"},
        {"resent": 2},
        {"grade": "unknown"},
        {"body": bytes(2049)},
        {"via": "4,via=5"},
    ),
)
async def test_a_bad_field_gets_one_failure_and_all_else_goes_on(bad):
    async with Place() as place:
        caller = await (await place.up()).caller()
        await caller.ask(bad.pop("req", A), **bad)
        assert (await caller.answer())[:2] == (1, "error")
        await caller.ask(B, grade="read")
        await until(lambda: place.pool.told("spawn", B))
        await place.pool.finish(B)
        assert (await caller.answer())[:2] == (2, "done") and not place.pool.told("spawn", A)


async def test_an_unknown_verb_and_an_id_in_hand_get_one_failure_each():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await caller.send("DANCE", "5", "x")
        assert (await caller.answer())[:2] == (5, "error")
        await place.running(caller, A)
        await caller.ask(A)
        assert (await caller.answer())[:2] == (2, "error")
        await place.pool.finish(A)
        assert (await caller.answer())[:2] == (1, "done") and len(place.pool.told("spawn", A)) == 1


@pytest.mark.parametrize(
    "text",
    (
        b"GET / HTTP/1.1\r\n\r\n",
        b"*2\r\n$6\r\nSTATUS\r\n$1\r\n0\r\n",
        b"*2\r\n$6\r\nSTATUS\r\n$2\r\n-1\r\n",
        b"*1\r\n$6\r\nSTATUS\r\n",
        resp.message(b"STATUS", b"1"),
        b"*1\r\n$20000\r\n",
    ),
)
async def test_where_the_stream_is_lost_that_connection_alone_ends_with_all_answered(text):
    async with Place() as place:
        await place.up()
        caller, other = await place.caller(), await place.caller()
        await place.running(caller, A)
        await place.running(other, B)
        await caller.stream.send(text)  # among them a tag in use
        await place.pool.finish(A)
        assert (await caller.answer())[:2] == (1, "done") and await caller.ended()
        await place.pool.finish(B)
        assert (await other.answer())[:2] == (1, "done")


async def test_a_connection_that_ends_with_more_unread_is_not_reset_under_its_answers():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A)
        await caller.stream.send(b"nonsense\r\n" * 20_000)  # more than is read before the stream is given up
        await place.pool.finish(A)
        assert (await caller.answer())[:2] == (1, "done")
        with pytest.raises(anyio.EndOfStream):  # and not a broken resource
            await caller.stream.receive()


@pytest.mark.parametrize("how", ("nevermind", "close", "reset"))
async def test_a_caller_that_gives_up_is_told_once_and_its_run_goes_on_counting(how, monkeypatch):
    gone = []
    tell = AdmissionController.client_disconnected
    monkeypatch.setattr(
        AdmissionController,
        "client_disconnected",
        lambda self, now, ident: gone.append(ident) or tell(self, now, ident),
    )
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A)
        if how == "nevermind":
            await caller.send("NEVERMIND", "1")
            await caller.send("NEVERMIND", "1")
        elif how == "reset":
            caller.stream.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
            )
            await anyio.aclose_forcefully(caller.stream)
        else:
            await caller.stream.aclose()
        await until(lambda: place.pool.told("suspend", A))
        assert len(place.node.requests) == 1
        await place.pool.finish(A, end="broken_off")
        await until(lambda: not place.node.requests)
        assert gone == [int(A, 16)]


async def test_idle_connections_are_told_to_close_and_what_crosses_is_answered():
    async with Place() as place:
        await place.up()
        idle, busy = await place.caller(), await place.caller()
        await place.running(busy, A)
        place.node.advertised.idle_connection_timeout_ms = 50.0
        assert await idle.answer() == (0, "closing", {}, b"")
        await place.running(idle, B)
        await place.pool.finish(B)
        assert (await idle.answer())[:2] == (1, "done")
        await place.pool.finish(A)
        assert (await busy.answer())[:2] == (1, "done")


async def test_the_listener_survives_running_out_of_descriptors():
    async with Place() as place:
        await place.up()
        listener = place.node.listeners[0]._listener = Failing(place.listener, errno.EMFILE, errno.ENFILE, errno.EMFILE)
        caller = await place.caller()
        await caller.send("STATUS", "1", "")
        assert (await caller.answer())[1] == "healthy" and listener.accepts >= 4


async def test_where_places_run_short_the_silent_go_first_then_the_idle_and_never_one_with_work_open():
    async with Place(cpus=32) as place:
        await place.up()
        place.share_out(load_balancers=3)
        busy, silent, idle = [await place.caller() for _ in range(3)]
        await place.running(busy, A)
        await idle.send("STATUS", "1", "")
        assert (await idle.answer())[1] == "healthy"
        others = []
        for gone, ident in ((silent, B), (idle, C)):
            others.append(await place.caller())
            await place.running(others[-1], ident)
            assert await gone.ended()
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError, OSError)):  # all are busy
            late = await place.caller()
            await late.send("STATUS", "1", "")
            await late.answer()
        await place.pool.finish(A)
        assert (await busy.answer())[:2] == (1, "done")


async def test_one_that_does_not_read_its_answers_holds_up_nothing_and_is_ended(monkeypatch):
    async with Place(cpus=32) as place:
        await place.up()
        place.node.stall_ms = 300.0
        with socket.socket() as deaf:
            deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            deaf.connect(("127.0.0.1", place.port))
            deaf.setblocking(False)
            flood, sent = resp.message(b"STATUS", b"1") * 200, 0
            with anyio.move_on_after(2):
                while sent < 60_000_000:
                    try:
                        sent += deaf.send(flood)
                    except BlockingIOError:
                        await anyio.sleep(0.005)
                    except OSError:
                        break
            other = await place.caller()
            await other.send("STATUS", "1", "")
            assert (await other.answer())[1] == "healthy"
            await until(lambda: len(place.node.listeners[0].table.connections) == 1)
        assert place.node.buffers._unallocated_count > 900


async def test_a_flood_of_the_silent_does_not_crowd_out_one_that_has_just_asked():
    async with Place() as place:
        await place.up()
        place.share_out(load_balancers=20)
        with ExitStack() as flood:  # all of it stands at the door before the server can have looked
            asking = flood.enter_context(socket.create_connection(("127.0.0.1", place.port)))
            asking.sendall(resp.message(b"STATUS", b"1"))
            for _ in range(100):
                flood.enter_context(socket.create_connection(("127.0.0.1", place.port)))
            asking.setblocking(False)
            with anyio.fail_after(3):
                assert b"healthy" in await asyncio.get_running_loop().sock_recv(asking, 100)


@pytest.mark.parametrize("begun", (b"", b"*2\r\n$6\r\nSTA", resp.message(b"STATUS", b"1") + b"*2\r\n"))
async def test_a_first_message_and_the_rest_of_one_are_waited_for_only_so_long(begun, monkeypatch):
    monkeypatch.setattr(load_balancer_connection, "FIRST_BYTE_TIMEOUT_MS", 150.0)
    monkeypatch.setattr(load_balancer_connection, "MESSAGE_TIMEOUT_MS", 75.0)
    async with Place() as place:
        await place.up()
        vars(place.node.generation)["longest_timeout_ms"] = 150.0  # the longest that any caller waits
        caller, held = await place.caller(), await place.caller()
        await held.send("STATUS", "1", "")
        await caller.stream.send(begun)
        with anyio.move_on_after(0.1):  # a byte now and then is no message
            while begun:
                await anyio.sleep(0.02)
                await caller.stream.send(b"x" if begun.endswith(b"A") else b"")
        with suppress(anyio.EndOfStream):
            await caller.answer()
            assert await caller.ended()
        await anyio.sleep(0.1)
        assert (await held.answer())[1] == "healthy"  # one that asked once may hold its connection
        await held.send("STATUS", "2", "")
        assert (await held.answer())[1] == "healthy"


async def test_what_came_while_the_server_stood_still_is_not_late(monkeypatch):
    monkeypatch.setattr(load_balancer_connection, "FIRST_BYTE_TIMEOUT_MS", 0.0)
    async with Place() as place:
        await place.up()
        with socket.create_connection(("127.0.0.1", place.port)) as there:
            there.sendall(resp.message(b"STATUS", b"1"))  # before the server can have looked
            there.setblocking(False)
            assert b"healthy" in await asyncio.get_running_loop().sock_recv(there, 100)


async def test_what_is_too_large_is_refused_by_its_first_parts_and_the_flood_is_not_read_to_its_end():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A)
        await place.pool.finish(A)
        await caller.answer()
        await caller.stream.send(
            resp.message(b"ASK", b"9", b"read", b"req=1")[:-1].replace(b"*4", b"*5") + b"\n$60000000\r\n"
        )
        assert (await caller.answer())[:2] == (9, "error")
        sent, flood = 0, bytes(1 << 16)
        with suppress(anyio.BrokenResourceError), anyio.fail_after(3):
            while True:
                await caller.stream.send(flood)
                sent += len(flood)
        assert sent < 30_000_000


async def test_nothing_but_faults_ends_the_connection():
    async with Place() as place:
        caller = await (await place.up()).caller()
        for _ in range(load_balancer_connection.MAX_CONSECUTIVE_REFUSALS + 1):
            await caller.ask("bad")
        for tag in range(1, load_balancer_connection.MAX_CONSECUTIVE_REFUSALS + 2):
            assert (await caller.answer())[:2] == (tag, "error")
        assert await caller.ended()


async def test_nothing_is_left_of_transactions_that_are_over():
    async with Place() as place:
        caller = await (await place.up()).caller()
        caller.tag, sizes = 0, []
        for number in range(1, 601):
            ident = f"{number:016x}"
            tag = await place.running(caller, ident, body=bytes(2048))
            await place.pool.finish(ident, body=bytes(4096))
            assert (await caller.answer())[0] == tag
            place.pool.seen.clear()
            place.pool.notices.clear()
            if number in (200, 600):
                gc.collect()
                sizes.append(len(gc.get_objects()))
        await until(lambda: not place.node.requests)
        assert sizes[1] - sizes[0] < 400  # one object for each transaction between would be too many
        assert len(place.node.buffers._free) < 4


# The worker pool


async def test_a_link_that_breaks_is_resumed_by_the_last_notice_and_notices_count_once():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A)
        await place.running(caller, B)
        await place.pool.finish(A)
        assert (await caller.answer())[:2] == (1, "done")
        await place.pool.cut()
        await place.pool.finish(B)  # while there is no link
        assert (await caller.answer())[:2] == (2, "done")
        assert [each["seq"] for each in place.pool.seen if each["op"] == "bind"] == [0, 1]
        await place.pool.say(**place.pool.notices[0])
        await place.pool.finish("00000000000000ff")
        await place.pool.tell("chatter", A, end="hello")
        await place.pool.say(op="unknown", end="suspend", id=A)
        await place.running(caller, C)
        await place.pool.finish(C)
        assert (await caller.answer())[:2] == (3, "done")
        assert [len(place.pool.told("spawn", ident)) for ident in (A, B, C)] == [1, 1, 1]


async def test_of_starts_lost_with_a_link_only_the_replayable_are_repeated():
    async with Place() as place:
        caller = await (await place.up()).caller()
        place.pool.measures = False  # so that nothing proves that a command got there
        await place.running(caller, A, "read")
        await place.running(caller, B, "pay", timeout=600)
        place.pool.measures = True
        await place.pool.cut()
        await until(lambda: len(place.pool.told("spawn", A)) == 2)
        await until(lambda: place.node.worker_pool.is_up)
        assert len(place.pool.told("spawn", B)) == 1
        assert (await caller.answer())[:2] == (2, "error")  # it may have run: neither dismissed nor repeated


async def test_a_link_that_breaks_again_before_it_caught_up_keeps_what_is_doubtful_and_holds_up_nothing():
    async with Place() as place:
        caller = await (await place.up()).caller()
        place.pool.measures = False
        await place.running(caller, A)
        await place.pool.cut()
        await until(lambda: place.pool.links == 2 and place.node.worker_pool.is_up)
        await place.running(caller, B)  # although no question is answered
        assert len(place.pool.told("spawn", A)) == 1
        place.pool.measures = True
        await place.pool.cut()
        await until(lambda: len(place.pool.told("spawn", A)) == 2 and len(place.pool.told("spawn", B)) == 2)
        for tag, ident in ((1, A), (2, B)):
            await place.pool.finish(ident)
            assert (await caller.answer())[:2] == (tag, "done")


async def test_a_command_after_the_end_of_its_link_was_never_written_and_goes_out_on_the_next():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A, "pay")
        place.node.worker_pool._connection._stream.abort(CloseReason.RESET)  # of which its reader has not heard
        place.node.worker_pool.resume_with_reply(place.node.requests[int(A, 16)], b"reply")
        await until(lambda: place.pool.told("supply", A))
        assert place.pool.links == 2 and len(place.pool.told("spawn", A)) == 1


async def test_commands_wait_while_there_is_no_link_and_a_late_worker_pool_is_waited_for():
    async with Place() as place:
        caller = await (await place.up()).caller()
        port = place.pool.port
        await place.pool.down()
        await caller.ask(A)
        await until(lambda: place.node.requests)
        await anyio.sleep(0.1)
        assert not place.pool.told("spawn", A)
        await place.pool.listen(place._tasks, port)
        await until(lambda: place.pool.told("spawn", A))
        await place.pool.finish(A)
        assert (await caller.answer())[:2] == (1, "done")


async def test_new_addresses_are_taken_up_under_load_and_a_faulty_file_changes_nothing():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.calling(caller, A, "pay")
        await place.running(caller, B, "pay")
        old_pool, old_records = place.pool, place.records
        place.node.reload()  # nothing new: the link stays
        told = dict(place.config)
        place.config["pool"] = "nowhere"
        place.node.reload()
        place.config = {**told, "stop_ms": 5}  # which needs a restart
        await place.move()
        place.pool.measures = False  # and at the new place nothing more is proven
        await until(lambda: place.pool.seen and place.node.worker_pool.is_up)
        assert place.pool.seen[0] == {"op": "bind", "seq": 1} and old_pool.links == 1
        assert place.node.generation.config.stop_ms == 700
        await place.running(caller, C, "pay")
        assert not place.pool.told("spawn", A) and not place.pool.told("spawn", B)
        await old_records.reply(A, "DONE", b"late")  # a call goes on where it went
        await until(lambda: place.pool.told("supply", A))
        await place.pool.block(C)
        await until(lambda: ("OP", C, CALL) in place.records.seen)
        for tag, ident in ((1, A), (2, B), (3, C)):
            await place.pool.finish(ident)
            assert (await caller.answer())[:2] == (tag, "done")
        place.reports.clear()
        await until(lambda: place.reports)


async def test_a_move_that_is_taken_back_before_it_is_done_leaves_a_link_that_works():
    async with Place() as place:
        caller = await (await place.up()).caller()
        old, told = place.pool, dict(place.config)
        old.measures = False  # so that the move waits for its proof
        await place.move()
        await until(lambda: place.node.worker_pool._connection.state is worker_pool_connection.LinkState.MOVING)
        place.pool, place.config = old, told
        place.node.reload()
        await caller.ask(A)
        await until(lambda: old.told("spawn", A), 1.0)  # and not when the link is found to be silent
        await old.finish(A)
        assert (await caller.answer())[:2] == (1, "done")


async def test_new_addresses_are_taken_up_while_there_is_no_link_at_all():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.pool.down()
        await caller.ask(A)
        await anyio.sleep(0.3)  # by now there are longer pauses between tries
        begun = time.monotonic()
        await place.move()
        first = place.pool
        await place.move()
        await until(lambda: first.told("spawn", A) or place.pool.told("spawn", A))
        await until(lambda: place.pool.binds() and place.node.worker_pool.is_up)
        assert time.monotonic() - begun < 0.3
        # both are addresses of one worker pool, whose runs they share: told at either, it is told there once
        assert len(first.told("spawn", A)) + len(place.pool.told("spawn", A)) == 1


async def test_an_address_overtaken_just_as_its_connection_came_about_is_not_bound(monkeypatch):
    async with Place() as place:
        caller = await (await place.up()).caller()
        connect, overtaken = worker_pool_connection.connect, []

        async def connect_and_be_overtaken(*values):
            stream = await connect(*values)
            if not overtaken:  # what would cancel the attempt comes when there is nothing left to cancel
                overtaken.append(place.pool)
                place.config["pool"] = f"127.0.0.1:{newest.port}"
                place.node.reload()
            return stream

        await place.pool.down()
        await caller.ask(A)
        newest = await place.another_pool()
        monkeypatch.setattr(worker_pool_connection, "connect", connect_and_be_overtaken)
        await place.move()
        await until(lambda: newest.told("spawn", A) and place.node.worker_pool.is_up)
        assert overtaken and not overtaken[0].binds()


async def test_a_single_use_run_whose_start_was_lost_leaves_its_slot_when_it_has_been_answered():
    async with Place() as place:
        caller = await (await place.up()).caller()
        place.pool.measures = False
        await place.running(caller, A, "pay", timeout=200)
        place.pool.measures = True
        await place.pool.cut()  # and no run of it there will ever be
        assert (await caller.answer())[:2] == (1, "error")
        await until(lambda: not place.node.requests)
        assert len(place.pool.told("spawn", A)) == 1


async def test_a_reply_lost_with_a_link_starts_a_replayable_run_anew_and_no_other():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.calling(caller, A)
        await place.calling(caller, B, "pay")
        place.pool.measures = False
        for ident in (A, B):
            await place.records.reply(ident, "DONE", b"")
            await until(lambda ident=ident: place.pool.told("supply", ident))
        place.pool.measures = True
        await place.pool.cut()
        await until(lambda: place.pool.told("suspend", A))
        await place.pool.finish(A, end="broken_off")
        await until(lambda: len(place.pool.told("spawn", A)) == 2)
        assert not place.pool.told("suspend", B) and len(place.pool.told("supply", B)) == 1


async def test_a_start_that_is_not_known_fails_and_a_run_in_error_is_forfeited():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A, "pay")
        await place.pool.say(op="unknown", end="spawn", id=A)
        assert (await caller.answer())[:2] == (1, "error")
        await place.running(caller, B, "pay")
        await place.pool.finish(B, end="fault")
        assert (await caller.answer())[:2] == (2, "error")


@pytest.mark.parametrize(
    "line", (b"nonsense\n", b'{"op":"finished","seq":"x"}\n', b"[1]\n", b"x" * (3 * BUFFER_BYTES) + b"\n")
)
async def test_a_notice_that_cannot_be_read_is_passed_over(line):
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A)
        await place.pool.stream.send(line)
        await place.pool.finish(A)
        assert (await caller.answer())[:2] == (1, "done") and place.pool.links == 1


async def test_gauges_reach_the_timer_and_it_goes_on_where_they_never_come(monkeypatch):
    seen = []
    timer = AdmissionController.timer_fired
    monkeypatch.setattr(
        AdmissionController,
        "timer_fired",
        lambda self, now, gauges: seen.append((now, gauges)) or timer(self, now, gauges),
    )
    async with Place() as place:
        await place.up()
        await until(lambda: any(gauges.cpu_utilization == 0.5 and gauges.connection_count == 3 for _, gauges in seen))
        place.pool.measures = False
        begun = len(seen)
        await until(lambda: len(seen) > begun + 3)
        assert seen[-1][1].cpu_utilization is None
        assert all(later - earlier < 200 for (earlier, _), (later, _) in zip(seen, seen[1:], strict=False))


async def test_a_wake_that_is_due_goes_before_what_happens_after_it(monkeypatch):
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A)
        calls = []
        for name in ("timer_fired", "call_requested"):
            call = getattr(AdmissionController, name)
            monkeypatch.setattr(
                AdmissionController,
                name,
                lambda self, now, *values, name=name, call=call: calls.append(name) or call(self, now, *values),
            )
        place.node.wake_schedule.wake_after(-1.0)
        place.node.request_reports.call_requested(place.node.requests[int(A, 16)])
        assert calls == ["timer_fired", "call_requested"]


async def test_a_link_that_stands_and_says_nothing_is_given_up(monkeypatch):
    monkeypatch.setattr(worker_pool_connection, "MAX_QUERIES_WITHOUT_READ", 3)
    async with Place() as place:
        caller = await (await place.up()).caller()
        place.pool.measures = False
        await until(lambda: place.pool.links == 2)
        place.pool.measures = True
        await place.running(caller, A)
        await place.pool.finish(A)
        assert (await caller.answer())[:2] == (1, "done")


async def test_those_who_come_in_cannot_take_the_buffers_of_the_worker_pool():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A)
        place.node.buffers._unallocated_count = place.node.buffers._reserved_count - len(place.node.buffers._free)
        other = await place.caller()
        await other.send("STATUS", "1", "")
        assert await other.ended()
        await place.pool.finish(A)
        assert (await caller.answer())[:2] == (1, "done") and place.pool.links == 1


# The records


@pytest.mark.parametrize(("word", "body"), (("DONE", b"\r\nreply\x00"), ("DONE", b"")))
async def test_a_call_carries_its_body_and_brings_the_reply_unchanged(word, body):
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.calling(caller, A)
        await place.calling(caller, B)
        await place.records.reply(B, word, body + b"b")
        await place.records.reply("00000000000000ff", "DONE", b"of nobody", to=A)
        await place.records.reply(A, word, body)
        await until(lambda: place.pool.told("supply", A) and place.pool.told("supply", B))
        assert b64decode(place.pool.told("supply", A)[0]["body"]) == body
        assert b64decode(place.pool.told("supply", B)[0]["body"]) == body + b"b" and place.records.links == 2
        await place.pool.finish(A)
        assert (await caller.answer())[:2] == (1, "done")


@pytest.mark.parametrize(("word", "again"), (("WAIT", True), ("EMPTY", True), ("ERROR", False), ("PAST", False)))
async def test_a_single_use_call_is_repeated_only_if_it_never_ran(word, again):
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.calling(caller, A, "pay")
        await place.records.reply(A, word)
        if again:
            await until(lambda: place.records.seen.count(("OP", A, CALL)) == 2)
        else:
            assert (await caller.answer())[:2] == (1, "error")
            assert place.records.seen.count(("OP", A, CALL)) == 1


async def test_a_break_proves_nothing_and_a_refusal_proves_that_nothing_ran():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.calling(caller, A, "pay")
        await place.records.cut()
        assert (await caller.answer())[:2] == (1, "error")
        await place.pool.finish(A, end="broken_off")
        await place.records.down()
        await place.running(caller, B, "pay")
        await place.pool.block(B)
        await anyio.sleep(0.05)
        assert place.node.requests  # refused, and tried again in its time
        await place.records.listen(place._tasks, place.records.port)
        await until(lambda: ("OP", B, CALL) in place.records.seen)


async def test_a_call_after_the_end_of_its_connection_was_never_written_and_goes_out_on_the_next():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.calling(caller, A, "pay")
        await place.records.reply(A, "DONE", b"")
        await until(lambda: place.pool.told("supply", A))
        await place.running(caller, B, "pay")
        place.node.dependency_client._idle_connections[0]._stream.abort(
            CloseReason.RESET
        )  # of which its reader has not heard
        await place.pool.block(B)
        await until(lambda: ("OP", B, CALL) in place.records.seen)
        assert place.records.links == 2 and not place.node.requests[int(B, 16)].answered


async def test_a_call_that_is_given_up_is_told_and_its_late_reply_passed_over():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.calling(caller, A, "pay", timeout=300)
        assert (await caller.answer())[:2] == (1, "error")
        await until(lambda: not place.records.lines[A])  # which tells the service, and nothing can come late
        await place.running(caller, B)
        assert not place.pool.told("supply", A)


async def test_a_caller_gone_in_a_call_gives_the_call_up():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.calling(caller, A)
        await caller.send("NEVERMIND", "1")
        await until(lambda: not place.records.lines[A])
        await place.pool.finish(A, end="broken_off")
        await until(lambda: not place.node.requests)


@pytest.mark.parametrize(
    "text",
    (
        f"{A} DONE 3\r\nlonger\r\n",
        f"{A} DONE 99999\r\n",
        f"{A} DONE x\r\n",
        f"{A} DONE\r\n",
        f"{A} MAYBE\r\n",
        "\r\n",
        "x" * (BUFFER_BYTES + 1),
    ),
)
async def test_a_reply_that_lies_costs_its_own_call_and_no_other(text):
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.calling(caller, B, "pay")
        await place.calling(caller, A, "pay")
        await place.records.lines[A].send(text.encode())
        assert (await caller.answer())[:2] == (2, "error")
        await place.records.reply(B, "DONE", b"")
        await until(lambda: place.pool.told("supply", B))


async def test_a_connection_that_may_be_closed_for_idleness_is_not_used_again():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.calling(caller, A)
        await place.records.reply(A, "DONE", b"")
        await until(lambda: place.pool.told("supply", A))
        await place.calling(caller, B)
        assert place.records.links == 1
        await place.records.reply(B, "DONE", b"")
        await until(lambda: place.pool.told("supply", B))
        await anyio.sleep(0.12)
        await place.calling(caller, C)
        assert place.records.links == 2
        await place.records.reply(C, "DONE", b"")
        await place.records.reply(C, "DONE", b"")  # a second copy, which the next call is not to meet
        await until(lambda: place.pool.told("supply", C))
        await place.pool.block(C)
        await until(lambda: place.records.seen.count(("OP", C, CALL)) == 2)
        await anyio.sleep(0.02)
        assert place.records.links == 3 and len(place.pool.told("supply", C)) == 1


# The table


async def test_a_repeat_of_a_referenced_transaction_joins_and_later_gets_what_was_kept():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A, "book", opkey="k1")
        await caller.ask(B, "book", opkey="k1", resent=1)
        await until(lambda: len(place.node.requests) == 2)
        await place.pool.finish(A, body=b"once")
        assert sorted([await caller.answer(), await caller.answer()])[1][1::2] == ("done", b"once")
        await caller.ask(C, "book", opkey="k1", resent=1)
        assert (await caller.answer())[1::2] == ("done", b"once")
        await place.running(caller, "00000000000000d4", "book", opkey="k2")
        assert not place.pool.told("spawn", B) and not place.pool.told("spawn", C)


async def test_a_repeat_of_one_that_came_to_nothing_fails_and_is_not_run():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A, "book", opkey="k1")
        await place.pool.finish(A, end="fault")
        assert (await caller.answer())[1] == "error"
        await caller.ask(B, "book", opkey="k1", resent=1)
        assert (await caller.answer())[:2] == (2, "error") and not place.pool.told("spawn", B)


async def test_a_read_of_the_same_subject_is_answered_from_a_fresh_result_and_run_when_it_is_stale():
    async with Place(**{"fresh-ms": 200.0}) as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A, subject="s1")
        await caller.ask(B, subject="s1")
        await place.pool.finish(A, body=b"seen")
        assert {(await caller.answer())[3], (await caller.answer())[3]} == {b"seen"}
        await anyio.sleep(0.25)
        await place.running(caller, C, subject="s1")


async def test_the_table_keeps_its_bound_and_a_result_that_was_let_go_is_never_run_again():
    async with Place() as place:
        caller = await (await place.up()).caller()
        place.node.idempotency_table.results.max_bytes = 10
        for ident, key in ((A, "k1"), (B, "k2")):
            await place.running(caller, ident, "book", opkey=key)
            await place.pool.finish(ident, body=b"12345678")
            await caller.answer()
        await caller.ask(C, "book", opkey="k1", resent=1)
        assert (await caller.answer())[:2] == (3, "error") and not place.pool.told("spawn", C)
        assert (
            place.node.idempotency_table.results.size_bytes == 8
            and place.node.generation.settings.idempotency_record_kb >= 20
        )


# Leaving, and failing


async def test_a_drain_runs_what_came_in_time_dismisses_what_came_late_and_ends_clean():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A)
        place.node.begin_shutdown()
        await caller.send("STATUS", "90", "")
        assert (await caller.answer())[:2] == (90, "sick")
        await place.running(caller, B)
        await anyio.sleep(0.25)
        await caller.ask(C)
        assert (await caller.answer())[:2] == (3, "later") and not place.pool.told("spawn", C)
        await place.pool.finish(A)
        await place.pool.finish(B)
        assert [(await caller.answer())[:2] for _ in range(3)] == [(1, "done"), (2, "done"), (0, "closing")]
        await caller.stream.aclose()
        await until(lambda: place.clean is True)
        with pytest.raises(OSError):
            await place.caller()


async def test_all_that_was_read_is_answered_before_the_kill():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A)
        await place.running(caller, B, "pay")
        begun = time.monotonic()
        place.node.begin_shutdown()
        answers = sorted([await caller.answer(), await caller.answer()])
        assert [word for _, word, _, _ in answers] == ["error", "error"] and time.monotonic() - begun < 0.7
        await until(lambda: place.clean is True)
        assert time.monotonic() - begun < 0.75


@pytest.mark.parametrize("where", ("request_received", "timer_fired", "run_ended", "drain"))
async def test_an_error_of_the_module_is_logged_and_all_that_was_read_is_answered(where, monkeypatch):
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A)

        def broken(self, *values):
            raise RuntimeError("lost count")

        monkeypatch.setattr(AdmissionController, where, broken)
        if where == "request_received":
            await caller.ask(B)
        elif where == "run_ended":
            await place.pool.finish(A)
        elif where == "drain":
            place.node.begin_shutdown()
        words = {(await caller.answer())[1]}
        if where == "request_received":
            words.add((await caller.answer())[1])
        assert words == {"error"} and place.node.phase is Phase.FAILED
        await caller.send("STATUS", "91", "")
        with anyio.move_on_after(1):
            while (await caller.answer())[0] != 0:
                pass
        await caller.stream.aclose()
        await until(lambda: place.clean is False)


async def test_an_error_on_a_connection_ends_it_alone_with_all_that_it_brought_answered(monkeypatch):
    async with Place() as place:
        await place.up()
        caller, other = await place.caller(), await place.caller()
        await place.running(caller, A)
        await place.running(other, B)
        monkeypatch.setattr(tagged_requests, "decode_request", lambda *values: 1 / 0)
        await caller.ask(C)
        assert (await caller.answer())[:2] == (2, "error")
        for ident, each in ((A, caller), (B, other)):
            await place.pool.finish(ident)
            assert (await each.answer())[:2] == (1, "done")
        assert await caller.ended() and place.node.phase is Phase.SERVING


async def test_an_error_in_the_life_of_a_transaction_ends_the_server_in_the_open(monkeypatch):
    async with Place() as place:
        caller = await (await place.up()).caller()
        await place.running(caller, A)
        await place.running(caller, B)
        monkeypatch.setattr(place.node.idempotency_table, "finish", lambda *values: 1 / 0)
        await place.pool.finish(A)
        assert sorted([(await caller.answer())[:2], (await caller.answer())[:2]]) == [(1, "done"), (2, "error")]
        await caller.stream.aclose()
        await until(lambda: place.clean is False)


@pytest.mark.parametrize("notice", (signal.SIGTERM, signal.SIGINT))
async def test_the_program_serves_leaves_on_a_signal_and_writes_nothing(notice, tmp_path):
    async with Place(elsewhere=True) as place:
        place.pool.up.set()
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        file = tmp_path / "config.json"
        file.write_text(json.dumps({**place.config, "listen": f"127.0.0.1:{port}"}))
        environment = {**os.environ, "ROUTER_CONFIG": str(file)}
        with subprocess.Popen(
            [sys.executable, "-B", "-m", "nickelslip.server", "serve"],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        ) as process:
            try:
                status = pathlib.Path(f"/proc/{process.pid}/status")
                await until(lambda: int(status.read_text().split("SigBlk:")[1].split()[0], 16) & 1)
                process.send_signal(signal.SIGHUP)  # most of the program has not been read yet
                place.port = port
                caller = None
                with anyio.fail_after(10):
                    while caller is None:
                        try:
                            caller = await place.caller()
                        except OSError:
                            await anyio.sleep(0.02)
                await until(lambda: place.pool.polls)
                file.write_text("{")
                process.send_signal(signal.SIGHUP)
                await place.running(caller, A)
                process.send_signal(notice)
                process.send_signal(signal.SIGHUP)
                await place.pool.finish(A)
                assert [(await caller.answer())[1] for _ in range(2)] == ["done", "closing"]
                await caller.stream.aclose()
                await until(lambda: process.poll() is not None)
                assert process.returncode == 0
                lines = [json.loads(line) for line in process.stdout.read().splitlines()]
                assert any("not JSON" in line.get("error", "") for line in lines)
                phases = [line.get("phase") for line in lines if line["event"] == "phase_changed"]
                assert [phase for phase in phases if phase] == ["SERVING", "DRAINING", "SHUTTING_DOWN"]
            finally:
                process.kill()
        assert os.listdir(tmp_path) == ["config.json"]
