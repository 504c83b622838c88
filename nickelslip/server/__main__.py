"""Entry point: python -m nickelslip.server, and the command nickelslip.

Owns the first moments of the process: until the server listens for notices, they wait; and the short way to serving,
which the platform takes. It must never do more.
"""

import gc
import os
import signal
import sys


def run() -> None:
    """A notice that comes while the program is still being read would end it, by the system's default. `serve` with one
    file, named by the environment or by --config, needs no reading of arguments; all else goes by the command line."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM})
    arguments, path = sys.argv[1:], os.environ.get("ROUTER_CONFIG", "")
    if len(arguments) == 3 and arguments[1] == "--config":
        arguments, path = arguments[:1], arguments[2]
    if arguments == ["serve"] and len(path.split()) == 1:
        gc.disable()  # until the start is over: what is imported stays
        from nickelslip.server.program import serve

        serve((path,))
    from nickelslip.server.cli import main

    main(prog_name="nickelslip")


if __name__ == "__main__":
    run()
