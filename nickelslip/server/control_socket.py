"""The control socket: a local door for operators and tools.

Owns the listening Unix socket and its connections: framing, versions, how many there may be and how long a peer may
take. It must never do what a command says; it hands it on and brings the result. Nothing that a peer sends, or leaves
unsent, holds up the server or another peer.
"""

from __future__ import annotations

import os
import socket
import stat
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import anyio

from nickelslip.configuration.change_lifecycle import Denied
from nickelslip.configuration.control_protocol import (
    ControlProtocolError,
    Frames,
    accepted,
    denied,
    framed,
    hello,
    request_fault,
)
from nickelslip.configuration.validation import InvalidDocumentError
from nickelslip.server.close_reasons import CloseReason, ConnectionClosedError
from nickelslip.server.interfaces import ServerContext
from nickelslip.server.streams import Stream

CONNECTIONS_MOST = 8
HALF_S = 3.0  # from the begin of a message to its end, and for taking a reply
IDLE_S = 120.0  # between two messages
BACKLOG = 16
BACKLOG_MOST = 64 * 1024  # unread replies over which no more is read from a peer
ACCEPT_PAUSE_S = 0.05


def unused(path: str) -> None:
    """Take a socket out of the way that a server left behind. Raises OSError where one still listens there, or where
    something else stands there."""
    try:
        kind = os.lstat(path).st_mode
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(kind):
        raise FileExistsError(17, "something that is no socket stands there", path)
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.settimeout(1.0)
        try:
            probe.connect(path)
        except (ConnectionRefusedError, FileNotFoundError):
            with suppress(FileNotFoundError):
                os.unlink(path)
            return
    raise OSError(98, "another server listens there", path)


class ControlSocket:
    """The door of one server."""

    def __init__(
        self,
        around: ServerContext,
        path: str,
        mode: int,
        command: Callable[[dict[str, Any]], Awaitable[dict[str, Any]]],
    ) -> None:
        self._around, self._path, self._mode, self._command = around, path, mode, command
        self.open = 0

    async def run(self) -> None:
        """Serve until the server ends; a door that cannot be opened is said, and the server serves without it."""
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            unused(self._path)
            listener.bind(self._path)
            os.chmod(self._path, self._mode)  # before it listens: until then nobody gets in
            listener.listen(BACKLOG)
            listener.setblocking(False)
        except OSError as error:
            listener.close()
            self._around.log.error("control_socket_unavailable", path=self._path, error=error.strerror)
            return
        self._around.log.info("control_socket_listening", path=self._path, mode=oct(self._mode))
        try:
            while True:
                await anyio.wait_readable(listener)
                try:
                    sock, _ = listener.accept()
                except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                    continue
                except OSError:  # no descriptor: the peers of the service go first
                    await anyio.sleep(ACCEPT_PAUSE_S)
                    continue
                if self.open >= CONNECTIONS_MOST:
                    sock.close()
                    continue
                self.open += 1
                self._around.task_group.start_soon(self._serve, sock)
        finally:
            listener.close()
            with suppress(OSError):
                os.unlink(self._path)

    async def _serve(self, sock: socket.socket) -> None:
        """One peer. Whatever it does, it does to its own connection."""
        stream = Stream(sock, self._around.buffers, self._around.task_group, HALF_S * 1000, BACKLOG_MOST)
        ending = CloseReason.SHUTDOWN
        try:
            await self._talk(stream)
        except ConnectionClosedError as ended:
            ending = ended.reason
        except ControlProtocolError as improper:
            ending = CloseReason.MALFORMED
            stream.write(framed(denied({}, "improper", str(improper))))
        except Exception as error:  # this peer alone is left without its answer
            ending = CloseReason.FAULT
            self._around.log.error("control_connection_failed", error=repr(error), exc_info=error)
        finally:
            stream.end_with(ending)
            self.open -= 1

    async def _talk(self, stream: Stream) -> None:
        stream.write(hello(self._around.generation.config.name))
        frames, began = Frames(), time.monotonic()  # the message under way, or the pause between two
        while True:
            left = began + (HALF_S if frames.half else IDLE_S) - time.monotonic()
            await stream.fill(left * 1000)
            if stream.data is None:
                continue
            was_half = frames.half
            messages = frames.feed(bytes(stream.data[stream.start : stream.end]))
            stream.take(stream.end)
            if messages or not was_half:
                began = time.monotonic()
            for message in messages:
                stream.write(framed(await self._reply(message)))
                await stream.room()

    async def _reply(self, request: dict[str, Any]) -> dict[str, Any]:
        if (fault := request_fault(request)) is not None:
            return denied(request, "improper", fault)
        try:
            return accepted(request, **await self._command(request))
        except Denied as refusal:
            return denied(request, refusal.denial.name.lower(), str(refusal))
        except InvalidDocumentError as faulty:
            return denied(
                request,
                "faulty",
                str(faulty),
                faults=[each.as_dict() for each in faulty.faults],
                left_out=faulty.omitted_count,
            )
