"""The plan of a change: what differs between two whole documents, when each difference acts, and what forbids it.

Owns the comparison and the choice of what a running server can carry over. It must never apply anything: a dry run
and a real change read the same plan.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from nickelslip.configuration.document import Document
from nickelslip.configuration.layers import values_by_path
from nickelslip.configuration.schema import NAME_EFFECTS, NAMED_SECTIONS, NEVER_COMPARED, Effect, field_at
from nickelslip.configuration.validation import Path

ABSENT = None


@dataclass(frozen=True)
class Difference:
    """One word, or one name of a named section, that differs."""

    path: Path
    old: Any
    new: Any
    effect: Effect
    hindrance: str = ""  # why it cannot be taken while the server runs

    def __str__(self) -> str:
        what = f"{'.'.join(self.path)}: {shown(self.old)} -> {shown(self.new)} ({self.effect.value})"
        return f"{what}; {self.hindrance}" if self.hindrance else what

    def as_dict(self) -> dict[str, Any]:
        """For machines; the keys are stable."""
        return {
            "path": ".".join(self.path),
            "old": self.old,
            "new": self.new,
            "effect": self.effect.name.lower(),
            "hindrance": self.hindrance,
        }


@dataclass(frozen=True)
class Plan:
    """All that differs, in the order of the schema."""

    differences: tuple[Difference, ...]

    @property
    def empty(self) -> bool:
        return not self.differences

    @property
    def restart(self) -> tuple[Difference, ...]:
        """What forbids that the change is taken while the server runs."""
        return tuple(each for each in self.differences if each.effect is Effect.RESTART or each.hindrance)

    @property
    def links_only(self) -> bool:
        """Whether nothing but peers' addresses changes: such a change needs no probation."""
        return bool(self.differences) and all(each.effect is Effect.LINKS for each in self.differences)

    @property
    def links(self) -> bool:
        return any(each.effect is Effect.LINKS for each in self.differences)

    @property
    def of_rules_only(self) -> bool:
        """Whether only the rules for changes themselves change, which no transaction feels."""
        return bool(self.differences) and all(each.path[0] == "changes" for each in self.differences)

    def as_dict(self) -> dict[str, Any]:
        """For machines; the keys are stable."""
        return {
            "differences": [each.as_dict() for each in self.differences],
            "restart": bool(self.restart),
            "links_only": self.links_only,
        }


def shown(value: Any) -> str:
    """A value as an operator would write it."""
    if value is None:
        return "absent"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(shown, value)) + "]"
    if isinstance(value, Mapping):
        return "{" + ", ".join(f"{name}: {shown(inner)}" for name, inner in value.items()) + "}"
    return str(value)


def plan_of(old: Document, new: Document) -> Plan:
    """What leads from one whole document to another."""
    out: list[Difference] = []
    for section in NAMED_SECTIONS:
        before, after = old[section], new[section]
        for name in [*before, *(each for each in after if each not in before)]:
            if (name in before) is not (name in after):
                out.append(
                    Difference(
                        (section, name), before.get(name, ABSENT), after.get(name, ABSENT), NAME_EFFECTS[section]
                    )
                )
    was, now = values_by_path(old), values_by_path(new)
    for path in now:
        word = field_at(path)
        if path not in was or word is None or path in NEVER_COMPARED:
            continue
        before, after = was[path], now[path]
        if (tuple(before) if isinstance(before, list) else before) != (
            tuple(after) if isinstance(after, list) else after
        ):
            out.append(Difference(path, before, after, word.effect, _hindrance(path, before, after)))
    return Plan(tuple(out))


def _hindrance(path: Path, before: Any, after: Any) -> str:
    """What cannot be carried over although words of its kind can."""
    if path == ("peers", "records") and (before is None) is not (after is None):
        return "whether there is a records service is known at the start only"
    if path == ("calls", "share") and (before == 0) is not (after == 0):
        return "calls are counted over a span that is fixed at the start"
    return ""
