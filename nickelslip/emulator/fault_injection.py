"""Faults that are injected into a running fleet: cut links, paused processes and moved services."""

from __future__ import annotations

import signal
from collections.abc import Iterable

from nickelslip.emulator.fleet_files import FleetFiles
from nickelslip.emulator.fleet_plan import Plan
from nickelslip.emulator.fleet_services import FleetServices
from nickelslip.emulator.history import History, Kind
from nickelslip.emulator.server_processes import ServerProcesses
from nickelslip.emulator.services_spec import ServerAddresses


class FaultInjector:
    """Injects faults into one fleet, and records them.

    Args:
        plan: The fleet.
        files: Where configurations are rewritten.
        services: Where links are cut and services moved.
        processes: The servers.
        history: Where signals are recorded; cuts are recorded by the relays.
    """

    def __init__(
        self,
        plan: Plan,
        files: FleetFiles,
        services: FleetServices,
        processes: ServerProcesses,
        history: History,
    ) -> None:
        self._plan = plan
        self._files = files
        self._services = services
        self._processes = processes
        self._history = history

    def pause(self, names: Iterable[str]) -> None:
        """Stop servers with SIGSTOP."""
        for name in names:
            self._history.add(Kind.PAUSED, name)
            self._processes.signal(name, signal.SIGSTOP)

    def resume(self, names: Iterable[str]) -> None:
        """Let paused servers go on, with SIGCONT."""
        for name in names:
            self._history.add(Kind.RESUMED, name)
            self._processes.signal(name, signal.SIGCONT)

    def reload(self, names: Iterable[str]) -> None:
        """Have servers read their configuration again, with SIGHUP."""
        for name in names:
            self._processes.signal(name, signal.SIGHUP)

    async def set_cut(self, names: Iterable[str], link: str, ways: list[str] | None, cut: bool) -> None:
        """Cut a link of these servers, or all with "", or restore it; in some directions, or both with None."""
        for name in names:
            await self._services.run("set_link", name, link=link, ways=ways, cut=cut)

    async def move_services(self, name: str) -> None:
        """Give a server's services other addresses and reload it; the old addresses accept nothing new."""
        addresses = await self._services.run("move", name)
        addresses = ServerAddresses(*((host, port) for host, port in addresses))
        self._files.write_config(name, self._plan.settings(), addresses)
        self.reload([name])
