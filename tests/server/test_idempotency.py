"""The idempotency table: duplicate requests and cached responses."""

import anyio
import pytest

from tests.support.request_ids import A, B, C
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

pytestmark = pytest.mark.anyio


async def test_a_duplicate_is_coalesced_with_its_original_and_later_answered_from_the_cache():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A, "book", opkey="k1")
        await client.send_request(B, "book", opkey="k1", resent=1)
        await wait_until(lambda: len(rig.server.requests) == 2)
        await rig.pool.finish(A, body=b"once")
        assert sorted([await client.receive_answer(), await client.receive_answer()])[1][1::2] == ("done", b"once")
        await client.send_request(C, "book", opkey="k1", resent=1)
        assert (await client.receive_answer())[1::2] == ("done", b"once")
        await rig.start_run(client, "00000000000000d4", "book", opkey="k2")
        assert not rig.pool.received_commands("spawn", B) and not rig.pool.received_commands("spawn", C)


async def test_a_duplicate_of_a_failed_request_fails_without_running():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A, "book", opkey="k1")
        await rig.pool.finish(A, end="fault")
        assert (await client.receive_answer())[1] == "error"
        await client.send_request(B, "book", opkey="k1", resent=1)
        assert (await client.receive_answer())[:2] == (2, "error") and not rig.pool.received_commands("spawn", B)


async def test_a_read_of_the_same_subject_is_answered_from_the_cache_until_the_response_expires():
    async with ServerRig(**{"fresh-ms": 200.0}) as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A, subject="s1")
        await client.send_request(B, subject="s1")
        await rig.pool.finish(A, body=b"seen")
        assert {(await client.receive_answer())[3], (await client.receive_answer())[3]} == {b"seen"}
        await anyio.sleep(0.25)
        await rig.start_run(client, C, subject="s1")


async def test_cached_results_are_limited_in_size_and_a_request_whose_result_was_evicted_is_not_run_again():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        rig.server.idempotency_table.results.max_bytes = 10
        for request_id, key in ((A, "k1"), (B, "k2")):
            await rig.start_run(client, request_id, "book", opkey=key)
            await rig.pool.finish(request_id, body=b"12345678")
            await client.receive_answer()
        await client.send_request(C, "book", opkey="k1", resent=1)
        assert (await client.receive_answer())[:2] == (3, "error") and not rig.pool.received_commands("spawn", C)
        assert (
            rig.server.idempotency_table.results.size_bytes == 8
            and rig.server.generation.settings.idempotency_record_kb >= 20
        )


async def test_a_request_that_the_worker_pool_does_not_know_gives_back_the_memory_of_its_record():
    """Guards against review/3: the table forgot such a request, and the controller counted its record all the same."""
    async with ServerRig(**{"memory-kb": 2000.0, "kb-per-key": 500.0}) as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        for number in range(6):
            request_id = f"{number:016x}"
            await rig.start_run(client, request_id, "book", opkey=f"k{number}")
            await rig.pool.send_line(op="unknown", end="spawn", id=request_id)
            assert (await client.receive_answer())[1] == "error"
        await rig.start_run(client, A, "book", opkey="k0")


async def test_a_key_can_be_reused_if_the_worker_pool_reports_that_its_run_was_too_late_to_start():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A, "book", opkey="k1", timeout=300)
        assert (await client.receive_answer())[:2] == (1, "error")
        await rig.pool.finish(A, end="late", body=b"")
        await wait_until(lambda: not rig.server.requests)
        await rig.start_run(client, B, "book", opkey="k1", resent=1)
        await rig.pool.finish(B)
        assert (await client.receive_answer())[:2] == (2, "done")
