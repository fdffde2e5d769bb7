"""The slow-start factor of servers by age, also where the settings name no warm-up time."""

from __future__ import annotations

import random

import pytest

from hollybay.balancing.slow_start import SlowStart
from hollybay.balancing.state import TrackedServer
from hollybay.testbed.world import MS, SECOND, BalancerHarness, fleet, make_settings


@pytest.mark.parametrize(
    ("age", "factor"),
    [(-SECOND, 0.3), (0, 0.3), (4 * SECOND, 0.65), (8 * SECOND, 1.0), (9 * SECOND, 1.0)],
)
def test_the_factor_grows_from_the_cold_share_to_one(age: int, factor: float) -> None:
    server = TrackedServer(b"s", SECOND)
    server.up_since = 20 * SECOND - age
    slow_start = SlowStart(make_settings(), random.Random(1))
    assert slow_start.factor(server, 20 * SECOND) == pytest.approx(factor)


def test_without_a_warm_up_time_a_server_whose_clock_is_ahead_is_used_as_any_other() -> None:
    node = BalancerHarness(make_settings(warm_up=0))
    node.tell(fleet(4, up_since=node.now + 300 * MS))
    node.ask(1)
    assert node.books[1].attempts
