"""The control protocol: frames, versions and bounds, for the daemon's socket and for whoever calls it.

Owns the form of a message and the check of what a peer sends. It does no I/O and knows no command's meaning. A frame
is its length (4 bytes, the most significant first) and so many bytes of JSON, one object. The server speaks first:
`{"nickelslip": NAME, "protocol": [LEAST, MOST]}`. A request is `{"protocol": N, "id": ID, "do": COMMAND, ...}`; its
reply has the same id and `"ok"`: true with the result, or false with `"code"` and `"text"`. Requests of one
connection are answered in order.
"""

from __future__ import annotations

import struct
from typing import Any

import orjson

LEAST, MOST = 1, 1  # versions of the protocol that this program speaks
FRAME_MOST = 1 << 20
HEAD = struct.Struct(">I")
ID_MOST = 64


class ControlProtocolError(Exception):
    """What a peer sent is no message of this protocol; the connection is of no more use."""


class Frames:
    """Bytes in, whole messages out; never more than one frame is kept."""

    def __init__(self, most: int = FRAME_MOST) -> None:
        self._held, self._most = bytearray(), most

    @property
    def half(self) -> bool:
        """Whether a message has begun and not ended."""
        return bool(self._held)

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """The messages that are whole now. Raises Improper."""
        self._held += data
        out: list[dict[str, Any]] = []
        while len(self._held) >= HEAD.size:
            (length,) = HEAD.unpack_from(self._held)
            if not 2 <= length <= self._most:
                raise ControlProtocolError(f"a frame of {length} bytes")
            end = HEAD.size + length
            if len(self._held) < end:
                break
            try:
                message = orjson.loads(self._held[HEAD.size : end])
            except ValueError as error:
                raise ControlProtocolError(f"not JSON: {error}") from None
            if not isinstance(message, dict):
                raise ControlProtocolError("not an object")
            del self._held[:end]
            out.append(message)
        return out


def framed(message: dict[str, Any]) -> bytes:
    """The bytes of one message. Raises Improper where it is over the bound."""
    body = orjson.dumps(message)
    if len(body) > FRAME_MOST:
        raise ControlProtocolError(f"a message of {len(body)} bytes")
    return HEAD.pack(len(body)) + body


def hello(name: str) -> bytes:
    """What the server says first."""
    return framed({"nickelslip": name, "protocol": [LEAST, MOST]})


def version_for(message: dict[str, Any]) -> int:
    """The newest version that both sides speak, from the server's first message. Raises Improper."""
    spoken = message.get("protocol")
    if not isinstance(spoken, list) or len(spoken) != 2 or not all(isinstance(each, int) for each in spoken):
        raise ControlProtocolError("no versions are told")
    if spoken[0] > MOST or spoken[1] < LEAST:
        raise ControlProtocolError(
            f"the server speaks versions {spoken[0]} to {spoken[1]}, this program {LEAST} to {MOST}"
        )
    return int(min(spoken[1], MOST))


def request_fault(message: dict[str, Any]) -> str | None:
    """What is wrong with a request, or None."""
    version, ident, do = message.get("protocol"), message.get("id"), message.get("do")
    if not isinstance(version, int) or isinstance(version, bool) or not LEAST <= version <= MOST:
        return f"versions {LEAST} to {MOST} are spoken here"
    if not isinstance(ident, str | int) or len(str(ident)) > ID_MOST:
        return "an id is needed"
    if not isinstance(do, str):
        return "a command is needed"
    return None


def accepted(request: dict[str, Any], **result: Any) -> dict[str, Any]:
    """A reply to a request that was done."""
    return {"id": request.get("id"), "ok": True, **result}


def denied(request: dict[str, Any], code: str, text: str, **more: Any) -> dict[str, Any]:
    """A reply to a request that was not done; the code is stable."""
    return {"id": request.get("id"), "ok": False, "code": code, "text": text, **more}
