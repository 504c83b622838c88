"""What a link between two parties does to what passes over it.

Owns the faults of a link and, from a seed, what becomes of each piece of a stream and each datagram: when it passes,
how often, in which order, or that it never does. It must never do I/O or read a clock.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from enum import Enum
from math import inf


class Way(Enum):
    """A direction, seen from the servers."""

    OUT = "from the server"
    IN = "to the server"


class Fate(Enum):
    """What becomes of a connection."""

    STANDS = "it stands"
    HALF_OPEN = "one side is gone, the other hears nothing of it"
    RESET = "it is reset"


@dataclass(frozen=True)
class Faults:
    """What a link does in one direction. All off: it passes what comes at once."""

    cut: bool = False  # streams stand still and lose nothing, as one that is sent again; datagrams are lost
    delay_ms: float = 0.0
    jitter_ms: float = 0.0  # on top, drawn for each; datagrams overtake each other by it
    lost: float = 0.0  # this part of all datagrams
    doubled: float = 0.0  # this part of all datagrams comes twice
    bytes_per_s: float = inf  # of a stream
    reset_after: float = inf  # bytes of a stream
    half_open_after: float = inf  # bytes of a stream, from which on nothing passes and nobody is told


@dataclass
class Lane:
    """One direction of one link."""

    random: random.Random
    faults: Faults = field(default_factory=Faults)
    cuts: list[list[float]] = field(default_factory=list)  # from when to when

    def set(self, now: float, **changes: object) -> None:
        """Other faults from now on."""
        fresh = replace(self.faults, **changes)  # type: ignore[arg-type]
        if fresh.cut and not self.faults.cut:
            self.cuts.append([now, inf])
        elif self.faults.cut and not fresh.cut:
            self.cuts[-1][1] = now
        self.faults = fresh

    def datagram(self, now: float) -> list[float]:
        """When a datagram that is here now gets through: never, once or twice."""
        faults = self.faults
        if faults.cut or self.random.random() < faults.lost:
            return []
        times = 2 if self.random.random() < faults.doubled else 1
        return [now + faults.delay_ms + self.random.uniform(0, faults.jitter_ms) for _ in range(times)]


@dataclass
class Course:
    """One direction of one connection over a lane: pieces keep their order."""

    lane: Lane
    passed: int = 0
    _free_at: float = 0.0

    def piece(self, now: float, size: int) -> tuple[int, float, Fate]:
        """How much of a piece passes, when, and what becomes of the connection behind it."""
        faults = self.lane.faults
        end = min(faults.reset_after, faults.half_open_after)
        fate = Fate.STANDS
        if self.passed + size > end:
            size = max(0, int(end) - self.passed)
            fate = Fate.RESET if faults.reset_after <= faults.half_open_after else Fate.HALF_OPEN
        self.passed += size
        wait = faults.delay_ms + self.lane.random.uniform(0, faults.jitter_ms)
        self._free_at = max(self._free_at, now + wait) + 1000 * size / faults.bytes_per_s
        return size, self._free_at, fate
