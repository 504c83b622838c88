"""The files and addresses of a fleet: its folder, its servers' configurations and its block of loopback addresses."""

from __future__ import annotations

import json
import os
import random
import socket
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from nickelslip.emulator.fleet_plan import Plan
from nickelslip.emulator.services_spec import ServerAddresses

LISTEN_PORT = 6565
POOL_PORT = 7300
RECORDS_PORT = 8900
DIRECTORY_PORT = 7946
LOCK_PORT = 20001  # bound while a block is held
SERVERS_PER_SUBNET = 200  # servers whose addresses share the third byte
SHARED_SUBNET = 250  # third byte of the addresses of shared services
BLOCKS = range(16, 240)  # second byte of the addresses, one per fleet
CORES_LIMIT = 1.0
SOCKETS_LIMIT = 256
SEED_BITS = 64


class NoFreeAddressBlockError(Exception):
    """Other fleets hold all blocks of loopback addresses."""


class AddressBlock:
    """A block of loopback addresses, reserved for one fleet until it is released.

    Raises:
        NoFreeAddressBlockError: No block is free.
    """

    def __init__(self) -> None:
        numbers = list(BLOCKS)
        random.Random(os.getpid()).shuffle(numbers)
        for number in numbers:
            self._lock = socket.socket()
            try:
                self._lock.bind((f"127.{number}.255.254", LOCK_PORT))
            except OSError:
                self._lock.close()
                continue
            self.number = number
            return
        raise NoFreeAddressBlockError(f"all {len(BLOCKS)} blocks of loopback addresses are in use")

    def server_address(self, index: int, port: int) -> tuple[str, int]:
        """Return an address of the server with this index."""
        host = f"127.{self.number}.{index // SERVERS_PER_SUBNET}.{1 + index % SERVERS_PER_SUBNET}"
        return host, port

    def shared_address(self, port: int) -> tuple[str, int]:
        """Return an address of a shared service."""
        return f"127.{self.number}.{SHARED_SUBNET}.1", port

    def release(self) -> None:
        """Release the block."""
        self._lock.close()


def assign_addresses(names: Iterable[str], block: AddressBlock, relayed: bool) -> dict[str, ServerAddresses]:
    """Return each server's addresses; without relays, all servers use the same addresses for the shared services."""
    addresses = {}
    for index, name in enumerate(names):
        records = block.server_address(index, RECORDS_PORT) if relayed else block.shared_address(RECORDS_PORT)
        directory = block.server_address(index, DIRECTORY_PORT) if relayed else block.shared_address(DIRECTORY_PORT)
        addresses[name] = ServerAddresses(
            block.server_address(index, LISTEN_PORT),
            block.server_address(index, POOL_PORT),
            records,
            directory,
        )
    return addresses


class FleetFiles:
    """The folder of a fleet, with each server's configuration and log.

    Args:
        plan: The plan of the fleet.
        folder: The folder to write to; None for a temporary folder that is removed with the fleet.
    """

    def __init__(self, plan: Plan, folder: Path | None) -> None:
        self._plan = plan
        self._temporary = tempfile.TemporaryDirectory(prefix="fleet") if folder is None else None
        self.folder = Path(self._temporary.name) if self._temporary is not None else folder or Path()

    def config(self, name: str) -> Path:
        """Return the path of a server's configuration."""
        return self.folder / f"{name}.json"

    def log(self, name: str) -> Path:
        """Return the path of a server's log."""
        return self.folder / f"{name}.log"

    def write_config(self, name: str, settings: dict[str, Any], addresses: ServerAddresses) -> None:
        """Replace a server's configuration atomically."""
        seed = random.Random(f"{self._plan.seed} {name}").getrandbits(SEED_BITS)
        config = {
            "name": name,
            "listen": _endpoint(addresses.listen),
            "pool": _endpoint(addresses.pool),
            "records": _endpoint(addresses.records),
            "lookup": _endpoint(addresses.directory),
            "seed": f"{seed:016x}",
            "stop_ms": self._plan.stop_ms,
            "settings": settings,
            "limits": {"cores": CORES_LIMIT, "memory_mb": self._plan.memory_mb, "sockets": SOCKETS_LIMIT},
        }
        path = self.config(name)
        path.with_suffix(".new").write_text(json.dumps(config))
        path.with_suffix(".new").rename(path)

    def close(self) -> None:
        """Remove the folder, if it is a temporary one."""
        if self._temporary is not None:
            self._temporary.cleanup()


def _endpoint(address: tuple[str, int]) -> str:
    host, port = address
    return f"{host}:{port}"
