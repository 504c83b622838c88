"""The control protocol: frames, versions and limits, for the control socket and for its clients.

A frame is a length (4 bytes, big-endian) followed by that many bytes of JSON, which hold one object. The server sends
the first frame, its greeting: `{"nickelslip": NAME, "protocol": [MIN, MAX]}`. A request is
`{"protocol": N, "id": ID, "do": COMMAND, ...}`. Its reply has the same id and `"ok"`: true with the result, or false
with `"code"` and `"text"`. Requests on one connection are answered in order. This module does no I/O and does not
interpret commands.
"""

from __future__ import annotations

import struct
from typing import Any

import orjson

MIN_VERSION = 1  # the oldest and the newest version that this program supports
MAX_VERSION = 1
MIN_FRAME_BYTES = 2  # length of an empty JSON object
MAX_FRAME_BYTES = 1 << 20
FRAME_HEADER = struct.Struct(">I")
MAX_ID_LENGTH = 64
INVALID_REQUEST_CODE = "improper"  # reply code for a malformed request, whatever its command


class ControlProtocolError(Exception):
    """A message is invalid or too long. If the peer sent it, the connection can no longer be used."""


class FrameDecoder:
    """Splits received bytes into messages; buffers at most one incomplete frame.

    Args:
        max_frame_bytes: Length of the longest accepted body.
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._buffer = bytearray()
        self._max_frame_bytes = max_frame_bytes

    @property
    def has_partial_frame(self) -> bool:
        """Whether the buffer holds the beginning of an incomplete frame."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """Add received bytes and return the messages that they complete.

        Raises:
            ControlProtocolError: The length of a frame is out of bounds, or its body is not a JSON object.
        """
        self._buffer += data
        messages: list[dict[str, Any]] = []
        while (message := self._next_message()) is not None:
            messages.append(message)
        return messages

    def _next_message(self) -> dict[str, Any] | None:
        """Remove the first message from the buffer and return it, or return None if it is incomplete."""
        if len(self._buffer) < FRAME_HEADER.size:
            return None
        (length,) = FRAME_HEADER.unpack_from(self._buffer)
        if not MIN_FRAME_BYTES <= length <= self._max_frame_bytes:
            raise ControlProtocolError(f"a frame of {length} bytes")
        end = FRAME_HEADER.size + length
        if len(self._buffer) < end:
            return None
        try:
            message = orjson.loads(self._buffer[FRAME_HEADER.size : end])
        except ValueError as error:
            raise ControlProtocolError(f"not JSON: {error}") from None
        if not isinstance(message, dict):
            raise ControlProtocolError("not an object")
        del self._buffer[:end]
        return message


def encode_frame(message: dict[str, Any]) -> bytes:
    """Encode one message as a frame.

    Raises:
        ControlProtocolError: The message exceeds MAX_FRAME_BYTES.
    """
    body = orjson.dumps(message)
    if len(body) > MAX_FRAME_BYTES:
        raise ControlProtocolError(f"a message of {len(body)} bytes")
    return FRAME_HEADER.pack(len(body)) + body


def encode_greeting(server_name: str) -> bytes:
    """Return the frame that the server sends first on each connection."""
    return encode_frame({"nickelslip": server_name, "protocol": [MIN_VERSION, MAX_VERSION]})


def negotiate_version(greeting: dict[str, Any]) -> int:
    """Return the newest version that the server and this program both support.

    Raises:
        ControlProtocolError: There is no such version, or the greeting does not contain a range of versions.
    """
    match greeting.get("protocol"):
        case [int(server_min), int(server_max)]:
            pass
        case _:
            raise ControlProtocolError("no versions are told")
    if server_min > MAX_VERSION or server_max < MIN_VERSION:
        raise ControlProtocolError(
            f"the server speaks versions {server_min} to {server_max}, this program {MIN_VERSION} to {MAX_VERSION}"
        )
    return int(min(server_max, MAX_VERSION))


def request_error(message: dict[str, Any]) -> str | None:
    """Check the fields that every command has, and return the first error or None."""
    version = message.get("protocol")
    if not isinstance(version, int) or isinstance(version, bool) or not MIN_VERSION <= version <= MAX_VERSION:
        return f"versions {MIN_VERSION} to {MAX_VERSION} are spoken here"
    request_id = message.get("id")
    if not isinstance(request_id, str | int) or len(str(request_id)) > MAX_ID_LENGTH:
        return "an id is needed"
    if not isinstance(message.get("do"), str):
        return "a command is needed"
    return None


def success_reply(request: dict[str, Any], **result: Any) -> dict[str, Any]:
    """Return the reply to a request that was carried out."""
    return {"id": request.get("id"), "ok": True, **result}


def error_reply(request: dict[str, Any], code: str, text: str, **details: Any) -> dict[str, Any]:
    """Return the reply to a request that was not carried out. Clients depend on the code."""
    return {"id": request.get("id"), "ok": False, "code": code, "text": text, **details}
