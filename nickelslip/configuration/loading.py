"""Files of configuration: read whole, within a bound, or not at all.

Owns the reading of files and of the environment for the start, a reload and the command line. It must never hand on
half of a file: one that is being written while it is read is read again, and refused where that goes on.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

from nickelslip.configuration.config import Config, config_from_platform
from nickelslip.configuration.validation import BYTES_MOST, Fault, InvalidDocumentError
from nickelslip.json_fields import MalformedSettingsError

if TYPE_CHECKING:
    from nickelslip.configuration.layers import Layered

TRIES, PAUSE_S = 3, 0.05


def read_file(path: str) -> bytes:
    """The bytes of a file. Raises Faulty where it cannot be read, is too large, or changes all the while."""
    for _ in range(TRIES):
        try:
            with open(path, "rb") as file:
                before = os.fstat(file.fileno())
                data = file.read(BYTES_MOST + 1)
                after = os.fstat(file.fileno())
        except OSError as error:
            raise InvalidDocumentError([Fault((), f"configuration: {path}: {error.strerror}")]) from None
        if len(data) > BYTES_MOST:
            raise InvalidDocumentError([Fault((), f"over {BYTES_MOST} bytes", path)])
        if (before.st_mtime_ns, before.st_size) == (after.st_mtime_ns, after.st_size) and len(data) == after.st_size:
            return data
        time.sleep(PAUSE_S)
    raise InvalidDocumentError([Fault((), "is being written while it is read", path)])


def load_layers(paths: Sequence[str], environment: Mapping[str, str], places: bool = True) -> Layered:
    """All layers: the files in their order, then the environment. Raises Faulty."""
    from nickelslip.configuration.json5_reader import read_text
    from nickelslip.configuration.layers import layered  # the long way: most starts never take it

    texts, faults = [], []
    for path in paths:
        try:
            texts.append(read_text(read_file(path), path, places))
        except InvalidDocumentError as faulty:
            faults += faulty.faults
    if faults:
        raise InvalidDocumentError(faults)
    return layered(texts, environment)


def load(paths: Sequence[str], environment: Mapping[str, str]) -> Config:
    """The configuration with which a server starts, or which it reads again. The platform's plain file takes the
    short way, without defaults, origins or places. Raises Malformed, with every fault and its place."""
    if len(paths) == 1 and not any(name.startswith("NICKELSLIP_SET_") for name in environment):
        data = read_file(paths[0])
        try:
            value = json.loads(data)
            if isinstance(value, dict) and "version" not in value and "settings" in value:
                return config_from_platform(value, environment)
        except (ValueError, RecursionError, MalformedSettingsError):
            pass  # the long way names all faults by their places
    return load_layers(paths, environment).config
