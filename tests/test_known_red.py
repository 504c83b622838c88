"""Tests of the list of known failures: its format, and that it tolerates only the failures of the listed tests."""

import pathlib

import pytest

pytest_plugins = "pytester"
HERE = pathlib.Path(__file__).parent
SUITE = """
import pytest
def test_red():
    assert False
def test_green():
    pass
@pytest.mark.parametrize("case", (1, 2))
def test_cases(case):
    assert case == 1
"""
RED, GREEN, CASES = (f"tests/test_one.py::test_{name}" for name in ("red", "green", "cases"))


@pytest.fixture
def suite(pytester):
    """Return a function that runs a small separate suite with the given lines in its list of known failures."""
    folder = pytester.mkpydir("tests")
    for name in ("known_red.py", "conftest.py"):
        (folder / name).write_text((HERE / name).read_text())
    (folder / "test_one.py").write_text(SUITE)
    pytester.makeini("[pytest]\ntestpaths = tests\n")

    def run(*lines, args=()):
        pytester.path.joinpath("KNOWN-RED.txt").write_text("\n".join(lines))
        return pytester.runpytest_subprocess("-q", "-p", "no:hypothesispytest", "-p", "no:anyio", *args)

    return run


def test_only_listed_tests_are_expected_to_fail(suite):
    result = suite(f"{RED} | make test, seed 1 | it is broken | issue 7")
    assert result.ret == 1 and result.parseoutcomes() == {"failed": 1, "passed": 2, "xfailed": 1}
    result = suite(
        f"{RED} | make test, seed 1 | it is broken | issue 7", f"{CASES}[2] | make test, seed 1 | so is this | issue 8"
    )
    assert result.ret == 0
    result.stdout.fnmatch_lines(
        [f"known red: {RED}: it is broken (issue 7); make test, seed 1", "known red: *: so is this (issue 8); *"]
    )


def test_an_entry_may_cover_all_cases_and_a_listed_test_that_passes_is_reported(suite):
    result = suite(
        f"{RED} | make test, seed 1 | it is broken | issue 7",
        f"{CASES} | make test, seed 1 | both | issue 8",
        f"{GREEN} | make test, seed 1 | not at all | issue 9",
    )
    assert result.ret == 0
    result.stdout.fnmatch_lines(
        [f"known red: {GREEN}: not at all (issue 9); make test, seed 1; it passed: take it off"]
    )


def test_an_empty_list_tolerates_no_failures(suite):
    assert suite("").parseoutcomes() == {"failed": 2, "passed": 2}


@pytest.mark.parametrize(
    "lines",
    (
        [f"{RED} | it is broken"],
        [f"{RED} | it is broken | issue 7"],
        [f"{RED} | make test, seed 1 | | issue 7"],
        [f"{RED} | | it is broken | issue 7"],
        ["it is broken"],
        [f"{RED}|make test, seed 1|it is broken|issue 7"],
        [f"{name} | command | seen | issue" for name in (RED, GREEN, f"{CASES}[1]", f"{CASES}[2]")],
        [f"{RED} | make test, seed 1 | it is broken | issue 7", f"{RED} | make test, seed 1 | again | issue 8"],
        ["tests/test_one.py::test_none | command | seen | issue"],
        ["tests/test_one.py::test_cases[3] | command | seen | issue"],
    ),
)
def test_a_malformed_list_is_a_usage_error(lines, suite):
    assert suite(*lines).ret == pytest.ExitCode.USAGE_ERROR


def test_a_partial_run_accepts_listed_tests_that_it_does_not_collect(suite):
    assert suite(f"{RED} | make test, seed 1 | it is broken | issue 7", args=(GREEN,)).ret == 0


def test_the_list_of_this_repository_is_well_formed():
    from tests.known_red import read_known_failures

    assert len(read_known_failures(HERE.parent / "KNOWN-RED.txt")) <= 3
