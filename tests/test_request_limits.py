"""The module under a request's limits: they narrow what the guard allows, and never widen it."""

from __future__ import annotations

import random

import pytest

from hollybay.balancing import interface as api
from hollybay.balancing import retry_budgets as budgets
from hollybay.testbed.balancer_harness import MS, SECOND, BalancerHarness, fleet, make_settings

READ, WRITE, CELL, ZONE, ALL = range(5)


def node_of(**changes: object) -> BalancerHarness:
    node = BalancerHarness(make_settings(**changes))
    node.tell(fleet(12))
    return node


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [action for action in actions if isinstance(action, api.Send)]


def test_the_time_out_of_an_attempt_goes_with_each() -> None:
    node = node_of()
    limits = api.Limits(attempt_timeout=70 * MS)
    (first,) = sends(node.ask(1, READ, limits=limits))
    (second,) = sends(node.answer(1, 0, api.Result.TIMEOUT))
    assert first.timeout == second.timeout == 70 * MS
    (plain,) = sends(node.ask(2, READ))
    assert plain.timeout == 0


@pytest.mark.parametrize(("attempts", "sent"), [(0, 3), (1, 1), (2, 2), (9, 3)])
def test_attempts_are_no_more_than_both_allow(attempts: int, sent: int) -> None:
    node = node_of(hedging_allowed=False)
    node.ask(1, READ, limits=api.Limits(attempts=attempts))
    for n in range(sent):
        node.answer(1, n, api.Result.RESET)
    assert len(node.requests[1].attempts) == sent and node.requests[1].over


def test_an_attempt_that_never_ran_counts_too() -> None:
    node = node_of()
    node.ask(1, WRITE, limits=api.Limits(attempts=1))
    node.answer(1, 0, api.Result.NOT_DELIVERED)
    assert node.finals == [(1, "Reject")]


def copies(limits: api.Limits | None, cls: int = READ) -> list[int]:
    node = node_of()
    for rid in range(100, 130):  # copies are a share of what is asked
        node.ask(rid, cls)
        node.answer(rid, 0)
    begun = node.now
    node.ask(1, cls, limits=limits)
    node.run_to(begun + node.settings.classes[cls].deadline - 20 * MS)
    return [(sent - begun) // MS for sent, rid, _ in node.sent if rid == 1][1:]


def test_second_copies_and_their_delay() -> None:
    assert copies(None) == copies(api.Limits()) == copies(api.Limits(hedges=0)) == []
    assert copies(api.Limits(hedges=1)) == [100]  # half the aim
    assert copies(api.Limits(hedges=0, hedge_delay=30 * MS)) == []
    assert copies(api.Limits(hedges=1, hedge_delay=30 * MS)) == [30]
    assert copies(api.Limits(hedge_delay=30 * MS)) == [30]
    assert copies(api.Limits(hedges=1, hedge_delay=30 * MS, attempts=1)) == []
    assert copies(api.Limits(hedges=1, hedge_delay=30 * MS), WRITE) == []


def again(cls: int, limits: api.Limits, after: int = 0) -> api.Server | None:
    """The server of the repeat of a keyed request whose first attempt was reset after a time, if any."""
    node = node_of(hedging_allowed=False)
    node.ask(1, cls, limits=limits)
    node.run_to(node.now + after)
    repeat = sends(node.answer(1, 0, api.Result.RESET))
    return node.lines[repeat[0].server] if repeat else None


def test_a_keyed_repeat_keeps_the_narrower_group() -> None:
    for seed in range(20):
        node = BalancerHarness(make_settings(hedging_allowed=False), seed=seed)
        node.tell(fleet(12))
        node.ask(1, ALL, limits=api.Limits(retry_scope=api.DeduplicationScope.CELL))
        first = node.lines[node.requests[1].attempts[0].server]
        (repeat,) = sends(node.answer(1, 0, api.Result.RESET))
        assert node.lines[repeat.server].cell == first.cell
        node.ask(2, ALL, limits=api.Limits(retry_scope=api.DeduplicationScope.ZONE))
        first = node.lines[node.requests[2].attempts[0].server]
        (repeat,) = sends(node.answer(2, 0, api.Result.RESET))
        assert node.lines[repeat.server].zone == first.zone
        # Wider than the class says is not wider.
        node.ask(3, CELL, limits=api.Limits(retry_scope=api.DeduplicationScope.ZONE))
        first = node.lines[node.requests[3].attempts[0].server]
        (repeat,) = sends(node.answer(3, 0, api.Result.RESET))
        assert node.lines[repeat.server].cell == first.cell


def test_a_keyed_repeat_keeps_the_narrower_window() -> None:
    assert again(CELL, api.Limits(), SECOND) is not None
    assert again(CELL, api.Limits(retry_window=500 * MS), 400 * MS) is not None
    assert again(CELL, api.Limits(retry_window=500 * MS), 500 * MS) is None
    assert again(CELL, api.Limits(retry_window=60 * SECOND), 4 * SECOND) is None  # the class's own holds


def test_a_retry_budget_holds_repeats_to_its_share_route_by_route() -> None:
    node = node_of(hedging_allowed=False)
    tight = api.Limits(retry_share=0.1, budget="tight")
    loose = api.Limits(retry_share=1.0, budget="loose")
    for limits, rid in ((tight, 0), (loose, 10_000)):
        for n in range(200):
            node.ask(rid + n, READ, limits=limits)
            node.answer(rid + n, 0, api.Result.RESET if n % 2 else api.Result.OK)
            node.run_to(node.now + 20 * MS)
            if len(node.requests[rid + n].attempts) > 1:
                node.answer(rid + n, 1)
    repeats = {
        name: sum(len(node.requests[rid + n].attempts) - 1 for n in range(200))
        for name, rid in (("tight", 0), ("loose", 10_000))
    }
    assert 10 <= repeats["tight"] <= 0.1 * 200 + 1
    assert repeats["loose"] > 2 * repeats["tight"]


def test_budgets_of_routes_that_are_gone_are_forgotten() -> None:
    node = node_of()
    for n in range(budgets.MAX_BUDGETS + 50):
        node.ask(n, READ, limits=api.Limits(retry_share=0.5, budget=f"r{n}"))
    assert len(node.balancer.retry_policy.route_budgets.tokens) == budgets.MAX_BUDGETS
    assert "r0" not in node.balancer.retry_policy.route_budgets.tokens


def test_a_refusal_tells_a_time_within_the_routes_range() -> None:
    node = node_of(max_retry_after=9 * SECOND)
    node.balancer.load_shedder.shed_by_class = [1.0] * len(node.balancer.load_shedder.shed_by_class)
    told = set()
    for n in range(100):
        (refusal,) = node.ask(n, READ, limits=api.Limits(retry_after=(SECOND, 3 * SECOND)))
        assert isinstance(refusal, api.Reject) and SECOND <= refusal.retry_after <= 3 * SECOND
        told.add(refusal.retry_after)
    assert len(told) > 50
    (plain,) = node.ask(1000, READ)
    assert isinstance(plain, api.Reject) and plain.retry_after == 9 * SECOND


@pytest.mark.parametrize("seed", range(6))
def test_random_limits_break_no_rule(seed: int) -> None:
    """The books assert the four rules at each step, whatever limits requests come with."""
    chance = random.Random(seed)
    node = node_of(hedging_allowed=seed % 2 == 0)
    for rid in range(400):
        limits = api.Limits(
            attempts=chance.choice([0, 1, 2, 50]),
            attempt_timeout=chance.choice([0, 50 * MS, SECOND]),
            hedges=chance.choice([-1, 0, 1]),
            hedge_delay=chance.choice([0, 10 * MS, 5 * SECOND]),
            retry_window=chance.choice([0, 100 * MS, 100 * SECOND]),
            retry_scope=chance.choice([None, *api.DeduplicationScope]),
            retry_share=chance.choice([-1.0, 0.0, 0.5, 5.0]),
            budget=chance.choice("ab"),
        )
        node.ask(rid, chance.randrange(5), limits=limits)
        out = [(r, n) for r, b in node.requests.items() for n, a in enumerate(b.attempts) if a.result is None]
        for r, n in out:
            if chance.random() < 0.4:
                node.answer(r, n, chance.choice([r for r in api.Result if r != api.Result.TIMEOUT]))
        node.run_to(node.now + chance.randrange(30 * MS))
        node.check_answered()
    node.run_to(node.now + 20 * SECOND)
    assert all(book.over for book in node.requests.values()) and not node.balancer.requests
