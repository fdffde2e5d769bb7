"""Tests run on the loop that the node runs on. Hypothesis without chance: the same verdict every time.

What KNOWN-RED.txt at the root lists (test -- cause -- issue; three at most) is run, and does not fail the
suite: it is printed at the end, red or, where it holds by now, as one to take off the list.
"""

import asyncio
from pathlib import Path

import pytest
import uvloop
from _pytest.terminal import TerminalReporter
from hypothesis import settings

from .groups import LONG, PURE, group_of, turn_of

asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")

LIST = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
RED = {
    line.split(" -- ")[0].strip(): line
    for line in (LIST.read_text().splitlines() if LIST.exists() else ())
    if line.strip()
}
assert len(RED) <= 3, "KNOWN-RED.txt holds more than three tests"


def module_of(item: pytest.Item) -> str:
    """The name of the module that a test is in."""
    return item.path.stem


def name_of(report: pytest.TestReport) -> str:
    """The test that a report is of: pytest-xdist adds the group to its name."""
    name, _, _ = report.nodeid.rpartition("@")
    return name if name in RED else report.nodeid


def pytest_configure(config: pytest.Config) -> None:
    config.addinivalue_line("markers", "pure: no sockets, no processes, no waiting (tests/groups.py)")
    config.addinivalue_line("markers", "long: a search of many seconds among these (tests/groups.py)")


@pytest.hookimpl(tryfirst=True)  # before pytest-xdist reads the groups
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        module = module_of(item)
        if (group := group_of(module)) is not None:
            item.add_marker(pytest.mark.xdist_group(group))
        if module in PURE:
            item.add_marker(pytest.mark.pure)
        if item.nodeid.split("::", 1)[-1].split("[")[0] in LONG:
            item.add_marker(pytest.mark.long)
        if item.nodeid in RED:
            item.add_marker(pytest.mark.xfail(reason=RED[item.nodeid], strict=False))
    # A worker takes up the groups in this order.
    items.sort(key=lambda item: turn_of(module_of(item)))


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    for name, word in (("xfailed", "red"), ("xpassed", "holds by now, take it off the list")):
        for report in terminalreporter.getreports(name):
            if name_of(report) in RED:
                terminalreporter.write_line(f"KNOWN-RED, {word}: {RED[name_of(report)]}")
