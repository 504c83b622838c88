"""What holds for the whole suite: the tests that are known to fail."""

from __future__ import annotations

import pytest

from tests.known_red import Faulty, Known, covers, listed, unmatched

KNOWN = pytest.StashKey[list[Known]]()


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[KNOWN] = listed(config.rootpath / "KNOWN-RED.txt")
    except Faulty as fault:
        raise pytest.UsageError(str(fault)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = config.stash[KNOWN]
    whole = config.args == config.getini("testpaths") and not config.option.keyword and not config.option.markexpr
    if whole and (missing := unmatched(known, [item.nodeid for item in items])):
        raise pytest.UsageError(f"KNOWN-RED.txt: no test is named {', '.join(missing)}")
    for item in items:
        for each in known:
            if covers(each, item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=f"known red: {each.cause} ({each.issue})", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for each in config.stash[KNOWN]:
        passed = any(covers(each, report.nodeid) for report in terminalreporter.getreports("xpassed"))
        terminalreporter.write_line(
            f"known red: {each.test}: {each.cause} ({each.issue}){'; it passed: take it off' if passed else ''}"
        )
