"""The real server on loopback sockets, connected to fake services."""

from __future__ import annotations

import copy
import json
import os
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import anyio
import anyio.abc

from nickelslip.configuration.config import ChangeRules, Config, config_from_platform
from nickelslip.configuration.generations import Generation
from nickelslip.configuration.store import HistoryStore
from nickelslip.server.configuration_manager import ConfigurationManager
from nickelslip.server.control_socket import ControlSocket
from nickelslip.server.lifecycle import Phase
from nickelslip.server.listening_socket import bind
from nickelslip.server.load_balancer_connection import LoadBalancerConnection
from nickelslip.server.load_balancer_listener import LoadBalancerListener
from nickelslip.server.server import Server
from nickelslip.server.starting_configuration import select_starting_configuration
from tests.support.fake_records_service import FakeRecordsService
from tests.support.fake_worker_pool import CALL_BODY, FakeWorkerPool
from tests.support.load_balancer_client import LoadBalancerClient, RawClient
from tests.support.platform_settings import PLATFORM_SETTINGS
from tests.support.waiting import wait_until

PROGRAM_START_S = 10.0


class ServerRig:
    """A server connected to fake services, in this process or in a subprocess.

    Args:
        in_subprocess: Whether the test runs the server in a subprocess. The rig then starts only the services.
        change_rules: The rules for configuration changes, or None for a server without a configuration manager.
        specifics: Keys of the settings' `specifics` that override those of `PLATFORM_SETTINGS`.

    Attributes:
        platform_settings: The settings, in the platform's format.
        config: The content of the configuration file.
        pool: The fake worker pool.
        records: The fake records service.
        reports: The load reports that the directory received.
        server: The server under test.
        listener: The socket that the server accepts clients on.
        port: The port that clients connect to.
        configuration_manager: The configuration manager, or None without `change_rules`.
        exited_cleanly: The return value of `Server.run`, or None while it has not returned.
    """

    def __init__(self, in_subprocess: bool = False, change_rules: ChangeRules | None = None, **specifics: Any) -> None:
        self._in_subprocess = in_subprocess
        self._change_rules = change_rules
        self.configuration_manager: Any = None
        self.platform_settings = copy.deepcopy(PLATFORM_SETTINGS)
        self.platform_settings["specifics"].update(specifics)
        self.pool = FakeWorkerPool()
        self.records = FakeRecordsService()
        self.reports: list[str] = []
        self.exited_cleanly: bool | None = None
        self.config: dict[str, Any] = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "seed": "8c1f",
            "stop_ms": 700,
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 200},
            "settings": self.platform_settings,
        }

    async def __aenter__(self) -> ServerRig:
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        await self.pool.listen(self._tasks)
        await self.records.listen(self._tasks)
        directory_port = await self.start_directory()
        self._set_service_addresses()
        self.config["lookup"] = f"127.0.0.1:{directory_port}"
        self.listener = bind(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.server = Server(self.read(), self.read)
        self.server.listeners.append(LoadBalancerListener(self.server, self.listener))
        if self._change_rules is not None:
            self._add_configuration_manager(self._change_rules)
        if not self._in_subprocess:
            self._tasks.start_soon(self._run)
        return self

    def _set_service_addresses(self) -> None:
        self.config["pool"] = f"127.0.0.1:{self.pool.port}"
        self.config["records"] = f"127.0.0.1:{self.records.port}"

    def read(self) -> Config:
        """Return the configuration that the server would read from its file now."""
        config = config_from_platform(self.config, {})
        return config if self._change_rules is None else replace(config, changes=self._change_rules)

    def _add_configuration_manager(self, rules: ChangeRules) -> None:
        store = HistoryStore(rules.history, rules.history_kb) if rules.history else None
        config, file, start, records = select_starting_configuration(
            self.read(), store, self.server.clock(), self.server.log
        )
        self.server = Server(config, self.read)
        self.server.listeners.append(LoadBalancerListener(self.server, self.listener))
        self.configuration_manager = ConfigurationManager(self.server, file, start, records, self.read, store)
        self.server.background_tasks.append(self.configuration_manager.run)
        if rules.socket:
            self.server.background_tasks.append(
                ControlSocket(self.server, rules.socket, rules.socket_mode, self.configuration_manager.command).run
            )

    async def push(self, document: dict[str, object], **fields: object) -> Any:
        """Apply a partial document to the configuration in force, as an operator would, and return the reply."""
        return await self.configuration_manager.command({"do": "apply", "document": document, **fields})

    def reload_settings(self) -> None:
        """Make the server start from the current settings; call this before the server reads any input."""
        self.server.generation = Generation(1, self.read())

    def set_descriptor_shares(self, **shares: int) -> None:
        """Override the descriptor shares that the server computes from its descriptor limit."""
        generation = self.server.generation
        vars(generation)["descriptor_shares"] = generation.descriptor_shares._replace(**shares)

    async def move_services(self) -> None:
        """Replace the worker pool and the records service with new ones, and have the server reload."""
        self.pool = await self.start_pool_at_new_address()
        self.records = FakeRecordsService()
        await self.records.listen(self._tasks)
        self._set_service_addresses()
        (self.server.reload_handler or self.server).reload()

    async def start_pool_at_new_address(self) -> FakeWorkerPool:
        """Start a worker pool with the same notifications at another address, and return it."""
        pool = FakeWorkerPool()
        pool.notifications = self.pool.notifications
        pool.seq = self.pool.seq
        pool.accepts_binds.set()
        await pool.listen(self._tasks)
        return pool

    async def start_directory(self, port: int = 0) -> int:
        """Start the directory and return its port."""
        self._udp = await anyio.create_udp_socket(local_host="127.0.0.1", local_port=port)
        self._tasks.start_soon(self._receive_reports, self._udp)
        return self._udp.extra(anyio.abc.SocketAttribute.local_port)

    async def stop_directory(self) -> int:
        """Stop the directory and return the port it listened on."""
        port = self._udp.extra(anyio.abc.SocketAttribute.local_port)
        await self._udp.aclose()
        return port

    async def _receive_reports(self, udp: anyio.abc.UDPSocket) -> None:
        with suppress(anyio.ClosedResourceError):
            async for packet, _ in udp:
                self.reports.append(packet.decode())

    async def _run(self) -> None:
        self.exited_cleanly = await self.server.run()

    async def __aexit__(self, *error: object) -> None:
        with anyio.CancelScope(shield=True):
            self._tasks.cancel_scope.cancel()
            await self._udp.aclose()
            self.listener.close()
            with suppress(BaseException):
                await self._tasks.__aexit__(None, None, None)

    async def wait_until_serving(self) -> ServerRig:
        """Let the worker pool accept binds, wait until the server is serving with its link up, and return the rig."""
        self.pool.accepts_binds.set()
        await wait_until(lambda: self.server.phase is Phase.SERVING and self.server.worker_pool.is_up)
        return self

    async def connect_client(self) -> LoadBalancerClient:
        """Connect a load balancer to the server."""
        return LoadBalancerClient(await anyio.connect_tcp("127.0.0.1", self.port))

    def connection_of(self, client: RawClient) -> LoadBalancerConnection | None:
        """Return the server's end of this client's connection, or None if it is closed."""
        listener: Any = self.server.listeners[0]
        for connection in listener.table.connections:
            with suppress(OSError):  # reset by its client
                if not connection.stream.close_reason:
                    peer_address = connection.stream._sock.getpeername()
                    if peer_address == client.local_address:
                        return connection
        return None

    async def start_run(
        self, client: LoadBalancerClient, request_id: str, class_name: str = "read", **fields: Any
    ) -> int:
        """Send a request, wait until the worker pool receives the command to start its run, and return its tag."""
        tag = await client.send_request(request_id, class_name, **fields)
        await wait_until(lambda: self.pool.received_commands("spawn", request_id))
        return tag

    async def start_call(
        self, client: LoadBalancerClient, request_id: str, class_name: str = "read", **fields: Any
    ) -> int:
        """Send a request, wait until the records service receives its run's call, and return its tag."""
        tag = await self.start_run(client, request_id, class_name, **fields)
        await self.pool.block(request_id)
        await wait_until(lambda: ("OP", request_id, CALL_BODY) in self.records.received)
        return tag


def free_port() -> int:
    """Return a loopback port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@asynccontextmanager
async def run_program(rig: ServerRig, folder: Path) -> AsyncIterator[subprocess.Popen[bytes]]:
    """Run the program in a subprocess, connected to the rig's services, and kill it at the end."""
    rig.port = free_port()
    file = folder / "config.json"
    file.write_text(json.dumps({**rig.config, "listen": f"127.0.0.1:{rig.port}"}))
    with (
        (folder / "log").open("wb") as log,
        subprocess.Popen(
            [sys.executable, "-B", "deploy/serve.py", "serve"],
            env={**os.environ, "ROUTER_CONFIG": str(file)},
            stdout=log,
            stderr=log,
        ) as process,
    ):
        try:
            await wait_until(lambda: rig.pool.gauge_query_count, PROGRAM_START_S)
            yield process
        finally:
            process.kill()
