"""The notifications from the worker pool, decoded from JSON objects, one per line.

`worker_pool_commands` has the other direction of the protocol.
"""

from __future__ import annotations

import re
from base64 import b64decode
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import Any, NamedTuple

import orjson

from nickelslip.admission.interface import Gauges, Outcome
from nickelslip.server.close_reasons import RUN_OUTCOMES

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
FRAGMENT_FIELDS = re.compile(rb'"(op|id)"\s*:\s*"?(\w+)')
FRAGMENT_SEQ = re.compile(rb'"seq"\s*:\s*(\d{1,20})\s*[,}]')


class MalformedNotificationError(ValueError):
    """A line, or one of its fields, is not a valid notification."""


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
    """The link is bound; the worker pool came up `ago_ms` milliseconds ago, None if this is not a number."""

    outcome: str
    ago_ms: float | None


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
        seq = _decode_seq(fields["seq"]) if "seq" in fields else None
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
            return Bound(str(fields.get("end")), _decode_age(fields.get("ms")))
        if envelope.op == COMMAND_NOT_EXECUTED_WORD:
            return CommandNotExecuted(str(fields["end"]), int(request_id, 16) if request_id else None)
        return None


def decode_fragment(line: bytes) -> Fragment | None:
    """Return the readable part of an invalid notification, or None if its sequence number cannot be read."""
    seq_match = FRAGMENT_SEQ.search(line)
    if seq_match is None:
        return None
    seq = int(seq_match[1])
    fields = {name: value.decode() for name, value in FRAGMENT_FIELDS.findall(line)}
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


def _decode_seq(value: Any) -> int:
    """Return a sequence number.

    Raises:
        TypeError: The value is not a whole JSON number. After a text such as "7" notifications would be passed over.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"not a sequence number: {value!r}")
    return value


def _decode_number(value: Any) -> float:
    """Return a JSON number, which is always finite.

    Raises:
        TypeError: The value is not a number. A string such as "nan" is none, although Python would convert it.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"not a number: {value!r}")
    return float(value)


def _decode_age(value: Any) -> float | None:
    try:
        return _decode_number(value)
    except TypeError:
        return None


def _decode_body(fields: dict[str, Any]) -> bytes | None:
    """Return the decoded body, empty if there is none; None if it is not valid base64."""
    if "body" not in fields:
        return b""
    try:
        return b64decode(fields["body"] or "", validate=True)
    except (ValueError, TypeError):
        return None
