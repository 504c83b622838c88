"""The users' plan for the next two years: the sizes to design for, and the limits that they set.

The figures are the plan's own or calculated from them. None is measured.
"""

from __future__ import annotations

from dataclasses import dataclass

DAY_S = 86_400.0


@dataclass(frozen=True)
class Plan:
    """Sizes and limits, in the plan's units."""

    servers: int = 790
    callers: int = 7_300
    tenants: int = 37_000
    routes: int = 2_300
    requests_per_s: float = 55_000.0
    added_ms_p99: float = 1.9
    changes_per_day: int = 4_300
    in_force_s: float = 14.0
    control_core_share: float = 0.044
    control_mb: float = 32.0
    control_bytes_s: float = 28_000.0
    zones: int = 6

    @property
    def requests_per_server_s(self) -> float:
        """Return the mean request rate of one server at the peak, with all servers in service."""
        return self.requests_per_s / self.servers

    @property
    def requests_per_server_zone_down_s(self) -> float:
        """Return the mean request rate of one server at the peak, with one of the equally sized zones down."""
        return self.requests_per_server_s * self.zones / (self.zones - 1)

    @property
    def changes_per_s(self) -> float:
        """Return the mean rate of configuration changes."""
        return self.changes_per_day / DAY_S

    @property
    def max_pause_ms_per_change(self) -> float:
        """Return how long a change may block a server if it is to delay at most one request in a hundred."""
        return 0.01 * 1000 / self.changes_per_s

    @property
    def full_mesh_connection_count(self) -> int:
        """Return the number of connections in the fleet if every caller keeps one to every server."""
        return self.servers * self.callers


PLAN = Plan()
