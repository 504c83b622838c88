"""Messages of balancers: the tag of any message, and the transaction that an ASK describes.

Owns the fields of an ASK, the range of each and the fault that is reported for it. Framing is `resp`'s, the connection
that a message came on `connection`'s. It does no I/O and keeps nothing.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from nickelslip.admission.interface import RetrySafety
from nickelslip.server.requests import ReceivedRequest

BODY_MOST = 2 * 1024  # bytes
KB_MOST = 2000.0  # no transaction may need as much
KEY_MOST = 256  # characters
TAG_DIGITS = 18  # at most
IDENT_DIGITS = 16  # exactly
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
TIMESTAMP_MOST_MS = 1e15
SPAN_MOST_MS = 86_400_000.0  # a day
CLOCK_AHEAD_MS = 1000.0  # by which a caller's clock may be ahead of this server's
LEVEL_OVER = -1e-9  # just under 0, as a range excludes its lower end and a level of 0 is allowed


class InvalidFieldError(Exception):
    """A field that is missing, doubled or out of range."""


class RequestHead(NamedTuple):
    """The parts of an ASK behind its tag."""

    grade: str
    field_list: str
    body: bytes


class Identity(NamedTuple):
    """Which transaction it is, and whose."""

    ident: str
    customer: str | None


class TimeLimits(NamedTuple):
    """How long its caller waits, and how long its run is expected to take."""

    wait_ms: float | None
    cost_hint_ms: float | None


def tag_in(parts: list[bytes]) -> int:
    """The tag of a message, or 0 where it has none that could be answered."""
    digits = parts[1] if len(parts) > 1 else b""
    return int(digits) if digits.isdigit() and len(digits) <= TAG_DIGITS else 0


def number_in(fields: Mapping[str, str], name: str, over: float, most: float) -> float | None:
    """The number in a field, greater than `over` and at most `most`; None where the field is absent.

    Raises BadField. Underscores between digits, which Python allows, are refused.
    """
    text = fields.get(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        raise InvalidFieldError(name) from None
    if not math.isfinite(value) or not over < value <= most or "_" in text:
        raise InvalidFieldError(name)
    return value


def decode_request(
    parts: list[bytes],
    repeats: Mapping[str, RetrySafety],
    customers: frozenset[str],
    now: float,
    longest_wait_ms: float,
) -> ReceivedRequest:
    """The transaction in an ASK behind its tag: grade, fields and body.

    Raises BadField. Where several fields are wrong, the order of the steps decides which one is named: the arrival
    time and the memory are both read as numbers before either is checked further.
    """
    head = _head(parts)
    fields = _fields(head.field_list)
    identity = _identity(head, fields, repeats, customers)
    timestamp = number_in(fields, "ts", 0.0, TIMESTAMP_MOST_MS)
    need = number_in(fields, "need", 0.0, KB_MOST)
    reached = _arrival_time(timestamp, now, longest_wait_ms)
    kb = _memory(need)
    again = _is_repeat(fields)
    _check_level(fields)
    caller = _caller(fields)
    key = _key(fields, repeats[head.grade])
    limits = _time_limits(fields)
    return ReceivedRequest(
        id_hex=identity.ident,
        traffic_class=head.grade,
        body=head.body,
        received_at_ms=reached,
        memory_kb=kb,
        tenant=identity.customer,
        timeout_ms=limits.wait_ms,
        cost_hint_ms=limits.cost_hint_ms,
        is_retry=again,
        load_balancer=caller,
        key=key,
    )


def _head(parts: list[bytes]) -> RequestHead:
    """The grade and the fields as text, and the body, which may be absent."""
    if not 2 <= len(parts) <= 3:
        raise InvalidFieldError("parts")
    try:
        grade, field_list = parts[0].decode(), parts[1].decode()
    except UnicodeDecodeError:
        raise InvalidFieldError("text") from None
    return RequestHead(grade, field_list, parts[2] if len(parts) == 3 else b"")


def _fields(field_list: str) -> dict[str, str]:
    """The fields by their names, from `name=value` pairs parted by commas."""
    fields: dict[str, str] = {}
    for pair in field_list.split(","):
        name, is_pair, value = pair.partition("=")
        if not is_pair or not value or name in fields:
            raise InvalidFieldError(name)
        fields[name] = value
    return fields


def _identity(
    head: RequestHead, fields: Mapping[str, str], repeats: Mapping[str, RetrySafety], customers: frozenset[str]
) -> Identity:
    """Its identifier and its customer; the grade must be known, and the body within its size."""
    ident = fields.get("req", "")
    if len(ident) != IDENT_DIGITS or not HEX_DIGITS.issuperset(ident):
        raise InvalidFieldError("req")
    if head.grade not in repeats or len(head.body) > BODY_MOST:
        raise InvalidFieldError("grade or body")
    customer = fields.get("owner")
    if customers and customer not in customers:
        raise InvalidFieldError("owner")
    return Identity(ident, customer)


def _arrival_time(timestamp: float | None, now: float, longest_wait_ms: float) -> float:
    """When it came to the machine.

    A time longer ago than any caller waits, or still to come, is refused: the time for which the transaction lay unread
    would be taken for this server's slowness.
    """
    if timestamp is None or not -longest_wait_ms <= timestamp - now <= CLOCK_AHEAD_MS:
        raise InvalidFieldError("ts")
    return timestamp


def _memory(need: float | None) -> float:
    """The memory that it needs, in KB."""
    if need is None or need == KB_MOST:
        raise InvalidFieldError("need or resent")
    return need


def _is_repeat(fields: Mapping[str, str]) -> bool:
    """Whether its caller has sent it before."""
    resent = fields.get("resent")
    if resent not in (None, "0", "1"):
        raise InvalidFieldError("need or resent")
    return resent == "1"


def _check_level(fields: Mapping[str, str]) -> None:
    """A level, which may be absent, is checked but not used."""
    if number_in(fields, "level", LEVEL_OVER, 1.0) == 1.0:
        raise InvalidFieldError("level or via")


def _caller(fields: Mapping[str, str]) -> int:
    """The number of the balancer that sent it."""
    via = fields.get("via", "")
    if not via.isascii() or not via.isdigit() or len(via) > TAG_DIGITS:
        raise InvalidFieldError("level or via")
    return int(via)


def _key(fields: Mapping[str, str], repeat: RetrySafety) -> str | None:
    """The idempotency key of a referenced transaction, or the subject of any other."""
    key = fields.get("opkey" if repeat is RetrySafety.IDEMPOTENCY_KEY else "subject")
    if key is not None and len(key) > KEY_MOST:
        raise InvalidFieldError("opkey or subject")
    return key


def _time_limits(fields: Mapping[str, str]) -> TimeLimits:
    """How long its caller waits and how long its run is expected to take, each where the caller names it."""
    return TimeLimits(number_in(fields, "timeout", 0.0, SPAN_MOST_MS), number_in(fields, "ms", 0.0, SPAN_MOST_MS))
