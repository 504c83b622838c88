"""Entry point: python -m nickelslip.server, and the command nickelslip.

Owns the first moments of the process: until the server listens for notices, they wait. It must never do more.
"""

import signal


def run() -> None:
    """A notice that comes while the program is still being read would end it, by the system's default."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM})
    from nickelslip.server.cli import main

    main(prog_name="nickelslip")


if __name__ == "__main__":
    run()
