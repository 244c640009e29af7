"""Passes over the tests that KNOWN-RED.txt lists, and prints them: they run, and their failures are expected.

A test is listed by a line that begins with its node id, such as `tests/net/test_poller.py::test_name`.
"""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
listed_reports = []


def known_red_tests():
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests/")}


def pytest_collection_modifyitems(items):
    listed = known_red_tests()
    collected = {item.nodeid.partition("[")[0] for item in items} | {item.nodeid for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    if missing := {test for test in listed - collected if test.partition("::")[0] in files}:
        raise pytest.UsageError(f"KNOWN-RED.txt lists tests that do not exist: {sorted(missing)}")
    for item in items:
        if item.nodeid in listed or item.nodeid.partition("[")[0] in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))


def pytest_runtest_logreport(report):
    if report.when == "call" and hasattr(report, "wasxfail"):
        listed_reports.append(f"{report.nodeid} {'passed' if report.passed else 'failed'}")


def pytest_terminal_summary(terminalreporter):
    for line in listed_reports:
        terminalreporter.write_line(f"known red: {line}")
