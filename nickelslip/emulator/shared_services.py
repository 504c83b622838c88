"""All or some of the fake services of a fleet, in one process.

`service_commands` has the commands that control them. They are called directly in the fleet's own process, or as JSON
lines in a separate process (`services_process`). This module neither starts servers nor sends them signals.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from nickelslip.emulator.client_traffic import ClientTraffic
from nickelslip.emulator.directory_service import DirectoryService
from nickelslip.emulator.history import MS_PER_S, History, Kind
from nickelslip.emulator.link_relays import LinkRelays, service_address
from nickelslip.emulator.load_balancers import LoadBalancer
from nickelslip.emulator.records_service import RecordsService
from nickelslip.emulator.services_spec import ServicesSpec
from nickelslip.emulator.stall_monitor import StallMonitor
from nickelslip.emulator.worker_pool import WorkerPool

Address = tuple[str, int]
LIST_INTERVAL_MS = 100.0
NO_EXCESS = -1e9  # used instead of minus infinity, which JSON lacks


class SharedServices:
    """Services and relays in one process: the worker pools of some servers, the shared services, or both.

    Args:
        spec: The services of the whole fleet.
        pool_names: The servers whose worker pools run here.
        has_shared: Whether directory, records service and load balancers run here.
        history: Records the observations of the services.
        on_machine_failure: Called with the server's name when a machine fails from overload.
    """

    def __init__(
        self,
        spec: ServicesSpec,
        pool_names: list[str],
        has_shared: bool,
        history: History,
        on_machine_failure: Callable[[str], None],
    ) -> None:
        self.spec = spec
        self.history = history
        self.pools: dict[str, WorkerPool] = {}
        self.relays = LinkRelays(spec, history)
        self.directory: DirectoryService | None = None
        self.records: RecordsService | None = None
        self.balancers: list[LoadBalancer] = []
        self._pool_names = pool_names
        self._has_shared = has_shared
        self._on_machine_failure = on_machine_failure
        self._pool_listeners: dict[str, list[asyncio.Server]] = {name: [] for name in spec.servers}
        self._tasks: list[asyncio.Task[None]] = []
        self._worst_ended_excess = NO_EXCESS  # of the machines of ended worker pools

    # Start

    async def start(self) -> None:
        """Start all services but the worker pools, which start with their servers."""
        if self._has_shared:
            await self._start_shared()
        if self.spec.is_relayed:
            for name in self._pool_names:
                await self.relays.start_pool_link(name)

    async def _start_shared(self) -> None:
        spec = self.spec
        self.directory = DirectoryService(self.history, spec.directory_expiry_ms)
        self.records = RecordsService(spec.service, self.history, spec.seed)
        if spec.is_relayed:
            for name in spec.servers:
                await self.relays.start_shared_links(name)
        await self._listen(self.records, self.directory)
        traffic = ClientTraffic(spec.rate_per_s / max(1, spec.balancer_count), spec.traffic_classes)
        self.balancers = [
            LoadBalancer(
                number,
                self._balancer_addresses(),
                self.directory.listed,
                traffic,
                spec.balancer_policy,
                spec.seed,
                self.history,
            )
            for number in range(1, spec.balancer_count + 1)
        ]
        self._tasks.append(asyncio.get_running_loop().create_task(StallMonitor(self.history).run()))
        if spec.records_list:
            self._tasks.append(asyncio.get_running_loop().create_task(self._record_list(self.directory)))

    async def _listen(self, records: RecordsService, directory: DirectoryService) -> None:
        spec = self.spec
        servers_by_address = {
            service_address(addresses.records, spec.is_relayed): name for name, addresses in spec.servers.items()
        }
        for address, name in servers_by_address.items():
            await records.listen(address, name if spec.is_relayed else "")
        directory_addresses = {
            service_address(addresses.directory, spec.is_relayed) for addresses in spec.servers.values()
        }
        for address in directory_addresses:
            await directory.listen(address)

    def _balancer_addresses(self) -> dict[str, Address]:
        """Return by server the address to which load balancers connect; with relays, the relay's address."""
        return {
            name: service_address(addresses.listen, self.spec.is_relayed)
            for name, addresses in self.spec.servers.items()
        }

    async def _record_list(self, directory: DirectoryService) -> None:
        while True:
            self.history.add(Kind.LISTED, "", "", directory.listed())
            await asyncio.sleep(LIST_INTERVAL_MS / MS_PER_S)

    # Worker pools

    async def start_pool(self, server: str, up_ms: float = 0.0) -> None:
        """Start a new incarnation of a server's worker pool and end the previous one."""
        self.end_pool(server, "replaced")
        spec = self.spec
        pool = WorkerPool(server, spec.machine, spec.work, spec.seed, self.history, up_ms, self._on_machine_failure)
        self.pools[server] = pool
        address = service_address(spec.servers[server].pool, spec.is_relayed)
        self._pool_listeners[server].append(await pool.listen(address))

    def end_pool(self, server: str, reason: str) -> None:
        """End a server's worker pool, if it has one."""
        for listener in self._pool_listeners[server]:
            listener.close()
        self._pool_listeners[server].clear()
        if server in self.pools:
            self._worst_ended_excess = max(self._worst_ended_excess, self.pools[server].worst_excess)
            self.pools[server].end(reason)

    def register_later(self, server: str, up_ms: float = 0.0) -> None:
        """Register a server with the directory after `up_ms`, when its worker pool comes up."""
        if self.directory is not None:
            asyncio.get_running_loop().call_later(up_ms / MS_PER_S, self.directory.register, server)

    # Shared services

    def take_directory_down(self) -> None:
        """Make the directory ignore reports."""
        if self.directory is not None:
            self.directory.take_down()

    def bring_directory_up(self, empty: bool = False) -> None:
        """Make the directory accept reports again, with its previous entries or with an empty list."""
        if self.directory is not None:
            self.directory.bring_up(empty)

    def lose_reports(self, fraction: float) -> None:
        """Drop this fraction of all reports to the directory."""
        if self.directory is not None:
            self.directory.lost_fraction = fraction

    def take_records_down(self, for_ms: float) -> None:
        """Take the records service down for this time."""
        if self.records is not None:
            self.records.fail(for_ms)

    def slow_records(self, factor: float) -> None:
        """Make the records service slower by this factor; 1 restores the usual speed."""
        if self.records is not None:
            self.records.service.slowdown = factor

    def set_request_rate(self, rate_per_s: float) -> None:
        """Set the total request rate of all clients; the first call starts them."""
        for balancer in self.balancers:
            balancer.traffic.rate_per_s = rate_per_s / len(self.balancers)
            if not balancer.is_started:
                balancer.start()

    def restart_balancers(self, fraction: float = 1.0) -> None:
        """Restart this fraction of the load balancers."""
        for balancer in self.balancers[: round(fraction * len(self.balancers))]:
            balancer.restart()

    def figures(self) -> dict[str, Any]:
        """Return the figures that only the services know."""
        pool_excesses = [pool.worst_excess for pool in self.pools.values()]
        figures: dict[str, Any] = {
            "lag_ms": max((balancer.lag_ms for balancer in self.balancers), default=0.0),
            "machines_worst": max([self._worst_ended_excess, *pool_excesses]),
        }
        if self.records is not None:
            service = self.records.service
            figures |= {
                "records_falls": service.overload_failure_count,
                "records_over_ms": service.overload_ms,
                "records_most": service.max_in_flight,
                "records_calls": service.call_count,
                "records_worst": service.worst_excess,
            }
        return figures

    # Shutdown

    async def close(self) -> None:
        """Stop all services and relays."""
        self.relays.cancel_tasks()
        for task in self._tasks:
            task.cancel()
        for balancer in self.balancers:
            await balancer.close()
        for server in self.spec.servers:
            self.end_pool(server, "the end")
            await self.relays.close(server)
        if self.directory is not None:
            self.directory.close()
        if self.records is not None:
            self.records.close()
