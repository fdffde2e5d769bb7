"""Seeded random sequences of valid events: the balancer's harness asserts the four rules at every step."""

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
    """Play requests with all results, drains, restarts, new and lost servers, failed polls, disconnects."""
    rng = random.Random(seed)
    node = BalancerHarness(settings, seed)
    servers = {s.id: s for s in fleet(12)}
    node.tell(tuple(servers.values()), api.ListKind.CACHED)
    fresh = 100
    for rid in range(steps):
        roll = rng.random()
        if roll < 0.55:
            time_left = rng.choice([0, 0, 0, 30 * MS, 2 * MS, 1])
            node.ask(rid, rng.randrange(len(settings.classes)), time_left, rng.randrange(5), limits)
        elif roll < 0.60:
            sid = rng.choice(list(servers))
            old = servers[sid]
            state = rng.choice([api.ServerState.DRAINING, api.ServerState.GONE, api.ServerState.READY])
            since = node.now - rng.randrange(SECOND) if state == api.ServerState.READY else old.up_since
            entry = api.Server(sid, old.zone, old.kind, old.cell, state, old.weight, since)
            servers[sid] = entry
            node.tell((entry,), api.ListKind.CHANGES)
            if state == api.ServerState.GONE:
                del servers[sid]
        elif roll < 0.63:
            fresh += 1
            entry = api.Server(b"n%d" % fresh, fresh % 2, fresh % 3, fresh // 4, up_since=node.now)
            servers[entry.id] = entry
            kind = rng.choice([api.ListKind.CHANGES, api.ListKind.FULL])
            node.tell((entry,) if kind == api.ListKind.CHANGES else tuple(servers.values()), kind)
        elif roll < 0.64:
            node.give(api.ServerList(api.ListKind.FAILED))
        elif roll < 0.67:
            open_ids = [r for r, b in node.requests.items() if not b.over]
            if open_ids:
                node.leave(rng.choice(open_ids))
        elif roll < 0.70:
            node.run_to(node.now + rng.randrange(2 * SECOND))
        in_flight = [
            (r, n) for r, b in node.requests.items() for n, a in enumerate(b.attempts) if a.result is None
        ]
        for r, n in in_flight:
            if rng.random() < 0.3:
                results = [
                    x for x in api.Result if x != api.Result.TIMEOUT or node.now >= node.requests[r].deadline
                ]
                node.answer(r, n, api.Result.OK if rng.random() < 0.6 else rng.choice(results))
        node.run_to(node.now + rng.randrange(20 * MS))
        node.check_answered()
    node.run_to(node.now + 20 * SECOND)
    assert all(book.over for book in node.requests.values())
    assert not node.balancer.requests, "finished requests are still tracked"
    return node


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("hedging_allowed", [True, False])
def test_random_events_break_no_rule(seed: int, hedging_allowed: bool) -> None:
    weights = list(api.WeightMode)[seed % 4]
    settings = make_settings(hedging_allowed=hedging_allowed, weight_mode=weights)
    node = walk(seed, settings, limits=api.Limits(hedges=1) if hedging_allowed else None)
    assert {kind for _, kind in node.finals} >= {"Served", "Fail", "Reject"}


@given(seed=st.integers(0, 2**32), attempts=st.integers(1, 6))
def test_short_random_sequences_break_no_rule(seed: int, attempts: int) -> None:
    walk(seed, make_settings(max_attempts=attempts), steps=40)


def test_the_same_events_lead_to_the_same_actions() -> None:
    first, second = walk(3, make_settings()), walk(3, make_settings())
    assert first.actions == second.actions


@pytest.mark.parametrize("nodes", [1, 4, 40])
def test_starting_servers_get_no_more_than_their_budget(nodes: int) -> None:
    """All nodes together stay below the configured multiple of a starting server's capacity in any window.

    Each node uses its share, so that one node is limited to 1/nodes of the budget at any load.
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


def test_a_draining_server_gets_no_attempts() -> None:
    node = BalancerHarness()
    servers = fleet(6)
    node.tell(servers)
    gone = servers[0].id
    node.tell((api.Server(gone, 0, 0, 0, api.ServerState.DRAINING),), api.ListKind.CHANGES)
    for rid in range(300):
        node.ask(rid, rid % 5)
    assert gone not in {sid for _, _, sid in node.sent}


def test_waiting_requests_are_rejected_in_time_if_there_is_no_server() -> None:
    node = BalancerHarness()
    node.tell(())
    for rid in range(5):
        node.ask(rid, rid)
    node.run_to(node.now + 10 * SECOND)
    assert sorted(node.finals) == [(rid, "Reject") for rid in range(5)]


def test_waiting_requests_are_sent_once_a_server_appears() -> None:
    node = BalancerHarness()
    node.tell(())
    node.ask(1, 1)
    node.tell(fleet(2))
    node.run_to(node.now + SECOND)
    assert [rid for _, rid, _ in node.sent] == [1]
