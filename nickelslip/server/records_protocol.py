"""The protocol of the records service: one call out, and one reply in, on a connection at a time.

A call is `OP <id> <wait in ms> <length>`, a reply `<id> <word>` or `<id> DONE <length>`; each head ends in CRLF, and a
body of the given length follows with another CRLF.
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
MAX_BODY_BYTES = BUFFER_BYTES - 2 * MAX_HEAD_BYTES  # a reply has to fit into a buffer
LOGGED_LENGTH_BYTES = 20
HEAD_FIELD_COUNT = 2  # the request's id and the word for the outcome
HEAD_FIELD_COUNT_WITH_BODY = 3  # and the length of the body


class MalformedReplyError(ValueError):
    """Bytes that are no reply of this protocol."""


class Reply(NamedTuple):
    """A complete reply; it ends before the offset `end` of the buffer."""

    request_id: bytes
    outcome: Outcome
    body: bytes
    end: int


class _Head(NamedTuple):
    request_id: bytes
    word: bytes
    body_bytes: int | None  # None where no body follows
    end: int


def encode_call(request_id: str, wait_ms: float, body: bytes) -> bytes:
    """Return a call that the service is to answer within `wait_ms`, as whole milliseconds and at least one."""
    head = b"OP %s %d %d" % (request_id.encode(), max(1, round(wait_ms)), len(body))
    return head + LINE_END + body + LINE_END


def decode_reply(data: bytearray, start: int, end: int) -> Reply | None:
    """Return the reply that begins at `start`; None where it is not complete before `end`.

    Raises:
        MalformedReplyError: The bytes are no reply.
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
        raise MalformedReplyError("a reply that is longer than its length")
    return Reply(head.request_id, outcome, bytes(data[head.end : body_end]), reply_end)


def _decode_head(data: bytearray, start: int, end: int) -> _Head | None:
    line_end = data.find(LINE_END, start, min(end, start + MAX_HEAD_BYTES))
    if line_end < 0:
        if end - start >= MAX_HEAD_BYTES:
            raise MalformedReplyError("a line without an end")
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
        raise MalformedReplyError(f"a length of {text[:LOGGED_LENGTH_BYTES]!r}")
    return int(text)
