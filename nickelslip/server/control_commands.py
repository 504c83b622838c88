"""Commands of the control socket, decoded from requests, and their results, encoded for replies."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from nickelslip.configuration.canary_analysis import CanaryVerdict
from nickelslip.configuration.change_lifecycle import (
    STATE_WORDS,
    ChangeRejectedError,
    ChangeState,
    ChangeStatus,
    ConfigurationChange,
    RejectionReason,
)
from nickelslip.configuration.history import HistoryRecord
from nickelslip.configuration.plan import Plan
from nickelslip.configuration.validation import Fault
from nickelslip.server.control_words import EVENT_WORDS, PHASE_WORDS, STANDING_WORDS
from nickelslip.server.lifecycle import Phase

MAX_ORIGIN_LENGTH = 200
MAX_NAME_IN_MESSAGE = 40
DEFAULT_ORIGIN = "control socket"


# Commands


@dataclass(frozen=True)
class DocumentPart:
    """A document that was sent.

    Attributes:
        part: The document; None where what was sent is no object.
        is_whole: Whether it replaces the document in force, rather than being laid over it.
    """

    part: dict[str, Any] | None
    is_whole: bool


@dataclass(frozen=True)
class DraftRequest:
    """A change that is asked for.

    Attributes:
        document: The document to change to.
        origin: Who asks.
        is_forced: Whether a recent rollback of the same document is disregarded.
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
    """Show what a document would change, without changing it."""

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
    """Apply the staged change, or the one of this number."""

    number: int | None


@dataclass(frozen=True)
class DiscardStagedCommand:
    """Reject the staged change."""


@dataclass(frozen=True)
class ConfirmCommand:
    """Confirm the change in its canary period."""


@dataclass(frozen=True)
class RollbackCommand:
    """Roll the change in its canary period back, or go back to an earlier generation.

    Attributes:
        generation: The generation to go back to; None for that before the one in force.
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
    """Return a command to apply, unless its sender has given it up: it may have been undone already."""
    until_ms = request.get("until_ms")
    if isinstance(until_ms, int | float) and now_ms > until_ms:
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
    """Whether a request only shows something, and need not wait for the command in progress.

    Raises:
        ChangeRejectedError: There is no such command.
    """
    name = request["do"]
    if name not in _DECODERS:
        raise ChangeRejectedError(RejectionReason.NOT_FOUND, f"no command {name[:MAX_NAME_IN_MESSAGE]!r}")
    return name in _READ_ONLY_NAMES


def decode_command(request: Mapping[str, Any], now_ms: float) -> Command:
    """Return the command of a request, which names a known one.

    Raises:
        ChangeRejectedError: It has expired, or a field has the wrong type.
    """
    return _DECODERS[request["do"]](request, now_ms)


# Results


@dataclass(frozen=True)
class ChangeResult:
    """A change that was acted upon."""

    change: ConfigurationChange | None


@dataclass(frozen=True)
class StageResult:
    """A change that was staged, and the warnings about its document."""

    change: ConfigurationChange
    warnings: list[Fault]


@dataclass(frozen=True)
class CheckResult:
    """What a document would change.

    Attributes:
        plan: What would change, and when it would take effect.
        warnings: The warnings about the document.
        digest: The digest of the whole document.
        base_generation: The number of the generation that it was compared with.
    """

    plan: Plan
    warnings: list[Fault]
    digest: str
    base_generation: int


@dataclass(frozen=True)
class StatusResult:
    """The status of the server.

    Attributes:
        name: The server's name.
        phase: Its phase.
        is_healthy: Whether it reports itself healthy.
        open_request_count: Requests that have no answer yet, or whose run is not over.
        verdict: The latest verdict on the change in its canary period.
        adoption_times_us: For how long the server was stopped to adopt the latest generations.
        unwritten_record_count: Records that could not be written to the history yet.
        changes: What is in force, in progress and staged.
    """

    name: str
    phase: Phase
    is_healthy: bool
    open_request_count: int
    verdict: CanaryVerdict | None
    adoption_times_us: list[float]
    unwritten_record_count: int
    changes: ChangeStatus


@dataclass(frozen=True)
class HistoryResult:
    """The latest records of the history."""

    records: list[HistoryRecord]


Result = ChangeResult | StageResult | CheckResult | StatusResult | HistoryResult


def encode_result(result: Result) -> dict[str, Any]:
    """Return a result with the keys and words of the control protocol."""
    match result:
        case ChangeResult(change):
            return {"change": _encode_optional_change(change)}
        case StageResult(change, warnings):
            return {"change": _encode_change(change), "warnings": _encode_faults(warnings)}
        case CheckResult():
            return _encode_check(result)
        case StatusResult():
            return _encode_status(result)
        case HistoryResult(records):
            return {"records": [_encode_record(record) for record in records]}


def _encode_faults(faults: list[Fault]) -> list[dict[str, object]]:
    return [fault.as_dict() for fault in faults]


def _encode_optional_change(change: ConfigurationChange | None) -> dict[str, Any] | None:
    return None if change is None else _encode_change(change)


def _encode_change(change: ConfigurationChange) -> dict[str, Any]:
    return {
        "number": change.number,
        "step": STATE_WORDS[change.state],
        "since_ms": change.state_entered_at_ms,
        "digest": change.digest,
        "origin": change.origin,
        "base": change.base_generation.number,
        "reason": change.reason,
        "generation": change.generation.number if change.generation else None,
        "plan": change.plan.as_dict(),
        "forced": change.forced,
    }


def _encode_check(result: CheckResult) -> dict[str, Any]:
    return {
        "plan": result.plan.as_dict(),
        "lines": [str(difference) for difference in result.plan.differences],
        "warnings": _encode_faults(result.warnings),
        "digest": result.digest,
        "against": result.base_generation,
    }


def _encode_status(status: StatusResult) -> dict[str, Any]:
    return {
        "name": status.name,
        "phase": PHASE_WORDS[status.phase],
        "healthy": status.is_healthy,
        "in_hand": status.open_request_count,
        "verdict": _encode_verdict(status.verdict),
        "apply_us": status.adoption_times_us,
        "history_behind": status.unwritten_record_count,
        **_encode_change_status(status.changes),
    }


def _encode_verdict(verdict: CanaryVerdict | None) -> dict[str, Any] | None:
    if verdict is None:
        return None
    return {"standing": STANDING_WORDS[verdict.status], "reason": verdict.reason, **verdict.figures}


def _encode_change_status(status: ChangeStatus) -> dict[str, Any]:
    generation = status.in_force.generation
    state = status.current.state if status.current else ChangeState.CONFIRMED
    return {
        "generation": generation.number,
        "digest": status.in_force.digest,
        "origin": generation.origin,
        "since_ms": generation.created_at_ms,
        "confirmed": status.confirmed_generation,
        "step": STATE_WORDS[state],
        "current": _encode_optional_change(status.current),
        "staged": _encode_optional_change(status.staged),
        "undone": status.rolled_back_for_ms,
    }


def _encode_record(record: HistoryRecord) -> dict[str, Any]:
    return {
        "at": record.sequence_number,
        "event": EVENT_WORDS[record.event],
        "generation": record.generation,
        "digest": record.digest,
        "origin": record.origin,
        "since_ms": record.recorded_at_ms,
        "reason": record.reason,
    }
