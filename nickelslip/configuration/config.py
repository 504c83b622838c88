"""The typed configuration of a server, and the decoder of documents in the platform's form.

The platform is the environment that builds and starts the server. ``document_reader`` reads nickelslip's own form and
``document_conversion`` converts it. Both forms result in the same ``Config``.

The module does no I/O. The decoder takes the name and the listening address from the environment variables passed in,
if they are set there, and all else from the document; ``changes`` and ``starts`` keep their defaults.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, fields, replace
from typing import Any

from nickelslip.admission.interface import Settings
from nickelslip.configuration.descriptors import MIN_DESCRIPTORS
from nickelslip.json_fields import JsonFields, MalformedSettingsError
from nickelslip.settings import decode_gauge_names, decode_settings

Address = tuple[str, int]
PLACEHOLDER_ADDRESS: Address = ("", 0)  # replaces an invalid address while further faults are collected
MAX_PORT = 65535
# Prefix of the environment variables that each override one value, such as NICKELSLIP_SET_MACHINE__CORES
OVERRIDE_PREFIX = "NICKELSLIP_SET_"
NAME_VARIABLE = "ROUTER_NAME"
LISTEN_VARIABLE = "ROUTER_LISTEN"


@dataclass(frozen=True)
class ChangeRules:
    """The rules for configuration changes of a running server.

    Attributes:
        socket: Path of the control socket (Unix domain); empty if there is none.
        socket_mode: Permissions of the control socket.
        history: Directory of the history, which must outlive the server; empty if the history is kept in memory.
        history_kb: Size above which the history file is compacted to the records that are still needed.
        canary_period_ms: Length of the canary period. A change must do no harm during it to be confirmed.
        max_canary_period_ms: Maximum length of the canary period if ``canary_period_ms`` yields too little data.
        baseline_ms: Length of the period before a change with which the canary period is compared.
        standard_errors: Number of standard errors from which on a difference is not attributed to chance.
        rejected_after_rollback_ms: How long a rolled-back document is rejected unless it is forced.
        reload_all: Whether SIGHUP applies the whole file as a change. Otherwise it applies only the peers'
            addresses, which are those of the worker pool, the dependency and the directory.
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
        """Whether changes are accepted, from the control socket or on SIGHUP."""
        return bool(self.socket) or self.reload_all


@dataclass(frozen=True)
class Config:
    """One server's configuration.

    The names of the fields are logged if a difference in them needs a restart.

    Attributes:
        name: Name of the server, which stays the same after a restart.
        listen: Address to which load balancers connect.
        pool: Address of the worker pool.
        records: Address of the dependency that requests call, if there is one.
        directory: Address of the directory, the service to which this server sends its load reports.
        seed: Seed of the random generators.
        stop_ms: Time from the stop signal to the kill.
        memory_mb: Memory limit of this process.
        descriptors: File descriptor limit of this process.
        settings: The settings of admission control.
        gauges: Names of the gauges, in the order in which the worker pool sends them.
        changes: The rules for configuration changes.
        starts: Directory in which early exits are recorded; empty if they are not recorded.
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
    """Return the host and the port of ``host:port``; an IPv6 host may be in brackets.

    Args:
        text: The address.
        name: Name of its field, for the error.

    Raises:
        MalformedSettingsError: The text is not a valid address.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise MalformedSettingsError(f"{name}: host:port is needed")
    return host.strip("[]"), int(port)


def parse_seed(text: str) -> int:
    """Parse a seed given in hexadecimal digits.

    Raises:
        MalformedSettingsError: The text is not a hexadecimal number.
    """
    try:
        return int(text, 16)
    except ValueError:
        raise MalformedSettingsError("seed: hex digits are needed") from None


def environment_overrides(environment: Mapping[str, str]) -> dict[str, str]:
    """Return the server name and listening address set in the environment, which take precedence over every file."""
    variables = (("name", NAME_VARIABLE), ("listen", LISTEN_VARIABLE))
    return {name: environment[variable] for name, variable in variables if environment.get(variable)}


def config_from_platform(
    value: object, environment: Mapping[str, str], faults: list[MalformedSettingsError] | None = None
) -> Config:
    """Return the checked configuration of a document in the platform's form.

    Args:
        value: The document.
        environment: Variables that take precedence over the document's name and listening address.
        faults: Collects all faults if given. The result must not be used if there are any.

    Raises:
        MalformedSettingsError: The value is not an object. If ``faults`` is not given, also for the first fault.
    """
    if not isinstance(value, dict):
        raise MalformedSettingsError("configuration: an object is needed")
    given: dict[str, Any] = {**value, **environment_overrides(environment)}
    root = JsonFields(given, "", faults)
    limits = root.child("limits")
    settings = decode_settings(given.get("settings"), faults)
    makes_calls = any(traffic_class.makes_calls for traffic_class in settings.traffic_classes)
    # Faults are reported in the order of these arguments, after those of the settings
    return Config(
        name=_read_name(root, faults),
        seed=_read_seed(root, faults),
        listen=_read_address(root, "listen", faults),
        pool=_read_address(root, "pool", faults),
        records=_read_address(root, "records", faults) if makes_calls or given.get("records") else None,
        directory=_read_address(root, "lookup", faults),
        stop_ms=root.number("stop_ms", is_exclusive=True),
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


def _read_name(root: JsonFields, faults: list[MalformedSettingsError] | None) -> str:
    name = root.text("name")
    if any(char.isspace() for char in name):
        _report(MalformedSettingsError("name: one word is needed"), faults)
    return name


def _read_seed(root: JsonFields, faults: list[MalformedSettingsError] | None) -> int:
    try:
        return parse_seed(root.text("seed"))
    except MalformedSettingsError as error:
        _report(error, faults)
        return 0


def _read_address(root: JsonFields, name: str, faults: list[MalformedSettingsError] | None) -> Address:
    fault_count = len(faults or ())
    text = root.text(name)
    if len(faults or ()) > fault_count:
        return PLACEHOLDER_ADDRESS
    try:
        return parse_address(text, name)
    except MalformedSettingsError as error:
        _report(error, faults)
        return PLACEHOLDER_ADDRESS


def with_new_peer_addresses(current: Config, reloaded: Config) -> tuple[Config, list[str]]:
    """Return the current configuration with the peers' addresses of a newly read one.

    The second value holds the names of the other fields that differ, which need a restart. The seed is not compared,
    because every generated file contains a new one.
    """
    updated = replace(current, pool=reloaded.pool, records=reloaded.records, directory=reloaded.directory)
    differing = [
        config_field.name
        for config_field in fields(Config)
        if config_field.name != "seed" and getattr(updated, config_field.name) != getattr(reloaded, config_field.name)
    ]
    return updated, differing
