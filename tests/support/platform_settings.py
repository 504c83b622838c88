"""Settings of the server under test, in the platform's format."""

from __future__ import annotations

from typing import Any

PLATFORM_SETTINGS: dict[str, Any] = {
    "bounds": {"max-retry-after-ms": 1000.0, "retry-after": True},
    "classes": [
        {"name": "read", "gain": 1.0, "aim-ms": 1000.0, "deadline-ms": 3000.0, "idempotency": "read_like"},
        {"name": "pay", "gain": 3.0, "aim-ms": 500.0, "deadline-ms": 1500.0, "idempotency": "non_idempotent"},
        {
            "name": "book",
            "gain": 2.0,
            "aim-ms": 800.0,
            "deadline-ms": 2000.0,
            "idempotency": "idempotency_key",
            "memory-span-ms": 4000.0,
        },
    ],
    "client-habits": {"marks-retry": True},
    "tenants": [{"name": "acme", "quota-rps": 100.0}],
    "tick-ms": 5.0,
    "invariants": {
        "answer-slack-ms": 20.0,
        "cold-from": 0.2,
        "cold-ms": 9000.0,
        "fall-multiple": 8.0,
        "stop-sending-within-ms": 200.0,
    },
    "specifics": {
        "cpus": 2,
        "memory-kb": 9000.0,
        "run-factor": 16.0,
        "say": "bias",
        "below": "common",
        "dep-share": 4.0,
        "calls-over-ms": 5000.0,
        "stays-for-ms": 200.0,
        "kb-per-key": 20.0,
        "fresh-ms": 1000.0,
        "stop-mode": "drop",
        "class-skip-worth": [0.6, 0.0, 0.0],
        "idle-ms": 15000.0,
        "own-stats": ["cpu_busy", "runnable", "mem_used", "sockets"],
    },
}
