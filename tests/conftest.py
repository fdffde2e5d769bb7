"""Configuration of the test suite.

Tests run on uvloop, as the node does. Hypothesis is derandomized, so that every run gives the same verdict.

The tests listed in KNOWN-RED.txt at the root (see `known_red`) are run, but their failures do not fail the
suite. Each is printed at the end of the run: as red, or, if it passed, as one to remove from the list. Listed
scripts are printed, too.
"""

import asyncio
from pathlib import Path

import pytest
import uvloop
from _pytest.terminal import TerminalReporter
from hypothesis import settings

from . import known_red
from .groups import LONG, PURE, group_of, start_order

asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")

ROOT = Path(__file__).resolve().parent.parent
KNOWN_FAILURES = known_red.load(ROOT / "KNOWN-RED.txt", ROOT)
KNOWN_RED = KNOWN_FAILURES.tests


def module_name(item: pytest.Item) -> str:
    """Return the name of the module that contains a test."""
    return item.path.stem


def plain_node_id(report: pytest.TestReport) -> str:
    """Return a test's node ID; of a known-red test, without the group that pytest-xdist appends."""
    name, _, _ = report.nodeid.rpartition("@")
    return name if name in KNOWN_RED else report.nodeid


def pytest_configure(config: pytest.Config) -> None:
    config.addinivalue_line("markers", "pure: uses no sockets, processes or real time (tests/groups.py)")
    config.addinivalue_line("markers", "long: a pure test that searches for many seconds (tests/groups.py)")


@pytest.hookimpl(tryfirst=True)  # runs before pytest-xdist reads the groups
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        module = module_name(item)
        if (group := group_of(module)) is not None:
            item.add_marker(pytest.mark.xdist_group(group))
        if module in PURE:
            item.add_marker(pytest.mark.pure)
        if item.nodeid.split("::", 1)[-1].split("[")[0] in LONG:
            item.add_marker(pytest.mark.long)
        if item.nodeid in KNOWN_RED:
            item.add_marker(pytest.mark.xfail(reason=KNOWN_RED[item.nodeid], strict=False))
    # Workers are given the groups in this order.
    items.sort(key=lambda item: start_order(module_name(item)))


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    for name, word in (("xfailed", "red"), ("xpassed", "passed; remove it from the list")):
        for report in terminalreporter.getreports(name):
            if plain_node_id(report) in KNOWN_RED:
                terminalreporter.write_line(f"KNOWN-RED, {word}: {KNOWN_RED[plain_node_id(report)]}")
    for line in KNOWN_FAILURES.scripts:
        terminalreporter.write_line(f"KNOWN-RED, not run by the suite: {line}")
