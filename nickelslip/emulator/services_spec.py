"""The specification of a fleet's services, and its JSON form for the processes that run some of them.

The `*_KEYS` tables map the keys of the JSON form to fields.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

from nickelslip.emulator.client_traffic import BalancerPolicy, ClassTraffic
from nickelslip.emulator.machine_model import MachineProfile
from nickelslip.emulator.service_model import ServiceProfile
from nickelslip.emulator.work_profile import WorkProfile

Address = tuple[str, int]
KeyMap = Mapping[str, str]

READY_NUMBER = 0  # number of the reply that a services process sends when it has started

ADDRESS_KEYS: KeyMap = {"listen": "listen", "pool": "pool", "records": "records", "directory": "directory"}
CLASS_KEYS: KeyMap = {
    "part": "request_fraction",
    "credit": "priority_weight",
    "quoted_ms": "latency_objective_ms",
    "patience_ms": "timeout_ms",
    "replayable": "is_idempotent",
    "marked": "has_idempotency_key",
    "without_call": "degraded_value_fraction",
}
POLICY_KEYS: KeyMap = {"late_ms": "list_delay_ms", "heeds": "heeds_signals", "most_tries": "max_attempts"}
MACHINE_KEYS: KeyMap = {
    "cores": "cores",
    "speed": "speed",
    "crowd_at": "contention_threshold_per_core",
    "crowd_loss": "contention_loss",
    "cold_from": "initial_speed_fraction",
    "cold_ms": "warm_up_ms",
    "cold_calls": "cold_calls_factor",
    "fall_multiple": "overload_per_core",
    "fall_ms": "overload_window_ms",
}
SERVICE_KEYS: KeyMap = {
    "slots": "slots",
    "call_ms": "call_ms",
    "crowd_loss": "contention_loss",
    "survives": "survivable_in_flight",
    "span_ms": "window_ms",
    "linger_ms": "abandoned_call_linger_ms",
    "down_ms": "down_ms",
    "cold_from": "initial_speed_fraction",
    "cold_ms": "warm_up_ms",
}
SCALAR_KEYS: KeyMap = {
    "balancers": "balancer_count",
    "rate": "rate_per_s",
    "lapse_ms": "directory_expiry_ms",
    "seed": "seed",
    "relayed": "is_relayed",
    "read_list": "records_list",
}


@dataclass(frozen=True)
class ServerAddresses:
    """The address at which a server listens, and those of its services or, with relays, of the services' relays."""

    listen: Address
    pool: Address
    records: Address
    directory: Address


@dataclass(frozen=True)
class ServicesSpec:
    """The specification of a fleet's services.

    Attributes:
        servers: The addresses of each server.
        traffic_classes: The traffic of clients, by traffic class.
        work: The work and the calls of runs.
        machine: The machines of worker pools.
        service: The records service.
        balancer_policy: The behaviour of load balancers.
        balancer_count: Number of load balancers.
        rate_per_s: Requests per second of all clients together.
        directory_expiry_ms: Time after which an entry of the endpoint list expires without a new report.
        seed: Seed of all random draws.
        is_relayed: Whether each link has a relay.
        records_list: Whether the endpoint list is recorded in the history ten times per second.
    """

    servers: dict[str, ServerAddresses]
    traffic_classes: dict[str, ClassTraffic]
    work: WorkProfile
    machine: MachineProfile = field(default_factory=MachineProfile)
    service: ServiceProfile = field(default_factory=ServiceProfile)
    balancer_policy: BalancerPolicy = field(default_factory=BalancerPolicy)
    balancer_count: int = 4
    rate_per_s: float = 100.0
    directory_expiry_ms: float = 3000.0
    seed: int = 1
    is_relayed: bool = True
    records_list: bool = False

    def dump(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            "servers": {name: _dump(addresses, ADDRESS_KEYS) for name, addresses in self.servers.items()},
            "grades": {name: _dump(traffic, CLASS_KEYS) for name, traffic in self.traffic_classes.items()},
            "work": asdict(self.work),
            "machine": _dump(self.machine, MACHINE_KEYS),
            "service": _dump(self.service, SERVICE_KEYS),
            "habits": _dump(self.balancer_policy, POLICY_KEYS),
            **_dump(self, SCALAR_KEYS),
        }

    @staticmethod
    def load(value: dict[str, Any]) -> ServicesSpec:
        """Return the specification that a JSON form describes."""
        return ServicesSpec(
            servers={name: _load_addresses(addresses) for name, addresses in value["servers"].items()},
            traffic_classes={
                name: ClassTraffic(**_fields(traffic, CLASS_KEYS)) for name, traffic in value["grades"].items()
            },
            work=WorkProfile(**value["work"]),
            machine=MachineProfile(**_fields(value["machine"], MACHINE_KEYS)),
            service=ServiceProfile(**_fields(value["service"], SERVICE_KEYS)),
            balancer_policy=BalancerPolicy(**_fields(value["habits"], POLICY_KEYS)),
            **_fields({key: value[key] for key in SCALAR_KEYS}, SCALAR_KEYS),
        )


def _load_addresses(value: Mapping[str, Any]) -> ServerAddresses:
    fields = _fields(value, ADDRESS_KEYS)
    return ServerAddresses(**{name: (host, port) for name, (host, port) in fields.items()})


def _dump(value: object, keys: KeyMap) -> dict[str, Any]:
    return {key: getattr(value, name) for key, name in keys.items()}


def _fields(value: Mapping[str, Any], keys: KeyMap) -> dict[str, Any]:
    return {keys[key]: item for key, item in value.items()}
