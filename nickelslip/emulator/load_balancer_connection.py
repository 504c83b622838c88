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
from nickelslip.emulator.worker_pool import expected_response
from nickelslip.server import resp

Address = tuple[str, int]
MAX_OPEN_ATTEMPTS = 32  # on a connection, by the protocol's page
MAX_ANSWERED_KEPT = 4 * MAX_OPEN_ATTEMPTS
CROSSING_MS = 50.0  # what was written so shortly before the server closed is sent again
CONNECT_TIMEOUT_S = 0.5
CLOSING_TAG = b"0"


class AttemptEnd(Enum):
    """How an attempt ended."""

    ANSWERED = "the server answered it"
    NOT_CONNECTED = "there was no connection, so nothing ran"
    CROSSED = "the server's close crossed it, so it was never read"
    TIMED_OUT = "its time was up and it was cancelled"
    DISCONNECTED = "the connection was lost; it may have run"


class AttemptResult(NamedTuple):
    """How an attempt ended, and the word of the server's answer, if there was one."""

    end: AttemptEnd
    word: str = ""


@dataclass(frozen=True)
class OutgoingRequest:
    """One attempt as it is written to a server.

    Attributes:
        fields: Its fields, as on the wire.
        timeout_ms: How long an answer is waited for.
    """

    request_id: str
    traffic_class: str
    fields: str
    idempotency_key: str
    body: bytes
    timeout_ms: float


@dataclass
class OpenAttempt:
    """An attempt that was written; the future has its result."""

    request: OutgoingRequest
    written_at_ms: float
    result: asyncio.Future[AttemptResult]

    def resolve(self, result: AttemptResult) -> None:
        """Set the result, unless there is one."""
        if not self.result.done():
            self.result.set_result(result)


AnswerListener = Callable[[str, str, Mapping[str, str]], None]


class LoadBalancerConnection(asyncio.Protocol):
    """A connection to one server.

    It carries nothing before the server has answered a check on it: what is written into a relay that reaches nobody
    was never written to a server.

    Args:
        server: The server's name.
        history: Where requests and answers are recorded.
        on_answer: Called with the server, the word and the fields of each answer.
    """

    def __init__(self, server: str, history: History, on_answer: AnswerListener) -> None:
        self._server = server
        self._history = history
        self._on_answer = on_answer
        self._open: dict[int, OpenAttempt] = {}
        self._answered: dict[int, OpenAttempt] = {}  # a second answer is recorded too
        self._buffer = bytearray()
        self._last_tag = 0
        self._is_closing = False
        self._transport: asyncio.Transport | None = None
        self._check: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    @staticmethod
    async def connect(
        server: str, address: Address, history: History, on_answer: AnswerListener
    ) -> LoadBalancerConnection | None:
        """Return a connection on which the server has answered a check, or None."""
        connection = LoadBalancerConnection(server, history, on_answer)
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: connection, *address)
                if await connection._check:
                    return connection
        connection.abort()
        return None

    @property
    def is_usable(self) -> bool:
        """Whether another attempt may be written."""
        return self._transport is not None and not self._is_closing and len(self._open) < MAX_OPEN_ATTEMPTS

    async def send(self, request: OutgoingRequest) -> AttemptResult:
        """Write an attempt and wait until it has ended."""
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
        """Reset the connection; nothing is owed on it any more."""
        for attempt in self._open.values():
            self._history.add(Kind.REQUEST_CANCELLED, self._server, attempt.request.request_id)
            attempt.resolve(AttemptResult(AttemptEnd.DISCONNECTED))
        self._open.clear()
        if self._transport is not None:
            self._transport.abort()

    # Events of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write a check."""
        self._transport = cast(asyncio.Transport, transport)
        with suppress(OSError, ValueError):  # closed already
            transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._last_tag += 1
        self._transport.write(resp.message(b"STATUS", b"%d" % self._last_tag))

    def data_received(self, data: bytes) -> None:
        """Take every complete answer."""
        self._buffer += data
        start = 0
        while (message := resp.parse(self._buffer, start, len(self._buffer))) is not None:
            parts, start = message
            self._handle_answer(*parts)
        del self._buffer[:start]

    def _handle_answer(self, tag: bytes, word: bytes, fields: bytes = b"", body: bytes = b"") -> None:
        if tag == CLOSING_TAG:
            self._is_closing = True
            self._close_if_done()
            return
        if not self._check.done():
            self._check.set_result(True)
            return
        number = int(tag)
        attempt = self._open.pop(number, None) or self._answered.get(number)
        if attempt is None:
            return  # it was cancelled
        self._keep_answered(number, attempt)
        decoded_word = word.decode()
        is_valid = body == expected_response(attempt.request.body)
        self._history.add(Kind.ANSWERED, self._server, attempt.request.request_id, [decoded_word, is_valid])
        self._on_answer(self._server, decoded_word, _decode_fields(fields))
        attempt.resolve(AttemptResult(AttemptEnd.ANSWERED, decoded_word))
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
        """End every open attempt; those written just before were never read."""
        self._transport = None
        if not self._check.done():
            self._check.set_result(False)
        now_ms = self._history.clock()
        for attempt in self._open.values():
            was_crossed = now_ms - attempt.written_at_ms <= CROSSING_MS
            if was_crossed:
                self._history.add(Kind.REQUEST_NEVER_READ, self._server, attempt.request.request_id)
            attempt.resolve(AttemptResult(AttemptEnd.CROSSED if was_crossed else AttemptEnd.DISCONNECTED))
        self._open.clear()


def _decode_fields(fields: bytes) -> dict[str, str]:
    return dict(pair.split("=") for pair in fields.decode().split(",") if pair)
