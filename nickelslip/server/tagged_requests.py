"""The open requests of one connection, identified by the tags that the load balancer assigned."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio

from nickelslip.admission.interface import RequestState
from nickelslip.server.answer_encoder import (
    CANCEL_VERB,
    HEALTH_CHECK_VERB,
    REQUEST_VERB,
    encode_answer,
    encode_health,
)
from nickelslip.server.close_reasons import CloseReason, ConnectionClosedError
from nickelslip.server.request_decoder import InvalidFieldError, decode_request, decode_tag
from nickelslip.server.request_events import ClientDisconnected
from nickelslip.server.requests import Answer, Request
from nickelslip.server.streams import Stream

if TYPE_CHECKING:  # types only; importing them would slow down the startup
    from nickelslip.server.connection_log import ConnectionLog
    from nickelslip.server.interfaces import RequestHandler

MAX_OPEN_REQUESTS = 32  # per connection
AT_ONCE_MS = 100.0


class TaggedRequests:
    """Handles the messages of one connection and writes the answers to it.

    Each request runs in its own task and is answered on the connection that it was received on.

    Args:
        server: Accepts decoded requests.
        stream: The connection's stream, to which answers are written.
        log: Logs malformed requests.
        on_valid_message: Called for each accepted request and each health check.
        on_answered: Called after an answer to a request is written.

    Attributes:
        has_client_left: Whether the client has closed its connection. Requests that are read later are not accepted.
        consecutive_refusal_count: Number of requests refused since the last accepted one.
        has_completed_request: Whether a request was answered with its result.
        message_count: Number of messages handled.
        was_paused: Whether reading was paused since the last such answer, so that later requests may be read late.
    """

    def __init__(
        self,
        server: RequestHandler,
        stream: Stream,
        log: ConnectionLog,
        on_valid_message: Callable[[], None],
        on_answered: Callable[[], None],
    ) -> None:
        self._server = server
        self._stream = stream
        self._log = log
        self._on_valid_message = on_valid_message
        self._on_answered = on_answered
        self._requests: dict[int, Request] = {}
        self._withdrawn: list[Request] = []  # their runs may be unfinished
        self._drained: anyio.Event | None = None  # set when the last open request is answered or cancelled
        self.has_client_left = False
        self.consecutive_refusal_count = 0
        self.has_completed_request = False
        self.was_paused = False
        self.message_count = 0

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def withdrawn_run_count(self) -> int:
        """The number of unfinished runs of requests that the client has cancelled soon after their start."""
        return sum(request.has_unfinished_run for request in self._withdrawn)

    def handle_message(self, parts: list[bytes]) -> None:
        """Handle one complete message.

        Raises:
            ConnectionClosedError: The message has no tag or reuses that of an open request, so the client could not
                match an answer to it.
        """
        self.message_count += 1
        verb = parts[0]
        tag = decode_tag(parts)
        if not tag:
            raise ConnectionClosedError(CloseReason.MALFORMED, "no tag")
        if verb == CANCEL_VERB:
            self._cancel(tag)
        elif tag in self._requests:
            raise ConnectionClosedError(CloseReason.MALFORMED, f"tag {tag} is in use")
        elif verb == HEALTH_CHECK_VERB:
            self._answer_health_check(tag)
        elif verb == REQUEST_VERB:
            self._handle_request(tag, parts[2:])
        else:
            self.consecutive_refusal_count += 1
            self._refuse(tag)

    def refuse_malformed_message(self, parts: list[bytes]) -> None:
        """Answer a malformed message with a failure, if its first parts contain a tag that no open request uses."""
        tag = decode_tag(parts)
        if tag and parts[0] != CANCEL_VERB and tag not in self._requests:
            self._refuse(tag)

    def abandon_all(self) -> None:
        """Cancel every open request, after the end of the connection."""
        for request in self._requests.values():
            request.deliver(ClientDisconnected())
        self._requests.clear()

    async def wait_until_answered(self) -> None:
        """Wait until no request is open or the stream is closed."""
        while self._requests and not self._stream.close_reason:
            self._drained = anyio.Event()
            await self._drained.wait()

    def _cancel(self, tag: int) -> None:
        """Handle the client's cancellation of a request, which is then no longer answered.

        A cancellation may cross the answer, but a client that sends nothing else is refused like any other.
        """
        request = self._requests.pop(tag, None)
        if request is None:
            self.consecutive_refusal_count += not self.has_completed_request
        else:
            self._remember_withdrawn(request)
            request.deliver(ClientDisconnected())
            self._notify_if_drained()

    def _remember_withdrawn(self, request: Request) -> None:
        """Remember a request that was withdrawn at once, and not after its client has waited for an answer."""
        if self._server.clock() - request.run_started_at_ms <= AT_ONCE_MS:
            self._withdrawn = [each for each in (*self._withdrawn, request) if each.has_unfinished_run]

    def _answer_health_check(self, tag: int) -> None:
        self._on_valid_message()
        self._stream.write(encode_health(tag, self._server.is_healthy, self._server.advertised_weight))

    def _handle_request(self, tag: int, parts: list[bytes]) -> None:
        """Accept or refuse a request; it is also refused if an unexpected error is raised.

        A request of a client that has left is neither run nor answered.
        """
        if self.has_client_left:
            return
        is_accepted = False
        try:
            is_accepted = self._open(tag, parts)
        except InvalidFieldError as error:
            self._log.report_malformed_request(str(error))
        finally:
            if is_accepted:
                self.consecutive_refusal_count = 0
            else:
                self.consecutive_refusal_count += 1
                self._refuse(tag)

    def _open(self, tag: int, parts: list[bytes]) -> bool:
        """Decode a request and pass it to the server; return whether the server accepted it.

        Raises:
            InvalidFieldError: The request is malformed, or too many requests are open.
        """
        if len(self._requests) >= MAX_OPEN_REQUESTS:
            raise InvalidFieldError("too many open requests")
        generation = self._server.generation  # applies to the request until its end
        received = decode_request(
            parts,
            generation.retry_safety_by_class,
            generation.tenant_names,
            self._server.clock(),
            generation.longest_timeout_ms,
        )
        received.may_be_delayed_by_client = self.was_paused
        request = Request(received, generation, lambda answer: self._answer(tag, answer))
        self._requests[tag] = request
        if not self._server.accept_request(request):
            del self._requests[tag]
            return False
        self._on_valid_message()
        return True

    def _refuse(self, tag: int) -> None:
        """Answer with a failure."""
        self._answer(tag, Answer(RequestState.FAILED, self._server.advertised_weight))

    def _answer(self, tag: int, answer: Answer) -> None:
        """Write the answer to a request, which is then no longer open."""
        self._requests.pop(tag, None)
        if answer.state is RequestState.COMPLETED:
            self.has_completed_request = True
            self.was_paused = False
        self._stream.write(encode_answer(tag, answer))
        self._on_answered()
        self._notify_if_drained()

    def _notify_if_drained(self) -> None:
        if not self._requests and self._drained is not None:
            self._drained.set()
