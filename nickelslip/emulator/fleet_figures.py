"""Figures from the history of a fleet's run: rule violations and the fraction of the demand that was served."""

from __future__ import annotations

from nickelslip.emulator import checkers, fleet_properties
from nickelslip.emulator.fleet_plan import Plan
from nickelslip.emulator.history import History


def violations(history: History, plan: Plan, overload_failures_expected: bool) -> list[str]:
    """Return violations of rules 1 to 3 and bad exits, and overload failures unless they are expected."""
    idempotent = [name for name, traffic in plan.traffic_classes.items() if traffic.is_idempotent]
    found = checkers.request_violations(history, idempotent, plan.grace_ms, plan.slack_ms, plan.window_ms)
    found += checkers.bad_exits(history)
    if overload_failures_expected:
        return found
    return found + checkers.overload_failures(history)


def served_fraction(history: History, begin_at_ms: float, end_at_ms: float) -> float:
    """Return the fraction of the requested priority weight that was served within its latency objective."""
    requested, served = fleet_properties.priority_weight_totals(history, begin_at_ms, end_at_ms)
    return served / requested if requested else 0.0
