"""Generations: an immutable object for each configuration that is or was in force.

A generation caches the values that a server derives from its configuration. A request keeps the generation under which
it was read until it ends. A generation holds no state of the server.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from functools import cached_property
from types import MappingProxyType
from typing import Any

from nickelslip.admission.interface import RetrySafety, Settings
from nickelslip.configuration.config import Config
from nickelslip.configuration.descriptors import CONTROL_DESCRIPTORS, DescriptorShares, descriptor_shares

CACHED_RESPONSES_MEMORY_FRACTION = 1 / 4  # of this process's memory, for responses kept for retries
CACHED_RESPONSE_KB = 6.0  # size of an idempotency record in this process with a response of maximum size
CONNECTIONS_MEMORY_FRACTION = 1 / 4  # of this process's memory, for connections from load balancers
CONNECTION_KB = 24.0  # size of such a connection in this process, without its buffers
KB_PER_MB = 1024
PEERS_SECTION = "peers"


@dataclass(frozen=True, eq=False)
class Generation:
    """One configuration that is or was in force.

    Attributes:
        number: Number of the generation, starting at 1 and rising over the whole history.
        config: The configuration.
        origin: Where the configuration came from.
        created_at_ms: Unix time at which the generation was created.
    """

    number: int
    config: Config
    origin: str = "start"
    created_at_ms: float = 0.0

    @cached_property
    def settings(self) -> Settings:
        """The settings for the admission controller.

        The size of an idempotency record is raised where necessary, so that the limit of the idempotency table also
        bounds the memory that this process uses for cached responses.
        """
        config = self.config
        max_records = config.memory_mb * KB_PER_MB * CACHED_RESPONSES_MEMORY_FRACTION / CACHED_RESPONSE_KB
        return replace(
            config.settings,
            idempotency_record_kb=max(config.settings.idempotency_record_kb, config.settings.memory_kb / max_records),
        )

    @cached_property
    def retry_safety_by_class(self) -> Mapping[str, RetrySafety]:
        """Whether requests may be executed twice, keyed by the name of their traffic class."""
        classes = self.config.settings.traffic_classes
        return MappingProxyType({traffic_class.name: traffic_class.retry_safety for traffic_class in classes})

    @cached_property
    def tenant_names(self) -> frozenset[str]:
        """The names of all tenants."""
        return frozenset(tenant.name for tenant in self.config.settings.tenants)

    @cached_property
    def longest_timeout_ms(self) -> float:
        """The longest timeout of all traffic classes."""
        return max(traffic_class.timeout_ms for traffic_class in self.config.settings.traffic_classes)

    @cached_property
    def descriptor_shares(self) -> DescriptorShares:
        """How the file descriptors of this process are divided."""
        reserved = CONTROL_DESCRIPTORS if self.config.changes.accepts_changes else 0
        return descriptor_shares(self.config.descriptors - reserved, self.config.settings.dependency_concurrency_share)

    @property
    def max_load_balancer_connections(self) -> int:
        """How many connections from load balancers fit into the descriptors and the memory of this process."""
        memory_kb = self.config.memory_mb * KB_PER_MB * CONNECTIONS_MEMORY_FRACTION
        return max(1, min(self.descriptor_shares.load_balancers, int(memory_kb / CONNECTION_KB)))

    @cached_property
    def latency_objectives_ms(self) -> Mapping[str, float]:
        """The latency objective of each traffic class, keyed by its name."""
        classes = self.config.settings.traffic_classes
        return MappingProxyType({traffic_class.name: traffic_class.latency_objective_ms for traffic_class in classes})


def canonical_bytes(document: Mapping[str, Any]) -> bytes:
    """Return the canonical text of a complete document, without the fields that are never compared."""
    from nickelslip.configuration.schema import NEVER_COMPARED  # only needed if changes are enabled

    compared = {
        section: {name: value for name, value in inner.items() if (section, name) not in NEVER_COMPARED}
        for section, inner in document.items()
    }
    return json.dumps(compared, sort_keys=True, separators=(",", ":"), ensure_ascii=False).encode()


def settings_of(document: Mapping[str, Any]) -> bytes:
    """Return the canonical text of a document without the addresses of peers, which may move while it is in force."""
    return canonical_bytes({section: inner for section, inner in document.items() if section != PEERS_SECTION})


def digest_of(document: Mapping[str, Any]) -> str:
    """Return the digest that identifies a document: the XXH3-128 of its canonical text as 32 hex digits."""
    import xxhash  # an optional dependency, only needed if changes are enabled

    return str(xxhash.xxh3_128_hexdigest(canonical_bytes(document)))
