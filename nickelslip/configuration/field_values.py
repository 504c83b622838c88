"""Checks and normalizes single values according to the type of their field."""

from __future__ import annotations

from collections.abc import Callable
from math import inf, isfinite
from typing import Any

from nickelslip.configuration.config import parse_address
from nickelslip.configuration.schema_fields import Field, FieldType
from nickelslip.json_fields import MalformedSettingsError

MAX_LIST_LENGTH = 64
MAX_STRING_LENGTH = 4096
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


def value_fault(field: Field, value: object) -> str | None:
    """Return what is wrong with the value of a field, or None if it is valid."""
    if value is None:
        return None if field.default is None else f"{field.type.value} is needed"
    return VALUE_CHECKS.get(field.type, _string_fault)(field, value)


def _number_fault(field: Field, value: object) -> str | None:
    if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
        return f"{field.type.value} is needed"
    if field.type is FieldType.INTEGER and value != int(value):
        return "a whole number is needed"
    is_below_min = value <= field.min_value if field.exclusive_min else value < field.min_value
    if is_below_min or value > field.max_value:
        bound = "over" if field.exclusive_min else "at least"
        max_text = f", at most {field.max_value:g}" if field.max_value < inf else ""
        return f"{value!r} is out of range: {bound} {field.min_value:g}{max_text}"
    return None


def _boolean_fault(_field: Field, value: object) -> str | None:
    return None if isinstance(value, bool) else "true or false is needed"


def _string_list_fault(_field: Field, value: object) -> str | None:
    is_valid = (
        isinstance(value, list | tuple)
        and len(value) <= MAX_LIST_LENGTH
        and all(isinstance(item, str) for item in value)
    )
    return None if is_valid else "a list of texts is needed"


def _string_fault(field: Field, value: object) -> str | None:
    if not isinstance(value, str) or len(value) > MAX_STRING_LENGTH:
        return f"{field.type.value} is needed"
    match field.type:
        case FieldType.CHOICE if value not in field.choices:
            return f"one of {', '.join(field.choices)} is needed"
        case FieldType.TOKEN if not value or any(char.isspace() for char in value):
            return "one word is needed"
        case FieldType.HEX if not value or not HEX_DIGITS.issuperset(value):
            return "hex digits are needed"
        case FieldType.ADDRESS if not _is_address(value):
            return "host:port is needed"
    return None


def _is_address(text: str) -> bool:
    try:
        parse_address(text, "")
    except MalformedSettingsError:
        return False
    return True


VALUE_CHECKS: dict[FieldType, Callable[[Field, object], str | None]] = {
    FieldType.NUMBER: _number_fault,
    FieldType.INTEGER: _number_fault,
    FieldType.BOOLEAN: _boolean_fault,
    FieldType.STRING_LIST: _string_list_fault,
}


def normalized(field: Field, value: Any) -> Any:
    """Convert a valid value to the type that its field has in every complete document."""
    if value is None:
        return None
    match field.type:
        case FieldType.NUMBER:
            return float(value)
        case FieldType.INTEGER:
            return int(value)
        case FieldType.STRING_LIST:
            return tuple(value)
        case _:
            return value
