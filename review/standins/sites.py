"""Settings of small deployments, in the platform's form and with the figures of their briefs."""

from __future__ import annotations

from typing import Any

GAUGES = ["cpu_busy", "runnable", "mem_used", "sockets"]


def latgale_card_tips(core_count: int, server_count: int, **specifics: object) -> dict[str, Any]:
    """Return the settings of a tip node: every class may run again, requests carry a hint of their cost.

    Args:
        core_count: 6 at the first size, 2 since the deployment has grown.
        server_count: Servers of the fleet.
        **specifics: Keys of `specifics` that differ.
    """
    return {
        "bounds": {"cpu-us-per-request": 0.0, "cpu-us-per-s": 60000, "max-retry-after-ms": 1000.0, "retry-after": True},
        "classes": [
            _read_like("balance-check", 1.0, 1700.0, 5400.0),
            _read_like("terminal-tip", 1.0, 1100.0, 3200.0),
            _read_like("shift-split", 3.0, 2600.0, 8600.0),
        ],
        "client-habits": {"marks-retry": True},
        "counted-by": "work",
        "family": "server",
        "invariants": {
            "answer-slack-ms": 60.0,
            "cold-from": 0.2,
            "cold-ms": 17000.0,
            "fall-ms": 3000.0,
            "fall-multiple": 8.0,
            "stop-sending-within-ms": 2000.0,
        },
        "layers": ["tip-nodes"],
        "me": 0,
        "over-share-worth": 0.05,
        "report": {"fields": [], "how": "silent"},
        "servers": server_count,
        "specifics": {
            "below": "common",
            "callers": 3,
            "calls-over-ms": 5000.0,
            "class-calls": [True, False, True],
            "class-skip-worth": [0.6, 0.0, 0.0],
            "cold": False,
            "cpus": core_count,
            "dep-share": 4.5,
            "fresh-ms": 0.0,
            "idle-ms": 15000.0,
            "kb-per-key": 46.0,
            "memory-kb": 3000.0 * core_count,
            "own-stats": GAUGES,
            "passes-deadline": True,
            "readiness": False,
            "real-checks": False,
            "run-factor": 16.0,
            "said-for-ms": 1000.0,
            "say": "bias",
            "stays-for-ms": 200.0,
            "stop-mode": "silent",
            "tells-gone": True,
            **specifics,
        },
        "tenants": [
            {"name": "dinaburga-galds", "quota-rps": 100.0 * server_count, "share": 0.5},
            {"name": "ezerkrasts", "quota-rps": 100.0 * server_count, "share": 0.5},
        ],
        "tick-ms": 5.0,
        "tier": 0,
        "zone": "daugavpils-dc",
        "zones": ["daugavpils-dc", "rezekne-dc"],
    }


def _read_like(name: str, gain: float, aim_ms: float, deadline_ms: float) -> dict[str, Any]:
    return {
        "aim-ms": aim_ms,
        "deadline-ms": deadline_ms,
        "gain": gain,
        "idempotency": "read_like",
        "late-worth": 0.0,
        "memory-span-ms": 5000.0,
        "name": name,
    }


def riga_payout_keyed(core_count: int, server_count: int) -> dict[str, Any]:
    """Return the settings of a payout node whose `payout` is known by a key, as the short days may have it."""
    payout = {**_read_like("payout", 3.0, 1100.0, 2800.0), "idempotency": "idempotency_key"}
    settings = latgale_card_tips(core_count, server_count)
    return {
        **settings,
        "classes": [_read_like("balance", 1.0, 3400.0, 11000.0), payout],
        "counted-by": "request",
        "invariants": {
            **settings["invariants"],
            "cold-ms": 18000.0,
            "fall-ms": 1500.0,
            "stop-sending-within-ms": 2500.0,
        },
        "layers": ["payout-nodes"],
        "over-share-worth": 0.1,
        "specifics": {
            **settings["specifics"],
            "class-calls": [True, True],
            "class-skip-worth": [0.6, 0.0],
            "kb-per-key": 46.02,
            "memory-kb": 17436.0,
            "stop-mode": "drop",
        },
        "tenants": [
            {"name": "daugava-grupa", "quota-rps": 100.0 * server_count, "share": 0.58},
            {"name": "vecriga-krogi", "quota-rps": 100.0 * server_count, "share": 0.42},
        ],
        "zone": "riga-purvciems",
        "zones": ["riga-centrs", "riga-purvciems", "jelgava"],
    }


def riga_payout_grown(dependency_share: float, is_cold: bool) -> dict[str, Any]:
    """Return the settings of a payout node since the deployment has grown: 2 cores, a fleet of 20."""
    settings = riga_payout_keyed(2, 20)
    balance, payout = settings["classes"]
    return {
        **settings,
        "classes": [balance, {**payout, "idempotency": "non_idempotent"}],
        "specifics": {
            **settings["specifics"],
            "cold": is_cold,
            "dep-share": dependency_share,
            "memory-kb": 5812.0,
        },
    }
