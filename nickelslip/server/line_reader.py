"""Splits the data received from the worker pool into lines."""

from __future__ import annotations

from typing import NamedTuple

from nickelslip.server.buffer_pool import BUFFER_BYTES
from nickelslip.server.streams import Stream


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
