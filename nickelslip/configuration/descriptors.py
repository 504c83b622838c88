"""How the descriptors of this process are shared out.

Owns the one sum by which connections of balancers, those that linger, and calls keep out of each other's way, whatever
the limit is. It does no I/O and never counts what is open: each part keeps to its own share.
"""

from __future__ import annotations

from math import ceil
from typing import NamedTuple

RESERVED_DESCRIPTORS = (
    24  # standard streams, event loop, listener, links to the worker pool (three in a move), the report, a file
)
CONTROL_DESCRIPTORS = 12  # where they are on: the control socket, its peers, the history
CALLS_LEAST = 16  # connections for calls that may stand unused
CALLS_PART, LINGERING_PART = 5, 8  # of what is left one in so many at most is for calls, and for those that linger
LINGERING_MOST = 16


class DescriptorShares(NamedTuple):
    """Descriptors at most for each of them."""

    load_balancers: int
    lingering: int  # beyond the balancers' own, and short-lived
    calls: int


def descriptor_shares(descriptors: int, calls_out: float) -> DescriptorShares:
    """The shares of a limit on descriptors, where so many calls may be out in the mean. Each has one at least."""
    left = max(8, descriptors - RESERVED_DESCRIPTORS)
    calls = max(1, min(left // CALLS_PART, CALLS_LEAST + 2 * ceil(calls_out)))
    lingering = max(1, min(left // LINGERING_PART, LINGERING_MOST))
    return DescriptorShares(max(1, left - calls - lingering), lingering, calls)
