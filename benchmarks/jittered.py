"""The textbook's cold start, laid over the version in the working directory: full-jitter backoff and nothing else.

The first report, and each new attempt of the worker pool's connection, come after a pause drawn from 0 to a bound that
doubles. It is a baseline to measure against and belongs to no product. Run as a file from the folder of revision
494928a, which it puts before all others.
"""

from __future__ import annotations

import os
import random
import runpy
import sys
from importlib import import_module
from typing import Any

import anyio

# Names of revision 494928a, which stay when those of this one change.
DIRECTORY_MODULE = "nickelslip.server.directory"
WORKERS_MODULE = "nickelslip.server.workers"
MS_PER_S = 1000
MAX_FIRST_REPORT_MS = 250.0
MAX_BACKOFF_MS = 2000.0


class JitteredAnyio:
    """A module's view of anyio, with jittered pauses.

    Args:
        generator: Draws the pauses.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    async def sleep(self, seconds: float) -> None:
        """Sleep for a time drawn from 0 to twice the one asked for, 2 s at most."""
        await anyio.sleep(self._generator.uniform(0, min(MAX_BACKOFF_MS / MS_PER_S, 2 * seconds)))

    def __getattr__(self, name: str) -> Any:
        return getattr(anyio, name)


def install_jitter() -> None:
    """Draw the pauses of the worker pool's connection anew, and have the first report wait."""
    sys.path.insert(0, os.getcwd())
    generator = random.Random(" ".join(sys.argv))  # another for each server
    directory_class = import_module(DIRECTORY_MODULE).Directory
    run_reports = directory_class.run

    async def run_after_pause(directory: Any) -> None:
        await anyio.sleep(generator.uniform(0, MAX_FIRST_REPORT_MS / MS_PER_S))
        await run_reports(directory)

    import_module(WORKERS_MODULE).anyio = JitteredAnyio(generator)  # type: ignore[attr-defined]
    directory_class.run = run_after_pause


if __name__ == "__main__":
    install_jitter()
    sys.argv[0] = "nickelslip"
    runpy.run_module("nickelslip.server", run_name="__main__")
