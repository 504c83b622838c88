"""RESP framing: encodes and parses arrays of bulk strings.

Each size is checked against its limit as soon as it has been read, before the bytes that it announces are stored.
"""

from __future__ import annotations

from typing import NamedTuple

LINE_END = b"\r\n"
ARRAY_SIGN = ord("*")
BULK_STRING_SIGN = ord("$")
MAX_PARTS = 16
MAX_MESSAGE_BYTES = 12 * 1024  # above the limit of any part, so that a slightly oversized part can still be answered
MAX_SIZE_DIGITS = 6
MAX_SIZE_LINE_BYTES = 1 + MAX_SIZE_DIGITS + len(LINE_END)


class MalformedMessageError(Exception):
    """The received bytes are not a valid message, and the stream cannot be resynchronized.

    Args:
        fault: A description of the error.
        parts: The parts of the message that were parsed before the error.
    """

    def __init__(self, fault: str, parts: list[bytes]) -> None:
        super().__init__(fault)
        self.parts = parts


class ParsedMessage(NamedTuple):
    """The parts of a message, and the index at which the next message begins."""

    parts: list[bytes]
    end: int


def message(*parts: bytes) -> bytes:
    """Encode the parts as one array."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


def parse(data: bytearray, start: int, end: int) -> ParsedMessage | None:
    """Return the message that begins at `start`, or None while it is incomplete.

    Args:
        data: The buffer.
        start: The index at which the message begins.
        end: The index after the last received byte.

    Raises:
        MalformedMessageError: The received bytes are not a message, or the message exceeds a limit.
    """
    parts: list[bytes] = []
    header = _parse_size_line(data, start, end, ARRAY_SIGN, MAX_PARTS, parts)
    if header is None:
        return None
    part_count, position = header
    if part_count == 0:
        raise MalformedMessageError("the array is empty", parts)
    total_bytes = 0
    for _ in range(part_count):
        line = _parse_size_line(data, position, end, BULK_STRING_SIGN, MAX_MESSAGE_BYTES, parts)
        if line is None:
            return None
        part_bytes, part_start = line
        total_bytes += part_bytes
        if total_bytes > MAX_MESSAGE_BYTES:
            raise MalformedMessageError(f"message exceeds {MAX_MESSAGE_BYTES} bytes", parts)
        part_end = part_start + part_bytes
        position = part_end + len(LINE_END)
        if end < position:
            return None
        if data[part_end:position] != LINE_END:
            raise MalformedMessageError("bulk string is longer than its announced size", parts)
        parts.append(bytes(data[part_start:part_end]))
    return ParsedMessage(parts, position)


def _parse_size_line(
    data: bytearray, start: int, end: int, sign: int, max_size: int, parts: list[bytes]
) -> tuple[int, int] | None:
    """Return the size on a line that begins with `sign`, and the index of the next line; None while incomplete.

    The result is a plain tuple because a named tuple is slower to create and this function runs for every part.
    """
    if start >= end:
        return None
    if data[start] != sign:
        raise MalformedMessageError(f"expected {chr(sign)!r}", parts)
    line_end = data.find(LINE_END, start, min(end, start + MAX_SIZE_LINE_BYTES))
    if line_end < 0:
        if end - start >= MAX_SIZE_LINE_BYTES:
            raise MalformedMessageError("size line is not terminated", parts)
        return None
    digits = bytes(data[start + 1 : line_end])
    if not digits.isdigit() or int(digits) > max_size:
        raise MalformedMessageError(f"size is not a number, or exceeds {max_size}", parts)
    return int(digits), line_end + len(LINE_END)
