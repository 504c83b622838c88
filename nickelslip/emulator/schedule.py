"""Schedules of faults, parsed and validated from decoded JSON.

A schedule is a list of objects with `at_ms`, `do`, `servers` and the other fields of the step. `scenario_runner`
executes the steps.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from nickelslip.emulator.links import FAULT_KEYS, Direction

LINKS = ("", "pool", "records", "directory", "balancers")
FAULTS_OF_LINK_STEP = tuple(key for key in FAULT_KEYS if key != "cut")  # "cut" is a separate step
DIRECTION_VALUES = tuple(direction.value for direction in Direction)
MAX_STEPS = 10_000
MAX_NUMBER = 3_600_000.0


class ScheduleError(Exception):
    """A schedule is invalid; the message has one line for each error, with its location."""


class FieldKind(Enum):
    """The type of the value of a step's field."""

    NUMBER = "number"
    FLAG = "flag"
    CHOICE = "choice"
    DIRECTIONS = "ways"
    FAULTS = "faults"


@dataclass(frozen=True)
class StepField:
    """A field that a step may have.

    Attributes:
        kind: The type of its value.
        minimum: The minimum of a number.
        choices: The allowed values of a choice.
        is_required: Whether the field is required.
    """

    kind: FieldKind
    minimum: float = 0.0
    choices: tuple[str, ...] = ()
    is_required: bool = False


DURATION = StepField(FieldKind.NUMBER, is_required=True)  # milliseconds until the step is undone
OPTIONAL_NUMBER = StepField(FieldKind.NUMBER)
REQUIRED_FROM_ONE = StepField(FieldKind.NUMBER, 1, is_required=True)
LINK = StepField(FieldKind.CHOICE, choices=LINKS)
DIRECTIONS = StepField(FieldKind.DIRECTIONS)
STEP_FIELDS: dict[str, dict[str, StepField]] = {
    "kill": {"back_after_ms": OPTIONAL_NUMBER, "up_ms": OPTIONAL_NUMBER},
    "leave": {},
    "replace": {"each_after_ms": OPTIONAL_NUMBER},
    "start": {"up_ms": OPTIONAL_NUMBER},
    "stand_still": {"for_ms": DURATION},
    "reload": {},
    "loop": {"times": REQUIRED_FROM_ONE, "every_ms": REQUIRED_FROM_ONE},
    "cut": {"link": LINK, "ways": DIRECTIONS, "for_ms": DURATION},
    "link": {
        "link": LINK,
        "ways": DIRECTIONS,
        "faults": StepField(FieldKind.FAULTS, is_required=True),
        "for_ms": DURATION,
    },
    "reset": {"link": LINK},
    "directory_down": {"for_ms": DURATION, "empty": StepField(FieldKind.FLAG)},
    "records_down": {"for_ms": DURATION},
    "records_slow": {"by": REQUIRED_FROM_ONE, "for_ms": DURATION},
    "restart_balancers": {"part": OPTIONAL_NUMBER},
    "ask": {"rate": StepField(FieldKind.NUMBER, is_required=True)},
}
STEPS_ON_SERVERS = ("kill", "leave", "replace", "start", "stand_still", "reload", "loop", "cut", "link", "reset")


@dataclass(frozen=True)
class Step:
    """One step of a schedule.

    Attributes:
        at_ms: Time from the start of the schedule.
        do: The kind of step, a key of STEP_FIELDS.
        servers: The servers that it affects.
        values: The step's other fields.
    """

    at_ms: float
    do: str
    servers: tuple[str, ...] = ()
    values: dict[str, Any] = field(default_factory=dict)


def servers_of_zone(names: Sequence[str], zone_count: int, zone: int) -> tuple[str, ...]:
    """Return the servers of one zone; servers are assigned to zones round robin."""
    return tuple(names[zone::zone_count])


def draw_servers(names: Sequence[str], fraction: float, generator: random.Random) -> tuple[str, ...]:
    """Draw a random fraction of the servers, at least one."""
    count = max(1, round(fraction * len(names)))
    return tuple(sorted(generator.sample(list(names), count)))


def parse_schedule(value: Any, names: Sequence[str], seed: int = 1, zone_count: int = 3) -> list[Step]:
    """Return the steps of a schedule given as decoded JSON, in chronological order.

    Servers are given as a list of names, as {"part": 0.3} for a random fraction, or as {"zone": 1}.

    Raises:
        ScheduleError: The schedule is invalid; the message lists every error with its location.
    """
    if not isinstance(value, list) or len(value) > MAX_STEPS:
        raise ScheduleError(f"schedule: must be a list of at most {MAX_STEPS} steps")
    parser = _ScheduleParser(names, zone_count, random.Random(f"schedule {seed}"))
    steps = [parser.parse_step(step, f"schedule[{index}]") for index, step in enumerate(value)]
    if parser.errors:
        raise ScheduleError("\n".join(parser.errors))
    return sorted((step for step in steps if step is not None), key=lambda step: step.at_ms)


class _ScheduleParser:
    """Parses steps and collects errors.

    Args:
        names: The names of all servers.
        zone_count: The number of zones.
        generator: Generator for random choices of servers.
    """

    def __init__(self, names: Sequence[str], zone_count: int, generator: random.Random) -> None:
        self.errors: list[str] = []
        self._names = names
        self._zone_count = zone_count
        self._generator = generator
        self._parsers: dict[FieldKind, Callable[[Any, StepField, str], Any]] = {
            FieldKind.NUMBER: self._number,
            FieldKind.FLAG: self._flag,
            FieldKind.CHOICE: self._choice,
            FieldKind.DIRECTIONS: self._directions,
            FieldKind.FAULTS: self._faults,
        }

    def parse_step(self, value: Any, location: str) -> Step | None:
        """Return one step, or None if it is not an object or its kind is unknown."""
        if not isinstance(value, dict):
            self.errors.append(f"{location}: must be an object")
            return None
        do = value.get("do")
        if do not in STEP_FIELDS:
            self.errors.append(f"{location}.do: must be one of {', '.join(STEP_FIELDS)}")
            return None
        at_ms = self._number(value.get("at_ms"), OPTIONAL_NUMBER, f"{location}.at_ms")
        servers: tuple[str, ...] = ()
        if do in STEPS_ON_SERVERS:
            servers = self._servers(value.get("servers"), f"{location}.servers")
        values = self._values(value, STEP_FIELDS[do], location)
        self._reject_unknown_fields(value, do, location)
        return Step(at_ms, do, servers, values)

    def _values(self, value: dict[str, Any], fields: dict[str, StepField], location: str) -> dict[str, Any]:
        values = {}
        for name, spec in fields.items():
            if name in value:
                values[name] = self._parsers[spec.kind](value[name], spec, f"{location}.{name}")
            elif spec.is_required:
                self.errors.append(f"{location}.{name}: is required")
        return values

    def _reject_unknown_fields(self, value: dict[str, Any], do: str, location: str) -> None:
        known = {"at_ms", "do", *STEP_FIELDS[do]}
        if do in STEPS_ON_SERVERS:
            known.add("servers")
        self.errors += [f"{location}.{name}: is not a field of {do}" for name in value if name not in known]

    def _number(self, value: Any, spec: StepField, location: str) -> float:
        if not _is_number(value) or not spec.minimum <= value <= MAX_NUMBER:
            self.errors.append(f"{location}: must be a number from {spec.minimum:g} to {MAX_NUMBER:g}")
            return spec.minimum
        return float(value)

    def _flag(self, value: Any, _: StepField, location: str) -> Any:
        if not isinstance(value, bool):
            self.errors.append(f"{location}: must be true or false")
        return value

    def _choice(self, value: Any, spec: StepField, location: str) -> Any:
        if value not in spec.choices:
            self.errors.append(f"{location}: must be one of {', '.join(filter(None, spec.choices))}")
        return value

    def _directions(self, value: Any, _: StepField, location: str) -> Any:
        if not isinstance(value, list) or not value or any(direction not in DIRECTION_VALUES for direction in value):
            self.errors.append(f"{location}: must be a list of values from {', '.join(DIRECTION_VALUES)}")
        return value

    def _faults(self, value: Any, _: StepField, location: str) -> dict[str, float]:
        if not isinstance(value, dict) or not value or any(key not in FAULTS_OF_LINK_STEP for key in value):
            self.errors.append(f"{location}: must be an object with keys from {', '.join(FAULTS_OF_LINK_STEP)}")
            return {}
        return {key: self._number(number, OPTIONAL_NUMBER, f"{location}.{key}") for key, number in value.items()}

    def _servers(self, value: Any, location: str) -> tuple[str, ...]:
        if isinstance(value, list) and value and all(name in self._names for name in value):
            return tuple(value)
        if isinstance(value, dict) and list(value) == ["part"]:
            fraction = min(1.0, self._number(value["part"], OPTIONAL_NUMBER, f"{location}.part"))
            return draw_servers(self._names, fraction, self._generator)
        if isinstance(value, dict) and list(value) == ["zone"] and value["zone"] in range(self._zone_count):
            return servers_of_zone(self._names, self._zone_count, value["zone"])
        zones = f"0 to {self._zone_count - 1}"
        self.errors.append(f"{location}: must be a list of known names, {{part: 0 to 1}} or {{zone: {zones}}}")
        return ()


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)
