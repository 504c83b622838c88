"""The connection to the worker pool: made with backoff, bound, replaced at a change of the address, made again.

What is written on it and what its lines mean is the business of worker_pool_link.py.
"""

from __future__ import annotations

import random
from enum import Enum
from typing import TYPE_CHECKING, Protocol

import anyio

from nickelslip.configuration.config import Address
from nickelslip.server.close_reasons import CloseReason, ConnectionClosedError
from nickelslip.server.connector import connect
from nickelslip.server.streams import Stream
from nickelslip.server.worker_pool_protocol import Bind, Line, LineReader, encode_command
from nickelslip.startup.backoff import Backoff

if TYPE_CHECKING:  # these names are needed for types alone, and not at every start of the program
    from nickelslip.server.interfaces import ServerContext

MIN_RECONNECT_DELAY_MS = 20.0
MAX_RECONNECT_DELAY_MS = 500.0
RECONNECT_BUDGET = 24  # attempts to connect within each span
RECONNECT_SPAN_MS = 5000.0
MAX_CONFIRMATION_WAIT_MS = 100.0  # for what was written on a connection that is being replaced
MAX_QUERIES_WITHOUT_READ = 20  # on which a connection that brings nothing is given up; there are ten a second
MAX_BACKLOG_BYTES = 1 << 20


class LinkState(Enum):
    """The state of the link."""

    DOWN = "there is no connection; commands wait"
    BINDING = "connected, and waiting for the worker pool to be up; commands wait"
    UP = "commands go out at once"
    MOVING = "the connection to another address stands ready; commands wait until all that was written has arrived"


class LinkEvent(Enum):
    """What changes the state of the link."""

    CONNECTED = "a connection stands"
    BOUND = "the worker pool is up and has taken the link up"
    REPLACEMENT_CONNECTED = "a connection to the new address stands"
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
    """Who writes on the connection and understands its lines."""

    @property
    def last_seq(self) -> int:
        """The number of the notification that was read last."""

    @property
    def unsent_command_count(self) -> int:
        """How many commands wait for the link to be up."""

    def line_read(self, line: Line) -> None:
        """A line has come."""

    def request_gauges(self) -> None:
        """Write a query, whose answer confirms all that was written before it."""


class WorkerPoolConnection:
    """The connection, through all the streams that it is made of one after another.

    Attributes:
        state: The state of the link.

    Args:
        context: The server's clock, log, buffers, tasks and configuration.
        handler: Who writes on the connection and understands its lines.
    """

    def __init__(self, context: ServerContext, handler: LinkHandler) -> None:
        self._context = context
        self._handler = handler
        self.state = LinkState.DOWN
        self._stream: Stream | None = None
        self._replacement: Stream | None = None  # the next stream, not bound yet
        self._address = context.generation.config.pool  # to which the stream, or the attempt to connect, goes
        self._connect_scope: anyio.CancelScope | None = None  # of the attempt to connect, or the delay before it
        self._all_confirmed = anyio.Event()  # while the stream is being replaced: all that was written has arrived
        self._was_ever_bound = False
        self._queries_without_read = 0

    @property
    def is_up(self) -> bool:
        """Whether a command can be written now."""
        return self.state is LinkState.UP and self._stream is not None and not self._stream.close_reason

    def write(self, line: bytes) -> None:
        """Write a line, where there is a stream."""
        if self._stream is not None:
            self._stream.write(line)

    def bound(self) -> None:
        """Take note that the worker pool has taken the link up."""
        self._enter_on(LinkEvent.BOUND)
        self._was_ever_bound = True

    def all_confirmed(self) -> None:
        """Take note that all that was written on the present stream has arrived."""
        if self.state is LinkState.MOVING:
            self._all_confirmed.set()

    def count_query(self) -> None:
        """Give up a stream that brings nothing at all for many queries in a row.

        A peer that vanished without closing would otherwise be waited for until every request's deadline. Queries are
        counted, and not time, since a server that stands still itself sends none.
        """
        if self._stream is None or not self._was_ever_bound:
            return
        self._queries_without_read += 1
        if self._queries_without_read > MAX_QUERIES_WITHOUT_READ:
            self._stream.abort(CloseReason.UNRESPONSIVE)

    async def run(self) -> None:
        """Keep the link, and take it up again when it is lost."""
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
        """Return the replacement that stands ready, or else a new connection; None where the attempt came to nothing.

        The address may change just when the attempt has succeeded and can be cancelled no more. That connection is
        closed, since once it is bound the link would stay at the old address.
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
            self._enter_on(LinkEvent.CONNECTED)
            self._queries_without_read = 0
            stream.write(encode_command(Bind(self._handler.last_seq)))
            await self._read(stream)
        except ConnectionClosedError as closed:
            self._context.log.warning("worker_pool_link_closed", reason=closed.reason.name, detail=closed.detail)
            stream.abort(closed.reason)
            self._stream = None
            self._enter_on(LinkEvent.CLOSED)
            if closed.reason is not CloseReason.ENDPOINT_CHANGED:
                await anyio.sleep(MIN_RECONNECT_DELAY_MS / 1000)

    async def _read(self, stream: Stream) -> None:
        lines = LineReader(stream)
        while True:
            await stream.fill()
            self._queries_without_read = 0
            while (line := lines.next_line()) is not None:
                self._handler.line_read(line)

    async def _connect(self, address: Address) -> Stream:
        return await connect(address, self._context.buffers, self._context.task_group, MAX_BACKLOG_BYTES)

    def _enter_on(self, event: LinkEvent) -> None:
        """Enter the state that follows from an event; a change is logged."""
        state = LINK_TRANSITIONS[self.state, event]
        if state is not self.state:
            self._context.log.info(
                "worker_pool_link_state", state=state.name, waiting_commands=self._handler.unsent_command_count
            )
        self.state = state

    # A change of the address

    @property
    def _configured_address(self) -> Address:
        return self._context.generation.config.pool

    def change_endpoint(self) -> None:
        """Take up the configured address: a link that is up is replaced once the new one stands, any other at once."""
        if self._address == self._configured_address and self._stream is not None:
            return
        if self.is_up:
            self._context.task_group.start_soon(self._context.supervise, self._move_to, self._configured_address)
        elif self._stream is not None:
            self._stream.abort(CloseReason.ENDPOINT_CHANGED)
        elif self._connect_scope is not None:
            self._connect_scope.cancel()

    async def _move_to(self, address: Address) -> None:
        """Replace the link by one to another address, with as few commands in doubt as can be.

        The old link stays until all that was written on it is confirmed, or until that takes too long; commands wait
        for that. A break of the old link, or another move, overtakes this one.
        """
        old = self._stream
        replacement = await self._connect_replacement(old, address)
        if replacement is None:
            return
        if self._is_move_wanted(old, address):
            self._handler.request_gauges()
            self._enter_on(LinkEvent.REPLACEMENT_CONNECTED)
            self._all_confirmed = anyio.Event()
            with anyio.move_on_after(MAX_CONFIRMATION_WAIT_MS / 1000):
                await self._all_confirmed.wait()
        if old is None or self._stream is not old or self.state is not LinkState.MOVING:
            replacement.abort(CloseReason.IDLE)
            return
        if address == self._configured_address:
            self._replacement = replacement
            self._address = address
        else:  # the address changed again meanwhile: the old link ends all the same, since commands wait
            replacement.abort(CloseReason.IDLE)
        old.abort(CloseReason.ENDPOINT_CHANGED)

    async def _connect_replacement(self, old: Stream | None, address: Address) -> Stream | None:
        """Return a connection to the new address; None where the move is not wanted any more."""
        while self._is_move_wanted(old, address):
            try:
                return await self._connect(address)
            except ConnectionClosedError:
                await anyio.sleep(MIN_RECONNECT_DELAY_MS / 1000)
        return None

    def _is_move_wanted(self, old: Stream | None, address: Address) -> bool:
        return self.is_up and self._stream is old and address == self._configured_address
