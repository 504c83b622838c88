"""What a server is told, as one typed value, and the reading of the platform's own form of it.

Owns `Config` and the names under which the platform tells a server its place, its limits and its settings; the form
in our own words is read in document.py and ends in the same value. It must never bind, connect, read a file or pick
a value that nobody gave.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from typing import Any

from nickelslip.admission.interface import Settings
from nickelslip.settings import Fields, MalformedSettingsError, gauge_names, settings_of

Address = tuple[str, int]
UNKNOWN_ADDRESS: Address = ("", 0)


@dataclass(frozen=True)
class ChangeRules:
    """How this server takes changes of its configuration while it serves. Off where no socket is named."""

    socket: str = ""  # a path: the control socket (Unix domain); empty: there is none
    socket_mode: int = 0o600
    history: str = ""  # a folder that outlives the server; empty: history is kept in memory
    history_kb: float = 1024.0  # after which the file of the history is written anew with what still counts
    probation_ms: float = 10_000.0  # how long a change must do no harm before it is confirmed
    probation_most_ms: float = 60_000.0  # where so little can be told that the time is not enough
    baseline_ms: float = 20_000.0  # how far back the time before a change is looked at
    standard_errors: float = 4.0  # by so many standard errors worse is no chance
    held_off_ms: float = 600_000.0  # how long a document that was undone is refused unless forced
    reload_all: bool = False  # SIGHUP takes the whole file as a change, and not the peers' addresses alone

    @property
    def accepts_changes(self) -> bool:
        return bool(self.socket) or self.reload_all


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
    changes: ChangeRules = field(default_factory=ChangeRules)
    starts: str = ""  # a folder where starts that died early are remembered; empty: they are not


def parse_address(text: str, name: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise MalformedSettingsError(f"{name}: host:port is needed")
    return host.strip("[]"), int(port)


def parse_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise MalformedSettingsError("seed: hex digits are needed") from None


def environment_overrides(environment: Mapping[str, str]) -> dict[str, str]:
    """What the platform says by its environment, which wins over its file."""
    pairs = (("name", "ROUTER_NAME"), ("listen", "ROUTER_LISTEN"))
    return {name: environment[variable] for name, variable in pairs if environment.get(variable)}


def config_from_platform(
    value: object, environment: Mapping[str, str], faults: list[MalformedSettingsError] | None = None
) -> Config:
    """The checked configuration of the platform's form; ROUTER_NAME and ROUTER_LISTEN of the environment win over
    the file's. The first fault is raised, or all are put on the list, and then the value is not to be used."""
    if not isinstance(value, dict):
        raise MalformedSettingsError("configuration: an object is needed")
    told: dict[str, Any] = {**value, **environment_overrides(environment)}
    top = Fields(told, "", faults)
    limits = top.inside("limits")

    def address(name: str) -> Address:
        known = len(faults or ())
        text = top.text(name)
        if len(faults or ()) > known:
            return UNKNOWN_ADDRESS
        try:
            return parse_address(text, name)
        except MalformedSettingsError as fault:
            if faults is None:
                raise
            faults.append(fault)
            return UNKNOWN_ADDRESS

    settings = settings_of(told.get("settings"), faults)
    calls = any(grade.makes_calls for grade in settings.traffic_classes)
    name = top.text("name")
    if any(letter.isspace() for letter in name):
        if faults is None:
            raise MalformedSettingsError("name: one word is needed")
        faults.append(MalformedSettingsError("name: one word is needed"))
    try:
        seed = parse_seed(top.text("seed"))
    except MalformedSettingsError as fault:
        if faults is None:
            raise
        seed = 0
        faults.append(fault)
    return Config(
        name=name,
        listen=address("listen"),
        pool=address("pool"),
        records=address("records") if calls or told.get("records") else None,
        directory=address("lookup"),
        seed=seed,
        stop_ms=top.number("stop_ms", above=True),
        memory_mb=limits.number("memory_mb", above=True),
        descriptors=limits.whole("sockets", least=32),
        settings=settings,
        gauges=gauge_names(told.get("settings"), faults),
    )


def with_new_peer_addresses(now: Config, fresh: Config) -> tuple[Config, list[str]]:
    """What a running server takes over of a fresh configuration: the addresses of its peers. And the names of the
    other fields that differ, which need a restart; the seed is drawn anew with each file and means nothing here."""
    taken = replace(now, pool=fresh.pool, records=fresh.records, directory=fresh.directory)
    rest = [
        each.name
        for each in fields(Config)
        if each.name != "seed" and getattr(taken, each.name) != getattr(fresh, each.name)
    ]
    return taken, rest
