"""Waiting for a condition, with a time limit."""

from __future__ import annotations

from collections.abc import Callable

import anyio

POLL_INTERVAL_S = 0.002


async def wait_until(condition: Callable[[], object], wait_s: float = 3.0) -> None:
    """Wait until the condition is true.

    Raises:
        TimeoutError: The condition is still false after `wait_s` seconds.
    """
    with anyio.fail_after(wait_s):
        while not condition():
            await anyio.sleep(POLL_INTERVAL_S)
