"""The requests that all nodes together send to servers that have just started stay within the budget."""

from __future__ import annotations

import random
from collections import Counter
from math import sqrt

import pytest

from hollybay.balancing import interface as api
from hollybay.testbed.balancer_harness import MS, SECOND, BalancerHarness, make_settings
from hollybay.testbed.rules import cold_allowance

WORK = 50 * MS  # service time of a request at a server of size 1
ONE_CLASS = (api.RequestClass("w", api.Effect.SAFE, 1.0, SECOND, 3 * SECOND),)
SERVERS, STARTING = 24, 8
BEFORE, AFTER = 2 * SECOND, 4 * SECOND


def list_entries(up_since: int = 0) -> tuple[api.Server, ...]:
    """List entries of servers of size 1; the first ones start at this time, 0: all have been up for long."""
    return tuple(
        api.Server(b"s%02d" % n, zone=n % 2, cell=n, weight=1.0, up_since=up_since if n < STARTING else 0)
        for n in range(SERVERS)
    )


class Client:
    """One node and its own traffic."""

    def __init__(self, node: BalancerHarness, rng: random.Random, rate: float) -> None:
        self.node, self.rng, self.rate = node, rng, rate
        self.rid = 0

    def play(self, until: int, failing: float) -> None:
        """Send Poisson arrivals; servers respond after WORK, some connects fail and are retried."""
        node = self.node
        due = node.now + int(self.rng.expovariate(self.rate) * SECOND)
        while node.now < until:
            node.run_to(min(due, node.now + 5 * MS, until))
            if node.now >= due:
                node.ask(self.rid)
                self.rid += 1
                due = node.now + int(self.rng.expovariate(self.rate) * SECOND)
            for rid, book in list(node.requests.items()):
                for n, attempt in enumerate(book.attempts):
                    if attempt.result is None and node.now - attempt.sent >= WORK:
                        lost = self.rng.random() < failing
                        node.answer(rid, n, api.Result.NOT_DELIVERED if lost else api.Result.OK)


def sent_to_starting(
    nodes: int, seed: int, load: float, configured_nodes: int | None = None
) -> tuple[list[tuple[int, object]], int, api.Settings]:
    """Return the attempts at starting servers (time and server) in order, their start time, and the settings.

    Some nodes get several times the mean traffic, one in four restarts soon after the servers have started,
    and one in eight gets the new list late. `configured_nodes`: the number of nodes in the settings if wrong.
    """
    rng = random.Random(seed)
    total = load * SERVERS * SECOND / WORK
    weights = [rng.choice((0.3, 1.0, 1.0, 4.0)) for _ in range(nodes)]
    sent: list[tuple[int, object]] = []
    up = 0
    for n in range(nodes):
        changes = {
            "classes": ONE_CLASS,
            "kinds": 1,
            "nodes": configured_nodes or nodes,
            "node": n,
            "hedging_allowed": True,
        }
        settings = make_settings(**changes)
        node = BalancerHarness(settings, seed=1000 * seed + n)
        rate = max(0.2, total * weights[n] / sum(weights))
        client = Client(node, random.Random(f"{seed} {n}"), rate)
        start = node.now
        up = start + BEFORE
        node.tell(list_entries())
        client.play(up + (SECOND if n % 8 == 7 else 0), 0.02)
        node.tell(list_entries(up))
        if n % 4 == 3:
            client.play(up + SECOND * 3 // 2, 0.02)
            sent += [(at, sid) for at, _, sid in node.sent]
            node = BalancerHarness(settings, seed=1000 * seed + n + 500, now=node.now)
            client.node = node
            node.tell(list_entries(up), api.ListKind.CACHED)
        client.play(up + AFTER, 0.02)
        sent += [(at, sid) for at, _, sid in node.sent]
    starting = {b"s%02d" % n for n in range(STARTING)}
    return sorted((at, sid) for at, sid in sent if sid in starting and at >= up), up, settings


def worst_excess(sent: list[tuple[int, object]], up: int, settings: api.Settings) -> float:
    """Return the largest excess of a starting server's requests in a window over its budget N, divided by
    2 * sqrt(N) + 2."""
    largest = float("-inf")
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
            largest = max(largest, (span - budget) / (2 * sqrt(budget) + 2))
    return largest


@pytest.mark.parametrize(("nodes", "load"), [(1, 0.9), (20, 0.5), (20, 1.4), (30, 0.9), (200, 1.4)])
def test_the_requests_of_all_nodes_stay_within_the_budget_but_for_chance(nodes: int, load: float) -> None:
    used: Counter[object] = Counter()
    for seed in range(2):
        sent, up, settings = sent_to_starting(nodes, seed, load)
        assert worst_excess(sent, up, settings) <= 1.0, seed
        used.update(sid for _, sid in sent)
    assert len(used) == STARTING and sum(used.values()) > 0


def test_the_requests_stay_within_the_budget_if_most_configured_nodes_do_not_exist() -> None:
    """30 of 90 nodes exist; there cannot be more nodes than configured because the settings number them."""
    for seed in range(2):
        sent, up, settings = sent_to_starting(30, seed, 0.9, configured_nodes=90)
        assert worst_excess(sent, up, settings) <= 1.0, seed
