"""A server whose clock is off: `python -m nickelslip.emulator.clock_skew OFFSET_MS DRIFT serve --config FILE`.

Owns an offset and a drift laid over the one clock that the program's parts see around them. It must never change
anything else of the server: timers, sockets and the machine's own clock are as they were.
"""

from __future__ import annotations

import signal
import sys
import time

from nickelslip.server.server import Server


def skew(offset_ms: float, drift: float) -> None:
    """From here on nodes' clocks are off by so much, and by so much more for each millisecond that passes."""
    true, began = Server.clock, time.monotonic() * 1000

    def clock(node: Server) -> float:
        return true(node) + offset_ms + drift * (time.monotonic() * 1000 - began)

    Server.clock = clock  # type: ignore[method-assign, assignment]


def main() -> None:
    """Serve, with such a clock."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM})
    offset, drift, *rest = sys.argv[1:]
    skew(float(offset), float(drift))
    from nickelslip.server.cli import main as program

    program(rest)


if __name__ == "__main__":
    main()
