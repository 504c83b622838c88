"""The protocol of the worker pool: commands and notifications as JSON objects, one per line.

Encodes typed commands and decodes typed notifications. Only this module knows the words of the protocol.
"""

from __future__ import annotations

import re
from base64 import b64decode, b64encode
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any, NamedTuple

import orjson

from nickelslip.admission.interface import Gauges, Outcome
from nickelslip.server.buffer_pool import BUFFER_BYTES
from nickelslip.server.close_reasons import RUN_OUTCOMES
from nickelslip.server.streams import Stream

if TYPE_CHECKING:
    from nickelslip.server.requests import Request

START_WORD = "spawn"
STOP_WORD = "suspend"
RESUME_WITH_REPLY_WORD = "supply"
RESUME_WITHOUT_CALL_WORD = "pass"
QUERY_GAUGES_WORD = "poll"
BIND_WORD = "bind"

RUN_ENDED_WORD = "finished"
CALL_REACHED_WORD = "blocked"
GAUGES_REPORTED_WORD = "polled"
BOUND_WORD = "bound"
COMMAND_NOT_EXECUTED_WORD = "unknown"

GAUGE_FIELDS = {
    "cpu_busy": "cpu_utilization",
    "runnable": "run_queue_length",
    "mem_used": "memory_utilization",
    "sockets": "connection_count",
}

# The fields that attribute a notification to its run if it is not valid JSON.
FRAGMENT_FIELDS = re.compile(rb'"(op|seq|id)"\s*:\s*"?(\w+)')


class MalformedNotificationError(ValueError):
    """A line, or one of its fields, is not a valid notification."""


# Commands to the worker pool


class StartRun(NamedTuple):
    """Start a run of the request."""

    request: Request


class StopRun(NamedTuple):
    """Stop the request's run, which is running on a core."""

    request: Request


class ResumeWithReply(NamedTuple):
    """Resume the request's run with the reply to its call."""

    request: Request
    body: bytes


class ResumeWithoutCall(NamedTuple):
    """Resume the request's run without the call that was reported by the notification numbered `call_seq`."""

    request: Request
    call_seq: int


class QueryGauges(NamedTuple):
    """Query the gauges. The answer carries the tag, and confirms all commands written before the query."""

    tag: str


class Bind(NamedTuple):
    """Bind the link, and request all notifications after `last_seq`."""

    last_seq: int


RunCommand = StartRun | StopRun | ResumeWithReply | ResumeWithoutCall
Command = RunCommand | QueryGauges | Bind


def encode_command(command: Command) -> bytes:
    """Encode the command as a line."""
    return orjson.dumps(_command_fields(command), option=orjson.OPT_APPEND_NEWLINE)


def _command_fields(command: Command) -> dict[str, Any]:
    match command:
        case StartRun(request):
            received = request.received
            body_text = b64encode(received.body).decode()
            return {"op": START_WORD, "id": received.id_hex, "class": received.traffic_class, "body": body_text}
        case StopRun(request):
            return {"op": STOP_WORD, "id": request.received.id_hex}
        case ResumeWithReply(request, body):
            return {"op": RESUME_WITH_REPLY_WORD, "id": request.received.id_hex, "body": b64encode(body).decode()}
        case ResumeWithoutCall(request, call_seq):
            return {"op": RESUME_WITHOUT_CALL_WORD, "id": request.received.id_hex, "seq": call_seq}
        case QueryGauges(tag):
            return {"op": QUERY_GAUGES_WORD, "tag": tag}
        case Bind(last_seq):
            return {"op": BIND_WORD, "seq": last_seq}


# Notifications from the worker pool


class RunResult(NamedTuple):
    """The outcome, duration and result body of a run."""

    outcome: Outcome
    took_ms: float
    body: bytes


class RunEnded(NamedTuple):
    """A run has ended; `result` is None if the notification's result cannot be decoded."""

    request_id: str
    request_number: int
    result: RunResult | None


class CallReached(NamedTuple):
    """A run is waiting for a call; `body` is None if the body of the call cannot be decoded."""

    request_id: str
    request_number: int
    seq: int
    body: bytes | None


class UnknownRunNotification(NamedTuple):
    """A notification of an unknown kind about a run; it only shows that the worker pool has the run."""

    request_id: str
    request_number: int


class GaugesReported(NamedTuple):
    """The answer to `QueryGauges`; the values are in the configured order of the gauges."""

    tag: str
    values: Any


class Bound(NamedTuple):
    """The link is bound; the worker pool came up `ago_ms` milliseconds ago."""

    outcome: str
    ago_ms: float


class CommandNotExecuted(NamedTuple):
    """The worker pool does not have the run that a command named."""

    command_word: str
    request_number: int | None


RunNotification = RunEnded | CallReached | UnknownRunNotification
Notification = RunNotification | GaugesReported | Bound | CommandNotExecuted


class Envelope(NamedTuple):
    """The fields of a line that is a JSON object with an `op`; `seq` is None for unnumbered notifications."""

    op: Any
    seq: int | None
    fields: dict[str, Any]


class Fragment(NamedTuple):
    """The readable part of an invalid notification; `notification` is None if no run is named."""

    seq: int
    notification: RunNotification | None


@contextmanager
def _wrapping_field_errors() -> Iterator[None]:
    try:
        yield
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise MalformedNotificationError(repr(error)) from error


def decode_envelope(line: bytes) -> Envelope:
    """Return the line's operation, sequence number and fields.

    Raises:
        MalformedNotificationError: The line is not a JSON object, has no operation, or has an invalid number.
    """
    with _wrapping_field_errors():
        fields = orjson.loads(line)
        op = fields["op"]
        seq = int(fields["seq"]) if "seq" in fields else None
        return Envelope(op, seq, fields)


def decode_notification(envelope: Envelope) -> Notification | None:
    """Return the notification, or None if the operation is unknown and no run is named.

    Raises:
        MalformedNotificationError: A field is missing or has the wrong type.
    """
    with _wrapping_field_errors():
        fields = envelope.fields
        request_id = fields.get("id")
        if envelope.seq is not None and request_id:
            return _decode_run_notification(envelope.op, request_id, envelope.seq, fields)
        if envelope.op == GAUGES_REPORTED_WORD:
            return GaugesReported(str(fields["tag"]), fields["values"])
        if envelope.op == BOUND_WORD:
            return Bound(str(fields["end"]), _decode_number(fields["ms"]))
        if envelope.op == COMMAND_NOT_EXECUTED_WORD:
            return CommandNotExecuted(str(fields["end"]), int(request_id, 16) if request_id else None)
        return None


def decode_fragment(line: bytes) -> Fragment | None:
    """Return the readable part of an invalid notification, or None if its sequence number is not a number."""
    fields = {name: value.decode() for name, value in FRAGMENT_FIELDS.findall(line)}
    try:
        seq = int(fields.get(b"seq", "0"))
    except ValueError:
        return None
    try:
        return Fragment(seq, _decode_run_notification(fields.get(b"op", ""), fields[b"id"], seq, {}))
    except (KeyError, ValueError):
        return Fragment(seq, None)


def decode_gauges(names: Sequence[str], values: Any) -> Gauges:
    """Return the gauges reported under the given names, omitting those that are unknown or null.

    Raises:
        MalformedNotificationError: The values are not a list of numbers and nulls.
    """
    with _wrapping_field_errors():
        return Gauges(
            **{
                GAUGE_FIELDS[name]: _decode_number(value)
                for name, value in zip(names, values, strict=False)
                if name in GAUGE_FIELDS and value is not None
            }
        )


def _decode_run_notification(op: Any, request_id: str, seq: int, fields: dict[str, Any]) -> RunNotification:
    """Return the notification about a run; if `fields` is empty, its result or call body counts as undecodable."""
    number = int(request_id, 16)
    if op == RUN_ENDED_WORD:
        return RunEnded(request_id, number, _decode_result(fields))
    if op == CALL_REACHED_WORD:
        return CallReached(request_id, number, seq, _decode_body(fields) if fields else None)
    return UnknownRunNotification(request_id, number)


def _decode_result(fields: dict[str, Any]) -> RunResult | None:
    outcome = RUN_OUTCOMES.get(str(fields.get("end")))
    body = _decode_body(fields)
    if outcome is None or body is None:
        return None
    try:
        return RunResult(outcome, _decode_number(fields.get("ms")), body)
    except TypeError:
        return None


def _decode_number(value: Any) -> float:
    """Return a JSON number, which is always finite.

    Raises:
        TypeError: The value is not a number. A string such as "nan" is none, although Python would convert it.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"not a number: {value!r}")
    return float(value)


def _decode_body(fields: dict[str, Any]) -> bytes | None:
    """Return the decoded body, empty if there is none; None if it is not valid base64."""
    if "body" not in fields:
        return b""
    try:
        return b64decode(fields["body"] or "", validate=True)
    except (ValueError, TypeError):
        return None


# Splitting received data into lines


class Line(NamedTuple):
    """A line without its line end, or the beginning of a line that is longer than a buffer."""

    data: bytes
    is_truncated: bool


class LineReader:
    """Splits the received data of a stream into lines, truncating lines that are longer than a buffer."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._head = b""  # beginning of a line that is longer than a buffer

    def next_line(self) -> Line | None:
        """Return the next complete line, or None if more data must be received first."""
        stream = self._stream
        while stream.data is not None:
            newline = stream.data.find(b"\n", stream.start, stream.end)
            if newline >= 0:
                line = Line(self._head or bytes(stream.data[stream.start : newline]), bool(self._head))
                self._head = b""
                stream.consume(newline + 1)
                return line
            if stream.end - stream.start < BUFFER_BYTES:
                return None
            self._head = self._head or bytes(stream.data[stream.start : stream.end])
            stream.consume(stream.end)
        return None
