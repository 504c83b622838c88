"""A model of the links between servers and services and of their faults, in simulated time.

The faults of a link act on each chunk of a stream and on each datagram. They determine when it is delivered, how often,
in which order, and whether it is delivered at all. All random draws use the generator of the channel.
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
    """A direction of a link; the value is its name in schedules, histories and seeds."""

    FROM_SERVER = "OUT"
    TO_SERVER = "IN"

    @property
    def opposite(self) -> Direction:
        """The opposite direction."""
        return Direction.TO_SERVER if self is Direction.FROM_SERVER else Direction.FROM_SERVER


def directions(names: Iterable[str] | None) -> tuple[Direction, ...]:
    """Return the directions with these names; both directions if no names are given."""
    return tuple(Direction(name) for name in names) if names else tuple(Direction)


class Delivery(Enum):
    """The state of a connection after the delivery of a chunk."""

    DELIVERED = "the connection stays open"
    HALF_OPEN = "one side is gone and the other is not notified"
    RESET = "the connection is reset"


@dataclass(frozen=True)
class Faults:
    """The faults of one direction of a link; by default everything is delivered immediately.

    Attributes:
        is_cut: Streams stall without losing data; datagrams are lost.
        delay_ms: Delay of each chunk and datagram.
        jitter_ms: Maximum of an additional random delay, drawn for each from 0 up; it reorders datagrams.
        lost_fraction: The fraction of datagrams that is lost.
        duplicated_fraction: The fraction of datagrams that is delivered twice.
        bytes_per_s: The transfer rate of a stream.
        reset_after_bytes: A stream is reset after this many bytes.
        half_open_after_bytes: After this many bytes a stream delivers nothing more, and neither side is notified.
    """

    is_cut: bool = False
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    lost_fraction: float = 0.0
    duplicated_fraction: float = 0.0
    bytes_per_s: float = inf
    reset_after_bytes: float = inf
    half_open_after_bytes: float = inf


FAULT_KEYS = {
    "cut": "is_cut",
    "delay_ms": "delay_ms",
    "jitter_ms": "jitter_ms",
    "lost": "lost_fraction",
    "doubled": "duplicated_fraction",
    "bytes_per_s": "bytes_per_s",
    "reset_after": "reset_after_bytes",
    "half_open_after": "half_open_after_bytes",
}
"""Fields of `Faults` by their keys in schedules and commands."""


def fault_fields(faults: Mapping[str, Any]) -> dict[str, Any]:
    """Return faults given under their keys as fields of `Faults`."""
    return {FAULT_KEYS[key]: value for key, value in faults.items()}


def faults_off(keys: Iterable[str]) -> dict[str, Any]:
    """Return the keys of these faults with the values that turn them off."""
    healthy = Faults()
    return {key: getattr(healthy, FAULT_KEYS[key]) for key in keys}


@dataclass
class Channel:
    """One direction of one link.

    Attributes:
        random: Generator of all random draws.
        faults: The current faults.
        cuts: Time spans in which it was cut, as [begin, end].
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
        """Return the times at which a datagram sent now is delivered: none, one or two."""
        faults = self.faults
        if faults.is_cut or self.random.random() < faults.lost_fraction:
            return []
        copies = 2 if self.random.random() < faults.duplicated_fraction else 1
        return [now_ms + faults.delay_ms + self.random.uniform(0, faults.jitter_ms) for _ in range(copies)]


class ChunkDelivery(NamedTuple):
    """The delivered size of a chunk, the time of its delivery, and the state of the connection afterwards."""

    size: int
    at_ms: float
    delivery: Delivery


@dataclass
class StreamDirection:
    """One direction of one connection over a channel; chunks keep their order.

    Attributes:
        channel: The channel that it uses.
        passed_bytes: Number of bytes delivered so far.
    """

    channel: Channel
    passed_bytes: int = 0
    _free_at_ms: float = 0.0

    def deliver(self, now_ms: float, size: int) -> ChunkDelivery:
        """Schedule the delivery of a chunk of `size` bytes that was read now."""
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
        return ChunkDelivery(size, self._free_at_ms, delivery)
