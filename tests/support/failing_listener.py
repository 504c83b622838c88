"""A listening socket whose `accept` calls fail."""

from __future__ import annotations

import socket


class FailingListener:
    """Wraps a listening socket and makes the next `accept` calls fail, one for each error code.

    Args:
        listener: The socket that handles every other call.
        codes: The `errno` value of each failure, in order.

    Attributes:
        codes: The `errno` values of the failures still to come.
        accept_count: The number of calls to `accept`, failed ones included.
    """

    def __init__(self, listener: socket.socket, *codes: int) -> None:
        self._listener = listener
        self.codes = list(codes)
        self.accept_count = 0

    def accept(self) -> tuple[socket.socket, object]:
        """Raise `OSError` with the next code; once all codes are used, accept a connection."""
        self.accept_count += 1
        if self.codes:
            raise OSError(self.codes.pop(0), "simulated accept failure")
        return self._listener.accept()

    def __getattr__(self, name: str) -> object:
        return getattr(self._listener, name)
