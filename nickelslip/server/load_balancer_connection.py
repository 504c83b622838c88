"""One balancer's connection: the messages on it, and the transactions open on it.

Owns the words of the protocol, and the limits of a single connection. Each transaction lives in a task of its own and
is answered on the connection that it came on. A connection must never decide what becomes of a transaction, nor hold up
another connection. It sees the other connections only through `ConnectionTable`.
"""

from __future__ import annotations

import socket
from math import inf
from typing import TYPE_CHECKING, Protocol

import anyio

from nickelslip.admission.interface import RequestState
from nickelslip.server import resp
from nickelslip.server.close_reasons import CloseReason, ConnectionClosedError
from nickelslip.server.request_decoder import InvalidFieldError, decode_request, tag_in
from nickelslip.server.request_events import ClientDisconnected
from nickelslip.server.requests import Answer, Request
from nickelslip.server.streams import Stream

if TYPE_CHECKING:  # types only: a start is spared what it does not need
    from nickelslip.server.interfaces import RequestHandler

OPEN_MOST = 32  # transactions on one connection
BACKLOG_MOST = 64 * 1024  # unread answers over which no more is read from a connection
FIRST_BYTE_MS = 2000.0  # from a connection's start to the first byte of its first message
SLOW_MESSAGE_MS = 2000.0  # from a message's first byte on: one that takes longer is written slowly
FAULTS_MOST = 64  # consecutive messages that were refused, after which the connection is ended
SEND_POLL_S = 0.05  # between two checks whether all answers have been sent
ASK, STATUS, NEVERMIND = b"ASK", b"STATUS", b"NEVERMIND"
HEALTHY, SICK, CLOSING = b"healthy", b"sick", b"closing"
ANSWER_WORDS = {RequestState.COMPLETED: b"done", RequestState.REJECTED: b"later", RequestState.FAILED: b"error"}
NO_TAG = 0  # of messages that belong to no request


class ConnectionTable(Protocol):
    """What a connection needs of the table that it is in."""

    @property
    def host(self) -> RequestHandler: ...
    def note_first_complete_message(self, connection: LoadBalancerConnection) -> None: ...
    def is_slow_writer(self, connection: LoadBalancerConnection) -> bool: ...
    def admit_slow_writer(self, connection: LoadBalancerConnection) -> bool: ...
    def note_complete_message(self, connection: LoadBalancerConnection) -> None: ...
    def note_closing(self, connection: LoadBalancerConnection) -> None: ...
    def report_malformed(self, fault: str) -> None: ...
    def report_close(self, ended: ConnectionClosedError) -> None: ...


class LoadBalancerConnection:
    """One accepted connection, whether a balancer is at its other end or not."""

    def __init__(self, table: ConnectionTable, sock: socket.socket) -> None:
        self._table = table
        self._host = table.host
        self.stream = Stream(
            sock, self._host.buffers, self._host.task_group, self._host.generation.longest_timeout_ms, BACKLOG_MOST
        )
        self._open: dict[int, Request] = {}  # those not answered yet, by their tags
        self.used = self._host.clock()  # when it was last used: its start, the last whole message, the last answer
        self._message_began: float | None = None  # when the first byte was read of a message that is not whole yet
        self.has_sent_complete_message = False  # a valid request came on it
        self._faults = 0  # consecutive messages that were refused
        self.closing = False  # the other side has been told to close it
        self.parted: float | None = None  # when this side began to end it
        self._drained = anyio.Event()  # set when no transaction is open on it any more

    async def serve(self) -> None:
        """Read messages until the connection ends, and then abandon every transaction still open on it."""
        ended = ConnectionClosedError(CloseReason.SHUTDOWN)
        try:
            await self._read_messages()
        except ConnectionClosedError as reason:
            ended = reason
            if reason.reason not in (CloseReason.CLOSED, CloseReason.RESET):
                await self._drain_open_transactions()
        except Exception as error:  # only this connection ends, and its open transactions are answered first
            ended = ConnectionClosedError(CloseReason.FAULT, repr(error))
            self._host.log.error("load_balancer_connection_failed", error=repr(error), exc_info=error)
            await self._drain_open_transactions()
        finally:
            self.stream.end_with(ended.reason)
            self._abandon_open_transactions()
            self._table.report_close(ended)

    # Reading

    async def _read_messages(self) -> None:
        """Receive and handle messages; raises Ended when the connection is over."""
        while True:
            await self.stream.room()
            await self._receive()
            self._handle_received()
            if self._faults > FAULTS_MOST:
                raise ConnectionClosedError(CloseReason.MALFORMED, "nothing but faults")

    async def _receive(self) -> None:
        """Wait until more was read, or until a message is found to be written slowly and is allowed to go on."""
        try:
            await self.stream.fill(self._time_left_ms())
        except ConnectionClosedError as ended:
            if ended.reason is not CloseReason.STALLED or not self._table.admit_slow_writer(self):
                raise

    def _time_left_ms(self) -> float:
        """How long the other side may take until its first byte, or until the end of a message that it has begun."""
        now = self._host.clock()
        if self._message_began is not None:
            slow = self._table.is_slow_writer(self)
            limit_ms = self._host.generation.longest_timeout_ms if slow else SLOW_MESSAGE_MS
            return self._message_began + limit_ms - now
        if self.has_sent_complete_message:
            return inf
        return self.used + FIRST_BYTE_MS - now

    def _handle_received(self) -> None:
        """Handle every whole message that has been received."""
        while (data := self.stream.data) is not None:
            if self._message_began is None:
                self._message_began = self._host.clock()
            parts = self._next_message(data)
            if parts is None:
                return
            self.used = self._host.clock()
            self._message_began = None
            self._table.note_complete_message(self)
            self._handle_message(parts)

    def _next_message(self, data: bytearray) -> list[bytes] | None:
        """The parts of the next message, taken from the stream's data; None while it is not whole."""
        try:
            message = resp.parse(data, self.stream.start, self.stream.end)
        except resp.MalformedMessageError as garbled:
            self._refuse_garbled(garbled.parts)
            raise ConnectionClosedError(CloseReason.MALFORMED, str(garbled)) from None
        if message is None:
            return None
        parts, end = message
        self.stream.take(end)
        return parts

    # Handling

    def _handle_message(self, parts: list[bytes]) -> None:
        verb = parts[0]
        tag = tag_in(parts)
        if not tag:
            raise ConnectionClosedError(CloseReason.MALFORMED, "no tag")
        if verb == NEVERMIND:
            self._handle_nevermind(tag)
        elif tag in self._open:
            raise ConnectionClosedError(CloseReason.MALFORMED, f"tag {tag} is in use")
        elif verb == STATUS:
            self._handle_status(tag)
        elif verb == ASK:
            self._handle_ask(tag, parts[2:])
        else:
            self._faults += 1
            self._refuse(tag)

    def _handle_nevermind(self, tag: int) -> None:
        """Its caller has given a transaction up, which is not answered any more."""
        transaction = self._open.pop(tag, None)
        if transaction is not None:
            transaction.deliver(ClientDisconnected())
            self._note_if_drained()

    def _handle_status(self, tag: int) -> None:
        """Answer a health check."""
        self._prove()
        self._send(tag, HEALTHY if self._host.is_healthy else SICK, _signal_field(self._host.advertised_weight))

    def _handle_ask(self, tag: int, parts: list[bytes]) -> None:
        """Open a transaction, or refuse it, also where an unexpected error is raised meanwhile."""
        taken = False
        try:
            taken = self._open_transaction(tag, parts)
        except InvalidFieldError as fault:
            self._table.report_malformed(str(fault))
        finally:
            if taken:
                self._faults = 0
            else:
                self._faults += 1
                self._refuse(tag)

    def _open_transaction(self, tag: int, parts: list[bytes]) -> bool:
        """Whether the transaction has been taken; its life then goes on in a task. Raises BadField."""
        if len(self._open) >= OPEN_MOST:
            raise InvalidFieldError("more than may be open")
        generation = self._host.generation  # under which it is read, and stays to its end
        asked = decode_request(
            parts,
            generation.retry_safety_by_class,
            generation.tenant_names,
            self._host.clock(),
            generation.longest_timeout_ms,
        )
        transaction = Request(asked, generation, lambda answer: self._answer(tag, answer))
        self._open[tag] = transaction
        if not self._host.accept_request(transaction):
            del self._open[tag]
            return False
        self._prove()
        return True

    def _prove(self) -> None:
        """A valid request came on this connection."""
        self.has_sent_complete_message = True
        self._table.note_first_complete_message(self)

    # Answering

    def _refuse(self, tag: int) -> None:
        """Answer a request with a failure."""
        self._answer(tag, Answer(RequestState.FAILED, self._host.advertised_weight))

    def _refuse_garbled(self, parts: list[bytes]) -> None:
        """Refuse a message that cannot be parsed to its end, if its first parts hold a tag that can be answered."""
        if len(parts) > 1 and parts[0] != NEVERMIND and (tag := tag_in(parts)) and tag not in self._open:
            self._refuse(tag)

    def _answer(self, tag: int, answer: Answer) -> None:
        """Write the answer to a request, which is then no longer open."""
        self._open.pop(tag, None)
        self._send(tag, ANSWER_WORDS[answer.state], _answer_fields(answer), answer.body)
        self.used = self._host.clock()
        self._note_if_drained()

    def _send(self, tag: int, word: bytes, fields: bytes, body: bytes = b"") -> None:
        self.stream.write(resp.message(b"%d" % tag, word, fields, body))

    def _note_if_drained(self) -> None:
        if not self._open:
            self._drained.set()

    # Ending

    @property
    def idle(self) -> bool:
        """Whether nothing is owed on it: no open transaction, no half message, nothing unsent."""
        return not self._open and self.stream.data is None and self.stream.all_sent

    def part(self, ending: CloseReason) -> bool:
        """Begin to end the connection if nothing is owed on it, neither here nor, as far as can be seen, unread in the
        system's buffer. What arrives later crosses the close. Returns False where something is owed."""
        if not self.idle or not self.stream.quiet:
            return False
        self.cut_off(ending)
        return True

    def cut_off(self, ending: CloseReason) -> None:
        """Begin to end the connection even if something is unread on it, for want of time or room to answer more. It is
        left as it is while a transaction is open on it or an answer is not yet sent."""
        if self.parted is None and not self._open and self.stream.all_sent:
            self.parted = self._host.clock()
            self.stream.shut_down(ending)

    def close(self) -> None:
        """Tell the balancer to send no new transaction here, and to close once all is answered."""
        if not self.closing:
            self.closing = True
            self.stream.write(resp.message(b"%d" % NO_TAG, CLOSING))

    async def _drain_open_transactions(self) -> None:
        """Answer what is open, although no more messages are read, and then linger."""
        await self._wait_until_answered()
        await self._wait_until_sent()
        if self.parted is None:
            self.parted = self._host.clock()
            self._table.note_closing(self)
        await self.stream.linger()

    async def _wait_until_answered(self) -> None:
        while self._open and not self.stream.ending:
            self._drained = anyio.Event()
            await self._drained.wait()

    async def _wait_until_sent(self) -> None:
        """Wait for the other side to read its answers, for as long as a stream may stall."""
        with anyio.move_on_after(self._host.generation.longest_timeout_ms / 1000):
            while not self.stream.all_sent and not self.stream.ending:
                await anyio.sleep(SEND_POLL_S)

    def _abandon_open_transactions(self) -> None:
        for transaction in self._open.values():
            transaction.deliver(ClientDisconnected())
        self._open.clear()


def _answer_fields(answer: Answer) -> bytes:
    """The signal and, on a dismissal, when and whether to come again."""
    fields = []
    if answer.advertised_weight is not None:
        fields.append(_signal_field(answer.advertised_weight))
    if answer.state is RequestState.REJECTED:
        if answer.retry_after_ms > 0:
            fields.append(b"holdoff=%.3f" % answer.retry_after_ms)
        if answer.retry_elsewhere_useless:
            fields.append(b"nomore=1")
    return b",".join(fields)


def _signal_field(said: float | None) -> bytes:
    return b"" if said is None else b"signal=%.6f" % said
