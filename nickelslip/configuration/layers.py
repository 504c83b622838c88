"""Layers: defaults, file, overlays and environment into one whole document, the origin of each value kept.

Owns the order of layers, the merging of sections and named sections, and what may be said by the environment. It
does no I/O: texts and the environment are handed in. A later layer wins word by word; a name set to null in a later
layer is taken out.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from nickelslip.configuration.config import Config, told_by
from nickelslip.configuration.document import (
    Document,
    checked,
    config_from,
    is_platforms,
    part_of,
    shaped,
    wrong,
)
from nickelslip.configuration.json5_reader import Read
from nickelslip.configuration.schema import NAMED, SECTIONS, Kind, Word, word_at
from nickelslip.configuration.validation import Fault, InvalidDocumentError, Path, Severity, errors_of

PREFIX = "NICKELSLIP_SET_"  # then the path in capitals, with two underscores between: _SET_MACHINE__CORES
DEFAULT = "default"


@dataclass(frozen=True)
class Layered:
    """A whole document, the Config that it makes, where each value came from, and what should be known of it."""

    config: Config
    document: Document
    origins: Mapping[Path, str] = field(default_factory=dict)
    warnings: tuple[Fault, ...] = ()

    def origin(self, path: Path) -> str:
        return self.origins.get(path, DEFAULT)


def merged(under: Document, over: Document) -> Document:
    """One part laid over another; neither is changed."""
    out = {section: dict(inner) for section, inner in under.items()}
    for section, inner in over.items():
        if section not in NAMED:
            out[section] = {**out.get(section, {}), **inner}
            continue
        names = out.setdefault(section, {})
        for name, words in inner.items():
            if words is None:
                names.pop(name, None)
            else:
                names[name] = {**(names.get(name) or {}), **words}
    return out


def _note(origins: dict[Path, str], part: Document, read: Read) -> None:
    """Each value of a part comes from its place in the text."""
    for section, inner in part.items():
        for name, value in inner.items():
            paths = [(section, name)] if section not in NAMED else [(section, name, word) for word in value or {}]
            for path in paths:
                line, column = read.places.get(path, (0, 0))
                origins[path] = f"{read.source}:{line}:{column}" if line else read.source


def _value_from(word: Word, text: str) -> Any:
    """An environment's text as a value of the word's kind; what cannot be one stays a text, and is then a fault."""
    if word.kind in (Kind.NUMBER, Kind.WHOLE, Kind.FLAG, Kind.TEXTS) or text == "null":
        try:
            return json.loads(text)
        except ValueError:
            return text
    return text


def from_environment(environment: Mapping[str, str]) -> tuple[Document, list[Fault], dict[Path, str]]:
    """The part that the environment says, its faults, and the variable of each path."""
    part: Document = {}
    faults: list[Fault] = []
    origins: dict[Path, str] = {}
    for name, text in told_by(environment).items():
        part.setdefault("node", {})[name] = text
        origins[("node", name)] = f"environment:ROUTER_{name.upper()}"
    for variable in sorted(environment):
        if not variable.startswith(PREFIX):
            continue
        source = f"environment:{variable}"
        path = tuple(step.lower() for step in variable[len(PREFIX) :].split("__"))
        word = word_at(path)
        if word is None:
            faults.append(Fault(path, "unknown", source, gravity=Severity.WARNING))
            continue
        value = _value_from(word, environment[variable])
        if (fault := wrong(word, value)) is not None:
            faults.append(Fault(path, fault, source))
            continue
        inner = part
        for step in path[:-1]:
            inner = inner.setdefault(step, {})
        inner[path[-1]] = shaped(word, value)
        origins[path] = source
    return part, faults, origins


def layered(texts: list[Read], environment: Mapping[str, str]) -> Layered:
    """All layers into one. Raises Faulty with the faults of all of them."""
    part: Document = {}
    faults: list[Fault] = []
    origins: dict[Path, str] = {}
    platform = bool(texts) and is_platforms(texts[0].value)
    for at, read in enumerate(texts):
        if at and is_platforms(read.value):
            faults.append(Fault((), "only the first layer may have the platform's form", read.source))
            continue
        layer, found = part_of(read, environment)
        part, faults = merged(part, layer), faults + found
        _note(origins, layer, read)
    said, found, variables = from_environment(environment)
    part, faults = merged(part, said), faults + found
    origins.update(variables)
    if errors_of(faults):
        raise InvalidDocumentError(faults)
    whole, found = checked(part)
    found = [_placed(fault, origins) for fault in found]
    if platform and len(texts) == 1:  # the platform's file alone is taken as it always was
        found = [fault._replace(gravity=Severity.WARNING) for fault in found]
    faults += found
    if errors_of(faults):
        raise InvalidDocumentError(faults)
    return Layered(
        config_from(whole),
        whole,
        {path: origin for path, origin in origins.items() if _there(whole, path)},
        tuple(faults),
    )


def _placed(fault: Fault, origins: Mapping[Path, str]) -> Fault:
    """A fault of the whole at the place from which its value came."""
    source, _, place = origins.get(fault.path, "").partition(":")
    line, _, column = place.partition(":")
    if not line.isdigit() or not column.isdigit():
        return fault._replace(source=origins.get(fault.path, fault.source))
    return fault._replace(source=source, line=int(line), column=int(column))


def _there(whole: Document, path: Path) -> bool:
    inner: Any = whole
    for step in path:
        if not isinstance(inner, Mapping) or step not in inner:
            return False
        inner = inner[step]
    return True


def paths_of(whole: Document) -> dict[Path, Any]:
    """Every word of a whole document, with its value."""
    out: dict[Path, Any] = {(section, name): value for section in SECTIONS for name, value in whole[section].items()}
    for section in NAMED:
        for name, words in whole[section].items():
            out.update({(section, name, word): value for word, value in words.items()})
    return out
