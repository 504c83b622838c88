"""A server's configuration as one typed value, and the decoder of the platform's form of it.

nickelslip's own form is read by ``document_reader`` and converted by ``document_conversion``; both forms end in the
same ``Config``. The module does no I/O and chooses no value that was not given.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from typing import Any

from nickelslip.admission.interface import Settings
from nickelslip.json_fields import JsonFields, MalformedSettingsError
from nickelslip.settings import decode_gauge_names, decode_settings

Address = tuple[str, int]
UNKNOWN_ADDRESS: Address = ("", 0)  # stands in for a faulty one while further faults are collected
MAX_PORT = 65535
MIN_DESCRIPTORS = 32
OVERRIDE_PREFIX = "NICKELSLIP_SET_"  # of variables that override single values: NICKELSLIP_SET_MACHINE__CORES
NAME_VARIABLE = "ROUTER_NAME"
LISTEN_VARIABLE = "ROUTER_LISTEN"


@dataclass(frozen=True)
class ChangeRules:
    """How this server takes changes of its configuration while it serves.

    Attributes:
        socket: Path of the control socket (Unix domain); empty if there is none.
        socket_mode: Permissions of the control socket.
        history: Folder of the history, which outlives the server; empty if the history is kept in memory.
        history_kb: Size over which the history file is rewritten with only what still counts.
        canary_period_ms: How long a change must do no harm before it is confirmed.
        max_canary_period_ms: The same, where too little can be told within ``canary_period_ms``.
        baseline_ms: Length of the span before a change that it is compared with.
        standard_errors: How many standard errors make a difference that is not chance.
        rejected_after_rollback_ms: How long a document that was rolled back is rejected unless forced.
        reload_all: Whether SIGHUP takes the whole file as a change, instead of the peers' addresses alone.
    """

    socket: str = ""
    socket_mode: int = 0o600
    history: str = ""
    history_kb: float = 1024.0
    canary_period_ms: float = 10_000.0
    max_canary_period_ms: float = 60_000.0
    baseline_ms: float = 20_000.0
    standard_errors: float = 4.0
    rejected_after_rollback_ms: float = 600_000.0
    reload_all: bool = False

    @property
    def accepts_changes(self) -> bool:
        """Whether changes can come in, by the control socket or by SIGHUP."""
        return bool(self.socket) or self.reload_all


@dataclass(frozen=True)
class Config:
    """One server's configuration.

    The names of the fields are logged where a difference needs a restart.

    Attributes:
        name: Name of the server, the same after a restart.
        listen: Where load balancers connect.
        pool: Address of the worker pool.
        records: Address of the dependency that requests call, if there is one.
        directory: Where this server is reported.
        seed: Seed of the random generators.
        stop_ms: Time from the signal to stop to the kill.
        memory_mb: Memory limit of this process.
        descriptors: File descriptor limit of this process.
        settings: The settings of the admission control.
        gauges: Names of the gauges, in the order of the worker pool.
        changes: The rules for changes.
        starts: Folder where starts that ended early are recorded; empty if they are not.
    """

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
    starts: str = ""


def parse_address(text: str, name: str) -> Address:
    """Return the host and the port of ``host:port``; an IPv6 host may stand in brackets.

    Args:
        text: The address.
        name: Name of its field, for the error.

    Raises:
        MalformedSettingsError: It is no such address.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise MalformedSettingsError(f"{name}: host:port is needed")
    return host.strip("[]"), int(port)


def parse_seed(text: str) -> int:
    """Return the number of a seed in hex digits. Raises MalformedSettingsError."""
    try:
        return int(text, 16)
    except ValueError:
        raise MalformedSettingsError("seed: hex digits are needed") from None


def environment_overrides(environment: Mapping[str, str]) -> dict[str, str]:
    """Return the name and the listening address that the environment gives; they win over every file."""
    variables = (("name", NAME_VARIABLE), ("listen", LISTEN_VARIABLE))
    return {name: environment[variable] for name, variable in variables if environment.get(variable)}


def config_from_platform(
    value: object, environment: Mapping[str, str], faults: list[MalformedSettingsError] | None = None
) -> Config:
    """Return the checked configuration of a document in the platform's form.

    Args:
        value: The document.
        environment: Its variables win over the document's name and listening address.
        faults: Takes all faults if given; if there are any, the result must not be used.

    Raises:
        MalformedSettingsError: The first fault, if ``faults`` is not given; in any case if the value is no object.
    """
    if not isinstance(value, dict):
        raise MalformedSettingsError("configuration: an object is needed")
    given: dict[str, Any] = {**value, **environment_overrides(environment)}
    top = JsonFields(given, "", faults)
    limits = top.child("limits")
    settings = decode_settings(given.get("settings"), faults)
    makes_calls = any(traffic_class.makes_calls for traffic_class in settings.traffic_classes)
    # The order of the fields is the order in which faults are reported
    return Config(
        name=_read_name(top, faults),
        seed=_read_seed(top, faults),
        listen=_read_address(top, "listen", faults),
        pool=_read_address(top, "pool", faults),
        records=_read_address(top, "records", faults) if makes_calls or given.get("records") else None,
        directory=_read_address(top, "lookup", faults),
        stop_ms=top.number("stop_ms", is_exclusive=True),
        memory_mb=limits.number("memory_mb", is_exclusive=True),
        descriptors=limits.integer("sockets", minimum=MIN_DESCRIPTORS),
        settings=settings,
        gauges=decode_gauge_names(given.get("settings"), faults),
    )


def _report(error: MalformedSettingsError, faults: list[MalformedSettingsError] | None) -> None:
    """Add a fault to the list, or raise it if there is none."""
    if faults is None:
        raise error
    faults.append(error)


def _read_name(top: JsonFields, faults: list[MalformedSettingsError] | None) -> str:
    name = top.text("name")
    if any(letter.isspace() for letter in name):
        _report(MalformedSettingsError("name: one word is needed"), faults)
    return name


def _read_seed(top: JsonFields, faults: list[MalformedSettingsError] | None) -> int:
    try:
        return parse_seed(top.text("seed"))
    except MalformedSettingsError as error:
        _report(error, faults)
        return 0


def _read_address(top: JsonFields, name: str, faults: list[MalformedSettingsError] | None) -> Address:
    fault_count = len(faults or ())
    text = top.text(name)
    if len(faults or ()) > fault_count:
        return UNKNOWN_ADDRESS
    try:
        return parse_address(text, name)
    except MalformedSettingsError as error:
        _report(error, faults)
        return UNKNOWN_ADDRESS


def with_new_peer_addresses(current: Config, fresh: Config) -> tuple[Config, list[str]]:
    """Return the current configuration with the peers' addresses of a fresh one.

    The second value holds the names of the other fields that differ, which need a restart. The seed is left out: it is
    drawn anew with each file.
    """
    updated = replace(current, pool=fresh.pool, records=fresh.records, directory=fresh.directory)
    differing = [
        config_field.name
        for config_field in fields(Config)
        if config_field.name != "seed" and getattr(updated, config_field.name) != getattr(fresh, config_field.name)
    ]
    return updated, differing
