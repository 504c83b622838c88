"""The fields of a configuration document: their types, their bounds, and when a change of one takes effect.

`nickelslip config words` prints the values of ``FieldType`` and ``Effect``. They must not change.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Any


class Effect(Enum):
    """When a change of a field takes effect."""

    AT_ONCE = "taken at once"
    NEW = "taken by transactions read from now on"
    LINKS = "needs links to new peers"
    RESTART = "needs a restart"


class FieldType(Enum):
    """The type of a field's value."""

    NUMBER = "a number"
    INTEGER = "a whole number"
    BOOLEAN = "true or false"
    STRING = "a text"
    TOKEN = "one word"
    HEX = "hex digits"
    ADDRESS = "host:port"
    CHOICE = "one of some words"
    STRING_LIST = "a list of texts"


class Required:
    """The type of ``REQUIRED``, which marks a field without a default."""

    def __repr__(self) -> str:
        return "needed"


REQUIRED = Required()


@dataclass(frozen=True)
class Field:
    """One field of a section.

    Attributes:
        name: Its key in the section.
        type: The type of its value.
        effect: When a change of it takes effect.
        default: The value if the key is absent. If the default is None, null is allowed.
        min_value: The smallest allowed number.
        max_value: The largest allowed number.
        exclusive_min: Whether the number must be greater than ``min_value``; otherwise it may also be equal.
        choices: The allowed strings.
        description: What the field sets, for operators.
    """

    name: str
    type: FieldType
    effect: Effect
    default: Any = REQUIRED
    min_value: float = 0.0
    max_value: float = inf
    exclusive_min: bool = False
    choices: tuple[str, ...] = ()
    description: str = ""


def number_field(name: str, effect: Effect, default: Any = REQUIRED, description: str = "", **bounds: Any) -> Field:
    """Return a number field. ``bounds`` are the attributes of ``Field`` that limit the number."""
    return Field(name, FieldType.NUMBER, effect, default, description=description, **bounds)


def integer_field(
    name: str, effect: Effect, default: Any = REQUIRED, description: str = "", min_value: float = 1, **bounds: Any
) -> Field:
    """Return an integer field, whose minimum is 1 unless another one is given."""
    return Field(name, FieldType.INTEGER, effect, default, min_value, description=description, **bounds)
