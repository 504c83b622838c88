"""Loads configuration files. Each is read as a whole; one that is too large or changes meanwhile is rejected."""

from __future__ import annotations

import json
import os
import time
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

from nickelslip.configuration.config import OVERRIDE_PREFIX, Config, config_from_platform
from nickelslip.configuration.validation import MAX_DOCUMENT_BYTES, Fault, InvalidDocumentError
from nickelslip.json_fields import MalformedSettingsError

if TYPE_CHECKING:
    from nickelslip.configuration.layers import LayeredDocument

MAX_READ_ATTEMPTS = 3
READ_RETRY_PAUSE_S = 0.05


def read_file(path: str) -> bytes:
    """Return the contents of a file, read again if it changes during the read.

    Raises:
        InvalidDocumentError: The file cannot be read, is too large, or changed during every attempt.
    """
    for _ in range(MAX_READ_ATTEMPTS):
        try:
            with open(path, "rb") as file:
                before = os.fstat(file.fileno())
                data = file.read(MAX_DOCUMENT_BYTES + 1)
                after = os.fstat(file.fileno())
        except OSError as error:
            raise InvalidDocumentError([Fault((), f"configuration: {path}: {error.strerror}")]) from None
        if len(data) > MAX_DOCUMENT_BYTES:
            raise InvalidDocumentError([Fault((), f"over {MAX_DOCUMENT_BYTES} bytes", path)])
        if (before.st_mtime_ns, before.st_size) == (after.st_mtime_ns, after.st_size) and len(data) == after.st_size:
            return data
        time.sleep(READ_RETRY_PAUSE_S)
    raise InvalidDocumentError([Fault((), "is being written while it is read", path)])


def load_layers(paths: Sequence[str], environment: Mapping[str, str], with_positions: bool = True) -> LayeredDocument:
    """Merge the files, in their given order, and the environment into one document.

    Args:
        paths: The files.
        environment: The environment variables of the process.
        with_positions: Whether to determine the positions of values in the files.

    Raises:
        InvalidDocumentError: A file cannot be read, or the document has faults.
    """
    # Imported here because the usual start, from one plain JSON file in the platform's form, needs neither module
    from nickelslip.configuration.json5_reader import parse_document
    from nickelslip.configuration.layers import apply_layers

    documents = []
    faults = []
    for path in paths:
        try:
            documents.append(parse_document(read_file(path), path, with_positions))
        except InvalidDocumentError as error:
            faults += error.faults
    if faults:
        raise InvalidDocumentError(faults)
    return apply_layers(documents, environment)


def _is_plain_platform_form(value: Any) -> bool:
    return isinstance(value, dict) and "version" not in value and "settings" in value


def load_config(paths: Sequence[str], environment: Mapping[str, str]) -> Config:
    """Return the configuration for the start of a server or for a reload.

    A single plain JSON file in the platform's form is decoded directly, without defaults, origins and positions.

    Raises:
        MalformedSettingsError: The configuration has faults. The message contains the first of them, with
            their positions.
    """
    has_overrides = any(variable.startswith(OVERRIDE_PREFIX) for variable in environment)
    if len(paths) == 1 and not has_overrides:
        data = read_file(paths[0])
        try:
            value = json.loads(data)
            if _is_plain_platform_form(value):
                return config_from_platform(value, environment)
        except (ValueError, RecursionError, MalformedSettingsError):
            pass  # read again below, where every fault is found with its position
    return load_layers(paths, environment).config
