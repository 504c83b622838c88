"""The program of a separate process for some of a fleet's services.

`python -m nickelslip.emulator.services_process SPEC HISTORY` reads the specification and the services to run from the
file SPEC. It reads commands as JSON lines from standard input and replies on standard output. At the end it writes its
history to the file HISTORY.
"""

from __future__ import annotations

import asyncio
import json
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import uvloop

from nickelslip.emulator.history import History
from nickelslip.emulator.service_commands import run_command
from nickelslip.emulator.services_spec import READY_NUMBER, ServicesSpec
from nickelslip.emulator.shared_services import SharedServices

LINE_LIMIT_BYTES = 1 << 24


def main() -> None:
    """Run the services until the end of the input."""
    part = json.loads(Path(sys.argv[1]).read_text())
    history = History()
    services = SharedServices(
        ServicesSpec.load(part["spec"]),
        part["pools"],
        part["shared"],
        history,
        lambda server: _write_line(fell=server),
    )
    uvloop.run(_run(services, history, Path(sys.argv[2])))


async def _run(services: SharedServices, history: History, history_path: Path) -> None:
    reader = asyncio.StreamReader(limit=LINE_LIMIT_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    await services.start()
    _write_line(n=READY_NUMBER, result=None)
    try:
        await _run_commands(services, reader)
    finally:
        with suppress(Exception):
            await services.close()
        history.save(history_path)


async def _run_commands(services: SharedServices, reader: asyncio.StreamReader) -> None:
    while line := await reader.readline():
        message = json.loads(line)
        if message["do"] == "end":
            return
        result = await run_command(services, message["do"], **message["values"])
        _write_line(n=message["n"], result=result)


def _write_line(**message: Any) -> None:
    sys.stdout.write(json.dumps(message) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    main()
