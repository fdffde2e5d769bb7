"""What all nodes together send to servers that have just started, on every path: no bench, many nodes."""

from __future__ import annotations

import random
from collections import Counter
from math import sqrt

import pytest

from hollybay.balancing import interface as api
from hollybay.testbed.balancer_harness import MS, SECOND, BalancerHarness, make_settings
from hollybay.testbed.rules import cold_allowance

WORK = 50 * MS  # of a request, at a server of size 1
ONE = (api.RequestClass("w", api.Effect.SAFE, 1.0, SECOND, 3 * SECOND),)
SERVERS, COLD = 24, 8
BEFORE, AFTER = 2 * SECOND, 4 * SECOND


def lines(up_since: int = 0) -> tuple[api.Server, ...]:
    """Servers of size 1; the first ones start at this time, 0: all are there for long."""
    return tuple(
        api.Server(b"s%02d" % n, zone=n % 2, cell=n, weight=1.0, up_since=up_since if n < COLD else 0)
        for n in range(SERVERS)
    )


class Client:
    """One node under its own traffic."""

    def __init__(self, node: BalancerHarness, chance: random.Random, rate: float) -> None:
        self.node, self.chance, self.rate = node, chance, rate
        self.rid = 0

    def play(self, until: int, failing: float) -> None:
        """Poisson arrivals until then; answers after a while, some connects fail and are repeated."""
        node = self.node
        due = node.now + int(self.chance.expovariate(self.rate) * SECOND)
        while node.now < until:
            node.run_to(min(due, node.now + 5 * MS, until))
            if node.now >= due:
                node.ask(self.rid)
                self.rid += 1
                due = node.now + int(self.chance.expovariate(self.rate) * SECOND)
            for rid, book in list(node.requests.items()):
                for n, tried in enumerate(book.attempts):
                    if tried.result is None and node.now - tried.sent >= WORK:
                        lost = self.chance.random() < failing
                        node.answer(rid, n, api.Result.NOT_DELIVERED if lost else api.Result.OK)


def sent_to_cold(
    nodes: int, seed: int, load: float, told: int | None = None
) -> tuple[list[tuple[int, object]], int, api.Settings]:
    """When each cold server was sent something, in order, since when they are up, and the settings.

    Some nodes see several times the mean, one in four dies and starts again soon after, and one in eight
    hears of the start late. told: how many nodes the settings tell, where that is wrong.
    """
    chance = random.Random(seed)
    total = load * SERVERS * SECOND / WORK
    weights = [chance.choice((0.3, 1.0, 1.0, 4.0)) for _ in range(nodes)]
    sent: list[tuple[int, object]] = []
    up = 0
    for n in range(nodes):
        changes = {"classes": ONE, "kinds": 1, "nodes": told or nodes, "node": n, "hedging_allowed": True}
        settings = make_settings(**changes)
        node = BalancerHarness(settings, seed=1000 * seed + n)
        rate = max(0.2, total * weights[n] / sum(weights))
        client = Client(node, random.Random(f"{seed} {n}"), rate)
        began = node.now
        up = began + BEFORE
        node.tell(lines())
        client.play(up + (SECOND if n % 8 == 7 else 0), 0.02)
        node.tell(lines(up))
        if n % 4 == 3:
            client.play(up + SECOND * 3 // 2, 0.02)
            sent += [(at, sid) for at, _, sid in node.sent]
            node = BalancerHarness(settings, seed=1000 * seed + n + 500, now=node.now)
            client.node = node
            node.tell(lines(up), api.ListKind.CACHED)
        client.play(up + AFTER, 0.02)
        sent += [(at, sid) for at, _, sid in node.sent]
    cold = {b"s%02d" % n for n in range(COLD)}
    return sorted((at, sid) for at, sid in sent if sid in cold and at >= up), up, settings


def worst(sent: list[tuple[int, object]], up: int, settings: api.Settings) -> float:
    """The most calls that a cold server got in a window beyond its budget N, by 2 x root of N + 2."""
    most = float("-inf")
    for sid in {sid for _, sid in sent}:
        at = [when for when, s in sent if s == sid]
        for k, end in enumerate(at):
            span = sum(end - settings.overload_window < when <= end for when in at[: k + 1])
            allowed = cold_allowance(
                1.0,
                end - up,
                settings.cold_share,
                settings.warm_up,
                settings.overload_multiple,
                settings.overload_window,
            )
            budget = allowed / WORK
            most = max(most, (span - budget) / (2 * sqrt(budget) + 2))
    return most


@pytest.mark.parametrize(("nodes", "load"), [(1, 0.9), (20, 0.5), (20, 1.4), (30, 0.9), (200, 1.4)])
def test_the_sum_over_all_nodes_stays_within_budget_and_chance(nodes: int, load: float) -> None:
    used: Counter[object] = Counter()
    for seed in range(2):
        sent, up, settings = sent_to_cold(nodes, seed, load)
        assert worst(sent, up, settings) <= 1.0, seed
        used.update(sid for _, sid in sent)
    assert len(used) == COLD and sum(used.values()) > 0


def test_the_sum_holds_where_most_nodes_of_the_settings_are_not_there() -> None:
    """30 of 90; more nodes than the settings tell cannot be, as they number them."""
    for seed in range(2):
        sent, up, settings = sent_to_cold(30, seed, 0.9, told=90)
        assert worst(sent, up, settings) <= 1.0, seed
