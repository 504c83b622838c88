"""The textbook's cold start, laid over the version in this folder: full jitter back-off, and nothing else.

Owns two changes to the version that it is run in: the first report, and each new try of the worker pool's link, come
after a pause drawn from nothing to a bound that doubles. It is a baseline to measure against and belongs to no product.
Run as a file from the version's own folder, which it puts before all others.
"""

from __future__ import annotations

import os
import random
import runpy
import sys
from typing import Any

import anyio

sys.path.insert(0, os.getcwd())
from nickelslip.server import directory_reporter, worker_pool_connection  # noqa: E402

FIRST_MS, MOST_MS = 250.0, 2000.0


def lay_over() -> None:
    """Pauses of the link are drawn anew, and the first report waits."""
    chance = random.Random(" ".join(sys.argv))  # another for each server
    sleep, report = anyio.sleep, directory_reporter.DirectoryReporter.run

    async def drawn(seconds: float) -> None:
        await sleep(chance.uniform(0, min(MOST_MS / 1000, 2 * seconds)))

    async def run(self: Any) -> None:
        await sleep(chance.uniform(0, FIRST_MS / 1000))
        await report(self)

    class Anyio:
        """The module's view of anyio, with other pauses."""

        sleep = staticmethod(drawn)

        def __getattr__(self, name: str) -> Any:
            return getattr(anyio, name)

    worker_pool_connection.anyio = Anyio()  # type: ignore[assignment]
    directory_reporter.DirectoryReporter.run = run  # type: ignore[method-assign]


if __name__ == "__main__":
    lay_over()
    sys.argv[0] = "nickelslip"
    runpy.run_module("nickelslip.server", run_name="__main__")
