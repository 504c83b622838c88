"""The text of the bench's wire: lines to fields, results to lines."""

from __future__ import annotations

import math

from nickelslip.admission.interface import Arrival, Decisions, Gauges, Outcome, RequestState

OUTCOMES = {
    "0": Outcome.OK,
    "5": Outcome.ERROR,
    "11": Outcome.REJECTED,
    "110": Outcome.TIMEOUT,
    "111": Outcome.CONNECT_FAILED,
    "104": Outcome.RESET,
    "125": Outcome.CANCELLED,
    "114": Outcome.NOT_STARTED,
}
VERBS = {
    RequestState.QUEUED: "STOP",
    RequestState.PAUSED: "STOP",
    RequestState.ORPHANED: "STOP",
    RequestState.RUNNING: "DISPATCH",
    RequestState.DEGRADED: "OMIT",
    RequestState.COALESCED: "ANSWER_FROM",
    RequestState.FAILED: "DROP_REQUEST",
}


class Malformed(Exception):
    """A line that cannot be understood."""


def clock_from(text: str) -> float:
    """The clock of a TICK line's value."""
    return _number(text)


def _number(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"not a finite number: {text}")
    return value


def _optional(text: str) -> str | None:
    return None if text == "-" else text


def arrival_from(parts: list[str]) -> Arrival:
    """The values of an ASK line behind its instance; absent trailing ones may be left out."""
    ident, grade, customer, key, due, hint, kb, _rank, again, _update, caller, unread, earlier = (
        _optional(part) for part in (parts + ["-"] * 13)[:13]
    )
    if ident is None or grade is None:
        raise ValueError("a transaction needs an id and a service grade")
    return Arrival(
        id=int(ident),
        traffic_class=grade,
        tenant=customer,
        memory_kb=_number(kb or "0"),
        deadline_at_ms=_number(due or "0") or None,
        cost_hint_ms=_number(hint or "0") or None,
        is_retry=again == "1",
        client=None if caller is None else int(caller),
        read_delay_ms=_number(unread or "0"),
        original_request_id=int(earlier or "0") or None,
        has_key=key is not None,
    )


def gauges_from(text: str) -> Gauges:
    """Gauges of a WAKE line."""
    pairs = dict(part.split(":", 1) for part in text.split(",")) if text not in ("", "-") else {}
    read = {name: _number(value) for name, value in pairs.items()}
    return Gauges(read.get("cpu_busy"), read.get("runnable"), read.get("mem_used"), read.get("sockets"))


def outcome_from(text: str) -> Outcome:
    """An outcome code."""
    return OUTCOMES[text]


def lines_from(instance: str, result: Decisions) -> list[str]:
    """The lines that carry a result out, in the order that Result states."""
    lines = []
    if result.advertised_weight is not None:
        lines.append(f"STAMP {instance} {result.advertised_weight:.6f}")
    if result.health is not None:
        lines.append(f"HEALTH {instance} {int(result.health.is_cached)} {int(result.health.is_healthy)}")
    if result.idle_connection_timeout_ms is not None:
        lines.append(f"TRIM_AFTER {instance} {result.idle_connection_timeout_ms:.3f}")
    for entry in result.idempotency_updates:
        lines.append(
            f"REMEMBER {instance} {entry.id} {entry.retention_ms:.3f}"
            if entry.retention_ms > 0
            else f"FORGET {instance} {entry.id}"
        )
    for change in result.state_changes:
        if change.state is RequestState.REJECTED:
            lines.append(
                f"PUSH_BACK {instance} {change.id} {change.duration_ms:.3f} {int(change.retry_elsewhere_useless)}"
            )
        elif change.state is RequestState.CALL_IN_FLIGHT:
            lines.append(f"INVOKE {instance} {change.id} {change.duration_ms:.3f}")
        else:
            lines.append(f"{VERBS[change.state]} {instance} {change.id}")
    if result.wake_in_ms is not None:
        lines.append(f"SCHEDULE {instance} {result.wake_in_ms:.3f} 1")
    return lines
