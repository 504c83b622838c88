"""Figures and properties of a whole fleet, computed from the history of its run."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from nickelslip.emulator.history import Event, History, Kind

ROUNDING_TOLERANCE = 1e-9


def counts_per_bin(events: Iterable[Event], bin_ms: float, begin_at_ms: float, end_at_ms: float) -> list[int]:
    """Return the number of events in each bin of `bin_ms`; an incomplete last bin is omitted."""
    bins = [0] * max(0, int((end_at_ms - begin_at_ms) / bin_ms))
    for event in events:
        index = int((event.at_ms - begin_at_ms) // bin_ms)
        if 0 <= index < len(bins):
            bins[index] += 1
    return bins


def peak_over_mean(events: Iterable[Event], bin_ms: float, begin_at_ms: float, end_at_ms: float) -> float:
    """Return the ratio of the largest bin to the mean bin; 0 without events."""
    bins = counts_per_bin(events, bin_ms, begin_at_ms, end_at_ms)
    return max(bins) * len(bins) / sum(bins) if sum(bins) else 0.0


def capacity_violations(events: Iterable[Event], change: Callable[[Event], float], capacity: float) -> list[str]:
    """Return a line for each event after which the amount in use exceeds the capacity.

    `change` returns by how much an event changes the amount in use.
    """
    in_use = 0.0
    found = []
    for event in events:
        in_use += change(event)
        if in_use > capacity + ROUNDING_TOLERANCE:
            found.append(
                f"sum: {in_use:g} of {capacity:g} out at {event.at_ms:.0f}, with {event.server} {event.request_id}"
            )
    return found


def overlap_violations(spans: Iterable[tuple[float, float]], max_overlapping: int) -> list[str]:
    """Return a line for each time at which more than `max_overlapping` spans overlap.

    A span that ends exactly when another begins does not overlap it.
    """
    steps = [(begin, 1) for begin, _ in spans] + [(end, -1) for _, end in spans]
    overlapping = 0
    found = []
    for at_ms, step in sorted(steps):
        overlapping += step
        if overlapping > max_overlapping:
            found.append(f"at most {max_overlapping}: {overlapping} at {at_ms:.0f}")
    return found


def unlisted_count(history: History, names: Iterable[str], begin_at_ms: float, end_at_ms: float) -> int:
    """Return in how many readings of the endpoint list a server was missing, summed over these servers."""
    wanted = set(names)
    readings = [event for event in history.of(Kind.LISTED) if begin_at_ms <= event.at_ms < end_at_ms]
    return sum(len(wanted - set(reading.detail)) for reading in readings)


class EarnedAnswer(NamedTuple):
    """An answer that a client received within its latency objective, and the priority weight that it earned."""

    event: Event
    priority_weight: float


def priority_weight_totals(
    history: History, begin_at_ms: float, end_at_ms: float, servers: set[str] | None = None
) -> tuple[float, float]:
    """Return the requested priority weight, and the weight served within its latency objective.

    Both cover the requests that clients sent within this time span. If `servers` is given, the served weight counts
    only answers of these servers.
    """
    requested = sum(
        event.detail[1] for event in history.of(Kind.CLIENT_REQUESTED) if begin_at_ms <= event.at_ms < end_at_ms
    )
    served = sum(
        answer.priority_weight
        for answer in earned_answers(history)
        if begin_at_ms <= answer.event.detail[3] < end_at_ms and (servers is None or answer.event.server in servers)
    )
    return requested, served


def earned_answers(history: History) -> list[EarnedAnswer]:
    """Return each answer within its latency objective; a run without its optional call earns a fraction."""
    degraded_ids = {event.request_id for event in history.of(Kind.CALL_SKIPPED)}
    earned = []
    for event in history.of(Kind.CLIENT_COMPLETED):
        _, priority_weight, in_time, _, degraded_fraction = event.detail
        if in_time:
            factor = degraded_fraction if event.request_id in degraded_ids else 1.0
            earned.append(EarnedAnswer(event, priority_weight * factor))
    return earned
