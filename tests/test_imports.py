"""The imports between the modules of the package, those for type checking included."""

from __future__ import annotations

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "nickelslip"


def module_name(file: Path) -> str:
    parts = file.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported_modules(file: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            names |= {node.module, *(f"{node.module}.{alias.name}" for alias in node.names)}
        elif isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
    return names


def test_no_modules_import_each_other_in_a_circle():
    files = {module_name(file): file for file in (ROOT / PACKAGE).rglob("*.py")}
    graph = {name: imported_modules(file) & files.keys() - {name} for name, file in files.items()}
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        pytest.fail(f"modules import each other: {' -> '.join(error.args[1])}")
