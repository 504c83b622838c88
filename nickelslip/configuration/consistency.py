"""Checks whether the values of a complete document are consistent with each other.

Every check yields the faults that it finds. Faults are reported in the order of the checks.
"""

from __future__ import annotations

from collections.abc import Iterator

from nickelslip.configuration.descriptors import descriptor_shares
from nickelslip.configuration.document import Document
from nickelslip.configuration.validation import Fault, Severity

MAX_SOCKET_PATH_BYTES = 100  # within the system's limit for a Unix domain socket path and its terminator
MIN_CLIENT_CONNECTIONS = 32  # fewer possible client connections cause a warning


def consistency_faults(document: Document) -> list[Fault]:
    """Return a fault for each inconsistency between values that are valid individually."""
    return [fault for check in CHECKS for fault in check(document)]


def _fault(path: str, text: str) -> Fault:
    return Fault(tuple(path.split(".")), text)


def _warning(path: str, text: str) -> Fault:
    return Fault(tuple(path.split(".")), text, severity=Severity.WARNING)


def _check_traffic_classes(document: Document) -> Iterator[Fault]:
    has_records_service = document["peers"]["records"] is not None
    for name, section in document["grades"].items():
        path = f"grades.{name}"
        if section["quoted_ms"] > section["abandon_ms"]:
            yield _fault(f"{path}.quoted_ms", f"over the abandon time of {section['abandon_ms']:g}")
        if section["repeat"] == "referenced" and not section["window_ms"]:
            yield _warning(f"{path}.window_ms", "referenced, and no repeat would be known")
        if section["calls"] and not has_records_service:
            yield _fault(f"{path}.calls", "calls are made, and peers.records is not given")
        if section["omit_share"] and not section["calls"]:
            yield _warning(f"{path}.omit_share", "no call is made that could be left out")


def _check_drain_time(document: Document) -> Iterator[Fault]:
    machine = document["machine"]
    stop_ms = document["node"]["stop_ms"]
    if machine["drain_grace_ms"] + 2 * machine["answer_slack_ms"] >= stop_ms:
        yield _fault("machine.drain_grace_ms", f"with twice the answer slack not under node.stop_ms of {stop_ms:g}")


def _check_reserved_slots(document: Document) -> Iterator[Fault]:
    machine = document["machine"]
    slot_count = machine["running_most"]
    if slot_count is None:
        slot_count = machine["cores"] * machine["crowd_multiple"]
    reserved_count = sum(section["reserve"] for section in document["grades"].values())
    if reserved_count and reserved_count > max(0.0, slot_count - 1):
        yield _fault("grades", f"reserves of {reserved_count} slots leave none of {slot_count:g} for the rest")


def _check_max_concurrency(document: Document) -> Iterator[Fault]:
    machine = document["machine"]
    max_concurrency = machine["running_most"]
    if max_concurrency is None:
        return
    if max_concurrency < machine["cores"]:
        yield _warning("machine.running_most", f"under the {machine['cores']} cores: some stay idle")
    if max_concurrency > machine["cores"] * machine["crowd_multiple"]:
        yield _warning("machine.running_most", "over what a warm server survives; the crowd stays the limit")


def _check_dependency_window(document: Document) -> Iterator[Fault]:
    if document["calls"]["share"] and not document["calls"]["span_ms"]:
        yield _fault("calls.span_ms", "a share of calls needs the span over which it is counted")


def _check_descriptors(document: Document) -> Iterator[Fault]:
    shares = descriptor_shares(document["node"]["descriptors"], document["calls"]["share"] or 0.0)
    if shares.load_balancers < MIN_CLIENT_CONNECTIONS:
        yield _warning("node.descriptors", f"only {shares.load_balancers} are left for callers' connections")


def _check_idempotency_memory(document: Document) -> Iterator[Fault]:
    if document["store"]["entry_kb"] > document["machine"]["memory_kb"]:
        yield _fault("store.entry_kb", "over machine.memory_kb")


def _check_quotas(document: Document) -> Iterator[Fault]:
    quotas = [section["share_per_s"] for section in document["customers"].values()]
    if quotas and not any(quotas) and document["ranking"]["beyond_share_worth"] < 1:
        yield _warning("customers", "no customer has a share, so all of them are beyond it")


def _check_control_socket(document: Document) -> Iterator[Fault]:
    if len(document["changes"]["socket"].encode()) > MAX_SOCKET_PATH_BYTES:
        yield _fault("changes.socket", f"a path over {MAX_SOCKET_PATH_BYTES} bytes is not taken by the system")


def _check_canary_period(document: Document) -> Iterator[Fault]:
    changes = document["changes"]
    if changes["probation_most_ms"] < changes["probation_ms"]:
        yield _fault("changes.probation_most_ms", "under changes.probation_ms")


CHECKS = (
    _check_traffic_classes,
    _check_drain_time,
    _check_reserved_slots,
    _check_max_concurrency,
    _check_dependency_window,
    _check_descriptors,
    _check_idempotency_memory,
    _check_quotas,
    _check_control_socket,
    _check_canary_period,
)
