"""Duplicates of requests with an idempotency key: which requests count as duplicates, and for how long."""

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


@pytest.mark.parametrize("is_finished", (False, True))
@pytest.mark.parametrize("changed_fields", ({"body": b"another"}, {"owner": "other"}))
async def test_a_key_used_with_another_body_or_tenant_returns_no_result(is_finished, changed_fields):
    async with ServerRig() as rig:
        rig.platform_settings["tenants"].append({"name": "other", "quota-rps": 100.0})
        rig.reload_settings()
        client, other_client = await (await rig.wait_until_serving()).connect_client(), await rig.connect_client()
        await rig.start_run(client, A, "book", opkey="k1")
        if is_finished:
            await rig.pool.finish(A, body=b"once")
            assert (await client.receive_answer())[1::2] == ("done", b"once")
        await other_client.send_request(B, "book", opkey="k1", **changed_fields)
        # It is answered immediately, without waiting for the original.
        assert (await other_client.receive_answer())[:2] == (1, "error")
        if not is_finished:
            await rig.pool.finish(A, body=b"once")
            assert (await client.receive_answer())[1::2] == ("done", b"once")
        await client.send_request(C, "book", opkey="k1", resent=1)
        assert (await client.receive_answer())[1::2] == ("done", b"once")  # a true duplicate still gets the result
        assert not rig.pool.received_commands("spawn", B) and not rig.pool.received_commands("spawn", C)


async def test_a_key_can_be_reused_if_its_request_was_not_executed():
    async with ServerRig() as rig:
        other_client, client = await (await rig.wait_until_serving()).connect_client(), await rig.connect_client()
        await rig.start_run(other_client, A, "book", opkey="k1", body=b"made up")
        await rig.pool.send_line(op="unknown", end="spawn", id=A)
        assert (await other_client.receive_answer())[1] == "error"
        await wait_until(lambda: not rig.server.requests)
        await rig.start_run(client, B, "book", opkey="k1")
        await rig.pool.finish(B, body=b"once")
        assert (await client.receive_answer())[1::2] == ("done", b"once")


async def test_a_request_with_an_oversized_key_fails():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await client.send_request(A, "book", opkey="k" * 257)
        assert (await client.receive_answer())[1] == "error" and not rig.pool.received_commands("spawn", A)
        await client.send_request(D, "read", subject="k" * 257)
        assert (await client.receive_answer())[1] == "error"


async def test_a_key_can_be_reused_if_its_request_was_cancelled_before_it_ran():
    async with ServerRig(cpus=1) as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, C, "pay")  # occupies the only core
        await client.send_request(A, "book", opkey="k1")
        await wait_until(lambda: len(rig.server.requests) == 2)
        await client.send("NEVERMIND", "2")
        await wait_until(lambda: len(rig.server.requests) == 1)
        await client.send_request(B, "book", opkey="k1", resent=1)
        await rig.pool.finish(C)
        await wait_until(lambda: rig.pool.received_commands("spawn", B))
        await rig.pool.finish(B, body=b"once")
        assert not rig.pool.received_commands("spawn", A)
        assert sorted([(await client.receive_answer())[1::2] for _ in range(2)]) == [
            ("done", b"once"),
            ("done", b"result"),
        ]


def set_idempotency_window(rig: ServerRig, window_ms: float) -> None:
    rig.platform_settings["classes"][2]["memory-span-ms"] = window_ms
    rig.reload_settings()


async def test_a_duplicate_received_within_the_window_but_read_later_is_answered_from_the_cache(monkeypatch):
    monkeypatch.setattr(idempotency_table, "PURGE_INTERVAL_MS", 0.0)
    async with ServerRig() as rig:
        set_idempotency_window(rig, 300.0)
        client = await (await rig.wait_until_serving()).connect_client()
        started_at_ms = int(time.time() * 1000)
        await rig.start_run(client, A, "book", opkey="k1", ts=started_at_ms, timeout=200)
        await rig.pool.finish(A, body=b"once")
        assert (await client.receive_answer())[1::2] == ("done", b"once")
        await wait_until(lambda: time.time() * 1000 > started_at_ms + 600)
        await client.send_request(B, "book", opkey="k1", resent=1, ts=started_at_ms + 290)
        assert (await client.receive_answer())[1::2] == ("done", b"once") and not rig.pool.received_commands("spawn", B)
        # Received after the window, so not a duplicate.
        await rig.start_run(client, C, "book", opkey="k1", ts=started_at_ms + 500)


async def test_a_duplicate_received_after_the_window_waits_for_an_unfinished_run(monkeypatch):
    monkeypatch.setattr(idempotency_table, "PURGE_INTERVAL_MS", 0.0)
    async with ServerRig() as rig:
        set_idempotency_window(rig, 100.0)
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A, "book", opkey="k1", timeout=300)
        assert (await client.receive_answer())[1] == "error"  # it timed out, but its run continues
        await wait_until(
            lambda: rig.server.clock() > next(iter(rig.server.idempotency_table.records.values())).expires_at_ms + 100
        )
        await client.send_request(B, "book", opkey="k1", resent=1)
        await wait_until(lambda: len(rig.server.requests) == 2)
        assert not rig.pool.received_commands("spawn", B)
        await rig.pool.finish(A, body=b"once")
        assert (await client.receive_answer())[1::2] == ("done", b"once")
        await wait_until(lambda: not rig.server.requests)


async def test_records_that_can_serve_no_duplicate_are_purged(monkeypatch):
    monkeypatch.setattr(idempotency_table, "PURGE_INTERVAL_MS", 0.0)
    async with ServerRig() as rig:
        set_idempotency_window(rig, 100.0)
        for traffic_class in rig.platform_settings["classes"]:
            traffic_class["aim-ms"] = traffic_class["deadline-ms"] = 200.0
        rig.reload_settings()
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A, "book", opkey="k1", timeout=200)
        await rig.pool.finish(A, body=b"once")
        assert (await client.receive_answer())[1] == "done"
        await wait_until(
            lambda: not rig.server.idempotency_table.records and not rig.server.idempotency_table.results.size_bytes
        )
