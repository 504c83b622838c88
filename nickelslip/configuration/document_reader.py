"""Reads one document in either form, and completes it with defaults and consistency checks."""

from __future__ import annotations

from collections.abc import Mapping

from nickelslip.configuration.config import config_from_platform
from nickelslip.configuration.consistency import consistency_faults
from nickelslip.configuration.document import Document, DocumentChecker, is_platform_form, with_defaults
from nickelslip.configuration.document_conversion import document_of
from nickelslip.configuration.json5_reader import ParsedDocument
from nickelslip.configuration.validation import Fault
from nickelslip.json_fields import MalformedSettingsError


def read_part(parsed: ParsedDocument, environment: Mapping[str, str]) -> tuple[Document, list[Fault]]:
    """Return the values of one document as a part in nickelslip's own form, with its faults and warnings.

    Args:
        parsed: The document, in either form.
        environment: Variables that take precedence over a document in the platform's form.
    """
    if not is_platform_form(parsed.value):
        checker = DocumentChecker(parsed)
        return checker.check(), checker.faults
    errors: list[MalformedSettingsError] = []
    config = config_from_platform(parsed.value, environment, errors)
    if errors:
        return {}, [_platform_fault(parsed, str(error)) for error in errors]
    return document_of(config), []


def _platform_fault(parsed: ParsedDocument, message: str) -> Fault:
    """Return the fault for an error in a document in the platform's form.

    The message starts with the path of the field, from which the fault gets its position.
    """
    name, _, text = message.partition(": ")
    path = tuple(key for key in name.replace("[", ".").replace("]", "").split(".") if key)
    return parsed.fault_at(path, text or message)


def complete(part: Document) -> tuple[Document, list[Fault]]:
    """Return the complete document of a part with its faults.

    The document is checked for consistency only if nothing is missing.
    """
    document, faults = with_defaults(part)
    if not faults:
        faults = consistency_faults(document)
    return document, faults
