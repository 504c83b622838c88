"""A document: its words checked, one by one and against each other, and turned into a Config and back.

Owns the reading of both forms (our own words, and the platform's, which is translated into them), the whole document
with every default filled in, and the checks of values against each other. It does no I/O; all faults are reported in
one go. A document that passes makes exactly one Config, and a Config exactly one whole document.
"""

from __future__ import annotations

import difflib
from collections.abc import Mapping
from math import inf, isfinite
from typing import Any

from nickelslip.admission.interface import LoadSignal, Preemption, RetrySafety, Settings, Tenant, TrafficClass
from nickelslip.configuration.config import ChangeRules, Config, address_from, config_from_platform
from nickelslip.configuration.descriptors import shares_of
from nickelslip.configuration.json5_reader import Read
from nickelslip.configuration.schema import NAMED, NAMED_MOST, NEEDED, SECTIONS, VERSION, Kind, Word
from nickelslip.configuration.validation import Fault, InvalidDocumentError, Path, Severity, errors_of
from nickelslip.json_fields import MalformedSettingsError

Document = dict[str, Any]  # whole: every section, every word
REPEATS = {
    "replayable": RetrySafety.IDEMPOTENT,
    "referenced": RetrySafety.IDEMPOTENCY_KEY,
    "single-use": RetrySafety.NON_IDEMPOTENT,
}
STOPPINGS = {"never": Preemption.NEVER, "drop": Preemption.DISCARD_PROGRESS, "pause": Preemption.KEEP_PROGRESS}
SAID = {
    "nothing": LoadSignal.NONE,
    "chance": LoadSignal.SELECTION_PROBABILITY,
    "slots": LoadSignal.CLIENT_CONCURRENCY,
    "rank": LoadSignal.PRIORITY_THRESHOLD,
}
PLATFORM_KEYS = frozenset({"settings", "limits", "lookup"})  # by which its form is told from ours
SOCKET_PATH_MOST = 100  # bytes that the system takes for the path of a local socket, with room for its end
CALLERS_LEAST = 32  # connections, under which a configuration is warned of


def is_platforms(value: object) -> bool:
    """Whether this is the platform's form."""
    return isinstance(value, Mapping) and "version" not in value and bool(PLATFORM_KEYS & value.keys())


# One by one


class Checker:
    """One text in our own words, checked word by word. Absent words stay absent: layers fill them."""

    def __init__(self, read: Read) -> None:
        self.read = read
        self.faults: list[Fault] = []

    def _fault(self, path: Path, text: str, gravity: Severity = Severity.FAULT) -> None:
        fault = self.read.fault(path, text)
        self.faults.append(Fault(fault.path, fault.text, fault.source, fault.line, fault.column, gravity))

    def _unknown(self, path: Path, known: list[str]) -> None:
        near = difflib.get_close_matches(path[-1], known, 1, 0.6)
        self._fault(path, "unknown" + (f", nearest is {near[0]}" if near else ""), Severity.WARNING)

    def part(self) -> Document:
        """What the text says, checked; what is unknown or faulty is left out."""
        value = self.read.value
        if not isinstance(value, Mapping):
            self._fault((), "an object is needed")
            return {}
        version = value.get("version", VERSION)
        if isinstance(version, bool) or not isinstance(version, int) or not 1 <= version <= VERSION:
            self._fault(("version",), f"this program reads version {VERSION}")
        out: Document = {}
        for name, inner in value.items():
            if name in SECTIONS:
                out[name] = self._section((name,), SECTIONS[name], inner)
            elif name in NAMED:
                out[name] = self._named(name, inner)
            elif name != "version":
                self._unknown((name,), [*SECTIONS, *NAMED, "version"])
        return out

    def _named(self, section: str, value: object) -> Document:
        if not isinstance(value, Mapping):
            self._fault((section,), "an object with a section for each name is needed")
            return {}
        if len(value) > NAMED_MOST[section]:
            self._fault((section,), f"more than {NAMED_MOST[section]} names")
            return {}
        out: Document = {}
        for name, inner in value.items():
            if not name or any(letter.isspace() or not letter.isprintable() for letter in name):
                self._fault((section, name), "a name is one word")
            elif inner is None:
                out[name] = None  # in a layer over others: taken out
            else:
                out[name] = self._section((section, name), NAMED[section], inner)
        return out

    def _section(self, path: Path, words: tuple[Word, ...], value: object) -> Document:
        if not isinstance(value, Mapping):
            self._fault(path, "an object is needed")
            return {}
        known, out = {word.name: word for word in words}, {}
        for name, inner in value.items():
            word = known.get(name)
            if word is None:
                self._unknown((*path, name), list(known))
            elif (fault := wrong(word, inner)) is not None:
                self._fault((*path, name), fault)
            else:
                out[name] = shaped(word, inner)
        return out


def wrong(word: Word, value: object) -> str | None:
    """What is wrong with a word's value, or None."""
    if value is None:
        return None if word.default is None else f"{word.kind.value} is needed"
    if word.kind in (Kind.NUMBER, Kind.WHOLE):
        if isinstance(value, bool) or not isinstance(value, int | float) or not isfinite(value):
            return f"{word.kind.value} is needed"
        if word.kind is Kind.WHOLE and value != int(value):
            return "a whole number is needed"
        if value < word.least or value > word.most or (word.above and value == word.least):
            least = "over" if word.above else "at least"
            most = f", at most {word.most:g}" if word.most < inf else ""
            return f"{value!r} is out of range: {least} {word.least:g}{most}"
        return None
    if word.kind is Kind.FLAG:
        return None if isinstance(value, bool) else "true or false is needed"
    if word.kind is Kind.TEXTS:
        good = isinstance(value, list | tuple) and len(value) <= 64 and all(isinstance(each, str) for each in value)
        return None if good else "a list of texts is needed"
    if not isinstance(value, str) or len(value) > 4096:
        return f"{word.kind.value} is needed"
    if word.kind is Kind.CHOICE:
        return None if value in word.choices else f"one of {', '.join(word.choices)} is needed"
    if word.kind is Kind.WORD and (not value or any(letter.isspace() for letter in value)):
        return "one word is needed"
    if word.kind is Kind.HEX and not (value and all(digit in "0123456789abcdefABCDEF" for digit in value)):
        return "hex digits are needed"
    if word.kind is Kind.ADDRESS:
        try:
            address_from(value, "")
        except MalformedSettingsError:
            return "host:port is needed"
    return None


def shaped(word: Word, value: Any) -> Any:
    """A good value in the one form that it has in a whole document."""
    if value is None:
        return None
    if word.kind is Kind.NUMBER:
        return float(value)
    if word.kind is Kind.WHOLE:
        return int(value)
    return tuple(value) if word.kind is Kind.TEXTS else value


def filled(part: Document) -> tuple[Document, list[Fault]]:
    """The whole document: defaults where a word is absent, and a fault where it is needed."""
    faults: list[Fault] = []

    def section(path: Path, words: tuple[Word, ...], given: Mapping[str, Any]) -> Document:
        out: Document = {}
        for word in words:
            if word.name in given:
                out[word.name] = given[word.name]
            elif word.default is NEEDED:
                faults.append(Fault((*path, word.name), f"{word.kind.value} is needed"))
            else:
                out[word.name] = word.default
        return out

    whole: Document = {name: section((name,), words, part.get(name, {})) for name, words in SECTIONS.items()}
    for name, words in NAMED.items():
        given = {each: inner for each, inner in part.get(name, {}).items() if inner is not None}
        whole[name] = {each: section((name, each), words, inner) for each, inner in given.items()}
    if not whole["grades"]:
        faults.append(Fault(("grades",), "at least one service grade is needed"))
    return whole, faults


# Against each other


def against_each_other(whole: Document) -> list[Fault]:
    """What does not fit together though each value is good in itself."""
    faults: list[Fault] = []

    def say(path: str, text: str, gravity: Severity = Severity.FAULT) -> None:
        faults.append(Fault(tuple(path.split(".")), text, gravity=gravity))

    node, machine, calls, changes = whole["node"], whole["machine"], whole["calls"], whole["changes"]
    for name, grade in whole["grades"].items():
        at = f"grades.{name}"
        if grade["quoted_ms"] > grade["abandon_ms"]:
            say(f"{at}.quoted_ms", f"over the abandon time of {grade['abandon_ms']:g}")
        if grade["repeat"] == "referenced" and not grade["window_ms"]:
            say(f"{at}.window_ms", "referenced, and no repeat would be known", Severity.WARNING)
        if grade["calls"] and whole["peers"]["records"] is None:
            say(f"{at}.calls", "calls are made, and peers.records is not given")
        if grade["omit_share"] and not grade["calls"]:
            say(f"{at}.omit_share", "no call is made that could be left out", Severity.WARNING)
    grace, slack = machine["drain_grace_ms"], machine["answer_slack_ms"]
    if grace + 2 * slack >= node["stop_ms"]:
        say("machine.drain_grace_ms", f"with twice the answer slack not under node.stop_ms of {node['stop_ms']:g}")
    slots = (
        machine["running_most"] if machine["running_most"] is not None else machine["cores"] * machine["crowd_multiple"]
    )
    reserved = sum(grade["reserve"] for grade in whole["grades"].values())
    if reserved > max(0.0, slots - 1) and reserved:
        say("grades", f"reserves of {reserved} slots leave none of {slots:g} for the rest")
    if machine["running_most"] is not None and machine["running_most"] < machine["cores"]:
        say("machine.running_most", f"under the {machine['cores']} cores: some stay idle", Severity.WARNING)
    if machine["running_most"] is not None and machine["running_most"] > machine["cores"] * machine["crowd_multiple"]:
        say("machine.running_most", "over what a warm server survives; the crowd stays the limit", Severity.WARNING)
    if calls["share"] and not calls["span_ms"]:
        say("calls.span_ms", "a share of calls needs the span over which it is counted")
    callers = shares_of(node["descriptors"], calls["share"] or 0.0).balancers
    if callers < CALLERS_LEAST:
        say("node.descriptors", f"only {callers} are left for callers' connections", Severity.WARNING)
    if whole["store"]["entry_kb"] > machine["memory_kb"]:
        say("store.entry_kb", "over machine.memory_kb")
    shares = [each["share_per_s"] for each in whole["customers"].values()]
    if shares and not any(shares) and whole["ranking"]["beyond_share_worth"] < 1:
        say("customers", "no customer has a share, so all of them are beyond it", Severity.WARNING)
    if len(changes["socket"].encode()) > SOCKET_PATH_MOST:
        say("changes.socket", f"a path over {SOCKET_PATH_MOST} bytes is not taken by the system")
    if changes["probation_most_ms"] < changes["probation_ms"]:
        say("changes.probation_most_ms", "under changes.probation_ms")
    return faults


# Documents and Configs


def config_from(whole: Document) -> Config:
    """The Config of a whole document without faults."""
    node, peers, machine, callers = whole["node"], whole["peers"], whole["machine"], whole["callers"]
    calls, changes = whole["calls"], whole["changes"]
    grades = tuple(
        TrafficClass(
            name=name,
            priority_weight=each["credit"],
            latency_objective_ms=each["quoted_ms"],
            timeout_ms=each["abandon_ms"],
            retry_safety=REPEATS[each["repeat"]],
            idempotency_window_ms=each["window_ms"],
            late_value_fraction=each["late_share"],
            objective_stretch=each["stretch"],
            makes_calls=each["calls"],
            degraded_value_fraction=each["omit_share"],
            reserved_slot_count=each["reserve"],
        )
        for name, each in whole["grades"].items()
    )
    settings = Settings(
        traffic_classes=grades,
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
        server_count=callers["servers"],
        client_count=callers["callers"],
        tenants=tuple(Tenant(name, each["share_per_s"]) for name, each in whole["customers"].items()),
        over_quota_value_fraction=whole["ranking"]["beyond_share_worth"],
        value_counts_work=whole["ranking"]["counted_by_work"],
        clients_mark_retries=callers["marks_again"],
        preemption=STOPPINGS[machine["stopping"]],
        load_signal=SAID[callers["said"]],
        retry_after_max_ms=callers["advice_most_ms"],
        dependency_concurrency_share=calls["share"],
        dependency_window_ms=calls["span_ms"],
        abandoned_call_linger_ms=calls["linger_ms"],
        idempotency_record_kb=whole["store"]["entry_kb"],
        response_cache_ms=whole["store"]["fresh_ms"],
        idle_connection_timeout_ms=callers["idle_ms"],
        health_check_costs_work=callers["checks_work"],
        max_concurrency=inf if machine["running_most"] is None else machine["running_most"],
    )
    rules = ChangeRules(
        socket=changes["socket"],
        socket_mode=changes["socket_mode"],
        history=changes["history"],
        history_kb=changes["history_kb"],
        probation_ms=changes["probation_ms"],
        probation_most_ms=changes["probation_most_ms"],
        baseline_ms=changes["baseline_ms"],
        standard_errors=changes["sigmas"],
        held_off_ms=changes["held_off_ms"],
        reload_all=changes["reload"] == "all",
    )
    return Config(
        name=node["name"],
        listen=address_from(node["listen"], "listen"),
        pool=address_from(peers["pool"], "pool"),
        records=None if peers["records"] is None else address_from(peers["records"], "records"),
        directory=address_from(peers["directory"], "directory"),
        seed=int(node["seed"], 16),
        stop_ms=node["stop_ms"],
        memory_mb=node["memory_mb"],
        descriptors=node["descriptors"],
        settings=settings,
        gauges=machine["gauges"],
        changes=rules,
        starts=node["starts"],
    )


def _address(address: tuple[str, int] | None) -> str | None:
    if address is None:
        return None
    return f"[{address[0]}]:{address[1]}" if ":" in address[0] else f"{address[0]}:{address[1]}"


def _key(known: Mapping[str, Any], value: Any) -> str:
    return next(name for name, each in known.items() if each is value)


def document_of(config: Config) -> Document:
    """The whole document of a Config."""
    settings, rules = config.settings, config.changes
    most = settings.max_concurrency
    return {
        "node": {
            "name": config.name,
            "listen": _address(config.listen),
            "seed": f"{config.seed:x}",
            "stop_ms": config.stop_ms,
            "memory_mb": config.memory_mb,
            "descriptors": config.descriptors,
            "starts": config.starts,
        },
        "peers": {
            "pool": _address(config.pool),
            "records": _address(config.records),
            "directory": _address(config.directory),
        },
        "machine": {
            "cores": settings.core_count,
            "memory_kb": settings.memory_kb,
            "run_factor": settings.running_memory_factor,
            "cold": settings.starts_cold,
            "cold_from": settings.cold_speed_fraction,
            "cold_ms": settings.warm_up_ms,
            "crowd_multiple": settings.overload_concurrency_per_core,
            "running_most": None if most == inf else most,
            "answer_slack_ms": settings.answer_slack_ms,
            "drain_grace_ms": settings.drain_grace_ms,
            "tick_ms": settings.tick_ms,
            "stopping": _key(STOPPINGS, settings.preemption),
            "gauges": config.gauges,
        },
        "callers": {
            "servers": settings.server_count,
            "callers": settings.client_count,
            "said": _key(SAID, settings.load_signal),
            "advice_most_ms": settings.retry_after_max_ms,
            "marks_again": settings.clients_mark_retries,
            "idle_ms": settings.idle_connection_timeout_ms,
            "checks_work": settings.health_check_costs_work,
        },
        "ranking": {
            "beyond_share_worth": settings.over_quota_value_fraction,
            "counted_by_work": settings.value_counts_work,
        },
        "calls": {
            "share": settings.dependency_concurrency_share,
            "span_ms": settings.dependency_window_ms,
            "linger_ms": settings.abandoned_call_linger_ms,
        },
        "store": {"entry_kb": settings.idempotency_record_kb, "fresh_ms": settings.response_cache_ms},
        "changes": {
            "socket": rules.socket,
            "socket_mode": rules.socket_mode,
            "history": rules.history,
            "history_kb": rules.history_kb,
            "probation_ms": rules.probation_ms,
            "probation_most_ms": rules.probation_most_ms,
            "baseline_ms": rules.baseline_ms,
            "sigmas": rules.standard_errors,
            "held_off_ms": rules.held_off_ms,
            "reload": "all" if rules.reload_all else "peers",
        },
        "grades": {
            each.name: {
                "credit": each.priority_weight,
                "quoted_ms": each.latency_objective_ms,
                "abandon_ms": each.timeout_ms,
                "repeat": _key(REPEATS, each.retry_safety),
                "window_ms": each.idempotency_window_ms,
                "late_share": each.late_value_fraction,
                "stretch": each.objective_stretch,
                "calls": each.makes_calls,
                "omit_share": each.degraded_value_fraction,
                "reserve": each.reserved_slot_count,
            }
            for each in settings.traffic_classes
        },
        "customers": {each.name: {"share_per_s": each.quota_per_s} for each in settings.tenants},
    }


def part_of(read: Read, environment: Mapping[str, str]) -> tuple[Document, list[Fault]]:
    """What one text says, in our own words, whichever form it has; with its faults and warnings."""
    if not is_platforms(read.value):
        checker = Checker(read)
        return checker.part(), checker.faults
    told: list[MalformedSettingsError] = []
    config = config_from_platform(read.value, environment, told)
    if told:
        return {}, [_platform_fault(read, str(fault)) for fault in told]
    return document_of(config), []


def _platform_fault(read: Read, text: str) -> Fault:
    """A fault of the platform's form, which is named in its text, at its place."""
    name, _, what = text.partition(": ")
    path = tuple(part for part in name.replace("[", ".").replace("]", "").split(".") if part)
    return read.fault(path, what or text)


def checked(part: Document) -> tuple[Document, list[Fault]]:
    """The whole document of a part, and all that is wrong with it: what is missing, and what does not fit."""
    whole, faults = filled(part)
    if not faults:
        faults = against_each_other(whole)
    return whole, faults


def read_whole(read: Read, environment: Mapping[str, str]) -> Config:
    """The Config of a single text. Raises Faulty."""
    part, faults = part_of(read, environment)
    if not errors_of(faults):
        whole, more = checked(part)
        faults += more if not is_platforms(read.value) else []  # the platform's file is taken as it always was
        if not errors_of(faults):
            return config_from(whole)
    raise InvalidDocumentError(faults)
