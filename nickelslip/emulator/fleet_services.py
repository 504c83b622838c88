"""The services of a fleet, in the fleet's own process or spread over separate processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from nickelslip.emulator.history import History
from nickelslip.emulator.service_commands import run_command
from nickelslip.emulator.service_host import ServiceHost
from nickelslip.emulator.services_spec import ServicesSpec
from nickelslip.emulator.shared_services import SharedServices

POOL_COMMANDS = ("pool", "end_pool")  # run in the process of the server's worker pool
LINK_COMMANDS = ("set_link", "reset_links")  # run at the shared services and at the worker pool


class FleetServices:
    """All worker pools, shared services and relays of a fleet.

    Args:
        spec: The specification of the services.
        names: The names of the servers.
        host_count: Number of separate processes for the worker pools; with 0 all services run in this process.
        folder: The folder for the files of the separate processes.
        history: Records the observations of the services in this process.
        on_machine_failure: Called with the server's name when a machine fails from overload.

    Attributes:
        local: The services in this process; None if they run in separate processes.
        hosts: The separate processes; the first one has the shared services.
    """

    def __init__(
        self,
        spec: ServicesSpec,
        names: list[str],
        host_count: int,
        folder: Path,
        history: History,
        on_machine_failure: Callable[[str], None],
    ) -> None:
        self.spec = spec
        self.local: SharedServices | None = None
        self.hosts: list[ServiceHost] = []
        self._pool_hosts: dict[str, ServiceHost] = {}
        if not host_count:
            self.local = SharedServices(spec, names, True, history, on_machine_failure)
            return
        self.hosts.append(ServiceHost(folder, 0, spec, [], True, on_machine_failure))
        for number in range(1, host_count + 1):
            part = names[number - 1 :: host_count]
            host = ServiceHost(folder, number, spec, part, False, on_machine_failure)
            self.hosts.append(host)
            self._pool_hosts.update(dict.fromkeys(part, host))

    async def start(self) -> None:
        """Start all services but the worker pools, which start with their servers."""
        if self.local is not None:
            await self.local.start()
            return
        await asyncio.gather(*(host.start() for host in self.hosts))

    async def run(self, command: str, server: str = "", **values: Any) -> Any:
        """Run a command of `service_commands.COMMANDS` in the processes that it concerns, and return its result."""
        if server:
            values = {"server": server, **values}
        if self.local is not None:
            return await run_command(self.local, command, **values)
        host = self._pool_hosts[server] if command in POOL_COMMANDS else self.hosts[0]
        result = await host.run(command, **values)
        if command in LINK_COMMANDS:
            await self._pool_hosts[server].run(command, **values)
        return result

    async def figures(self) -> dict[str, float]:
        """Return the figures that only the services know; for a figure of several processes, the largest value."""
        if self.local is not None:
            return self.local.figures()
        merged: dict[str, float] = {}
        for figures in await asyncio.gather(*(host.run("figures") for host in self.hosts)):
            merged |= {name: max(value, merged.get(name, value)) for name, value in figures.items()}
        return merged

    async def close(self) -> list[History]:
        """Stop all services and return the histories of the separate processes."""
        if self.local is not None:
            await self.local.close()
        return await asyncio.gather(*(host.close() for host in self.hosts if host.is_started))
