"""A short soak with numbers that are out of range, seeded; `python -m tests.soak_hostile_numbers` runs longer."""

import pytest

from tests.support.hostile_numbers import HostileNumbers
from tests.support.server_rig import ServerRig

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("seed", (1, 2, 3))
async def test_numbers_out_of_range_neither_stop_the_server_nor_keep_anything_counted(seed):
    """Guards against review/1 and review/3 and their like: one number that spoils an estimate or keeps a record."""
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        await HostileNumbers(rig, seed).run(round_count=200)
