"""Reading of one document in either form, and its completion with all checks."""

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
    """Return what one document gives, in the own form, with its faults and warnings.

    Args:
        parsed: The document, in either form.
        environment: Its variables win over a document in the platform's form.
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
    """Return a fault of the platform's form, whose path stands at the start of the message, at its position."""
    name, _, text = message.partition(": ")
    path = tuple(key for key in name.replace("[", ".").replace("]", "").split(".") if key)
    return parsed.fault_at(path, text or message)


def complete(part: Document) -> tuple[Document, list[Fault]]:
    """Return the complete document of a part, and the faults of what is missing or does not fit together."""
    whole, faults = with_defaults(part)
    if not faults:
        faults = consistency_faults(whole)
    return whole, faults
