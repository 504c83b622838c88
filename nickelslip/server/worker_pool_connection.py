"""The connection to the worker pool: connects and reconnects with backoff, binds the link, and follows address changes.

worker_pool_link.py writes the commands and interprets the received lines.
"""

from __future__ import annotations

import random
from enum import Enum
from typing import TYPE_CHECKING, Protocol

import anyio

from nickelslip.configuration.config import Address
from nickelslip.server.close_reasons import CloseReason, ConnectionClosedError
from nickelslip.server.connector import connect
from nickelslip.server.line_reader import Line, LineReader
from nickelslip.server.streams import Stream
from nickelslip.server.worker_pool_commands import Bind, encode_command
from nickelslip.startup.backoff import Backoff

if TYPE_CHECKING:  # avoids imports at startup
    from nickelslip.server.interfaces import ServerContext

MIN_RECONNECT_DELAY_MS = 20.0
MAX_RECONNECT_DELAY_MS = 500.0
RECONNECT_BUDGET = 24  # failed connection attempts in any time window of RECONNECT_SPAN_MS
RECONNECT_SPAN_MS = 5000.0
MAX_CONFIRMATION_WAIT_MS = 100.0  # for commands written on a connection that is being replaced
MAX_QUERIES_WITHOUT_READ = 20  # ten queries are sent per second, so a silent connection is closed after about 2 s
MAX_BACKLOG_BYTES = 1 << 20


class LinkState(Enum):
    """The state of the link to the worker pool."""

    DOWN = "not connected; commands are queued"
    BINDING = "connected, and waiting for the worker pool to accept the link; commands are queued"
    UP = "commands are sent immediately"
    MOVING = "connected to a new address; commands are queued until the written ones are confirmed"


class LinkEvent(Enum):
    """An event that changes the state of the link."""

    CONNECTED = "a connection was established"
    BOUND = "the worker pool is up and has accepted the link"
    REPLACEMENT_CONNECTED = "a connection to the new address was established"
    CLOSED = "the connection has ended"


LINK_TRANSITIONS = {
    (LinkState.DOWN, LinkEvent.CONNECTED): LinkState.BINDING,
    (LinkState.BINDING, LinkEvent.BOUND): LinkState.UP,
    (LinkState.UP, LinkEvent.BOUND): LinkState.UP,
    (LinkState.MOVING, LinkEvent.BOUND): LinkState.UP,
    (LinkState.UP, LinkEvent.REPLACEMENT_CONNECTED): LinkState.MOVING,
    (LinkState.BINDING, LinkEvent.CLOSED): LinkState.DOWN,
    (LinkState.UP, LinkEvent.CLOSED): LinkState.DOWN,
    (LinkState.MOVING, LinkEvent.CLOSED): LinkState.DOWN,
}


class LinkHandler(Protocol):
    """Writes commands on the connection and interprets the received lines."""

    @property
    def last_seq(self) -> int:
        """The sequence number of the last notification read."""

    @property
    def unsent_command_count(self) -> int:
        """The number of commands that wait for the link to be up."""

    def handle_line(self, line: Line) -> None:
        """Handle a received line."""

    def request_gauges(self) -> None:
        """Write a gauge query, whose answer confirms all commands written before it."""


class WorkerPoolConnection:
    """The connection to the worker pool, which consists of successive streams.

    Args:
        context: The server's clock, log, buffers, tasks and configuration.
        handler: Writes commands on the connection and interprets the received lines.

    Attributes:
        state: The state of the link.
    """

    def __init__(self, context: ServerContext, handler: LinkHandler) -> None:
        self._context = context
        self._handler = handler
        self.state = LinkState.DOWN
        self._stream: Stream | None = None
        self._replacement: Stream | None = None  # the next stream, not yet bound
        self._address = context.generation.config.pool  # of the stream or of the current connection attempt
        self._connect_scope: anyio.CancelScope | None = None  # of the connection attempt and the delay after a failure
        self._all_confirmed = anyio.Event()  # set when, during a replacement, all written commands are confirmed
        self._has_been_bound = False
        self._queries_without_read = 0

    @property
    def is_up(self) -> bool:
        """Whether a command can be written now."""
        return self.state is LinkState.UP and self._stream is not None and not self._stream.close_reason

    def write(self, line: bytes) -> None:
        """Write a line, if connected."""
        if self._stream is not None:
            self._stream.write(line)

    def mark_bound(self) -> None:
        """Record that the worker pool has accepted the link."""
        self._apply_event(LinkEvent.BOUND)
        self._has_been_bound = True

    def mark_all_confirmed(self) -> None:
        """Record that all commands written on the current stream have been confirmed."""
        if self.state is LinkState.MOVING:
            self._all_confirmed.set()

    def count_query(self) -> None:
        """Count a query, and abort the stream if too many queries in a row were followed by no received data.

        Otherwise, if the peer vanished without closing the connection, every request would wait until its deadline.
        Queries are counted instead of time because a paused server sends none.
        """
        if self._stream is None or not self._has_been_bound:
            return
        self._queries_without_read += 1
        if self._queries_without_read > MAX_QUERIES_WITHOUT_READ:
            self._stream.abort(CloseReason.UNRESPONSIVE)

    async def run(self) -> None:
        """Keep the link connected, and re-establish it when it is lost."""
        backoff = self._new_backoff()
        while True:
            stream = await self._next_connection(backoff)
            if stream is not None:
                await self._serve_connection(stream)

    def _new_backoff(self) -> Backoff:
        config = self._context.generation.config
        return Backoff(
            random.Random(f"link {config.name} {config.seed}"),
            MIN_RECONNECT_DELAY_MS,
            MAX_RECONNECT_DELAY_MS,
            RECONNECT_BUDGET,
            RECONNECT_SPAN_MS,
        )

    async def _next_connection(self, backoff: Backoff) -> Stream | None:
        """Return the prepared replacement or a new connection; None if the attempt failed or is obsolete.

        The address may change when the attempt has just succeeded and can no longer be cancelled. Such a connection is
        closed, because the link would stay at the old address once it is bound.
        """
        with anyio.CancelScope() as self._connect_scope:
            try:
                if self._replacement is None:
                    self._address = self._configured_address
                    self._replacement = await self._connect(self._address)
            except ConnectionClosedError:
                await anyio.sleep(backoff.after_failure(self._context.clock()) / 1000)
        stream = self._replacement
        if stream is None:
            return None
        self._replacement = None
        if self._address != self._configured_address:
            stream.abort(CloseReason.ENDPOINT_CHANGED)
            return None
        backoff.after_success()
        return stream

    async def _serve_connection(self, stream: Stream) -> None:
        """Bind the link on this connection, and read notifications until it ends."""
        self._stream = stream
        try:
            self._apply_event(LinkEvent.CONNECTED)
            self._queries_without_read = 0
            stream.write(encode_command(Bind(self._handler.last_seq)))
            await self._read(stream)
        except ConnectionClosedError as closed:
            self._context.log.warning("worker_pool_link_closed", reason=closed.reason.name, detail=closed.detail)
            stream.abort(closed.reason)
            self._stream = None
            self._apply_event(LinkEvent.CLOSED)
            if closed.reason is not CloseReason.ENDPOINT_CHANGED:
                await anyio.sleep(MIN_RECONNECT_DELAY_MS / 1000)

    async def _read(self, stream: Stream) -> None:
        lines = LineReader(stream)
        while True:
            await stream.fill()
            self._queries_without_read = 0
            while (line := lines.next_line()) is not None:
                self._handler.handle_line(line)

    async def _connect(self, address: Address) -> Stream:
        return await connect(address, self._context.buffers, self._context.task_group, MAX_BACKLOG_BYTES)

    def _apply_event(self, event: LinkEvent) -> None:
        """Change the state as LINK_TRANSITIONS specifies for this event, and log the change."""
        state = LINK_TRANSITIONS[self.state, event]
        if state is not self.state:
            self._context.log.info(
                "worker_pool_link_state", state=state.name, waiting_commands=self._handler.unsent_command_count
            )
        self.state = state

    @property
    def _configured_address(self) -> Address:
        return self._context.generation.config.pool

    def change_endpoint(self) -> None:
        """Move to the configured address.

        A link that is up is replaced after the new connection is established. Any other is closed immediately.
        """
        if self._address == self._configured_address and self._stream is not None:
            return
        if self.is_up:
            self._context.task_group.start_soon(self._context.supervise, self._move_to, self._configured_address)
        elif self._stream is not None:
            self._stream.abort(CloseReason.ENDPOINT_CHANGED)
        elif self._connect_scope is not None:
            self._connect_scope.cancel()

    async def _move_to(self, address: Address) -> None:
        """Replace the link by one to another address, leaving as few commands unconfirmed as possible.

        The old link is kept until all commands written on it are confirmed, for at most MAX_CONFIRMATION_WAIT_MS; new
        commands are queued meanwhile. The move is abandoned if the old link breaks or another move begins.
        """
        old = self._stream
        replacement = await self._connect_replacement(old, address)
        if replacement is None:
            return
        if self._is_move_current(old, address):
            self._handler.request_gauges()
            self._apply_event(LinkEvent.REPLACEMENT_CONNECTED)
            self._all_confirmed = anyio.Event()
            with anyio.move_on_after(MAX_CONFIRMATION_WAIT_MS / 1000):
                await self._all_confirmed.wait()
        if old is None or self._stream is not old or self.state is not LinkState.MOVING:
            replacement.abort(CloseReason.IDLE)
            return
        if address == self._configured_address:
            self._replacement = replacement
            self._address = address
        else:  # the address changed again; the old link is still closed, because commands are queued
            replacement.abort(CloseReason.IDLE)
        old.abort(CloseReason.ENDPOINT_CHANGED)

    async def _connect_replacement(self, old: Stream | None, address: Address) -> Stream | None:
        """Return a connection to the new address, or None if the move has become obsolete."""
        while self._is_move_current(old, address):
            try:
                return await self._connect(address)
            except ConnectionClosedError:
                await anyio.sleep(MIN_RECONNECT_DELAY_MS / 1000)
        return None

    def _is_move_current(self, old: Stream | None, address: Address) -> bool:
        return self.is_up and self._stream is old and address == self._configured_address
