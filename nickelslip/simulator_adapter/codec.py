"""The text protocol of the simulator: decodes lines into typed events, and encodes decisions as lines.

The words of the protocol are defined by the simulator. Only this module maps them to the terms of this project.
"""

from __future__ import annotations

import math

from nickelslip.admission.interface import (
    Arrival,
    Decisions,
    Gauges,
    IdempotencyUpdate,
    Outcome,
    RequestState,
    StateChange,
)

ABSENT = "-"
ARRIVAL_VALUE_COUNT = 13

OUTCOMES = {
    "0": Outcome.OK,
    "5": Outcome.ERROR,
    "11": Outcome.REJECTED,
    "104": Outcome.RESET,
    "110": Outcome.TIMEOUT,
    "111": Outcome.CONNECT_FAILED,
    "114": Outcome.NOT_STARTED,
    "125": Outcome.CANCELLED,
}
# REJECTED and CALL_IN_FLIGHT are encoded separately, with their values. The remaining states are never sent to the
# simulator, which itself reports the events that lead to COMPLETED and CANCELLED.
VERBS = {
    RequestState.QUEUED: "STOP",
    RequestState.PAUSED: "STOP",
    RequestState.ORPHANED: "STOP",
    RequestState.RUNNING: "DISPATCH",
    RequestState.DEGRADED: "OMIT",
    RequestState.COALESCED: "ANSWER_FROM",
    RequestState.FAILED: "DROP_REQUEST",
}


class MalformedLineError(Exception):
    """A line that cannot be decoded."""


def decode_number(text: str) -> float:
    """Return a finite number.

    Raises:
        ValueError: The text is not a finite number.
    """
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"not a finite number: {text}")
    return value


def decode_arrival(values: list[str]) -> Arrival:
    """Decode the values of an ASK line after its instance name. Trailing absent values may be omitted.

    Raises:
        ValueError: A value is missing or not a number.
    """
    padded = (values + [ABSENT] * ARRIVAL_VALUE_COUNT)[:ARRIVAL_VALUE_COUNT]
    (
        request_id,
        traffic_class,
        tenant,
        key,
        deadline,
        cost_hint,
        memory,
        _priority,
        is_retry,
        _update,
        client,
        read_delay,
        original,
    ) = (None if value == ABSENT else value for value in padded)
    if request_id is None or traffic_class is None:
        raise ValueError("a transaction needs an id and a service grade")
    return Arrival(
        id=int(request_id),
        traffic_class=traffic_class,
        tenant=tenant,
        memory_kb=decode_number(memory or "0"),
        deadline_at_ms=decode_number(deadline or "0") or None,
        cost_hint_ms=decode_number(cost_hint or "0") or None,
        is_retry=is_retry == "1",
        client=None if client is None else int(client),
        read_delay_ms=decode_number(read_delay or "0"),
        original_request_id=int(original or "0") or None,
        has_key=key is not None,
    )


def decode_gauges(text: str) -> Gauges:
    """Decode the gauges of a WAKE line, which are `name:value` pairs separated by commas."""
    if text in ("", ABSENT):
        return Gauges()
    pairs = dict(pair.split(":", 1) for pair in text.split(","))
    gauges = {name: decode_number(value) for name, value in pairs.items()}
    return Gauges(
        cpu_utilization=gauges.get("cpu_busy"),
        run_queue_length=gauges.get("runnable"),
        memory_utilization=gauges.get("mem_used"),
        connection_count=gauges.get("sockets"),
    )


def decode_outcome(text: str) -> Outcome:
    """Decode an outcome code.

    Raises:
        KeyError: The code is unknown.
    """
    return OUTCOMES[text]


def encode_decisions(instance: str, decisions: Decisions) -> list[str]:
    """Return the lines for the decisions, in the order that `Decisions` specifies."""
    lines = []
    if decisions.advertised_weight is not None:
        lines.append(f"STAMP {instance} {decisions.advertised_weight:.6f}")
    if decisions.health is not None:
        lines.append(f"HEALTH {instance} {int(decisions.health.is_cached)} {int(decisions.health.is_healthy)}")
    if decisions.idle_connection_timeout_ms is not None:
        lines.append(f"TRIM_AFTER {instance} {decisions.idle_connection_timeout_ms:.3f}")
    lines += [_encode_idempotency_update(instance, update) for update in decisions.idempotency_updates]
    lines += [_encode_state_change(instance, change) for change in decisions.state_changes]
    if decisions.wake_in_ms is not None:
        lines.append(f"SCHEDULE {instance} {decisions.wake_in_ms:.3f} 1")
    return lines


def _encode_idempotency_update(instance: str, update: IdempotencyUpdate) -> str:
    if update.retention_ms > 0:
        return f"REMEMBER {instance} {update.id} {update.retention_ms:.3f}"
    return f"FORGET {instance} {update.id}"


def _encode_state_change(instance: str, change: StateChange) -> str:
    match change.state:
        case RequestState.REJECTED:
            is_useless = int(change.retry_elsewhere_useless)
            return f"PUSH_BACK {instance} {change.id} {change.duration_ms:.3f} {is_useless}"
        case RequestState.CALL_IN_FLIGHT:
            return f"INVOKE {instance} {change.id} {change.duration_ms:.3f}"
        case state:
            return f"{VERBS[state]} {instance} {change.id}"
