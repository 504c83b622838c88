"""The capacity benchmark: its fits on known data, its rows against the limits, its page against its data file."""

import asyncio
import json
import random
from dataclasses import replace

import pytest

from benchmarks.capacity import in_process, real
from benchmarks.capacity.__main__ import DATA, PAGE, page_text
from benchmarks.capacity.documents import encoded, lifted_bounds, own_document
from benchmarks.capacity.fit import Point, fit
from benchmarks.capacity.page import NOT_MEASURED, exponent, number
from benchmarks.capacity.plan import PLAN
from benchmarks.capacity.results import IN_PROCESS, Measured, Series, measured_from
from benchmarks.capacity.rollout import spread
from benchmarks.capacity.rows import BOUND, COST, NOISY, ROLES, Row, rows_of, worst_of
from benchmarks.capacity.summary import summary_of
from nickelslip.configuration.control_client import ask_once
from nickelslip.configuration.json5_reader import parse_document
from nickelslip.configuration.schema import MAX_NAMES
from nickelslip.configuration.validation import InvalidDocumentError

SIZES = (100.0, 700.0, 5_000.0, 37_000.0)


def law(factor: float, power: float, sizes: tuple[float, ...] = SIZES) -> list[Point]:
    return [Point(size, factor * size**power) for size in sizes]


# The fit


@pytest.mark.parametrize("power", (0.0, 0.5, 1.0, 1.7))
def test_an_exact_power_law_is_found_without_error(power):
    found = fit(law(3.0, power))
    assert found.exponent == pytest.approx(power, abs=1e-9)
    assert found.error == pytest.approx(0.0, abs=1e-9)
    assert found.at(1_000.0) == pytest.approx(3.0 * 1_000.0**power)


def test_of_noisy_data_the_true_exponent_lies_within_the_error_as_often_as_it_should():
    chance, within, errors, trials = random.Random(3), 0, [], 400
    for _ in range(trials):
        points = [
            Point(each.size, each.value * 2.718 ** chance.gauss(0.0, 0.2))
            for each in law(2.0, 1.0, (*SIZES, 300.0, 12_000.0))
        ]
        found = fit(points)
        within += abs(found.exponent - 1.0) <= 2 * found.error
        errors.append(found.error)
    assert 0.84 <= within / trials <= 0.93  # Student's t with four degrees of freedom has 0.884 within two errors
    assert 0.02 < sum(errors) / trials < 0.05


def test_a_fit_needs_four_sizes_and_positive_values():
    with pytest.raises(ValueError):
        fit(law(1.0, 1.0, SIZES[:3]))
    with pytest.raises(ValueError):
        fit([*law(1.0, 1.0, SIZES[:3]), Point(SIZES[2], 5.0)])
    with pytest.raises(ValueError):
        fit([*law(1.0, 1.0), Point(10.0, 0.0)])


def test_a_series_gives_what_was_measured_and_extrapolates_only_by_a_fit():
    series = Series("s", "tenants", "ms", IN_PROCESS, tuple(law(2.0, 1.0)))
    assert series.at(700.0) == 1400.0 and series.measured_at(700.0)
    assert series.at(1_000.0) == pytest.approx(2_000.0) and not series.measured_at(1_000.0)
    short = replace(series, points=series.points[:3])
    assert short.fit is None and short.at(1_000.0) is None and exponent(short) == "no fit"


# Rows and limits


def test_only_a_measured_value_can_be_over_its_limit():
    assert not Row("r", "n", None, "ms", 5.0).over
    assert not Row("r", "n", 9.0, "ms").over
    assert not Row("r", "n", 5.0, "ms", 5.0).over
    assert Row("r", "n", 5.1, "ms", 5.0).over


def test_the_worst_row_is_the_one_with_the_largest_factor_of_its_kind():
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
def test_an_added_time_beside_an_echo_over_the_limit_is_over_and_undecided(echo_ms, kind):
    at = f"{PLAN.tenants}_1x"
    measured = Measured(figures={f"added_ms_p99_{at}": echo_ms + 8.0, f"added_echo_ms_p99_{at}": echo_ms})
    (row,) = (row for row in rows_of(measured) if row.name.startswith("added") and row.value is not None)
    assert row.over and row.value == pytest.approx(8.0) and row.kind == kind
    assert worst_of([row], COST) is (row if kind == COST else None)


def test_what_was_not_measured_is_null_and_says_so():
    nothing = Measured()
    rows = rows_of(nothing)
    assert {row.role for row in rows} == set(ROLES)
    assert all(not row.over for row in rows if row.kind == COST)
    summary = summary_of(nothing)
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
    assert number(None) == NOT_MEASURED


def test_a_change_that_is_undone_everywhere_is_not_said_to_be_in_force():
    measured = Measured(figures={"simulated_in_force_s_p99": 9.0, "simulated_in_force_s_max": 9.5})
    for course, expected in (("done", 9.0), ("stuck", None), ("undone", None)):
        measured.notes[f"rollout_{PLAN.servers}"] = course
        assert summary_of(measured)["in_force_s_p99"] == expected


def test_the_plans_own_arithmetic():
    assert PLAN.requests_per_server_s == pytest.approx(69.62, abs=0.01)
    assert PLAN.requests_without_a_zone_s == pytest.approx(83.54, abs=0.01)
    assert PLAN.stop_ms_per_change == pytest.approx(200.9, abs=0.1)
    assert PLAN.pairs == 5_767_000


# What is measured, in small


def test_the_bounds_are_lifted_only_inside():
    most = MAX_NAMES["customers"]
    text = encoded(own_document(most + 1))
    big = text + b" " * (600 * 1024)
    with lifted_bounds():
        assert len(in_process.whole_of(own_document(most + 1))["customers"]) == most + 1
        assert parse_document(big, "settings", with_positions=False).value["version"] == 1
    assert MAX_NAMES["customers"] == most
    with pytest.raises(InvalidDocumentError):
        parse_document(big, "settings", with_positions=False)


def test_a_hollow_change_is_in_force_and_kept_as_in_a_server():
    changing = in_process.ChangeSteps(in_process.whole_of(own_document(20)))
    for number_of in range(3):
        changing.push(in_process.part_for(number_of))
    held = changing.changes.in_force
    assert held.generation.number == 4
    assert held.document["customers"]["t00000"]["share_per_s"] == 5.0
    assert changing.changes.current is None and len(changing.changes.records) == 6


def test_a_full_history_holds_no_more_however_many_changes_follow():
    changing = in_process.ChangeSteps(in_process.whole_of(own_document(10)))
    for number_of in range(1, in_process.FULL_CHANGES + 20):
        changing.push(in_process.rules_part_for(number_of))
    assert len(changing.changes.records) == changing.changes.records.maxlen
    few, many = in_process.full_history_bytes(10), in_process.full_history_bytes(110)
    assert (many - few) / 100 / in_process.FULL_CHANGES > 50  # bytes a tenant and change: each keeps a whole document


def test_memory_is_told_by_tenant():
    few, many = in_process.memory_cost(50), in_process.memory_cost(450)
    for name in ("configuration", "tables", "change"):
        assert 30 < (getattr(many, name) - getattr(few, name)) / 400 < 3_000


def test_a_rollout_in_simulated_time_passes_four_waves_and_fails_where_a_wave_is_too_long():
    quick = spread(40, apply_ms=5.0, status_ms=1.0)
    assert quick.course == "done" and len(quick.in_force_s) == 40
    assert 30.0 < quick.in_force_s[-1] < 33.0 < 40.0 < quick.took_s < 45.0
    assert quick.percentile(0.025) < 0.1
    slow = spread(400, apply_ms=1_500.0, status_ms=1.0)  # 200 at 16 at once take over the 15 s of silence
    assert slow.course != "done"


async def one_real_server(folder):
    """What is read of a real server with few tenants, and how it ended."""
    async with real.serving(folder, 50, changes=True) as server:
        reply = await ask_once(server.socket, "apply", document=in_process.part_for(0))
        await server.open_connections(20)
        async with real.echoing() as echo:
            times = await real.request_times(server, echo, 50, 40.0, 1.0, 7)
        ended = [connection.is_closed for connection in server.connections]
        process, resident, reports = server.process, server.resident_kb(), list(server.directory.reports)
    return reply, times, ended, process, resident, reports


def test_a_real_server_is_measured_from_outside_and_leaves_in_order(tmp_path):
    reply, times, ended, process, resident, reports = asyncio.run(one_real_server(tmp_path))
    assert reply["ok"] and reply["change"]["step"] == "on_probation"
    assert times.failed == 0 and len(times.server_ms) == len(times.echo_ms) > 15
    assert 0 < times.echo_ms[0] < times.server_ms[-1] and 0 < times.core_share < 1
    assert ended == [False] * 20
    assert 10_000 < resident < 200_000 and len(reports) >= 2 and {size for _, size in reports} == {len("PULSE n1 open")}
    assert process.returncode == 0


# The page


def test_the_page_and_its_data_are_in_step():
    assert PAGE.read_text() == page_text()


def test_the_data_come_from_a_full_run_and_read_back_as_they_were_written():
    value = json.loads(DATA.read_text())
    measured = measured_from(value)
    assert measured.run["quick"] is False
    assert json.loads(json.dumps(measured.as_dict())) == value
    assert all(len({point.size for point in each.points}) >= 4 for each in measured.series.values())


def test_a_changed_slope_is_a_changed_page(monkeypatch, tmp_path):
    value = json.loads(DATA.read_text())
    value["series"]["tenants_change_ms"]["points"][-1]["value"] *= 10
    other = tmp_path / "measured.json"
    other.write_text(json.dumps(value))
    monkeypatch.setattr("benchmarks.capacity.__main__.DATA", other)
    assert page_text() != PAGE.read_text()
