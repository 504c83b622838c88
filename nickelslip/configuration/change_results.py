"""What the change manager returns to its caller."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from nickelslip.configuration.change_lifecycle import ConfigurationChange
from nickelslip.configuration.generation_snapshot import GenerationSnapshot
from nickelslip.configuration.generations import Generation
from nickelslip.configuration.history import HistoryRecord


class StartedChange(NamedTuple):
    """A change that is being applied, and the history record to write before its generation is adopted."""

    change: ConfigurationChange
    record: HistoryRecord


class Adoption(NamedTuple):
    """A generation to adopt immediately, and the history record to write afterwards."""

    generation: Generation
    record: HistoryRecord


@dataclass(frozen=True)
class ChangeStatus:
    """The generation in force, the change in progress and the staged change.

    Attributes:
        in_force: The generation in force, and the changes on which it is based.
        confirmed_generation: Number of the last confirmed generation.
        current: The change being applied or in its canary period.
        staged: The staged change.
        rolled_back_for_ms: How much longer each recently rolled back document is rejected, keyed by digest.
    """

    in_force: GenerationSnapshot
    confirmed_generation: int
    current: ConfigurationChange | None
    staged: ConfigurationChange | None
    rolled_back_for_ms: dict[str, float]
