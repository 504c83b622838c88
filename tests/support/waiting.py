"""Waiting for a condition, with a time limit."""

from __future__ import annotations

from collections.abc import Callable

import anyio

POLL_INTERVAL_S = 0.002
LOOP_TURNS_AFTER_DEADLINE = 50  # enough for everything that is ready to run, and less than a millisecond


async def wait_until(condition: Callable[[], object], wait_s: float = 3.0) -> None:
    """Wait until the condition is true.

    Raises:
        TimeoutError: The condition is still false after `wait_s` seconds.
    """
    with anyio.fail_after(wait_s):
        while not condition():
            await anyio.sleep(POLL_INTERVAL_S)


async def wait_until_deadline(condition: Callable[[], object], deadline_s: float) -> None:
    """Wait until the condition is true, which has to be the case by this time of the event loop.

    If this process stalls over the deadline, everything that was due before still runs, but no further timer is waited
    for. On a process that runs in time this is as strict as a comparison of clocks.

    Raises:
        TimeoutError: The condition is still false.
    """
    while not condition() and anyio.current_time() < deadline_s:
        await anyio.sleep(POLL_INTERVAL_S)
    for _ in range(LOOP_TURNS_AFTER_DEADLINE):
        if condition():
            return
        await anyio.sleep(0)
    raise TimeoutError(f"still not the case {anyio.current_time() - deadline_s:.3f} s past the deadline")
