"""What this server is told: environment and a JSON file to one typed value, checked, every fault named.

Owns the names under which a deployment tells a server its place and limits. It must never bind, connect or pick
a value that the deployment did not give; the settings of the module are decoded in nickelslip/settings.py.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, fields, replace
from pathlib import Path
from typing import Any

from nickelslip.admission.interface import Settings
from nickelslip.settings import Fields, Malformed, gauge_names, settings_of

Address = tuple[str, int]


@dataclass(frozen=True)
class Config:
    """One server's configuration."""

    name: str
    listen: Address
    pool: Address
    records: Address | None
    directory: Address
    seed: int
    stop_ms: float
    memory_mb: float
    descriptors: int
    settings: Settings
    gauges: tuple[str, ...]


def address_from(text: str, name: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise Malformed(f"{name}: host:port is needed")
    return host.strip("[]"), int(port)


def seed_from(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise Malformed("seed: hex digits are needed") from None


def config_of(value: object, environment: Mapping[str, str]) -> Config:
    """The checked configuration; ROUTER_NAME and ROUTER_LISTEN of the environment win over the file's."""
    if not isinstance(value, dict):
        raise Malformed("configuration: an object is needed")
    told: dict[str, Any] = {**value}
    for field, variable in (("name", "ROUTER_NAME"), ("listen", "ROUTER_LISTEN")):
        if environment.get(variable):
            told[field] = environment[variable]
    top = Fields(told, "")
    limits = top.inside("limits")
    settings = settings_of(told.get("settings"))
    calls = any(grade.calls for grade in settings.grades)
    name = top.text("name")
    if any(letter.isspace() for letter in name):
        raise Malformed("name: one word is needed")
    return Config(
        name=name, listen=address_from(top.text("listen"), "listen"), pool=address_from(top.text("pool"), "pool"),
        records=address_from(top.text("records"), "records") if calls or told.get("records") else None,
        directory=address_from(top.text("lookup"), "lookup"), seed=seed_from(top.text("seed")),
        stop_ms=top.number("stop_ms", above=True), memory_mb=limits.number("memory_mb", above=True),
        descriptors=limits.whole("sockets", least=32), settings=settings, gauges=gauge_names(told.get("settings")),
    )


def moved(now: Config, fresh: Config) -> tuple[Config, list[str]]:
    """What a running server takes over of a fresh configuration: the addresses of its peers. And the names of the
    other fields that differ, which need a restart; the seed is drawn anew with each file and means nothing here."""
    taken = replace(now, pool=fresh.pool, records=fresh.records, directory=fresh.directory)
    rest = [each.name for each in fields(Config)
            if each.name != "seed" and getattr(taken, each.name) != getattr(fresh, each.name)]
    return taken, rest


def load(path: str, environment: Mapping[str, str]) -> Config:
    """The configuration in the named file."""
    try:
        value = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise Malformed(f"configuration: {path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise Malformed(f"configuration: {path}: not JSON: {error}") from None
    return config_of(value, environment)
