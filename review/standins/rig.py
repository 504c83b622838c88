"""Stand-ins for what surrounds one server: its worker pool, the records service, the directory and balancers.

Only the standard library is used. The program under test runs in a process of its own, started by the `run` line of
`deploy/balancer.toml`. All stand-ins run on one event loop in the process of the case. Every address is on 127.0.0.1.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from base64 import b64decode, b64encode
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
MS_PER_S = 1000.0
KEPT_NOTICES = 4000
LINK_LIMIT_BYTES = 1 << 20
GAUGE_SPAN_MS = 500.0
READY_POLLS = 300
READY_POLL_S = 0.1
SETTLE_S = 0.2
DONE_MS = 0.01


def now_ms() -> float:
    """Return the system's Unix time in milliseconds."""
    return time.time() * MS_PER_S


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Record:
    """Writes what was sent, answered and run to `record.txt`, one JSON object a line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at_ms = now_ms()

    def __enter__(self) -> Record:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def add(self, event: str, **fields: object) -> None:
        """Write one event with its time in milliseconds since the start of the case."""
        line = {"at_ms": round(now_ms() - self._began_at_ms, 1), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")

    def close(self) -> None:
        """Flush and close the file."""
        self._file.close()


@dataclass
class Try:
    """One request as its balancer and the platform see it.

    It is over for the worker pool once it was answered, withdrawn or lost with its connection.
    """

    id_hex: str
    traffic_class: str
    body: bytes
    written_at_ms: float
    timeout_ms: float
    tag: int = 0
    word: str = ""
    answer_fields: str = ""
    answer_body: bytes = b""
    answered_at_ms: float = 0.0
    answer_count: int = 0
    is_withdrawn: bool = False
    is_connection_lost: bool = False
    starts: list[float] = field(default_factory=list)
    ends: list[str] = field(default_factory=list)
    call_replies: list[bytes] = field(default_factory=list)

    @property
    def is_over(self) -> bool:
        """Whether nobody waits for the answer any more."""
        return bool(self.word) or self.is_withdrawn or self.is_connection_lost


class World:
    """All tries of a case by their id."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.tries: dict[str, Try] = {}
        self._last_id = 0x5A00_0000_0000_0000

    def new_id(self) -> str:
        """Return an id that was not used before."""
        self._last_id += 0x1003
        return f"{self._last_id:016x}"


@dataclass
class Run:
    """A run in the worker pool: core time in parts, with a call before each part but the first."""

    id_hex: str
    parts_ms: list[float]
    began_at_ms: float
    remaining_ms: float
    blocked_seq: int = 0
    body: bytes = b""


class WorkerPool:
    """A worker pool on `core_count` cores, which all runs share; the stop mode is `drop`.

    Args:
        world: The tries of the case; a command for an id that is not among them is answered with `unknown`.
        core_count: Number of cores.
        parts_of: Returns the core time of a run in parts, from its try.
        result_of: Returns the result body of a run, from its try and the replies to its calls.
    """

    def __init__(
        self,
        world: World,
        core_count: int,
        parts_of: Callable[[Try], list[float]],
        result_of: Callable[[Try], bytes] = lambda each: each.body[::-1],
    ) -> None:
        self._world = world
        self._core_count = core_count
        self._parts_of = parts_of
        self._result_of = result_of
        self.runs: dict[str, Run] = {}
        self._last_seq = 0
        self._notices: deque[dict[str, Any]] = deque(maxlen=KEPT_NOTICES)
        self._writer: asyncio.StreamWriter | None = None
        self._is_bound = False
        self._began_at_ms = now_ms()
        self._shared_at_ms = now_ms()
        self._busy: deque[tuple[float, float]] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self.spawn_count = 0
        self.gauges_delay_ms = 0.0
        self.speed: Callable[[], float] = lambda: 1.0
        self.core_loads: list[tuple[float, float, int]] = []  # from, to, runs on the cores

    async def listen(self, port: int) -> asyncio.Server:
        """Listen on a port."""
        return await asyncio.start_server(self._serve, HOST, port, limit=LINK_LIMIT_BYTES)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        old, self._writer, self._is_bound = self._writer, writer, False
        if old is not None:
            old.close()
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                if self._writer is not writer:
                    break
                self._command(json.loads(line))
        if self._writer is writer:
            self._writer = None
        writer.close()

    def break_link(self) -> None:
        """Reset the link."""
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None

    def _send(self, line: dict[str, Any]) -> None:
        if self._writer is not None and not self._writer.is_closing():
            self._writer.write(json.dumps(line).encode() + b"\n")

    def _notify(self, op: str, id_hex: str, **fields: object) -> int:
        self._last_seq += 1
        notice = {"op": op, "seq": self._last_seq, "id": id_hex, **fields}
        self._notices.append(notice)
        if self._is_bound:
            self._send(notice)
        return self._last_seq

    def _command(self, command: dict[str, Any]) -> None:
        match command["op"]:
            case "bind":
                self._is_bound = True
                self._send({"op": "bound", "end": "running", "ms": now_ms() - self._began_at_ms})
                for notice in list(self._notices):
                    if notice["seq"] > command["seq"]:
                        self._send(notice)
            case "poll":
                loop = asyncio.get_running_loop()
                loop.call_later(self.gauges_delay_ms / MS_PER_S, self._answer_poll, command["tag"])
            case "spawn":
                self._spawn(command)
            case "suspend":
                self._suspend(command["id"])
            case "supply" | "pass":
                self._resume(command)

    def _answer_poll(self, tag: str) -> None:
        self._send({"op": "polled", "tag": tag, "values": self._gauges()})

    def _gauges(self) -> list[float]:
        self._share()
        since_ms = now_ms() - GAUGE_SPAN_MS
        while self._busy and self._busy[0][0] < since_ms:
            self._busy.popleft()
        busy_ms = sum(core_ms for _, core_ms in self._busy)
        return [min(1.0, busy_ms / GAUGE_SPAN_MS / self._core_count), len(self._on_cores()), 0.2, 8]

    def _spawn(self, command: dict[str, Any]) -> None:
        id_hex, body = command["id"], b64decode(command["body"])
        each = self._world.tries.get(id_hex)
        if each is None or each.traffic_class != command["class"] or each.body != body:
            self._world.record.add("spawn_unknown", id=id_hex)
            self._send({"op": "unknown", "end": "spawn", "id": id_hex})
            return
        if id_hex in self.runs:
            return
        if each.is_over:
            self._world.record.add("spawn_late", id=id_hex)
            self._notify("finished", id_hex, end="late", ms=0.0, body="")
            return
        self._share()
        self.spawn_count += 1
        each.starts.append(now_ms())
        self._world.record.add("run", id=id_hex, traffic_class=each.traffic_class)
        parts = list(self._parts_of(each))
        self.runs[id_hex] = Run(id_hex, parts, now_ms(), parts.pop(0))
        self._plan()

    def _suspend(self, id_hex: str) -> None:
        self._share()
        run = self.runs.get(id_hex)
        if run is not None:
            self.finish(run, "broken_off")
        self._plan()

    def _resume(self, command: dict[str, Any]) -> None:
        run = self.runs.get(command["id"])
        if run is None or not run.blocked_seq or command.get("seq", run.blocked_seq) != run.blocked_seq:
            return
        self._share()
        if command["op"] == "supply":
            self._world.tries[run.id_hex].call_replies.append(b64decode(command["body"]))
        run.blocked_seq = 0
        run.remaining_ms = run.parts_ms.pop(0)
        self._plan()

    def finish(self, run: Run, end: str) -> None:
        """End a run with this outcome."""
        del self.runs[run.id_hex]
        each = self._world.tries[run.id_hex]
        each.ends.append(end)
        self._world.record.add("run_end", id=run.id_hex, end=end)
        body = self._result_of(each) if end == "fine" else b""
        took_ms = round(now_ms() - run.began_at_ms, 3)
        self._notify("finished", run.id_hex, end=end, ms=took_ms, body=b64encode(body).decode())

    def try_is_over(self, id_hex: str) -> None:
        """End a run that stands at its call, since its try is over."""
        run = self.runs.get(id_hex)
        if run is not None and run.blocked_seq:
            self.finish(run, "broken_off")

    def _on_cores(self) -> list[Run]:
        return [run for run in self.runs.values() if not run.blocked_seq]

    def _share(self) -> None:
        """Give each run on the cores its share of the time since the last call."""
        at_ms = now_ms()
        running = self._on_cores()
        self.core_loads.append((self._shared_at_ms, at_ms, len(running)))
        if running:
            elapsed_ms = at_ms - self._shared_at_ms
            used_ms = elapsed_ms * min(len(running), self._core_count)
            self._busy.append((at_ms, used_ms))
            for run in running:
                run.remaining_ms -= used_ms * self.speed() / len(running)
        self._shared_at_ms = at_ms

    def _plan(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        running = self._on_cores()
        if running:
            speed = self.speed() * min(len(running), self._core_count) / len(running)
            wait_ms = max(0.0, min(run.remaining_ms for run in running)) / speed
            self._timer = asyncio.get_running_loop().call_later(wait_ms / MS_PER_S, self._advance)

    def _advance(self) -> None:
        self._share()
        for run in self._on_cores():
            if run.remaining_ms > DONE_MS:
                continue
            if not run.parts_ms:
                self.finish(run, "fine")
            elif self._world.tries[run.id_hex].is_over:
                self.finish(run, "broken_off")
            else:
                body = b64encode(b"look up " + run.id_hex.encode()).decode()
                run.blocked_seq = self._notify("blocked", run.id_hex, body=body)
        self._plan()


def message(*parts: bytes) -> bytes:
    """Encode one array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


class Connection:
    """A balancer's or client's connection to the server.

    Args:
        world: Receives each request that is written.
        pool: Is told when a try is over.
    """

    def __init__(self, world: World, pool: WorkerPool, via: int = 1) -> None:
        self._world = world
        self._pool = pool
        self._via = via
        self._last_tag = 0
        self.open: dict[int, Try] = {}
        self.health_words: list[str] = []
        self.is_closing = False
        self.is_ended = False
        self.changed = asyncio.Event()

    async def connect(self, port: int) -> Connection:
        """Connect to the server and read its answers in a task."""
        self._reader, self._writer = await asyncio.open_connection(HOST, port)
        sock = self._writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._task = asyncio.create_task(self._read())
        return self

    def ask(
        self, traffic_class: str, body: bytes, timeout_ms: float, owner: str, need: float = 24.5, **more: str
    ) -> Try:
        """Write one request."""
        self._last_tag += 1
        each = Try(self._world.new_id(), traffic_class, body, now_ms(), timeout_ms, self._last_tag)
        self._world.tries[each.id_hex] = each
        self.open[each.tag] = each
        fields = {
            "req": each.id_hex,
            "ts": str(int(each.written_at_ms)),
            "via": str(self._via),
            "owner": owner,
            "timeout": str(int(timeout_ms)),
            "need": str(need),
            "level": "0.6250",
            **more,
        }
        text = ",".join(f"{name}={value}" for name, value in fields.items()).encode()
        self._writer.write(message(b"ASK", b"%d" % each.tag, traffic_class.encode(), text, body))
        self._world.record.add("ask", id=each.id_hex, traffic_class=traffic_class, timeout_ms=timeout_ms, **more)
        return each

    def withdraw(self, each: Try) -> None:
        """Give up one request."""
        if each.is_over:
            return
        each.is_withdrawn = True
        self._writer.write(message(b"NEVERMIND", b"%d" % each.tag))
        self._world.record.add("nevermind", id=each.id_hex)
        self._pool.try_is_over(each.id_hex)

    async def check_health(self) -> str:
        """Send a health check and return the word of its answer."""
        self._last_tag += 1
        count = len(self.health_words)
        self._writer.write(message(b"STATUS", b"%d" % self._last_tag, b""))
        while len(self.health_words) == count and not self.is_ended:
            self.changed.clear()
            await self.changed.wait()
        return self.health_words[-1] if len(self.health_words) > count else ""

    async def _read(self) -> None:
        try:
            while True:
                parts = await self._read_message()
                self._handle(parts)
                self.changed.set()
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            self.is_ended = True
            for each in self.open.values():
                each.is_connection_lost = True
                self._pool.try_is_over(each.id_hex)
            self._world.record.add("connection_ended", how=type(error).__name__, open=len(self.open))
            self.changed.set()

    async def _read_message(self) -> list[bytes]:
        count = int((await self._reader.readuntil(b"\r\n"))[1:-2])
        parts = []
        for _ in range(count):
            size = int((await self._reader.readuntil(b"\r\n"))[1:-2])
            parts.append((await self._reader.readexactly(size + 2))[:-2])
        return parts

    def _handle(self, parts: list[bytes]) -> None:
        tag, word = int(parts[0]), parts[1].decode()
        if word in ("healthy", "sick"):
            self.health_words.append(word)
            return
        if tag == 0 and word == "closing":
            self.is_closing = True
            return
        each = self.open.pop(tag, None)
        if each is None:
            self._world.record.add("second_answer", tag=tag, word=word)
            return
        each.answer_count += 1
        each.word = word
        fields, body = [*parts[2:], b"", b""][:2]
        each.answer_fields = fields.decode()
        each.answer_body = body
        each.answered_at_ms = now_ms()
        took_ms = round(each.answered_at_ms - each.written_at_ms, 1)
        self._world.record.add("answer", id=each.id_hex, word=word, took_ms=took_ms, fields=each.answer_fields)
        self._pool.try_is_over(each.id_hex)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def drain(self) -> None:
        """Wait until what was written has left this process."""
        await self._writer.drain()


class ServerProcess:
    """The program under test, started by the `run` line of the deploy file.

    Args:
        settings: The settings, in the platform's form.
        ports: Ports of `pool`, `records` and `lookup`.
        folder: A temporary folder for its configuration and its log.
    """

    def __init__(self, settings: dict[str, Any], ports: dict[str, int], folder: Path, stop_ms: int = 3200) -> None:
        self.port = free_port()
        self._folder = folder
        self._config = folder / "config.json"
        self.stop_ms = stop_ms
        self.document = {
            "name": "n3",
            "listen": f"{HOST}:{self.port}",
            "seed": "8c1f30d27a5be964",
            "stop_ms": stop_ms,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings,
            **{name: f"{HOST}:{port}" for name, port in ports.items()},
        }

    def start(self) -> None:
        """Write the configuration and start the process."""
        self.write_config()
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            run_line = tomllib.load(file)["run"]
        environment = {
            **os.environ,
            "ROUTER_NAME": str(self.document["name"]),
            "ROUTER_LISTEN": str(self.document["listen"]),
            "ROUTER_CONFIG": str(self._config),
            "TMPDIR": str(self._folder),
        }
        self._log = (self._folder / "server.log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_line],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    def write_config(self) -> None:
        """Replace the configuration file in one step."""
        draft = self._folder / "config.new"
        draft.write_text(json.dumps(self.document))
        draft.replace(self._config)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it still runs, and wait for it."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self._log.close()

    def log_text(self) -> str:
        """Return the log so far."""
        return (self._folder / "server.log").read_text(errors="replace")


class Directory(asyncio.DatagramProtocol):
    """The directory: counts reports and answers nothing."""

    def __init__(self) -> None:
        self.report_count = 0

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Count one report."""
        self.report_count += 1


class Rig:
    """A server with its stand-ins, as an asynchronous context.

    Args:
        record: What was sent, answered and run; the case closes it.
        settings: The server's settings.
        core_count: Cores of the worker pool.
        parts_of: See `WorkerPool`.
    """

    def __init__(
        self, record: Record, settings: dict[str, Any], core_count: int, parts_of: Callable[[Try], list[float]]
    ) -> None:
        self.record = record
        self.world = World(self.record)
        self.pool = WorkerPool(self.world, core_count, parts_of)
        self.settings = settings
        self.directory = Directory()
        self.records_delay_ms = 10.0
        self.is_reply_lost: Callable[[], bool] = lambda: False
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")

    async def __aenter__(self) -> Rig:
        ports = {"pool": free_port(), "records": free_port(), "lookup": free_port(socket.SOCK_DGRAM)}
        self.ports = ports
        self._pool_server = await self.pool.listen(ports["pool"])
        self._records_server = await asyncio.start_server(self._serve_records, HOST, ports["records"])
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self.directory, local_addr=(HOST, ports["lookup"]))
        self.server = ServerProcess(self.settings, ports, Path(self._temporary.name))
        self.server.start()
        try:
            await self._wait_until_ready()
        except BaseException:
            self.server.end()
            raise
        return self

    async def _wait_until_ready(self) -> None:
        for _ in range(READY_POLLS):
            with suppress(OSError):
                check = await self.connect()
                word = await check.check_health()
                check.close()
                if word == "healthy" and "SERVING" in self.server.log_text():
                    self.record.add("server_ready")
                    return
            await asyncio.sleep(READY_POLL_S)
        raise RuntimeError("the server is not ready after 30 s")

    async def connect(self, via: int = 1) -> Connection:
        """Open a connection to the server."""
        return await Connection(self.world, self.pool, via).connect(self.server.port)

    async def _serve_records(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, ValueError):
            while True:
                head = (await reader.readuntil(b"\r\n"))[:-2].split(b" ")
                if head[0] != b"OP":
                    continue
                body = (await reader.readexactly(int(head[3]) + 2))[:-2]
                self.record.add("call", id=head[1].decode())
                await asyncio.sleep(self.records_delay_ms / MS_PER_S)
                if self.is_reply_lost():
                    self.record.add("reply_lost", id=head[1].decode())
                    continue
                reply = b"found " + body
                writer.write(b"%b DONE %d\r\n%b\r\n" % (head[1], len(reply), reply))
        writer.close()

    async def __aexit__(self, *_: object) -> None:
        has_exited = self.server.process.poll() is not None
        self.server.end()
        self.record.add("server_ended", code=self.server.process.returncode, by_itself=has_exited)
        await asyncio.sleep(SETTLE_S)  # the stand-ins' connections see the end
        self._temporary.cleanup()
