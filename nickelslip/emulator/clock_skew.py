"""Runs a server with a skewed clock: `python -m nickelslip.emulator.clock_skew OFFSET_MS DRIFT serve --config FILE`.

An offset and a drift are added to the only clock that the server's components read. Timers, sockets and the system
clock are unchanged.
"""

from __future__ import annotations

import signal
import sys
import time

from nickelslip.server.server import Server

MS_PER_S = 1000


def skew(offset_ms: float, drift: float) -> None:
    """Skew the clock of servers by `offset_ms`, plus `drift` for each millisecond that passes from now on."""
    true_clock = Server.clock
    began_at_ms = time.monotonic() * MS_PER_S

    def clock(server: Server) -> float:
        return true_clock(server) + offset_ms + drift * (time.monotonic() * MS_PER_S - began_at_ms)

    Server.clock = clock  # type: ignore[method-assign, assignment]


def main() -> None:
    """Run the server with a skewed clock."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM})
    offset_ms, drift, *arguments = sys.argv[1:]
    skew(float(offset_ms), float(drift))
    from nickelslip.server.cli import main as server_main

    server_main(arguments)


if __name__ == "__main__":
    main()
