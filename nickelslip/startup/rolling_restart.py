"""Rolling restarts: computes from measured figures how many servers of a fleet may be restarted at once."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import floor, inf

ROUNDING_SLACK = 1e-9  # keeps floor() from losing one server to floating-point rounding
MIN_COLD_SPEED_FRACTION_FOR_CALLS = 0.5


class RollingRestartError(ValueError):
    """No restart can be planned: the fleet has no spare capacity, or a figure is out of range."""


@dataclass(frozen=True)
class FleetMeasurement:
    """Measured figures of a fleet.

    Attributes:
        server_count: Number of servers in the fleet.
        load_fraction: Load at the time of the restart, as a fraction of the capacity of the whole warm fleet.
        cold_speed_fraction: Speed of a cold server, as a fraction of its speed when it is warm.
        warm_up_ms: Time until a cold server is warm.
        downtime_ms: Time from the signal to stop until the successor serves.
        concurrent_calls: Mean number of calls in flight of the whole fleet, at that load.
        max_concurrent_calls: Number of calls in flight that the dependency survives; inf for no limit.
        cold_call_multiple: Number of calls of a cold server, as a multiple of those of a warm one.
        spare_fraction: Capacity to keep in reserve, as a fraction of the fleet.
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
    """What limits how many servers are restarted at once."""

    CORES = "the remaining servers' cores must carry the load of those that are restarted"
    CALLS = "the number of calls in flight that the dependency survives"
    FLEET_SIZE = "no limit applies; all servers are restarted at once"


@dataclass(frozen=True)
class RestartPlan:
    """A plan for restarting a fleet in batches.

    Attributes:
        batch_size: Number of servers that are restarted at once.
        bound: What limits the batch size.
        batch_count: Number of batches.
        batch_interval_ms: Time between the starts of two consecutive batches.
        total_ms: Time for all batches.
    """

    batch_size: int
    bound: RestartBound
    batch_count: int
    batch_interval_ms: float
    total_ms: float


def plan_rolling_restart(fleet: FleetMeasurement) -> RestartPlan:
    """Return the plan with the largest batches that the fleet can spare.

    A batch begins when the servers of the previous one are warm again. The servers of a batch do no work during the
    downtime. Afterwards their speed rises linearly until they are warm.

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
    """Whether every figure is in range. NaN is out of range."""
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
    """Return how many servers may be cold at once before the dependency receives too many calls.

    A cold server makes up to `cold_call_multiple` times the usual calls for the work that it does. The other servers do
    the rest of its work, with the usual number of calls.
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
