"""What tests share: the plain model of the four rules beside the module, and stand-ins round the real server."""

from __future__ import annotations

import copy
import json
import os
import socket
import subprocess
import sys
import time
from base64 import b64encode
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, replace
from pathlib import Path

import anyio
import anyio.abc

from nickelslip.admission.controller import AdmissionController
from nickelslip.admission.interface import (
    Arrival,
    Decisions,
    Gauges,
    LoadSignal,
    Outcome,
    Preemption,
    RequestState,
    RetrySafety,
    Settings,
    TrafficClass,
)
from nickelslip.configuration.config import ChangeRules, Config, config_from_platform
from nickelslip.configuration.generations import Generation
from nickelslip.configuration.store import HistoryStore
from nickelslip.server import resp
from nickelslip.server.configuration_manager import ConfigurationManager
from nickelslip.server.control_socket import ControlSocket
from nickelslip.server.lifecycle import Phase
from nickelslip.server.listening_socket import bind
from nickelslip.server.load_balancer_connection import LoadBalancerConnection
from nickelslip.server.load_balancer_listener import LoadBalancerListener
from nickelslip.server.server import Server
from nickelslip.server.starting_configuration import select_starting_configuration

READ = TrafficClass("read", 1.0, 1000.0, 3000.0, RetrySafety.IDEMPOTENT, makes_calls=True, degraded_value_fraction=0.5)
PAY = TrafficClass("pay", 3.0, 500.0, 1500.0, RetrySafety.NON_IDEMPOTENT, makes_calls=True)
BOOK = TrafficClass("book", 2.0, 800.0, 2000.0, RetrySafety.IDEMPOTENCY_KEY, idempotency_window_ms=4000.0)


def settings(**changes: object) -> Settings:
    base: dict[str, object] = dict(
        traffic_classes=(READ, PAY, BOOK),
        core_count=2,
        memory_kb=2000.0,
        running_memory_factor=4.0,
        starts_cold=False,
        cold_speed_fraction=0.3,
        warm_up_ms=8000.0,
        overload_concurrency_per_core=4.0,
        answer_slack_ms=60.0,
        drain_grace_ms=1000.0,
        tick_ms=5.0,
        load_signal=LoadSignal.SELECTION_PROBABILITY,
        retry_after_max_ms=999.0,
        dependency_concurrency_share=2.0,
        dependency_window_ms=2000.0,
        abandoned_call_linger_ms=200.0,
        idempotency_record_kb=20.0,
        clients_mark_retries=True,
    )
    return Settings(**{**base, **changes})  # type: ignore[arg-type]


@dataclass
class Known:
    """What the model knows of one transaction."""

    grade: TrafficClass
    kb: float
    due: float
    reached: float
    place: str = "held"  # held, core, call, out, joined or off
    runs: int = 0
    answers: int = 0
    gone: bool = False
    unproven: bool = False


class World:
    """Carries out what the module decides, and fails the test where a rule does not allow it."""

    def __init__(self, chosen: Settings | None = None, seed: int = 1) -> None:
        self.told = chosen or settings()
        self.s, self.now, self.wakes, self.kill, self.drained = chosen or settings(), 0.0, [], None, None
        self.known: dict[int, Known] = {}
        self.entries: dict[int, float] = {}
        self.said: list[float] = []
        self.outs: list[tuple[float, float]] = []  # spans in which a call was out
        self.out_since: dict[int, float] = {}
        self.out_until: dict[int, float] = {}
        self.control = AdmissionController(self.s, seed, 0.0)
        self.last = self.take(self.control.start(0.0))

    def take(self, result: Decisions) -> Decisions:
        self.last = result
        if result.advertised_weight is not None:
            self.said.append(result.advertised_weight)
        if result.wake_in_ms is not None:
            assert result.wake_in_ms > 0
            self.wakes.append(self.now + result.wake_in_ms)
        for entry in result.idempotency_updates:
            self.entries[entry.id] = self.now + entry.retention_ms
        for change in result.state_changes:
            self.carry_out(change.id, change.state, change.duration_ms)
        if result.state_changes or result.idempotency_updates:
            self.check()
        return result

    def carry_out(self, ident: int, state: RequestState, span: float) -> None:
        one = self.known[ident]
        final_risk = one.runs and one.grade.retry_safety is not RetrySafety.IDEMPOTENT
        if state in (RequestState.REJECTED, RequestState.FAILED):
            one.answers += 1
            assert one.answers == 1 and not one.gone, "a second answer"
            assert not (state is RequestState.REJECTED and final_risk), "dismissed after it ran"
            if one.place != "core":
                self.leave(ident)
        elif state is RequestState.RUNNING:
            assert one.place == "held" and not one.answers and not final_risk, "run twice"
            assert self.drained is None or one.reached <= self.drained + self.s.drain_grace_ms, "run past the grace"
            if one.grade.retry_safety is RetrySafety.IDEMPOTENCY_KEY:
                assert self.entries[ident] >= one.reached + one.grade.idempotency_window_ms, "run without its entry"
            one.place, one.runs = "core", one.runs + 1
        elif state is RequestState.CALL_IN_FLIGHT:
            assert one.place == "call" and not one.answers
            assert one.grade.retry_safety is RetrySafety.IDEMPOTENT or not one.unproven, "a call repeated"
            one.place, self.out_since[ident], self.out_until[ident] = "out", self.now, self.now + (span or 1e9)
        elif state is RequestState.DEGRADED:
            assert one.place == "call" and one.grade.degraded_value_fraction > 0
            one.place = "core"
        elif state is RequestState.COALESCED:
            one.place = "joined"
        else:
            assert (
                state is RequestState.ORPHANED
                and self.s.preemption is not Preemption.NEVER
                and one.place in ("core", "off")
            )
            assert one.answers or one.gone
            self.leave(ident)

    def leave(self, ident: int) -> None:
        if self.known[ident].place == "out":
            self.outs.append((self.out_since.pop(ident), self.now + self.s.abandoned_call_linger_ms))
        self.known[ident].place = "off"

    def check(self) -> None:
        """Rule 4 at the end of every call, and rule 1."""
        places = [one.place for one in self.known.values()]
        warmth = (
            min(1.0, self.s.cold_speed_fraction + (1 - self.s.cold_speed_fraction) * self.now / self.s.warm_up_ms)
            if self.s.starts_cold
            else 1.0
        )
        assert (
            places.count("core") <= self.s.core_count * (1 + (self.s.overload_concurrency_per_core - 1) * warmth) + 1e-6
        )
        used = sum(self.s.idempotency_record_kb for until in self.entries.values() if until > self.now)
        for one in self.known.values():
            used += one.kb * {"off": 0, "held": 1, "joined": 1}.get(one.place, self.s.running_memory_factor)
            assert one.answers or one.gone or self.now <= one.due + self.s.answer_slack_ms, "an answer overdue"
            assert one.answers or one.gone or self.kill is None or self.now < self.kill
        assert used <= self.s.memory_kb + 1e-6
        if self.s.dependency_concurrency_share:
            begin = self.now - self.s.dependency_window_ms
            spans = self.outs + [(since, self.now) for since in self.out_since.values()]
            mean = (
                sum(max(0.0, min(end, self.now) - max(since, begin)) for since, end in spans)
                / self.s.dependency_window_ms
            )
            assert mean <= self.s.dependency_concurrency_share + 1e-6

    def read(
        self,
        ident: int,
        grade: TrafficClass,
        kb: float = 10.0,
        wait: float | None = None,
        unread: float = 0.0,
        **more: object,
    ) -> Decisions:
        reached = self.now - unread
        due = None if wait is None else max(self.now, reached + wait)
        self.known[ident] = Known(grade, kb, due or max(self.now, reached + grade.timeout_ms), reached)
        arrival = Arrival(ident, grade.name, kb, deadline_at_ms=due, read_delay_ms=unread, **more)  # type: ignore[arg-type]
        return self.take(self.control.request_received(self.now, arrival))

    def end(self, ident: int, outcome: Outcome = Outcome.OK, took: float = 100.0) -> Decisions:
        one = self.known[ident]
        if one.place in ("core", "joined") and outcome in (Outcome.OK, Outcome.ERROR) and not one.gone:
            one.answers = 1
        self.leave(ident)
        return self.take(self.control.run_ended(self.now, ident, outcome, took))

    def call(self, ident: int) -> Decisions:
        one = self.known[ident]
        one.place = "off" if one.answers or one.gone else "call"
        return self.take(self.control.call_requested(self.now, ident))

    def back(self, ident: int, outcome: Outcome) -> Decisions:
        one, since = self.known[ident], self.out_since.pop(ident)
        self.outs.append((since, self.now + (self.s.abandoned_call_linger_ms if outcome is Outcome.TIMEOUT else 0.0)))
        one.place = "core" if outcome is Outcome.OK else "call"
        one.unproven = outcome is not Outcome.OK and not outcome.proves_never_ran
        return self.take(self.control.call_returned(self.now, ident, outcome, self.now - since))

    def gone(self, ident: int) -> Decisions:
        one = self.known[ident]
        one.gone = True
        if one.place != "core":
            self.leave(ident)
        return self.take(self.control.client_disconnected(self.now, ident))

    def change(self, **changes: object) -> Decisions:
        """Other settings; what was within a bound that is lowered now may stay until it ends."""
        fresh = replace(self.told, **changes)  # type: ignore[arg-type]
        self.told, old = fresh, self.s
        self.s = replace(
            fresh,
            **{
                name: max(getattr(old, name), getattr(fresh, name))
                for name in ("memory_kb", "core_count", "overload_concurrency_per_core", "dependency_concurrency_share")
            },
        )
        return self.take(self.control.settings_changed(self.now, fresh))

    def drain(self, left: float) -> Decisions:
        self.drained, self.kill = self.now, self.now + left
        return self.take(self.control.drain(self.now, self.kill))

    def wait(self, span: float, busy: float = 1.0) -> None:
        """Let time pass, a tick at a time, with the wakes that fall due."""
        end = self.now + span
        while self.now < end:
            self.now += self.s.tick_ms
            due = [at for at in self.wakes if at <= self.now]
            self.wakes = [at for at in self.wakes if at > self.now]
            self.check()
            for ident in self.at("out"):
                if self.out_until[ident] <= self.now:
                    self.back(ident, Outcome.TIMEOUT)
            for _ in due:
                self.take(self.control.timer_fired(self.now, Gauges(cpu_utilization=busy)))

    def at(self, place: str) -> list[int]:
        return [ident for ident, one in self.known.items() if one.place == place]


# The real server on loopback sockets, among small stand-ins for all that it talks to

TOLD = {
    "bounds": {"max-retry-after-ms": 1000.0, "retry-after": True},
    "classes": [
        {"name": "read", "gain": 1.0, "aim-ms": 1000.0, "deadline-ms": 3000.0, "idempotency": "read_like"},
        {"name": "pay", "gain": 3.0, "aim-ms": 500.0, "deadline-ms": 1500.0, "idempotency": "non_idempotent"},
        {
            "name": "book",
            "gain": 2.0,
            "aim-ms": 800.0,
            "deadline-ms": 2000.0,
            "idempotency": "idempotency_key",
            "memory-span-ms": 4000.0,
        },
    ],
    "client-habits": {"marks-retry": True},
    "tenants": [{"name": "acme", "quota-rps": 100.0}],
    "tick-ms": 5.0,
    "invariants": {
        "answer-slack-ms": 20.0,
        "cold-from": 0.2,
        "cold-ms": 9000.0,
        "fall-multiple": 8.0,
        "stop-sending-within-ms": 200.0,
    },
    "specifics": {
        "cpus": 2,
        "memory-kb": 9000.0,
        "run-factor": 16.0,
        "say": "bias",
        "below": "common",
        "dep-share": 4.0,
        "calls-over-ms": 5000.0,
        "stays-for-ms": 200.0,
        "kb-per-key": 20.0,
        "fresh-ms": 1000.0,
        "stop-mode": "drop",
        "class-skip-worth": [0.6, 0.0, 0.0],
        "idle-ms": 15000.0,
        "own-stats": ["cpu_busy", "runnable", "mem_used", "sockets"],
    },
}


async def until(true: Callable[[], object], wait_s: float = 3.0) -> None:
    """Wait until it holds; fail the test where it does not in time."""
    with anyio.fail_after(wait_s):
        while not true():
            await anyio.sleep(0.002)


class Standin:
    """A TCP party with one connection at a time that matters: the last."""

    def __init__(self) -> None:
        self.links, self.stream, self.seen = 0, None, []
        self.streams: set[anyio.abc.SocketStream] = set()

    async def listen(self, tasks: anyio.abc.TaskGroup, port: int = 0) -> Standin:
        self.listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        self.port = self.listener.extra(anyio.abc.SocketAttribute.local_port)
        self.scope, self.over = anyio.CancelScope(), anyio.Event()
        tasks.start_soon(self._serve)
        return self

    async def _serve(self) -> None:
        with self.scope:
            await self.listener.serve(self._handle)
        await self.listener.aclose()
        self.over.set()

    async def _handle(self, stream: anyio.abc.SocketStream) -> None:
        self.stream, self.links, held = stream, self.links + 1, b""
        self.streams.add(stream)
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            while True:
                held = await self.understand(held + await stream.receive(), stream)
        self.streams.discard(stream)

    async def understand(self, held: bytes, stream: anyio.abc.SocketStream) -> bytes:
        raise NotImplementedError

    async def cut(self) -> None:
        """Break all connections."""
        self.stream, streams = None, list(self.streams)
        for stream in streams:
            await anyio.aclose_forcefully(stream)

    async def down(self) -> None:
        """Refuse connections from now on."""
        self.scope.cancel()
        await self.over.wait()
        await self.cut()


class Pool(Standin):
    """A worker pool: it keeps commands, and tells what a test has it tell."""

    def __init__(self) -> None:
        super().__init__()
        self.saying = anyio.Lock()
        self.seq, self.notices, self.up, self.measures, self.polls = 0, [], anyio.Event(), True, 0

    async def understand(self, held: bytes, stream: anyio.abc.SocketStream) -> bytes:
        *lines, rest = held.split(b"\n")
        for each in map(json.loads, lines):
            if each["op"] == "poll":
                self.polls += 1
                if self.measures:
                    await self.say(op="polled", tag=each["tag"], values=[0.5, 1, 0.1, 3])
                continue
            self.seen.append(each)
            if each["op"] == "bind":
                await self.up.wait()
                await self.say(op="bound", end="running", ms=5.0)
                for notice in self.notices:
                    if notice["seq"] > each["seq"]:
                        await self.say(**notice)
        return rest

    async def say(self, **line: object) -> None:
        async with self.saying:
            if self.stream is not None:
                await self.stream.send(json.dumps(line).encode() + b"\n")

    async def tell(self, op: str, ident: str, **more: object) -> None:
        self.seq += 1
        self.notices.append({"op": op, "seq": self.seq, "id": ident, **more})
        await self.say(**self.notices[-1])

    async def finish(self, ident: str, end: str = "fine", body: bytes = b"result") -> None:
        await self.tell("finished", ident, end=end, ms=20.0, body=b64encode(body).decode())

    async def block(self, ident: str, body: bytes = b"\r\ncall\x00") -> None:
        await self.tell("blocked", ident, body=b64encode(body).decode())

    def binds(self) -> list[dict[str, object]]:
        return [each for each in self.seen if each["op"] == "bind"]

    def told(self, op: str, ident: str) -> list[dict[str, object]]:
        return [each for each in self.seen if each["op"] == op and each.get("id") == ident]


class Lines(dict):
    """The connections of calls; that of one whose connection has ended is None."""

    def __init__(self, standing: set[anyio.abc.SocketStream]) -> None:
        super().__init__()
        self._standing = standing

    def __getitem__(self, ident: str) -> anyio.abc.SocketStream | None:
        stream = super().__getitem__(ident)
        return stream if stream in self._standing else None


class Service(Standin):
    """A records service: it keeps calls as (verb, id, body), and the connection on which each came last."""

    def __init__(self) -> None:
        super().__init__()
        self.lines = Lines(self.streams)

    async def understand(self, held: bytes, stream: anyio.abc.SocketStream) -> bytes:
        while b"\r\n" in held:
            verb, ident, *rest = held.split(b"\r\n", 1)[0].decode().split(" ")
            start = held.index(b"\r\n") + 2
            size = int(rest[1]) if rest else 0
            if rest and len(held) < start + size + 2:
                return held
            self.seen.append((verb, ident, held[start : start + size]))
            self.lines[ident] = stream
            held = held[start + (size + 2 if rest else 0) :]
        return held

    async def reply(self, ident: str, word: str, body: bytes | None = None, to: str = "") -> None:
        tail = b"" if body is None else b" %d\r\n%b" % (len(body), body)
        await self.lines[to or ident].send(f"{ident} {word}".encode() + tail + b"\r\n")


class Caller:
    """A balancer's connection."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream, self._held, self.tag = stream, bytearray(), 0

    async def send(self, *parts: bytes | str) -> None:
        await self.stream.send(resp.message(*(each.encode() if isinstance(each, str) else each for each in parts)))

    async def ask(
        self, ident: str, grade: str = "read", body: bytes = b"body", without: str = "", **fields: object
    ) -> int:
        """Ask with the usual fields, changed or left out, under the next tag."""
        self.tag += 1
        known = {
            "req": ident,
            "ts": int(time.time() * 1000),
            "via": 4,
            "owner": "acme",
            "timeout": 2500,
            "need": 24.5,
            "level": 0.5,
            **fields,
        }
        text = ",".join(f"{name}={value}" for name, value in known.items() if name != without)
        await self.send("ASK", str(self.tag), grade, text, body)
        return self.tag

    async def answer(self, wait_s: float = 3.0) -> tuple[int, str, dict[str, str], bytes]:
        """The next answer: tag, word, fields, body."""
        with anyio.fail_after(wait_s):
            while (whole := resp.parse(self._held, 0, len(self._held))) is None:
                self._held += await self.stream.receive()
        (tag, word, *rest), upto = whole
        del self._held[:upto]
        fields = dict(pair.split("=") for pair in rest[0].decode().split(",")) if rest and rest[0] else {}
        return int(tag), word.decode(), fields, rest[1] if len(rest) > 1 else b""

    async def ended(self, wait_s: float = 3.0) -> bool:
        """Whether the server closes the connection with nothing more to say."""
        with anyio.fail_after(wait_s):
            try:
                return not await self.stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return True


def asking(ident: str, grade: str = "read", tag: int = 2, body: bytes = b"body", **fields: object) -> bytes:
    """The bytes of one transaction as a balancer sends it; a field that is None is left out."""
    known = {
        "req": ident,
        "ts": int(time.time() * 1000),
        "via": 4,
        "owner": "acme",
        "timeout": 2500,
        "need": 24.5,
        "level": 0.5,
        **fields,
    }
    text = ",".join(f"{name}={value}" for name, value in known.items() if value is not None)
    return resp.message(b"ASK", b"%d" % tag, grade.encode(), text.encode(), body)


class Peer:
    """A client's connection whose every send is in the system's hands before it returns, so that a test says itself
    which of two things comes first."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.name = self.sock.getsockname()

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    async def until(self, word: bytes, wait_s: float = 3.0) -> bytes:
        """All that came up to this word."""
        got = b""
        with anyio.fail_after(wait_s):
            while word not in got:
                await anyio.wait_readable(self.sock)
                more = self.sock.recv(65536)
                assert more, f"it ended after {got!r}"
                got += more
        return got

    async def to_the_end(self, wait_s: float = 3.0) -> bytes:
        """All that came up to a plain end; a reset fails the test."""
        got = b""
        with anyio.fail_after(wait_s):
            while True:
                await anyio.wait_readable(self.sock)
                more = self.sock.recv(65536)
                if not more:
                    self.sock.close()
                    return got
                got += more


class Failing:
    """A listener whose next accepts fail with these codes, one after the other."""

    def __init__(self, real: socket.socket, *codes: int) -> None:
        self._real, self.codes, self.accepts = real, list(codes), 0

    def accept(self) -> tuple[socket.socket, object]:
        self.accepts += 1
        if self.codes:
            raise OSError(self.codes.pop(0), "made up")
        return self._real.accept()

    def __getattr__(self, name: str) -> object:
        return getattr(self._real, name)


class Place:
    """A server among its stand-ins: here, or in a process of its own."""

    def __init__(self, elsewhere: bool = False, rules: ChangeRules | None = None, **facts: object) -> None:
        self._elsewhere, self._rules, self.changing = elsewhere, rules, None
        self.told = copy.deepcopy(TOLD)
        self.told["specifics"].update(facts)
        self.pool, self.records, self.reports, self.clean = Pool(), Service(), [], None
        self.config = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "seed": "8c1f",
            "stop_ms": 700,
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 200},
            "settings": self.told,
        }

    async def __aenter__(self) -> Place:
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        await self.pool.listen(self._tasks)
        await self.records.listen(self._tasks)
        lookup = await self.directory_up()
        self.config.update(
            pool=f"127.0.0.1:{self.pool.port}", records=f"127.0.0.1:{self.records.port}", lookup=f"127.0.0.1:{lookup}"
        )
        self.listener = bind(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.node = Server(self.read(), self.read)
        self.node.listeners.append(LoadBalancerListener(self.node, self.listener))
        if self._rules is not None:
            self._take_changes(self._rules)
        if not self._elsewhere:
            self._tasks.start_soon(self._run)
        return self

    def read(self) -> Config:
        """The configuration as its file would have it now."""
        config = config_from_platform(self.config, {})
        return config if self._rules is None else replace(config, changes=self._rules)

    def _take_changes(self, rules: ChangeRules) -> None:
        store = HistoryStore(rules.history, rules.history_kb) if rules.history else None
        config, file, start, records = select_starting_configuration(
            self.read(), store, self.node.clock(), self.node.log
        )
        self.node = Server(config, self.read)
        self.node.listeners.append(LoadBalancerListener(self.node, self.listener))
        self.changing = ConfigurationManager(self.node, file, start, records, self.read, store)
        self.node.background_tasks.append(self.changing.run)
        if rules.socket:
            self.node.background_tasks.append(
                ControlSocket(self.node, rules.socket, rules.socket_mode, self.changing.command).run
            )

    async def push(self, part: dict[str, object], **more: object) -> dict[str, object]:
        """Apply a document over the one in force, as an operator would."""
        return await self.changing.command({"do": "apply", "document": part, **more})

    def renew(self) -> None:
        """Have the server, which has read nothing yet, begin under the settings as they are told now."""
        self.node.generation = Generation(1, self.read())

    def share_out(self, **shares: int) -> None:
        """Have so many descriptors for each part, in place of what follows from the limit."""
        generation = self.node.generation
        vars(generation)["descriptor_shares"] = generation.descriptor_shares._replace(**shares)

    async def move(self) -> None:
        """Have new stand-ins take the place of the worker pool and the records, which are up, and tell the server."""
        self.pool, self.records = await self.another_pool(), Service()
        await self.records.listen(self._tasks)
        self.config.update(pool=f"127.0.0.1:{self.pool.port}", records=f"127.0.0.1:{self.records.port}")
        (self.node.reload_handler or self.node).reload()

    async def another_pool(self) -> Pool:
        """The same worker pool at another address."""
        pool = Pool()
        pool.notices, pool.seq = self.pool.notices, self.pool.seq
        pool.up.set()
        return await pool.listen(self._tasks)

    async def directory_up(self, port: int = 0) -> int:
        """Have the directory hear; the port at which it does."""
        self._udp = await anyio.create_udp_socket(local_host="127.0.0.1", local_port=port)
        self._tasks.start_soon(self._hear, self._udp)
        return self._udp.extra(anyio.abc.SocketAttribute.local_port)

    async def directory_down(self) -> int:
        """Have the directory be gone; the port at which it was."""
        port = self._udp.extra(anyio.abc.SocketAttribute.local_port)
        await self._udp.aclose()
        return port

    async def _hear(self, udp: anyio.abc.UDPSocket) -> None:
        with suppress(anyio.ClosedResourceError):
            async for packet, _ in udp:
                self.reports.append(packet.decode())

    async def _run(self) -> None:
        self.clean = await self.node.run()

    async def __aexit__(self, *error: object) -> None:
        with anyio.CancelScope(shield=True):
            self._tasks.cancel_scope.cancel()
            await self._udp.aclose()
            self.listener.close()
            with suppress(BaseException):
                await self._tasks.__aexit__(None, None, None)

    async def up(self) -> Place:
        """Let the worker pool be up, and wait until the server has heard."""
        self.pool.up.set()
        await until(lambda: self.node.phase is Phase.SERVING and self.node.worker_pool.is_up)
        return self

    async def caller(self) -> Caller:
        return Caller(await anyio.connect_tcp("127.0.0.1", self.port))

    def connection_of(self, peer: Peer) -> LoadBalancerConnection | None:
        """The server's side of this peer's connection, while it stands."""
        return next(
            (
                each
                for each in self.node.listeners[0].table.connections
                if not each.stream.close_reason and each.stream._sock.getpeername() == peer.name
            ),
            None,
        )

    async def running(self, caller: Caller, ident: str, grade: str = "read", **fields: object) -> int:
        """Ask, and wait until its run has been started."""
        tag = await caller.ask(ident, grade, **fields)
        await until(lambda: self.pool.told("spawn", ident))
        return tag

    async def calling(self, caller: Caller, ident: str, grade: str = "read", **fields: object) -> int:
        """Ask, and wait until its run's call has reached the records."""
        tag = await self.running(caller, ident, grade, **fields)
        await self.pool.block(ident)
        await until(lambda: ("OP", ident, b"\r\ncall\x00") in self.records.seen)
        return tag


@asynccontextmanager
async def serving(place: Place, folder: Path) -> AsyncIterator[subprocess.Popen[bytes]]:
    """The program itself, in a process of its own, with this place round it."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        place.port = probe.getsockname()[1]
    file = folder / "config.json"
    file.write_text(json.dumps({**place.config, "listen": f"127.0.0.1:{place.port}"}))
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
            await until(lambda: place.pool.polls, 10.0)
            yield process
        finally:
            process.kill()


A, B, C = "00000000000000a1", "00000000000000b2", "00000000000000c3"
