"""Merges the layers (defaults, files, environment) into one complete document and records the origin of each value.

The order is: defaults, the files in their given order, the environment. A later layer overrides single keys of the
earlier ones. A name that a later layer sets to null is removed. The module does no I/O.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from nickelslip.configuration.config import OVERRIDE_PREFIX, Config, environment_overrides
from nickelslip.configuration.document import Document, is_platform_form
from nickelslip.configuration.document_conversion import config_from
from nickelslip.configuration.document_reader import complete, read_part
from nickelslip.configuration.field_values import normalized, value_fault
from nickelslip.configuration.json5_reader import ParsedDocument
from nickelslip.configuration.schema import NAMED_SECTIONS, SECTIONS, field_at
from nickelslip.configuration.schema_fields import Field, FieldType
from nickelslip.configuration.validation import Fault, InvalidDocumentError, Path, Severity, has_errors

PATH_SEPARATOR = "__"
DEFAULT_ORIGIN = "default"
JSON_TYPES = (FieldType.NUMBER, FieldType.INTEGER, FieldType.BOOLEAN, FieldType.STRING_LIST)


@dataclass(frozen=True)
class LayeredDocument:
    """The result of merging all layers.

    Attributes:
        config: The ``Config`` of the document.
        document: The complete document.
        origins: Where each explicitly given value came from.
        warnings: Faults that do not prevent its use.
    """

    config: Config
    document: Document
    origins: Mapping[Path, str] = field(default_factory=dict)
    warnings: tuple[Fault, ...] = ()

    def origin_of(self, path: Path) -> str:
        """Return where the value at a path came from."""
        return self.origins.get(path, DEFAULT_ORIGIN)


@dataclass
class _Layers:
    """The merged values, the faults and the origins of the layers added so far."""

    part: Document = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    origins: dict[Path, str] = field(default_factory=dict)

    def add(self, part: Document, faults: list[Fault], origins: Mapping[Path, str]) -> None:
        """Merge a layer over the earlier ones."""
        self.part = merge(self.part, part)
        self.faults = self.faults + faults
        self.origins.update(origins)

    def raise_errors(self) -> None:
        """Raise InvalidDocumentError if a fault prevents the use of the document."""
        if has_errors(self.faults):
            raise InvalidDocumentError(self.faults)


def merge(base: Document, overlay: Document) -> Document:
    """Return the overlay merged over the base; neither of them is changed."""
    merged = {section: dict(values) for section, values in base.items()}
    for section, values in overlay.items():
        if section not in NAMED_SECTIONS:
            merged[section] = {**merged.get(section, {}), **values}
            continue
        names = merged.setdefault(section, {})
        for name, fields in values.items():
            if fields is None:
                names.pop(name, None)
            else:
                names[name] = {**(names.get(name) or {}), **fields}
    return merged


def _paths_of_part(part: Document) -> Iterator[Path]:
    """Yield the path of every value in a part."""
    for section, values in part.items():
        for name, value in values.items():
            if section in NAMED_SECTIONS:
                yield from ((section, name, key) for key in value or {})
            else:
                yield (section, name)


def _origins_in(parsed: ParsedDocument, part: Document) -> dict[Path, str]:
    """Return the origin of each value of a part that was read from a document."""
    origins: dict[Path, str] = {}
    for path in _paths_of_part(part):
        line, column = parsed.positions.get(path, (0, 0))
        origins[path] = f"{parsed.source}:{line}:{column}" if line else parsed.source
    return origins


def _parse_variable(schema_field: Field, text: str) -> Any:
    """Return a variable's text as a value of the field's type.

    A text that cannot be parsed is returned unchanged. The check of the value then reports it as a fault.
    """
    if schema_field.type not in JSON_TYPES and text != "null":
        return text
    try:
        return json.loads(text)
    except ValueError:
        return text


def _set_at_path(part: Document, path: Path, value: Any) -> None:
    section = part
    for key in path[:-1]:
        section = section.setdefault(key, {})
    section[path[-1]] = value


def read_environment(environment: Mapping[str, str]) -> tuple[Document, list[Fault], dict[Path, str]]:
    """Return the part that environment variables set, its faults, and the variable that set each path."""
    part: Document = {}
    faults: list[Fault] = []
    origins: dict[Path, str] = {}
    for name, text in environment_overrides(environment).items():
        _set_at_path(part, ("node", name), text)
        origins[("node", name)] = f"environment:ROUTER_{name.upper()}"
    for variable in sorted(environment):
        if not variable.startswith(OVERRIDE_PREFIX):
            continue
        source = f"environment:{variable}"
        path = tuple(key.lower() for key in variable[len(OVERRIDE_PREFIX) :].split(PATH_SEPARATOR))
        schema_field = field_at(path)
        if schema_field is None:
            faults.append(Fault(path, "unknown", source, severity=Severity.WARNING))
            continue
        value = _parse_variable(schema_field, environment[variable])
        fault = value_fault(schema_field, value)
        if fault is not None:
            faults.append(Fault(path, fault, source))
            continue
        _set_at_path(part, path, normalized(schema_field, value))
        origins[path] = source
    return part, faults, origins


def apply_layers(documents: list[ParsedDocument], environment: Mapping[str, str]) -> LayeredDocument:
    """Merge all layers and check the result.

    Raises:
        InvalidDocumentError: A layer or the complete document has faults. The error holds all of them.
    """
    layers = _Layers()
    for index, parsed in enumerate(documents):
        if index and is_platform_form(parsed.value):
            fault = Fault((), "only the first layer may have the platform's form", parsed.source)
            layers.add({}, [fault], {})
            continue
        part, faults = read_part(parsed, environment)
        layers.add(part, faults, _origins_in(parsed, part))
    layers.add(*read_environment(environment))
    layers.raise_errors()
    document, faults = complete(layers.part)
    faults = [_with_origin(fault, layers.origins) for fault in faults]
    if len(documents) == 1 and is_platform_form(documents[0].value):
        # Files in this form were accepted before these checks existed, so their faults are only warnings
        faults = [fault._replace(severity=Severity.WARNING) for fault in faults]
    layers.add({}, faults, {})
    layers.raise_errors()
    origins = {path: origin for path, origin in layers.origins.items() if _contains_path(document, path)}
    return LayeredDocument(config_from(document), document, origins, tuple(layers.faults))


def _with_origin(fault: Fault, origins: Mapping[Path, str]) -> Fault:
    """Return a fault of the complete document with the source and position of the value at its path."""
    origin = origins.get(fault.path, "")
    source, _, position = origin.partition(":")
    line, _, column = position.partition(":")
    if not line.isdigit() or not column.isdigit():
        return fault._replace(source=origins.get(fault.path, fault.source))
    return fault._replace(source=source, line=int(line), column=int(column))


def _contains_path(document: Document, path: Path) -> bool:
    value: Any = document
    for key in path:
        if not isinstance(value, Mapping) or key not in value:
            return False
        value = value[key]
    return True


def values_by_path(document: Document) -> dict[Path, Any]:
    """Return every value of a complete document by its path."""
    values: dict[Path, Any] = {
        (section, key): value for section in SECTIONS for key, value in document[section].items()
    }
    for section in NAMED_SECTIONS:
        for name, fields in document[section].items():
            values.update({(section, name, key): value for key, value in fields.items()})
    return values
