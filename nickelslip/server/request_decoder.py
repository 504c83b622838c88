"""Decoding of load balancers' messages: the tag of any message, and the request in an ASK message.

An ASK contains, after its tag, the traffic class, a list of fields and an optional body. The constants below map the
field names on the wire to the terms used in the code.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from nickelslip.admission.interface import RetrySafety
from nickelslip.server.requests import ReceivedRequest

# Field names on the wire.
ID_FIELD = "req"
TENANT_FIELD = "owner"
RECEIVED_AT_FIELD = "ts"
MEMORY_FIELD = "need"
IS_RETRY_FIELD = "resent"
LEVEL_FIELD = "level"
LOAD_BALANCER_FIELD = "via"
IDEMPOTENCY_KEY_FIELD = "opkey"
SUBJECT_FIELD = "subject"
TIMEOUT_FIELD = "timeout"
COST_HINT_FIELD = "ms"

# Texts of InvalidFieldError for checks that are not about a single field.
PARTS = "parts"
TEXT = "text"
TOO_MANY_FIELDS = "too many fields"
CLASS_OR_BODY = "traffic class or body"
MEMORY_OR_RETRY = f"{MEMORY_FIELD} or {IS_RETRY_FIELD}"
LEVEL_OR_LOAD_BALANCER = f"{LEVEL_FIELD} or {LOAD_BALANCER_FIELD}"
KEY_OR_SUBJECT = f"{IDEMPOTENCY_KEY_FIELD} or {SUBJECT_FIELD}"

MIN_PARTS = 2  # traffic class and fields
MAX_PARTS = 3  # traffic class, fields and body
MAX_FIELDS = 64  # far more than the protocol has
MAX_BODY_BYTES = 2 * 1024
MAX_MEMORY_KB = 2000.0  # exclusive
MAX_KEY_CHARACTERS = 256
MAX_TAG_DIGITS = 18
ID_DIGIT_COUNT = 16
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
MAX_TIMESTAMP_MS = 1e15
MAX_DURATION_MS = 86_400_000.0  # one day
MIN_COST_HINT_MS = 0.001  # exclusive; no run is shorter than a microsecond
MAX_CLOCK_SKEW_MS = 1000.0  # a client's clock may be ahead of this server's by this much
MAX_LEVEL = 1.0  # exclusive
MIN_LEVEL = -1e-9  # exclusive, so that a level of 0 is allowed


class InvalidFieldError(Exception):
    """A request is refused; the text is the name of the invalid field on the wire, or describes the failed check."""


class RequestHead(NamedTuple):
    """The parts of an ASK after its tag."""

    traffic_class: str
    field_list: str
    body: bytes


class Identity(NamedTuple):
    """The identifier and the tenant of a request."""

    id_hex: str
    tenant: str | None


class TimeLimits(NamedTuple):
    """How long the client waits for the answer, and how long the run is expected to take."""

    timeout_ms: float | None
    cost_hint_ms: float | None


def decode_tag(parts: list[bytes]) -> int:
    """Return the tag of a message, or 0 if it is missing or invalid."""
    digits = parts[1] if len(parts) > 1 else b""
    if not digits.isdigit() or len(digits) > MAX_TAG_DIGITS:
        return 0
    return int(digits)


def decode_request(
    parts: list[bytes],
    retry_safety_by_class: Mapping[str, RetrySafety],
    tenants: frozenset[str],
    now_ms: float,
    max_timeout_ms: float,
) -> ReceivedRequest:
    """Decode the request in an ASK.

    If several fields are invalid, the order of the steps determines which one is reported: the arrival time and the
    memory are both parsed as numbers before either is validated further.

    Args:
        parts: The parts after the tag.
        retry_safety_by_class: The known traffic classes; the retry safety determines which field contains the key.
        tenants: The known tenants; if there are none, every tenant is accepted.
        now_ms: Current Unix time in milliseconds.
        max_timeout_ms: The longest time that any client waits for an answer.

    Raises:
        InvalidFieldError: A part is invalid, or a field is missing, repeated or out of range.
    """
    head = _decode_head(parts)
    fields = _decode_fields(head.field_list)
    identity = _decode_identity(head, fields, retry_safety_by_class, tenants)
    timestamp_ms = _decode_number(fields, RECEIVED_AT_FIELD, 0.0, MAX_TIMESTAMP_MS)
    memory_kb = _decode_number(fields, MEMORY_FIELD, 0.0, MAX_MEMORY_KB)
    received_at_ms = _validate_arrival_time(timestamp_ms, now_ms, max_timeout_ms)
    valid_memory_kb = _validate_memory(memory_kb)
    is_retry = _decode_is_retry(fields)
    _check_level(fields)
    load_balancer = _decode_load_balancer(fields)
    key = _decode_key(fields, retry_safety_by_class[head.traffic_class])
    limits = _decode_time_limits(fields)
    return ReceivedRequest(
        id_hex=identity.id_hex,
        traffic_class=head.traffic_class,
        body=head.body,
        received_at_ms=received_at_ms,
        memory_kb=valid_memory_kb,
        tenant=identity.tenant,
        timeout_ms=limits.timeout_ms,
        cost_hint_ms=limits.cost_hint_ms,
        is_retry=is_retry,
        load_balancer=load_balancer,
        key=key,
    )


def _decode_head(parts: list[bytes]) -> RequestHead:
    if not MIN_PARTS <= len(parts) <= MAX_PARTS:
        raise InvalidFieldError(PARTS)
    try:
        traffic_class = parts[0].decode()
        field_list = parts[1].decode()
    except UnicodeDecodeError:
        raise InvalidFieldError(TEXT) from None
    body = parts[2] if len(parts) == MAX_PARTS else b""
    return RequestHead(traffic_class, field_list, body)


def _decode_fields(field_list: str) -> dict[str, str]:
    """Return the fields by their names, from `name=value` pairs separated by commas."""
    if field_list.count(",") >= MAX_FIELDS:
        raise InvalidFieldError(TOO_MANY_FIELDS)
    fields: dict[str, str] = {}
    for pair in field_list.split(","):
        name, separator, value = pair.partition("=")
        if not separator or not value or name in fields:
            raise InvalidFieldError(name)
        fields[name] = value
    return fields


def _decode_number(fields: Mapping[str, str], name: str, exclusive_min: float, max_value: float) -> float | None:
    """Return the number in a field, above `exclusive_min` and at most `max_value`; None if the field is absent.

    Underscores between digits are rejected, although Python accepts them.
    """
    text = fields.get(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        raise InvalidFieldError(name) from None
    if not math.isfinite(value) or not exclusive_min < value <= max_value or "_" in text:
        raise InvalidFieldError(name)
    return value


def _decode_identity(
    head: RequestHead,
    fields: Mapping[str, str],
    retry_safety_by_class: Mapping[str, RetrySafety],
    tenants: frozenset[str],
) -> Identity:
    """Return the request's id and tenant; also check the traffic class and the size of the body."""
    id_hex = fields.get(ID_FIELD, "")
    if len(id_hex) != ID_DIGIT_COUNT or not HEX_DIGITS.issuperset(id_hex):
        raise InvalidFieldError(ID_FIELD)
    if head.traffic_class not in retry_safety_by_class or len(head.body) > MAX_BODY_BYTES:
        raise InvalidFieldError(CLASS_OR_BODY)
    tenant = fields.get(TENANT_FIELD)
    if tenants and tenant not in tenants:
        raise InvalidFieldError(TENANT_FIELD)
    return Identity(id_hex, tenant)


def _validate_arrival_time(timestamp_ms: float | None, now_ms: float, max_timeout_ms: float) -> float:
    """Return when the request reached the machine.

    A time longer ago than any client waits, or too far in the future, is rejected. Otherwise a wrong clock would make
    this server appear slow, since the read delay is computed from this time.
    """
    if timestamp_ms is None or not -max_timeout_ms <= timestamp_ms - now_ms <= MAX_CLOCK_SKEW_MS:
        raise InvalidFieldError(RECEIVED_AT_FIELD)
    return timestamp_ms


def _validate_memory(memory_kb: float | None) -> float:
    if memory_kb is None or memory_kb == MAX_MEMORY_KB:
        raise InvalidFieldError(MEMORY_OR_RETRY)
    return memory_kb


def _decode_is_retry(fields: Mapping[str, str]) -> bool:
    flag = fields.get(IS_RETRY_FIELD)
    if flag not in (None, "0", "1"):
        raise InvalidFieldError(MEMORY_OR_RETRY)
    return flag == "1"


def _check_level(fields: Mapping[str, str]) -> None:
    """Validate the level, which is optional and not used otherwise."""
    if _decode_number(fields, LEVEL_FIELD, MIN_LEVEL, MAX_LEVEL) == MAX_LEVEL:
        raise InvalidFieldError(LEVEL_OR_LOAD_BALANCER)


def _decode_load_balancer(fields: Mapping[str, str]) -> int:
    """Return the number of the load balancer that sent the request."""
    digits = fields.get(LOAD_BALANCER_FIELD, "")
    if not digits.isascii() or not digits.isdigit() or len(digits) > MAX_TAG_DIGITS:
        raise InvalidFieldError(LEVEL_OR_LOAD_BALANCER)
    return int(digits)


def _decode_key(fields: Mapping[str, str], retry_safety: RetrySafety) -> str | None:
    """Return the idempotency key of a request whose traffic class has one, or the subject of any other."""
    has_key = retry_safety is RetrySafety.IDEMPOTENCY_KEY
    key = fields.get(IDEMPOTENCY_KEY_FIELD if has_key else SUBJECT_FIELD)
    if key is not None and len(key) > MAX_KEY_CHARACTERS:
        raise InvalidFieldError(KEY_OR_SUBJECT)
    return key


def _decode_time_limits(fields: Mapping[str, str]) -> TimeLimits:
    timeout_ms = _decode_number(fields, TIMEOUT_FIELD, 0.0, MAX_DURATION_MS)
    cost_hint_ms = _decode_number(fields, COST_HINT_FIELD, MIN_COST_HINT_MS, MAX_DURATION_MS)
    return TimeLimits(timeout_ms, cost_hint_ms)
