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
    """Injects faults into one fleet and records them.

    Args:
        plan: The plan of the fleet.
        files: Rewrites the configurations.
        services: Cuts links and moves services.
        processes: The servers.
        history: Records signals; the relays record cuts.
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
        """Pause servers with SIGSTOP."""
        for name in names:
            self._history.add(Kind.PAUSED, name)
            self._processes.signal(name, signal.SIGSTOP)

    def resume(self, names: Iterable[str]) -> None:
        """Resume paused servers with SIGCONT."""
        for name in names:
            self._history.add(Kind.RESUMED, name)
            self._processes.signal(name, signal.SIGCONT)

    def reload(self, names: Iterable[str]) -> None:
        """Make servers reload their configuration with SIGHUP."""
        for name in names:
            self._processes.signal(name, signal.SIGHUP)

    async def set_cut(self, names: Iterable[str], link: str, ways: list[str] | None, cut: bool) -> None:
        """Cut or restore a link of these servers.

        With `link` "" all links are affected, and with `ways` None both directions.
        """
        for name in names:
            await self._services.run("set_link", name, link=link, ways=ways, cut=cut)

    async def move_services(self, name: str) -> None:
        """Move a server's services to other addresses and reload it; the old addresses accept no new connections."""
        addresses = await self._services.run("move", name)
        addresses = ServerAddresses(*((host, port) for host, port in addresses))
        self._files.write_config(name, self._plan.settings(), addresses)
        self.reload([name])
