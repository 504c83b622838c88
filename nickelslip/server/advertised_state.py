"""What a server tells its clients about itself."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class AdvertisedState:
    """What the admission controller last decided to tell clients.

    Attributes:
        advertised_weight: Weight that every answer carries; None where there is none.
        is_healthy: Whether health checks are answered with "healthy".
        idle_connection_timeout_ms: After what time unused connections are closed; None for never.
    """

    advertised_weight: float | None = None
    is_healthy: bool = True
    idle_connection_timeout_ms: float | None = None
