"""The state of a server that it advertises to its clients."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class AdvertisedState:
    """The state that the admission controller last decided to advertise to clients.

    Attributes:
        advertised_weight: Weight sent with every answer; None if there is none.
        is_healthy: Whether health checks are answered as healthy.
        idle_connection_timeout_ms: Idle time after which connections are closed; None for never.
    """

    advertised_weight: float | None = None
    is_healthy: bool = True
    idle_connection_timeout_ms: float | None = None
