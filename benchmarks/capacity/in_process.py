"""Costs of configuration and of decisions in this process, without sockets: the "hollow" figures of the page.

The code of the server (document, plan, changes, generation, controller) is run at chosen sizes. Times are processor
time of this process, the median of several repeats; memory is what tracemalloc counts. The run compares both with a
real process, and the page shows the error.
"""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, replace
from statistics import median
from typing import Any

from benchmarks.capacity.documents import encoded, own_document, tenant
from nickelslip.admission.controller import AdmissionController
from nickelslip.admission.estimators import SlidingWindowSum
from nickelslip.admission.interface import Arrival, Outcome, RequestState, Settings
from nickelslip.configuration.change_manager import MAX_RECORDS_IN_MEMORY, ChangeManager
from nickelslip.configuration.document import Document, DocumentChecker
from nickelslip.configuration.document_conversion import config_from
from nickelslip.configuration.document_reader import complete
from nickelslip.configuration.generations import Generation, digest_of
from nickelslip.configuration.json5_reader import ParsedDocument, parse_document
from nickelslip.configuration.layers import merge
from nickelslip.configuration.plan import plan_of

SEED = 7
KEPT_CHANGES = 1  # over which the memory of one more change is told
FULL_CHANGES = MAX_RECORDS_IN_MEMORY // 2 + 4  # each leaves two records, so that the history in memory is full by then
WORK_MS = 40.0  # of a run on a core
LONG_MS = 600_000.0  # a latency objective and timeout that no queued request reaches within a measurement
RING_BUCKETS = 16
RINGS = 500


def processor_ms(work: Callable[[], Any], repeats: int) -> float:
    """The median processor time of a piece of work."""
    times = []
    for _ in range(repeats):
        gc.collect()
        started_at_ns = time.process_time_ns()
        work()
        times.append((time.process_time_ns() - started_at_ns) / 1e6)
    return float(median(times))


def whole_of(document: Document) -> Document:
    """A whole document, checked as one that was pushed."""
    whole, faults = complete(DocumentChecker(ParsedDocument(document, "document")).check())
    if faults and any(fault.severity.name == "FAULT" for fault in faults):
        raise ValueError(str(faults[0]))
    return whole


class ChangeSteps:
    """The steps of a change in a server, without its event loop, history file and sockets."""

    def __init__(self, whole: Document) -> None:
        generation = Generation(1, config_from(whole))
        self.changes = ChangeManager(generation, whole, [], digest_of(whole))
        self.control = AdmissionController(generation.settings, SEED, 0.0)
        self.now = 0.0

    def push(self, part: Document) -> None:
        """Read, check, plan, stage, adopt and confirm a part laid over what is in force, as `apply` does."""
        self.now += 1000.0
        found = DocumentChecker(ParsedDocument(part, "document")).check()
        whole, _ = complete(merge(self.changes.in_force.document, found))
        change = self.changes.draft(self.now, config_from(whole), whole, "benchmark")
        AdmissionController(
            Generation(0, change.config).settings, 0, 0.0
        )  # made for nothing, as the server proves a change
        self.changes.stage(self.now, change)
        change_begun, _ = self.changes.begin_applying(self.now)
        assert change_begun.generation is not None
        self.control.settings_changed(self.now, change_begun.generation.settings)
        if self.changes.mark_applied(self.now) is None:  # on probation
            self.changes.confirm(self.now, "benchmark")


def part_for(number: int) -> Document:
    """A change of one tenant."""
    return {"customers": {tenant(0): {"share_per_s": 3.0 + number}}}


def rules_part_for(number: int) -> Document:
    """A change of the rules for changes, which needs no probation, so that many can follow each other."""
    return {"changes": {"sigmas": 4.0 + number / 1000}}


@dataclass(frozen=True)
class ConfigurationCost:
    """What configurations of one size cost, in milliseconds and bytes."""

    text_bytes: float
    parse_ms: float
    check_ms: float
    build_ms: float
    plan_ms: float
    digest_ms: float
    prove_ms: float
    apply_ms: float
    undo_ms: float
    change_ms: float


def configuration_cost(tenants: int, repeats: int, grades: int | None = None) -> ConfigurationCost:
    """The cost of each step. Under lifted bounds."""
    document = own_document(tenants, grades=grades)
    text = encoded(document)
    whole = whole_of(document)
    other, _ = complete(merge(whole, part_for(0)))
    old, new = Generation(1, config_from(whole)).settings, Generation(2, config_from(other)).settings
    control = AdmissionController(old, SEED, 0.0)
    changing, number = ChangeSteps(whole), iter(range(1, 1000))
    return ConfigurationCost(
        text_bytes=len(text),
        parse_ms=processor_ms(lambda: parse_document(text, "settings", with_positions=False), repeats),
        check_ms=processor_ms(lambda: whole_of(document), repeats),
        build_ms=processor_ms(lambda: config_from(whole), repeats),
        plan_ms=processor_ms(lambda: plan_of(whole, other), repeats),
        digest_ms=processor_ms(lambda: digest_of(whole), repeats),
        prove_ms=processor_ms(lambda: AdmissionController(new, SEED, 0.0), repeats),
        apply_ms=processor_ms(lambda: control.settings_changed(1.0, new), repeats),
        undo_ms=processor_ms(lambda: control.settings_changed(1.0, old), repeats),
        change_ms=processor_ms(lambda: changing.push(part_for(next(number))), repeats),
    )


@dataclass(frozen=True)
class MemoryCost:
    """Bytes of what a server keeps for a configuration of one size."""

    configuration: float  # the Config, with the names that its generation keeps
    tables: float  # the module's
    change: float  # each further change that is kept


def memory_cost(tenants: int, grades: int | None = None) -> MemoryCost:
    """What is kept. Under lifted bounds; tracemalloc makes it slow."""
    whole = whole_of(own_document(tenants, grades=grades))
    tracemalloc.start()
    try:
        bytes_before = traced_bytes()
        generation = Generation(1, config_from(whole))
        assert len(generation.tenant_names) == tenants
        configuration = traced_bytes()
        control = AdmissionController(generation.settings, SEED, 0.0)
        tables = traced_bytes()
        del control
        changing = ChangeSteps(whole)
        changing.push(part_for(0))
        first = traced_bytes()
        for number in range(1, KEPT_CHANGES + 1):
            changing.push(part_for(number))
        change = (traced_bytes() - first) / KEPT_CHANGES
    finally:
        tracemalloc.stop()
    return MemoryCost(configuration - bytes_before, tables - configuration, change)


def full_history_bytes(tenants: int) -> float:
    """What is kept beyond the first configuration once the history in memory is full of changes."""
    whole = whole_of(own_document(tenants))
    tracemalloc.start()
    try:
        changing = ChangeSteps(whole)
        bytes_before = traced_bytes()
        for number in range(FULL_CHANGES):
            changing.push(part_for(number))
        return traced_bytes() - bytes_before
    finally:
        tracemalloc.stop()


def traced_bytes() -> int:
    """Return the bytes that tracemalloc counts as in use."""
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def active_ring_bytes() -> float:
    """What the ring of one tenant takes once every bucket of it has been used."""
    tracemalloc.start()
    try:
        bytes_before = traced_bytes()
        rings = [SlidingWindowSum(float(RING_BUCKETS)) for _ in range(RINGS)]
        for ring in rings:
            for bucket in range(RING_BUCKETS):
                ring.add(bucket + 0.5, 1.0)
        return (traced_bytes() - bytes_before) / RINGS
    finally:
        tracemalloc.stop()


# Decisions


def settings_for(tenants: int, grades: int | None = None, **changes: Any) -> Settings:
    """The module's settings at a size."""
    settings = config_from(whole_of(own_document(tenants, grades=grades))).settings
    return replace(settings, memory_kb=1e9, **changes)


def decision_us(settings: Settings, rate: float, requests: int, seed: int) -> float:
    """Processor time of the module for one request (read and ended), at this rate and with cores enough."""
    chance = random.Random(seed)
    control = AdmissionController(settings, seed, 0.0)
    control.start(0.0)
    customers = [customer.name for customer in settings.tenants]
    owners = [chance.choice(customers) for _ in range(requests)]
    grades = [chance.choice(settings.traffic_classes).name for _ in range(requests)]
    running: list[tuple[float, int]] = []
    started_at_ns = time.process_time_ns()
    for ident in range(requests):
        now = ident * 1000 / rate
        while running and running[0][0] <= now:
            end, done = running.pop(0)
            control.run_ended(end, done, Outcome.OK, WORK_MS)
        result = control.request_received(now, Arrival(ident, grades[ident], 8.0, tenant=owners[ident]))
        running += [
            (now + WORK_MS, change.id) for change in result.state_changes if change.state is RequestState.RUNNING
        ]
    return (time.process_time_ns() - started_at_ns) / 1000 / requests


def held_decision_us(settings: Settings, held: int, events: int) -> float:
    """Processor time of the module for one event while so many items are held, none of them due."""
    grade = settings.traffic_classes[0]
    control = AdmissionController(settings, SEED, 0.0)
    control.start(0.0)
    customer = settings.tenants[0].name
    running: list[int] = []
    now, ident = 0.0, 0

    def read() -> None:
        nonlocal ident
        arrival = Arrival(ident, grade.name, 1.0, tenant=customer, cost_hint_ms=1.0)
        take(control.request_received(now, arrival))
        ident += 1

    def take(result: Any) -> None:
        running.extend(change.id for change in result.state_changes if change.state is RequestState.RUNNING)

    for _ in range(held + settings.core_count):
        read()
    started_at_ns = time.process_time_ns()
    for _ in range(events // 2):
        now += 1000 / 70.0
        take(control.run_ended(now, running.pop(0), Outcome.OK, 1.0))
        read()
    spent = time.process_time_ns() - started_at_ns
    return spent / 1000 / (2 * (events // 2))
