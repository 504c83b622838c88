"""Random schedules of faults, reproducible by their seed."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Any

from nickelslip.emulator.schedule import LINKS, STEP_FIELDS, STEPS_ON_SERVERS, Step, draw_servers, servers_of_zone

DRAWN_STEPS = (
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
MIN_STEP_KINDS = 2
LAST_STEP_FRACTION = 0.8  # of the schedule's length; no step starts later
LAST_UNDO_FRACTION = 0.9  # of the schedule's length; every step is undone by then
DURATION_MS = (200, 3000)
BACK_AFTER_MS = (100, 2000)
ZONE_PROBABILITY = 0.3
EMPTY_DIRECTORY_PROBABILITY = 0.3
SERVERS_FRACTION = (0.1, 0.6)

Values = dict[str, Any]


def draw_schedule(
    names: Sequence[str], length_ms: float, seed: int, mean_interval_ms: float = 1500.0, zone_count: int = 3
) -> list[Step]:
    """Draw steps that are all undone before the end of the schedule.

    The kinds of steps are drawn first, for the whole schedule: some seeds mix few kinds, others many.
    """
    generator = random.Random(f"drawn {seed}")
    kinds = generator.sample(DRAWN_STEPS, generator.randint(MIN_STEP_KINDS, len(DRAWN_STEPS)))
    steps = []
    at_ms = generator.expovariate(1 / mean_interval_ms)
    while at_ms < LAST_STEP_FRACTION * length_ms:
        max_ms = LAST_UNDO_FRACTION * length_ms - at_ms
        do = generator.choice(kinds)
        values = _draw_values(do, max_ms, generator)
        servers = _draw_targets(names, zone_count, generator) if do in STEPS_ON_SERVERS else ()
        steps.append(Step(at_ms, do, servers, values))
        at_ms += generator.expovariate(1 / mean_interval_ms)
    return steps


def _draw_targets(names: Sequence[str], zone_count: int, generator: random.Random) -> tuple[str, ...]:
    if generator.random() < ZONE_PROBABILITY and len(names) >= zone_count:
        return servers_of_zone(names, zone_count, generator.randrange(zone_count))
    return draw_servers(names, generator.uniform(*SERVERS_FRACTION), generator)


def _draw_values(do: str, max_ms: float, generator: random.Random) -> Values:
    values: Values = {}
    if "for_ms" in STEP_FIELDS[do]:
        values["for_ms"] = min(max_ms, generator.uniform(*DURATION_MS))
    draw = VALUE_DRAWS.get(do)
    if draw is not None:
        values |= draw(max_ms, generator)
    return values


def _draw_kill(max_ms: float, generator: random.Random) -> Values:
    return {"back_after_ms": min(max_ms, generator.uniform(*BACK_AFTER_MS))}


def _draw_link(_: float, generator: random.Random) -> Values:
    faults = generator.choice(
        (
            {"delay_ms": generator.uniform(5, 50), "jitter_ms": generator.uniform(0, 50)},
            {"lost": generator.uniform(0.1, 0.5)},
            {"doubled": generator.uniform(0.1, 0.5)},
            {"bytes_per_s": generator.uniform(20_000, 200_000)},
        )
    )
    return {"faults": faults, "link": generator.choice(LINKS)}


def _draw_cut(_: float, generator: random.Random) -> Values:
    return {"link": generator.choice(LINKS), "ways": generator.choice((["OUT"], ["IN"], ["OUT", "IN"]))}


def _draw_reset(_: float, generator: random.Random) -> Values:
    return {"link": generator.choice(("pool", "balancers", "records"))}


def _draw_records_slow(_: float, generator: random.Random) -> Values:
    return {"by": generator.uniform(2, 8)}


def _draw_directory_down(_: float, generator: random.Random) -> Values:
    return {"empty": generator.random() < EMPTY_DIRECTORY_PROBABILITY}


def _draw_restart_balancers(_: float, generator: random.Random) -> Values:
    return {"part": generator.uniform(0.3, 1.0)}


VALUE_DRAWS: dict[str, Callable[[float, random.Random], Values]] = {
    "kill": _draw_kill,
    "link": _draw_link,
    "cut": _draw_cut,
    "reset": _draw_reset,
    "records_slow": _draw_records_slow,
    "directory_down": _draw_directory_down,
    "restart_balancers": _draw_restart_balancers,
}
