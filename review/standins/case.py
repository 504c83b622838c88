"""What every case does around its scenario: exit codes, the switch for the disruption, and a bound on its time."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MAX_CASE_S = 112.0


def is_trouble_on() -> bool:
    """Whether the disruption takes place; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(scenario: Callable[[], Awaitable[str]]) -> None:
    """Run a scenario, which returns what was broken or an empty text, and exit with the code of its result.

    SIGTERM ends it like an error, so that the server's process is ended too.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        broken = asyncio.run(asyncio.wait_for(scenario(), MAX_CASE_S))
    except BaseException:  # whatever it was, the case says nothing about the rule
        traceback.print_exc()
        sys.exit(COULD_NOT_RUN)
    print(f"broken: {broken}" if broken else "held")
    sys.exit(BROKEN if broken else HELD)
