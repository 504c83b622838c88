"""What the history of a fleet's run says: rules that were broken, and how much of the demand was served."""

from __future__ import annotations

from nickelslip.emulator import checkers, fleet_properties
from nickelslip.emulator.fleet_plan import Plan
from nickelslip.emulator.history import History


def violations(history: History, plan: Plan, scripted_falls: bool) -> list[str]:
    """Return broken rules 1 to 3, processes that ended badly, and falls unless they were scripted."""
    idempotent = [name for name, traffic in plan.traffic_classes.items() if traffic.is_idempotent]
    found = checkers.request_violations(history, idempotent, plan.grace_ms, plan.slack_ms, plan.window_ms)
    found += checkers.bad_exits(history)
    if scripted_falls:
        return found
    return found + checkers.falls(history)


def served_fraction(history: History, begin_at_ms: float, end_at_ms: float) -> float:
    """Return the fraction of the priority weight asked for that was served within its latency objective."""
    asked, served = fleet_properties.priority_weight_totals(history, begin_at_ms, end_at_ms)
    return served / asked if asked else 0.0
