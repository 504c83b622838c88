"""Generates configurations with a given number of tenants and traffic classes, in both formats.

`raised_limits` raises the limits on the size of a document and on the names in it. The cost of documents that the
server would reject can then be measured. It changes nothing else in the server.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from unittest.mock import patch

from nickelslip.configuration.config import config_from_platform
from nickelslip.configuration.document import Document
from nickelslip.configuration.document_conversion import document_of

ROOT = Path(__file__).parent.parent.parent
EXAMPLE = ROOT / "examples" / "config.json"
RAISED_MAX_DOCUMENT_BYTES, RAISED_MAX_NAMES = 64 << 20, 1 << 20
MEMORY_MB, DESCRIPTORS = 192, 4096
POOL_CORES, POOL_MEMORY_KB = 64, 400_000.0  # enough that no request waits for a core
STOP_MS, DRAIN_GRACE_MS = 400, 100.0  # short, since a run starts and stops many servers
IDLE_MS = 60_000.0
CANARY_PERIOD_MS = 1000.0
BASELINE_MS = 2000.0


@dataclass(frozen=True)
class Ports:
    """Loopback ports of a server and its peers."""

    listen: int = 1
    pool: int = 2
    directory: int = 3


def tenant_name(number: int) -> str:
    """Return the name of a tenant."""
    return f"t{number:05d}"


def platform_config(
    tenant_count: int, ports: Ports | None = None, traffic_class_count: int | None = None
) -> dict[str, Any]:
    """Return the example configuration in the platform's format, with these numbers of tenants and traffic classes."""
    ports = ports or Ports()
    value: dict[str, Any] = json.loads(EXAMPLE.read_text())
    value |= {
        "listen": f"127.0.0.1:{ports.listen}",
        "pool": f"127.0.0.1:{ports.pool}",
        "records": f"127.0.0.1:{ports.pool}",
        "lookup": f"127.0.0.1:{ports.directory}",
        "stop_ms": STOP_MS,
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
    }
    settings = value["settings"]
    settings["tenants"] = [{"name": tenant_name(number), "quota-rps": 2.0} for number in range(tenant_count)]
    settings["specifics"] |= {
        "idle-ms": IDLE_MS,
        "class-skip-worth": [],
        "cpus": POOL_CORES,
        "memory-kb": POOL_MEMORY_KB,
    }
    settings["invariants"]["stop-sending-within-ms"] = DRAIN_GRACE_MS
    if traffic_class_count is not None:
        first = settings["classes"][0]
        settings["classes"] = [{**first, "name": f"class{number}"} for number in range(traffic_class_count)]
    return value


def native_document(
    tenant_count: int, ports: Ports | None = None, socket: str = "", traffic_class_count: int | None = None
) -> Document:
    """Return the same configuration as a nickelslip document.

    It accepts changes on a control socket if `socket` is given.
    """
    document = document_of(config_from_platform(platform_config(tenant_count, ports, traffic_class_count), {}))
    changes = {
        "socket": socket,
        "probation_ms": CANARY_PERIOD_MS,
        "probation_most_ms": CANARY_PERIOD_MS,
        "baseline_ms": BASELINE_MS,
    }
    document["changes"] = {**document["changes"], **changes}
    return {"version": 1, **document}


def encode_compact(value: dict[str, Any]) -> bytes:
    """Return a configuration as compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()


@contextmanager
def raised_limits() -> Iterator[None]:
    """Raise the limits on the size of a document and on its numbers of tenants and traffic classes."""
    with ExitStack() as stack:
        stack.enter_context(
            patch("nickelslip.configuration.json5_reader.MAX_DOCUMENT_BYTES", RAISED_MAX_DOCUMENT_BYTES)
        )
        stack.enter_context(patch("nickelslip.configuration.loading.MAX_DOCUMENT_BYTES", RAISED_MAX_DOCUMENT_BYTES))
        names = {"grades": RAISED_MAX_NAMES, "customers": RAISED_MAX_NAMES}
        stack.enter_context(patch.dict("nickelslip.configuration.schema.MAX_NAMES", names))
        yield
