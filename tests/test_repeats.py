"""Repeats of a transaction that runs once within its window: what is taken for one, and when."""

import time

import pytest

from nickelslip.server import idempotency_table
from tests.helpers import A, B, C, Place, until

pytestmark = pytest.mark.anyio
D = "00000000000000d4"


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


@pytest.mark.parametrize("over", (False, True))
@pytest.mark.parametrize("other", ({"body": b"another"}, {"owner": "other"}))
async def test_a_key_seen_and_sent_with_another_body_or_by_another_customer_brings_nobodys_result(over, other):
    async with Place() as place:
        place.told["tenants"].append({"name": "other", "quota-rps": 100.0})
        place.renew()
        caller, stranger = await (await place.up()).caller(), await place.caller()
        await place.running(caller, A, "book", opkey="k1")
        if over:
            await place.pool.finish(A, body=b"once")
            assert (await caller.answer())[1::2] == ("done", b"once")
        await stranger.ask(B, "book", opkey="k1", **other)
        assert (await stranger.answer())[:2] == (1, "error")  # at once, not when the other one ends
        if not over:
            await place.pool.finish(A, body=b"once")
            assert (await caller.answer())[1::2] == ("done", b"once")
        await caller.ask(C, "book", opkey="k1", resent=1)
        assert (await caller.answer())[1::2] == ("done", b"once")  # and a true repeat has it as before
        assert not place.pool.told("spawn", B) and not place.pool.told("spawn", C)


async def test_a_key_that_came_with_an_id_nobody_knows_is_free_for_the_one_that_is_known():
    async with Place() as place:
        stranger, caller = await (await place.up()).caller(), await place.caller()
        await place.running(stranger, A, "book", opkey="k1", body=b"made up")
        await place.pool.say(op="unknown", end="spawn", id=A)
        assert (await stranger.answer())[1] == "error"
        await until(lambda: not place.node.requests)
        await place.running(caller, B, "book", opkey="k1")
        await place.pool.finish(B, body=b"once")
        assert (await caller.answer())[1::2] == ("done", b"once")


async def test_a_key_longer_than_any_is_refused():
    async with Place() as place:
        caller = await (await place.up()).caller()
        await caller.ask(A, "book", opkey="k" * 257)
        assert (await caller.answer())[1] == "error" and not place.pool.told("spawn", A)
        await caller.ask(D, "read", subject="k" * 257)
        assert (await caller.answer())[1] == "error"


async def test_a_first_try_that_was_given_up_before_it_ran_leaves_its_key_free():
    async with Place(cpus=1) as place:
        caller = await (await place.up()).caller()
        await place.running(caller, C, "pay")  # the one core is taken
        await caller.ask(A, "book", opkey="k1")
        await until(lambda: len(place.node.requests) == 2)
        await caller.send("NEVERMIND", "2")
        await until(lambda: len(place.node.requests) == 1)
        await caller.ask(B, "book", opkey="k1", resent=1)
        await place.pool.finish(C)
        await until(lambda: place.pool.told("spawn", B))
        await place.pool.finish(B, body=b"once")
        assert not place.pool.told("spawn", A)
        assert sorted([(await caller.answer())[1::2] for _ in range(2)]) == [("done", b"once"), ("done", b"result")]


# When


def short_window(place: Place, window_ms: float) -> None:
    place.told["classes"][2]["memory-span-ms"] = window_ms
    place.renew()


async def test_a_repeat_that_came_in_its_window_and_lay_unread_past_it_is_still_one(monkeypatch):
    monkeypatch.setattr(idempotency_table, "PURGE_INTERVAL_MS", 0.0)
    async with Place() as place:
        short_window(place, 300.0)
        caller = await (await place.up()).caller()
        began = int(time.time() * 1000)
        await place.running(caller, A, "book", opkey="k1", ts=began, timeout=200)
        await place.pool.finish(A, body=b"once")
        assert (await caller.answer())[1::2] == ("done", b"once")
        await until(lambda: time.time() * 1000 > began + 600)
        await caller.ask(B, "book", opkey="k1", resent=1, ts=began + 290)
        assert (await caller.answer())[1::2] == ("done", b"once") and not place.pool.told("spawn", B)
        await place.running(caller, C, "book", opkey="k1", ts=began + 500)  # and one that came after it is none


async def test_a_repeat_after_the_window_waits_for_a_run_that_is_still_out(monkeypatch):
    monkeypatch.setattr(idempotency_table, "PURGE_INTERVAL_MS", 0.0)
    async with Place() as place:
        short_window(place, 100.0)
        caller = await (await place.up()).caller()
        await place.running(caller, A, "book", opkey="k1", timeout=300)
        assert (await caller.answer())[1] == "error"  # it was due, and its run goes on
        await until(
            lambda: place.node.clock() > next(iter(place.node.idempotency_table.records.values())).expires_at_ms + 100
        )
        await caller.ask(B, "book", opkey="k1", resent=1)
        await until(lambda: len(place.node.requests) == 2)
        assert not place.pool.told("spawn", B)
        await place.pool.finish(A, body=b"once")
        assert (await caller.answer())[1::2] == ("done", b"once")
        await until(lambda: not place.node.requests)


async def test_what_can_serve_no_repeat_any_more_is_let_go(monkeypatch):
    monkeypatch.setattr(idempotency_table, "PURGE_INTERVAL_MS", 0.0)
    async with Place() as place:
        short_window(place, 100.0)
        for grade in place.told["classes"]:
            grade["aim-ms"] = grade["deadline-ms"] = 200.0
        place.renew()
        caller = await (await place.up()).caller()
        await place.running(caller, A, "book", opkey="k1", timeout=200)
        await place.pool.finish(A, body=b"once")
        assert (await caller.answer())[1] == "done"
        await until(
            lambda: not place.node.idempotency_table.records and not place.node.idempotency_table.results.size_bytes
        )
