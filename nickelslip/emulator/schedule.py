"""Schedules of faults: decoded JSON that is checked, and the steps that come of it.

A schedule is a list of objects with `at_ms`, `do`, `servers` and what that step may say. The words are mapped to fields
here and in scenario_runner.py, which carries steps out.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from nickelslip.emulator.links import FAULT_WORDS, Direction

LINKS = ("", "pool", "records", "directory", "balancers")
FAULTS_OF_LINK_STEP = tuple(word for word in FAULT_WORDS if word != "cut")  # a cut is a step of its own
DIRECTION_WORDS = tuple(direction.value for direction in Direction)
MAX_STEPS = 10_000
MAX_NUMBER = 3_600_000.0


class ScheduleError(Exception):
    """A schedule that cannot be carried out; the text has a line for each mistake, with its place."""


class WordKind(Enum):
    """What kind of value a word of a step has."""

    NUMBER = "number"
    FLAG = "flag"
    CHOICE = "choice"
    DIRECTIONS = "ways"
    FAULTS = "faults"


@dataclass(frozen=True)
class StepWord:
    """A word that a step may have.

    Attributes:
        kind: What its value is.
        minimum: The least value of a number.
        choices: The values of a choice.
        is_required: Whether the step has to have it.
    """

    kind: WordKind
    minimum: float = 0.0
    choices: tuple[str, ...] = ()
    is_required: bool = False


DURATION = StepWord(WordKind.NUMBER, is_required=True)  # milliseconds after which the step is undone
OPTIONAL_NUMBER = StepWord(WordKind.NUMBER)
REQUIRED_FROM_ONE = StepWord(WordKind.NUMBER, 1, is_required=True)
LINK = StepWord(WordKind.CHOICE, choices=LINKS)
DIRECTIONS = StepWord(WordKind.DIRECTIONS)
STEP_WORDS: dict[str, dict[str, StepWord]] = {
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
        "faults": StepWord(WordKind.FAULTS, is_required=True),
        "for_ms": DURATION,
    },
    "reset": {"link": LINK},
    "directory_down": {"for_ms": DURATION, "empty": StepWord(WordKind.FLAG)},
    "records_down": {"for_ms": DURATION},
    "records_slow": {"by": REQUIRED_FROM_ONE, "for_ms": DURATION},
    "restart_balancers": {"part": OPTIONAL_NUMBER},
    "ask": {"rate": StepWord(WordKind.NUMBER, is_required=True)},
}
STEPS_ON_SERVERS = ("kill", "leave", "replace", "start", "stand_still", "reload", "loop", "cut", "link", "reset")


@dataclass(frozen=True)
class Step:
    """One step of a schedule.

    Attributes:
        at_ms: When, from the beginning.
        do: What, a word of STEP_WORDS.
        servers: To which servers.
        values: The step's other words.
    """

    at_ms: float
    do: str
    servers: tuple[str, ...] = ()
    values: dict[str, Any] = field(default_factory=dict)


def servers_of_zone(names: Sequence[str], zone_count: int, zone: int) -> tuple[str, ...]:
    """Return the servers of one zone; they are dealt out to the zones in turn."""
    return tuple(names[zone::zone_count])


def draw_servers(names: Sequence[str], fraction: float, generator: random.Random) -> tuple[str, ...]:
    """Draw a fraction of the servers, at least one."""
    count = max(1, round(fraction * len(names)))
    return tuple(sorted(generator.sample(list(names), count)))


def parse_schedule(value: Any, names: Sequence[str], seed: int = 1, zone_count: int = 3) -> list[Step]:
    """Return the steps of decoded JSON, in the order of time.

    Servers are given by their names, as {"part": 0.3}, which is drawn from the seed, or as {"zone": 1}.

    Raises:
        ScheduleError: Something is wrong; the text has every mistake and its place.
    """
    if not isinstance(value, list) or len(value) > MAX_STEPS:
        raise ScheduleError(f"schedule: a list of at most {MAX_STEPS} steps is needed")
    parser = _ScheduleParser(names, zone_count, random.Random(f"schedule {seed}"))
    steps = [parser.parse_step(step, f"schedule[{index}]") for index, step in enumerate(value)]
    if parser.mistakes:
        raise ScheduleError("\n".join(parser.mistakes))
    return sorted((step for step in steps if step is not None), key=lambda step: step.at_ms)


class _ScheduleParser:
    """Parses steps and collects mistakes.

    Args:
        names: All servers.
        zone_count: How many zones they are in.
        generator: Draws servers.
    """

    def __init__(self, names: Sequence[str], zone_count: int, generator: random.Random) -> None:
        self.mistakes: list[str] = []
        self._names = names
        self._zone_count = zone_count
        self._generator = generator
        self._parsers: dict[WordKind, Callable[[Any, StepWord, str], Any]] = {
            WordKind.NUMBER: self._number,
            WordKind.FLAG: self._flag,
            WordKind.CHOICE: self._choice,
            WordKind.DIRECTIONS: self._directions,
            WordKind.FAULTS: self._faults,
        }

    def parse_step(self, value: Any, place: str) -> Step | None:
        """Return one step, or None where what it does is unknown."""
        if not isinstance(value, dict):
            self.mistakes.append(f"{place}: an object is needed")
            return None
        do = value.get("do")
        if do not in STEP_WORDS:
            self.mistakes.append(f"{place}.do: one of {', '.join(STEP_WORDS)} is needed")
            return None
        at_ms = self._number(value.get("at_ms"), OPTIONAL_NUMBER, f"{place}.at_ms")
        servers: tuple[str, ...] = ()
        if do in STEPS_ON_SERVERS:
            servers = self._servers(value.get("servers"), f"{place}.servers")
        values = self._values(value, STEP_WORDS[do], place)
        self._reject_unknown_words(value, do, place)
        return Step(at_ms, do, servers, values)

    def _values(self, value: dict[str, Any], words: dict[str, StepWord], place: str) -> dict[str, Any]:
        values = {}
        for name, word in words.items():
            if name in value:
                values[name] = self._parsers[word.kind](value[name], word, f"{place}.{name}")
            elif word.is_required:
                self.mistakes.append(f"{place}.{name}: is needed")
        return values

    def _reject_unknown_words(self, value: dict[str, Any], do: str, place: str) -> None:
        known = {"at_ms", "do", *STEP_WORDS[do]}
        if do in STEPS_ON_SERVERS:
            known.add("servers")
        self.mistakes += [f"{place}.{name}: is no word of {do}" for name in value if name not in known]

    def _number(self, value: Any, word: StepWord, place: str) -> float:
        if not _is_number(value) or not word.minimum <= value <= MAX_NUMBER:
            self.mistakes.append(f"{place}: a number from {word.minimum:g} to {MAX_NUMBER:g} is needed")
            return word.minimum
        return float(value)

    def _flag(self, value: Any, _: StepWord, place: str) -> Any:
        if not isinstance(value, bool):
            self.mistakes.append(f"{place}: true or false is needed")
        return value

    def _choice(self, value: Any, word: StepWord, place: str) -> Any:
        if value not in word.choices:
            self.mistakes.append(f"{place}: one of {', '.join(filter(None, word.choices))} is needed")
        return value

    def _directions(self, value: Any, _: StepWord, place: str) -> Any:
        if not isinstance(value, list) or not value or any(word not in DIRECTION_WORDS for word in value):
            self.mistakes.append(f"{place}: some of {', '.join(DIRECTION_WORDS)} are needed")
        return value

    def _faults(self, value: Any, _: StepWord, place: str) -> dict[str, float]:
        if not isinstance(value, dict) or not value or any(word not in FAULTS_OF_LINK_STEP for word in value):
            self.mistakes.append(f"{place}: some of {', '.join(FAULTS_OF_LINK_STEP)} are needed")
            return {}
        return {word: self._number(number, OPTIONAL_NUMBER, f"{place}.{word}") for word, number in value.items()}

    def _servers(self, value: Any, place: str) -> tuple[str, ...]:
        if isinstance(value, list) and value and all(name in self._names for name in value):
            return tuple(value)
        if isinstance(value, dict) and list(value) == ["part"]:
            fraction = min(1.0, self._number(value["part"], OPTIONAL_NUMBER, f"{place}.part"))
            return draw_servers(self._names, fraction, self._generator)
        if isinstance(value, dict) and list(value) == ["zone"] and value["zone"] in range(self._zone_count):
            return servers_of_zone(self._names, self._zone_count, value["zone"])
        zones = f"0 to {self._zone_count - 1}"
        self.mistakes.append(f"{place}: known names, {{part: 0 to 1}} or {{zone: {zones}}} are needed")
        return ()


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)
