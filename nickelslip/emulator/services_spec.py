"""What a fleet's services are like, and its JSON form for the processes that run a part of them.

The words of the JSON form are mapped to fields by the tables here.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

from nickelslip.emulator.client_traffic import BalancerPolicy, ClassTraffic
from nickelslip.emulator.machine_model import MachineProfile
from nickelslip.emulator.service_model import ServiceProfile
from nickelslip.emulator.worker_pool import WorkProfile

Address = tuple[str, int]
KeyMap = Mapping[str, str]

READY_NUMBER = 0  # number of the reply of a services process that says that it has started

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
    "crowd_at": "crowded_above_per_core",
    "crowd_loss": "crowding_loss",
    "cold_from": "initial_speed_fraction",
    "cold_ms": "warm_up_ms",
    "cold_calls": "cold_calls_factor",
    "fall_multiple": "overload_per_core",
    "fall_ms": "overload_window_ms",
}
SERVICE_KEYS: KeyMap = {
    "slots": "slots",
    "call_ms": "call_ms",
    "crowd_loss": "crowding_loss",
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
    "lapse_ms": "directory_lapse_ms",
    "seed": "seed",
    "relayed": "is_relayed",
    "read_list": "records_list",
}


@dataclass(frozen=True)
class ServerAddresses:
    """Where a server listens and where it finds its services; relays are at these addresses, where there are any."""

    listen: Address
    pool: Address
    records: Address
    directory: Address


@dataclass(frozen=True)
class ServicesSpec:
    """A fleet's services.

    Attributes:
        servers: Each server's addresses.
        traffic_classes: What clients send.
        work: What runs are like.
        machine: What worker pools run on.
        service: What the records service is like.
        balancer_policy: How load balancers behave.
        balancer_count: How many there are.
        rate_per_s: Requests per second of all clients together.
        directory_lapse_ms: How long an entry of the endpoint list lasts without a report.
        seed: For everything that is drawn.
        is_relayed: Whether a relay stands on each link.
        records_list: Whether the endpoint list is read into the history ten times a second.
    """

    servers: dict[str, ServerAddresses]
    traffic_classes: dict[str, ClassTraffic]
    work: WorkProfile
    machine: MachineProfile = field(default_factory=MachineProfile)
    service: ServiceProfile = field(default_factory=ServiceProfile)
    balancer_policy: BalancerPolicy = field(default_factory=BalancerPolicy)
    balancer_count: int = 4
    rate_per_s: float = 100.0
    directory_lapse_ms: float = 3000.0
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
        """Return what a JSON form says."""
        return ServicesSpec(
            servers={name: _load_addresses(words) for name, words in value["servers"].items()},
            traffic_classes={
                name: ClassTraffic(**_fields(words, CLASS_KEYS)) for name, words in value["grades"].items()
            },
            work=WorkProfile(**value["work"]),
            machine=MachineProfile(**_fields(value["machine"], MACHINE_KEYS)),
            service=ServiceProfile(**_fields(value["service"], SERVICE_KEYS)),
            balancer_policy=BalancerPolicy(**_fields(value["habits"], POLICY_KEYS)),
            **_fields({word: value[word] for word in SCALAR_KEYS}, SCALAR_KEYS),
        )


def _load_addresses(words: Mapping[str, Any]) -> ServerAddresses:
    fields = _fields(words, ADDRESS_KEYS)
    return ServerAddresses(**{name: (host, port) for name, (host, port) in fields.items()})


def _dump(value: object, words: KeyMap) -> dict[str, Any]:
    return {word: getattr(value, name) for word, name in words.items()}


def _fields(value: Mapping[str, Any], words: KeyMap) -> dict[str, Any]:
    return {words[word]: item for word, item in value.items()}
