"""A connection from a load balancer: reads messages within time limits, and closes without losing an answer.

`tagged_requests` interprets the messages. There are three ways to close a connection:

* a close request asks the load balancer to send no new requests and to close the connection;
* a lingering close shuts down the write side and briefly continues to read, so that no answer in transit is lost;
* an abort (`Stream.abort`) closes the socket immediately.
"""

from __future__ import annotations

import socket
import time
from contextlib import suppress
from math import inf
from typing import TYPE_CHECKING, Protocol

import anyio

from nickelslip.server import resp
from nickelslip.server.answer_encoder import encode_close_request
from nickelslip.server.close_reasons import CloseReason, ConnectionClosedError
from nickelslip.server.streams import Stream
from nickelslip.server.tagged_requests import TaggedRequests

if TYPE_CHECKING:  # avoids imports at startup
    from nickelslip.server.connection_log import ConnectionLog
    from nickelslip.server.interfaces import RequestHandler
    from nickelslip.server.processing_limit import ProcessingLimit

MAX_BACKLOG_BYTES = 64 * 1024  # reading pauses while more answers than this are unsent
FIRST_BYTE_TIMEOUT_MS = 2000.0  # from the start of the connection to the first byte of its first message
MESSAGE_TIMEOUT_MS = 2000.0  # from the first byte of a message to its end, except for messages of slow writers
MAX_CONSECUTIVE_REFUSALS = 64
SEND_POLL_INTERVAL_S = 0.05
SHED_DELAY_S = 1.0
MAX_UNLIMITED_MESSAGES = 32  # as many requests may be open on a connection
FRAGMENT_WEIGHT = 16  # in messages; load balancers seldom write a message in many pieces
MIN_PAUSE_S = 0.001
MAX_WITHDRAWN_RUNS = 4  # runs of withdrawn requests of one connection, before a request of it was completed
WITHDRAWN_RUNS_TIMEOUT_S = 1.0
RUNS_POLL_INTERVAL_S = 0.005
CLOSE_CROSSING_MS = 50.0  # by the protocol, load balancers resend requests sent within this time before a close
PEER_GONE_REASONS = (CloseReason.CLOSED, CloseReason.RESET)  # the peer can no longer read an answer


class ConnectionRegistry(Protocol):
    """Keeps track of the states of all connections that count towards its limits.

    Attributes:
        processing_limit: Limits the processor time for messages of connections on which no request was completed.
    """

    processing_limit: ProcessingLimit

    def note_valid_message(self, connection: LoadBalancerConnection) -> None:
        """Record that a valid message was received."""

    def mark_lingering(self, connection: LoadBalancerConnection) -> None:
        """Record that a lingering close has begun."""

    def is_slow_writer(self, connection: LoadBalancerConnection) -> bool:
        """Whether the connection's current message may take as long as the longest client timeout."""

    def admit_slow_writer(self, connection: LoadBalancerConnection) -> bool:
        """Decide whether a message that missed its time limit may take as long as the longest client timeout."""

    def note_incomplete_message(self, connection: LoadBalancerConnection) -> None:
        """Record that the connection's current message has not been received completely."""

    def note_complete_message(self, connection: LoadBalancerConnection) -> None:
        """Record that the current message is complete; the ordinary time limit applies to the next one."""

    def free_memory(self, requester: LoadBalancerConnection) -> bool:
        """Take memory from another connection, which is closed; return whether there was one."""


class LoadBalancerConnection:
    """One accepted connection.

    Args:
        server: Receives decoded requests.
        registry: Keeps track of all connections, including this one.
        log: Logs malformed requests and the reason for closing.
        sock: The accepted socket.

    Attributes:
        stream: The stream over the socket.
        requests: The open requests of this connection.
        last_used_at_ms: When the connection was accepted, or last carried a complete message or an answer.
        has_sent_valid_message: Whether the load balancer has sent a valid request or health check.
        is_close_requested: Whether the load balancer was asked to close the connection.
        close_began_at_ms: When this side began a lingering close, or None.
    """

    def __init__(
        self, server: RequestHandler, registry: ConnectionRegistry, log: ConnectionLog, sock: socket.socket
    ) -> None:
        self._server = server
        self._registry = registry
        self._log = log
        self.stream = Stream(
            sock,
            server.buffers,
            server.task_group,
            server.generation.longest_timeout_ms,
            MAX_BACKLOG_BYTES,
            free_memory=self._free_memory,
            reads_into_scratch=True,
        )
        self.requests = TaggedRequests(server, self.stream, log, self._note_valid_message, self._note_used)
        self.last_used_at_ms = server.clock()
        self._message_began_at_ms: float | None = None  # of an incomplete message
        self._fragment_count = 0  # reads that left a message incomplete
        self.has_sent_valid_message = False
        self.is_close_requested = False
        self.close_began_at_ms: float | None = None

    async def serve(self) -> None:
        """Read messages until the connection ends, and then abandon every request still open on it."""
        closed = ConnectionClosedError(CloseReason.SHUTDOWN)
        try:
            await self._read_messages()
        except ConnectionClosedError as error:
            closed = error
            if error.reason is CloseReason.SHED and self.close_began_at_ms is None and not self.stream.close_reason:
                await self._delay_close()
            if error.reason not in PEER_GONE_REASONS:
                await self._answer_and_linger()
        except Exception as error:  # affects only this connection; its open requests are still answered
            closed = ConnectionClosedError(CloseReason.FAULT, repr(error))
            self._server.log.error("load_balancer_connection_failed", error=repr(error), exc_info=error)
            await self._answer_and_linger()
        finally:
            self.stream.abort(closed.reason)
            self.requests.abandon_all()
            self._log.report_close(closed)

    async def _read_messages(self) -> None:
        """Receive and handle messages until the connection ends.

        Raises:
            ConnectionClosedError: The connection has ended. This method never returns normally.
        """
        while True:
            await self.stream.wait_until_backlog_shrinks()
            await self._receive()
            while not await self._take_turn():
                pass
            if self.requests.consecutive_refusal_count > MAX_CONSECUTIVE_REFUSALS:
                raise ConnectionClosedError(CloseReason.MALFORMED, "too many invalid requests in a row")

    async def _receive(self) -> None:
        """Wait until more bytes are received.

        If the current message stalls, return if the registry admits its sender as a slow writer, and raise otherwise.
        """
        try:
            await self.stream.fill(self._remaining_ms())
        except ConnectionClosedError as closed:
            if closed.reason is not CloseReason.STALLED or not self._registry.admit_slow_writer(self):
                raise

    async def _take_turn(self) -> bool:
        """Handle messages, and return whether no complete one is left.

        If many messages have come and no request was completed, a turn is short and a pause follows it, so that
        messages of others are handled in between.

        Raises:
            ConnectionClosedError: The client has closed its connection. What it sent before is not read further.
        """
        self.requests.has_client_left = self.stream.has_peer_closed
        if self.requests.has_client_left:
            with suppress(ConnectionClosedError):
                self._handle_received(inf)
            raise ConnectionClosedError(CloseReason.CLOSED)
        if not self._is_limited:
            return self._handle_received(inf, ends_when_limited=True)
        limit = self._registry.processing_limit
        began_at_s = time.thread_time()  # not the time in which the process had to wait for a core
        is_done = self._handle_received(began_at_s + limit.turn_s(time.monotonic()))
        pause_s = limit.pause_after(time.monotonic(), time.thread_time() - began_at_s)
        if not is_done or pause_s >= MIN_PAUSE_S:
            self.requests.was_paused = True
            await anyio.sleep(pause_s)
        await self._wait_for_withdrawn_runs()
        return is_done

    @property
    def _is_limited(self) -> bool:
        """Whether the connection has sent more than a load balancer does before its first request is completed."""
        if self.has_completed_request:
            return False
        return self.requests.message_count + FRAGMENT_WEIGHT * self._fragment_count > MAX_UNLIMITED_MESSAGES

    async def _wait_for_withdrawn_runs(self) -> None:
        """Wait while too many runs of withdrawn requests are out, for a limited time."""
        with anyio.move_on_after(WITHDRAWN_RUNS_TIMEOUT_S):
            while self.requests.withdrawn_run_count >= MAX_WITHDRAWN_RUNS:
                self.requests.was_paused = True
                await anyio.sleep(RUNS_POLL_INTERVAL_S)

    def _remaining_ms(self) -> float:
        """Return the time left for the first byte of a connection, or for the rest of an incomplete message."""
        now_ms = self._server.clock()
        if self._message_began_at_ms is not None:
            return self._message_began_at_ms + self._message_timeout_ms() - now_ms
        if self.has_sent_valid_message:
            return inf
        return self.last_used_at_ms + FIRST_BYTE_TIMEOUT_MS - now_ms

    def _message_timeout_ms(self) -> float:
        if self._registry.is_slow_writer(self):
            return self._server.generation.longest_timeout_ms
        return MESSAGE_TIMEOUT_MS

    def _handle_received(self, end_at_s: float, ends_when_limited: bool = False) -> bool:
        """Handle received messages, at least one; return whether no complete one is left.

        Args:
            end_at_s: The processor time of this thread after which no further message is handled.
            ends_when_limited: Whether no further message is handled once the connection is limited.
        """
        is_first = True
        while (data := self.stream.data) is not None:
            is_over = self._is_limited if ends_when_limited else end_at_s < inf and time.thread_time() >= end_at_s
            if is_over and not is_first:
                self.stream.store_rest()
                return False
            if self._message_began_at_ms is None:
                self._message_began_at_ms = self._server.clock()
            parts = self._next_message(data)
            if parts is None:
                self._fragment_count += 1
                self._registry.note_incomplete_message(self)
                self.stream.store_rest()
                return True
            is_first = False
            self._note_used()
            self._message_began_at_ms = None
            self._registry.note_complete_message(self)
            self.requests.handle_message(parts)
        return True

    def _next_message(self, data: bytearray) -> list[bytes] | None:
        """Consume the next message from the stream and return its parts; None while it is incomplete.

        Raises:
            ConnectionClosedError: The received bytes are malformed. They are answered if their tag could be read.
        """
        try:
            message = resp.parse(data, self.stream.start, self.stream.end)
        except resp.MalformedMessageError as error:
            self.requests.refuse_malformed_message(error.parts)
            raise ConnectionClosedError(CloseReason.MALFORMED, str(error)) from None
        if message is None:
            return None
        parts, end = message
        self.stream.consume(end)
        return parts

    def _note_used(self) -> None:
        self.last_used_at_ms = self._server.clock()

    def _free_memory(self) -> bool:
        return self._registry.free_memory(self)

    def _note_valid_message(self) -> None:
        self.has_sent_valid_message = True
        self._registry.note_valid_message(self)

    @property
    def has_completed_request(self) -> bool:
        """Whether a request of this connection was answered with its result."""
        return self.requests.has_completed_request

    @property
    def is_idle(self) -> bool:
        """Whether there are no open requests, no incomplete message and no unsent bytes."""
        return not self.requests and self.stream.data is None and self.stream.all_sent

    def request_close(self) -> None:
        """Ask the load balancer to send no new requests, and to close the connection after the last answer."""
        if not self.is_close_requested:
            self.is_close_requested = True
            self.stream.write(encode_close_request())

    def close_if_idle(self, reason: CloseReason) -> bool:
        """Begin a lingering close if the connection is idle with no unread input; return whether it did.

        Input that arrives later was sent before the load balancer saw the close. It is not answered; load balancers
        resend such requests.
        """
        if not self.is_idle or not self.stream.is_open_without_pending_input:
            return False
        self.begin_close(reason)
        return True

    def shed_incomplete_message(self) -> bool:
        """Discard an incomplete message and begin to close; return False if a request could be lost by this.

        Requests that are still open are answered first. A connection on which a request was completed is not closed.
        """
        if self.has_completed_request or self.stream.data is None or not self.stream.all_sent:
            return False
        if not self.stream.has_read_all_input:
            return False
        self.stream.stop_reading(CloseReason.SHED)
        self.begin_close(CloseReason.SHED)
        return True

    def begin_close(self, reason: CloseReason) -> None:
        """Begin a lingering close even if there is unread input, when there is no time or capacity to answer it.

        Does nothing while a request is open or an answer is unsent.
        """
        if self.close_began_at_ms is None and not self.requests and self.stream.all_sent:
            self.close_began_at_ms = self._server.clock()
            self.stream.shut_down(reason)

    async def _answer_and_linger(self) -> None:
        """Wait until the open requests are answered, without reading more messages, and then linger."""
        self.stream.consume(self.stream.end)
        await self.requests.wait_until_answered()
        await self._wait_until_sent()
        if self.close_began_at_ms is None:
            self.close_began_at_ms = self._server.clock()
            self._registry.mark_lingering(self)
        await self.stream.linger()

    async def _delay_close(self) -> None:
        """Keep a connection for which there is no memory for a while, since its client may reconnect at once."""
        self.stream.consume(self.stream.end)
        await anyio.sleep(SHED_DELAY_S)

    async def _wait_until_sent(self) -> None:
        """Wait until all answers are sent, for at most the time that a stream may stall."""
        with anyio.move_on_after(self._server.generation.longest_timeout_ms / 1000):
            while not self.stream.all_sent and not self.stream.close_reason:
                await anyio.sleep(SEND_POLL_INTERVAL_S)
