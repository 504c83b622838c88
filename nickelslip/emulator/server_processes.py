"""Starts, shuts down, kills and replaces the server processes of a fleet."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path

from nickelslip.emulator.fleet_files import FleetFiles
from nickelslip.emulator.fleet_services import FleetServices
from nickelslip.emulator.history import MS_PER_S, History, Kind
from nickelslip.emulator.processes import Process

SHUTDOWN_SLACK_S = 1.0  # added to the time after which the platform would kill the process
KILL_TIMEOUT_S = 10.0


CommandLine = Callable[[str], Sequence[str]]


class ServerProcesses:
    """The servers of a fleet by name, each process with its worker pool.

    Args:
        files: Provides the paths of configurations and logs.
        services: Starts and ends worker pools.
        history: Records starts and ends.
        command_line: Returns a server's command line, given the path of its configuration.
        cwd: The working directory of servers.
        stop_ms: Time within which a server must exit after it is told to shut down.

    Attributes:
        by_name: The latest process of each server, by name.
        pids: Ids of all processes started in this run.
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
        """Start a process for each name, with a new worker pool that comes up after `up_ms`."""
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
        await asyncio.gather(*(self.by_name[name].wait_until_ended(KILL_TIMEOUT_S) for name in names))

    async def shut_down(self, name: str) -> bool:
        """Tell a server to shut down, and kill it if it does not exit in time; return whether it exited by itself."""
        process = self.by_name[name]
        self._history.add(Kind.SHUTDOWN_REQUESTED, name)
        process.signal(signal.SIGTERM)
        ended_by_itself = await process.wait_until_ended(self._stop_ms / MS_PER_S + SHUTDOWN_SLACK_S)
        if not ended_by_itself:
            self._history.add(Kind.FAULT, name, "", "did not leave in time")
            await process.kill()
        await self._services.run("end_pool", name, why="it left")
        return ended_by_itself

    async def replace(self, names: Iterable[str]) -> None:
        """Shut servers down and start a new process for each."""
        await asyncio.gather(*(self._replace(name) for name in names))

    async def _replace(self, name: str) -> None:
        await self.shut_down(name)
        await self._start(name, 0.0)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a server."""
        self.by_name[name].signal(number)

    async def close(self) -> None:
        """Kill all servers that still run, without recording it."""
        for process in self.by_name.values():
            self._killed_pids.add(process.pid)
            process.signal(signal.SIGKILL)
        await asyncio.gather(*(process.wait_until_ended(KILL_TIMEOUT_S) for process in self.by_name.values()))
