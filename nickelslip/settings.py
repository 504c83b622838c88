"""The one decoder of a server's settings: JSON as it is told to Settings, checked, with the fault named.

The bench's adapter and the real server both read their settings here, so that one module sees the same figures
in both. It only decodes: it opens no file, imports nothing beyond the standard library and chooses no value.
"""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from typing import Any, TypeVar

from nickelslip.admission.interface import LoadSignal, Preemption, RetrySafety, Settings, Tenant, TrafficClass

T = TypeVar("T")

REPEATS = {
    "read_like": RetrySafety.IDEMPOTENT,
    "idempotency_key": RetrySafety.IDEMPOTENCY_KEY,
    "non_idempotent": RetrySafety.NON_IDEMPOTENT,
}
STOPPINGS = {"silent": Preemption.NEVER, "drop": Preemption.DISCARD_PROGRESS, "pause": Preemption.KEEP_PROGRESS}
SAID = {
    "silent": LoadSignal.NONE,
    "bias": LoadSignal.SELECTION_PROBABILITY,
    "tokens": LoadSignal.CLIENT_CONCURRENCY,
    "min_rank": LoadSignal.PRIORITY_THRESHOLD,
}


class MalformedSettingsError(Exception):
    """Settings that cannot be understood; the text names the field."""


class Fields:
    """One JSON object, read field by field; a fault names the whole path of its field. The first one is raised, or,
    where a list for them is given, all are put there and a stand-in value is read on with: what was read with
    faults on the list is not to be used."""

    def __init__(self, value: object, path: str, faults: list[MalformedSettingsError] | None = None) -> None:
        self._path, self._faults = path, faults
        self._value: Mapping[str, Any] = {}
        if isinstance(value, Mapping):
            self._value = value
        else:
            self._fault(f"{path or 'settings'}: an object is needed")

    def _fault(self, text: str) -> None:
        if self._faults is None:
            raise MalformedSettingsError(text)
        self._faults.append(MalformedSettingsError(text))

    def _at(self, name: str) -> str:
        return f"{self._path}.{name}" if self._path else name

    def inside(self, name: str, needed: bool = True) -> Fields:
        value = self._value.get(name) if needed else self._value.get(name) or {}
        return Fields(value, self._at(name), self._faults)

    def number(
        self, name: str, default: float | None = None, least: float = 0.0, most: float = math.inf, above: bool = False
    ) -> float:
        """A number between least and most, and over least where `above` says so; null counts as absent."""
        value = self._value.get(name)
        if value is None and default is not None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            self._fault(f"{self._at(name)}: a number is needed")
            return least
        if not least <= value <= most or (above and value == least):
            self._fault(f"{self._at(name)}: {value} is out of range")
            return least
        return float(value)

    def whole(self, name: str, default: int | None = None, least: int = 1) -> int:
        value = self.number(name, default, least)
        if value != int(value):
            self._fault(f"{self._at(name)}: a whole number is needed")
        return int(value)

    def flag(self, name: str) -> bool:
        value = self._value.get(name, False)
        if value not in (True, False, None):
            self._fault(f"{self._at(name)}: true or false is needed")
        return bool(value)

    def text(self, name: str) -> str:
        value = self._value.get(name)
        if not isinstance(value, str) or not value:
            self._fault(f"{self._at(name)}: a text is needed")
            return "-"
        return value

    def one_of(self, name: str, known: Mapping[str, T], default: str | None = None) -> T:
        value = self._value.get(name, default)
        if not isinstance(value, str) or value not in known:
            self._fault(f"{self._at(name)}: one of {', '.join(known)} is needed")
            return next(iter(known.values()))
        return known[value]

    def each(self, name: str, needed: bool = True) -> list[Fields]:
        value = self._value.get(name)
        if not isinstance(value, list) and (needed or value is not None):
            self._fault(f"{self._at(name)}: a list is needed")
            return []
        if needed and not value:
            self._fault(f"{self._at(name)}: the list is empty")
        return [Fields(each, f"{self._at(name)}[{at}]", self._faults) for at, each in enumerate(value or [])]

    def values(self, name: str) -> list[Any]:
        value = self._value.get(name) or []
        if not isinstance(value, list):
            self._fault(f"{self._at(name)}: a list is needed")
            return []
        return value


def settings_from(text: str) -> Settings:
    """Settings from the text of a JSON object."""
    try:
        value = json.loads(text)
    except ValueError as error:
        raise MalformedSettingsError(f"settings: not JSON: {error}") from error
    return settings_of(value)


def gauge_names(value: object, faults: list[MalformedSettingsError] | None = None) -> tuple[str, ...]:
    """The names of the gauges, in the order in which the worker pool gives them."""
    return tuple(str(name) for name in Fields(value, "settings", faults).inside("specifics").values("own-stats"))


def settings_of(value: object, faults: list[MalformedSettingsError] | None = None) -> Settings:
    """Settings from a decoded JSON object; unknown keys are passed over. Faults are raised, or listed."""
    info = Fields(value, "settings", faults)
    facts, rules = info.inside("specifics"), info.inside("invariants")
    bounds, habits = info.inside("bounds", False), info.inside("client-habits", False)
    calls_are = facts.one_of("below", {name: name for name in ("common", "next_hop", "silent")}, "silent")
    known_calls, omit_shares = facts.values("class-calls"), facts.values("class-skip-worth")
    grades = tuple(
        TrafficClass(
            name=each.text("name"),
            priority_weight=each.number("gain"),
            latency_objective_ms=each.number("aim-ms", above=True),
            timeout_ms=each.number("deadline-ms", above=True),
            retry_safety=each.one_of("idempotency", REPEATS),
            idempotency_window_ms=each.number("memory-span-ms", 0.0),
            late_value_fraction=each.number("late-worth", 0.0),
            objective_stretch=each.number("aim-stretch", 0.0),
            makes_calls=calls_are != "silent" and (bool(known_calls[at]) if at < len(known_calls) else True),
            degraded_value_fraction=_share(omit_shares[at], at, faults) if at < len(omit_shares) else 0.0,
        )
        for at, each in enumerate(info.each("classes"))
    )
    return Settings(
        traffic_classes=grades,
        core_count=facts.whole("cpus"),
        memory_kb=facts.number("memory-kb", above=True),
        running_memory_factor=facts.number("run-factor", least=1.0),
        starts_cold=facts.flag("cold"),
        cold_speed_fraction=rules.number("cold-from", most=1.0),
        warm_up_ms=rules.number("cold-ms", above=True),
        overload_concurrency_per_core=rules.number("fall-multiple", least=1.0),
        answer_slack_ms=rules.number("answer-slack-ms"),
        drain_grace_ms=rules.number("stop-sending-within-ms"),
        tick_ms=info.number("tick-ms", above=True),
        server_count=info.whole("servers", 1, 0) or 1,
        client_count=facts.whole("callers", 1, 0) or 1,
        tenants=tuple(
            Tenant(each.text("name"), each.number("quota-rps", 0.0)) for each in info.each("tenants", needed=False)
        ),
        over_quota_value_fraction=info.number("over-share-worth", 1.0),
        value_counts_work=info.one_of("counted-by", {"work": True, "request": False}, "request"),
        clients_mark_retries=habits.flag("marks-retry"),
        preemption=facts.one_of("stop-mode", STOPPINGS, "silent"),
        load_signal=facts.one_of("say", SAID, "silent"),
        retry_after_max_ms=bounds.number("max-retry-after-ms", 0.0) if bounds.flag("retry-after") else 0.0,
        dependency_concurrency_share=facts.number("dep-share", 0.0) if calls_are == "common" else 0.0,
        dependency_window_ms=facts.number("calls-over-ms", 0.0),
        abandoned_call_linger_ms=facts.number("stays-for-ms", 0.0),
        idempotency_record_kb=facts.number("kb-per-key", 0.0),
        response_cache_ms=facts.number("fresh-ms", 0.0),
        idle_connection_timeout_ms=facts.number("idle-ms", 0.0),
        health_check_costs_work=facts.flag("real-checks"),
    )


def _share(value: object, at: int, faults: list[MalformedSettingsError] | None) -> float:
    return Fields({"share": value}, f"settings.specifics.class-skip-worth[{at}]", faults).number("share", 0.0)
