"""Entry point of the command `nickelslip` and of `python -m nickelslip.server`."""

from __future__ import annotations

import gc
import os
import signal
import sys


def run() -> None:
    """Run the command line.

    SIGHUP and SIGTERM are blocked first, since their default action would end the process during the imports. They stay
    pending until the server handles signals. `serve` with a single file skips the imports of the command line.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM})
    path = _single_path_to_serve(sys.argv[1:], os.environ.get("ROUTER_CONFIG", ""))
    if path is not None:
        gc.disable()  # until the server is created; imported modules are never garbage
        from nickelslip.server.program import serve

        serve((path,))
    from nickelslip.server.cli import main

    main(prog_name="nickelslip")


def _single_path_to_serve(arguments: list[str], environment_path: str) -> str | None:
    """Return the file to serve, if the arguments are `serve` with a single file from --config or the environment."""
    match arguments:
        case ["serve"]:
            path = environment_path
        case ["serve", "--config", argument_path]:
            path = argument_path
        case _:
            return None
    return path if len(path.split()) == 1 else None


if __name__ == "__main__":
    run()
