"""Connects to the servers that this one depends on."""

from __future__ import annotations

import os
import socket
from math import inf

import anyio
from anyio.abc import TaskGroup

from nickelslip.configuration.config import Address
from nickelslip.server.buffer_pool import BufferPool
from nickelslip.server.close_reasons import CloseReason, ConnectionClosedError
from nickelslip.server.streams import Stream

CONNECT_TIMEOUT_S = 1.0


async def connect(
    address: Address,
    buffers: BufferPool,
    task_group: TaskGroup,
    max_backlog_bytes: int,
    stall_timeout_ms: float = inf,
) -> Stream:
    """Connect to the address and return a stream, which may use the reserved buffers.

    Args:
        address: The numeric host address and the port.
        buffers: The pool of buffers.
        task_group: The task group in which the stream sends its backlog.
        max_backlog_bytes: See `Stream`.
        stall_timeout_ms: See `Stream`.

    Raises:
        ConnectionClosedError: The connection could not be established, so nothing has been sent.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    try:
        sock = socket.socket(family, socket.SOCK_STREAM)
    except OSError as error:  # e.g. no file descriptor is left
        raise ConnectionClosedError(CloseReason.REFUSED, str(error)) from None
    try:
        await _establish(sock, address)
    except OSError as error:  # includes TimeoutError
        sock.close()
        raise ConnectionClosedError(CloseReason.REFUSED, str(error)) from None
    except BaseException:
        sock.close()
        raise
    return Stream(sock, buffers, task_group, stall_timeout_ms, max_backlog_bytes, may_use_reserve=True)


async def _establish(sock: socket.socket, address: Address) -> None:
    sock.setblocking(False)
    try:
        sock.connect(address)
        return
    except BlockingIOError:
        pass
    with anyio.fail_after(CONNECT_TIMEOUT_S):
        await anyio.wait_writable(sock)
    error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error_number:
        raise OSError(error_number, os.strerror(error_number))
