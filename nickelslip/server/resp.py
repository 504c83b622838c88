"""RESP framing: bytes to arrays of bulk strings and back.

Owns the shape of messages on a balancer's connection, and nothing of what they mean. It does no I/O and keeps
nothing: a size is checked against its bound as soon as it can be read, before the bytes it speaks of are stored.
"""

from __future__ import annotations

PARTS_MOST = 16
BULK_MOST = 12 * 1024  # more than any part may hold, so that one a little too large can still be answered
DIGITS_MOST = 6


class MalformedMessageError(Exception):
    """The stream can no longer be understood; with the parts of its last message that came before the fault."""

    def __init__(self, fault: str, parts: list[bytes]) -> None:
        super().__init__(fault)
        self.parts = parts


def _size(data: bytearray, at: int, end: int, sign: int, most: int, parts: list[bytes]) -> tuple[int, int] | None:
    """The number on a line opened by the sign, and where the next line begins; None while it is not whole."""
    if at >= end:
        return None
    if data[at] != sign:
        raise MalformedMessageError(f"{chr(sign)!r} was due", parts)
    stop = data.find(b"\r\n", at, min(end, at + DIGITS_MOST + 3))
    if stop < 0:
        if end - at >= DIGITS_MOST + 3:
            raise MalformedMessageError("a size without an end", parts)
        return None
    digits = bytes(data[at + 1 : stop])
    if not digits.isdigit() or int(digits) > most:
        raise MalformedMessageError(f"not a size, or over {most}", parts)
    return int(digits), stop + 2


def parse(data: bytearray, start: int, end: int) -> tuple[list[bytes], int] | None:
    """The message that begins at start, and where the next one does; None while it is not whole."""
    parts: list[bytes] = []
    head = _size(data, start, end, 42, PARTS_MOST, parts)
    if head is None:
        return None
    count, at = head
    if not count:
        raise MalformedMessageError("an empty array", parts)
    total = 0
    for _ in range(count):
        head = _size(data, at, end, 36, BULK_MOST, parts)
        if head is None:
            return None
        size, at = head
        total += size
        if total > BULK_MOST:
            raise MalformedMessageError(f"a message over {BULK_MOST}", parts)
        if end < at + size + 2:
            return None
        if data[at + size : at + size + 2] != b"\r\n":
            raise MalformedMessageError("a part longer than its size", parts)
        parts.append(bytes(data[at : at + size]))
        at += size + 2
    return parts, at


def message(*parts: bytes) -> bytes:
    """The bytes of one array."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)
