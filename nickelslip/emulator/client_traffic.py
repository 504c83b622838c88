"""The traffic that clients send, and the behaviour of load balancers."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class ClassTraffic:
    """The traffic of one class.

    Attributes:
        request_fraction: The share of all requests that is of this class.
        priority_weight: The value of one answer within the latency objective.
        latency_objective_ms: An answer within this time earns the weight.
        timeout_ms: A client gives up after this time.
        is_idempotent: Whether a request may run more than once.
        has_idempotency_key: Whether requests carry an idempotency key.
        degraded_value_fraction: The fraction of the weight that a run without its optional call earns.
    """

    request_fraction: float
    priority_weight: float
    latency_objective_ms: float
    timeout_ms: float
    is_idempotent: bool
    has_idempotency_key: bool = False
    degraded_value_fraction: float = 0.6


@dataclass
class ClientTraffic:
    """The traffic of the clients behind one load balancer.

    Attributes:
        rate_per_s: Requests per second; it may be changed at any time.
        classes: Traffic classes by name.
        tenants: Share of the requests by tenant name.
    """

    rate_per_s: float
    classes: dict[str, ClassTraffic]
    tenants: dict[str, float] = field(default_factory=lambda: {"acme": 1.0})


@dataclass
class BalancerPolicy:
    """How a load balancer behaves.

    Attributes:
        list_delay_ms: Delay with which it learns of changes to the endpoint list.
        heeds_signals: Whether it follows advertised weights and Retry-After.
        max_attempts: Maximum number of attempts per request.
    """

    list_delay_ms: float = 300.0
    heeds_signals: bool = True
    max_attempts: int = 3
