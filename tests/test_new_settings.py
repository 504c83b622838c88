"""Settings that no earlier deployment had, as the real server takes them: no customers, runs that can be paused, a tier
of servers below in place of a shared dependency, and no marks on further tries."""

import anyio
import pytest

from nickelslip.admission.interface import Preemption
from nickelslip.server import resp
from tests.helpers import A, B, C, Place, until

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


def new_operator(**facts: object) -> Place:
    """A server told what the operators without customers tell."""
    place = Place(below="next_hop", **facts)
    for name in ("dep-share", "calls-over-ms", "stays-for-ms"):
        del place.told["specifics"][name]
    del place.told["tenants"]
    place.told["client-habits"] = {"marks-retry": False}
    place.told["report"] = {"how": "silent", "fields": []}
    return place


async def test_without_customers_a_transaction_names_none_and_is_served():
    async with new_operator() as place:
        caller = await (await place.up()).caller()
        assert not place.node.generation.settings.tenants and not place.node.generation.settings.clients_mark_retries
        await place.running(caller, A, without="owner")
        await place.pool.finish(A)
        assert (await caller.answer())[:2] == (1, "done")
        await caller.ask(B)  # for a customer that nobody knows
        assert (await caller.answer())[:2] == (2, "error")


async def test_a_run_that_can_be_paused_is_stopped_once_its_caller_has_gone():
    async with new_operator(**{"stop-mode": "pause"}) as place:
        caller = await (await place.up()).caller()
        assert place.node.generation.settings.preemption is Preemption.KEEP_PROGRESS
        tag = await place.running(caller, A, without="owner")
        await caller.stream.send(resp.message(b"NEVERMIND", str(tag).encode()))
        await until(lambda: place.pool.told("suspend", A))
        await place.pool.finish(A, end="broken_off")
        await until(lambda: not place.node.requests)


async def test_calls_to_a_tier_below_are_bound_by_no_part_and_a_broken_one_is_made_again_or_left_out():
    async with new_operator(cpus=4) as place:
        caller = await (await place.up()).caller()
        for ident in (A, B, C):
            await place.calling(caller, ident, without="owner")
        await place.records.reply(A, "DONE", b"reply")
        await until(lambda: place.pool.told("supply", A))
        await place.records.cut()  # replayable: either is right
        with anyio.fail_after(3):
            for ident in (B, C):
                await until(
                    lambda ident=ident: (
                        place.pool.told("pass", ident) or place.records.seen.count(("OP", ident, b"\r\ncall\x00")) > 1
                    )
                )
