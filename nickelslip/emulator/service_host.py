"""A separate process for some of a fleet's services, controlled by JSON lines on its standard input and output."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from nickelslip.emulator.history import History
from nickelslip.emulator.processes import die_with_parent
from nickelslip.emulator.services_spec import READY_NUMBER, ServicesSpec

ROOT = Path(__file__).parent.parent.parent
COMMAND_TIMEOUT_S = 30.0


class ServiceHostEndedError(Exception):
    """The process ended before it replied to a command."""


class ServiceHost:
    """A process that runs the worker pools of some servers, the shared services, or both.

    Args:
        folder: The folder for its files.
        number: Distinguishes its files from those of other processes.
        spec: The services of the whole fleet.
        pools: The servers whose worker pools run there.
        shared: Whether the shared services run there.
        on_machine_failure: Called with the server's name when a machine fails from overload.
    """

    def __init__(
        self,
        folder: Path,
        number: int,
        spec: ServicesSpec,
        pools: list[str],
        shared: bool,
        on_machine_failure: Callable[[str], None],
    ) -> None:
        self._spec_path = folder / f"host{number}.json"
        self._history_path = folder / f"host{number}.history"
        self._spec_path.write_text(json.dumps({"spec": spec.dump(), "pools": pools, "shared": shared}))
        self._log = (folder / f"host{number}.log").open("wb")
        self._on_machine_failure = on_machine_failure
        self._replies: dict[int, asyncio.Future[Any]] = {}
        self._last_number = READY_NUMBER
        self._process: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the process and wait until its services have started.

        Raises:
            TimeoutError: The services did not start within 30 s.
            ServiceHostEndedError: The process ended before its services had started.
        """
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "nickelslip.emulator.services_process",
            str(self._spec_path),
            str(self._history_path),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=self._log,
            preexec_fn=die_with_parent(os.getpid()),
        )
        ready = asyncio.get_running_loop().create_future()
        self._replies[READY_NUMBER] = ready
        self._reader = asyncio.get_running_loop().create_task(self._read_replies(self._process))
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            await ready

    @property
    def is_started(self) -> bool:
        """Whether the process has been started; it may have ended since."""
        return self._process is not None

    @property
    def pid(self) -> int:
        """The process id; available only after `start`."""
        assert self._process is not None
        return self._process.pid

    async def run(self, command: str, **values: Any) -> Any:
        """Run a command in the process and return its result.

        Raises:
            TimeoutError: No reply was received within 30 s.
            ServiceHostEndedError: The process ended before it replied.
        """
        assert self._process is not None
        assert self._process.stdin is not None
        self._last_number += 1
        reply = asyncio.get_running_loop().create_future()
        self._replies[self._last_number] = reply
        line = {"n": self._last_number, "do": command, "values": values}
        self._process.stdin.write(json.dumps(line).encode() + b"\n")
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            return await reply

    async def close(self) -> History:
        """Stop the process and return its history."""
        assert self._process is not None
        assert self._process.stdin is not None
        with suppress(OSError):
            self._process.stdin.write(b'{"do": "end"}\n')
            self._process.stdin.close()
        with suppress(TimeoutError):
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                await self._process.wait()
        if self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        if self._reader is not None:
            await self._reader
        self._log.close()
        return History.load(self._history_path) if self._history_path.exists() else History()

    async def _read_replies(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            message = json.loads(line)
            if "fell" in message:
                self._on_machine_failure(message["fell"])
                continue
            reply = self._replies.pop(message["n"], None)
            if reply is not None and not reply.done():
                reply.set_result(message["result"])
        for reply in self._replies.values():
            if not reply.done():
                reply.set_exception(ServiceHostEndedError("the services process ended before it replied"))
