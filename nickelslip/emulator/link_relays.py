"""The relays of all links between servers and services, and the faults of each."""

from __future__ import annotations

import asyncio
from typing import Any

from nickelslip.emulator.history import History
from nickelslip.emulator.links import Direction, directions, fault_fields
from nickelslip.emulator.relay import Address, Relay
from nickelslip.emulator.services_spec import ServicesSpec

SERVICE_PORT_OFFSET = 1  # port of a service behind a relay, relative to the relay's port
MOVE_PORT_OFFSET = 10  # between successive addresses of a service that moves
OLD_RELAY_CLOSE_DELAY_S = 1.5  # time from a move until connections to the old address are closed, as on the platform
POOL_LINK = "pool"
RECORDS_LINK = "records"
DIRECTORY_LINK = "directory"
BALANCERS_LINK = "balancers"
MOVED_LINKS = (POOL_LINK, RECORDS_LINK, DIRECTORY_LINK)


def service_address(address: Address, is_relayed: bool) -> Address:
    """Return the service's own address, given the address that servers use."""
    host, port = address
    return (host, port + SERVICE_PORT_OFFSET) if is_relayed else address


class LinkRelays:
    """The relays in this process, by server and link.

    Args:
        spec: The services of the whole fleet.
        history: Records cuts and their ends.
    """

    def __init__(self, spec: ServicesSpec, history: History) -> None:
        self._spec = spec
        self._history = history
        self._by_server: dict[str, dict[str, Relay]] = {name: {} for name in spec.servers}
        self._move_counts: dict[str, int] = {}
        self._tasks: list[asyncio.Task[None]] = []

    # Start

    async def start_pool_link(self, server: str) -> None:
        """Start the relay between a server and its worker pool."""
        await self._start(server, POOL_LINK, self._spec.servers[server].pool)

    async def start_shared_links(self, server: str) -> None:
        """Start the relays between a server and the records service, the directory and the load balancers."""
        addresses = self._spec.servers[server]
        await self._start(server, RECORDS_LINK, addresses.records)
        await self._start(server, DIRECTORY_LINK, addresses.directory)
        relay = Relay(BALANCERS_LINK, server, addresses.listen, Direction.TO_SERVER, self._spec.seed, self._history)
        self._by_server[server][BALANCERS_LINK] = relay
        await relay.listen(service_address(addresses.listen, True))

    async def _start(self, server: str, link: str, address: Address, target: Address | None = None) -> None:
        relay = Relay(
            link,
            server,
            target or service_address(address, True),
            Direction.FROM_SERVER,
            self._spec.seed,
            self._history,
        )
        self._by_server[server][link] = relay
        if link == DIRECTORY_LINK:
            await relay.listen_datagrams(address)
        else:
            await relay.listen(address)

    # Faults

    def set_faults(self, server: str, link: str, ways: list[str] | None, faults: dict[str, Any]) -> None:
        """Set faults, given under their keys, on a link of a server.

        With `link` "" all links are affected, and with `ways` None both directions.
        """
        for relay in self._relays_of(server, link):
            relay.set_faults(directions(ways), **fault_fields(faults))

    def reset(self, server: str, link: str = "") -> None:
        """Reset all connections of a link of a server; with `link` "", those of all links."""
        for relay in self._relays_of(server, link):
            relay.reset_connections()

    def _relays_of(self, server: str, link: str) -> list[Relay]:
        return [relay for name, relay in self._by_server[server].items() if link in ("", name)]

    async def move(self, server: str) -> list[Address]:
        """Move a server's services to other addresses.

        The old addresses accept no new connections, and existing connections there are closed shortly afterwards.

        Returns:
            The server's listening address, and the new addresses of worker pool, records service and directory.
        """
        self._move_counts[server] = self._move_counts.get(server, 0) + 1
        addresses = [self._spec.servers[server].listen]
        for link in MOVED_LINKS:
            old_relay = self._by_server[server][link]
            host, port = getattr(self._spec.servers[server], link)
            address = (host, port + MOVE_PORT_OFFSET * self._move_counts[server])
            addresses.append(address)
            await self._start(server, link, address, old_relay.target)
            old_relay.stop_accepting()
            self._tasks.append(asyncio.get_running_loop().create_task(_close_later(old_relay)))
        return addresses

    # Shutdown

    def cancel_tasks(self) -> None:
        """Stop waiting to close the relays at old addresses."""
        for task in self._tasks:
            task.cancel()

    async def close(self, server: str) -> None:
        """Close the relays of a server."""
        for relay in self._by_server[server].values():
            await relay.close()


async def _close_later(relay: Relay) -> None:
    await asyncio.sleep(OLD_RELAY_CLOSE_DELAY_S)
    await relay.close()
