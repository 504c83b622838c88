"""Rolling restarts: how many servers of a fleet may be restarted at once, from measured figures.

Arithmetic only.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import floor, inf

ROUNDING_SLACK = 1e-9  # so that a whole number of servers is not lost to rounding
MIN_COLD_SPEED_FRACTION_FOR_CALLS = 0.5


class RollingRestartError(ValueError):
    """No restart can be planned from these figures."""


@dataclass(frozen=True)
class FleetMeasurement:
    """A fleet as it was measured. Loads and speeds are fractions of what the whole warm fleet can do.

    Attributes:
        server_count: Servers in the fleet.
        load_fraction: At the time of the restart.
        cold_speed_fraction: Of its speed, with which a server starts.
        warm_up_ms: Until a server is warm.
        downtime_ms: From the signal to stop until the successor serves.
        concurrent_calls: Mean number of calls in flight of the whole fleet, at that load.
        max_concurrent_calls: How many the dependency survives; inf for no bound.
        cold_call_multiple: Calls of a wholly cold server, as a multiple of a warm one's.
        spare_fraction: Of the fleet, to be left over.
    """

    server_count: int
    load_fraction: float
    cold_speed_fraction: float
    warm_up_ms: float
    downtime_ms: float
    concurrent_calls: float = 0.0
    max_concurrent_calls: float = inf
    cold_call_multiple: float = 1.0
    spare_fraction: float = 0.05


class RestartBound(Enum):
    """What bounds how many servers are restarted at once."""

    CORES = "the load of those that are restarted, on the cores of the others"
    CALLS = "the calls that the dependency survives"
    FLEET_SIZE = "nothing: all are restarted at once"


@dataclass(frozen=True)
class RestartPlan:
    """How a fleet is restarted in batches.

    Attributes:
        batch_size: How many servers are restarted at once.
        bound: What bounds that.
        batch_count: How many batches there are.
        batch_interval_ms: Between the beginnings of two batches.
        total_ms: For all batches.
    """

    batch_size: int
    bound: RestartBound
    batch_count: int
    batch_interval_ms: float
    total_ms: float


def plan_rolling_restart(fleet: FleetMeasurement) -> RestartPlan:
    """Return the largest batches that the fleet can do without.

    A batch begins when the one before is warm again. Its servers do nothing for the downtime, and then their speed
    rises evenly.

    Raises:
        RollingRestartError: Not even one server may be restarted, or a figure is out of range.
    """
    if not _is_in_range(fleet):
        raise RollingRestartError("a figure is out of range")
    max_by_cores = (1 - fleet.spare_fraction - fleet.load_fraction) * fleet.server_count
    max_by_calls = _max_by_calls(fleet)
    batch_size = floor(min(max_by_cores, max_by_calls, fleet.server_count) + ROUNDING_SLACK)
    if batch_size < 1:
        reason = "its cores are needed" if max_by_cores < 1 else "the records service has no room"
        raise RollingRestartError(f"not even one may be away: {reason}")
    batch_count = -(-fleet.server_count // batch_size)
    batch_interval_ms = fleet.downtime_ms + fleet.warm_up_ms
    return RestartPlan(
        batch_size,
        _bound(fleet, batch_size, max_by_cores, max_by_calls),
        batch_count,
        batch_interval_ms,
        batch_count * batch_interval_ms,
    )


def _is_in_range(fleet: FleetMeasurement) -> bool:
    """Whether every figure is; one that is not a number is not."""
    return all(
        (
            fleet.server_count >= 1,
            fleet.load_fraction >= 0,
            0 <= fleet.cold_speed_fraction <= 1,
            fleet.warm_up_ms >= 0,
            fleet.downtime_ms >= 0,
            fleet.spare_fraction >= 0,
            fleet.concurrent_calls >= 0,
            fleet.cold_call_multiple >= 1,
        )
    )


def _max_by_calls(fleet: FleetMeasurement) -> float:
    """Return how many servers may be cold at once before the dependency gets too many calls.

    A cold server makes up to `cold_call_multiple` times the calls for what it does. What it leaves undone the others
    do, with as many calls as usual.
    """
    speed_fraction = max(fleet.cold_speed_fraction, MIN_COLD_SPEED_FRACTION_FOR_CALLS)
    calls_per_server = fleet.concurrent_calls / fleet.server_count
    additional_calls_per_server = calls_per_server * (fleet.cold_call_multiple - 1) * speed_fraction
    calls_left = fleet.max_concurrent_calls - fleet.concurrent_calls
    if additional_calls_per_server > 0:
        return calls_left / additional_calls_per_server
    return inf if calls_left >= 0 else 0.0


def _bound(fleet: FleetMeasurement, batch_size: int, max_by_cores: float, max_by_calls: float) -> RestartBound:
    if batch_size == fleet.server_count:
        return RestartBound.FLEET_SIZE
    return RestartBound.CORES if max_by_cores <= max_by_calls else RestartBound.CALLS
