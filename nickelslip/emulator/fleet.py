"""A fleet of real server processes with emulated services around them, for one run.

The fleet observes servers only through the services around them and never queries a server about itself. However a run
ends, it leaves no processes, sockets or temporary files behind.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from pathlib import Path
from typing import Any

from nickelslip.emulator import fleet_figures
from nickelslip.emulator.fault_injection import FaultInjector
from nickelslip.emulator.fleet_files import AddressBlock, FleetFiles, assign_addresses
from nickelslip.emulator.fleet_plan import Plan
from nickelslip.emulator.fleet_services import FleetServices
from nickelslip.emulator.history import MS_PER_S, History
from nickelslip.emulator.processes import Process, program_command_line, running_pids
from nickelslip.emulator.server_processes import CommandLine, ServerProcesses
from nickelslip.emulator.services_spec import ServicesSpec
from nickelslip.emulator.shared_services import SharedServices

ROOT = Path(__file__).parent.parent.parent
POLL_INTERVAL_S = 0.005
DRAIN_MARGIN_S = 0.2


class FleetTimeoutError(Exception):
    """A condition did not become true within the time limit."""


def serve_command_line(config: str) -> list[str]:
    """Return the command line of a server with this configuration."""
    return program_command_line("serve", "--config", config)


class Fleet:
    """One run, as an asynchronous context manager: servers, services, faults and history.

    Args:
        plan: The plan of the fleet.
        folder: The folder for its files; None for a temporary folder.
        command_line: Returns a server's command line, given the path of its configuration.
        cwd: The working directory of servers.
    """

    def __init__(
        self,
        plan: Plan,
        folder: Path | None = None,
        command_line: CommandLine | None = None,
        cwd: Path = ROOT,
    ) -> None:
        self.plan = plan
        self.names = plan.names
        self.history = History()
        self._files = FleetFiles(plan, folder)
        self._command_line = command_line or serve_command_line
        self._cwd = cwd
        self._block: AddressBlock | None = None
        self._services: FleetServices | None = None
        self._processes: ServerProcesses | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False

    async def __aenter__(self) -> Fleet:
        self._block = AddressBlock()
        try:
            await self._set_up(self._block)
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.close()

    async def _set_up(self, block: AddressBlock) -> None:
        plan = self.plan
        self.spec = ServicesSpec(
            assign_addresses(self.names, block, plan.is_relayed),
            plan.traffic_classes,
            plan.work,
            plan.machine,
            plan.service,
            plan.balancer_policy,
            plan.balancer_count,
            plan.rate_per_s,
            seed=plan.seed,
            is_relayed=plan.is_relayed,
            records_list=plan.records_list,
        )
        settings = plan.settings()
        for name, addresses in self.spec.servers.items():
            self._files.write_config(name, settings, addresses)
        services = FleetServices(
            self.spec,
            self.names,
            plan.service_process_count,
            self._files.folder,
            self.history,
            self._kill_after_machine_failure,
        )
        processes = ServerProcesses(self._files, services, self.history, self._command_line, self._cwd, plan.stop_ms)
        self._services = services
        self._processes = processes
        self._faults = FaultInjector(plan, self._files, services, processes, self.history)
        await services.start()

    def _kill_after_machine_failure(self, name: str) -> None:
        """Kill a server whose machine failed from overload, as the platform does."""
        self._spawn(self.kill(name, reason="its machine fell over"))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Stop all processes and services, and join the histories of all processes."""
        if self._closed:
            return
        self._closed = True
        for task in list(self._tasks):
            task.cancel()
        if self._processes is not None:
            await self._processes.close()
        if self._services is not None:
            self.history = History.joined([self.history, *await self._services.close()])
        if self._block is not None:
            self._block.release()
        self._files.close()

    # Components

    @property
    def services(self) -> FleetServices:
        """The services; available only inside the context."""
        assert self._services is not None
        return self._services

    @property
    def local_services(self) -> SharedServices:
        """The services in this process; available only if the plan has no separate service processes."""
        assert self.services.local is not None
        return self.services.local

    @property
    def processes(self) -> dict[str, Process]:
        """The latest process of each server, by name."""
        return self._servers.by_name

    @property
    def pids(self) -> list[int]:
        """Ids of all server processes started in this run."""
        return self._servers.pids

    @property
    def _servers(self) -> ServerProcesses:
        assert self._processes is not None
        return self._processes

    def config(self, name: str) -> Path:
        """Return the path of a server's configuration."""
        return self._files.config(name)

    def remaining_pids(self) -> list[int]:
        """Return the ids of server processes of this run that still exist."""
        return running_pids(self.pids)

    # Commands

    async def run_command(self, command: str, server: str = "", **values: Any) -> Any:
        """Run a command of `service_commands.COMMANDS` at the services."""
        return await self.services.run(command, server, **values)

    async def set_request_rate(self, rate_per_s: float | None = None) -> None:
        """Make clients send at this rate, by default at the plan's."""
        await self.run_command("ask", rate=self.plan.rate_per_s if rate_per_s is None else rate_per_s)

    async def start(self, *names: str, up_ms: float = 0.0) -> None:
        """Start these servers, by default all, with new worker pools that come up after `up_ms`."""
        await self._servers.start(names or self.names, up_ms)

    async def kill(self, *names: str, reason: str = "a fault") -> None:
        """Kill servers together with their worker pools."""
        await self._servers.kill(names, reason)

    async def shut_down(self, name: str) -> bool:
        """Tell a server to shut down; return whether it exited in time rather than being killed."""
        return await self._servers.shut_down(name)

    async def replace(self, *names: str) -> None:
        """Shut servers down and start a new process for each."""
        await self._servers.replace(names)

    # Faults

    def pause(self, *names: str) -> None:
        """Pause servers with SIGSTOP."""
        self._faults.pause(names)

    def resume(self, *names: str) -> None:
        """Resume paused servers."""
        self._faults.resume(names)

    def reload(self, *names: str) -> None:
        """Make servers reload their configuration."""
        self._faults.reload(names)

    async def move_services(self, name: str) -> None:
        """Move a server's services to other addresses and reload the server."""
        await self._faults.move_services(name)

    async def cut(self, *names: str, link: str = "", ways: list[str] | None = None) -> None:
        """Cut one link of these servers, by default all links, in the given directions, by default both."""
        await self._faults.set_cut(names, link, ways, True)

    async def restore(self, *names: str, link: str = "", ways: list[str] | None = None) -> None:
        """Restore links that were cut."""
        await self._faults.set_cut(names, link, ways, False)

    # Waiting

    async def wait_until(self, condition: Callable[[], object], timeout_s: float = 10.0, what: str = "") -> None:
        """Wait until a condition is true.

        Raises:
            FleetTimeoutError: The condition is not true within `timeout_s`; the message begins with `what`.
        """
        deadline_at_ms = self.history.clock() + MS_PER_S * timeout_s
        while not condition():
            if self.history.clock() > deadline_at_ms:
                raise FleetTimeoutError(f"{what or condition}: timed out after {timeout_s:g} s")
            await asyncio.sleep(POLL_INTERVAL_S)

    def are_serving(self, names: Iterable[str]) -> bool:
        """Return whether these servers are listed and connected to their worker pools."""
        directory = self.local_services.directory
        pools = self.local_services.pools
        assert directory is not None
        listed = set(directory.listed())
        return set(names) <= listed and all(name in pools and pools[name].is_linked for name in names)

    async def wait_until_serving(self, *names: str, timeout_s: float = 15.0) -> None:
        """Wait until these servers, by default all, are serving."""
        await self.wait_until(lambda: self.are_serving(names or self.names), timeout_s, "servers that are serving")

    async def stop_requests(self) -> None:
        """Stop the clients and wait until the deadlines of all requests have passed."""
        await self.set_request_rate(0.0)
        longest_ms = max(traffic.timeout_ms for traffic in self.plan.traffic_classes.values())
        await asyncio.sleep((longest_ms + self.plan.slack_ms) / MS_PER_S + DRAIN_MARGIN_S)

    # Figures

    async def figures(self) -> dict[str, float]:
        """Return the figures that only the services know."""
        return await self.services.figures()

    def violations(self, overload_failures_expected: bool = False) -> list[str]:
        """Return the rule violations in the history; overload failures count unless they are expected."""
        return fleet_figures.violations(self.history, self.plan, overload_failures_expected)

    def served_fraction(self, begin_at_ms: float, end_at_ms: float | None = None) -> float:
        """Return the fraction of the requested priority weight in this time span that was served in time."""
        end = self.history.clock() if end_at_ms is None else end_at_ms
        return fleet_figures.served_fraction(self.history, begin_at_ms, end)
