"""Repeats of a request that runs once within its window: what is taken for one, and when."""

import time

import pytest

from nickelslip.server import idempotency_table
from tests.support.request_ids import A, B, C
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio
D = "00000000000000d4"


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


@pytest.mark.parametrize("over", (False, True))
@pytest.mark.parametrize("other", ({"body": b"another"}, {"owner": "other"}))
async def test_a_key_repeated_with_another_body_or_by_another_tenant_returns_no_result(over, other):
    async with ServerRig() as rig:
        rig.platform_settings["tenants"].append({"name": "other", "quota-rps": 100.0})
        rig.reload_settings()
        client, stranger = await (await rig.up()).caller(), await rig.caller()
        await rig.running(client, A, "book", opkey="k1")
        if over:
            await rig.pool.finish(A, body=b"once")
            assert (await client.answer())[1::2] == ("done", b"once")
        await stranger.ask(B, "book", opkey="k1", **other)
        assert (await stranger.answer())[:2] == (1, "error")  # at once, not when the other one ends
        if not over:
            await rig.pool.finish(A, body=b"once")
            assert (await client.answer())[1::2] == ("done", b"once")
        await client.ask(C, "book", opkey="k1", resent=1)
        assert (await client.answer())[1::2] == ("done", b"once")  # and a true repeat has it as before
        assert not rig.pool.told("spawn", B) and not rig.pool.told("spawn", C)


async def test_the_key_of_a_request_unknown_to_the_worker_pool_is_free_again():
    async with ServerRig() as rig:
        stranger, client = await (await rig.up()).caller(), await rig.caller()
        await rig.running(stranger, A, "book", opkey="k1", body=b"made up")
        await rig.pool.say(op="unknown", end="spawn", id=A)
        assert (await stranger.answer())[1] == "error"
        await wait_until(lambda: not rig.node.requests)
        await rig.running(client, B, "book", opkey="k1")
        await rig.pool.finish(B, body=b"once")
        assert (await client.answer())[1::2] == ("done", b"once")


async def test_an_oversized_key_fails():
    async with ServerRig() as rig:
        client = await (await rig.up()).caller()
        await client.ask(A, "book", opkey="k" * 257)
        assert (await client.answer())[1] == "error" and not rig.pool.told("spawn", A)
        await client.ask(D, "read", subject="k" * 257)
        assert (await client.answer())[1] == "error"


async def test_a_first_attempt_cancelled_before_it_ran_leaves_its_key_free():
    async with ServerRig(cpus=1) as rig:
        client = await (await rig.up()).caller()
        await rig.running(client, C, "pay")  # the one core is taken
        await client.ask(A, "book", opkey="k1")
        await wait_until(lambda: len(rig.node.requests) == 2)
        await client.send("NEVERMIND", "2")
        await wait_until(lambda: len(rig.node.requests) == 1)
        await client.ask(B, "book", opkey="k1", resent=1)
        await rig.pool.finish(C)
        await wait_until(lambda: rig.pool.told("spawn", B))
        await rig.pool.finish(B, body=b"once")
        assert not rig.pool.told("spawn", A)
        assert sorted([(await client.answer())[1::2] for _ in range(2)]) == [("done", b"once"), ("done", b"result")]


# When


def set_idempotency_window(rig: ServerRig, window_ms: float) -> None:
    rig.platform_settings["classes"][2]["memory-span-ms"] = window_ms
    rig.reload_settings()


async def test_a_repeat_within_its_window_that_was_read_after_it_is_still_coalesced(monkeypatch):
    monkeypatch.setattr(idempotency_table, "PURGE_INTERVAL_MS", 0.0)
    async with ServerRig() as rig:
        set_idempotency_window(rig, 300.0)
        client = await (await rig.up()).caller()
        began = int(time.time() * 1000)
        await rig.running(client, A, "book", opkey="k1", ts=began, timeout=200)
        await rig.pool.finish(A, body=b"once")
        assert (await client.answer())[1::2] == ("done", b"once")
        await wait_until(lambda: time.time() * 1000 > began + 600)
        await client.ask(B, "book", opkey="k1", resent=1, ts=began + 290)
        assert (await client.answer())[1::2] == ("done", b"once") and not rig.pool.told("spawn", B)
        await rig.running(client, C, "book", opkey="k1", ts=began + 500)  # and one that came after it is none


async def test_a_repeat_after_the_window_waits_for_a_run_in_progress(monkeypatch):
    monkeypatch.setattr(idempotency_table, "PURGE_INTERVAL_MS", 0.0)
    async with ServerRig() as rig:
        set_idempotency_window(rig, 100.0)
        client = await (await rig.up()).caller()
        await rig.running(client, A, "book", opkey="k1", timeout=300)
        assert (await client.answer())[1] == "error"  # it was due, and its run goes on
        await wait_until(
            lambda: rig.node.clock() > next(iter(rig.node.idempotency_table.records.values())).expires_at_ms + 100
        )
        await client.ask(B, "book", opkey="k1", resent=1)
        await wait_until(lambda: len(rig.node.requests) == 2)
        assert not rig.pool.told("spawn", B)
        await rig.pool.finish(A, body=b"once")
        assert (await client.answer())[1::2] == ("done", b"once")
        await wait_until(lambda: not rig.node.requests)


async def test_records_that_can_serve_no_repeat_are_purged(monkeypatch):
    monkeypatch.setattr(idempotency_table, "PURGE_INTERVAL_MS", 0.0)
    async with ServerRig() as rig:
        set_idempotency_window(rig, 100.0)
        for traffic_class in rig.platform_settings["classes"]:
            traffic_class["aim-ms"] = traffic_class["deadline-ms"] = 200.0
        rig.reload_settings()
        client = await (await rig.up()).caller()
        await rig.running(client, A, "book", opkey="k1", timeout=200)
        await rig.pool.finish(A, body=b"once")
        assert (await client.answer())[1] == "done"
        await wait_until(
            lambda: not rig.node.idempotency_table.records and not rig.node.idempotency_table.results.size_bytes
        )
