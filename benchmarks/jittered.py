"""Runs the version in the working directory with the textbook's full-jitter backoff added, as a baseline.

The first load report, and each new attempt to connect to the worker pool, wait for a pause drawn from 0 to a bound that
doubles. This is for benchmarks only. Run it as a file from the folder of revision 494928a, which it puts first on the
import path.
"""

from __future__ import annotations

import os
import random
import runpy
import sys
from importlib import import_module
from typing import Any

import anyio

# Names as they are in revision 494928a. They do not follow renames in this version.
DIRECTORY_MODULE = "nickelslip.server.directory"
WORKERS_MODULE = "nickelslip.server.workers"
MS_PER_S = 1000
MAX_FIRST_REPORT_MS = 250.0
MAX_BACKOFF_MS = 2000.0


class JitteredAnyio:
    """Stands in for the `anyio` module, with jittered pauses.

    Args:
        generator: Draws the pauses.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator

    async def sleep(self, seconds: float) -> None:
        """Sleep for a time drawn from 0 to twice the given time, at most 2 s."""
        await anyio.sleep(self._generator.uniform(0, min(MAX_BACKOFF_MS / MS_PER_S, 2 * seconds)))

    def __getattr__(self, name: str) -> Any:
        return getattr(anyio, name)


def install_jitter() -> None:
    """Add jitter to the pauses of the worker pool's connection, and delay the first load report."""
    sys.path.insert(0, os.getcwd())
    generator = random.Random(" ".join(sys.argv))  # a different seed for each server
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
