"""The control protocol: frames, versions and limits, for the control socket and for its clients.

A frame is its length (4 bytes, big-endian) and so many bytes of JSON, one object. The server speaks first:
`{"nickelslip": NAME, "protocol": [MIN, MAX]}`. A request is `{"protocol": N, "id": ID, "do": COMMAND, ...}`; its reply
has the same id and `"ok"`: true with the result, or false with `"code"` and `"text"`. Requests of one connection are
answered in order. This module does no I/O and does not interpret commands.
"""

from __future__ import annotations

import struct
from typing import Any

import orjson

MIN_VERSION = 1  # the oldest and the newest version that this program speaks
MAX_VERSION = 1
MIN_FRAME_BYTES = 2  # an empty object
MAX_FRAME_BYTES = 1 << 20
FRAME_HEADER = struct.Struct(">I")
MAX_ID_LENGTH = 64
INVALID_REQUEST_CODE = "improper"  # of a request that is malformed, whatever its command


class ControlProtocolError(Exception):
    """The peer sent something that is no message of this protocol; the connection cannot be used any more."""


class FrameDecoder:
    """Splits received bytes into messages; buffers at most one incomplete frame.

    Args:
        max_frame_bytes: The longest body that is accepted.
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._buffer = bytearray()
        self._max_frame_bytes = max_frame_bytes

    @property
    def has_partial_frame(self) -> bool:
        """Whether a frame has begun and not ended."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """Return the messages that are complete with these bytes.

        Raises:
            ControlProtocolError: A frame has a length out of bounds, or its body is no JSON object.
        """
        self._buffer += data
        messages: list[dict[str, Any]] = []
        while (message := self._next_message()) is not None:
            messages.append(message)
        return messages

    def _next_message(self) -> dict[str, Any] | None:
        """Remove the first message from the buffer; None if it is not complete."""
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
    """Return the frame of one message.

    Raises:
        ControlProtocolError: The message exceeds MAX_FRAME_BYTES.
    """
    body = orjson.dumps(message)
    if len(body) > MAX_FRAME_BYTES:
        raise ControlProtocolError(f"a message of {len(body)} bytes")
    return FRAME_HEADER.pack(len(body)) + body


def encode_greeting(server_name: str) -> bytes:
    """Return the frame with which the server opens a connection."""
    return encode_frame({"nickelslip": server_name, "protocol": [MIN_VERSION, MAX_VERSION]})


def negotiate_version(greeting: dict[str, Any]) -> int:
    """Return the newest version that the greeting's sender and this program both speak.

    Raises:
        ControlProtocolError: There is none, or the greeting names no versions.
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
    """Return what is wrong with a request whatever its command, or None."""
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
    """Return the reply to a request that was not carried out; clients depend on the code."""
    return {"id": request.get("id"), "ok": False, "code": code, "text": text, **details}
