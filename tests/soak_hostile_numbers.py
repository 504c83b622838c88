"""Runs the soak of numbers out of range for many seeds: `python -m tests.soak_hostile_numbers FIRST_SEED COUNT`."""

from __future__ import annotations

import sys

import anyio

from tests.support.hostile_numbers import HostileNumbers
from tests.support.server_rig import ServerRig

ROUNDS_PER_SEED = 1000


async def run_seed(seed: int) -> None:
    async with ServerRig() as rig:
        await rig.wait_until_serving()
        await HostileNumbers(rig, seed).run(ROUNDS_PER_SEED)


def main() -> None:
    first_seed, count = int(sys.argv[1]), int(sys.argv[2])
    for seed in range(first_seed, first_seed + count):
        anyio.run(run_seed, seed)
        print(f"seed {seed}: {ROUNDS_PER_SEED} rounds passed", file=sys.stderr, flush=True)


if __name__ == "__main__":
    main()
