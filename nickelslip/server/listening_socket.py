"""Opens the listening socket, and drops connections that would be lost when it is closed."""

from __future__ import annotations

import socket
import struct
from array import array
from contextlib import suppress

from nickelslip.configuration.config import Address

LISTEN_BACKLOG = 1024  # connections that the kernel queues until they are accepted
SO_ATTACH_FILTER = 26  # a Linux constant that the socket module does not define
BPF_RETURN = 0x06  # BPF instruction that ends the filter; its operand is the number of bytes to keep


def bind(address: Address) -> socket.socket:
    """Return a non-blocking listening socket bound to exactly this address."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(LISTEN_BACKLOG)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


def drop_new_connections(listener: socket.socket) -> None:
    """Make the kernel drop the packets of new connections from now on.

    A connection established between the last accept and the close would be reset together with its first request. If
    its packets are dropped instead, the client's kernel retries a second later and is refused, so the client knows
    that nothing ran. On systems without socket filters, such a reset remains possible.
    """
    keep_no_bytes = struct.pack("HBBI", BPF_RETURN, 0, 0, 0)
    instructions = array("B", keep_no_bytes)
    address, _ = instructions.buffer_info()
    instruction_count = 1
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("@HP", instruction_count, address))
