"""Short soaks, seeded, in which requests, runs, calls and connections end in random ways."""

import pytest

from tests.support.random_endings import RandomEndings
from tests.support.server_rig import ServerRig

pytestmark = pytest.mark.anyio

ROUND_COUNT = 400


@pytest.mark.parametrize("seed", (1, 2, 3))
async def test_nothing_stays_counted_after_runs_and_calls_have_ended_in_random_ways(seed):
    """Guards against review/3 and its like: an end after which a record, a slot or memory is counted for good."""
    async with ServerRig(cpus=1 + seed) as rig:
        await rig.wait_until_serving()
        await RandomEndings(rig, seed, clients_leave=False).run(ROUND_COUNT)


@pytest.mark.parametrize("seed", (4, 5))
async def test_nothing_stays_counted_after_clients_have_left(seed):
    """Guards against a slot that is counted for good after a request was withdrawn."""
    async with ServerRig(cpus=seed - 2) as rig:
        await rig.wait_until_serving()
        await RandomEndings(rig, seed, clients_leave=True).run(ROUND_COUNT)
