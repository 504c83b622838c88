"""What a fleet is made of, and the settings that each of its servers gets."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from nickelslip.emulator.client_traffic import BalancerPolicy, ClassTraffic
from nickelslip.emulator.machine_model import MachineProfile
from nickelslip.emulator.service_model import ServiceProfile
from nickelslip.emulator.worker_pool import WorkProfile

DEGRADED_VALUE_FRACTION = 0.6  # told to servers, of a run without its optional call


def default_classes() -> dict[str, ClassTraffic]:
    """Return three traffic classes, one of each kind of retry safety."""
    return {
        "read": ClassTraffic(0.6, 1.0, 1000.0, 2000.0, True),
        "pay": ClassTraffic(0.3, 3.0, 500.0, 1200.0, False),
        "book": ClassTraffic(0.1, 2.0, 800.0, 1500.0, False, True),
    }


def default_work() -> WorkProfile:
    """Return runs of 10 to 30 ms, two classes of which make a call."""
    return WorkProfile({"read": 30.0, "pay": 15.0, "book": 10.0}, {"read": 1.0, "pay": 1.0})


@dataclass(frozen=True)
class Plan:
    """What a fleet is made of.

    Attributes:
        size: Number of servers.
        seed: For everything that is drawn.
        rate: Requests per second of all clients together.
        balancers: Number of load balancers.
        traffic_classes: What clients send, by traffic class.
        work: What runs are like.
        machine: What worker pools run on.
        service: What the records service is like.
        balancer_policy: How load balancers behave.
        call_share: Calls in flight that each server is allowed; None for an even share of what the service survives.
        cold: Whether servers start slowly.
        relayed: Whether a relay stands on each link.
        read_list: Whether the endpoint list is read into the history ten times a second.
        hosts: Further processes for the services; with 0 all are in the fleet's process.
        stop_ms: After a server is told to shut down, how long it has.
        grace_ms: After that moment, how long load balancers may still send.
        slack_ms: What a crowded machine may add to a response.
        memory_mb: Memory limit of each server.
        window_ms: How long idempotency records are kept.
        prefix: What servers' names begin with.
    """

    size: int = 3
    seed: int = 1
    rate: float = 60.0
    balancers: int = 4
    traffic_classes: dict[str, ClassTraffic] = field(default_factory=default_classes)
    work: WorkProfile = field(default_factory=default_work)
    machine: MachineProfile = field(default_factory=MachineProfile)
    service: ServiceProfile = field(default_factory=ServiceProfile)
    balancer_policy: BalancerPolicy = field(default_factory=BalancerPolicy)
    call_share: float | None = None
    cold: bool = False
    relayed: bool = True
    read_list: bool = False
    hosts: int = 0
    stop_ms: float = 1500.0
    grace_ms: float = 300.0
    slack_ms: float = 500.0
    memory_mb: int = 64
    window_ms: float = 4000.0
    prefix: str = "n"

    @property
    def names(self) -> list[str]:
        """The servers' names."""
        return [f"{self.prefix}{number}" for number in range(1, self.size + 1)]

    def settings(self) -> dict[str, Any]:
        """Return the settings of each server, with the platform's keys."""
        return {
            "bounds": {"max-retry-after-ms": 1000.0, "retry-after": True},
            "classes": [self._class_settings(name, traffic) for name, traffic in self.traffic_classes.items()],
            "client-habits": {"marks-retry": True},
            "tenants": [{"name": "acme", "quota-rps": self.rate}],
            "tick-ms": 5.0,
            "servers": self.size,
            "invariants": self._invariants(),
            "specifics": self._specifics(),
        }

    def _class_settings(self, name: str, traffic: ClassTraffic) -> dict[str, Any]:
        settings = {
            "name": name,
            "gain": traffic.priority_weight,
            "aim-ms": traffic.latency_objective_ms,
            "deadline-ms": traffic.timeout_ms,
            "idempotency": _idempotency_word(traffic),
        }
        if traffic.has_idempotency_key:
            settings["memory-span-ms"] = self.window_ms
        return settings

    def _invariants(self) -> dict[str, Any]:
        return {
            "answer-slack-ms": 20.0,
            "cold-from": self.machine.initial_speed_fraction,
            "cold-ms": max(1.0, self.machine.warm_up_ms),
            "fall-multiple": self.machine.overload_per_core,
            "stop-sending-within-ms": self.grace_ms,
        }

    def _specifics(self) -> dict[str, Any]:
        call_share = self.service.survivable_in_flight / self.size if self.call_share is None else self.call_share
        return {
            "cpus": self.machine.cores,
            "memory-kb": 9000.0,
            "run-factor": 16.0,
            "say": "bias",
            "callers": self.balancers,
            "cold": self.cold,
            "below": "common",
            "dep-share": call_share,
            "calls-over-ms": self.service.window_ms,
            "stays-for-ms": self.service.abandoned_call_linger_ms,
            "kb-per-key": 20.0,
            "stop-mode": "drop",
            "idle-ms": 15000.0,
            "class-calls": _classes_with_calls(self.traffic_classes, self.work),
            "class-skip-worth": _degraded_values(self.traffic_classes),
            "own-stats": ["cpu_busy", "runnable", "mem_used", "sockets"],
        }


def _idempotency_word(traffic: ClassTraffic) -> str:
    if traffic.has_idempotency_key:
        return "idempotency_key"
    return "read_like" if traffic.is_idempotent else "non_idempotent"


def _classes_with_calls(classes: Mapping[str, ClassTraffic], work: WorkProfile) -> list[bool]:
    return [work.calls.get(name, 0.0) > 0 for name in classes]


def _degraded_values(classes: Mapping[str, ClassTraffic]) -> list[float]:
    return [DEGRADED_VALUE_FRACTION if traffic.is_idempotent else 0.0 for traffic in classes.values()]
