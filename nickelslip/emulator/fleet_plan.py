"""The plan of a fleet, and the settings of its servers."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from nickelslip.emulator.client_traffic import BalancerPolicy, ClassTraffic
from nickelslip.emulator.machine_model import MachineProfile
from nickelslip.emulator.service_model import ServiceProfile
from nickelslip.emulator.work_profile import WorkProfile

ANSWER_SLACK_MS = 20.0  # by how much an answer may be late, in the settings of servers
SOCKET_TOLERANCE_MS = 50.0  # the protocol extends every time limit on sockets by this
DEGRADED_VALUE_FRACTION = 0.6  # value of a run without its optional call, in the settings of servers


def default_classes() -> dict[str, ClassTraffic]:
    """Return three traffic classes, one for each kind of retry safety."""
    return {
        "read": ClassTraffic(0.6, 1.0, 1000.0, 2000.0, True),
        "pay": ClassTraffic(0.3, 3.0, 500.0, 1200.0, False),
        "book": ClassTraffic(0.1, 2.0, 800.0, 1500.0, False, True),
    }


def default_work() -> WorkProfile:
    """Return a work profile with runs of 10 to 30 ms, where two classes make a call."""
    return WorkProfile({"read": 30.0, "pay": 15.0, "book": 10.0}, {"read": 1.0, "pay": 1.0})


@dataclass(frozen=True)
class Plan:
    """The components of a fleet and their parameters.

    Attributes:
        size: Number of servers.
        seed: Seed of all random draws.
        rate_per_s: Requests per second of all clients together.
        balancer_count: Number of load balancers.
        traffic_classes: The traffic of clients, by traffic class.
        work: The work and the calls of runs.
        machine: The machines of worker pools.
        service: The records service.
        balancer_policy: The behaviour of load balancers.
        call_share: Maximum calls in flight per server; None for an equal share of what the records service survives.
        cold: Whether servers use slow start.
        is_relayed: Whether each link has a relay.
        records_list: Whether the endpoint list is recorded in the history ten times per second.
        service_process_count: Number of separate processes for the services; with 0 they run in the fleet's process.
        stop_ms: Time within which a server must exit after it is told to shut down.
        grace_ms: How long load balancers may still send after a server is told to shut down.
        slack_ms: Delay of answers and runs that the rules tolerate.
        memory_mb: Memory limit of each server.
        window_ms: How long idempotency records are kept.
        prefix: Prefix of the servers' names.
    """

    size: int = 3
    seed: int = 1
    rate_per_s: float = 60.0
    balancer_count: int = 4
    traffic_classes: dict[str, ClassTraffic] = field(default_factory=default_classes)
    work: WorkProfile = field(default_factory=default_work)
    machine: MachineProfile = field(default_factory=MachineProfile)
    service: ServiceProfile = field(default_factory=ServiceProfile)
    balancer_policy: BalancerPolicy = field(default_factory=BalancerPolicy)
    call_share: float | None = None
    cold: bool = False
    is_relayed: bool = True
    records_list: bool = False
    service_process_count: int = 0
    stop_ms: float = 1500.0
    grace_ms: float = 300.0
    slack_ms: float = ANSWER_SLACK_MS + SOCKET_TOLERANCE_MS
    memory_mb: int = 64
    window_ms: float = 4000.0
    prefix: str = "n"

    @property
    def names(self) -> list[str]:
        """The names of the servers."""
        return [f"{self.prefix}{number}" for number in range(1, self.size + 1)]

    def settings(self) -> dict[str, Any]:
        """Return the settings of each server, under the platform's keys."""
        return {
            "bounds": {"max-retry-after-ms": 1000.0, "retry-after": True},
            "classes": [self._class_settings(name, traffic) for name, traffic in self.traffic_classes.items()],
            "client-habits": {"marks-retry": True},
            "tenants": [{"name": "acme", "quota-rps": self.rate_per_s}],
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
            "idempotency": _idempotency_setting(traffic),
        }
        if traffic.has_idempotency_key:
            settings["memory-span-ms"] = self.window_ms
        return settings

    def _invariants(self) -> dict[str, Any]:
        return {
            "answer-slack-ms": ANSWER_SLACK_MS,
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
            "callers": self.balancer_count,
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


def _idempotency_setting(traffic: ClassTraffic) -> str:
    if traffic.has_idempotency_key:
        return "idempotency_key"
    return "read_like" if traffic.is_idempotent else "non_idempotent"


def _classes_with_calls(classes: Mapping[str, ClassTraffic], work: WorkProfile) -> list[bool]:
    return [work.calls.get(name, 0.0) > 0 for name in classes]


def _degraded_values(classes: Mapping[str, ClassTraffic]) -> list[float]:
    return [DEGRADED_VALUE_FRACTION if traffic.is_idempotent else 0.0 for traffic in classes.values()]
