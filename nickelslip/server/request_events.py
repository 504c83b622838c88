"""The events of one request, as the peers of this server deliver them to its mailbox."""

from __future__ import annotations

from typing import NamedTuple

from nickelslip.admission.interface import Outcome


class CallRequested(NamedTuple):
    """The run of the request has stopped at a dependency call.

    Attributes:
        seq: Number of the worker pool's notification, which names the call.
        body: Body of the call; None if it could not be decoded.
    """

    seq: int
    body: bytes | None


class CallReturned(NamedTuple):
    """The dependency call in flight has ended.

    Attributes:
        outcome: How it ended.
        body: Reply of the dependency, if there is one.
    """

    outcome: Outcome
    body: bytes = b""


class RunFinished(NamedTuple):
    """The run of the request has ended, or the original request whose result it waits for.

    Attributes:
        outcome: How it ended.
        took_ms: Time that the run spent on a core, or that the request waited for the original.
        body: Result of the run.
        ran: False if the worker pool reports that the run never began.
    """

    outcome: Outcome
    took_ms: float
    body: bytes = b""
    ran: bool = True


class ClientDisconnected(NamedTuple):
    """The client has cancelled the request or closed its connection."""


RequestEvent = CallRequested | CallReturned | RunFinished | ClientDisconnected
