"""The plan of a change: how two complete documents differ, when each difference takes effect, and what needs a restart.

A dry run and a real change compute the same plan. Computing a plan has no side effects.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from nickelslip.configuration.document import Document
from nickelslip.configuration.layers import values_by_path
from nickelslip.configuration.schema import NAME_EFFECTS, NAMED_SECTIONS, NEVER_COMPARED, field_at
from nickelslip.configuration.schema_fields import Effect
from nickelslip.configuration.validation import Path

# Names in the control protocol and in `--json` output. They must stay the same when a member of Effect is renamed.
EFFECT_WORDS = {
    Effect.AT_ONCE: "at_once",
    Effect.NEW: "new",
    Effect.LINKS: "links",
    Effect.RESTART: "restart",
}
RECORDS_SERVICE_PATH = ("peers", "records")
DEPENDENCY_SHARE_PATH = ("calls", "share")
RULES_SECTION = "changes"


@dataclass(frozen=True)
class Difference:
    """A difference in one field, or in one name of a named section.

    Attributes:
        path: The path in the document.
        old: The value before the change; None if it was absent.
        new: The value after the change; None if it is absent.
        effect: When the difference takes effect.
        restart_reason: Why this difference needs a restart although the field usually does not; empty if it needs none.
    """

    path: Path
    old: Any
    new: Any
    effect: Effect
    restart_reason: str = ""

    def __str__(self) -> str:
        line = f"{'.'.join(self.path)}: {format_value(self.old)} -> {format_value(self.new)} ({self.effect.value})"
        return f"{line}; {self.restart_reason}" if self.restart_reason else line

    def as_dict(self) -> dict[str, Any]:
        """Return the difference under the keys of the control protocol."""
        return {
            "path": ".".join(self.path),
            "old": self.old,
            "new": self.new,
            "effect": EFFECT_WORDS[self.effect],
            "hindrance": self.restart_reason,
        }


@dataclass(frozen=True)
class Plan:
    """All differences between two documents, in the order of the schema."""

    differences: tuple[Difference, ...]

    @property
    def is_empty(self) -> bool:
        """Whether there are no differences."""
        return not self.differences

    @property
    def needing_restart(self) -> tuple[Difference, ...]:
        """The differences that cannot be applied to a running server."""
        return tuple(
            difference
            for difference in self.differences
            if difference.effect is Effect.RESTART or difference.restart_reason
        )

    @property
    def changes_peers_only(self) -> bool:
        """Whether only peer addresses differ. Such a change needs no canary period."""
        return bool(self.differences) and all(difference.effect is Effect.LINKS for difference in self.differences)

    @property
    def changes_rules_only(self) -> bool:
        """Whether only the change rules differ. These affect no request."""
        return bool(self.differences) and all(difference.path[0] == RULES_SECTION for difference in self.differences)

    def as_dict(self) -> dict[str, Any]:
        """Return the plan under the keys of the control protocol."""
        return {
            "differences": [difference.as_dict() for difference in self.differences],
            "restart": bool(self.needing_restart),
            "links_only": self.changes_peers_only,
        }


def format_value(value: Any) -> str:
    """Return a value as text for operators; None is shown as absent."""
    if value is None:
        return "absent"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(format_value, value)) + "]"
    if isinstance(value, Mapping):
        return "{" + ", ".join(f"{name}: {format_value(inner)}" for name, inner in value.items()) + "}"
    return str(value)


def plan_of(old: Document, new: Document) -> Plan:
    """Return the plan of the change from one complete document to another."""
    return Plan((*_named_differences(old, new), *_field_differences(old, new)))


def _named_differences(old: Document, new: Document) -> list[Difference]:
    """Return a difference for each name of a named section that only one of the documents has."""
    differences: list[Difference] = []
    for section in NAMED_SECTIONS:
        before = old[section]
        after = new[section]
        added = [name for name in after if name not in before]
        for name in [*before, *added]:
            if (name in before) is not (name in after):
                effect = NAME_EFFECTS[section]
                differences.append(Difference((section, name), before.get(name), after.get(name), effect))
    return differences


def _field_differences(old: Document, new: Document) -> list[Difference]:
    """Return a difference for each field that both documents have, but with different values."""
    differences: list[Difference] = []
    old_values = values_by_path(old)
    for path, after in values_by_path(new).items():
        field = field_at(path)
        if path not in old_values or field is None or path in NEVER_COMPARED:
            continue
        before = old_values[path]
        if _comparable(before) != _comparable(after):
            differences.append(Difference(path, before, after, field.effect, _restart_reason(path, before, after)))
    return differences


def _comparable(value: Any) -> Any:
    """Return a value for comparison, with a list converted to a tuple so that the two compare equal."""
    return tuple(value) if isinstance(value, list) else value


def _restart_reason(path: Path, before: Any, after: Any) -> str:
    """Return why this difference needs a restart although the field usually does not, or an empty string."""
    if path == RECORDS_SERVICE_PATH and (before is None) is not (after is None):
        return "whether there is a records service is known at the start only"
    if path == DEPENDENCY_SHARE_PATH and (before == 0) is not (after == 0):
        return "calls are counted over a span that is fixed at the start"
    return ""
