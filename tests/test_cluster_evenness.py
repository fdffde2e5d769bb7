"""The figures of evenness on streams with a known spread: chance stays within bounds, defects exceed them."""

from __future__ import annotations

import random
from math import exp, factorial

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollybay.cluster.evenness import (
    ServerLifetime,
    Visit,
    evenness,
    expected_largest_count,
    herd,
    idle_series,
    longest_unused,
    settle_time,
    share_time,
    spread,
)
from hollybay.cluster.models import Arrival, random_by_capacity, single_dispatcher
from hollybay.cluster.records import Beat
from hollybay.cluster.run_validity import assess_run_validity
from hollybay.testbed.balancer_harness import MS, SECOND

SPAN = 30 * SECOND
LIFETIMES = [ServerLifetime(f"s{n}", 1.0 + 0.3 * (n % 2), 1, ((0, SPAN),)) for n in range(8)]


def stream(seed: int, rate: float = 60.0, mean: int = 100 * MS) -> list[Arrival]:
    chance = random.Random(seed)
    arrivals: list[Arrival] = []
    at = 0.0
    while (at := at + chance.expovariate(rate)) < SPAN / SECOND:
        arrivals.append(Arrival(f"r{len(arrivals)}", int(at * SECOND), int(mean * chance.uniform(0.7, 1.3))))
    return arrivals


def by_nodes(visits: tuple[Visit, ...], nodes: int) -> list[Visit]:
    return [
        Visit(v.rid, v.server, f"n{i % nodes}", v.at, v.began, v.left, v.work) for i, v in enumerate(visits)
    ]


@pytest.mark.parametrize("seed", range(4))
def test_a_random_draw_by_capacity_is_even_except_for_chance(seed: int) -> None:
    even = evenness(
        by_nodes(random_by_capacity(stream(seed), LIFETIMES, seed).visits, 50), LIFETIMES, 0, SPAN
    )
    assert even.by_second.cv < 0.15 and even.by_server.cv < 0.08
    assert 0.5 <= even.herd / even.herd_chance <= 1.4
    assert even.unused_s <= 2.0 * even.unused_chance_s


@pytest.mark.parametrize("seed", range(4))
def test_one_node_that_sees_everything_leaves_nothing_idle_while_others_queue(seed: int) -> None:
    arrivals = stream(seed)
    best = evenness(single_dispatcher(arrivals, LIFETIMES, seed).visits, LIFETIMES, 0, SPAN)
    chance = evenness(random_by_capacity(arrivals, LIFETIMES, seed).visits, LIFETIMES, 0, SPAN)
    assert best.idle_while_queued == 0.0 < 0.1 < chance.idle_while_queued
    took = [
        sum(played.took.values())
        for played in (single_dispatcher(arrivals, LIFETIMES), random_by_capacity(arrivals, LIFETIMES))
    ]
    assert took[0] < 0.7 * took[1]


def test_the_spread_of_unequal_work_is_measured() -> None:
    tilted = [
        ServerLifetime(x.name, x.capacity * (2.0 if n < 4 else 1.0), 1, x.healthy)
        for n, x in enumerate(LIFETIMES)
    ]
    visits = random_by_capacity(stream(1, rate=300.0), tilted, 1).visits
    assert spread(visits, LIFETIMES, 0, SPAN, SPAN).cv == pytest.approx(1 / 3, abs=0.05)
    assert spread(visits, LIFETIMES, 0, SPAN).cv == pytest.approx(1 / 3, abs=0.07)
    assert spread([], LIFETIMES, 0, SPAN).cv == 0.0


@given(st.floats(0.01, 30.0), st.floats(1.0, 1e6))
def test_the_largest_of_many_counts_is_reached_once_on_average(mean: float, windows: float) -> None:
    def above(count: int) -> float:
        return windows * max(0.0, 1.0 - sum(exp(-mean) * mean**k / factorial(k) for k in range(count + 1)))

    most = expected_largest_count(mean, windows)
    assert above(most) <= 1.0 + 1e-6
    assert most == 1 or above(most - 1) > 1.0 - 1e-6


def test_a_herd_is_many_nodes_at_one_server_within_a_service_time() -> None:
    visits = by_nodes(random_by_capacity(stream(2), LIFETIMES, 2).visits, 50)
    sound, chance = herd(visits, LIFETIMES, 0, SPAN)
    crowd = [Visit(f"x{n}", "s3", f"n{n}", SECOND + n * MS, 0, 2 * SECOND, 100 * MS) for n in range(20)]
    most, expected = herd([*visits, *crowd], LIFETIMES, 0, SPAN)
    assert most >= 20 and most / expected > 2.0 > 1.4 > sound / chance
    # The same requests from one node are not a herd.
    alone = [Visit(v.rid, v.server, "n1", v.at, v.began, v.left, v.work) for v in crowd]
    most, expected = herd([*visits, *alone], LIFETIMES, 0, SPAN)
    assert most / expected <= 1.4


def test_a_server_that_gets_nothing_while_others_queue_is_detected() -> None:
    visits = random_by_capacity(stream(3), LIFETIMES, 3).visits
    starved = [v for v in visits if v.server != "s5" or v.at < 10 * SECOND]
    gap, chance = longest_unused(starved, LIFETIMES, 0, SPAN)
    assert gap > 10.0 > 4.0 * chance
    # That is correct if the server is unhealthy or nothing queues anywhere.
    lifetimes = [
        ServerLifetime(x.name, x.capacity, 1, ((0, 10 * SECOND),)) if x.name == "s5" else x for x in LIFETIMES
    ]
    gap, chance = longest_unused(starved, lifetimes, 0, SPAN)
    assert gap <= 2.0 * chance
    quiet = [Visit(v.rid, v.server, v.node, v.at, v.at, v.at + 1, v.work) for v in starved]
    assert longest_unused(quiet, LIFETIMES, 0, SPAN)[0] == 0.0


def test_idle_while_queued_counts_the_lesser_of_both() -> None:
    waiting = [Visit(f"r{n}", "s0", "n0", 0, 0 if n else 1, SECOND, 100 * MS) for n in range(4)]
    series = idle_series(waiting, LIFETIMES[:4], 50 * MS, 100 * MS)
    assert series == [(50 * MS, 2 / 4)]  # three wait, of which one is allowed; three servers are idle
    assert idle_series(waiting, LIFETIMES[:4], 2 * SECOND, 2 * SECOND + 1)[0][1] == 0.0


def test_the_time_until_a_new_server_has_its_share() -> None:
    life = ServerLifetime("s0", 1.0, 1, ((0, SPAN),))
    visits = [Visit(f"r{n}", "s0", "n0", 5 * SECOND + n * 100 * MS, 0, 0, MS) for n in range(200)]
    took = share_time(visits, life, 0, SPAN, 10.0)
    assert took is not None and 3.0 <= took <= 5.0
    assert share_time([], life, 0, SPAN, 10.0) is None
    cold = share_time(visits[::4], life, 0, SPAN, 10.0, dict.fromkeys(range(60), 0.3))
    assert cold is not None and cold <= 5.5


def test_the_time_until_idle_while_queued_is_as_before_a_fault() -> None:
    series = [(n * 50 * MS, 0.3 if 100 <= n < 160 else 0.1) for n in range(400)]
    assert settle_time(series, 0.1, 5 * SECOND) == pytest.approx(2.7, abs=0.4)
    assert settle_time(series, 0.1, 9 * SECOND) == 0.0
    assert settle_time([(at, 0.3) for at, _ in series], 0.1, 5 * SECOND) is None


def beats(process: str, late: int = 0, starved: int = 0, until: int = SPAN) -> list[Beat]:
    return [Beat(at, process, late, starved) for at in range(0, until, 20 * MS)]


@pytest.mark.parametrize(
    ("found", "nodes", "why"),
    [
        (beats("a"), {}, "b: beats of 0.0 s"),
        ([*beats("a"), *beats("b", until=10 * SECOND)], {}, "b: beats of 10.0 s"),
        ([*beats("a"), *beats("b", late=60 * MS)], {}, "b: 100.0 % of its beats came over 40 ms late"),
        ([*beats("a", starved=5 * MS), *beats("b")], {}, "a: 25.0 % of its time without a core"),
        ([*beats("a"), *beats("b")], {"n0": 0.5, "n1": 0.0}, "nodes: 25.0 % of their time"),
    ],
)
def test_a_run_with_a_late_or_starved_harness_is_invalid(
    found: list[Beat], nodes: dict[str, float], why: str
) -> None:
    assert assess_run_validity([*beats("a"), *beats("b")], "ab", 0, SPAN, 40 * MS, 0.02, 0.15, {"n0": 0.1})
    validity = assess_run_validity(found, "ab", 0, SPAN, 40 * MS, 0.02, 0.15, nodes)
    assert not validity and any(reason.startswith(why) for reason in validity.reasons)
