"""How many servers of a fleet may be restarted at once, from measured figures.

Owns that arithmetic and the turns that follow from it. Free of I/O and clock; it must never take a figure for granted
that nobody gave.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import floor, inf


@dataclass(frozen=True)
class Measured:
    """A fleet as it was measured. Loads and speeds are parts of what the whole warm fleet can do; times in
    milliseconds; calls as mean numbers that are out at once."""

    servers: int
    load: float  # at the time at which the restart is meant to be
    cold_from: float  # part of its speed with which a server starts
    cold_ms: float  # until it is warm
    away_ms: float  # from the notice to leave until its successor serves
    calls: float = 0.0  # of the whole fleet, at that load
    calls_survived: float = inf  # by the records service
    cold_calls: float = 1.0  # calls of a wholly cold server, as a multiple of a warm one's
    spare: float = 0.05  # of the fleet, to be left over


@dataclass(frozen=True)
class Turns:
    """The answer: how many at once, what bounds it, how many turns, how long between their beginnings and in all."""

    at_once: int
    bound_by: str
    turns: int
    every_ms: float
    all_ms: float


def turns(told: Measured) -> Turns:
    """A turn begins when the one before is warm again. While it lasts its servers give nothing for `away_ms` and then
    rise evenly. Raises ValueError where not even one may go, or a figure is out of range."""
    if not (
        told.servers >= 1
        and told.load >= 0
        and 0 <= told.cold_from <= 1
        and told.cold_ms >= 0
        and told.away_ms >= 0
        and told.spare >= 0
        and told.calls >= 0
        and told.cold_calls >= 1
    ):
        raise ValueError("a figure is out of range")
    by_cores = (1 - told.spare - told.load) * told.servers  # all of a turn may be away in the same moment
    # a cold server makes up to cold_calls times the calls for what it does, and does at least cold_from of its part;
    # what it does not do the others take over with calls as usual
    more = told.calls / told.servers * (told.cold_calls - 1) * max(told.cold_from, 0.5)
    left = told.calls_survived - told.calls
    by_calls = left / more if more > 0 else inf if left >= 0 else 0.0
    at_once = floor(min(by_cores, by_calls, told.servers) + 1e-9)
    if at_once < 1:
        raise ValueError(
            "not even one may be away: "
            + ("its cores are needed" if by_cores < 1 else "the records service has no room")
        )
    number = -(-told.servers // at_once)
    every = told.away_ms + told.cold_ms
    bound = "all at once" if at_once == told.servers else "cores" if by_cores <= by_calls else "calls"
    return Turns(at_once, bound, number, every, number * every)
