"""The text of a document: bytes to plain values, with the place of each.

Owns the bounds on a text (size, depth, number of values), the two readers (plain JSON at once, JSON5 by its library)
and the finding of doubled keys and of figures that are none. It does no I/O and knows no word of the schema.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from nickelslip.configuration.validation import BYTES_MOST, Fault, InvalidDocumentError, Path

JSON5_MOST = 64 * 1024  # of one that needs the slower reader, whose time is bounded so
DEPTH_MOST = 16
VALUES_MOST = 50_000
OPEN, CLOSE = b"[{", b"]}"


@dataclass
class Read:
    """A text as it was read: its value, and the line and column of each path where they are known."""

    value: Any
    source: str
    places: dict[Path, tuple[int, int]] = field(default_factory=dict)

    def fault(self, path: Path, text: str) -> Fault:
        """A fault at a path, or at the nearest one above it whose place is known."""
        known = path
        while known and known not in self.places:
            known = known[:-1]
        line, column = self.places.get(known, (0, 0))
        return Fault(path, text, self.source, line, column)


class _Strange(Exception):
    """Plain JSON holds something that only the reader with places can report."""


def _pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) != len(pairs):
        raise _Strange("a key is there twice")
    return value


def _constant(name: str) -> Any:
    raise _Strange(f"{name} is no figure")


def depth_of(data: bytes) -> int:
    """The deepest nesting of brackets outside of texts; what cannot be told apart counts as deeper, never less."""
    deepest = depth = at = 0
    while at < len(data):
        byte = data[at]
        if byte in b"\"'":
            at += 1
            while at < len(data) and data[at] not in (byte, 10):
                at += 2 if data[at] == 92 else 1
        elif byte == 47 and data[at + 1 : at + 2] == b"/":
            end = data.find(b"\n", at)
            at = len(data) if end < 0 else end
        elif byte == 47 and data[at + 1 : at + 2] == b"*":
            end = data.find(b"*/", at + 2)
            at = len(data) if end < 0 else end + 1
        elif byte in OPEN:
            depth += 1
            deepest = max(deepest, depth)
        elif byte in CLOSE:
            depth -= 1
        at += 1
    return deepest


def read_text(data: bytes, source: str, places: bool = True) -> Read:
    """The value of a text in JSON5, of which plain JSON is a part. With places, so that faults can be named by line
    and column, the slower reader is used wherever the text is short enough for it. Raises Faulty."""
    if len(data) > BYTES_MOST:
        raise InvalidDocumentError([Fault((), f"over {BYTES_MOST} bytes", source)])
    if depth_of(data) > DEPTH_MOST:
        raise InvalidDocumentError([Fault((), f"nested deeper than {DEPTH_MOST}", source)])
    plain: Exception | None = None
    value: Any = None
    try:
        value = json.loads(data, object_pairs_hook=_pairs, parse_constant=_constant)
    except (ValueError, RecursionError, _Strange) as error:
        plain = error
    if plain is None and not places:
        return Read(value, source)
    if len(data) > JSON5_MOST:
        if plain is None:
            return Read(value, source)
        raise InvalidDocumentError([Fault((), f"not plain JSON, and over {JSON5_MOST} bytes: {plain}", source)])
    try:
        return _with_places(data, source)
    except ImportError:
        if plain is None:
            return Read(value, source)
        if isinstance(plain, _Strange):
            raise InvalidDocumentError([Fault((), str(plain), source)]) from None
        raise InvalidDocumentError(
            [Fault((), f"not plain JSON, and JSON5 needs nickelslip[settings]: {plain}", source)]
        ) from None


def _with_places(data: bytes, source: str) -> Read:
    from json5.loader import ModelLoader, loads  # an extra: only where documents are written by hand

    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        raise InvalidDocumentError([Fault((), f"not UTF-8: {error.reason} at byte {error.start}", source)]) from None
    try:
        model = loads(text, loader=ModelLoader())
    except Exception as error:  # the library raises several kinds, its lexer's among them, and all mean this
        line = getattr(error, "lineno", 0) or 0
        column = (getattr(error, "colno", 0) or 0) if line else 0
        detail = next((each.strip() for each in str(error).splitlines() if "rror" in each or "xpect" in each), "")
        raise InvalidDocumentError([Fault((), f"not JSON5: {detail}".rstrip(": "), source, line, column)]) from None
    walk = _Walk(source)
    value = walk.value(model.value, ())
    if walk.faults:
        raise InvalidDocumentError(walk.faults)
    return Read(value, source, walk.places)


class _Walk:
    """The library's model of a text to plain values and places, all faults collected."""

    def __init__(self, source: str) -> None:
        self.source = source
        self.places: dict[Path, tuple[int, int]] = {}
        self.faults: list[Fault] = []
        self._count = 0

    def _fault(self, path: Path, node: Any, text: str) -> None:
        self.faults.append(Fault(path, text, self.source, node.lineno or 0, (node.col_offset or 0) + 1))

    def value(self, node: Any, path: Path) -> Any:
        """The value of a node; its place is kept."""
        kind = type(node).__name__
        self._count += 1
        if self._count > VALUES_MOST:
            if self._count == VALUES_MOST + 1:
                self._fault(path, node, f"more than {VALUES_MOST} values")
            return None
        if node.lineno:
            self.places.setdefault(path, (node.lineno, (node.col_offset or 0) + 1))
        if kind == "JSONObject":
            return self._object(node, path)
        if kind == "JSONArray":
            return [self.value(each, (*path, str(at))) for at, each in enumerate(node.values)]
        if kind == "UnaryOp":
            inner = self.value(node.value, path)
            return inner if node.op == "+" or not isinstance(inner, int | float) else -inner
        if kind in ("NaN", "Infinity"):
            self._fault(path, node, f"{kind} is no figure")
            return None
        if kind in ("NullLiteral",):
            return None
        return node.characters if hasattr(node, "characters") else node.value

    def _object(self, node: Any, path: Path) -> dict[str, Any]:
        out: dict[str, Any] = {}
        for pair in node.key_value_pairs:
            name = str(getattr(pair.key, "characters", None) or getattr(pair.key, "name", ""))
            inner = (*path, name)
            if name in out:
                self._fault(inner, pair.key, "this key is there twice")
                continue
            self.places[inner] = (pair.key.lineno or 0, (pair.key.col_offset or 0) + 1)
            out[name] = self.value(pair.value, inner)
        return out
