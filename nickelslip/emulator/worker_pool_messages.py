"""Messages between a server and its fake worker pool, and their JSON lines.

The fake has its own decoder and encoder, written from the specification of the protocol. If both sides shared a codec,
a fault in it would go unnoticed.
"""

from __future__ import annotations

import json
from base64 import b64decode, b64encode
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

Line = dict[str, Any]


class RunOutcome(Enum):
    """How a run ended; the value is its name on the wire."""

    COMPLETED = "fine"
    SUSPENDED = "broken_off"


class UnknownCommandError(Exception):
    """The protocol has no command of this name."""


@dataclass(frozen=True)
class Bind:
    """The server binds the connection and asks for notifications after a sequence number."""

    after_sequence: int


@dataclass(frozen=True)
class Poll:
    """The server asks for the gauges of the machine."""

    tag: object


@dataclass(frozen=True)
class Spawn:
    """The server starts a run."""

    request_id: str
    traffic_class: str
    body: bytes


@dataclass(frozen=True)
class Suspend:
    """The server ends a run early."""

    request_id: str


@dataclass(frozen=True)
class SupplyResult:
    """The server supplies the result of the call that a run waits for."""

    request_id: str


@dataclass(frozen=True)
class SkipCall:
    """The server tells a run to continue without the call that it announced with this sequence number."""

    request_id: str
    sequence: int


Command = Bind | Poll | Spawn | Suspend | SupplyResult | SkipCall

COMMAND_DECODERS: dict[str, Callable[[Line], Command]] = {
    "bind": lambda line: Bind(int(str(line["seq"]))),
    "poll": lambda line: Poll(line["tag"]),
    "spawn": lambda line: Spawn(_request_id(line), str(line["class"]), b64decode(str(line["body"]))),
    "suspend": lambda line: Suspend(_request_id(line)),
    "supply": lambda line: SupplyResult(_request_id(line)),
    "pass": lambda line: SkipCall(_request_id(line), int(str(line["seq"]))),
}


def _request_id(line: Line) -> str:
    return str(line.get("id", ""))


def decode_command(line: Line) -> Command:
    """Decode one command.

    Raises:
        UnknownCommandError: The protocol has no command of this name.
    """
    decoder = COMMAND_DECODERS.get(line["op"])
    if decoder is None:
        raise UnknownCommandError(f"unknown worker pool command: {line['op']!r}")
    return decoder(line)


@dataclass(frozen=True)
class Bound:
    """The pool accepts the connection; `up_ms` is how long it has been up."""

    up_ms: float

    def to_line(self) -> Line:
        """Return the message in its wire format."""
        return {"op": "bound", "end": "running", "ms": self.up_ms}


@dataclass(frozen=True)
class Polled:
    """The gauges of the machine, in the protocol's order."""

    tag: object
    gauges: tuple[float, ...]

    def to_line(self) -> Line:
        """Return the message in its wire format."""
        return {"op": "polled", "tag": self.tag, "values": list(self.gauges)}


@dataclass(frozen=True)
class UnknownRun:
    """The pool has never received the run that a command refers to; `command` is the command's name."""

    command: str
    request_id: str

    def to_line(self) -> Line:
        """Return the message in its wire format."""
        return {"op": "unknown", "end": self.command, "id": self.request_id}


@dataclass(frozen=True)
class RunBlocked:
    """Notification: a run waits for a call to the records service."""

    sequence: int
    request_id: str
    call_body: bytes

    def to_line(self) -> Line:
        """Return the message in its wire format."""
        body = b64encode(self.call_body).decode()
        return {"op": "blocked", "id": self.request_id, "body": body, "seq": self.sequence}


@dataclass(frozen=True)
class RunFinished:
    """Notification: a run ended, `run_ms` after it began."""

    sequence: int
    request_id: str
    outcome: RunOutcome
    run_ms: float
    response_body: bytes

    def to_line(self) -> Line:
        """Return the message in its wire format."""
        return {
            "op": "finished",
            "id": self.request_id,
            "end": self.outcome.value,
            "ms": self.run_ms,
            "body": b64encode(self.response_body).decode(),
            "seq": self.sequence,
        }


Notification = RunBlocked | RunFinished
Reply = Bound | Polled | UnknownRun | Notification


def encode_line(message: Reply) -> bytes:
    """Return a message as one JSON line."""
    return json.dumps(message.to_line(), separators=(",", ":")).encode() + b"\n"
