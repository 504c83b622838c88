"""Reads one JSON object field by field. Errors name the full path of the invalid field."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, TypeVar

T = TypeVar("T")

PLACEHOLDER_TEXT = "-"  # replaces an invalid text while further errors are collected


class MalformedSettingsError(Exception):
    """Settings are invalid. The message names the field."""


class JsonFields:
    """The fields of one JSON object.

    The first invalid field raises `MalformedSettingsError`. If a list of errors is given, all errors are added to it
    instead, and the methods return placeholders for invalid fields. The values must not be used if there are errors.

    Args:
        value: The decoded JSON value, which should be an object.
        path: Path of the object in the document.
        errors: Collects the errors; if None, the first one is raised.
    """

    def __init__(self, value: object, path: str, errors: list[MalformedSettingsError] | None = None) -> None:
        self._path = path
        self._errors = errors
        self._fields: Mapping[str, Any] = {}
        if isinstance(value, Mapping):
            self._fields = value
        else:
            self._report(f"{path or 'settings'}: an object is needed")

    def child(self, name: str, required: bool = True) -> JsonFields:
        """Return the fields of the object in a field; an object that is not required may be absent."""
        value = self._fields.get(name)
        if not required:
            value = value or {}
        return JsonFields(value, self._path_of(name), self._errors)

    def children(self, name: str, required: bool = True) -> list[JsonFields]:
        """Return the fields of each object in a list; a required list must not be empty."""
        value = self._fields.get(name)
        if not isinstance(value, list) and (required or value is not None):
            self._report(f"{self._path_of(name)}: a list is needed")
            return []
        if required and not value:
            self._report(f"{self._path_of(name)}: the list is empty")
        path = self._path_of(name)
        return [JsonFields(item, f"{path}[{index}]", self._errors) for index, item in enumerate(value or [])]

    def items(self, name: str) -> list[Any]:
        """Return the items of a list, or no items if the list is absent."""
        value = self._fields.get(name) or []
        if not isinstance(value, list):
            self._report(f"{self._path_of(name)}: a list is needed")
            return []
        return value

    def number(
        self,
        name: str,
        default: float | None = None,
        minimum: float = 0.0,
        maximum: float = math.inf,
        is_exclusive: bool = False,
    ) -> float:
        """Return a number between minimum and maximum; with `is_exclusive` it must be greater than the minimum.

        null counts as absent.
        """
        value = self._fields.get(name)
        if value is None and default is not None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            self._report(f"{self._path_of(name)}: a number is needed")
            return minimum
        if not minimum <= value <= maximum or (is_exclusive and value == minimum):
            self._report(f"{self._path_of(name)}: {value} is out of range")
            return minimum
        return float(value)

    def integer(self, name: str, default: int | None = None, minimum: int = 1) -> int:
        """Return a whole number that is at least the minimum."""
        value = self.number(name, default, minimum)
        if value != int(value):
            self._report(f"{self._path_of(name)}: a whole number is needed")
        return int(value)

    def boolean(self, name: str) -> bool:
        """Return a boolean; an absent one or null is False. The numbers 0 and 1 are accepted too."""
        value = self._fields.get(name, False)
        if value not in (True, False, None):
            self._report(f"{self._path_of(name)}: true or false is needed")
        return bool(value)

    def text(self, name: str) -> str:
        """Return a non-empty string."""
        value = self._fields.get(name)
        if not isinstance(value, str) or not value:
            self._report(f"{self._path_of(name)}: a text is needed")
            return PLACEHOLDER_TEXT
        return value

    def choice(self, name: str, choices: Mapping[str, T], default: str | None = None) -> T:
        """Return the value of the choice that the field names."""
        value = self._fields.get(name, default)
        if not isinstance(value, str) or value not in choices:
            self._report(f"{self._path_of(name)}: one of {', '.join(choices)} is needed")
            return next(iter(choices.values()))
        return choices[value]

    def _report(self, text: str) -> None:
        error = MalformedSettingsError(text)
        if self._errors is None:
            raise error
        self._errors.append(error)

    def _path_of(self, name: str) -> str:
        return f"{self._path}.{name}" if self._path else name
