"""The listening socket: opening it, and keeping out connections that would be lost when it is closed."""

from __future__ import annotations

import socket
import struct
from array import array
from contextlib import suppress

from nickelslip.configuration.config import Address

LISTEN_BACKLOG = 1024  # connections that the system keeps until they are accepted
SO_ATTACH_FILTER = 26  # of Linux; the socket module has no name for it
BPF_RETURN = 0x06  # the instruction of a packet filter that ends it with the number of bytes to keep


def bind(address: Address) -> socket.socket:
    """Return a listening socket on this address and no other."""
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
    """Have the system drop the packets of new connections from here on.

    A connection established between the last accept and the close would be reset together with its first request. With
    its packets dropped, the client's system tries again a second later and is refused, which proves that nothing ran.
    Where the system has no such filter, that short interval stays.
    """
    keep_no_bytes = struct.pack("HBBI", BPF_RETURN, 0, 0, 0)
    instructions = array("B", keep_no_bytes)
    address, _ = instructions.buffer_info()
    instruction_count = 1
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("@HP", instruction_count, address))
