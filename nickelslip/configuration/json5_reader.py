"""Parses the text of a document into plain values and their positions.

The json5 library reads JSON5 and gives positions, but it is slow. Plain JSON is read with the standard library if no
positions are needed, if the text is too long for the json5 library, or if that library is not installed. The size and
the nesting are limited, and with the json5 library the number of values too. The module does not use the schema.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from nickelslip.configuration.validation import MAX_DOCUMENT_BYTES, Fault, InvalidDocumentError, Path

MAX_JSON5_BYTES = 64 * 1024  # limits the time that the JSON5 library takes
MAX_DEPTH = 16
MAX_VALUES = 50_000
QUOTES = b"\"'"
OPENING_BRACKETS = b"[{"
CLOSING_BRACKETS = b"]}"
BACKSLASH = ord("\\")
NEWLINE = ord("\n")
SLASH = ord("/")


@dataclass
class ParsedDocument:
    """The value of a document, before any check against the schema.

    Attributes:
        value: The document as plain Python values.
        source: Where it was read from.
        positions: Line and column, both counted from 1, of each path for which they are known.
    """

    value: Any
    source: str
    positions: dict[Path, tuple[int, int]] = field(default_factory=dict)

    def fault_at(self, path: Path, text: str) -> Fault:
        """Return a fault at a path, with the position of the path or of its nearest parent that has a known one."""
        positioned = path
        while positioned and positioned not in self.positions:
            positioned = positioned[:-1]
        line, column = self.positions.get(positioned, (0, 0))
        return Fault(path, text, self.source, line, column)


class UnsupportedJsonError(Exception):
    """Plain JSON contains a duplicate key, NaN or an infinite number."""


def _object_with_unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) != len(pairs):
        raise UnsupportedJsonError("a key is there twice")
    return value


def _reject_constant(name: str) -> Any:
    raise UnsupportedJsonError(f"{name} is no figure")


def _end_of_string(data: bytes, start: int) -> int:
    """Return the position of the quote or newline that ends the string at ``start``."""
    position = start + 1
    while position < len(data) and data[position] not in (data[start], NEWLINE):
        position += 2 if data[position] == BACKSLASH else 1
    return position


def _end_of_comment(data: bytes, start: int) -> int | None:
    """Return the position of the last byte of the comment at ``start``, or None if no comment starts there."""
    opening = data[start : start + 2]
    if opening == b"//":
        end = data.find(b"\n", start)
        return len(data) if end < 0 else end
    if opening == b"/*":
        end = data.find(b"*/", start + 2)
        return len(data) if end < 0 else end + 1
    return None


def nesting_depth(data: bytes) -> int:
    """Return the deepest nesting of brackets outside of strings and comments.

    For malformed text the result may be too large, but never too small.
    """
    deepest = 0
    depth = 0
    position = 0
    while position < len(data):
        byte = data[position]
        if byte in QUOTES:
            position = _end_of_string(data, position)
        elif byte == SLASH:
            end = _end_of_comment(data, position)
            position = position if end is None else end
        elif byte in OPENING_BRACKETS:
            depth += 1
            deepest = max(deepest, depth)
        elif byte in CLOSING_BRACKETS:
            depth -= 1
        position += 1
    return deepest


def _invalid_text(text: str, source: str, line: int = 0, column: int = 0) -> InvalidDocumentError:
    """Return the error for a text that cannot be parsed."""
    return InvalidDocumentError([Fault((), text, source, line, column)])


def parse_document(data: bytes, source: str, with_positions: bool = True) -> ParsedDocument:
    """Parse a text in JSON5, a superset of plain JSON.

    Args:
        data: The text.
        source: Where the text was read from; faults name it.
        with_positions: Whether to determine positions. Plain JSON gets none if it is too long for the JSON5 library or
            if the library is not installed.

    Raises:
        InvalidDocumentError: The text is malformed or exceeds a limit.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        raise _invalid_text(f"over {MAX_DOCUMENT_BYTES} bytes", source)
    if nesting_depth(data) > MAX_DEPTH:
        raise _invalid_text(f"nested deeper than {MAX_DEPTH}", source)
    json_error: Exception | None = None
    value: Any = None
    try:
        value = json.loads(data, object_pairs_hook=_object_with_unique_keys, parse_constant=_reject_constant)
    except (ValueError, RecursionError, UnsupportedJsonError) as error:
        json_error = error
    if json_error is None and (not with_positions or len(data) > MAX_JSON5_BYTES):
        return ParsedDocument(value, source)
    if len(data) > MAX_JSON5_BYTES:
        raise _invalid_text(f"not plain JSON, and over {MAX_JSON5_BYTES} bytes: {json_error}", source)
    try:
        return _parse_json5(data, source)
    except ImportError:
        if json_error is None:
            return ParsedDocument(value, source)
        if isinstance(json_error, UnsupportedJsonError):
            raise _invalid_text(str(json_error), source) from None
        raise _invalid_text(f"not plain JSON, and JSON5 needs nickelslip[settings]: {json_error}", source) from None


def _parse_json5(data: bytes, source: str) -> ParsedDocument:
    """Parse a text with the JSON5 library. Raises ImportError if it is not installed."""
    from json5.loader import ModelLoader, loads  # an optional dependency, for documents written by hand

    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        raise _invalid_text(f"not UTF-8: {error.reason} at byte {error.start}", source) from None
    try:
        model = loads(text, loader=ModelLoader())
    except Exception as error:  # the library and its lexer raise several types for a malformed text
        line = getattr(error, "lineno", 0) or 0
        column = (getattr(error, "colno", 0) or 0) if line else 0
        raise _invalid_text(f"not JSON5: {_error_detail(error)}".rstrip(": "), source, line, column) from None
    converter = _ModelConverter(source)
    value = converter.convert(model.value, ())
    if converter.faults:
        raise InvalidDocumentError(converter.faults)
    return ParsedDocument(value, source, converter.positions)


def _error_detail(error: Exception) -> str:
    """Return the line of the library's error message that describes the error."""
    lines = str(error).splitlines()
    return next((line.strip() for line in lines if "rror" in line or "xpect" in line), "")


class _ModelConverter:
    """Converts the library's model of a text to plain values and positions.

    Args:
        source: Where the text was read from.

    Attributes:
        positions: Line and column of each path, counted from 1.
        faults: All faults found by ``convert``.
    """

    def __init__(self, source: str) -> None:
        self.source = source
        self.positions: dict[Path, tuple[int, int]] = {}
        self.faults: list[Fault] = []
        self._value_count = 0

    def _position(self, node: Any) -> tuple[int, int]:
        return node.lineno or 0, (node.col_offset or 0) + 1

    def _add_fault(self, path: Path, node: Any, text: str) -> None:
        self.faults.append(Fault(path, text, self.source, *self._position(node)))

    def convert(self, node: Any, path: Path) -> Any:
        """Return the value of a node and record the positions of the node and its children."""
        self._value_count += 1
        if self._value_count > MAX_VALUES:
            if self._value_count == MAX_VALUES + 1:
                self._add_fault(path, node, f"more than {MAX_VALUES} values")
            return None
        if node.lineno:
            self.positions.setdefault(path, self._position(node))
        match type(node).__name__:
            case "JSONObject":
                return self._convert_object(node, path)
            case "JSONArray":
                return [self.convert(item, (*path, str(index))) for index, item in enumerate(node.values)]
            case "UnaryOp":
                operand = self.convert(node.value, path)
                return operand if node.op == "+" or not isinstance(operand, int | float) else -operand
            case "NaN" | "Infinity" as constant:
                self._add_fault(path, node, f"{constant} is no figure")
                return None
            case "NullLiteral":
                return None
            case _:
                return node.characters if hasattr(node, "characters") else node.value

    def _convert_object(self, node: Any, path: Path) -> dict[str, Any]:
        value: dict[str, Any] = {}
        for pair in node.key_value_pairs:
            key = str(getattr(pair.key, "characters", None) or getattr(pair.key, "name", ""))
            key_path = (*path, key)
            if key in value:
                self._add_fault(key_path, pair.key, "this key is there twice")
                continue
            self.positions[key_path] = self._position(pair.key)
            value[key] = self.convert(pair.value, key_path)
        return value
