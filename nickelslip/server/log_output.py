"""Log output that never blocks the server."""

from __future__ import annotations

import os
import select
from collections.abc import MutableMapping
from typing import Any

import structlog

MAX_LINE_BYTES = select.PIPE_BUF  # a pipe that is ready for writing takes a line of this length without blocking
MAX_TRACEBACK_CHARACTERS = MAX_LINE_BYTES // 2


class LogWriter:
    """Writes log lines to a file descriptor. A line whose write would block is dropped and counted.

    Args:
        descriptor: The file descriptor.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._dropped_count = 0

    def msg(self, text: str) -> None:
        """Write one line, a JSON object; add the number of lines that were dropped since the last one written.

        A line that is too long is truncated.
        """
        if self._dropped_count:
            text = f'{text[:-1]},"lines_lost":{self._dropped_count}}}'
        data = text.encode("utf-8", "replace")[: MAX_LINE_BYTES - 1] + b"\n"
        if self._write(data):
            self._dropped_count = 0
        else:
            self._dropped_count += 1

    debug = info = warning = error = critical = exception = msg

    def _write(self, data: bytes) -> bool:
        """Write without blocking; return False if the descriptor is not ready for writing, or the write fails."""
        try:
            if not select.select([], [self._descriptor], [], 0)[1]:
                return False
            os.write(self._descriptor, data)
        except (OSError, ValueError):
            return False
        return True


def configure_logging(descriptor: int) -> None:
    """Configure structlog to write JSON lines to a file descriptor."""
    writer = LogWriter(descriptor)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            _shorten_traceback,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=lambda *_: writer,
        wrapper_class=structlog.BoundLogger,
        cache_logger_on_first_use=True,
    )


def _shorten_traceback(_logger: Any, _name: str, fields: MutableMapping[str, Any]) -> MutableMapping[str, Any]:
    """Keep only the end of a traceback, which names the cause, so that it fits into a line."""
    if "exception" in fields:
        fields["exception"] = str(fields["exception"])[-MAX_TRACEBACK_CHARACTERS:]
    return fields
