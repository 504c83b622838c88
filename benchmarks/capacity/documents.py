"""Configurations with a chosen number of tenants and traffic classes, in both forms.

Under `lifted_bounds` a document that is larger than the server accepts is read all the same, so that its cost can be
measured. Nothing else of the server is changed.
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
LIFTED_BYTES, LIFTED_NAMES = 64 << 20, 1 << 20
MEMORY_MB, DESCRIPTORS = 192, 4096
CORES, MEMORY_KB = 64, 400_000.0  # of the worker pool: so many that no request waits for one
STOP_MS, GRACE_MS = 400, 100.0  # a short end: many servers are started and ended in a run
IDLE_MS = 60_000.0
QUIET_PROBATION_MS = 1000.0
BASELINE_MS = 2000.0


@dataclass(frozen=True)
class Ports:
    """Where a server and its peers are on loopback."""

    listen: int = 1
    pool: int = 2
    directory: int = 3


def tenant(number: int) -> str:
    """The name of a tenant."""
    return f"t{number:05d}"


def platform_value(tenants: int, ports: Ports | None = None, grades: int | None = None) -> dict[str, Any]:
    """The example's configuration in the platform's form, with so many tenants and grades."""
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
    settings["tenants"] = [{"name": tenant(number), "quota-rps": 2.0} for number in range(tenants)]
    settings["specifics"] |= {"idle-ms": IDLE_MS, "class-skip-worth": [], "cpus": CORES, "memory-kb": MEMORY_KB}
    settings["invariants"]["stop-sending-within-ms"] = GRACE_MS
    if grades is not None:
        first = settings["classes"][0]
        settings["classes"] = [{**first, "name": f"class{number}"} for number in range(grades)]
    return value


def own_document(tenants: int, ports: Ports | None = None, socket: str = "", grades: int | None = None) -> Document:
    """The same in our own words, with changes taken on a control socket where one is named."""
    document = document_of(config_from_platform(platform_value(tenants, ports, grades), {}))
    changes = {
        "socket": socket,
        "probation_ms": QUIET_PROBATION_MS,
        "probation_most_ms": QUIET_PROBATION_MS,
        "baseline_ms": BASELINE_MS,
    }
    document["changes"] = {**document["changes"], **changes}
    return {"version": 1, **document}


def encoded(value: dict[str, Any]) -> bytes:
    """The shortest JSON text of a configuration."""
    return json.dumps(value, separators=(",", ":")).encode()


@contextmanager
def lifted_bounds() -> Iterator[None]:
    """Read texts and name tenants beyond today's bounds."""
    with ExitStack() as stack:
        stack.enter_context(patch("nickelslip.configuration.json5_reader.MAX_DOCUMENT_BYTES", LIFTED_BYTES))
        stack.enter_context(patch("nickelslip.configuration.loading.MAX_DOCUMENT_BYTES", LIFTED_BYTES))
        names = {"grades": LIFTED_NAMES, "customers": LIFTED_NAMES}
        stack.enter_context(patch.dict("nickelslip.configuration.schema.MAX_NAMES", names))
        yield
