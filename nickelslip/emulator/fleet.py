"""A fleet of true processes of the program among emulated surroundings, and what is done to it.

Owns addresses, configurations, processes and the history of one run. Surroundings are in this process, or packed into a
few others so that the cores go to the servers. Whatever ends a run, nothing of it stays. It must never ask a server how
it is: what is known of servers is what the parties round them saw.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from nickelslip.emulator import checkers
from nickelslip.emulator.history import History, Kind
from nickelslip.emulator.load_balancers import GradeTraffic, Habits
from nickelslip.emulator.models import MachineKind, ServiceKind
from nickelslip.emulator.processes import Process, alive, program, with_its_parent
from nickelslip.emulator.shared_services import Places, Spec, Surround
from nickelslip.emulator.worker_pool import WorkProfile

ROOT = Path(__file__).parent.parent.parent
LISTEN, POOL, RECORDS, DIRECTORY, HELD = 6565, 7300, 8900, 7946, 20001
EACH = 200  # servers under one third byte of an address
SHARED = 250  # third byte of what is shared
BLOCKS = range(16, 240)  # second bytes of addresses, one a fleet
LEAVE_SLACK_S = 1.0  # past the time after which the platform would kill
HOST_S = 30.0  # for a command to another process


class NotInTime(Exception):
    """What was waited for did not come about."""


def grades() -> dict[str, GradeTraffic]:
    """Three service grades, one of each kind."""
    return {
        "read": GradeTraffic(0.6, 1.0, 1000.0, 2000.0, True),
        "pay": GradeTraffic(0.3, 3.0, 500.0, 1200.0, False),
        "book": GradeTraffic(0.1, 2.0, 800.0, 1500.0, False, True),
    }


@dataclass(frozen=True)
class Plan:
    """What a fleet is made of."""

    size: int = 3
    seed: int = 1
    rate: float = 60.0  # transactions a second, of all clients together
    balancers: int = 4
    grades: dict[str, GradeTraffic] = field(default_factory=grades)
    work: WorkProfile = field(
        default_factory=lambda: WorkProfile({"read": 30.0, "pay": 15.0, "book": 10.0}, {"read": 1.0, "pay": 1.0})
    )
    machine: MachineKind = field(default_factory=MachineKind)
    service: ServiceKind = field(default_factory=ServiceKind)
    habits: Habits = field(default_factory=Habits)
    call_share: float | None = None  # of what the records survive, for each server; None: an even part of it
    cold: bool = False
    relayed: bool = True
    read_list: bool = False
    hosts: int = 0  # further processes for the surroundings; 0: all is in this one
    stop_ms: float = 1500.0
    grace_ms: float = 300.0
    slack_ms: float = 500.0  # what a crowded machine may add to an answer
    memory_mb: int = 64
    window_ms: float = 4000.0
    prefix: str = "n"

    @property
    def names(self) -> list[str]:
        return [f"{self.prefix}{number}" for number in range(1, self.size + 1)]

    def settings(self) -> dict[str, Any]:
        """What each server is told, in the platform's form."""
        kinds = {True: "read_like", False: "non_idempotent"}
        share = self.service.survives / self.size if self.call_share is None else self.call_share
        return {
            "bounds": {"max-retry-after-ms": 1000.0, "retry-after": True},
            "classes": [
                {
                    "name": name,
                    "gain": each.credit,
                    "aim-ms": each.quoted_ms,
                    "deadline-ms": each.patience_ms,
                    "idempotency": "idempotency_key" if each.marked else kinds[each.replayable],
                    **({"memory-span-ms": self.window_ms} if each.marked else {}),
                }
                for name, each in self.grades.items()
            ],
            "client-habits": {"marks-retry": True},
            "tenants": [{"name": "acme", "quota-rps": self.rate}],
            "tick-ms": 5.0,
            "servers": self.size,
            "invariants": {
                "answer-slack-ms": 20.0,
                "cold-from": self.machine.cold_from,
                "cold-ms": max(1.0, self.machine.cold_ms),
                "fall-multiple": self.machine.fall_multiple,
                "stop-sending-within-ms": self.grace_ms,
            },
            "specifics": {
                "cpus": self.machine.cores,
                "memory-kb": 9000.0,
                "run-factor": 16.0,
                "say": "bias",
                "callers": self.balancers,
                "cold": self.cold,
                "below": "common",
                "dep-share": share,
                "calls-over-ms": self.service.span_ms,
                "stays-for-ms": self.service.linger_ms,
                "kb-per-key": 20.0,
                "stop-mode": "drop",
                "idle-ms": 15000.0,
                "class-calls": [self.work.calls.get(name, 0.0) > 0 for name in self.grades],
                "class-skip-worth": [0.6 if each.replayable else 0.0 for each in self.grades.values()],
                "own-stats": ["cpu_busy", "runnable", "mem_used", "sockets"],
            },
        }


class Block:
    """A block of loopback addresses that is this fleet's alone for as long as it holds it."""

    def __init__(self) -> None:
        order = list(BLOCKS)
        random.Random(os.getpid()).shuffle(order)
        for number in order:
            self._held = socket.socket()
            try:
                self._held.bind((f"127.{number}.255.254", HELD))
                self.number = number
                return
            except OSError:
                self._held.close()
        raise NotInTime("no block of loopback addresses is free")

    def at(self, index: int, port: int) -> tuple[str, int]:
        return f"127.{self.number}.{index // EACH}.{1 + index % EACH}", port

    def shared(self, port: int) -> tuple[str, int]:
        return f"127.{self.number}.{SHARED}.1", port

    def give_back(self) -> None:
        self._held.close()


class Host:
    """Another process with a part of the surroundings."""

    def __init__(self, folder: Path, number: int, spec: Spec, pools: list[str], shared: bool) -> None:
        self._spec_file, self.out = folder / f"host{number}.json", folder / f"host{number}.history"
        self._spec_file.write_text(json.dumps({"spec": spec.dump(), "pools": pools, "shared": shared}))
        self._log = (folder / f"host{number}.log").open("wb")
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._number = 0
        self.on_fall: Callable[[str], None] = lambda server: None

    async def start(self) -> None:
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "nickelslip.emulator.shared_services",
            str(self._spec_file),
            str(self.out),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=self._log,
            preexec_fn=with_its_parent(os.getpid()),
        )
        ready = self._waiting[0] = asyncio.get_running_loop().create_future()
        self._reader = asyncio.get_running_loop().create_task(self._read())
        async with asyncio.timeout(HOST_S):
            await ready

    @property
    def pid(self) -> int:
        return self._process.pid

    async def _read(self) -> None:
        assert self._process.stdout is not None
        while line := await self._process.stdout.readline():
            told = json.loads(line)
            if "fell" in told:
                self.on_fall(told["fell"])
            elif (waiting := self._waiting.pop(told["n"], None)) is not None and not waiting.done():
                waiting.set_result(told["result"])
        for waiting in self._waiting.values():
            if not waiting.done():
                waiting.set_exception(NotInTime("the process of the surroundings has ended"))

    async def do(self, what: str, **values: Any) -> Any:
        assert self._process.stdin is not None
        self._number += 1
        answer = self._waiting[self._number] = asyncio.get_running_loop().create_future()
        self._process.stdin.write(json.dumps({"n": self._number, "do": what, "values": values}).encode() + b"\n")
        async with asyncio.timeout(HOST_S):
            return await answer

    async def close(self) -> History:
        """End it, and take its history."""
        assert self._process.stdin is not None
        with suppress(OSError):
            self._process.stdin.write(b'{"do": "end"}\n')
            self._process.stdin.close()
        with suppress(TimeoutError):
            async with asyncio.timeout(HOST_S):
                await self._process.wait()
        if self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        await self._reader
        self._log.close()
        return History.load(self.out) if self.out.exists() else History()


class Fleet:
    """One run: servers, surroundings, faults and history."""

    def __init__(
        self,
        plan: Plan,
        folder: Path | None = None,
        argv: Callable[[str], Sequence[str]] | None = None,
        cwd: Path = ROOT,
    ) -> None:
        self.plan, self.names, self.history = plan, plan.names, History()
        self._own_folder = tempfile.TemporaryDirectory(prefix="fleet") if folder is None else None
        self.folder = Path(self._own_folder.name) if self._own_folder is not None else folder or Path()
        self._argv = argv or (lambda config: program("serve", "--config", config))
        self._cwd = cwd
        self.processes: dict[str, Process] = {}
        self.pids: list[int] = []
        self._hosts: list[Host] = []
        self._of: dict[str, Host] = {}  # whose worker pool is where
        self.here: Surround | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._killed: set[int] = set()  # ids of processes that were killed from here
        self._over = False

    async def __aenter__(self) -> Fleet:
        self._block = Block()
        try:
            await self._furnish()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.close()

    async def _furnish(self) -> None:
        plan, block, servers = self.plan, self._block, {}
        for index, name in enumerate(self.names):
            at = {port: block.at(index, port) for port in (LISTEN, POOL, RECORDS, DIRECTORY)}
            if not plan.relayed:
                at |= {port: block.shared(port) for port in (RECORDS, DIRECTORY)}
            servers[name] = Places(*(at[port] for port in (LISTEN, POOL, RECORDS, DIRECTORY)))
        self.spec = Spec(
            servers,
            plan.grades,
            plan.work,
            plan.machine,
            plan.service,
            plan.habits,
            plan.balancers,
            plan.rate,
            seed=plan.seed,
            relayed=plan.relayed,
            read_list=plan.read_list,
        )
        settings = plan.settings()
        for name, places in servers.items():
            self.configure(name, settings, places)
        if not plan.hosts:
            self.here = Surround(self.spec, self.names, True, self.history, self._fell)
            await self.here.start()
            return
        self._hosts = [Host(self.folder, 0, self.spec, [], True)]
        for number in range(1, plan.hosts + 1):
            part = self.names[number - 1 :: plan.hosts]
            self._hosts.append(Host(self.folder, number, self.spec, part, False))
            self._of.update(dict.fromkeys(part, self._hosts[-1]))
        for host in self._hosts:
            host.on_fall = self._fell
        await asyncio.gather(*(host.start() for host in self._hosts))

    def configure(self, name: str, settings: dict[str, Any], places: Places) -> None:
        """Write this server's configuration, whole or not at all."""
        texts = {
            what: f"{host}:{port}"
            for what, (host, port) in (
                ("listen", places.listen),
                ("pool", places.pool),
                ("records", places.records),
                ("lookup", places.directory),
            )
        }
        seed = f"{random.Random(f'{self.plan.seed} {name}').getrandbits(64):016x}"
        config = {
            "name": name,
            **texts,
            "seed": seed,
            "stop_ms": self.plan.stop_ms,
            "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": self.plan.memory_mb, "sockets": 256},
        }
        file = self.config(name)
        file.with_suffix(".new").write_text(json.dumps(config))
        file.with_suffix(".new").rename(file)

    def config(self, name: str) -> Path:
        return self.folder / f"{name}.json"

    async def close(self) -> None:
        """End all of it. Nothing stays, whatever happened."""
        if self._over:
            return
        self._over = True
        for task in list(self._tasks):
            task.cancel()
        for process in self.processes.values():
            self._killed.add(process.pid)
            process.signal(signal.SIGKILL)
        await asyncio.gather(*(process.ended(10.0) for process in self.processes.values()))
        if self.here is not None:
            await self.here.close()
        parts = await asyncio.gather(*(host.close() for host in self._hosts if hasattr(host, "_process")))
        self.history = History.joined([self.history, *parts])
        self._block.give_back()
        if self._own_folder is not None:
            self._own_folder.cleanup()

    def left_behind(self) -> list[int]:
        """Processes of this run that still are."""
        return alive(self.pids)

    async def do(self, what: str, server: str = "", **values: Any) -> Any:
        """A command to the surroundings: to the part that has this server's worker pool, or to what is shared."""
        if self.here is not None:
            return await self.here.do(what, **({"server": server} if server else {}), **values)
        pools = what in ("pool", "end_pool")
        host = self._of[server] if pools else self._hosts[0]
        result = await host.do(what, **({"server": server} if server else {}), **values)
        if what in ("set_link", "reset_links"):  # the worker pool's relay is elsewhere
            await self._of[server].do(what, server=server, **values)
        return result

    async def figures(self) -> dict[str, float]:
        """What only the parties can tell, of all their processes; of one figure in several the largest."""
        if self.here is not None:
            return self.here.figures()
        out: dict[str, float] = {}
        for each in await asyncio.gather(*(host.do("figures") for host in self._hosts)):
            out |= {name: max(value, out.get(name, value)) for name, value in each.items()}
        return out

    # What is done to servers

    async def start(self, *names: str, up_ms: float = 0.0) -> None:
        """New processes under these names, each with a worker pool that knows nothing and comes up so late."""
        await asyncio.gather(*(self._start(name, up_ms) for name in names or self.names))

    async def _start(self, name: str, up_ms: float) -> None:
        await self.do("pool", name, up_ms=up_ms)
        await self.do("came_up", name, up_ms=up_ms)
        self.history.add(Kind.STARTED, name)
        process = self.processes[name] = Process(
            self._argv(str(self.config(name))),
            self.folder / f"{name}.log",
            lambda code: self._ended(name, process, code),
            self._cwd,
        )
        self.pids.append(process.pid)

    def _ended(self, name: str, process: Process, code: int) -> None:
        if process.pid not in self._killed:
            self.history.add(Kind.ENDED, name, "", code)

    def _fell(self, name: str) -> None:
        """Its machine fell over: the process dies with its worker pool, as on the platform."""
        self._spawn(self.kill(name, why="its machine fell over"))

    def _spawn(self, part: Any) -> None:
        task = asyncio.get_running_loop().create_task(part)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def kill(self, *names: str, why: str = "a fault") -> None:
        """Kill them outright, together with their worker pools."""
        for name in names:
            process = self.processes[name]
            self._killed.add(process.pid)
            self.history.add(Kind.KILLED, name, "", why)
            process.signal(signal.SIGKILL)
            await self.do("end_pool", name, why=why)
        await asyncio.gather(*(self.processes[name].ended(10.0) for name in names))

    async def leave(self, name: str) -> bool:
        """Tell it to leave, and kill it when its time is up; whether it ended by itself."""
        process = self.processes[name]
        self.history.add(Kind.TOLD_TO_LEAVE, name)
        process.signal(signal.SIGTERM)
        by_itself = await process.ended(self.plan.stop_ms / 1000 + LEAVE_SLACK_S)
        if not by_itself:
            self.history.add(Kind.FAULT, name, "", "did not leave in time")
            await process.kill()
        await self.do("end_pool", name, why="it left")
        return by_itself

    async def replace(self, *names: str) -> None:
        """Each leaves, and its successor starts under the same name."""

        async def one(name: str) -> None:
            await self.leave(name)
            await self.start(name)

        await asyncio.gather(*(one(name) for name in names))

    def stop(self, *names: str) -> None:
        """Have them stand still."""
        for name in names:
            self.history.add(Kind.STOPPED, name)
            self.processes[name].signal(signal.SIGSTOP)

    def go_on(self, *names: str) -> None:
        for name in names:
            self.history.add(Kind.CONTINUED, name)
            self.processes[name].signal(signal.SIGCONT)

    def reload(self, *names: str) -> None:
        for name in names:
            self.processes[name].signal(signal.SIGHUP)

    async def move(self, name: str) -> None:
        """Give this server's peers other addresses in its configuration, and tell it. The old ones take nothing new."""
        places = await self.do("move", name)
        self.configure(name, self.plan.settings(), Places(*(tuple(each) for each in places)))
        self.reload(name)

    async def cut(self, *names: str, link: str = "", ways: list[str] | None = None) -> None:
        """Cut these servers off, on one link or on all."""
        for name in names:
            await self.do("set_link", name, link=link, ways=ways, cut=True)

    async def heal(self, *names: str, link: str = "", ways: list[str] | None = None) -> None:
        for name in names:
            await self.do("set_link", name, link=link, ways=ways, cut=False)

    async def ask(self, rate: float | None = None) -> None:
        """Have clients ask, at the plan's rate or another."""
        await self.do("ask", rate=self.plan.rate if rate is None else rate)

    # Waiting, and the end

    async def await_that(self, true: Callable[[], object], wait_s: float = 10.0, what: str = "") -> None:
        """Wait until it holds. Raises NotInTime, with what was waited for."""
        end = self.history.clock() + 1000 * wait_s
        while not true():
            if self.history.clock() > end:
                raise NotInTime(f"{what or true}: not within {wait_s:g} s")
            await asyncio.sleep(0.005)

    def serving(self, names: Iterable[str]) -> bool:
        """Whether these are listed and have their worker pools; of surroundings in this process."""
        assert self.here is not None and self.here.directory is not None
        return set(names) <= set(self.here.directory.listed()) and all(
            name in self.here.pools and self.here.pools[name].is_linked for name in names
        )

    async def up(self, *names: str, wait_s: float = 15.0) -> None:
        """Wait until these, or all, serve."""
        await self.await_that(lambda: self.serving(names or self.names), wait_s, "servers that serve")

    async def quiet(self) -> None:
        """Stop asking, and let all be answered."""
        await self.ask(0.0)
        longest = max(each.patience_ms for each in self.plan.grades.values())
        await asyncio.sleep((longest + self.plan.slack_ms) / 1000 + 0.2)

    def broken(self, scripted_falls: bool = False) -> list[str]:
        """What the history shows broken: rules 1 to 3, falls that nobody scripted, processes that ended badly."""
        replayable = [name for name, each in self.plan.grades.items() if each.replayable]
        found = checkers.rules(self.history, replayable, self.plan.grace_ms, self.plan.slack_ms, self.plan.window_ms)
        found += checkers.bad_ends(self.history)
        return found if scripted_falls else found + checkers.falls(self.history)

    def share(self, since: float, until: float | None = None) -> float:
        """Of the credit that clients asked for since then, the part that they had within the quoted time."""
        asked, served = checkers.credit(self.history, since, self.history.clock() if until is None else until)
        return served / asked if asked else 0.0


def with_plan(plan: Plan, **changes: Any) -> Plan:
    """The same plan but for some of it."""
    return replace(plan, **changes)
