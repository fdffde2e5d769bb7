"""The limits of a request's route: they restrict what class and settings allow, and never extend it."""

from __future__ import annotations

import random

import pytest

from hollybay.balancing import interface as api
from hollybay.balancing import retry_budgets as budgets
from hollybay.testbed.balancer_harness import MS, SECOND, BalancerHarness, fleet, make_settings

READ, WRITE, CELL, ZONE, ALL = range(5)


def make_node(**changes: object) -> BalancerHarness:
    node = BalancerHarness(make_settings(**changes))
    node.tell(fleet(12))
    return node


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [action for action in actions if isinstance(action, api.Send)]


def test_each_attempt_has_the_timeout_of_its_route() -> None:
    node = make_node()
    limits = api.Limits(attempt_timeout=70 * MS)
    (first,) = sends(node.ask(1, READ, limits=limits))
    (second,) = sends(node.answer(1, 0, api.Result.TIMEOUT))
    assert first.timeout == second.timeout == 70 * MS
    (plain,) = sends(node.ask(2, READ))
    assert plain.timeout == 0


@pytest.mark.parametrize(("attempts", "sent"), [(0, 3), (1, 1), (2, 2), (9, 3)])
def test_the_number_of_attempts_is_limited_by_route_and_settings(attempts: int, sent: int) -> None:
    node = make_node(hedging_allowed=False)
    node.ask(1, READ, limits=api.Limits(attempts=attempts))
    for n in range(sent):
        node.answer(1, n, api.Result.RESET)
    assert len(node.requests[1].attempts) == sent and node.requests[1].over


def test_an_attempt_that_never_ran_counts_towards_the_limit() -> None:
    node = make_node()
    node.ask(1, WRITE, limits=api.Limits(attempts=1))
    node.answer(1, 0, api.Result.NOT_DELIVERED)
    assert node.finals == [(1, "Reject")]


def hedge_delays(limits: api.Limits | None, cls: int = READ) -> list[int]:
    node = make_node()
    for rid in range(100, 130):  # requests credit the hedge budget
        node.ask(rid, cls)
        node.answer(rid, 0)
    start = node.now
    node.ask(1, cls, limits=limits)
    node.run_to(start + node.settings.classes[cls].deadline - 20 * MS)
    return [(sent - start) // MS for sent, rid, _ in node.sent if rid == 1][1:]


def test_hedges_and_their_delay() -> None:
    assert hedge_delays(None) == hedge_delays(api.Limits()) == hedge_delays(api.Limits(hedges=0)) == []
    assert hedge_delays(api.Limits(hedges=1)) == [100]  # half the latency objective
    assert hedge_delays(api.Limits(hedges=0, hedge_delay=30 * MS)) == []
    assert hedge_delays(api.Limits(hedges=1, hedge_delay=30 * MS)) == [30]
    assert hedge_delays(api.Limits(hedge_delay=30 * MS)) == [30]
    assert hedge_delays(api.Limits(hedges=1, hedge_delay=30 * MS, attempts=1)) == []
    assert hedge_delays(api.Limits(hedges=1, hedge_delay=30 * MS), WRITE) == []


def retry_server(cls: int, limits: api.Limits, after: int = 0) -> api.Server | None:
    """Return the server of the retry, if any, of a keyed request whose first attempt was reset."""
    node = make_node(hedging_allowed=False)
    node.ask(1, cls, limits=limits)
    node.run_to(node.now + after)
    retry = sends(node.answer(1, 0, api.Result.RESET))
    return node.lines[retry[0].server] if retry else None


def test_a_keyed_retry_uses_the_narrower_scope_of_route_and_class() -> None:
    for seed in range(20):
        node = BalancerHarness(make_settings(hedging_allowed=False), seed=seed)
        node.tell(fleet(12))
        node.ask(1, ALL, limits=api.Limits(retry_scope=api.DeduplicationScope.CELL))
        first = node.lines[node.requests[1].attempts[0].server]
        (retry,) = sends(node.answer(1, 0, api.Result.RESET))
        assert node.lines[retry.server].cell == first.cell
        node.ask(2, ALL, limits=api.Limits(retry_scope=api.DeduplicationScope.ZONE))
        first = node.lines[node.requests[2].attempts[0].server]
        (retry,) = sends(node.answer(2, 0, api.Result.RESET))
        assert node.lines[retry.server].zone == first.zone
        # A scope wider than that of the class has no effect.
        node.ask(3, CELL, limits=api.Limits(retry_scope=api.DeduplicationScope.ZONE))
        first = node.lines[node.requests[3].attempts[0].server]
        (retry,) = sends(node.answer(3, 0, api.Result.RESET))
        assert node.lines[retry.server].cell == first.cell


def test_a_keyed_retry_uses_the_narrower_window_of_route_and_class() -> None:
    assert retry_server(CELL, api.Limits(), SECOND) is not None
    assert retry_server(CELL, api.Limits(retry_window=500 * MS), 400 * MS) is not None
    assert retry_server(CELL, api.Limits(retry_window=500 * MS), 500 * MS) is None
    # The window of the class applies.
    assert retry_server(CELL, api.Limits(retry_window=60 * SECOND), 4 * SECOND) is None


def test_a_retry_budget_limits_retries_to_its_share_for_each_route() -> None:
    node = make_node(hedging_allowed=False)
    tight = api.Limits(retry_share=0.1, budget="tight")
    loose = api.Limits(retry_share=1.0, budget="loose")
    for limits, rid in ((tight, 0), (loose, 10_000)):
        for n in range(200):
            node.ask(rid + n, READ, limits=limits)
            node.answer(rid + n, 0, api.Result.RESET if n % 2 else api.Result.OK)
            node.run_to(node.now + 20 * MS)
            if len(node.requests[rid + n].attempts) > 1:
                node.answer(rid + n, 1)
    retry_counts = {
        name: sum(len(node.requests[rid + n].attempts) - 1 for n in range(200))
        for name, rid in (("tight", 0), ("loose", 10_000))
    }
    assert 10 <= retry_counts["tight"] <= 0.1 * 200 + 1
    assert retry_counts["loose"] > 2 * retry_counts["tight"]


def test_the_budgets_of_removed_routes_are_removed() -> None:
    node = make_node()
    for n in range(budgets.MAX_BUDGETS + 50):
        node.ask(n, READ, limits=api.Limits(retry_share=0.5, budget=f"r{n}"))
    assert len(node.balancer.retry_policy.route_budgets.tokens) == budgets.MAX_BUDGETS
    assert "r0" not in node.balancer.retry_policy.route_budgets.tokens


def test_the_retry_after_of_a_rejection_is_within_the_range_of_the_route() -> None:
    node = make_node(max_retry_after=9 * SECOND)
    node.balancer.load_shedder.shed_by_class = [1.0] * len(node.balancer.load_shedder.shed_by_class)
    retry_afters = set()
    for n in range(100):
        (rejection,) = node.ask(n, READ, limits=api.Limits(retry_after=(SECOND, 3 * SECOND)))
        assert isinstance(rejection, api.Reject) and SECOND <= rejection.retry_after <= 3 * SECOND
        retry_afters.add(rejection.retry_after)
    assert len(retry_afters) > 50
    (plain,) = node.ask(1000, READ)
    assert isinstance(plain, api.Reject) and plain.retry_after == 9 * SECOND


@pytest.mark.parametrize("seed", range(6))
def test_random_limits_break_no_rule(seed: int) -> None:
    """The harness asserts the four rules at each step, for random limits of the requests."""
    rng = random.Random(seed)
    node = make_node(hedging_allowed=seed % 2 == 0)
    for rid in range(400):
        limits = api.Limits(
            attempts=rng.choice([0, 1, 2, 50]),
            attempt_timeout=rng.choice([0, 50 * MS, SECOND]),
            hedges=rng.choice([-1, 0, 1]),
            hedge_delay=rng.choice([0, 10 * MS, 5 * SECOND]),
            retry_window=rng.choice([0, 100 * MS, 100 * SECOND]),
            retry_scope=rng.choice([None, *api.DeduplicationScope]),
            retry_share=rng.choice([-1.0, 0.0, 0.5, 5.0]),
            budget=rng.choice("ab"),
        )
        node.ask(rid, rng.randrange(5), limits=limits)
        in_flight = [
            (r, n) for r, b in node.requests.items() for n, a in enumerate(b.attempts) if a.result is None
        ]
        for r, n in in_flight:
            if rng.random() < 0.4:
                node.answer(r, n, rng.choice([r for r in api.Result if r != api.Result.TIMEOUT]))
        node.run_to(node.now + rng.randrange(30 * MS))
        node.check_answered()
    node.run_to(node.now + 20 * SECOND)
    assert all(book.over for book in node.requests.values()) and not node.balancer.requests
