"""Measures configuration and decisions in this process, without sockets: the "hollow" figures of the page.

The server's own code (document, plan, changes, generation, controller) runs at chosen sizes. A time is the median
processor time of this process over several repeats. Memory is what tracemalloc counts. `run` compares both with a real
server process, and the page shows the error.
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

from benchmarks.capacity.documents import encode_compact, native_document, tenant_name
from nickelslip.admission.controller import AdmissionController
from nickelslip.admission.estimators import SlidingWindowSum
from nickelslip.admission.interface import Arrival, Outcome, RequestState, Settings
from nickelslip.configuration.change_manager import ChangeManager
from nickelslip.configuration.change_records import MAX_RECORDS_IN_MEMORY
from nickelslip.configuration.document import Document, DocumentChecker
from nickelslip.configuration.document_conversion import config_from
from nickelslip.configuration.document_reader import complete
from nickelslip.configuration.generations import Generation, digest_of
from nickelslip.configuration.json5_reader import ParsedDocument, parse_document
from nickelslip.configuration.layers import merge
from nickelslip.configuration.plan import plan_of

SEED = 7
MEASURED_CHANGES = 1  # over which the memory of one further change is averaged
CHANGES_TO_FILL_HISTORY = MAX_RECORDS_IN_MEMORY // 2 + 4  # each adds two records, so these fill the history in memory
RUN_MS = 40.0  # work of a run on a core
UNREACHED_MS = 600_000.0  # a latency objective and timeout that no queued request reaches within a measurement
BUCKETS_PER_RING = 16
RING_COUNT = 500


def processor_ms(work: Callable[[], Any], repeats: int) -> float:
    """Return the median processor time of a call of `work`."""
    times = []
    for _ in range(repeats):
        gc.collect()
        started_at_ns = time.process_time_ns()
        work()
        times.append((time.process_time_ns() - started_at_ns) / 1e6)
    return float(median(times))


def checked_document(document: Document) -> Document:
    """Return the completed document after the checks that a pushed document passes.

    Raises:
        ValueError: The document has a fault.
    """
    whole, faults = complete(DocumentChecker(ParsedDocument(document, "document")).check())
    if faults and any(fault.severity.name == "FAULT" for fault in faults):
        raise ValueError(str(faults[0]))
    return whole


class ChangeSteps:
    """The steps of a change in a server, without its event loop, history file or sockets."""

    def __init__(self, whole: Document) -> None:
        generation = Generation(1, config_from(whole))
        self.changes = ChangeManager(generation, whole, [], digest_of(whole))
        self.controller = AdmissionController(generation.settings, SEED, 0.0)
        self.now_ms = 0.0

    def push(self, part: Document) -> None:
        """Check, plan, stage, apply and confirm a partial document, merged into the one in force, as `apply` does."""
        self.now_ms += 1000.0
        checked = DocumentChecker(ParsedDocument(part, "document")).check()
        whole, _ = complete(merge(self.changes.in_force.document, checked))
        change = self.changes.draft(self.now_ms, config_from(whole), whole, "benchmark")
        # Constructed and discarded, as the server does to validate a change.
        AdmissionController(Generation(0, change.config).settings, 0, 0.0)
        self.changes.stage(self.now_ms, change)
        applying, _ = self.changes.begin_applying(self.now_ms)
        assert applying.generation is not None
        self.controller.settings_changed(self.now_ms, applying.generation.settings)
        if self.changes.mark_applied(self.now_ms) is None:  # in its canary period
            self.changes.confirm(self.now_ms, "benchmark")


def quota_overlay(number: int) -> Document:
    """Return a partial document that changes one tenant's quota."""
    return {"customers": {tenant_name(0): {"share_per_s": 3.0 + number}}}


def change_rules_overlay(number: int) -> Document:
    """Return a partial document that changes the change rules.

    Such a change has no canary period, so many can follow each other.
    """
    return {"changes": {"sigmas": 4.0 + number / 1000}}


@dataclass(frozen=True)
class ConfigurationCost:
    """What a configuration of one size costs, in milliseconds and bytes."""

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


def configuration_cost(tenants: int, repeats: int, traffic_class_count: int | None = None) -> ConfigurationCost:
    """Measure the cost of each step. Call it under `raised_limits`."""
    document = native_document(tenants, traffic_class_count=traffic_class_count)
    text = encode_compact(document)
    whole = checked_document(document)
    changed, _ = complete(merge(whole, quota_overlay(0)))
    old, new = Generation(1, config_from(whole)).settings, Generation(2, config_from(changed)).settings
    controller = AdmissionController(old, SEED, 0.0)
    steps, number = ChangeSteps(whole), iter(range(1, 1000))
    return ConfigurationCost(
        text_bytes=len(text),
        parse_ms=processor_ms(lambda: parse_document(text, "settings", with_positions=False), repeats),
        check_ms=processor_ms(lambda: checked_document(document), repeats),
        build_ms=processor_ms(lambda: config_from(whole), repeats),
        plan_ms=processor_ms(lambda: plan_of(whole, changed), repeats),
        digest_ms=processor_ms(lambda: digest_of(whole), repeats),
        prove_ms=processor_ms(lambda: AdmissionController(new, SEED, 0.0), repeats),
        apply_ms=processor_ms(lambda: controller.settings_changed(1.0, new), repeats),
        undo_ms=processor_ms(lambda: controller.settings_changed(1.0, old), repeats),
        change_ms=processor_ms(lambda: steps.push(quota_overlay(next(number))), repeats),
    )


@dataclass(frozen=True)
class MemoryCost:
    """Bytes that a server keeps for a configuration of one size."""

    configuration: float  # the Config, and the names that its generation keeps
    tables: float  # of the admission controller
    change: float  # of each further change that is kept


def memory_cost(tenants: int, traffic_class_count: int | None = None) -> MemoryCost:
    """Measure what is kept. Call it under `raised_limits`. It is slow because of tracemalloc."""
    whole = checked_document(native_document(tenants, traffic_class_count=traffic_class_count))
    tracemalloc.start()
    try:
        bytes_before = traced_bytes()
        generation = Generation(1, config_from(whole))
        assert len(generation.tenant_names) == tenants
        configuration = traced_bytes()
        controller = AdmissionController(generation.settings, SEED, 0.0)
        tables = traced_bytes()
        del controller
        steps = ChangeSteps(whole)
        steps.push(quota_overlay(0))
        first = traced_bytes()
        for number in range(1, MEASURED_CHANGES + 1):
            steps.push(quota_overlay(number))
        change = (traced_bytes() - first) / MEASURED_CHANGES
    finally:
        tracemalloc.stop()
    return MemoryCost(configuration - bytes_before, tables - configuration, change)


def full_history_bytes(tenants: int) -> float:
    """Return the memory kept beyond the first configuration once changes fill the history in memory."""
    whole = checked_document(native_document(tenants))
    tracemalloc.start()
    try:
        steps = ChangeSteps(whole)
        bytes_before = traced_bytes()
        for number in range(CHANGES_TO_FILL_HISTORY):
            steps.push(quota_overlay(number))
        return traced_bytes() - bytes_before
    finally:
        tracemalloc.stop()


def traced_bytes() -> int:
    """Return the bytes that tracemalloc counts as in use."""
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def active_ring_bytes() -> float:
    """Return the memory of one tenant's ring buffer once every bucket has been used."""
    tracemalloc.start()
    try:
        bytes_before = traced_bytes()
        rings = [SlidingWindowSum(float(BUCKETS_PER_RING)) for _ in range(RING_COUNT)]
        for ring in rings:
            for bucket in range(BUCKETS_PER_RING):
                ring.add(bucket + 0.5, 1.0)
        return (traced_bytes() - bytes_before) / RING_COUNT
    finally:
        tracemalloc.stop()


def settings_for(tenants: int, traffic_class_count: int | None = None, **changes: Any) -> Settings:
    """Return the admission controller's settings at a size."""
    settings = config_from(checked_document(native_document(tenants, traffic_class_count=traffic_class_count))).settings
    return replace(settings, memory_kb=1e9, **changes)


def decision_us(settings: Settings, rate_per_s: float, request_count: int, seed: int) -> float:
    """Return the controller's processor time for one request, from its arrival to the end of its run.

    Requests arrive at this rate, and there are enough cores.
    """
    generator = random.Random(seed)
    controller = AdmissionController(settings, seed, 0.0)
    controller.start(0.0)
    tenant_names = [tenant.name for tenant in settings.tenants]
    request_tenants = [generator.choice(tenant_names) for _ in range(request_count)]
    request_classes = [generator.choice(settings.traffic_classes).name for _ in range(request_count)]
    running: list[tuple[float, int]] = []
    started_at_ns = time.process_time_ns()
    for request_id in range(request_count):
        now_ms = request_id * 1000 / rate_per_s
        while running and running[0][0] <= now_ms:
            end, done = running.pop(0)
            controller.run_ended(end, done, Outcome.OK, RUN_MS)
        result = controller.request_received(
            now_ms, Arrival(request_id, request_classes[request_id], 8.0, tenant=request_tenants[request_id])
        )
        running += [
            (now_ms + RUN_MS, change.id) for change in result.state_changes if change.state is RequestState.RUNNING
        ]
    return (time.process_time_ns() - started_at_ns) / 1000 / request_count


def held_decision_us(settings: Settings, held_count: int, event_count: int) -> float:
    """Return the controller's processor time for one event while it holds this many items, none of them due."""
    traffic_class = settings.traffic_classes[0]
    controller = AdmissionController(settings, SEED, 0.0)
    controller.start(0.0)
    tenant = settings.tenants[0].name
    running: list[int] = []
    now_ms, request_id = 0.0, 0

    def receive_request() -> None:
        nonlocal request_id
        arrival = Arrival(request_id, traffic_class.name, 1.0, tenant=tenant, cost_hint_ms=1.0)
        record_running(controller.request_received(now_ms, arrival))
        request_id += 1

    def record_running(result: Any) -> None:
        running.extend(change.id for change in result.state_changes if change.state is RequestState.RUNNING)

    for _ in range(held_count + settings.core_count):
        receive_request()
    started_at_ns = time.process_time_ns()
    for _ in range(event_count // 2):
        now_ms += 1000 / 70.0
        record_running(controller.run_ended(now_ms, running.pop(0), Outcome.OK, 1.0))
        receive_request()
    elapsed_ns = time.process_time_ns() - started_at_ns
    return elapsed_ns / 1000 / (2 * (event_count // 2))
