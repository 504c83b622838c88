"""The commands to the worker pool, and their encoding as JSON objects, one per line.

`worker_pool_notifications` has the other direction of the protocol.
"""

from __future__ import annotations

from base64 import b64encode
from typing import TYPE_CHECKING, Any, NamedTuple

import orjson

if TYPE_CHECKING:  # types only; importing them would slow down the startup
    from nickelslip.server.requests import Request

START_WORD = "spawn"
STOP_WORD = "suspend"
RESUME_WITH_REPLY_WORD = "supply"
RESUME_WITHOUT_CALL_WORD = "pass"
QUERY_GAUGES_WORD = "poll"
BIND_WORD = "bind"


class StartRun(NamedTuple):
    """Start a run of the request."""

    request: Request


class StopRun(NamedTuple):
    """Stop the request's run, which is running on a core."""

    request: Request


class ResumeWithReply(NamedTuple):
    """Resume the request's run with the reply to its call."""

    request: Request
    body: bytes


class ResumeWithoutCall(NamedTuple):
    """Resume the request's run without the call that was reported by the notification numbered `call_seq`."""

    request: Request
    call_seq: int


class QueryGauges(NamedTuple):
    """Query the gauges. The answer carries the tag, and confirms all commands written before the query."""

    tag: str


class Bind(NamedTuple):
    """Bind the link, and request all notifications after `last_seq`."""

    last_seq: int


RunCommand = StartRun | StopRun | ResumeWithReply | ResumeWithoutCall
Command = RunCommand | QueryGauges | Bind


def encode_command(command: Command) -> bytes:
    """Encode the command as a line."""
    return orjson.dumps(_command_fields(command), option=orjson.OPT_APPEND_NEWLINE)


def _command_fields(command: Command) -> dict[str, Any]:
    match command:
        case StartRun(request):
            received = request.received
            body_text = b64encode(received.body).decode()
            return {"op": START_WORD, "id": received.id_hex, "class": received.traffic_class, "body": body_text}
        case StopRun(request):
            return {"op": STOP_WORD, "id": request.received.id_hex}
        case ResumeWithReply(request, body):
            return {"op": RESUME_WITH_REPLY_WORD, "id": request.received.id_hex, "body": b64encode(body).decode()}
        case ResumeWithoutCall(request, call_seq):
            return {"op": RESUME_WITHOUT_CALL_WORD, "id": request.received.id_hex, "seq": call_seq}
        case QueryGauges(tag):
            return {"op": QUERY_GAUGES_WORD, "tag": tag}
        case Bind(last_seq):
            return {"op": BIND_WORD, "seq": last_seq}
