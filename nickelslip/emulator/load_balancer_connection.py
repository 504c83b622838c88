"""A load balancer's connection to one server, and the attempts that it carries."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, cast

from nickelslip.emulator.history import MS_PER_S, History, Kind
from nickelslip.emulator.work_profile import expected_response
from nickelslip.server import resp

Address = tuple[str, int]
MAX_OPEN_ATTEMPTS = 32  # per connection, set by the protocol
MAX_ANSWERED_KEPT = 4 * MAX_OPEN_ATTEMPTS
UNREAD_WINDOW_MS = 50.0  # attempts written this shortly before the server closed count as unread and may be retried
CONNECT_TIMEOUT_S = 0.5
CLOSING_TAG = b"0"  # tag of the message with which the server asks for the connection to be closed


class AttemptEnd(Enum):
    """How an attempt ended."""

    ANSWERED = "the server answered it"
    NOT_CONNECTED = "there was no connection, so it did not run"
    CROSSED = "the server closed the connection before reading it"
    TIMED_OUT = "it timed out and was cancelled"
    DISCONNECTED = "the connection was lost, and it may have run"


class AttemptResult(NamedTuple):
    """How an attempt ended, and the status of the server's answer, if there was one."""

    end: AttemptEnd
    status: str = ""


@dataclass(frozen=True)
class OutgoingRequest:
    """One attempt as it is written to a server.

    Attributes:
        fields: The request fields in their wire format.
        timeout_ms: How long the load balancer waits for an answer.
    """

    request_id: str
    traffic_class: str
    fields: str
    idempotency_key: str
    body: bytes
    timeout_ms: float


@dataclass
class OpenAttempt:
    """An attempt that was written and not yet answered; `result` is set when it ends."""

    request: OutgoingRequest
    written_at_ms: float
    result: asyncio.Future[AttemptResult]

    def resolve(self, result: AttemptResult) -> None:
        """Set the result, unless it is set already."""
        if not self.result.done():
            self.result.set_result(result)


AnswerListener = Callable[[str, str, Mapping[str, str]], None]


class LoadBalancerConnection(asyncio.Protocol):
    """A connection to one server.

    No request is written before the server has answered a health check on the connection. A relay accepts connections
    even when the server behind it is unreachable, and a request written there never reaches a server.

    Args:
        server: The server's name.
        history: Records requests and answers.
        on_answer: Called with the server, the status and the fields of each answer.
    """

    def __init__(self, server: str, history: History, on_answer: AnswerListener) -> None:
        self._server = server
        self._history = history
        self._on_answer = on_answer
        self._open: dict[int, OpenAttempt] = {}
        self._answered: dict[int, OpenAttempt] = {}  # kept to record a second answer
        self._buffer = bytearray()
        self._last_tag = 0
        self._is_closing = False
        self._transport: asyncio.Transport | None = None
        self._health_check: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    @staticmethod
    async def connect(
        server: str, address: Address, history: History, on_answer: AnswerListener
    ) -> LoadBalancerConnection | None:
        """Return a connection on which the server has answered a health check, or None."""
        connection = LoadBalancerConnection(server, history, on_answer)
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: connection, *address)
                if await connection._health_check:
                    return connection
        connection.abort()
        return None

    @property
    def is_usable(self) -> bool:
        """Whether another attempt may be written."""
        return self._transport is not None and not self._is_closing and len(self._open) < MAX_OPEN_ATTEMPTS

    async def send(self, request: OutgoingRequest) -> AttemptResult:
        """Write an attempt and wait until it ends."""
        self._last_tag += 1
        tag = self._last_tag
        now_ms = self._history.clock()
        attempt = OpenAttempt(request, now_ms, asyncio.get_running_loop().create_future())
        self._open[tag] = attempt
        if self._transport is None:
            return AttemptResult(AttemptEnd.NOT_CONNECTED)
        detail = [request.traffic_class, request.idempotency_key, now_ms + request.timeout_ms]
        self._history.add(Kind.REQUEST_WRITTEN, self._server, request.request_id, detail, now_ms)
        traffic_class = request.traffic_class.encode()
        self._transport.write(resp.message(b"ASK", b"%d" % tag, traffic_class, request.fields.encode(), request.body))
        try:
            async with asyncio.timeout(request.timeout_ms / MS_PER_S):
                return await attempt.result
        except TimeoutError:
            self._cancel(tag)
            return AttemptResult(AttemptEnd.TIMED_OUT)

    def _cancel(self, tag: int) -> None:
        attempt = self._open.pop(tag, None)
        if attempt is None:
            return
        self._history.add(Kind.REQUEST_CANCELLED, self._server, attempt.request.request_id)
        if self._transport is not None:
            self._transport.write(resp.message(b"NEVERMIND", b"%d" % tag))

    def abort(self) -> None:
        """Reset the connection and end all open attempts."""
        for attempt in self._open.values():
            self._history.add(Kind.REQUEST_CANCELLED, self._server, attempt.request.request_id)
            attempt.resolve(AttemptResult(AttemptEnd.DISCONNECTED))
        self._open.clear()
        if self._transport is not None:
            self._transport.abort()

    # Transport callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send a health check."""
        self._transport = cast(asyncio.Transport, transport)
        with suppress(OSError, ValueError):  # closed already
            transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._last_tag += 1
        self._transport.write(resp.message(b"STATUS", b"%d" % self._last_tag))

    def data_received(self, data: bytes) -> None:
        """Process every complete answer."""
        self._buffer += data
        start = 0
        while (message := resp.parse(self._buffer, start, len(self._buffer))) is not None:
            parts, start = message
            self._handle_answer(*parts)
        del self._buffer[:start]

    def _handle_answer(self, tag: bytes, status: bytes, fields: bytes = b"", body: bytes = b"") -> None:
        if tag == CLOSING_TAG:
            self._is_closing = True
            self._close_if_done()
            return
        if not self._health_check.done():
            self._health_check.set_result(True)
            return
        number = int(tag)
        attempt = self._open.pop(number, None) or self._answered.get(number)
        if attempt is None:
            return  # cancelled
        self._keep_answered(number, attempt)
        decoded_status = status.decode()
        is_valid = body == expected_response(attempt.request.body)
        self._history.add(Kind.ANSWERED, self._server, attempt.request.request_id, [decoded_status, is_valid])
        self._on_answer(self._server, decoded_status, _decode_fields(fields))
        attempt.resolve(AttemptResult(AttemptEnd.ANSWERED, decoded_status))
        self._close_if_done()

    def _keep_answered(self, tag: int, attempt: OpenAttempt) -> None:
        self._answered[tag] = attempt
        if len(self._answered) > MAX_ANSWERED_KEPT:
            oldest = next(iter(self._answered))
            del self._answered[oldest]

    def _close_if_done(self) -> None:
        if self._is_closing and not self._open and self._transport is not None:
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """End every open attempt; those written just before the close count as never read."""
        self._transport = None
        if not self._health_check.done():
            self._health_check.set_result(False)
        now_ms = self._history.clock()
        for attempt in self._open.values():
            was_unread = now_ms - attempt.written_at_ms <= UNREAD_WINDOW_MS
            kind = Kind.REQUEST_NEVER_READ if was_unread else Kind.REQUEST_DISCONNECTED
            self._history.add(kind, self._server, attempt.request.request_id)
            attempt.resolve(AttemptResult(AttemptEnd.CROSSED if was_unread else AttemptEnd.DISCONNECTED))
        self._open.clear()


def _decode_fields(fields: bytes) -> dict[str, str]:
    return dict(pair.split("=") for pair in fields.decode().split(",") if pair)
