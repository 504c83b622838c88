"""The last output line of a run: one JSON object whose keys are compared between versions.

A figure that was not measured is null.
"""

from __future__ import annotations

from typing import Any

from benchmarks.capacity.plan import PLAN
from benchmarks.capacity.results import SIMULATED, Measured
from benchmarks.capacity.rows import rows_of

DONE = "done"


def summary_of(measured: Measured) -> dict[str, Any]:
    """Return the JSON object of the last output line."""
    figures = measured.figures
    status_word = measured.notes.get(f"rollout_{PLAN.servers}")
    in_force = status_word == DONE  # a change that was rolled back was never in force everywhere
    return {
        "added_ms_p99": figures.get(f"added_ms_p99_{PLAN.tenants}_1x"),
        "added_echo_ms_p99": figures.get(f"added_echo_ms_p99_{PLAN.tenants}_1x"),
        "control_core_share": figures.get("control_core_share"),
        "control_mb": figures.get("control_mb"),
        "control_bytes_s": figures.get("control_bytes_s"),
        "in_force_s_p99": figures.get("simulated_in_force_s_p99") if in_force else None,
        "in_force_s_max": figures.get("simulated_in_force_s_max") if in_force else None,
        "in_force_source": SIMULATED,
        "simulated_in_force_s_p99": figures.get("simulated_in_force_s_p99"),
        "simulated_in_force_s_max": figures.get("simulated_in_force_s_max"),
        "simulated_rollout_end": status_word,
        "changes_lost": None,
        "mixed_generations": None,
        "older_after_newer": None,  # these three need fault injection in real processes
        "hollow_error": {
            "memory_per_tenant": figures.get("hollow_error_memory"),
            "change_time": figures.get("hollow_error_change"),
            "full_history": figures.get("hollow_error_history"),
        },
        "exponents": {
            name: {
                "dimension": series.dimension,
                "exponent": round(series.fit.exponent, 3),
                "error": round(series.fit.standard_error, 3),
            }
            for name, series in measured.series.items()
            if series.fit is not None
        },
        "over_limit": [f"{row.role}: {row.name}" for row in rows_of(measured) if row.is_over_limit],
    }
