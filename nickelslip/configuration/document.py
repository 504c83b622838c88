"""Checks of a document's fields, its defaults, and detection of the two forms in which a document may be written.

A document is either in nickelslip's own form or in the platform's form, which is converted. A part holds only the keys
that were given. A complete document holds every key of every section. All faults are collected and returned.
"""

from __future__ import annotations

import difflib
from collections.abc import Mapping
from typing import Any

from nickelslip.configuration.field_values import normalized, value_fault
from nickelslip.configuration.json5_reader import ParsedDocument
from nickelslip.configuration.schema import MAX_NAMES, NAMED_SECTIONS, SCHEMA_VERSION, SECTIONS
from nickelslip.configuration.schema_fields import REQUIRED, Field
from nickelslip.configuration.validation import Fault, Path, Severity

Document = dict[str, Any]
PLATFORM_KEYS = frozenset({"settings", "limits", "lookup"})  # keys that only the platform's form has
MIN_SIMILARITY = 0.6  # of an unknown key to a known one that is suggested instead


def is_platform_form(value: object) -> bool:
    """Return whether this is a document in the platform's form."""
    return isinstance(value, Mapping) and "version" not in value and bool(PLATFORM_KEYS & value.keys())


class DocumentChecker:
    """Checks one document in nickelslip's own form, field by field.

    Args:
        parsed: The document.

    Attributes:
        faults: The faults and warnings found by ``check``.
    """

    def __init__(self, parsed: ParsedDocument) -> None:
        self.parsed = parsed
        self.faults: list[Fault] = []

    def _add_fault(self, path: Path, text: str, severity: Severity = Severity.FAULT) -> None:
        self.faults.append(self.parsed.fault_at(path, text)._replace(severity=severity))

    def _add_unknown_key(self, path: Path, known: list[str]) -> None:
        nearest = difflib.get_close_matches(path[-1], known, 1, MIN_SIMILARITY)
        self._add_fault(path, "unknown" + (f", nearest is {nearest[0]}" if nearest else ""), Severity.WARNING)

    def check(self) -> Document:
        """Return the document's values as a part, without unknown keys and faulty values."""
        value = self.parsed.value
        if not isinstance(value, Mapping):
            self._add_fault((), "an object is needed")
            return {}
        version = value.get("version", SCHEMA_VERSION)
        if isinstance(version, bool) or not isinstance(version, int) or not 1 <= version <= SCHEMA_VERSION:
            self._add_fault(("version",), f"this program reads version {SCHEMA_VERSION}")
        part: Document = {}
        for name, section in value.items():
            if name in SECTIONS:
                part[name] = self._check_section((name,), SECTIONS[name], section)
            elif name in NAMED_SECTIONS:
                part[name] = self._check_named_sections(name, section)
            elif name != "version":
                self._add_unknown_key((name,), [*SECTIONS, *NAMED_SECTIONS, "version"])
        return part

    def _check_named_sections(self, kind: str, value: object) -> Document:
        if not isinstance(value, Mapping):
            self._add_fault((kind,), "an object with a section for each name is needed")
            return {}
        if len(value) > MAX_NAMES[kind]:
            self._add_fault((kind,), f"more than {MAX_NAMES[kind]} names")
            return {}
        sections: Document = {}
        for name, section in value.items():
            if not name or any(char.isspace() or not char.isprintable() for char in name):
                self._add_fault((kind, name), "a name is one word")
            elif section is None:
                sections[name] = None  # null removes a name that an earlier layer gave
            else:
                sections[name] = self._check_section((kind, name), NAMED_SECTIONS[kind], section)
        return sections

    def _check_section(self, path: Path, fields: tuple[Field, ...], value: object) -> Document:
        if not isinstance(value, Mapping):
            self._add_fault(path, "an object is needed")
            return {}
        known = {field.name: field for field in fields}
        section: Document = {}
        for name, field_value in value.items():
            field = known.get(name)
            if field is None:
                self._add_unknown_key((*path, name), list(known))
                continue
            fault = value_fault(field, field_value)
            if fault is not None:
                self._add_fault((*path, name), fault)
            else:
                section[name] = normalized(field, field_value)
        return section


def with_defaults(part: Document) -> tuple[Document, list[Fault]]:
    """Return a part completed with the defaults, and a fault for each required key that is absent."""
    faults: list[Fault] = []

    def complete_section(path: Path, fields: tuple[Field, ...], given: Mapping[str, Any]) -> Document:
        section: Document = {}
        for field in fields:
            if field.name in given:
                section[field.name] = given[field.name]
            elif field.default is REQUIRED:
                faults.append(Fault((*path, field.name), f"{field.type.value} is needed"))
            else:
                section[field.name] = field.default
        return section

    document: Document = {
        name: complete_section((name,), fields, part.get(name, {})) for name, fields in SECTIONS.items()
    }
    for kind, fields in NAMED_SECTIONS.items():
        given = {name: values for name, values in part.get(kind, {}).items() if values is not None}
        document[kind] = {name: complete_section((kind, name), fields, values) for name, values in given.items()}
    if not document["grades"]:
        faults.append(Fault(("grades",), "at least one service grade is needed"))
    return document, faults
