"""The events that connections to peers put into the mailbox of a request."""

from __future__ import annotations

from typing import NamedTuple

from nickelslip.admission.interface import Outcome


class CallRequested(NamedTuple):
    """The run of the request is blocked at a dependency call.

    Attributes:
        seq: Sequence number of the worker pool's notification, which identifies the call.
        body: Body of the call; None if it could not be decoded.
    """

    seq: int
    body: bytes | None


class CallReturned(NamedTuple):
    """The dependency call in flight has ended.

    Attributes:
        outcome: How it ended.
        body: Reply of the dependency; empty if there is none.
    """

    outcome: Outcome
    body: bytes = b""


class RunFinished(NamedTuple):
    """The run of the request has ended, or the run of the original request that it is coalesced with.

    Attributes:
        outcome: How it ended; NOT_STARTED if the worker pool reports that the run never started.
        took_ms: Duration of the run, calls included, or how long a coalesced request waited for its original.
        body: Result of the run.
    """

    outcome: Outcome
    took_ms: float
    body: bytes = b""


class ClientDisconnected(NamedTuple):
    """The client has cancelled the request or closed its connection."""


RequestEvent = CallRequested | CallReturned | RunFinished | ClientDisconnected
