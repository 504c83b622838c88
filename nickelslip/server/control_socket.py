"""The control socket: a local Unix socket for operators and tools.

This module accepts connections, reads requests and writes replies; a handler executes the commands. A peer that is slow
or sends invalid data delays neither the server nor other peers.
"""

from __future__ import annotations

import errno
import os
import socket
import stat
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import anyio

from nickelslip.configuration.change_lifecycle import ChangeRejectedError, RejectionReason
from nickelslip.configuration.control_protocol import (
    INVALID_REQUEST_CODE,
    ControlProtocolError,
    FrameDecoder,
    encode_frame,
    encode_greeting,
    error_reply,
    request_error,
    success_reply,
)
from nickelslip.configuration.validation import InvalidDocumentError
from nickelslip.server.close_reasons import CloseReason, ConnectionClosedError
from nickelslip.server.control_words import REJECTION_CODES
from nickelslip.server.interfaces import ServerContext
from nickelslip.server.streams import Stream

MAX_CONNECTIONS = 8
MESSAGE_TIMEOUT_S = 3.0  # for receiving a message from its first byte to its last, and for sending a reply
IDLE_TIMEOUT_S = 120.0  # between two messages
LISTEN_BACKLOG = 16
MAX_UNREAD_REPLY_BYTES = 64 * 1024  # if more is unread, the server reads no further requests from that peer
ACCEPT_RETRY_S = 0.05
PROBE_TIMEOUT_S = 1.0
MS_PER_S = 1000

CommandHandler = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


def remove_stale_socket(path: str) -> None:
    """Remove the socket of a server that no longer runs, if there is one.

    Raises:
        OSError: A server still listens on the socket, or the file is not a socket.
    """
    try:
        mode = os.lstat(path).st_mode
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(mode):
        raise FileExistsError(errno.EEXIST, "the file is not a socket", path)
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.settimeout(PROBE_TIMEOUT_S)
        try:
            probe.connect(path)
        except (ConnectionRefusedError, FileNotFoundError):
            with suppress(FileNotFoundError):
                os.unlink(path)
            return
    raise OSError(errno.EADDRINUSE, "another server listens on the socket", path)


class ControlSocket:
    """The control socket of one server.

    Args:
        context: The server.
        path: Path of the socket.
        mode: File mode of the socket.
        command: Executes a request and returns the result for its reply.

    Attributes:
        open_connection_count: Number of open connections.
    """

    def __init__(self, context: ServerContext, path: str, mode: int, command: CommandHandler) -> None:
        self._context = context
        self._path = path
        self._mode = mode
        self._command = command
        self.open_connection_count = 0

    async def run(self) -> None:
        """Serve until cancelled; return at once if the socket cannot be opened."""
        listener = self._listen()
        if listener is None:
            return
        try:
            while True:
                await self._accept(listener)
        finally:
            listener.close()
            with suppress(OSError):
                os.unlink(self._path)

    def _listen(self) -> socket.socket | None:
        """Return the listening socket, or None if it cannot be opened."""
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            remove_stale_socket(self._path)
            listener.bind(self._path)
            os.chmod(self._path, self._mode)  # before listen(), so that no peer connects with the default permissions
            listener.listen(LISTEN_BACKLOG)
            listener.setblocking(False)
        except OSError as error:
            listener.close()
            self._context.log.error("control_socket_unavailable", path=self._path, error=error.strerror)
            return None
        self._context.log.info("control_socket_listening", path=self._path, mode=oct(self._mode))
        return listener

    async def _accept(self, listener: socket.socket) -> None:
        """Wait for a connection and start to serve it."""
        await anyio.wait_readable(listener)
        try:
            connection, _ = listener.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return
        except OSError:  # no file descriptor is free; connections of load balancers have priority
            await anyio.sleep(ACCEPT_RETRY_S)
            return
        if self.open_connection_count >= MAX_CONNECTIONS:
            connection.close()
            return
        self.open_connection_count += 1
        self._context.task_group.start_soon(self._serve, connection)

    async def _serve(self, connection: socket.socket) -> None:
        """Serve one peer; an error closes only its connection."""
        context = self._context
        timeout_ms = MESSAGE_TIMEOUT_S * MS_PER_S
        stream = Stream(connection, context.buffers, context.task_group, timeout_ms, MAX_UNREAD_REPLY_BYTES)
        reason = CloseReason.SHUTDOWN
        try:
            await self._answer_requests(stream)
        except ConnectionClosedError as error:
            reason = error.reason
        except ControlProtocolError as error:
            reason = CloseReason.MALFORMED
            stream.write(encode_frame(error_reply({}, INVALID_REQUEST_CODE, str(error))))
        except Exception as error:
            reason = CloseReason.FAULT
            context.log.error("control_connection_failed", error=repr(error), exc_info=error)
        finally:
            stream.abort(reason)
            self.open_connection_count -= 1

    async def _answer_requests(self, stream: Stream) -> None:
        """Answer the requests of one connection, in order."""
        stream.write(encode_greeting(self._context.generation.config.name))
        decoder = FrameDecoder()
        started_s = time.monotonic()  # start of the partial message, or of the idle time between messages
        while True:
            timeout_s = MESSAGE_TIMEOUT_S if decoder.has_partial_frame else IDLE_TIMEOUT_S
            remaining_s = started_s + timeout_s - time.monotonic()
            await stream.fill(remaining_s * MS_PER_S)
            if stream.data is None:
                continue
            had_partial_frame = decoder.has_partial_frame
            messages = decoder.feed(bytes(stream.data[stream.start : stream.end]))
            stream.consume(stream.end)
            if messages or not had_partial_frame:
                started_s = time.monotonic()
            for message in messages:
                stream.write(encode_frame(await self._reply(message)))
                await stream.wait_until_backlog_shrinks()

    async def _reply(self, request: dict[str, Any]) -> dict[str, Any]:
        """Return the reply to one request."""
        error_text = request_error(request)
        if error_text is not None:
            return error_reply(request, INVALID_REQUEST_CODE, error_text)
        try:
            return success_reply(request, **await self._command(request))
        except ChangeRejectedError as error:
            return error_reply(request, REJECTION_CODES[error.reason], str(error))
        except InvalidDocumentError as error:
            return error_reply(
                request,
                REJECTION_CODES[RejectionReason.INVALID_DOCUMENT],
                str(error),
                faults=[fault.as_dict() for fault in error.faults],
                left_out=error.omitted_count,
            )
