"""What surrounds a fleet's servers, or a part of it, in one process; and that process, where there are several.

Owns the making of parties and relays from one spec, and the commands by which a fleet has something done to them. The
same commands act in the fleet's own process and, as JSON lines over its standard input, in one of its own. It must
never start or signal a server: that is the fleet's.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from nickelslip.emulator.directory_service import DirectoryService
from nickelslip.emulator.history import History, Kind
from nickelslip.emulator.links import Direction, directions, fault_fields
from nickelslip.emulator.load_balancers import Balancer, GradeTraffic, Habits, Traffic
from nickelslip.emulator.models import MachineKind, ServiceKind
from nickelslip.emulator.records_service import RecordsService
from nickelslip.emulator.relay import Relay
from nickelslip.emulator.worker_pool import WorkerPool, WorkProfile

Address = tuple[str, int]
BEHIND = 1  # a party behind a relay stands at the relay's port and so much more
MOVED = 10  # ports between the addresses of a party that moves
OLD_STANDS_S = 1.5  # connections to an address that was left are closed after this, by the page on service
READ_LIST_MS = 100.0
NO_EXCESS = -1e9  # in place of an infinity, which JSON does not have


@dataclass(frozen=True)
class Places:
    """Where a server is and where it finds the others; relays stand at these addresses, where there are any."""

    listen: Address
    pool: Address
    records: Address
    directory: Address


@dataclass(frozen=True)
class Spec:
    """A fleet's surroundings."""

    servers: dict[str, Places]
    grades: dict[str, GradeTraffic]
    work: WorkProfile
    machine: MachineKind = field(default_factory=MachineKind)
    service: ServiceKind = field(default_factory=ServiceKind)
    habits: Habits = field(default_factory=Habits)
    balancers: int = 4
    rate: float = 100.0  # a second, of all clients together
    lapse_ms: float = 3000.0
    seed: int = 1
    relayed: bool = True
    read_list: bool = False  # whether the list is read ten times a second into the history

    def dump(self) -> dict[str, Any]:
        return asdict(self)

    @staticmethod
    def load(value: dict[str, Any]) -> Spec:
        servers = {
            name: Places(*(tuple(each[at]) for at in ("listen", "pool", "records", "directory")))
            for name, each in value["servers"].items()
        }
        return Spec(
            **{
                **value,
                "servers": servers,
                "grades": {name: GradeTraffic(**each) for name, each in value["grades"].items()},
                "work": WorkProfile(**value["work"]),
                "machine": MachineKind(**value["machine"]),
                "service": ServiceKind(**value["service"]),
                "habits": Habits(**value["habits"]),
            }
        )


def behind(address: Address, relayed: bool) -> Address:
    """Where the party itself stands."""
    return (address[0], address[1] + BEHIND) if relayed else address


class Surround:
    """Parties and relays of a part: the worker pools of some servers, or all that is shared, or both."""

    def __init__(
        self, spec: Spec, pools: list[str], shared: bool, history: History, on_fall: Callable[[str], None]
    ) -> None:
        self.spec, self.history, self._names, self._shared, self._on_fall = spec, history, pools, shared, on_fall
        self.pools: dict[str, WorkerPool] = {}
        self.relays: dict[str, dict[str, Relay]] = {name: {} for name in spec.servers}
        self._listeners: dict[str, list[asyncio.Server]] = {name: [] for name in spec.servers}
        self._tasks: list[asyncio.Task[None]] = []
        self._moves: dict[str, int] = {}  # by server, how often its peers have moved
        self.directory: DirectoryService | None = None
        self.records: RecordsService | None = None
        self.balancers: list[Balancer] = []
        self._worst = NO_EXCESS  # of cold machines that are gone

    async def start(self) -> None:
        """All but the worker pools, which begin with their servers."""
        if self._shared:
            await self._start_shared()
        if self.spec.relayed:
            for name in self._names:
                await self._relay(name, "pool", self.spec.servers[name].pool, Direction.FROM_SERVER)

    async def _start_shared(self) -> None:
        spec = self.spec
        self.directory = DirectoryService(self.history, spec.lapse_ms)
        self.records = RecordsService(spec.service, self.history, spec.seed)
        asks_at = {}
        for name, places in spec.servers.items():
            if spec.relayed:
                await self._relay(name, "records", places.records, Direction.FROM_SERVER)
                await self._relay(name, "directory", places.directory, Direction.FROM_SERVER)
                asks_at[name] = behind(places.listen, True)
                relay = self.relays[name]["balancers"] = Relay(
                    "balancers", name, places.listen, Direction.TO_SERVER, spec.seed, self.history
                )
                await relay.listen(asks_at[name])
            else:
                asks_at[name] = places.listen
        for address, name in {behind(each.records, spec.relayed): name for name, each in spec.servers.items()}.items():
            await self.records.listen(address, name if spec.relayed else "")
        for address in {behind(each.directory, spec.relayed) for each in spec.servers.values()}:
            await self.directory.listen(address)
        traffic = Traffic(spec.rate / max(1, spec.balancers), spec.grades)
        self.balancers = [
            Balancer(number, asks_at, self.directory.listed, traffic, spec.habits, spec.seed, self.history)
            for number in range(1, spec.balancers + 1)
        ]
        if spec.read_list:
            self._tasks.append(asyncio.get_running_loop().create_task(self._read_list()))

    async def _relay(
        self, server: str, what: str, address: Address, towards: Direction, target: Address | None = None
    ) -> None:
        relay = self.relays[server][what] = Relay(
            what, server, target or behind(address, True), towards, self.spec.seed, self.history
        )
        await (relay.listen_datagrams if what == "directory" else relay.listen)(address)

    async def move(self, server: str) -> list[Address]:
        """Other addresses for this server's peers: the old ones take nothing new, and connections that stand there are
        closed a little later. Where it listens and finds the others from now on."""
        self._moves[server] = self._moves.get(server, 0) + 1
        now = [self.spec.servers[server].listen]
        for what in ("pool", "records", "directory"):
            old = self.relays[server][what]
            host, port = getattr(self.spec.servers[server], what)
            now.append((host, port + MOVED * self._moves[server]))
            await self._relay(server, what, now[-1], Direction.FROM_SERVER, old.target)
            old.stop_accepting()
            self._tasks.append(asyncio.get_running_loop().create_task(self._close_later(old)))
        return now

    @staticmethod
    async def _close_later(relay: Relay) -> None:
        await asyncio.sleep(OLD_STANDS_S)
        await relay.close()

    async def _read_list(self) -> None:
        while True:
            assert self.directory is not None
            self.history.add(Kind.LISTED, "", "", self.directory.listed())
            await asyncio.sleep(READ_LIST_MS / 1000)

    # What is done to it

    async def pool(self, server: str, up_ms: float = 0.0) -> None:
        """A new life of this server's worker pool, which knows nothing; the one before is gone."""
        self.end_pool(server, "replaced")
        pool = self.pools[server] = WorkerPool(
            server, self.spec.machine, self.spec.work, self.spec.seed, self.history, up_ms, self._on_fall
        )
        self._listeners[server].append(await pool.listen(behind(self.spec.servers[server].pool, self.spec.relayed)))

    def end_pool(self, server: str, why: str) -> None:
        for listener in self._listeners[server]:
            listener.close()
        self._listeners[server].clear()
        if server in self.pools:
            self._worst = max(self._worst, self.pools[server].worst_excess)
            self.pools[server].end(why)

    def came_up(self, server: str, up_ms: float = 0.0) -> None:
        """To the directory: this server's worker pool comes up after so long."""
        if self.directory is not None:
            asyncio.get_running_loop().call_later(up_ms / 1000, self.directory.register, server)

    def set_link(self, server: str, link: str = "", ways: list[str] | None = None, **faults: Any) -> None:
        """Faults on one of a server's links, or on all of them, one way or both."""
        for name, relay in self.relays[server].items():
            if link in ("", name):
                relay.set_faults(directions(ways), **fault_fields(faults))

    def reset_links(self, server: str, link: str = "") -> None:
        for name, relay in self.relays[server].items():
            if link in ("", name):
                relay.reset_connections()

    def directory_down(self) -> None:
        if self.directory is not None:
            self.directory.take_down()

    def directory_up(self, empty: bool = False) -> None:
        if self.directory is not None:
            self.directory.bring_up(empty)

    def directory_loses(self, part: float) -> None:
        """This part of all reports is lost on the way."""
        if self.directory is not None:
            self.directory.lost_fraction = part

    def records_down(self, for_ms: float) -> None:
        if self.records is not None:
            self.records.fail(for_ms)

    def records_slow(self, by: float) -> None:
        if self.records is not None:
            self.records.service.slowness = by

    def ask(self, rate: float) -> None:
        """How much clients ask from now on; the first time they begin."""
        for each in self.balancers:
            each.traffic.rate = rate / len(self.balancers)
            if not each.begun:
                each.begin()

    def restart_balancers(self, part: float = 1.0) -> None:
        for each in self.balancers[: round(part * len(self.balancers))]:
            each.restart()

    def figures(self) -> dict[str, Any]:
        """What only the parties themselves can tell."""
        records = self.records.service if self.records is not None else None
        return {
            "lag_ms": max((each.lag_ms for each in self.balancers), default=0.0),
            "machines_worst": max([self._worst, *(pool.worst_excess for pool in self.pools.values())]),
            **(
                {
                    "records_falls": records.falls,
                    "records_over_ms": records.over_ms,
                    "records_most": records.most,
                    "records_calls": records.calls,
                    "records_worst": records.worst,
                }
                if records is not None
                else {}
            ),
        }

    async def do(self, what: str, **values: Any) -> Any:
        """One command by its name."""
        if what.startswith("_") or what not in COMMANDS:
            raise ValueError(f"no command: {what}")
        result = getattr(self, what)(**values)
        return await result if asyncio.iscoroutine(result) else result

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for each in self.balancers:
            await each.close()
        for server in self.spec.servers:
            self.end_pool(server, "the end")
            for relay in self.relays[server].values():
                await relay.close()
        if self.directory is not None:
            self.directory.close()
        if self.records is not None:
            self.records.close()


COMMANDS = (
    "pool",
    "end_pool",
    "came_up",
    "set_link",
    "reset_links",
    "directory_down",
    "directory_up",
    "directory_loses",
    "records_down",
    "records_slow",
    "move",
    "ask",
    "restart_balancers",
    "figures",
)


async def _host(spec: Spec, pools: list[str], shared: bool, out: Path) -> None:
    """A process of its own: commands come a line each, and are answered a line each; what falls over is told."""

    def say(**line: Any) -> None:
        sys.stdout.write(json.dumps(line) + "\n")
        sys.stdout.flush()

    history = History()
    surround = Surround(spec, pools, shared, history, lambda server: say(fell=server))
    reader = asyncio.StreamReader(limit=1 << 24)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    await surround.start()
    say(n=0, result=None)
    try:
        while line := await reader.readline():
            told = json.loads(line)
            if told["do"] == "end":
                break
            result = await surround.do(told["do"], **told["values"])
            say(n=told["n"], result=result)
    finally:
        with suppress(Exception):
            await surround.close()
        history.save(out)


def main() -> None:
    """`python -m nickelslip.emulator.shared_services SPEC OUT`: the spec with the part that is this process's."""
    import uvloop

    told = json.loads(Path(sys.argv[1]).read_text())
    uvloop.run(_host(Spec.load(told["spec"]), told["pools"], told["shared"], Path(sys.argv[2])))


if __name__ == "__main__":
    main()
