"""Seeded random walks of legal events: the balancer's harness asserts the four rules at every step."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollybay.balancing import interface as api
from hollybay.testbed.balancer_harness import MS, SECOND, BalancerHarness, fleet, make_settings


def walk(
    seed: int, settings: api.Settings, steps: int = 600, limits: api.Limits | None = None
) -> BalancerHarness:
    """Requests, all outcomes, drains, restarts, vanished and new servers, lost lists, clients that leave."""
    chance = random.Random(seed)
    node = BalancerHarness(settings, seed)
    servers = {s.id: s for s in fleet(12)}
    node.tell(tuple(servers.values()), api.ListKind.CACHED)
    fresh = 100
    for rid in range(steps):
        roll = chance.random()
        if roll < 0.55:
            left = chance.choice([0, 0, 0, 30 * MS, 2 * MS, 1])
            node.ask(rid, chance.randrange(len(settings.classes)), left, chance.randrange(5), limits)
        elif roll < 0.60:
            sid = chance.choice(list(servers))
            old = servers[sid]
            state = chance.choice([api.ServerState.DRAINING, api.ServerState.GONE, api.ServerState.READY])
            since = node.now - chance.randrange(SECOND) if state == api.ServerState.READY else old.up_since
            line = api.Server(sid, old.zone, old.kind, old.cell, state, old.weight, since)
            servers[sid] = line
            node.tell((line,), api.ListKind.CHANGES)
            if state == api.ServerState.GONE:
                del servers[sid]
        elif roll < 0.63:
            fresh += 1
            line = api.Server(b"n%d" % fresh, fresh % 2, fresh % 3, fresh // 4, up_since=node.now)
            servers[line.id] = line
            kind = chance.choice([api.ListKind.CHANGES, api.ListKind.FULL])
            node.tell((line,) if kind == api.ListKind.CHANGES else tuple(servers.values()), kind)
        elif roll < 0.64:
            node.give(api.ServerList(api.ListKind.FAILED))
        elif roll < 0.67:
            open_ids = [r for r, b in node.requests.items() if not b.over]
            if open_ids:
                node.leave(chance.choice(open_ids))
        elif roll < 0.70:
            node.run_to(node.now + chance.randrange(2 * SECOND))
        out = [(r, n) for r, b in node.requests.items() for n, a in enumerate(b.attempts) if a.result is None]
        for r, n in out:
            if chance.random() < 0.3:
                results = [
                    x for x in api.Result if x != api.Result.TIMEOUT or node.now >= node.requests[r].deadline
                ]
                node.answer(r, n, api.Result.OK if chance.random() < 0.6 else chance.choice(results))
        node.run_to(node.now + chance.randrange(20 * MS))
        node.check_answered()
    node.run_to(node.now + 20 * SECOND)
    assert all(book.over for book in node.requests.values())
    assert not node.balancer.requests, "requests are left behind"
    return node


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("copies", [True, False])
def test_random_walk_keeps_the_rules(seed: int, copies: bool) -> None:
    weights = list(api.WeightMode)[seed % 4]
    settings = make_settings(hedging_allowed=copies, weight_mode=weights)
    node = walk(seed, settings, limits=api.Limits(hedges=1) if copies else None)
    assert {kind for _, kind in node.finals} >= {"Served", "Fail", "Reject"}


@given(seed=st.integers(0, 2**32), attempts=st.integers(1, 6))
def test_short_walks(seed: int, attempts: int) -> None:
    walk(seed, make_settings(max_attempts=attempts), steps=40)


def test_the_same_events_lead_to_the_same_actions() -> None:
    first, second = walk(3, make_settings()), walk(3, make_settings())
    assert first.actions == second.actions


@pytest.mark.parametrize("nodes", [1, 4, 40])
def test_cold_servers_get_no_more_than_the_budget(nodes: int) -> None:
    """All nodes together stay under the stated multiple of a starting server's capacity, over any span.

    Each node takes its part, so one node is held to 1/nodes of the budget, whatever its load.
    """
    settings = make_settings(
        nodes=nodes, classes=(api.RequestClass("w", api.Effect.SAFE, 1.0, SECOND, 3 * SECOND),)
    )
    node = BalancerHarness(settings)
    warm = fleet(4)
    node.tell(warm, api.ListKind.CACHED)
    work = 50 * MS
    sent: list[int] = []
    rid = 0

    def burst(count: int, span: int) -> None:
        nonlocal rid
        for _ in range(count):
            rid += 1
            node.ask(rid)
            sent.extend(node.now for a in node.requests[rid].attempts if a.server == b"new")
            node.run_to(node.now + span // count)
            for r, book in node.requests.items():
                for n, a in enumerate(book.attempts):
                    if a.result is None and node.now - a.sent >= work:
                        node.answer(r, n)

    burst(200, 4 * SECOND)
    start = node.now
    node.tell((*warm[:1], api.Server(b"new", 0, 0, 9, up_since=start)), api.ListKind.FULL)
    burst(400, 4 * SECOND)
    assert sent or nodes > 1
    for at in sent:
        age = at - start
        share = 0.3 + 0.7 * min(1.0, age / settings.warm_up)
        count = sum(1 for other in sent if at - settings.overload_window < other <= at)
        allowed = settings.overload_multiple * share * settings.overload_window / nodes
        assert count * work <= allowed + work, (age, count)


def test_nothing_goes_to_a_draining_server() -> None:
    node = BalancerHarness()
    servers = fleet(6)
    node.tell(servers)
    gone = servers[0].id
    node.tell((api.Server(gone, 0, 0, 0, api.ServerState.DRAINING),), api.ListKind.CHANGES)
    for rid in range(300):
        node.ask(rid, rid % 5)
    assert gone not in {sid for _, _, sid in node.sent}


def test_held_requests_are_refused_in_time_when_there_is_no_server() -> None:
    node = BalancerHarness()
    node.tell(())
    for rid in range(5):
        node.ask(rid, rid)
    node.run_to(node.now + 10 * SECOND)
    assert sorted(node.finals) == [(rid, "Reject") for rid in range(5)]


def test_held_requests_go_out_once_a_server_appears() -> None:
    node = BalancerHarness()
    node.tell(())
    node.ask(1, 1)
    node.tell(fleet(2))
    node.run_to(node.now + SECOND)
    assert [rid for _, rid, _ in node.sent] == [1]
