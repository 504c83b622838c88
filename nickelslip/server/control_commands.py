"""Commands of the control socket, and their decoding from requests."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from nickelslip.configuration.change_lifecycle import ChangeRejectedError, RejectionReason

MAX_ORIGIN_LENGTH = 200
MAX_NAME_IN_MESSAGE = 40
DEFAULT_ORIGIN = "control socket"


@dataclass(frozen=True)
class DocumentPart:
    """A document in a request.

    Attributes:
        part: The document; None if it is missing or not a JSON object.
        is_whole: Whether it replaces the whole document in force, rather than being merged into it.
    """

    part: dict[str, Any] | None
    is_whole: bool


@dataclass(frozen=True)
class DraftRequest:
    """A request for a configuration change.

    Attributes:
        document: The document to change to.
        origin: Who requests the change.
        is_forced: Whether to ignore a recent rollback of the same document.
    """

    document: DocumentPart
    origin: str
    is_forced: bool


@dataclass(frozen=True)
class StatusCommand:
    """Show the server's status."""


@dataclass(frozen=True)
class HistoryCommand:
    """Show the latest records of the history."""


@dataclass(frozen=True)
class CheckCommand:
    """Show what a document would change if it were applied."""

    document: DocumentPart


@dataclass(frozen=True)
class StageCommand:
    """Draft and stage a change."""

    request: DraftRequest


@dataclass(frozen=True)
class ApplyDocumentCommand:
    """Draft, stage and apply a change."""

    request: DraftRequest


@dataclass(frozen=True)
class ApplyStagedCommand:
    """Apply the staged change; if `number` is given, the staged change must have that number."""

    number: int | None


@dataclass(frozen=True)
class DiscardStagedCommand:
    """Discard the staged change, which is then rejected."""


@dataclass(frozen=True)
class ConfirmCommand:
    """Confirm the change in its canary period."""


@dataclass(frozen=True)
class RollbackCommand:
    """Roll back the change in its canary period, or return to an earlier generation.

    Attributes:
        generation: The number of the generation to return to; None for the one before the generation in force.
        expected_origin: The origin that the generation in force must have; None for any.
    """

    generation: int | None
    expected_origin: Any


Command = (
    StatusCommand
    | HistoryCommand
    | CheckCommand
    | StageCommand
    | ApplyDocumentCommand
    | ApplyStagedCommand
    | DiscardStagedCommand
    | ConfirmCommand
    | RollbackCommand
)


def _decode_document(request: Mapping[str, Any]) -> DocumentPart:
    part = request.get("document")
    return DocumentPart(part if isinstance(part, dict) else None, request.get("whole") is True)


def _decode_draft(request: Mapping[str, Any]) -> DraftRequest:
    origin = str(request.get("origin") or DEFAULT_ORIGIN)[:MAX_ORIGIN_LENGTH]
    return DraftRequest(_decode_document(request), origin, request.get("force") is True)


def _decode_number(request: Mapping[str, Any], name: str, error_text: str) -> int | None:
    number = request.get(name)
    if number is None or (isinstance(number, int) and not isinstance(number, bool)):
        return number
    raise ChangeRejectedError(RejectionReason.NOT_FOUND, error_text)


def _decode_apply(request: Mapping[str, Any], now_ms: float) -> Command:
    """Return the command to apply a document or the staged change.

    A command that has expired is rejected: its sender no longer waits for it and may already have rolled it back.
    """
    expires_at_ms = request.get("until_ms")
    if isinstance(expires_at_ms, int | float) and now_ms > expires_at_ms:
        raise ChangeRejectedError(RejectionReason.EXPIRED)
    if "document" in request:
        return ApplyDocumentCommand(_decode_draft(request))
    return ApplyStagedCommand(_decode_number(request, "number", "a number is needed"))


def _decode_rollback(request: Mapping[str, Any], now_ms: float) -> Command:
    generation = _decode_number(request, "generation", "a generation's number is needed")
    return RollbackCommand(generation, request.get("from"))


_DECODERS: Mapping[str, Callable[[Mapping[str, Any], float], Command]] = {
    "status": lambda request, now_ms: StatusCommand(),
    "check": lambda request, now_ms: CheckCommand(_decode_document(request)),
    "diff": lambda request, now_ms: CheckCommand(_decode_document(request)),
    "stage": lambda request, now_ms: StageCommand(_decode_draft(request)),
    "apply": _decode_apply,
    "confirm": lambda request, now_ms: ConfirmCommand(),
    "rollback": _decode_rollback,
    "drop": lambda request, now_ms: DiscardStagedCommand(),
    "history": lambda request, now_ms: HistoryCommand(),
}
_READ_ONLY_NAMES = frozenset({"status", "history"})


def is_read_only(request: Mapping[str, Any]) -> bool:
    """Whether a request changes nothing, so that it need not wait for the command in progress.

    Raises:
        ChangeRejectedError: The command does not exist.
    """
    name = request["do"]
    if name not in _DECODERS:
        raise ChangeRejectedError(RejectionReason.NOT_FOUND, f"no command {name[:MAX_NAME_IN_MESSAGE]!r}")
    return name in _READ_ONLY_NAMES


def decode_command(request: Mapping[str, Any], now_ms: float) -> Command:
    """Return the command of a request; the request must name an existing command.

    Raises:
        ChangeRejectedError: The command has expired, or a field has the wrong type.
    """
    return _DECODERS[request["do"]](request, now_ms)
