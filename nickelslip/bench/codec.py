"""The text of the bench's wire: lines to fields, results to lines."""

from __future__ import annotations

import math

from nickelslip.admission.interface import Arrival, Gauges, Outcome, Result, State

OUTCOMES = {
    "0": Outcome.OK,
    "5": Outcome.ERROR,
    "11": Outcome.FULL,
    "110": Outcome.TIMEOUT,
    "111": Outcome.UNREACHED,
    "104": Outcome.RESET,
    "125": Outcome.CANCELLED,
    "114": Outcome.MOOT,
}
VERBS = {
    State.HELD: "STOP",
    State.PAUSED: "STOP",
    State.SPENT: "STOP",
    State.RUNNING: "DISPATCH",
    State.OMITTED: "OMIT",
    State.JOINED: "ANSWER_FROM",
    State.FORFEITED: "DROP_REQUEST",
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
        grade=grade,
        customer=customer,
        kb=_number(kb or "0"),
        due_ms=_number(due or "0") or None,
        cost_hint_ms=_number(hint or "0") or None,
        again=again == "1",
        caller=None if caller is None else int(caller),
        unread_ms=_number(unread or "0"),
        forerunner=int(earlier or "0") or None,
        keyed=key is not None,
    )


def gauges_from(text: str) -> Gauges:
    """Gauges of a WAKE line."""
    pairs = dict(part.split(":", 1) for part in text.split(",")) if text not in ("", "-") else {}
    read = {name: _number(value) for name, value in pairs.items()}
    return Gauges(read.get("cpu_busy"), read.get("runnable"), read.get("mem_used"), read.get("sockets"))


def outcome_from(text: str) -> Outcome:
    """An outcome code."""
    return OUTCOMES[text]


def lines_from(instance: str, result: Result) -> list[str]:
    """The lines that carry a result out, in the order that Result states."""
    lines = []
    if result.said is not None:
        lines.append(f"STAMP {instance} {result.said:.6f}")
    if result.health is not None:
        lines.append(f"HEALTH {instance} {int(result.health.stored)} {int(result.health.good)}")
    if result.idle_ms is not None:
        lines.append(f"TRIM_AFTER {instance} {result.idle_ms:.3f}")
    for entry in result.table:
        lines.append(
            f"REMEMBER {instance} {entry.id} {entry.span_ms:.3f}"
            if entry.span_ms > 0
            else f"FORGET {instance} {entry.id}"
        )
    for change in result.changes:
        if change.state is State.DISMISSED:
            lines.append(f"PUSH_BACK {instance} {change.id} {change.span_ms:.3f} {int(change.last)}")
        elif change.state is State.CALLING:
            lines.append(f"INVOKE {instance} {change.id} {change.span_ms:.3f}")
        else:
            lines.append(f"{VERBS[change.state]} {instance} {change.id}")
    if result.wake_in_ms is not None:
        lines.append(f"SCHEDULE {instance} {result.wake_in_ms:.3f} 1")
    return lines
