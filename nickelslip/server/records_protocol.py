"""The protocol of the records service: a connection carries one call and its reply at a time.

The head of a call is `OP <id> <wait in ms> <length>`. The head of a reply is `<id> <word>` or `<id> DONE <length>`.
Each head ends in CRLF. A head with a length is followed by a body of that length and another CRLF.
"""

from __future__ import annotations

from typing import NamedTuple

from nickelslip.admission.interface import Outcome
from nickelslip.server.buffer_pool import BUFFER_BYTES
from nickelslip.server.close_reasons import CALL_OUTCOMES

LINE_END = b"\r\n"
DONE_WORD = b"DONE"
MAX_HEAD_BYTES = 64
MAX_LENGTH_DIGITS = 6
MAX_BODY_BYTES = BUFFER_BYTES - 2 * MAX_HEAD_BYTES  # a reply must fit into one buffer
LOGGED_LENGTH_BYTES = 20
HEAD_FIELD_COUNT = 2  # request id and outcome word
HEAD_FIELD_COUNT_WITH_BODY = 3  # request id, outcome word and body length


class MalformedReplyError(ValueError):
    """The received bytes are not a valid reply."""


class Reply(NamedTuple):
    """A complete reply; `end` is the index after its last byte in the buffer."""

    request_id: bytes
    outcome: Outcome
    body: bytes
    end: int


class _Head(NamedTuple):
    request_id: bytes
    word: bytes
    body_bytes: int | None  # None if no body follows
    end: int


def encode_call(request_id: str, timeout_ms: float, body: bytes) -> bytes:
    """Encode a call that the service must answer within `timeout_ms`, rounded to whole milliseconds and at least 1."""
    head = b"OP %s %d %d" % (request_id.encode(), max(1, round(timeout_ms)), len(body))
    return head + LINE_END + body + LINE_END


def decode_reply(data: bytearray, start: int, end: int) -> Reply | None:
    """Return the reply that begins at `start`, or None while it is incomplete.

    Raises:
        MalformedReplyError: The bytes are not a valid reply.
    """
    head = _decode_head(data, start, end)
    if head is None:
        return None
    outcome = CALL_OUTCOMES[head.word]
    if head.body_bytes is None:
        return Reply(head.request_id, outcome, b"", head.end)
    body_end = head.end + head.body_bytes
    reply_end = body_end + len(LINE_END)
    if end < reply_end:
        return None
    if data[body_end:reply_end] != LINE_END:
        raise MalformedReplyError("reply body is longer than its announced length")
    return Reply(head.request_id, outcome, bytes(data[head.end : body_end]), reply_end)


def _decode_head(data: bytearray, start: int, end: int) -> _Head | None:
    line_end = data.find(LINE_END, start, min(end, start + MAX_HEAD_BYTES))
    if line_end < 0:
        if end - start >= MAX_HEAD_BYTES:
            raise MalformedReplyError("reply head is not terminated")
        return None
    line = bytes(data[start:line_end])
    fields = line.split(b" ")
    if len(fields) < HEAD_FIELD_COUNT or fields[1] not in CALL_OUTCOMES:
        raise MalformedReplyError(repr(line))
    has_body = fields[1] == DONE_WORD
    if has_body is not (len(fields) == HEAD_FIELD_COUNT_WITH_BODY):
        raise MalformedReplyError(repr(line))
    body_bytes = _decode_length(fields[2]) if has_body else None
    return _Head(fields[0], fields[1], body_bytes, line_end + len(LINE_END))


def _decode_length(text: bytes) -> int:
    if not text.isdigit() or len(text) > MAX_LENGTH_DIGITS or int(text) > MAX_BODY_BYTES:
        raise MalformedReplyError(f"invalid body length {text[:LOGGED_LENGTH_BYTES]!r}")
    return int(text)
