"""Shares of this process's file descriptors for its different connections.

The shares are fixed by the limit, so that no kind of connection can take the descriptors of another one. Each part of
the server keeps to its own share; nothing is counted here.
"""

from __future__ import annotations

from math import ceil
from typing import NamedTuple

RESERVED_DESCRIPTORS = 24  # standard streams, event loop, listener, up to three worker pool links, the report, a file
CONTROL_DESCRIPTORS = 12  # where changes are accepted: the control socket, its clients, the history
MIN_SHARED_DESCRIPTORS = 8
IDLE_CALL_CONNECTIONS = 16  # for dependency calls, beyond those in use
CALL_CONNECTION_DIVISOR = 5  # one in so many is for dependency calls, at most
CONNECTIONS_PER_CALL = 2
LINGERING_DIVISOR = 8  # one in so many is for lingering connections, at most
MAX_LINGERING_CONNECTIONS = 16


class DescriptorShares(NamedTuple):
    """The largest numbers of descriptors.

    Attributes:
        load_balancers: For connections of load balancers.
        lingering: For their connections that are being closed, which are short-lived.
        calls: For dependency calls.
    """

    load_balancers: int
    lingering: int
    calls: int


def descriptor_shares(descriptors: int, mean_call_count: float) -> DescriptorShares:
    """Return the shares of a limit; each is at least 1.

    Args:
        descriptors: The limit.
        mean_call_count: Mean number of dependency calls in flight that this server may have.
    """
    shared = max(MIN_SHARED_DESCRIPTORS, descriptors - RESERVED_DESCRIPTORS)
    wanted_by_calls = IDLE_CALL_CONNECTIONS + CONNECTIONS_PER_CALL * ceil(mean_call_count)
    calls = max(1, min(shared // CALL_CONNECTION_DIVISOR, wanted_by_calls))
    lingering = max(1, min(shared // LINGERING_DIVISOR, MAX_LINGERING_CONNECTIONS))
    return DescriptorShares(max(1, shared - calls - lingering), lingering, calls)
