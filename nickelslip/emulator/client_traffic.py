"""What clients send, and how load balancers behave."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class ClassTraffic:
    """What is sent of one traffic class.

    Attributes:
        request_fraction: Its part of all requests.
        priority_weight: What one answer within the objective is worth.
        latency_objective_ms: Within this an answer earns its weight.
        timeout_ms: After this a client gives up.
        is_idempotent: Whether it may run more than once.
        has_idempotency_key: Whether requests carry a key.
        degraded_value_fraction: Of the weight, what a run without its optional call earns.
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
    """What clients send behind one load balancer.

    Attributes:
        rate_per_s: Requests per second; it may be changed at any time.
        classes: By name.
        tenants: By name, the part of requests.
    """

    rate_per_s: float
    classes: dict[str, ClassTraffic]
    tenants: dict[str, float] = field(default_factory=lambda: {"acme": 1.0})


@dataclass
class BalancerPolicy:
    """How a load balancer behaves.

    Attributes:
        list_delay_ms: By how much it learns of the endpoint list late.
        heeds_signals: Whether it follows advertised weights and Retry-After.
        max_attempts: How often a request is tried.
    """

    list_delay_ms: float = 300.0
    heeds_signals: bool = True
    max_attempts: int = 3
