"""A listening socket whose accepts fail."""

from __future__ import annotations

import socket


class FailingListener:
    """A listening socket whose next accepts fail with these codes, one after the other.

    Args:
        real: The socket that everything else is passed to.
        codes: The errno of each failure.

    Attributes:
        accept_count: How many times accept was called.
    """

    def __init__(self, real: socket.socket, *codes: int) -> None:
        self._real = real
        self.codes = list(codes)
        self.accept_count = 0

    def accept(self) -> tuple[socket.socket, object]:
        """Fail with the next code, or accept once there is none left."""
        self.accept_count += 1
        if self.codes:
            raise OSError(self.codes.pop(0), "made up")
        return self._real.accept()

    def __getattr__(self, name: str) -> object:
        return getattr(self._real, name)
