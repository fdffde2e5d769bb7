"""What queues teach a node whose lists tell no loads: neither the work of a request nor a kind's speed."""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from hollybay.balancing import interface as api
from hollybay.balancing.estimates import IDLE_MEAN_LOAD
from hollybay.balancing.service_times import MIN_SAMPLES
from hollybay.balancing.state import TrackedServer
from hollybay.testbed.balancer_harness import MS, SECOND, BalancerHarness, make_settings

ONE = (api.RequestClass("w", api.Effect.SAFE, 1.0, SECOND, 3 * SECOND),)
WORK, JAM = 10 * MS, 200 * MS
STEP, EVERY = 10 * MS, 4  # a look at what is due, and how many of them between two requests of the node
WARM = tuple(api.Server(b"s%02d" % n, kind=n % 2) for n in range(12))


def node_of(weights: api.WeightMode = api.WeightMode.NOMINAL) -> BalancerHarness:
    """One of 32 nodes before a dozen servers of two kinds: it has at most one request at most of them."""
    node = BalancerHarness(
        make_settings(classes=ONE, zones=1, kinds=2, nodes=32, weight_mode=weights, hedging_allowed=False)
    )
    node.tell(WARM)
    return node


def play(node: BalancerHarness, rids: Iterable[int], even: int, odd: int) -> None:
    """Requests at a steady pace; servers of the even and of the odd kind answer after so long (ns)."""
    for rid in rids:
        node.ask(rid)
        if rid % 25 == 0:
            node.tell(WARM)  # a list that is overdue would stop what is learned
        for _ in range(EVERY):
            node.run_to(node.now + STEP)
            for r in [r for r, book in node.requests.items() if not book.over]:
                for n, tried in enumerate(node.requests[r].attempts):
                    takes = odd if node.lines[tried.server].kind else even
                    if tried.result is None and node.now - tried.sent >= takes:
                        node.answer(r, n)


def start_cold(node: BalancerHarness) -> TrackedServer:
    """A server that has just started, as the node takes it."""
    node.tell((*WARM, api.Server(b"new", kind=0, up_since=node.now)))
    return node.balancer.servers[b"new"]


def test_a_jam_that_no_list_tells_of_leaves_the_budget_of_a_cold_server() -> None:
    calm, jammed = node_of(), node_of()
    for node in (calm, jammed):
        play(node, range(200), WORK, WORK)
    play(jammed, range(200, 600), JAM, JAM)
    assert start_cold(jammed).slow_start_interval == pytest.approx(
        start_cold(calm).slow_start_interval, rel=0.25
    )


def test_a_queue_at_one_kind_of_machine_does_not_make_it_slow() -> None:
    node = node_of()
    play(node, range(200), WORK, WORK)
    before = list(node.balancer.estimates.slowdown_by_kind)
    play(node, range(200, 500), JAM, WORK)
    assert node.balancer.estimates.slowdown_by_kind == pytest.approx(before, rel=0.35)


def test_the_first_answers_are_learned_in_a_jam_too() -> None:
    """Too much rather than too little: few answers must not set a cold server's budget for long."""
    node = node_of()
    play(node, range(100), JAM, JAM)
    assert node.balancer.estimates.service_times.samples[0] >= MIN_SAMPLES
    assert node.balancer.estimates.service_times.by_class[0] > 5 * WORK


def test_what_a_request_takes_at_a_cold_server_is_learned_in_a_jam() -> None:
    """It gets its budget and no more, so that its answers hold no queue."""
    node = node_of()
    play(node, range(200), WORK, WORK)
    play(node, range(200, 300), JAM, JAM)
    learned = node.balancer.estimates.service_times
    busy = node.balancer.estimates.mean_server_load >= IDLE_MEAN_LOAD
    cold, before = start_cold(node), learned.by_class[0]
    for _ in range(20):
        learned.observe(
            cold, 0, int(3 * WORK / cold.slow_start_factor), in_flight=0, stale=False, servers_busy=busy
        )
    assert learned.by_class[0] > 1.3 * before


def test_where_lists_tell_loads_they_alone_are_asked() -> None:
    node = node_of(api.WeightMode.LIVE)
    play(node, range(100), JAM, JAM)
    assert node.balancer.estimates.mean_server_load == 0.0
