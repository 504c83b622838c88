"""Conversion of a complete document to a ``Config`` and back.

Each complete document without faults converts to exactly one ``Config``, and each ``Config`` to exactly one complete
document.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import inf
from typing import Any

from nickelslip.admission.interface import LoadSignal, Preemption, RetrySafety, Settings, Tenant, TrafficClass
from nickelslip.configuration.config import Address, ChangeRules, Config, parse_address
from nickelslip.configuration.document import Document

# Values of the choice fields of a document
RETRY_SAFETY_CHOICES = {
    "replayable": RetrySafety.IDEMPOTENT,
    "referenced": RetrySafety.IDEMPOTENCY_KEY,
    "single-use": RetrySafety.NON_IDEMPOTENT,
}
PREEMPTION_CHOICES = {
    "never": Preemption.NEVER,
    "drop": Preemption.DISCARD_PROGRESS,
    "pause": Preemption.KEEP_PROGRESS,
}
LOAD_SIGNAL_CHOICES = {
    "nothing": LoadSignal.NONE,
    "chance": LoadSignal.SELECTION_PROBABILITY,
    "slots": LoadSignal.CLIENT_CONCURRENCY,
    "rank": LoadSignal.PRIORITY_THRESHOLD,
}


def config_from(document: Document) -> Config:
    """Return the ``Config`` of a complete document without faults."""
    node = document["node"]
    peers = document["peers"]
    machine = document["machine"]
    return Config(
        name=node["name"],
        listen=parse_address(node["listen"], "listen"),
        pool=parse_address(peers["pool"], "pool"),
        records=None if peers["records"] is None else parse_address(peers["records"], "records"),
        directory=parse_address(peers["directory"], "directory"),
        seed=int(node["seed"], 16),
        stop_ms=node["stop_ms"],
        memory_mb=node["memory_mb"],
        descriptors=node["descriptors"],
        settings=_settings_from(document),
        gauges=machine["gauges"],
        changes=_change_rules_from(document["changes"]),
        starts=node["starts"],
    )


def _traffic_class_from(name: str, section: Document) -> TrafficClass:
    return TrafficClass(
        name=name,
        priority_weight=section["credit"],
        latency_objective_ms=section["quoted_ms"],
        timeout_ms=section["abandon_ms"],
        retry_safety=RETRY_SAFETY_CHOICES[section["repeat"]],
        idempotency_window_ms=section["window_ms"],
        late_value_fraction=section["late_share"],
        objective_stretch=section["stretch"],
        makes_calls=section["calls"],
        degraded_value_fraction=section["omit_share"],
        reserved_slot_count=section["reserve"],
    )


def _settings_from(document: Document) -> Settings:
    machine = document["machine"]
    clients = document["callers"]
    calls = document["calls"]
    return Settings(
        traffic_classes=tuple(_traffic_class_from(name, section) for name, section in document["grades"].items()),
        core_count=machine["cores"],
        memory_kb=machine["memory_kb"],
        running_memory_factor=machine["run_factor"],
        starts_cold=machine["cold"],
        cold_speed_fraction=machine["cold_from"],
        warm_up_ms=machine["cold_ms"],
        overload_concurrency_per_core=machine["crowd_multiple"],
        answer_slack_ms=machine["answer_slack_ms"],
        drain_grace_ms=machine["drain_grace_ms"],
        tick_ms=machine["tick_ms"],
        server_count=clients["servers"],
        client_count=clients["callers"],
        tenants=tuple(Tenant(name, section["share_per_s"]) for name, section in document["customers"].items()),
        over_quota_value_fraction=document["ranking"]["beyond_share_worth"],
        is_value_per_work_unit=document["ranking"]["counted_by_work"],
        clients_mark_retries=clients["marks_again"],
        preemption=PREEMPTION_CHOICES[machine["stopping"]],
        load_signal=LOAD_SIGNAL_CHOICES[clients["said"]],
        retry_after_max_ms=clients["advice_most_ms"],
        dependency_concurrency_share=calls["share"],
        dependency_window_ms=calls["span_ms"],
        abandoned_call_linger_ms=calls["linger_ms"],
        idempotency_record_kb=document["store"]["entry_kb"],
        response_cache_ms=document["store"]["fresh_ms"],
        idle_connection_timeout_ms=clients["idle_ms"],
        health_check_costs_work=clients["checks_work"],
        max_concurrency=inf if machine["running_most"] is None else machine["running_most"],
    )


def _change_rules_from(changes: Document) -> ChangeRules:
    return ChangeRules(
        socket=changes["socket"],
        socket_mode=changes["socket_mode"],
        history=changes["history"],
        history_kb=changes["history_kb"],
        canary_period_ms=changes["probation_ms"],
        max_canary_period_ms=changes["probation_most_ms"],
        baseline_ms=changes["baseline_ms"],
        standard_errors=changes["sigmas"],
        rejected_after_rollback_ms=changes["held_off_ms"],
        reload_all=changes["reload"] == "all",
    )


def _address_text(address: Address | None) -> str | None:
    if address is None:
        return None
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _choice_of(choices: Mapping[str, Any], value: Any) -> str:
    """Return the choice that a document has for a value."""
    return next(choice for choice, meaning in choices.items() if meaning is value)


def document_of(config: Config) -> Document:
    """Return the complete document of a ``Config``."""
    settings = config.settings
    return {
        "node": _node_section(config),
        "peers": _peers_section(config),
        "machine": _machine_section(config),
        "callers": _callers_section(settings),
        "ranking": {
            "beyond_share_worth": settings.over_quota_value_fraction,
            "counted_by_work": settings.is_value_per_work_unit,
        },
        "calls": {
            "share": settings.dependency_concurrency_share,
            "span_ms": settings.dependency_window_ms,
            "linger_ms": settings.abandoned_call_linger_ms,
        },
        "store": {"entry_kb": settings.idempotency_record_kb, "fresh_ms": settings.response_cache_ms},
        "changes": _changes_section(config.changes),
        "grades": {traffic_class.name: _grade_section(traffic_class) for traffic_class in settings.traffic_classes},
        "customers": {tenant.name: {"share_per_s": tenant.quota_per_s} for tenant in settings.tenants},
    }


def _node_section(config: Config) -> Document:
    return {
        "name": config.name,
        "listen": _address_text(config.listen),
        "seed": f"{config.seed:x}",
        "stop_ms": config.stop_ms,
        "memory_mb": config.memory_mb,
        "descriptors": config.descriptors,
        "starts": config.starts,
    }


def _peers_section(config: Config) -> Document:
    return {
        "pool": _address_text(config.pool),
        "records": _address_text(config.records),
        "directory": _address_text(config.directory),
    }


def _machine_section(config: Config) -> Document:
    settings = config.settings
    return {
        "cores": settings.core_count,
        "memory_kb": settings.memory_kb,
        "run_factor": settings.running_memory_factor,
        "cold": settings.starts_cold,
        "cold_from": settings.cold_speed_fraction,
        "cold_ms": settings.warm_up_ms,
        "crowd_multiple": settings.overload_concurrency_per_core,
        "running_most": None if settings.max_concurrency == inf else settings.max_concurrency,
        "answer_slack_ms": settings.answer_slack_ms,
        "drain_grace_ms": settings.drain_grace_ms,
        "tick_ms": settings.tick_ms,
        "stopping": _choice_of(PREEMPTION_CHOICES, settings.preemption),
        "gauges": config.gauges,
    }


def _callers_section(settings: Settings) -> Document:
    return {
        "servers": settings.server_count,
        "callers": settings.client_count,
        "said": _choice_of(LOAD_SIGNAL_CHOICES, settings.load_signal),
        "advice_most_ms": settings.retry_after_max_ms,
        "marks_again": settings.clients_mark_retries,
        "idle_ms": settings.idle_connection_timeout_ms,
        "checks_work": settings.health_check_costs_work,
    }


def _changes_section(rules: ChangeRules) -> Document:
    return {
        "socket": rules.socket,
        "socket_mode": rules.socket_mode,
        "history": rules.history,
        "history_kb": rules.history_kb,
        "probation_ms": rules.canary_period_ms,
        "probation_most_ms": rules.max_canary_period_ms,
        "baseline_ms": rules.baseline_ms,
        "sigmas": rules.standard_errors,
        "held_off_ms": rules.rejected_after_rollback_ms,
        "reload": "all" if rules.reload_all else "peers",
    }


def _grade_section(traffic_class: TrafficClass) -> Document:
    return {
        "credit": traffic_class.priority_weight,
        "quoted_ms": traffic_class.latency_objective_ms,
        "abandon_ms": traffic_class.timeout_ms,
        "repeat": _choice_of(RETRY_SAFETY_CHOICES, traffic_class.retry_safety),
        "window_ms": traffic_class.idempotency_window_ms,
        "late_share": traffic_class.late_value_fraction,
        "stretch": traffic_class.objective_stretch,
        "calls": traffic_class.makes_calls,
        "omit_share": traffic_class.degraded_value_fraction,
        "reserve": traffic_class.reserved_slot_count,
    }
