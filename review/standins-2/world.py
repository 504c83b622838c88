"""Stand-ins for what a server talks to: worker pool, records service, directory and balancers.

They are written from the protocol page and need the standard library alone. All of them run in one event loop of the
case's own process; servers are separate processes, started with the `run` line of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import importlib.util
import itertools
import json
import os
import signal
import sys
import time
import tomllib
import traceback
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NoReturn

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[2]
KEPT_NOTICES = 4000
CALL_BODY = b"call of the run"
REPLY_BODY = b"reply of the records service"
SOCKET_SLACK_MS = 50.0  # every time limit is this much longer on sockets
HELD_COUNTS_AFTER_MS = 100.0  # by the protocol page, a request that is held counts against the memory from then on
DONE = "done"
NOT_RUN = 2  # exit code of a case that could not run
LONGEST_S = 110.0  # of a case


def now_ms() -> float:
    """Return the Unix time in milliseconds."""
    return time.time() * 1000


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def line(self, text: str) -> None:
        """Write one line with the time since the beginning."""
        self._file.write(f"{time.monotonic() - self._began_s:9.3f} {text}\n")

    def close(self) -> None:
        """Write everything to the file."""
        self._file.close()


@dataclass
class Run:
    """What the worker pool knows of one request."""

    traffic_class: str
    body: bytes
    memory_kb: float = 0.0
    came_at_ms: float = field(default_factory=now_ms)
    is_over: bool = False
    starts: int = 0
    task: asyncio.Task[None] | None = None
    waits_for: asyncio.Future[None] | None = None
    call_seq: int = 0


class WorkerPool:
    """The worker pool of one server. Runs sleep for their work; each makes the calls that its class makes."""

    def __init__(self, record: Record, work_ms: dict[str, float], calls: dict[str, int]) -> None:
        self._record = record
        self._work_ms = work_ms
        self._calls = calls
        self._server: asyncio.Server | None = None
        self._link: asyncio.StreamWriter | None = None
        self._notices: list[dict[str, Any]] = []
        self._began_s = time.monotonic()
        self.runs: dict[str, Run] = {}
        self.results: dict[str, bytes] = {}
        self.running_count = 0
        self.slowness = 1.0

    async def listen(self) -> str:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return address_of(self._server)

    async def move(self, old_lives_s: float = 1.5) -> str:
        """Listen on another port and return the new address; the old one takes nothing new and closes its links."""
        old_server, old_link = self._server, self._link
        self._server = await asyncio.start_server(self._serve, HOST, 0)

        async def close_old() -> None:
            if old_server is not None:
                old_server.close()
            await asyncio.sleep(old_lives_s)
            if old_link is not None:
                old_link.transport.abort()

        self._closing = asyncio.create_task(close_old())
        return address_of(self._server)

    def restart(self) -> None:
        """Start again with the server: nothing runs, and notices are numbered from 1."""
        for run in self.runs.values():
            if run.task is not None:
                run.task.cancel()
        self.runs = {}
        self._notices = []
        self._began_s = time.monotonic()

    def used_kb(self, run_factor: float) -> float:
        """Return the memory that is booked: running requests with the run factor, and held ones after 0.1 s."""
        counted_from_ms = now_ms() - HELD_COUNTS_AFTER_MS
        return sum(
            run.memory_kb * (1.0 if run.task is None else run_factor)
            for run in self.runs.values()
            if run.task is not None or (not run.is_over and run.came_at_ms <= counted_from_ms)
        )

    def came(self, request_id: str, traffic_class: str, body: bytes, memory_kb: float = 0.0) -> None:
        """Note a request that came to this machine."""
        self.runs[request_id] = Run(traffic_class, body, memory_kb)

    def over(self, request_id: str) -> None:
        """Note that a request was answered or given up."""
        run = self.runs.get(request_id)
        if run is not None:
            run.is_over = True

    def close_link(self) -> None:
        """Break the link."""
        if self._link is not None:
            self._link.transport.abort()
            self._link = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while line := await reader.readline():
                self._command(json.loads(line), writer)
        if self._link is writer:
            self._link = None
        writer.close()

    def _command(self, command: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        name = command["op"]
        if name == "bind":
            self._bind(writer, int(command["seq"]))
        elif writer is self._link:
            if name == "poll":
                self._write({"op": "polled", "tag": command["tag"], "values": [0.5, self.running_count, 0.2, 10]})
            else:
                self._run_command(name, command)

    def _run_command(self, name: str, command: dict[str, Any]) -> None:
        request_id = command["id"]
        run = self.runs.get(request_id)
        body = base64.b64decode(command.get("body") or "")
        self._record.line(f"pool: {name} {request_id}")
        is_known = run is not None and (name != "spawn" or (run.traffic_class, run.body) == (command["class"], body))
        if run is None or not is_known:
            self._write({"op": "unknown", "end": name, "id": request_id})
        elif name == "spawn":
            self._spawn(request_id, run)
        elif name == "suspend":
            self._suspend(request_id, run)
        elif run.waits_for is not None and (name == "supply" or command["seq"] == run.call_seq):
            run.waits_for.set_result(None)
            run.waits_for = None

    def _bind(self, writer: asyncio.StreamWriter, after_seq: int) -> None:
        if self._link is not None and self._link is not writer:
            self._link.transport.abort()
        self._link = writer
        self._record.line(f"pool: bound after {after_seq}")
        age_ms = (time.monotonic() - self._began_s) * 1000
        self._write({"op": "bound", "end": "running", "ms": age_ms})
        for notice in self._notices:
            if notice["seq"] > after_seq:
                self._write(notice)

    def _write(self, message: dict[str, Any]) -> None:
        if self._link is not None and not self._link.is_closing():
            self._link.write(json.dumps(message).encode() + b"\n")

    def _notify(self, **fields: Any) -> int:
        seq = self._notices[-1]["seq"] + 1 if self._notices else 1
        notice = {**fields, "seq": seq}
        self._notices = [*self._notices[-(KEPT_NOTICES - 1) :], notice]
        self._write(notice)
        return seq

    def _spawn(self, request_id: str, run: Run) -> None:
        if run.task is not None:
            return
        if run.is_over:
            self._notify(op="finished", id=request_id, end="late", ms=0.0)
            return
        run.starts += 1
        run.task = asyncio.create_task(self._run(request_id, run))

    def _suspend(self, request_id: str, run: Run) -> None:
        if run.task is not None:
            run.task.cancel()
            run.task = None
            run.waits_for = None
            self._notify(op="finished", id=request_id, end="broken_off", ms=1.0)

    async def _run(self, request_id: str, run: Run) -> None:
        self.running_count += 1
        began_s = time.monotonic()
        end = "fine"
        try:
            await asyncio.sleep(self._work_ms[run.traffic_class] * self.slowness / 1000)
            for _ in range(self._calls.get(run.traffic_class, 0)):
                if run.is_over:
                    end = "broken_off"
                    break
                run.waits_for = asyncio.get_running_loop().create_future()
                body = base64.b64encode(CALL_BODY).decode()
                run.call_seq = self._notify(op="blocked", id=request_id, body=body)
                await run.waits_for
        finally:
            self.running_count -= 1
        run.task = None
        result = b"result of " + request_id.encode()
        self.results[request_id] = result
        self._record.line(f"pool: ran {request_id} {run.traffic_class}")
        body = base64.b64encode(result if end == "fine" else b"").decode()
        self._notify(op="finished", id=request_id, end=end, ms=(time.monotonic() - began_s) * 1000, body=body)


class RecordsService:
    """The records service: answers each call after a while."""

    def __init__(self, record: Record, takes_ms: float) -> None:
        self._record = record
        self._takes_ms = takes_ms
        self._server: asyncio.Server | None = None

    async def listen(self) -> str:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return address_of(self._server)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while line := await reader.readline():
                words = line.split()
                if words[0] == b"OP":
                    await reader.readexactly(int(words[3]) + 2)
                    await asyncio.sleep(self._takes_ms / 1000)
                    self._record.line(f"records: call of {words[1].decode()}")
                    writer.write(b"%s DONE %d\r\n%s\r\n" % (words[1], len(REPLY_BODY), REPLY_BODY))
        writer.close()


class Directory(asyncio.DatagramProtocol):
    """The directory: counts the reports of each server."""

    def __init__(self) -> None:
        self.reports: dict[str, int] = {}

    async def listen(self) -> str:
        """Listen on a free port and return the address."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(HOST, 0))
        return "{}:{}".format(*transport.get_extra_info("sockname")[:2])

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Count one report."""
        name = data.split()[1].decode()
        self.reports[name] = self.reports.get(name, 0) + 1


def address_of(server: asyncio.Server) -> str:
    """Return the address on which a stand-in listens."""
    return "{}:{}".format(*server.sockets[0].getsockname()[:2])


def resp_message(*parts: bytes) -> bytes:
    """Return a RESP array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


async def read_message(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one RESP array; raise at the end of the connection."""
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    parts = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:-2])
        parts.append((await reader.readexactly(size + 2))[:-2])
    return parts


@dataclass
class Try:
    """One try of a request: what was sent and what came back."""

    request_id: str
    traffic_class: str
    sent_at_ms: float
    due_at_ms: float
    is_first_on_connection: bool
    open_before: int
    answers: list[tuple[float, str, bytes]] = field(default_factory=list)
    ended_at_ms: float = 0.0  # when its connection ended without an answer
    was_reset: bool = False


class BalancerConnection:
    """One connection of a balancer to a server."""

    def __init__(self, record: Record, pool: WorkerPool, number: int) -> None:
        self._record = record
        self._pool = pool
        self._number = number
        self._tags = itertools.count(1)
        self._open: dict[int, Try] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None
        self._answer_count = 0
        self.is_usable = False

    async def connect(self, address: str) -> None:
        """Connect to the server."""
        host, port = address.rsplit(":", 1)
        reader, self._writer = await asyncio.open_connection(host, int(port))
        self.is_usable = True
        self._reading = asyncio.create_task(self._read(reader))

    @property
    def open_count(self) -> int:
        """How many requests are open."""
        return len(self._open)

    def ask(self, request_id: str, traffic_class: str, body: bytes, timeout_ms: float, **more: object) -> Try:
        """Send one request."""
        assert self._writer is not None
        tag = next(self._tags)
        sent_at_ms = now_ms()
        fields = {
            "req": request_id,
            "ts": int(sent_at_ms),
            "via": self._number,
            "timeout": int(timeout_ms),
            "need": 24.5,
            "level": "0.5000",
            **more,
        }
        text = ",".join(f"{name}={value}" for name, value in fields.items())
        one = Try(
            request_id,
            traffic_class,
            sent_at_ms,
            int(sent_at_ms) + timeout_ms,
            self._answer_count == 0,
            len(self._open),
        )
        self._open[tag] = one
        self._pool.came(request_id, traffic_class, body, float(str(fields["need"])))
        self._writer.write(resp_message(b"ASK", b"%d" % tag, traffic_class.encode(), text.encode(), body))
        self._record.line(f"balancer {self._number}: ask {request_id} {traffic_class}")
        return one

    async def _read(self, reader: asyncio.StreamReader) -> None:
        was_reset = False
        try:
            while True:
                self._answered(await read_message(reader))
        except asyncio.IncompleteReadError:
            pass
        except (ConnectionError, ValueError):
            was_reset = True
        self.is_usable = False
        for one in self._open.values():
            one.ended_at_ms = now_ms()
            one.was_reset = was_reset
            self._pool.over(one.request_id)
            self._record.line(f"balancer {self._number}: {one.request_id} has no answer, its connection ended")
        self._open.clear()
        if self._writer is not None:
            self._writer.close()

    def _answered(self, parts: list[bytes]) -> None:
        tag = int(parts[0])
        word = parts[1].decode()
        if tag == 0:
            self.is_usable = False
            self._close_if_done()
            return
        one = self._open.pop(tag, None)
        if one is None:
            return
        self._answer_count += 1
        one.answers.append((now_ms(), word, parts[3] if parts[3:] else b""))
        self._pool.over(one.request_id)
        self._record.line(f"balancer {self._number}: {word} {one.request_id}")
        if not self.is_usable:
            self._close_if_done()

    def _close_if_done(self) -> None:
        if not self._open and self._writer is not None:
            self._writer.close()

    def close(self) -> None:
        """Close the connection."""
        self.is_usable = False
        if self._reading is not None:
            self._reading.cancel()
        if self._writer is not None:
            self._writer.close()


async def is_healthy(address: str) -> bool:
    """Return whether the server answers a health check well."""
    host, port = address.rsplit(":", 1)
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    try:
        writer.write(resp_message(b"STATUS", b"1", b""))
        async with asyncio.timeout(1.0):
            parts = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False
    finally:
        writer.close()
    return parts[1] == b"healthy"


def program_environment() -> dict[str, str]:
    """Return the environment of the project's programs; a stand-in takes the place of xxhash where that is missing.

    Changes of configuration need this package, which the deploy file's build leaves out. The cases run with the
    interpreter of that build, so that it can be asked here.
    """
    environment = dict(os.environ)
    if importlib.util.find_spec("xxhash") is None:
        environment["PYTHONPATH"] = str(Path(__file__).resolve().parent / "hashes")
    return environment


class ServerProcess:
    """One server, started with the `run` line of the deploy file."""

    def __init__(self, folder: Path, config_path: Path, log_path: Path) -> None:
        self._folder = folder
        self._config_path = config_path
        self._log_path = log_path
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        temporary = self._folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {**program_environment(), "ROUTER_CONFIG": str(self._config_path), "TMPDIR": str(temporary)}
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                line,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )

    @property
    def pid(self) -> int:
        """The id of the process."""
        assert self._process is not None
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while it runs."""
        return None if self._process is None else self._process.returncode

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self, seconds: float) -> int | None:
        """Wait for the end of the process and return its exit code, or None if it still runs."""
        assert self._process is not None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._process.wait()
        return self._process.returncode

    async def kill(self) -> None:
        """End the process at once."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def resident_mb(self) -> float:
        """Return the resident memory of the process in MB."""
        text = Path(f"/proc/{self.pid}/status").read_text()
        return next(float(line.split()[1]) for line in text.splitlines() if line.startswith("VmRSS")) / 1024


def log_lines(path: Path) -> list[dict[str, Any]]:
    """Return the lines of a server's log that are JSON objects."""
    lines = []
    for line in path.read_text(errors="replace").splitlines():
        with contextlib.suppress(ValueError):
            lines.append(json.loads(line))
    return lines


async def wait_until(condition: Callable[[], bool], seconds: float) -> bool:
    """Wait until a condition holds; return whether it does."""
    deadline_s = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline_s:
            return False
        await asyncio.sleep(0.02)
    return True


async def wait_until_healthy(address: str, seconds: float = 20.0) -> bool:
    """Wait until the server answers a health check well; return whether it does."""
    deadline_s = time.monotonic() + seconds
    while not await is_healthy(address):
        if time.monotonic() > deadline_s:
            return False
        await asyncio.sleep(0.1)
    return True


def listen_address(server_number: int = 1) -> str:
    """Return a loopback address for a server that no other process of the machine uses.

    The port is below those of outgoing connections, and the host is this process's own.
    """
    pid = os.getpid()
    return f"127.{64 + (pid >> 14) % 64}.{(pid >> 7) % 128}.{1 + pid % 128}:{6564 + server_number}"


def platform_config(listen: str, pool: str, records: str, directory: str, **limits: float) -> dict[str, Any]:
    """Return a configuration in the platform's form, with the settings of a small deployment like riga-payout."""
    return {
        "name": "n1",
        "listen": listen,
        "pool": pool,
        "records": records,
        "lookup": directory,
        "seed": "8c1f30d27a5be964",
        "stop_ms": 3200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits},
        "settings": {
            "tick-ms": 5.0,
            "servers": 10,
            "classes": [
                {
                    "name": "balance",
                    "gain": 1.0,
                    "aim-ms": 3400.0,
                    "deadline-ms": 11000.0,
                    "idempotency": "read_like",
                    "memory-span-ms": 5000.0,
                },
                {
                    "name": "payout",
                    "gain": 3.0,
                    "aim-ms": 1100.0,
                    "deadline-ms": 2800.0,
                    "idempotency": "non_idempotent",
                    "memory-span-ms": 5000.0,
                },
            ],
            "tenants": [],
            "bounds": {"retry-after": True, "max-retry-after-ms": 1000.0},
            "client-habits": {"marks-retry": True},
            "invariants": {
                "answer-slack-ms": 60.0,
                "cold-from": 0.2,
                "cold-ms": 18000.0,
                "fall-ms": 1500.0,
                "fall-multiple": 8.0,
                "stop-sending-within-ms": 2500.0,
            },
            "specifics": {
                "cpus": 6,
                "memory-kb": 40000.0,
                "run-factor": 16.0,
                "say": "bias",
                "callers": 4,
                "stop-mode": "drop",
                "below": "common",
                "dep-share": 4.5,
                "calls-over-ms": 5000.0,
                "stays-for-ms": 200.0,
                "class-calls": [True, True],
                "class-skip-worth": [0.6, 0.0],
                "kb-per-key": 46.0,
                "idle-ms": 15000.0,
                "cold": False,
                "passes-deadline": True,
                "tells-gone": True,
                "own-stats": ["cpu_busy", "runnable", "mem_used", "sockets"],
            },
        },
    }


def own_document(listen: str, pool: str, records: str, directory: str, changes: dict[str, Any]) -> dict[str, Any]:
    """Return a document in the project's own words, with the settings of `platform_config`."""
    return {
        "version": 1,
        "node": {
            "name": "n1",
            "listen": listen,
            "seed": "8c1f30d27a5be964",
            "stop_ms": 3200,
            "memory_mb": 192,
            "descriptors": 1024,
        },
        "peers": {"pool": pool, "records": records, "directory": directory},
        "machine": {
            "cores": 6,
            "memory_kb": 40000,
            "run_factor": 16,
            "cold_from": 0.2,
            "cold_ms": 18000,
            "crowd_multiple": 8,
            "answer_slack_ms": 60,
            "drain_grace_ms": 2500,
            "tick_ms": 5,
            "stopping": "drop",
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
        },
        "callers": {
            "servers": 10,
            "callers": 4,
            "said": "chance",
            "advice_most_ms": 1000,
            "marks_again": True,
            "idle_ms": 15000,
        },
        "calls": {"share": 4.5, "span_ms": 5000, "linger_ms": 200},
        "store": {"entry_kb": 46},
        "grades": {
            "balance": {
                "credit": 1,
                "quoted_ms": 3400,
                "abandon_ms": 11000,
                "repeat": "replayable",
                "calls": True,
                "omit_share": 0.6,
            },
            "payout": {"credit": 3, "quoted_ms": 1100, "abandon_ms": 2800, "repeat": "single-use", "calls": True},
        },
        "changes": changes,
    }


def run_case(play: Coroutine[Any, Any, int]) -> int:
    """Play a case and return its exit code; an error of the case, or an end before its time, counts as not run.

    SIGTERM and the end of the longest time cancel the play, which ends all processes that it has started.
    """

    async def guarded() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(LONGEST_S):
            return await play

    try:
        return asyncio.run(guarded())
    except asyncio.CancelledError:
        print("ended by a signal", file=sys.stderr)
    except Exception:
        traceback.print_exc()
    return NOT_RUN


def end_with(main: Callable[[], int]) -> NoReturn:
    """End the process with the exit code of a case; an error outside the play counts as not run as well."""
    code = NOT_RUN
    try:
        code = main()
    except Exception:
        traceback.print_exc()
    sys.exit(code)
