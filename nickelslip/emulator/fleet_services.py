"""A fleet's services: in the fleet's own process, or packed into a few others."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from nickelslip.emulator.history import History
from nickelslip.emulator.service_host import ServiceHost
from nickelslip.emulator.services_spec import ServicesSpec
from nickelslip.emulator.shared_services import SharedServices

POOL_COMMANDS = ("pool", "end_pool")  # carried out where the server's worker pool is
LINK_COMMANDS = ("set_link", "reset_links")  # carried out at the shared services and at the worker pool


class FleetServices:
    """All worker pools, shared services and relays of a fleet.

    Args:
        spec: What they are like.
        names: The servers.
        host_count: Further processes for the worker pools; with 0 everything is in this process.
        folder: Where the files of further processes are written.
        history: Where the services in this process record what they see.
        on_fall: Called with the server's name when a machine falls over.

    Attributes:
        local: The services in this process; None where they are in others.
        hosts: The other processes, that with what is shared first.
    """

    def __init__(
        self,
        spec: ServicesSpec,
        names: list[str],
        host_count: int,
        folder: Path,
        history: History,
        on_fall: Callable[[str], None],
    ) -> None:
        self.spec = spec
        self.local: SharedServices | None = None
        self.hosts: list[ServiceHost] = []
        self._pool_hosts: dict[str, ServiceHost] = {}
        if not host_count:
            self.local = SharedServices(spec, names, True, history, on_fall)
            return
        self.hosts.append(ServiceHost(folder, 0, spec, [], True, on_fall))
        for number in range(1, host_count + 1):
            part = names[number - 1 :: host_count]
            host = ServiceHost(folder, number, spec, part, False, on_fall)
            self.hosts.append(host)
            self._pool_hosts.update(dict.fromkeys(part, host))

    async def start(self) -> None:
        """Start everything but the worker pools, which begin with their servers."""
        if self.local is not None:
            await self.local.start()
            return
        await asyncio.gather(*(host.start() for host in self.hosts))

    async def run(self, command: str, server: str = "", **values: Any) -> Any:
        """Run a command of shared_services.COMMANDS where it belongs, and return its result."""
        if server:
            values = {"server": server, **values}
        if self.local is not None:
            return await self.local.run_command(command, **values)
        host = self._pool_hosts[server] if command in POOL_COMMANDS else self.hosts[0]
        result = await host.run(command, **values)
        if command in LINK_COMMANDS:
            await self._pool_hosts[server].run(command, **values)
        return result

    async def figures(self) -> dict[str, float]:
        """Return what only the services can tell; of a figure that several processes have, the largest."""
        if self.local is not None:
            return self.local.figures()
        merged: dict[str, float] = {}
        for figures in await asyncio.gather(*(host.run("figures") for host in self.hosts)):
            merged |= {name: max(value, merged.get(name, value)) for name, value in figures.items()}
        return merged

    async def close(self) -> list[History]:
        """End all of them and return the histories of the other processes."""
        if self.local is not None:
            await self.local.close()
        return await asyncio.gather(*(host.close() for host in self.hosts if host.is_started))
