"""The server processes of a fleet: their start, shutdown, kill and replacement."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path

from nickelslip.emulator.fleet_files import FleetFiles
from nickelslip.emulator.fleet_services import FleetServices
from nickelslip.emulator.history import MS_PER_S, History, Kind
from nickelslip.emulator.processes import Process

SHUTDOWN_SLACK_S = 1.0  # past the time after which the platform would kill
KILL_TIMEOUT_S = 10.0


CommandLine = Callable[[str], Sequence[str]]


class ServerProcesses:
    """The servers of a fleet by name, each process together with its worker pool.

    Args:
        files: Where configurations and logs are.
        services: Where worker pools begin and end.
        history: Where starts and ends are recorded.
        command_line: Gives the command line for the path of a configuration.
        cwd: The working directory of servers.
        stop_ms: After a server is told to shut down, how long it has.

    Attributes:
        by_name: The last process under each name.
        pids: Ids of all processes that were ever started.
    """

    def __init__(
        self,
        files: FleetFiles,
        services: FleetServices,
        history: History,
        command_line: CommandLine,
        cwd: Path,
        stop_ms: float,
    ) -> None:
        self.by_name: dict[str, Process] = {}
        self.pids: list[int] = []
        self._files = files
        self._services = services
        self._history = history
        self._command_line = command_line
        self._cwd = cwd
        self._stop_ms = stop_ms
        self._killed_pids: set[int] = set()

    async def start(self, names: Iterable[str], up_ms: float) -> None:
        """Start a process under each name, with a new worker pool that comes up after `up_ms`."""
        await asyncio.gather(*(self._start(name, up_ms) for name in names))

    async def _start(self, name: str, up_ms: float) -> None:
        await self._services.run("pool", name, up_ms=up_ms)
        await self._services.run("came_up", name, up_ms=up_ms)
        self._history.add(Kind.STARTED, name)
        process = Process(
            self._command_line(str(self._files.config(name))),
            self._files.log(name),
            lambda exit_code: self._record_end(name, process, exit_code),
            self._cwd,
        )
        self.by_name[name] = process
        self.pids.append(process.pid)

    def _record_end(self, name: str, process: Process, exit_code: int) -> None:
        if process.pid not in self._killed_pids:
            self._history.add(Kind.ENDED, name, "", exit_code)

    async def kill(self, names: Sequence[str], reason: str) -> None:
        """Kill servers together with their worker pools."""
        for name in names:
            process = self.by_name[name]
            self._killed_pids.add(process.pid)
            self._history.add(Kind.KILLED, name, "", reason)
            process.signal(signal.SIGKILL)
            await self._services.run("end_pool", name, why=reason)
        await asyncio.gather(*(self.by_name[name].ended(KILL_TIMEOUT_S) for name in names))

    async def shut_down(self, name: str) -> bool:
        """Tell a server to shut down and kill it when its time is up; return whether it ended by itself."""
        process = self.by_name[name]
        self._history.add(Kind.SHUTDOWN_REQUESTED, name)
        process.signal(signal.SIGTERM)
        ended_by_itself = await process.ended(self._stop_ms / MS_PER_S + SHUTDOWN_SLACK_S)
        if not ended_by_itself:
            self._history.add(Kind.FAULT, name, "", "did not leave in time")
            await process.kill()
        await self._services.run("end_pool", name, why="it left")
        return ended_by_itself

    async def replace(self, names: Iterable[str]) -> None:
        """Shut servers down and start each anew under its name."""
        await asyncio.gather(*(self._replace(name) for name in names))

    async def _replace(self, name: str) -> None:
        await self.shut_down(name)
        await self._start(name, 0.0)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a server a signal."""
        self.by_name[name].signal(number)

    async def close(self) -> None:
        """Kill every server that still runs, without a record."""
        for process in self.by_name.values():
            self._killed_pids.add(process.pid)
            process.signal(signal.SIGKILL)
        await asyncio.gather(*(process.ended(KILL_TIMEOUT_S) for process in self.by_name.values()))
