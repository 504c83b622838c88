"""Tests of the capacity benchmark: its fits, its rows and limits, small measurements, and its page and data file."""

import asyncio
import json
import random
from dataclasses import replace

import pytest

from benchmarks.capacity import in_process, real
from benchmarks.capacity.__main__ import DATA, PAGE, page_text
from benchmarks.capacity.documents import encode_compact, native_document, raised_limits
from benchmarks.capacity.fit import Point, fit
from benchmarks.capacity.page import NOT_MEASURED, format_exponent, format_figure
from benchmarks.capacity.plan import PLAN
from benchmarks.capacity.results import IN_PROCESS, Measured, Series, measured_from
from benchmarks.capacity.rollout import simulate_rollout
from benchmarks.capacity.rows import BOUND, COST, NOISY, ROLES, Row, rows_of, worst_of
from benchmarks.capacity.summary import summary_of
from nickelslip.configuration.control_client import ask_once
from nickelslip.configuration.json5_reader import parse_document
from nickelslip.configuration.schema import MAX_NAMES
from nickelslip.configuration.validation import InvalidDocumentError

SIZES = (100.0, 700.0, 5_000.0, 37_000.0)


def power_law_points(factor: float, power: float, sizes: tuple[float, ...] = SIZES) -> list[Point]:
    return [Point(size, factor * size**power) for size in sizes]


@pytest.mark.parametrize("power", (0.0, 0.5, 1.0, 1.7))
def test_the_fit_of_an_exact_power_law_has_no_error(power):
    fitted = fit(power_law_points(3.0, power))
    assert fitted.exponent == pytest.approx(power, abs=1e-9)
    assert fitted.standard_error == pytest.approx(0.0, abs=1e-9)
    assert fitted.at(1_000.0) == pytest.approx(3.0 * 1_000.0**power)


def test_with_noisy_data_the_true_exponent_is_within_two_standard_errors_as_often_as_expected():
    generator, within, errors, trials = random.Random(3), 0, [], 400
    for _ in range(trials):
        points = [
            Point(point.size, point.value * 2.718 ** generator.gauss(0.0, 0.2))
            for point in power_law_points(2.0, 1.0, (*SIZES, 300.0, 12_000.0))
        ]
        fitted = fit(points)
        within += abs(fitted.exponent - 1.0) <= 2 * fitted.standard_error
        errors.append(fitted.standard_error)
    # Student's t distribution with 4 degrees of freedom has 0.884 of its weight within 2 standard errors.
    assert 0.84 <= within / trials <= 0.93
    assert 0.02 < sum(errors) / trials < 0.05


def test_a_fit_needs_four_sizes_and_positive_values():
    with pytest.raises(ValueError):
        fit(power_law_points(1.0, 1.0, SIZES[:3]))
    with pytest.raises(ValueError):
        fit([*power_law_points(1.0, 1.0, SIZES[:3]), Point(SIZES[2], 5.0)])
    with pytest.raises(ValueError):
        fit([*power_law_points(1.0, 1.0), Point(10.0, 0.0)])


def test_a_series_returns_measured_values_and_extrapolates_only_with_a_fit():
    series = Series("s", "tenants", "ms", IN_PROCESS, tuple(power_law_points(2.0, 1.0)))
    assert series.at(700.0) == 1400.0 and series.measured_at(700.0)
    assert series.at(1_000.0) == pytest.approx(2_000.0) and not series.measured_at(1_000.0)
    short = replace(series, points=series.points[:3])
    assert short.fit is None and short.at(1_000.0) is None and format_exponent(short) == "no fit"


def test_only_a_measured_value_can_exceed_its_limit():
    assert not Row("r", "n", None, "ms", 5.0).is_over_limit
    assert not Row("r", "n", 9.0, "ms").is_over_limit
    assert not Row("r", "n", 5.0, "ms", 5.0).is_over_limit
    assert Row("r", "n", 5.1, "ms", 5.0).is_over_limit


def test_the_worst_row_exceeds_its_limit_by_the_largest_factor_of_its_kind():
    rows = [
        Row("r", "a", 10.0, "ms", 5.0),
        Row("r", "b", 90.0, "s", 10.0),
        Row("r", "c", 99.0, "s", 1.0, kind=BOUND),
        Row("r", "d", 1.0, "s", 10.0),
        Row("r", "e", None, "s", 0.1),
    ]
    assert worst_of(rows, COST).name == "b" and worst_of(rows, BOUND).name == "c"
    assert worst_of(rows[3:], COST) is None


@pytest.mark.parametrize(("echo_ms", "kind"), ((0.4, COST), (4.0, NOISY)))
def test_added_latency_over_the_limit_is_noisy_if_the_echo_alone_exceeds_the_limit(echo_ms, kind):
    at = f"{PLAN.tenants}_1x"
    measured = Measured(figures={f"added_ms_p99_{at}": echo_ms + 8.0, f"added_echo_ms_p99_{at}": echo_ms})
    (row,) = (row for row in rows_of(measured) if row.name.startswith("added") and row.value is not None)
    assert row.is_over_limit and row.value == pytest.approx(8.0) and row.kind == kind
    assert worst_of([row], COST) is (row if kind == COST else None)


def test_figures_that_were_not_measured_are_null_and_shown_as_not_measured():
    unmeasured = Measured()
    rows = rows_of(unmeasured)
    assert {row.role for row in rows} == set(ROLES)
    assert all(not row.is_over_limit for row in rows if row.kind == COST)
    summary = summary_of(unmeasured)
    for name in (
        "added_ms_p99",
        "added_echo_ms_p99",
        "control_core_share",
        "control_mb",
        "control_bytes_s",
        "in_force_s_p99",
        "in_force_s_max",
        "changes_lost",
        "mixed_generations",
        "older_after_newer",
    ):
        assert summary[name] is None
    assert summary["exponents"] == {}
    assert format_figure(None) == NOT_MEASURED


def test_a_change_that_is_not_rolled_out_everywhere_has_no_time_in_force():
    measured = Measured(figures={"simulated_in_force_s_p99": 9.0, "simulated_in_force_s_max": 9.5})
    for status_word, expected in (("done", 9.0), ("stuck", None), ("undone", None)):
        measured.notes[f"rollout_{PLAN.servers}"] = status_word
        assert summary_of(measured)["in_force_s_p99"] == expected


def test_the_figures_calculated_from_the_plan():
    assert PLAN.requests_per_server_s == pytest.approx(69.62, abs=0.01)
    assert PLAN.requests_per_server_zone_down_s == pytest.approx(83.54, abs=0.01)
    assert PLAN.max_pause_ms_per_change == pytest.approx(200.9, abs=0.1)
    assert PLAN.full_mesh_connection_count == 5_767_000


def test_the_limits_are_raised_only_inside_the_context():
    max_tenants = MAX_NAMES["customers"]
    text = encode_compact(native_document(max_tenants + 1))
    oversized_text = text + b" " * (600 * 1024)
    with raised_limits():
        assert len(in_process.checked_document(native_document(max_tenants + 1))["customers"]) == max_tenants + 1
        assert parse_document(oversized_text, "settings", with_positions=False).value["version"] == 1
    assert MAX_NAMES["customers"] == max_tenants
    with pytest.raises(InvalidDocumentError):
        parse_document(oversized_text, "settings", with_positions=False)


def test_a_change_without_a_server_takes_effect_and_is_recorded_as_in_a_server():
    steps = in_process.ChangeSteps(in_process.checked_document(native_document(20)))
    for change_number in range(3):
        steps.push(in_process.quota_overlay(change_number))
    in_force = steps.changes.in_force
    assert in_force.generation.number == 4
    assert in_force.document["customers"]["t00000"]["share_per_s"] == 5.0
    assert steps.changes.current is None and len(steps.changes.records.latest) == 6


def test_a_full_history_does_not_grow_with_further_changes():
    steps = in_process.ChangeSteps(in_process.checked_document(native_document(10)))
    for change_number in range(1, in_process.CHANGES_TO_FILL_HISTORY + 20):
        steps.push(in_process.change_rules_overlay(change_number))
    assert len(steps.changes.records.latest) == steps.changes.records.latest.maxlen
    few, many = in_process.full_history_bytes(10), in_process.full_history_bytes(110)
    # Bytes for each tenant and change: every change keeps a whole document.
    assert (many - few) / 100 / in_process.CHANGES_TO_FILL_HISTORY > 50


def test_memory_grows_with_the_number_of_tenants():
    few, many = in_process.memory_cost(50), in_process.memory_cost(450)
    for name in ("configuration", "tables", "change"):
        assert 30 < (getattr(many, name) - getattr(few, name)) / 400 < 3_000


def test_a_simulated_rollout_completes_four_waves_and_fails_if_a_wave_takes_too_long():
    quick = simulate_rollout(40, apply_ms=5.0, status_ms=1.0)
    assert quick.status_word == "done" and len(quick.in_force_s) == 40
    assert 30.0 < quick.in_force_s[-1] < 33.0 < 40.0 < quick.took_s < 45.0
    assert quick.percentile(0.025) < 0.1
    # A wave of 200 servers, 16 at a time, takes longer than the 15 s after which a silent server is unreachable.
    slow = simulate_rollout(400, apply_ms=1_500.0, status_ms=1.0)
    assert slow.status_word != "done"


async def measure_real_server(folder):
    """Return the measurements of a real server with few tenants, and its exited process."""
    async with real.running_server(folder, 50, changes=True) as server:
        reply = await ask_once(server.socket, "apply", document=in_process.quota_overlay(0))
        await server.open_connections(20)
        async with real.running_echo_server() as echo:
            times = await real.request_times(server, echo, 50, 40.0, 1.0, 7)
        are_closed = [connection.is_closed for connection in server.connections]
        process, resident_kb, reports = server.process, server.resident_kb(), list(server.directory.reports)
    return reply, times, are_closed, process, resident_kb, reports


def test_a_real_server_is_measured_from_outside_and_exits_cleanly(tmp_path):
    reply, times, are_closed, process, resident_kb, reports = asyncio.run(measure_real_server(tmp_path))
    assert reply["ok"] and reply["change"]["step"] == "on_probation"
    assert times.failed == 0 and len(times.server_ms) == len(times.echo_ms) > 15
    assert 0 < times.echo_ms[0] < times.server_ms[-1] and 0 < times.core_share < 1
    assert are_closed == [False] * 20
    assert (
        10_000 < resident_kb < 200_000 and len(reports) >= 2 and {size for _, size in reports} == {len("PULSE n1 open")}
    )
    assert process.returncode == 0


def test_the_page_matches_its_data():
    assert PAGE.read_text() == page_text()


def test_the_data_come_from_a_full_run_and_are_unchanged_after_a_round_trip():
    value = json.loads(DATA.read_text())
    measured = measured_from(value)
    assert measured.run["quick"] is False
    assert json.loads(json.dumps(measured.as_dict())) == value
    assert all(len({point.size for point in series.points}) >= 4 for series in measured.series.values())


def test_a_changed_slope_changes_the_page(monkeypatch, tmp_path):
    value = json.loads(DATA.read_text())
    value["series"]["tenants_change_ms"]["points"][-1]["value"] *= 10
    changed_data = tmp_path / "measured.json"
    changed_data.write_text(json.dumps(value))
    monkeypatch.setattr("benchmarks.capacity.__main__.DATA", changed_data)
    assert page_text() != PAGE.read_text()
