"""Shares of this process's file descriptor limit for the different kinds of connections.

The shares are fixed and depend on the limit, so that no kind of connection can use up the descriptors of another kind.
Each component enforces its own share. This module does not count descriptors.
"""

from __future__ import annotations

from math import ceil
from typing import NamedTuple

RESERVED_DESCRIPTORS = 24  # standard streams, event loop, listener, up to three worker pool links, load report, a file
CONTROL_DESCRIPTORS = 12  # if changes are accepted: control socket, its clients, history
MIN_SHARED_DESCRIPTORS = 8
MIN_DESCRIPTORS = RESERVED_DESCRIPTORS + MIN_SHARED_DESCRIPTORS
IDLE_CALL_CONNECTIONS = 16  # idle connections for dependency calls, besides those in use
CALL_CONNECTION_DIVISOR = 5  # at most one fifth of the shared descriptors is for dependency calls
CONNECTIONS_PER_CALL = 2
LINGERING_DIVISOR = 8  # at most one eighth of the shared descriptors is for lingering connections
MAX_LINGERING_CONNECTIONS = 16


class DescriptorShares(NamedTuple):
    """The maximum number of descriptors for each kind of connection.

    Attributes:
        load_balancers: For load balancer connections.
        lingering: For load balancer connections that are being closed, which are short-lived.
        calls: For dependency calls.
    """

    load_balancers: int
    lingering: int
    calls: int


def descriptor_shares(descriptors: int, mean_call_count: float) -> DescriptorShares:
    """Return the shares of a descriptor limit; each is at least 1.

    Args:
        descriptors: The descriptor limit of this process, or the part of it to be shared.
        mean_call_count: Maximum mean number of dependency calls in flight of this server.
    """
    shared = max(MIN_SHARED_DESCRIPTORS, descriptors - RESERVED_DESCRIPTORS)
    wanted_for_calls = IDLE_CALL_CONNECTIONS + CONNECTIONS_PER_CALL * ceil(mean_call_count)
    calls = max(1, min(shared // CALL_CONNECTION_DIVISOR, wanted_for_calls))
    lingering = max(1, min(shared // LINGERING_DIVISOR, MAX_LINGERING_CONNECTIONS))
    return DescriptorShares(max(1, shared - calls - lingering), lingering, calls)
