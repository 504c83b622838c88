"""What a link between a server and a service does to what passes over it, in simulated time.

Faults of a link act on each piece of a stream and on each datagram: when it is delivered, how often, in which order, or
whether at all. Everything that is drawn comes from the generator of the channel.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from math import inf
from typing import Any, NamedTuple

MS_PER_S = 1000


class Direction(Enum):
    """A direction of a link; the value is its word in schedules, histories and seeds."""

    FROM_SERVER = "OUT"
    TO_SERVER = "IN"

    @property
    def opposite(self) -> Direction:
        """The other direction."""
        return Direction.TO_SERVER if self is Direction.FROM_SERVER else Direction.FROM_SERVER


def directions(words: Iterable[str] | None) -> tuple[Direction, ...]:
    """Return the directions of these words; both where none are given."""
    return tuple(Direction(word) for word in words) if words else tuple(Direction)


class Delivery(Enum):
    """What becomes of a connection after a piece of it."""

    DELIVERED = "the connection stands"
    HALF_OPEN = "one side is gone and the other does not hear of it"
    RESET = "the connection is reset"


@dataclass(frozen=True)
class Faults:
    """What a link does in one direction; by default it delivers everything at once.

    Attributes:
        is_cut: Streams stand still and lose nothing; datagrams are lost.
        delay_ms: Added to each piece and datagram.
        jitter_ms: Added too, drawn for each from 0 to this; datagrams overtake each other by it.
        lost_fraction: The part of datagrams that is lost.
        duplicated_fraction: The part of datagrams that is delivered twice.
        bytes_per_s: The rate of a stream.
        reset_after_bytes: A stream is reset after so much.
        half_open_after_bytes: After so much of a stream nothing passes, and nobody is notified.
    """

    is_cut: bool = False
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    lost_fraction: float = 0.0
    duplicated_fraction: float = 0.0
    bytes_per_s: float = inf
    reset_after_bytes: float = inf
    half_open_after_bytes: float = inf


FAULT_WORDS = {
    "cut": "is_cut",
    "delay_ms": "delay_ms",
    "jitter_ms": "jitter_ms",
    "lost": "lost_fraction",
    "doubled": "duplicated_fraction",
    "bytes_per_s": "bytes_per_s",
    "reset_after": "reset_after_bytes",
    "half_open_after": "half_open_after_bytes",
}
"""Fields of Faults by their words in schedules and commands."""


def fault_fields(words: Mapping[str, Any]) -> dict[str, Any]:
    """Return faults given by their words as fields of Faults."""
    return {FAULT_WORDS[word]: value for word, value in words.items()}


def faults_off(words: Iterable[str]) -> dict[str, Any]:
    """Return the words of these faults with the values that turn them off."""
    healthy = Faults()
    return {word: getattr(healthy, FAULT_WORDS[word]) for word in words}


@dataclass
class Channel:
    """One direction of one link.

    Attributes:
        random: What is drawn comes from here.
        faults: What the link does now.
        cuts: Spans in which it was cut, as [begin, end].
    """

    random: random.Random
    faults: Faults = field(default_factory=Faults)
    cuts: list[list[float]] = field(default_factory=list)

    def set_faults(self, now_ms: float, **changes: Any) -> None:
        """Change these fields of the faults from now on."""
        faults = replace(self.faults, **changes)
        if faults.is_cut and not self.faults.is_cut:
            self.cuts.append([now_ms, inf])
        elif self.faults.is_cut and not faults.is_cut:
            self.cuts[-1][1] = now_ms
        self.faults = faults

    def datagram_deliveries(self, now_ms: float) -> list[float]:
        """Return the moments at which a datagram sent now is delivered: none, one or two."""
        faults = self.faults
        if faults.is_cut or self.random.random() < faults.lost_fraction:
            return []
        copies = 2 if self.random.random() < faults.duplicated_fraction else 1
        return [now_ms + faults.delay_ms + self.random.uniform(0, faults.jitter_ms) for _ in range(copies)]


class PieceDelivery(NamedTuple):
    """How much of a piece is delivered, when, and what becomes of the connection after it."""

    size: int
    at_ms: float
    delivery: Delivery


@dataclass
class StreamDirection:
    """One direction of one connection over a channel; pieces keep their order.

    Attributes:
        channel: What it passes over.
        passed_bytes: How much has passed.
    """

    channel: Channel
    passed_bytes: int = 0
    _free_at_ms: float = 0.0

    def deliver(self, now_ms: float, size: int) -> PieceDelivery:
        """Deliver a piece of `size` bytes that is here now."""
        faults = self.channel.faults
        delivery = Delivery.DELIVERED
        last_byte = min(faults.reset_after_bytes, faults.half_open_after_bytes)
        if self.passed_bytes + size > last_byte:
            size = max(0, int(last_byte) - self.passed_bytes)
            resets = faults.reset_after_bytes <= faults.half_open_after_bytes
            delivery = Delivery.RESET if resets else Delivery.HALF_OPEN
        self.passed_bytes += size
        wait_ms = faults.delay_ms + self.channel.random.uniform(0, faults.jitter_ms)
        self._free_at_ms = max(self._free_at_ms, now_ms + wait_ms) + MS_PER_S * size / faults.bytes_per_s
        return PieceDelivery(size, self._free_at_ms, delivery)
