"""Decodes the settings of a server from the JSON that the platform provides.

Both the simulator's adapter and the real server use this module, so the admission controller gets the same values in
both. The JSON keys are defined by the platform. Only this module maps them to the terms of this project.
"""

from __future__ import annotations

import json
from typing import Any

from nickelslip.admission.interface import LoadSignal, Preemption, RetrySafety, Settings, Tenant, TrafficClass
from nickelslip.json_fields import JsonFields, MalformedSettingsError

RETRY_SAFETY = {
    "read_like": RetrySafety.IDEMPOTENT,
    "idempotency_key": RetrySafety.IDEMPOTENCY_KEY,
    "non_idempotent": RetrySafety.NON_IDEMPOTENT,
}
PREEMPTION = {
    "silent": Preemption.NEVER,
    "drop": Preemption.DISCARD_PROGRESS,
    "pause": Preemption.KEEP_PROGRESS,
}
LOAD_SIGNALS = {
    "silent": LoadSignal.NONE,
    "bias": LoadSignal.SELECTION_PROBABILITY,
    "tokens": LoadSignal.CLIENT_CONCURRENCY,
    "min_rank": LoadSignal.PRIORITY_THRESHOLD,
}
IS_VALUE_PER_WORK_UNIT = {"work": True, "request": False}

# What runs call: a shared dependency, a lower tier of servers, or nothing.
SHARED_DEPENDENCY = "common"
TIER_BELOW = "next_hop"
NO_DEPENDENCY = "silent"
DEPENDENCIES = {word: word for word in (SHARED_DEPENDENCY, TIER_BELOW, NO_DEPENDENCY)}

Errors = list[MalformedSettingsError]


def decode_settings_text(text: str) -> Settings:
    """Decode settings from the text of a JSON object.

    Raises:
        MalformedSettingsError: The text is not JSON, or a field is invalid.
    """
    try:
        value = json.loads(text)
    except ValueError as error:
        raise MalformedSettingsError(f"settings: not JSON: {error}") from error
    return decode_settings(value)


def decode_gauge_names(value: object, errors: Errors | None = None) -> tuple[str, ...]:
    """Return the names of the gauges, in the order of the worker pool's reports."""
    machine = JsonFields(value, "settings", errors).child("specifics")
    return tuple(str(name) for name in machine.items("own-stats"))


def decode_settings(value: object, errors: Errors | None = None) -> Settings:
    """Decode settings from a decoded JSON object. Unknown keys are ignored.

    Args:
        value: The JSON object.
        errors: If given, receives all errors. The returned settings must not be used if there are any.

    Raises:
        MalformedSettingsError: A field is invalid, and no list of errors was given.
    """
    top = JsonFields(value, "settings", errors)
    machine = top.child("specifics")
    rules = top.child("invariants")
    bounds = top.child("bounds", required=False)
    habits = top.child("client-habits", required=False)
    dependency = machine.choice("below", DEPENDENCIES, NO_DEPENDENCY)
    traffic_classes = _decode_traffic_classes(top, machine, dependency, errors)
    has_share = dependency == SHARED_DEPENDENCY
    return Settings(
        traffic_classes=traffic_classes,
        core_count=machine.integer("cpus"),
        memory_kb=machine.number("memory-kb", is_exclusive=True),
        running_memory_factor=machine.number("run-factor", minimum=1.0),
        starts_cold=machine.boolean("cold"),
        cold_speed_fraction=rules.number("cold-from", maximum=1.0),
        warm_up_ms=rules.number("cold-ms", is_exclusive=True),
        overload_concurrency_per_core=rules.number("fall-multiple", minimum=1.0),
        answer_slack_ms=rules.number("answer-slack-ms"),
        drain_grace_ms=rules.number("stop-sending-within-ms"),
        tick_ms=top.number("tick-ms", is_exclusive=True),
        server_count=top.integer("servers", 1, 0) or 1,
        client_count=machine.integer("callers", 1, 0) or 1,
        tenants=_decode_tenants(top),
        over_quota_value_fraction=top.number("over-share-worth", 1.0),
        is_value_per_work_unit=top.choice("counted-by", IS_VALUE_PER_WORK_UNIT, "request"),
        clients_mark_retries=habits.boolean("marks-retry"),
        preemption=machine.choice("stop-mode", PREEMPTION, "silent"),
        load_signal=machine.choice("say", LOAD_SIGNALS, "silent"),
        retry_after_max_ms=bounds.number("max-retry-after-ms", 0.0) if bounds.boolean("retry-after") else 0.0,
        dependency_concurrency_share=machine.number("dep-share", 0.0) if has_share else 0.0,
        dependency_window_ms=machine.number("calls-over-ms", 0.0),
        abandoned_call_linger_ms=machine.number("stays-for-ms", 0.0),
        idempotency_record_kb=machine.number("kb-per-key", 0.0),
        response_cache_ms=machine.number("fresh-ms", 0.0),
        idle_connection_timeout_ms=machine.number("idle-ms", 0.0),
        health_check_costs_work=machine.boolean("real-checks"),
    )


def _decode_traffic_classes(
    top: JsonFields, machine: JsonFields, dependency: str, errors: Errors | None
) -> tuple[TrafficClass, ...]:
    """Decode the classes. Separate lists state which classes make calls, and their degraded value fractions."""
    makes_calls = machine.items("class-calls")
    degraded_values = machine.items("class-skip-worth")
    return tuple(
        TrafficClass(
            name=fields.text("name"),
            priority_weight=fields.number("gain"),
            latency_objective_ms=fields.number("aim-ms", is_exclusive=True),
            timeout_ms=fields.number("deadline-ms", is_exclusive=True),
            retry_safety=fields.choice("idempotency", RETRY_SAFETY),
            idempotency_window_ms=fields.number("memory-span-ms", 0.0),
            late_value_fraction=fields.number("late-worth", 0.0),
            objective_stretch=fields.number("aim-stretch", 0.0),
            makes_calls=dependency != NO_DEPENDENCY and _makes_calls(makes_calls, index),
            degraded_value_fraction=_degraded_value_fraction(degraded_values, index, errors),
        )
        for index, fields in enumerate(top.children("classes"))
    )


def _makes_calls(entries: list[Any], index: int) -> bool:
    """Whether a class makes calls, which is the default if the list is too short for it."""
    return bool(entries[index]) if index < len(entries) else True


def _degraded_value_fraction(entries: list[Any], index: int, errors: Errors | None) -> float:
    """Return the value fraction of an answer without its call, or 0 if the list is too short for the class."""
    if index >= len(entries):
        return 0.0
    fields = JsonFields({"share": entries[index]}, f"settings.specifics.class-skip-worth[{index}]", errors)
    return fields.number("share", 0.0)


def _decode_tenants(top: JsonFields) -> tuple[Tenant, ...]:
    return tuple(
        Tenant(fields.text("name"), fields.number("quota-rps", 0.0))
        for fields in top.children("tenants", required=False)
    )
