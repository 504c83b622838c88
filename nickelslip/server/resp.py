"""RESP framing: bytes to arrays of bulk strings and back.

Every size is checked against its bound as soon as it can be read, before the bytes that it announces are stored.
"""

from __future__ import annotations

from typing import NamedTuple

LINE_END = b"\r\n"
ARRAY_SIGN = ord("*")
BULK_STRING_SIGN = ord("$")
MAX_PARTS = 16
MAX_MESSAGE_BYTES = 12 * 1024  # more than any part may hold, so that one a little too large can still be answered
MAX_SIZE_DIGITS = 6
MAX_SIZE_LINE_BYTES = 1 + MAX_SIZE_DIGITS + len(LINE_END)


class MalformedMessageError(Exception):
    """The stream can no longer be understood.

    Args:
        fault: What is wrong.
        parts: The parts of the last message that came before the fault.
    """

    def __init__(self, fault: str, parts: list[bytes]) -> None:
        super().__init__(fault)
        self.parts = parts


class ParsedMessage(NamedTuple):
    """The parts of a message, and the index at which the next one begins."""

    parts: list[bytes]
    end: int


def message(*parts: bytes) -> bytes:
    """Return the bytes of one array."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def parse(data: bytearray, start: int, end: int) -> ParsedMessage | None:
    """Return the message that begins at `start`; None while it is not complete.

    Args:
        data: A buffer.
        start: Where the message begins.
        end: Where the received bytes end.

    Raises:
        MalformedMessageError: What was received is no message, or one over the bounds.
    """
    parts: list[bytes] = []
    header = _parse_size_line(data, start, end, ARRAY_SIGN, MAX_PARTS, parts)
    if header is None:
        return None
    part_count, position = header
    if part_count == 0:
        raise MalformedMessageError("an empty array", parts)
    total_bytes = 0
    for _ in range(part_count):
        line = _parse_size_line(data, position, end, BULK_STRING_SIGN, MAX_MESSAGE_BYTES, parts)
        if line is None:
            return None
        part_bytes, part_start = line
        total_bytes += part_bytes
        if total_bytes > MAX_MESSAGE_BYTES:
            raise MalformedMessageError(f"a message over {MAX_MESSAGE_BYTES}", parts)
        part_end = part_start + part_bytes
        position = part_end + len(LINE_END)
        if end < position:
            return None
        if data[part_end:position] != LINE_END:
            raise MalformedMessageError("a part longer than its size", parts)
        parts.append(bytes(data[part_start:part_end]))
    return ParsedMessage(parts, position)


def _parse_size_line(
    data: bytearray, start: int, end: int, sign: int, max_size: int, parts: list[bytes]
) -> tuple[int, int] | None:
    """Return the number on a line that begins with the sign, and where the next line begins.

    None while the line is not complete. A plain tuple, as a named one is slower to make and this runs for every part.
    """
    if start >= end:
        return None
    if data[start] != sign:
        raise MalformedMessageError(f"{chr(sign)!r} was due", parts)
    line_end = data.find(LINE_END, start, min(end, start + MAX_SIZE_LINE_BYTES))
    if line_end < 0:
        if end - start >= MAX_SIZE_LINE_BYTES:
            raise MalformedMessageError("a size without an end", parts)
        return None
    digits = bytes(data[start + 1 : line_end])
    if not digits.isdigit() or int(digits) > max_size:
        raise MalformedMessageError(f"not a size, or over {max_size}", parts)
    return int(digits), line_end + len(LINE_END)
