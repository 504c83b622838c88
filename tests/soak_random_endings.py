"""Runs the soak of random endings for many seeds: `python -m tests.soak_random_endings FIRST_SEED COUNT [stay]`.

With `stay` no load balancer withdraws a request or loses its connection.
"""

from __future__ import annotations

import sys

import anyio

from tests.support.random_endings import RandomEndings
from tests.support.server_rig import ServerRig

ROUNDS_PER_SEED = 600
MAX_CORE_COUNT = 4


async def run_seed(seed: int, clients_leave: bool) -> None:
    async with ServerRig(cpus=1 + seed % MAX_CORE_COUNT) as rig:
        await rig.wait_until_serving()
        await RandomEndings(rig, seed, clients_leave).run(ROUNDS_PER_SEED)


def main() -> None:
    first_seed, count = int(sys.argv[1]), int(sys.argv[2])
    clients_leave = "stay" not in sys.argv[3:]
    for seed in range(first_seed, first_seed + count):
        anyio.run(run_seed, seed, clients_leave, backend_options={"use_uvloop": True})
        print(f"seed {seed}: {ROUNDS_PER_SEED} rounds passed", file=sys.stderr, flush=True)


if __name__ == "__main__":
    main()
