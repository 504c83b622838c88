"""Tests of the adapter and its codec, with the text protocol that the bench uses."""

import io
import json

import pytest

from nickelslip.admission.controller import AdmissionController
from nickelslip.settings import decode_settings_text
from nickelslip.simulator_adapter.adapter import main

SETTINGS = {
    "bounds": {"max-retry-after-ms": 1000.0, "retry-after": True},
    "unknown": 1,
    "classes": [{"aim-ms": 500.0, "deadline-ms": 1000.0, "gain": 1.0, "idempotency": "non_idempotent", "name": "p"}],
    "fees": {},
    "invariants": {
        "answer-slack-ms": 60.0,
        "cold-from": 0.2,
        "cold-ms": 9000.0,
        "fall-ms": 1500.0,
        "fall-multiple": 8.0,
        "stop-sending-within-ms": 2500.0,
    },
    "specifics": {
        "cpus": 2,
        "memory-kb": 9000.0,
        "run-factor": 16.0,
        "say": "bias",
        "below": "common",
        "dep-share": 2.0,
        "calls-over-ms": 5000.0,
        "real-checks": True,
    },
    "tick-ms": 5.0,
}
START = f"START server/1 7 {json.dumps(SETTINGS)}"


def run_adapter(*lines):
    output, errors = io.StringIO(), io.StringIO()
    code = main(io.StringIO("".join(line + "\n" for line in lines)), output, errors)
    return code, output.getvalue().splitlines(), errors.getvalue()


def test_the_events_of_a_server_over_text():
    code, out, _ = run_adapter(
        "TICK 0",
        START,
        "OVER_TO_YOU",
        "TICK 5",
        "OVER_TO_YOU",
        "TICK 10",
        "ASK server/1 12 p - - 1010 - 24.5 0.6 0 0 1 1.8 -",
        "OVER_TO_YOU",
        "TICK 20",
        "STALLED_ON_CALL server/1 12",
        "OVER_TO_YOU",
        "TICK 30",
        "RETURNED server/1 12 10 0",
        "FINISHED server/1 12 0 20",
        "WAKE server/1 1 cpu_busy:0.5,runnable:1",
        "OVER_TO_YOU",
        "TICK 40",
        "DRAIN server/1 9000",
        "OVER_TO_YOU",
        "TICK 50",
        "SHUTDOWN server/1",
        "ASK server/2 1 p",
        "OVER_TO_YOU",
    )
    assert code == 0
    assert out[:4] == ["HEALTH server/1 1 1", "SCHEDULE server/1 100.000 1", "OK", "OK"]
    assert "DISPATCH server/1 12" in out and any(line.startswith("INVOKE server/1 12 ") for line in out)
    assert out[-3:] == ["HEALTH server/1 1 0", "OK", "OK"]


@pytest.mark.parametrize(
    "line",
    (
        "START server/1 7 {}",
        "START server/1 7 nonsense",
        "ASK server/1 x p",
        "JUMP server/1",
        "FINISHED server/1 5",
        "RETURNED server/1 5 1.0 77",
        "DRAIN server/1 soon",
        "DRAIN server/1 nan",
        "FINISHED server/1 5 0 inf",
    ),
)
def test_a_malformed_line_is_reported_and_ends_the_adapter(line):
    code, _, errors = run_adapter("TICK 0", START, line, "OVER_TO_YOU")
    assert code == 2 and line.split(" ")[0] in errors + " START" and errors.startswith("nickelslip: ")


def test_input_outside_a_batch_or_truncated_inside_one_is_an_error():
    assert (
        run_adapter("OVER_TO_YOU")[0] == 2
        and run_adapter("TICK 1")[0] == 2
        and run_adapter("TICK x", "OVER_TO_YOU")[0] == 2
    )


def test_an_exception_in_a_controller_is_reported_for_its_instance(monkeypatch):
    def raise_error(self, now_ms, arrival):
        raise RuntimeError("lost count")

    monkeypatch.setattr(AdmissionController, "request_received", raise_error)
    code, out, _ = run_adapter("TICK 0", START, "ASK server/1 1 p", "OVER_TO_YOU")
    assert code == 0 and out[-2].startswith("BROKEN server/1 RuntimeError: lost count at test_simulator_adapter.py:")


def test_an_instance_behaves_the_same_alone_and_beside_another():
    request_line = "ASK server/{} 4 p - - - - 24.5 0.6 0 0 1 900 -"
    other = START.replace("/1", "/2")
    both = run_adapter("TICK 0", START, other, request_line.format(1), request_line.format(2), "OVER_TO_YOU")[1]
    alone = run_adapter("TICK 0", other, request_line.format(2), "OVER_TO_YOU")[1]
    assert [line for line in both if "server/1" not in line] == alone


def test_settings_are_mapped_to_the_terms_of_the_controller():
    settings = decode_settings_text(json.dumps(SETTINGS))
    assert (
        settings.dependency_concurrency_share,
        settings.traffic_classes[0].makes_calls,
        settings.retry_after_max_ms,
        settings.tenants,
    ) == (2.0, True, 1000.0, ())
