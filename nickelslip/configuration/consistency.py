"""Checks of the values of a complete document against each other.

Every check yields the faults it finds; the order of the checks is the order in which faults are reported.
"""

from __future__ import annotations

from collections.abc import Iterator

from nickelslip.configuration.descriptors import descriptor_shares
from nickelslip.configuration.document import Document
from nickelslip.configuration.validation import Fault, Severity

MAX_SOCKET_PATH_BYTES = 100  # the system's limit for the path of a Unix domain socket, less its end
MIN_CLIENT_CONNECTIONS = 32  # a configuration that leaves fewer gets a warning


def consistency_faults(whole: Document) -> list[Fault]:
    """Return what does not fit together although each value is good by itself."""
    return [fault for check in CHECKS for fault in check(whole)]


def _fault(path: str, text: str) -> Fault:
    return Fault(tuple(path.split(".")), text)


def _warning(path: str, text: str) -> Fault:
    return Fault(tuple(path.split(".")), text, severity=Severity.WARNING)


def _check_traffic_classes(whole: Document) -> Iterator[Fault]:
    has_records = whole["peers"]["records"] is not None
    for name, section in whole["grades"].items():
        path = f"grades.{name}"
        if section["quoted_ms"] > section["abandon_ms"]:
            yield _fault(f"{path}.quoted_ms", f"over the abandon time of {section['abandon_ms']:g}")
        if section["repeat"] == "referenced" and not section["window_ms"]:
            yield _warning(f"{path}.window_ms", "referenced, and no repeat would be known")
        if section["calls"] and not has_records:
            yield _fault(f"{path}.calls", "calls are made, and peers.records is not given")
        if section["omit_share"] and not section["calls"]:
            yield _warning(f"{path}.omit_share", "no call is made that could be left out")


def _check_drain_time(whole: Document) -> Iterator[Fault]:
    machine = whole["machine"]
    stop_ms = whole["node"]["stop_ms"]
    if machine["drain_grace_ms"] + 2 * machine["answer_slack_ms"] >= stop_ms:
        yield _fault("machine.drain_grace_ms", f"with twice the answer slack not under node.stop_ms of {stop_ms:g}")


def _check_reserved_slots(whole: Document) -> Iterator[Fault]:
    machine = whole["machine"]
    slots = machine["running_most"]
    if slots is None:
        slots = machine["cores"] * machine["crowd_multiple"]
    reserved = sum(section["reserve"] for section in whole["grades"].values())
    if reserved and reserved > max(0.0, slots - 1):
        yield _fault("grades", f"reserves of {reserved} slots leave none of {slots:g} for the rest")


def _check_max_concurrency(whole: Document) -> Iterator[Fault]:
    machine = whole["machine"]
    max_concurrency = machine["running_most"]
    if max_concurrency is None:
        return
    if max_concurrency < machine["cores"]:
        yield _warning("machine.running_most", f"under the {machine['cores']} cores: some stay idle")
    if max_concurrency > machine["cores"] * machine["crowd_multiple"]:
        yield _warning("machine.running_most", "over what a warm server survives; the crowd stays the limit")


def _check_dependency_window(whole: Document) -> Iterator[Fault]:
    if whole["calls"]["share"] and not whole["calls"]["span_ms"]:
        yield _fault("calls.span_ms", "a share of calls needs the span over which it is counted")


def _check_descriptors(whole: Document) -> Iterator[Fault]:
    shares = descriptor_shares(whole["node"]["descriptors"], whole["calls"]["share"] or 0.0)
    if shares.load_balancers < MIN_CLIENT_CONNECTIONS:
        yield _warning("node.descriptors", f"only {shares.load_balancers} are left for callers' connections")


def _check_idempotency_memory(whole: Document) -> Iterator[Fault]:
    if whole["store"]["entry_kb"] > whole["machine"]["memory_kb"]:
        yield _fault("store.entry_kb", "over machine.memory_kb")


def _check_quotas(whole: Document) -> Iterator[Fault]:
    quotas = [section["share_per_s"] for section in whole["customers"].values()]
    if quotas and not any(quotas) and whole["ranking"]["beyond_share_worth"] < 1:
        yield _warning("customers", "no customer has a share, so all of them are beyond it")


def _check_control_socket(whole: Document) -> Iterator[Fault]:
    if len(whole["changes"]["socket"].encode()) > MAX_SOCKET_PATH_BYTES:
        yield _fault("changes.socket", f"a path over {MAX_SOCKET_PATH_BYTES} bytes is not taken by the system")


def _check_canary_period(whole: Document) -> Iterator[Fault]:
    changes = whole["changes"]
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
