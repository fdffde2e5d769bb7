"""The slow-start factor and send interval of servers by age, also without a warm-up time in the settings."""

from __future__ import annotations

import itertools
import random

import pytest

from hollybay.balancing import Balancer
from hollybay.balancing import interface as api
from hollybay.balancing.slow_start import SlowStart
from hollybay.balancing.state import TrackedServer
from hollybay.testbed.balancer_harness import MS, SECOND, BalancerHarness, fleet, make_settings


@pytest.mark.parametrize(
    ("age", "factor"),
    [(-SECOND, 0.3), (0, 0.3), (4 * SECOND, 0.65), (8 * SECOND, 1.0), (9 * SECOND, 1.0)],
)
def test_the_factor_grows_from_the_cold_share_to_one(age: int, factor: float) -> None:
    server = TrackedServer(b"s", SECOND)
    server.up_since = 20 * SECOND - age
    slow_start = SlowStart(make_settings(), random.Random(1))
    assert slow_start.factor(server, 20 * SECOND) == pytest.approx(factor)


def test_without_a_warm_up_time_a_server_whose_clock_is_ahead_is_used_normally() -> None:
    node = BalancerHarness(make_settings(warm_up=0))
    node.tell(fleet(4, up_since=node.now + 300 * MS))
    node.ask(1)
    assert node.requests[1].attempts


@pytest.mark.parametrize("body_pending", [False, True])
def test_a_starting_server_gets_one_request_per_interval_also_with_pending_bodies(
    body_pending: bool,
) -> None:
    """An upload is sent before its body is complete, and must use up the send interval at once."""
    start = 20 * SECOND
    balancer = Balancer(make_settings(), 1, start)
    sends: dict[api.ServerId, list[int]] = {}
    due: list[int] = []

    def feed(now: int, event: api.Event) -> None:
        for action in balancer.handle(now, event):
            if isinstance(action, api.SetTimer):
                due.append(now + action.delay)
            elif isinstance(action, api.Send):
                sends.setdefault(action.server, []).append(now)

    feed(start, api.ServerList(api.ListKind.FULL, fleet(6, up_since=start - MS), 1))
    for number in range(1, 3000):
        now = start + number * MS
        if due and due[-1] <= now:
            due.clear()
            feed(now, api.TimerFired(1))
        if number % 5 == 0:
            feed(now, api.Request(number, 1, 1200 * MS, key=number, body_pending=body_pending))
    assert sends
    for server, times in sends.items():
        interval = balancer.servers[server].slow_start_interval
        assert interval > SECOND
        # An interval that becomes shorter at a review restarts at a random time: half of it is certain here.
        assert all(later - earlier > interval // 2 for earlier, later in itertools.pairwise(times))
