"""Waiting with a bound."""

from __future__ import annotations

from collections.abc import Callable

import anyio

POLL_INTERVAL_S = 0.002


async def wait_until(condition: Callable[[], object], wait_s: float = 3.0) -> None:
    """Wait until the condition holds.

    Raises:
        TimeoutError: It does not hold within wait_s seconds.
    """
    with anyio.fail_after(wait_s):
        while not condition():
            await anyio.sleep(POLL_INTERVAL_S)
