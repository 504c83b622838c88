"""Marks the tests listed in KNOWN-RED.txt as expected failures and prints them at the end of a run."""

from __future__ import annotations

import pytest

from tests.known_red import KnownFailure, MalformedListError, missing_tests, read_known_failures

KNOWN_FAILURES = pytest.StashKey[list[KnownFailure]]()


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[KNOWN_FAILURES] = read_known_failures(config.rootpath / "KNOWN-RED.txt")
    except MalformedListError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    entries = config.stash[KNOWN_FAILURES]
    is_whole_suite = (
        config.args == config.getini("testpaths") and not config.option.keyword and not config.option.markexpr
    )
    if is_whole_suite and (missing := missing_tests(entries, [item.nodeid for item in items])):
        raise pytest.UsageError(f"KNOWN-RED.txt: no test is named {', '.join(missing)}")
    for item in items:
        for entry in entries:
            if entry.covers(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=f"known red: {entry.symptom} ({entry.issue})", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for entry in config.stash[KNOWN_FAILURES]:
        has_passed = any(entry.covers(report.nodeid) for report in terminalreporter.getreports("xpassed"))
        note = "; it passed: take it off" if has_passed else ""
        terminalreporter.write_line(f"known red: {entry.test}: {entry.symptom} ({entry.issue}); {entry.command}{note}")
