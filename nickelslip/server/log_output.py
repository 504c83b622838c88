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
    """Writes log lines to a file descriptor; a line that would block is dropped and counted.

    Args:
        descriptor: The file descriptor.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lost_count = 0

    def msg(self, text: str) -> None:
        """Write one line, a JSON object, with the number of lines that were dropped before it.

        Lines that are too long are cut.
        """
        if self._lost_count:
            text = f'{text[:-1]},"lines_lost":{self._lost_count}}}'
        data = text.encode("utf-8", "replace")[: MAX_LINE_BYTES - 1] + b"\n"
        if self._write(data):
            self._lost_count = 0
        else:
            self._lost_count += 1

    debug = info = warning = error = critical = exception = msg

    def _write(self, data: bytes) -> bool:
        """Write now, or return False if the descriptor is not ready or closed."""
        try:
            if not select.select([], [self._descriptor], [], 0)[1]:
                return False
            os.write(self._descriptor, data)
        except (OSError, ValueError):
            return False
        return True


def configure_logging(descriptor: int) -> None:
    """Have structlog write JSON lines to a file descriptor."""
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
    """Keep the end of a traceback, which names the cause, so that it fits into a line."""
    if "exception" in fields:
        fields["exception"] = str(fields["exception"])[-MAX_TRACEBACK_CHARACTERS:]
    return fields
