"""Without reported loads, queueing must change neither service times nor the speed of kinds of machines."""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from hollybay.balancing import interface as api
from hollybay.balancing.estimates import IDLE_MEAN_LOAD
from hollybay.balancing.service_times import MIN_SAMPLES
from hollybay.balancing.state import TrackedServer
from hollybay.testbed.balancer_harness import MS, SECOND, BalancerHarness, make_settings

ONE_CLASS = (api.RequestClass("w", api.Effect.SAFE, 1.0, SECOND, 3 * SECOND),)
SERVICE_TIME, QUEUED_TIME = 10 * MS, 200 * MS
# The resolution of response times, and the number of such steps between two requests of the node.
STEP, STEPS_PER_REQUEST = 10 * MS, 4
WARM = tuple(api.Server(b"s%02d" % n, kind=n % 2) for n in range(12))


def make_node(weights: api.WeightMode = api.WeightMode.NOMINAL) -> BalancerHarness:
    """One of 32 nodes with a dozen servers of two kinds: at most servers it has at most one attempt."""
    node = BalancerHarness(
        make_settings(
            classes=ONE_CLASS, zones=1, kinds=2, nodes=32, weight_mode=weights, hedging_allowed=False
        )
    )
    node.tell(WARM)
    return node


def play(node: BalancerHarness, rids: Iterable[int], even: int, odd: int) -> None:
    """Send requests at a constant rate; servers of even and odd kinds respond after these times (ns)."""
    for rid in rids:
        node.ask(rid)
        if rid % 25 == 0:
            node.tell(WARM)  # while a list is overdue, nothing is learned
        for _ in range(STEPS_PER_REQUEST):
            node.run_to(node.now + STEP)
            for r in [r for r, book in node.requests.items() if not book.over]:
                for n, attempt in enumerate(node.requests[r].attempts):
                    takes = odd if node.lines[attempt.server].kind else even
                    if attempt.result is None and node.now - attempt.sent >= takes:
                        node.answer(r, n)


def add_starting_server(node: BalancerHarness) -> TrackedServer:
    """Add a server that has just started, and return the node's record of it."""
    node.tell((*WARM, api.Server(b"new", kind=0, up_since=node.now)))
    return node.balancer.servers[b"new"]


def test_congestion_without_reported_loads_does_not_change_the_budget_of_a_starting_server() -> None:
    idle, congested = make_node(), make_node()
    for node in (idle, congested):
        play(node, range(200), SERVICE_TIME, SERVICE_TIME)
    play(congested, range(200, 600), QUEUED_TIME, QUEUED_TIME)
    assert add_starting_server(congested).slow_start_interval == pytest.approx(
        add_starting_server(idle).slow_start_interval, rel=0.25
    )


def test_a_queue_at_one_kind_of_machine_does_not_count_as_slowdown() -> None:
    node = make_node()
    play(node, range(200), SERVICE_TIME, SERVICE_TIME)
    before = list(node.balancer.estimates.slowdown_by_kind)
    play(node, range(200, 500), QUEUED_TIME, SERVICE_TIME)
    assert node.balancer.estimates.slowdown_by_kind == pytest.approx(before, rel=0.35)


def test_the_first_responses_are_used_under_congestion_too() -> None:
    """The service time is overestimated rather than underestimated, but a few responses must not determine
    the budget of starting servers for long."""
    node = make_node()
    play(node, range(100), QUEUED_TIME, QUEUED_TIME)
    assert node.balancer.estimates.service_times.samples[0] >= MIN_SAMPLES
    assert node.balancer.estimates.service_times.by_class[0] > 5 * SERVICE_TIME


def test_response_times_of_a_starting_server_are_used_under_congestion() -> None:
    """It gets no more than its budget, so that its response times include no queueing."""
    node = make_node()
    play(node, range(200), SERVICE_TIME, SERVICE_TIME)
    play(node, range(200, 300), QUEUED_TIME, QUEUED_TIME)
    service_times = node.balancer.estimates.service_times
    busy = node.balancer.estimates.mean_server_load >= IDLE_MEAN_LOAD
    starting, before = add_starting_server(node), service_times.by_class[0]
    for _ in range(20):
        service_times.observe(
            starting,
            0,
            int(3 * SERVICE_TIME / starting.slow_start_factor),
            in_flight=0,
            stale=False,
            servers_busy=busy,
        )
    assert service_times.by_class[0] > 1.3 * before


def test_the_mean_load_is_not_estimated_if_lists_report_loads() -> None:
    node = make_node(api.WeightMode.LIVE)
    play(node, range(100), QUEUED_TIME, QUEUED_TIME)
    assert node.balancer.estimates.mean_server_load == 0.0
