"""The link to the worker pool.

Owns the one connection on which runs are started, stopped and led past their calls, the number of the last notice
read, and which commands are proven to have got there. A lost link is taken up again where the last notice left off;
each notice counts once, and one that cannot be read is passed over, since asked anew it would be the same. It must
never repeat a command that may have had an effect which must not come twice, and it does not judge what a run's end
means: that goes to the transaction.
"""

from __future__ import annotations

import random
import re
from base64 import b64decode, b64encode
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING, Any, NamedTuple

import anyio
import orjson

from nickelslip.admission.interface import Gauges, Outcome, Preemption, RequestState, RetrySafety
from nickelslip.configuration.config import Address
from nickelslip.server.buffer_pool import BUFFER_BYTES
from nickelslip.server.close_reasons import (
    MALFORMED_RESULT_OUTCOME,
    RUN_OUTCOMES,
    UNKNOWN_START_OUTCOME,
    CloseReason,
    ConnectionClosedError,
)
from nickelslip.server.connector import connect
from nickelslip.server.request_events import CallRequested, RunFinished
from nickelslip.server.requests import FINAL_STATES, Request
from nickelslip.server.streams import Stream
from nickelslip.startup.backoff import Backoff

if TYPE_CHECKING:  # types only: a start is spared what it does not need
    from nickelslip.server.interfaces import RunOwner

PAUSE_MS, PAUSE_MOST_MS = 20.0, 500.0  # between tries to connect, at least and at most
TRIES_MOST, TRIES_SPAN_MS = 24, 5000.0  # and no more tries than that in such a time
MOVE_MS = 100.0  # how long a link that is being replaced may take to prove what got there
UNHEARD_MOST = 20  # questions, ten a second, on which a link that brings nothing is given up
GHOST_STOPS = 3  # stops without a word, each behind the answer to a question, that prove that there is no run
BACKLOG_MOST = 1 << 20
UNPROVEN_MOST = 4096
PARTS_OF_NOTICE = re.compile(rb'"(op|seq|id)"\s*:\s*"?(\w+)')  # what can still be told of one that is no JSON
GAUGES = {
    "cpu_busy": "cpu_utilization",
    "runnable": "run_queue_length",
    "mem_used": "memory_utilization",
    "sockets": "connection_count",
}


class LinkState(Enum):
    """The state of the link."""

    DOWN = "there is none; commands wait"
    MOVING = "the link to another address stands ready; commands wait for what was written to be proven"
    BINDING = "connected, and waiting for the worker pool to be up"
    UP = "commands go out at once"


class Command(NamedTuple):
    """Something told to the worker pool: a transaction's command, or with none a question for the gauges."""

    op: str
    one: Request | None
    fields: dict[str, Any]


class WorkerPoolLink:
    """The worker pool, as this server reaches it."""

    def __init__(self, around: RunOwner) -> None:
        self._around = around
        self._link = LinkState.DOWN
        self._stream: Stream | None = None
        self._next: Stream | None = None  # to the address that replaces this one's
        self._address = around.generation.config.pool  # to which the link goes
        self._attempt: anyio.CancelScope | None = None  # the connecting, or the pause before it
        self._proven = anyio.Event()  # of a link that is being replaced: all that was written got there
        self._ghosts: dict[Request, tuple[int, int]] = {}  # runs in doubt: stops unheard, and answers before them
        self._answers = 0  # to questions for the gauges
        self._unheard = 0  # questions since anything was read
        self._begun = False  # the worker pool has been up
        self._seq = 0  # of the last notice read
        self._tag, self._fence = 0, ""
        self._doubtful: list[Command] = []  # written on a link that was lost
        self._gauges: Gauges | None = None
        self._waiting: deque[Command] = deque()  # never written: a transaction has few, and few are in hand
        self._unproven: deque[Command] = deque(maxlen=UNPROVEN_MOST)  # written, and not yet known to have got there
        self._halts = around.generation.settings.preemption is not Preemption.NEVER  # never changes while it serves

    @property
    def is_up(self) -> bool:
        """Whether a command can be written now."""
        return self._link is LinkState.UP and self._stream is not None and not self._stream.ending

    # What is told to the worker pool

    def start(self, one: Request) -> None:
        self._tell(
            Command("spawn", one, {"class": one.received.traffic_class, "body": b64encode(one.received.body).decode()})
        )

    def stop(self, one: Request) -> None:
        """Where runs can be stopped. Without a link it is passed over: the module asks again while a run goes on.
        A run whose start was lost ends without a word; unproven, it would keep its slot and its memory for good."""
        if not self._halts or not self.is_up:
            return
        if one in self._ghosts and (one.answered or one.client_gone):
            stops, answers = self._ghosts[one]
            if self._answers > answers:
                self._ghosts[one] = stops + 1, self._answers
            if stops >= GHOST_STOPS:
                del self._ghosts[one]
                one.deliver(RunFinished(Outcome.CANCELLED, 0.0))
                return
        self._tell(Command("suspend", one, {}))

    def _ask_after_ghosts(self) -> None:
        """Where runs cannot be stopped: a start that may have been lost is told again once its transaction is over. By
        the protocol nothing is then started: either it runs already, or the worker pool says that it is too late."""
        for one in [one for one in self._ghosts if (one.answered or one.client_gone) and not one.notified]:
            del self._ghosts[one]
            self.start(one)

    def resume_with_reply(self, one: Request, body: bytes) -> None:
        one.notified = False
        self._tell(Command("supply", one, {"body": b64encode(body).decode()}))

    def resume_without_call(self, one: Request) -> None:
        """Without the call at which the run stands."""
        one.notified = False
        self._tell(Command("pass", one, {"seq": one.call.seq}))

    def request_gauges(self) -> None:
        """Ask, where a link stands. One on which many questions in a row bring nothing at all is given up: a peer
        that vanished without a word would be waited for until every transaction is due. They are counted, and not
        timed, since a server that stands still asks none."""
        if self._stream is not None and self._begun:
            self._unheard += 1
            if self._unheard > UNHEARD_MOST:
                self._stream.end_with(CloseReason.UNRESPONSIVE)
        if self.is_up:
            self._tag += 1
            self._write(Command("poll", None, {"tag": str(self._tag)}))

    def take_gauges(self) -> Gauges | None:
        """The gauges that have come since they were last taken."""
        gauges, self._gauges = self._gauges, None
        return gauges

    def _tell(self, command: Command) -> None:
        if self.is_up:
            self._write(command)
        else:
            self._waiting.append(command)  # proven never to have got there

    def _write(self, command: Command) -> None:
        ident = {} if command.one is None else {"id": command.one.received.id_hex}
        line = orjson.dumps({"op": command.op, **ident, **command.fields}, option=orjson.OPT_APPEND_NEWLINE)
        self._unproven.append(command)
        if self._stream is not None:
            self._stream.write(line)

    # The link

    async def run(self) -> None:
        """Keep the link, and take it up again when it is lost."""
        chance = random.Random(f"link {self._around.generation.config.name} {self._around.generation.config.seed}")
        backoff = Backoff(chance, PAUSE_MS, PAUSE_MOST_MS, TRIES_MOST, TRIES_SPAN_MS)
        while True:
            with anyio.CancelScope() as self._attempt:
                try:
                    if self._next is None:
                        self._address = self._around.generation.config.pool
                        self._next = await self._connect(self._address)
                except ConnectionClosedError:
                    await anyio.sleep(backoff.after_failure(self._around.clock()) / 1000)
            if self._next is None:
                continue
            if self._address != self._around.generation.config.pool:
                # a move that came when the attempt was just done found nothing to cancel: bound, this link would stay
                self._next.end_with(CloseReason.ENDPOINT_CHANGED)
                self._next = None
                continue
            backoff.after_success()
            self._stream, self._next = self._next, None
            try:
                self._enter(LinkState.BINDING)
                self._unheard = 0
                self._stream.write(b'{"op":"bind","seq":%d}\n' % self._seq)
                await self._read(self._stream)
            except ConnectionClosedError as ended:
                self._around.log.warning("worker_pool_link_closed", reason=ended.reason.name, detail=ended.detail)
                self._stream.end_with(ended.reason)
                self._stream = None
                self._enter(LinkState.DOWN)
                if ended.reason is not CloseReason.ENDPOINT_CHANGED:
                    await anyio.sleep(PAUSE_MS / 1000)

    async def _connect(self, address: Address) -> Stream:
        return await connect(address, self._around.buffers, self._around.task_group, BACKLOG_MOST)

    def change_endpoint(self) -> None:
        """The address may have changed: a link that stands is replaced once the new one does, any other at once."""
        if self._address == self._around.generation.config.pool and self._stream is not None:
            return
        if self.is_up:
            self._around.task_group.start_soon(self._around.supervise, self._move, self._around.generation.config.pool)
        elif self._stream is not None:
            self._stream.end_with(CloseReason.ENDPOINT_CHANGED)
        elif self._attempt is not None:
            self._attempt.cancel()

    async def _move(self, address: Address) -> None:
        """Connect to the new address; then let the old link prove that all that was written on it got there, so that
        nothing is in doubt, and bind the new one. Commands wait for that moment."""
        old, fresh = self._stream, None
        while fresh is None and self.is_up and self._stream is old and address == self._around.generation.config.pool:
            try:
                fresh = await self._connect(address)
            except ConnectionClosedError:
                await anyio.sleep(PAUSE_MS / 1000)
        if self.is_up and self._stream is old and address == self._around.generation.config.pool:
            self.request_gauges()
            self._enter(LinkState.MOVING)
            self._proven = anyio.Event()
            with anyio.move_on_after(MOVE_MS / 1000):
                await self._proven.wait()
        if fresh is None:
            return
        if old is None or self._stream is not old or self._link is not LinkState.MOVING:
            fresh.end_with(CloseReason.IDLE)  # overtaken by a break, or by another move
            return
        if address == self._around.generation.config.pool:
            self._next, self._address = fresh, address
        else:  # taken back meanwhile: commands have waited, and go out on a link to the newest address
            fresh.end_with(CloseReason.IDLE)
        old.end_with(CloseReason.ENDPOINT_CHANGED)

    def _enter(self, link: LinkState) -> None:
        """The one place where the link changes its state."""
        if self._link is not link:
            self._around.log.info("worker_pool_link_state", state=link.name, waiting_commands=len(self._waiting))
        self._link = link

    async def _read(self, stream: Stream) -> None:
        head = b""  # of a line over the size of a buffer; its rest is passed over, since asked anew it would be as long
        while True:
            await stream.fill()
            self._unheard = 0
            while stream.data is not None:
                stop = stream.data.find(b"\n", stream.start, stream.end)
                if stop < 0:
                    if stream.end - stream.start < BUFFER_BYTES:
                        break
                    head = head or bytes(stream.data[stream.start : stream.end])
                    stream.take(stream.end)
                    continue
                line, whole = head or bytes(stream.data[stream.start : stop]), not head
                head = b""
                stream.take(stop + 1)
                if not whole:
                    self._unreadable(line, "over the size of a buffer")
                elif line.strip():
                    self._notice(line)

    def _unreadable(self, line: bytes, fault: str) -> None:
        """A notice that cannot be understood as a whole: as far as it can, it still counts, and what it told of a run
        is told without its body."""
        self._around.log.error("malformed_notification", error=fault, line=repr(line[:100]))
        found = {name: value for name, value in PARTS_OF_NOTICE.findall(line)}
        try:
            if self._counts(int(found.get(b"seq", b"0"))) and b"id" in found:
                self._run_notice(found.get(b"op", b"").decode(), found[b"id"].decode(), {})
        except ValueError:
            return

    def _counts(self, seq: int) -> bool:
        """Whether a notice under this number has not been read before."""
        if seq <= self._seq:
            return False
        if seq > self._seq + 1:
            self._around.log.error("notifications_lost", after_seq=self._seq, before_seq=seq)
        self._seq = seq
        return True

    def _run_notice(self, op: str, ident: str, told: dict[str, Any]) -> None:
        """A run has ended, or stands at a call. Where the notice is spoilt, the run that is over is over all the same,
        with a result that nobody can have, and the call that cannot be read can't be made."""
        one = self._around.requests.get(int(ident, 16))
        if one is None:
            return
        self._ghosts.pop(one, None)
        body: bytes | None
        try:
            body = b64decode(told["body"] or "", validate=True) if "body" in told else b""
        except (ValueError, TypeError):
            body = None
        if op == "finished":
            end, took_ms = RUN_OUTCOMES.get(str(told.get("end"))), told.get("ms")
            if end is None or body is None or not isinstance(took_ms, int | float):
                self._around.log.error("malformed_run_result", id=ident)
                one.deliver(RunFinished(MALFORMED_RESULT_OUTCOME, 0.0))
            else:
                one.deliver(RunFinished(end, float(took_ms), body))
        elif op == "blocked":
            one.deliver(CallRequested(self._seq, body if told else None))

    def _notice(self, line: bytes) -> None:
        try:
            told = orjson.loads(line)
            op, ident = told["op"], told.get("id")
            if "seq" in told and not self._counts(int(told["seq"])):
                return
            if "seq" in told and ident:
                self._run_notice(op, ident, told)
            elif op == "polled":
                self._polled(str(told["tag"]), told["values"])
            elif op == "bound":
                self._bound(str(told["end"]), float(told["ms"]))
            elif op == "unknown":
                self._unknown(str(told["end"]), self._around.requests.get(int(ident, 16)) if ident else None)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            self._unreadable(line, repr(error))

    def _bound(self, end: str, ago_ms: float) -> None:
        """The link stands. What was never written goes out now; what may be lost waits for the answer to a question
        behind the missed notices, by which all of them have been read."""
        self._around.log.info("worker_pool_bound", outcome=end, ago_ms=ago_ms, resumed_after_seq=self._seq)
        self._enter(LinkState.UP)
        self._begun = True
        lost = [*self._doubtful, *self._unproven]
        last = {command.one: command for command in lost if command.one is not None and command.op != "suspend"}
        self._doubtful = [command for one, command in last.items() if one is not None and one.run_is_out]
        doubted = (*self._ghosts, *(each.one for each in self._doubtful if each.one))
        self._ghosts = dict.fromkeys(doubted, (0, self._answers))
        self._unproven.clear()
        self.request_gauges()
        self._fence = str(self._tag)
        waiting, self._waiting = self._waiting, deque()
        for command in waiting:
            if command.one is not None and command.one.run_is_out:
                self._tell(command)
        self._around.worker_pool_started(ago_ms)

    def _caught_up(self) -> None:
        """All that was missed has been read: repeat what may be repeated."""
        doubtful, self._doubtful, self._fence = self._doubtful, [], ""
        for command in doubtful:
            if self._may_repeat(command):
                self._write(command)
            elif self._may_start_over(command):
                self._write(Command("suspend", command.one, {}))

    def _may_repeat(self, command: Command) -> bool:
        """Of what may have been lost with a link: a start of which nothing was heard, where a second run does no
        harm, and leave to go on, which names its notice. The rest may have got there, and is not repeated."""
        one = command.one
        if one is None or not one.run_is_out or one.state in FINAL_STATES:
            return False
        if command.op == "spawn":
            return not one.notified and self._replayable(one)
        return command.op == "pass" and one.state is RequestState.DEGRADED and command.fields["seq"] == one.call.seq

    def _may_start_over(self, command: Command) -> bool:
        """A reply that may have been lost cannot be repeated: the run may stand at its next call. A replayable run
        that nothing was heard of since is stopped, and the module starts it anew; left alone it would stand there,
        with its slot, until it is due."""
        one = command.one
        return (
            one is not None
            and one.run_is_out
            and not one.notified
            and one.state is RequestState.RUNNING
            and command.op == "supply"
            and self._halts
            and self._replayable(one)
        )

    def _replayable(self, one: Request) -> bool:
        return one.generation.retry_safety_by_class[one.received.traffic_class] is RetrySafety.IDEMPOTENT

    def _polled(self, tag: str, values: list[Any]) -> None:
        self._answers += 1
        if any(command.fields.get("tag") == tag for command in self._unproven):
            while self._unproven.popleft().fields.get("tag") != tag:
                pass  # what was written before the question got there before it
        if tag == self._fence:
            self._caught_up()
        if not self._fence and not self._halts and self.is_up:
            self._ask_after_ghosts()
        if self._link is LinkState.MOVING and not self._unproven:
            self._proven.set()
        names = self._around.generation.config.gauges
        read = {
            GAUGES[name]: float(value)
            for name, value in zip(names, values, strict=False)
            if name in GAUGES and value is not None
        }
        self._gauges = Gauges(**read)

    def _unknown(self, command: str, one: Request | None) -> None:
        self._around.log.warning("command_not_executed", command=command, is_known=one is not None)
        if one is not None and command == "spawn":
            one.deliver(RunFinished(UNKNOWN_START_OUTCOME, 0.0, ran=False))
