"""Generations: one immutable value for each configuration that was in force.

Owns what a server derives from a configuration once, so that a transaction can keep the generation under which it was
read to its end. It must never change after it was made, and holds no state of the server.
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

RESULTS_PART = 1 / 4  # of this process's memory, for results that repeats may still ask for
ENTRY_KB = 6.0  # an entry of the table in this process, with a result of the largest size


@dataclass(frozen=True, eq=False)
class Generation:
    """One configuration in force: its number, where it came from, and when it was made (Unix milliseconds)."""

    number: int
    config: Config
    origin: str = "start"
    since_ms: float = 0.0

    @cached_property
    def settings(self) -> Settings:
        """As the module gets them: a table's entry is counted so large that its bound keeps this process's memory,
        too."""
        config = self.config
        entries_most = config.memory_mb * 1024 * RESULTS_PART / ENTRY_KB
        return replace(
            config.settings,
            idempotency_record_kb=max(config.settings.idempotency_record_kb, config.settings.memory_kb / entries_most),
        )

    @cached_property
    def retry_safety_by_class(self) -> Mapping[str, RetrySafety]:
        """What may happen a second time to transactions of each grade."""
        return MappingProxyType({grade.name: grade.retry_safety for grade in self.config.settings.traffic_classes})

    @cached_property
    def tenant_names(self) -> frozenset[str]:
        return frozenset(each.name for each in self.config.settings.tenants)

    @cached_property
    def longest_timeout_ms(self) -> float:
        """The longest that any caller waits."""
        return max(grade.timeout_ms for grade in self.config.settings.traffic_classes)

    @cached_property
    def descriptor_shares(self) -> DescriptorShares:
        """Of this process's descriptors."""
        theirs = CONTROL_DESCRIPTORS if self.config.changes.accepts_changes else 0
        return descriptor_shares(self.config.descriptors - theirs, self.config.settings.dependency_concurrency_share)

    @cached_property
    def latency_objectives_ms(self) -> Mapping[str, float]:
        return MappingProxyType(
            {grade.name: grade.latency_objective_ms for grade in self.config.settings.traffic_classes}
        )


def canonical(document: Mapping[str, Any]) -> bytes:
    """The one text of a whole document, without what is never compared."""
    from nickelslip.configuration.schema import NEVER_COMPARED  # needed only where changes are taken

    bare = {
        section: {name: value for name, value in inner.items() if (section, name) not in NEVER_COMPARED}
        for section, inner in document.items()
    }
    return json.dumps(bare, sort_keys=True, separators=(",", ":"), ensure_ascii=False).encode()


def digest_of(document: Mapping[str, Any]) -> str:
    """By which a document is known again: 32 hex digits of XXH3 over its canonical text."""
    import xxhash  # an extra: needed only where changes are taken

    return str(xxhash.xxh3_128_hexdigest(canonical(document)))
