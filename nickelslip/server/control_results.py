"""Results of the commands of the control socket, and their encoding for replies."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from nickelslip.configuration.canary_verdict import CanaryVerdict
from nickelslip.configuration.change_lifecycle import STATE_WORDS, ChangeState, ConfigurationChange
from nickelslip.configuration.change_results import ChangeStatus
from nickelslip.configuration.history import HistoryRecord
from nickelslip.configuration.plan import Plan
from nickelslip.configuration.validation import Fault
from nickelslip.server.control_words import CANARY_STATUS_WORDS, EVENT_WORDS, PHASE_WORDS
from nickelslip.server.lifecycle import Phase


@dataclass(frozen=True)
class ChangeResult:
    """The change on which a command acted, if any."""

    change: ConfigurationChange | None


@dataclass(frozen=True)
class StageResult:
    """The staged change, and the warnings about its document."""

    change: ConfigurationChange
    warnings: list[Fault]


@dataclass(frozen=True)
class CheckResult:
    """What a document would change.

    Attributes:
        plan: What would change, and when it would take effect.
        warnings: Warnings about the document.
        digest: Digest of the whole document.
        base_generation: Number of the generation with which the document was compared.
    """

    plan: Plan
    warnings: list[Fault]
    digest: str
    base_generation: int


@dataclass(frozen=True)
class StatusResult:
    """The status of the server.

    Attributes:
        name: Name of the server.
        phase: Phase of the server.
        is_healthy: Whether the server reports itself as healthy.
        open_request_count: Number of requests that have no answer yet or whose run has not ended.
        verdict: Latest verdict on the change in its canary period.
        adoption_times_us: How long the server was paused to adopt each of the latest generations.
        unwritten_record_count: Number of records that could not be written to the history yet.
        has_history: Whether the history outlives the server.
        changes: The generation in force, and the changes in progress and staged.
    """

    name: str
    phase: Phase
    is_healthy: bool
    open_request_count: int
    verdict: CanaryVerdict | None
    adoption_times_us: list[float]
    unwritten_record_count: int
    has_history: bool
    changes: ChangeStatus


@dataclass(frozen=True)
class HistoryResult:
    """The most recent records of the history."""

    records: list[HistoryRecord]


Result = ChangeResult | StageResult | CheckResult | StatusResult | HistoryResult


def encode_result(result: Result) -> dict[str, Any]:
    """Return a result in the form of the control protocol."""
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
        "applied_ms": change.generation.created_at_ms if change.generation else None,
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
        "history_kept": status.has_history,
        **_encode_change_status(status.changes),
    }


def _encode_verdict(verdict: CanaryVerdict | None) -> dict[str, Any] | None:
    if verdict is None:
        return None
    return {"standing": CANARY_STATUS_WORDS[verdict.status], "reason": verdict.reason, **verdict.figures}


def _encode_change_status(status: ChangeStatus) -> dict[str, Any]:
    generation = status.in_force.generation
    state = status.current.state if status.current else ChangeState.CONFIRMED
    return {
        "generation": generation.number,
        "digest": status.in_force.digest,
        "changes": [change.as_dict() for change in status.in_force.changes],
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
