"""Schedules of faults: from a file, or drawn from a seed.

Owns the steps, their checks and the drawing. Free of I/O and clock, but for the reading of a file's text in `read`. It
must never do a step itself: the player in play.py does, against a fleet.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from nickelslip.emulator.links import Faults, Way

LINKS = ("", "pool", "records", "directory", "balancers")
FAULTS = tuple(name for name in Faults.__dataclass_fields__)
MOST_STEPS, MOST_MS = 10_000, 3_600_000.0


class BadSchedule(Exception):
    """A schedule that cannot be played; the text names the step and the word."""


@dataclass(frozen=True)
class Word:
    """What a step may say: a number from `least`, a flag, one of some words, several of them, or link faults."""

    kind: str  # number, flag, choice, ways, faults
    least: float = 0.0
    choices: tuple[str, ...] = ()
    needed: bool = False


FOR = Word("number", needed=True)  # milliseconds after which it is undone
STEPS: dict[str, dict[str, Word]] = {
    "kill": {"back_after_ms": Word("number"), "up_ms": Word("number")},
    "leave": {},
    "replace": {"each_after_ms": Word("number")},
    "start": {"up_ms": Word("number")},
    "stand_still": {"for_ms": FOR},
    "reload": {},
    "loop": {"times": Word("number", 1, needed=True), "every_ms": Word("number", 1, needed=True)},
    "cut": {"link": Word("choice", choices=LINKS), "ways": Word("ways"), "for_ms": FOR},
    "link": {
        "link": Word("choice", choices=LINKS),
        "ways": Word("ways"),
        "faults": Word("faults", needed=True),
        "for_ms": FOR,
    },
    "reset": {"link": Word("choice", choices=LINKS)},
    "directory_down": {"for_ms": FOR, "empty": Word("flag")},
    "records_down": {"for_ms": FOR},
    "records_slow": {"by": Word("number", 1, needed=True), "for_ms": FOR},
    "restart_balancers": {"part": Word("number")},
    "ask": {"rate": Word("number", needed=True)},
}
OF_SERVERS = ("kill", "leave", "replace", "start", "stand_still", "reload", "loop", "cut", "link", "reset")
DRAWN = (
    "kill",
    "replace",
    "stand_still",
    "cut",
    "link",
    "reset",
    "directory_down",
    "records_down",
    "records_slow",
    "restart_balancers",
)


@dataclass(frozen=True)
class Step:
    """One of them: when, what, to whom, and how. Servers are named, or a part of all, or a zone of them."""

    at_ms: float
    do: str
    servers: tuple[str, ...] = ()
    values: dict[str, Any] = field(default_factory=dict)


def zone_of(names: Sequence[str], zones: int, zone: int) -> tuple[str, ...]:
    """The servers of one zone: they are dealt out in turn."""
    return tuple(names[zone::zones])


def part_of(names: Sequence[str], part: float, chance: random.Random) -> tuple[str, ...]:
    """So large a part of all, drawn; one at least."""
    return tuple(sorted(chance.sample(list(names), max(1, round(part * len(names))))))


def checked(value: Any, names: Sequence[str], seed: int = 1, zones: int = 3) -> list[Step]:
    """Steps from decoded JSON: a list of objects with `at_ms`, `do`, `servers` (names, {part: 0.3} or {zone: 1}) and
    what that step may say. Raises BadSchedule, with every fault and its place."""
    if not isinstance(value, list) or len(value) > MOST_STEPS:
        raise BadSchedule(f"schedule: a list of at most {MOST_STEPS} steps is needed")
    chance, faults, steps = random.Random(f"schedule {seed}"), list[str](), list[Step]()
    for at, told in enumerate(value):
        place = f"schedule[{at}]"
        if not isinstance(told, dict):
            faults.append(f"{place}: an object is needed")
            continue
        do = told.get("do")
        if do not in STEPS:
            faults.append(f"{place}.do: one of {', '.join(STEPS)} is needed")
            continue
        words = STEPS[do]
        when = _number(told.get("at_ms"), f"{place}.at_ms", 0.0, faults)
        servers: tuple[str, ...] = ()
        if do in OF_SERVERS:
            servers = _servers(told.get("servers"), f"{place}.servers", names, zones, chance, faults)
        values = {}
        for name, word in words.items():
            if name in told:
                values[name] = _value(told[name], word, f"{place}.{name}", faults)
            elif word.needed:
                faults.append(f"{place}.{name}: is needed")
        allowed = {"at_ms", "do", *words, *(("servers",) if do in OF_SERVERS else ())}
        faults += [f"{place}.{name}: is no word of {do}" for name in told if name not in allowed]
        steps.append(Step(when, do, servers, values))
    if faults:
        raise BadSchedule("\n".join(faults))
    return sorted(steps, key=lambda step: step.at_ms)


def _number(value: Any, place: str, least: float, faults: list[str]) -> float:
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not math.isfinite(value)
        or not least <= value <= MOST_MS
    ):
        faults.append(f"{place}: a number from {least:g} to {MOST_MS:g} is needed")
        return least
    return float(value)


def _servers(
    value: Any, place: str, names: Sequence[str], zones: int, chance: random.Random, faults: list[str]
) -> tuple[str, ...]:
    if isinstance(value, list) and value and all(each in names for each in value):
        return tuple(value)
    if isinstance(value, dict) and list(value) == ["part"]:
        return part_of(names, min(1.0, _number(value["part"], f"{place}.part", 0.0, faults)), chance)
    if isinstance(value, dict) and list(value) == ["zone"] and value["zone"] in range(zones):
        return zone_of(names, zones, value["zone"])
    faults.append(f"{place}: known names, {{part: 0 to 1}} or {{zone: 0 to {zones - 1}}} are needed")
    return ()


def _value(value: Any, word: Word, place: str, faults: list[str]) -> Any:
    if word.kind == "number":
        return _number(value, place, word.least, faults)
    if word.kind == "flag":
        if not isinstance(value, bool):
            faults.append(f"{place}: true or false is needed")
        return value
    if word.kind == "choice":
        if value not in word.choices:
            faults.append(f"{place}: one of {', '.join(filter(None, word.choices))} is needed")
        return value
    if word.kind == "ways":
        if not isinstance(value, list) or not value or any(each not in Way.__members__ for each in value):
            faults.append(f"{place}: some of {', '.join(Way.__members__)} are needed")
        return value
    if not isinstance(value, dict) or not value or any(name not in FAULTS or name == "cut" for name in value):
        faults.append(f"{place}: some of {', '.join(name for name in FAULTS if name != 'cut')} are needed")
        return {}
    return {name: _number(each, f"{place}.{name}", 0.0, faults) for name, each in value.items()}


def drawn(names: Sequence[str], length_ms: float, seed: int, every_ms: float = 1500.0, zones: int = 3) -> list[Step]:
    """Steps drawn from a seed: about one in every so many milliseconds, each undone in time for an end at which all is
    whole. Kinds are chosen for the whole schedule first, so that some seeds mix few and others many."""
    chance = random.Random(f"drawn {seed}")
    kinds = chance.sample(DRAWN, chance.randint(2, len(DRAWN)))
    steps, at = list[Step](), chance.expovariate(1 / every_ms)
    while at < 0.8 * length_ms:
        most = 0.9 * length_ms - at
        do = chance.choice(kinds)
        values: dict[str, Any] = {}
        if "for_ms" in STEPS[do]:
            values["for_ms"] = min(most, chance.uniform(200, 3000))
        if do == "kill":
            values["back_after_ms"] = min(most, chance.uniform(100, 2000))
        elif do == "link":
            values["faults"] = chance.choice(
                (
                    {"delay_ms": chance.uniform(5, 50), "jitter_ms": chance.uniform(0, 50)},
                    {"lost": chance.uniform(0.1, 0.5)},
                    {"doubled": chance.uniform(0.1, 0.5)},
                    {"bytes_per_s": chance.uniform(20_000, 200_000)},
                )
            )
            values["link"] = chance.choice(LINKS)
        elif do == "cut":
            values["link"] = chance.choice(LINKS)
            values["ways"] = chance.choice((["OUT"], ["IN"], ["OUT", "IN"]))
        elif do == "reset":
            values["link"] = chance.choice(("pool", "balancers", "records"))
        elif do == "records_slow":
            values["by"] = chance.uniform(2, 8)
        elif do == "directory_down":
            values["empty"] = chance.random() < 0.3
        elif do == "restart_balancers":
            values["part"] = chance.uniform(0.3, 1.0)
        servers: tuple[str, ...] = ()
        if do in OF_SERVERS:
            servers = (
                zone_of(names, zones, chance.randrange(zones))
                if chance.random() < 0.3 and len(names) >= zones
                else part_of(names, chance.uniform(0.1, 0.6), chance)
            )
        steps.append(Step(at, do, servers, values))
        at += chance.expovariate(1 / every_ms)
    return steps
