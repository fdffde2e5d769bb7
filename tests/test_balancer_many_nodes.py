"""Decisions that depend on other nodes (idle index, slow start, polls), and estimates from few responses."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace
from heapq import heapify, heappop, heappush
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollybay.balancing import interface as api
from hollybay.balancing.discovery_polling import (
    MAX_BACKOFF_NS,
    MAX_POLL_WAIT_NS,
    MAX_STALENESS_NS,
    POLL_SERVICE_TIME_NS,
    QUEUED_FAILURE_NS,
    PollSchedule,
    first_poll_delay,
)
from hollybay.balancing.estimates import answer_weight
from hollybay.balancing.queueing_delay import QueueingDelay
from hollybay.balancing.rendezvous import rendezvous_rank
from hollybay.balancing.reported_failures import ReportedFailures
from hollybay.balancing.traffic_share import TrafficShare
from hollybay.balancing.zone_reachability import ZoneReachability
from hollybay.proxy.name_table import NameTable
from hollybay.testbed.balancer_harness import MS, SECOND, UNSAFE, BalancerHarness, make_settings

ONE_CLASS = (api.RequestClass("w", api.Effect.SAFE, 1.0, SECOND, 3 * SECOND),)
WORK = 50 * MS  # service time of a request at a server of size 1


def make_nodes(count: int, **changes: object) -> list[BalancerHarness]:
    return [
        BalancerHarness(
            make_settings(**{"classes": ONE_CLASS, "kinds": 1, "nodes": count, "node": n, **changes}),
            seed=n + 1,
        )
        for n in range(count)
    ]


def list_entries(count: int, load: float = 0.0, zones: int = 2, **changes: object) -> tuple[api.Server, ...]:
    """List entries of servers of size 1, with a load (requests per core) that live weights report."""
    return tuple(
        api.Server(b"s%02d" % n, zone=n % zones, cell=n, weight=1.0 / (1.0 + load), **changes)  # type: ignore[arg-type]
        for n in range(count)
    )


def play(
    node: BalancerHarness, until: int, interval: int, down: frozenset[object] = frozenset(), first: int = 0
) -> None:
    """Send requests at a constant rate; servers respond after WORK, and connects to `down` servers fail."""
    rid = first
    while node.now < until:
        node.ask(rid)
        rid += 1
        node.run_to(node.now + interval)
        answer_due_attempts(node, down)


def answer_due_attempts(node: BalancerHarness, down: frozenset[object] = frozenset()) -> None:
    for rid, book in list(node.requests.items()):
        for n, attempt in enumerate(book.attempts):
            if attempt.result is None and attempt.server in down:
                node.answer(rid, n, api.Result.NOT_DELIVERED)
            elif attempt.result is None and node.now - attempt.sent >= WORK:
                node.answer(rid, n)


@given(st.integers(1, 60), st.integers(1, 60), st.text(max_size=12))
def test_an_interval_of_ranks_holds_the_same_number_of_nodes_for_each_key(
    nodes: int, part: int, name: str
) -> None:
    owners = sum(rendezvous_rank(name, n, nodes) < part / nodes for n in range(nodes))
    assert owners == min(part, nodes)


@given(st.integers(1, 50), st.text(max_size=12))
def test_an_additional_node_shifts_a_rank_by_at_most_one_position(nodes: int, name: str) -> None:
    before = [round(rendezvous_rank(name, n, nodes) * nodes - 0.5) for n in range(nodes)]
    after = [round(rendezvous_rank(name, n, nodes + 1) * (nodes + 1) - 0.5) for n in range(nodes)]
    assert all(b - a in (0, 1) for a, b in zip(before, after, strict=True))


def test_all_nodes_together_use_the_budget_of_a_starting_server_and_stay_within_it() -> None:
    """If only a few nodes listed a starting server, it would get too little while others are busy."""
    nodes = make_nodes(40, weight_mode=api.WeightMode.LIVE, zones=1)
    began = nodes[0].now
    starting = [b"s%02d" % n for n in range(12)]
    for node in nodes:
        node.tell(list_entries(24, zones=1))
        play(node, began + 2 * SECOND, 80 * MS)
        new = tuple(api.Server(s, cell=n, up_since=node.now) for n, s in enumerate(starting))
        node.tell(new + list_entries(24, zones=1)[12:])
        play(node, began + 6 * SECOND, 80 * MS, first=1000)
    settings = nodes[0].settings
    sent = sorted((at, sid) for node in nodes for at, _, sid in node.sent if sid in starting and at > began)
    got = Counter(sid for at, sid in sent if at >= began + 2 * SECOND)
    for sid in starting:
        at = [when for when, s in sent if s == sid and when >= began + 2 * SECOND]
        for start in at:
            span = sum(start <= when < start + settings.overload_window for when in at) * WORK
            assert span <= settings.overload_multiple * settings.cold_share * settings.overload_window
    # At this age a server has at least 0.3 of its capacity: 24 requests in 4 s, most of which must be sent.
    assert sum(got.values()) / len(starting) > 0.7 * 24


def test_a_node_with_few_requests_leaves_a_lost_zone_and_detects_its_recovery() -> None:
    node = make_nodes(40)[0]
    node.tell(list_entries(40))
    local_servers = frozenset(s.id for s in list_entries(40) if s.zone == 0)
    began = node.now
    play(node, began + 2 * SECOND, 50 * MS)
    play(node, began + 4 * SECOND, 50 * MS, down=local_servers, first=1000)
    late = [sid for at, _, sid in node.sent if at >= began + 3 * SECOND]
    assert sum(sid in local_servers for sid in late) < 0.3 * len(late)
    assert not any(kind == "Reject" for rid, kind in node.finals if rid >= 1000)
    play(node, began + 7 * SECOND, 50 * MS, first=2000)
    late = [sid for at, _, sid in node.sent if at >= began + 6 * SECOND]
    assert sum(sid in local_servers for sid in late) > 0.5 * len(late)


def test_a_request_whose_local_connect_failed_is_retried_in_a_remote_zone() -> None:
    node = make_nodes(40)[0]
    node.tell(list_entries(40))
    node.ask(1)
    first = node.requests[1].attempts[0]
    assert node.lines[first.server].zone == 0
    node.answer(1, 0, api.Result.NOT_DELIVERED)
    assert node.lines[node.requests[1].attempts[1].server].zone == 1


def test_requests_do_not_cross_to_unreachable_remote_zones() -> None:
    reachability = ZoneReachability()
    for _ in range(40):
        reachability.observe_connect(local=False, failed=True, weight=0.1)
    assert reachability.remote_unreachable and reachability.remote_first_share(0.8) < 0.1
    reachability.observe_connect(local=False, failed=False, weight=0.1)
    for _ in range(8):
        reachability.observe_connect(local=False, failed=False, weight=0.1)
    assert reachability.remote_first_share(0.8) == 0.8


def test_a_zone_with_a_fifth_of_its_servers_down_is_reachable() -> None:
    reachability = ZoneReachability()
    for n in range(500):
        reachability.observe_connect(local=True, failed=n % 5 == 0, weight=0.1)
        assert reachability.remote_first_share(0.0) == 0.0


def test_a_server_that_accepts_connections_again_is_in_slow_start_before_a_list_reports_it() -> None:
    node = BalancerHarness(make_settings(classes=ONE_CLASS, zones=1, kinds=1, nodes=4))
    node.tell(list_entries(4, zones=1))
    play(node, node.now + SECOND, 20 * MS)
    down = frozenset([b"s00"])
    play(node, node.now + 4 * SECOND, 20 * MS, down=down, first=1000)
    assert sum(a.result == api.Result.NOT_DELIVERED for b in node.requests.values() for a in b.attempts) >= 2
    back = node.now
    play(node, node.now + 2 * SECOND, 20 * MS, first=2000)
    again = sum(sid == b"s00" for at, _, sid in node.sent if at >= back)
    others = sum(sid != b"s00" for at, _, sid in node.sent if at >= back) / 3
    settings = node.settings
    assert 0 < again < others
    assert (
        again * WORK <= settings.overload_multiple * settings.cold_share * 2 * SECOND / settings.nodes + WORK
    )


def test_unsafe_requests_are_not_sent_to_a_server_that_reports_failures() -> None:
    settings = make_settings(
        classes=(UNSAFE,),
        zones=1,
        kinds=1,
        nodes=40,
        report_mode=api.ReportMode.ANSWERS,
        report_fields=("errors", "rate", "queued"),
    )
    node = BalancerHarness(settings)
    node.tell(list_entries(10, zones=1))
    for rid in range(40):
        node.ask(rid)
        attempt = node.requests[rid].attempts[0]
        failing = attempt.server == b"s03"
        node.run_to(node.now + 20 * MS)
        node.answer(rid, 0, report=(6.0, 10.0, 0.0) if failing else (0.0, 16.0, 0.0))
    seen = [rid for _, rid, sid in node.sent if sid == b"s03"]
    assert len(seen) == 1  # the report of a single response, itself a success, is sufficient
    node.run_to(node.now + 8 * SECOND)  # the report is valid for 4 s, and decays afterwards
    for rid in range(100, 200):
        node.ask(rid)
        node.run_to(node.now + 20 * MS)
        node.answer(rid, 0)
    assert any(sid == b"s03" for _, rid, sid in node.sent if rid >= 100)  # its report has expired


@pytest.mark.parametrize(
    "report", [(), (1.0,), (float("nan"), 1.0, 0.0), (-1.0, 9.0, 0.0), (0.5, float("nan"), 1.0)]
)
def test_a_report_without_valid_values_has_no_failure_rate(report: api.Report) -> None:
    assert ReportedFailures(("errors", "rate", "queued")).failure_rate(report) is None
    assert ReportedFailures(("queued",)).failure_rate((3.0,)) is None


def test_load_reports_are_parsed_with_the_names_of_the_settings_and_of_the_protocol() -> None:
    names = NameTable({}, {}, {}, {}, ("fail_rate", "rate", "q"))
    assert names.parse_load_report("TEXT fail_rate=0.5, rate=11.04, q=2") == (0.5, 11.04, 2.0)
    assert names.parse_load_report("TEXT eps=0.5, qps=11.04, queue=2") == (0.5, 11.04, 2.0)
    assert names.parse_load_report("TEXT eps=0.5, queue=2") == ()


def test_shedding_ends_when_lists_report_no_load() -> None:
    """The own responses of a node with few requests show the end of congestion seconds late."""
    node = BalancerHarness(
        make_settings(classes=ONE_CLASS, zones=1, kinds=1, nodes=40, weight_mode=api.WeightMode.LIVE)
    )
    node.tell(list_entries(8, zones=1))  # the largest weight of a kind of machine is taken as its size
    node.tell(list_entries(8, load=9.0, zones=1))
    for rid in range(200):
        node.ask(rid)
        node.run_to(node.now + 40 * MS)
        if rid >= 50:  # responses take 2 s
            for n, attempt in enumerate(node.requests[rid - 50].attempts):
                if attempt.result is None:
                    node.answer(rid - 50, n)
    assert node.balancer.load_shedder.shed_share > 0.3
    answer_due_attempts(node)
    node.tell(list_entries(8, zones=1))
    play(node, node.now + 1500 * MS, 40 * MS, first=1000)
    before = len(node.finals)
    play(node, node.now + 1000 * MS, 40 * MS, first=2000)
    assert sum(kind == "Reject" for _, kind in node.finals[before:]) < 0.2 * 25


def test_the_weight_of_a_response_depends_on_the_request_rate() -> None:
    assert answer_weight(300.0) == pytest.approx(0.02)
    assert answer_weight(25.0) == pytest.approx(0.08)
    assert answer_weight(0.0) == pytest.approx(0.1)


def test_the_service_time_excludes_waiting_for_requests_of_other_nodes() -> None:
    """With 40 nodes, servers without attempts of this node still have requests of others."""
    node = BalancerHarness(
        make_settings(classes=ONE_CLASS, zones=1, kinds=1, nodes=40, weight_mode=api.WeightMode.LIVE)
    )
    node.tell(list_entries(10, zones=1))
    node.tell(list_entries(10, load=1.0, zones=1))
    for rid in range(60):
        node.ask(rid)
        node.run_to(node.now + 2 * WORK)  # a request of another node is ahead of each
        node.answer(rid, 0)
    assert node.balancer.estimates.service_times.by_class[0] == pytest.approx(WORK, rel=0.1)


def test_the_queueing_delay_is_attempts_in_flight_per_send_rate() -> None:
    queueing_delay = QueueingDelay(0)
    assert queueing_delay.estimate(0) == 0.0
    for n in range(200):  # 40 a second, each in flight for 50 ms
        now = n * 25 * MS
        queueing_delay.attempt_started(now)
        if n >= 2:
            queueing_delay.attempt_ended(now)
        queueing_delay.estimate(now)
    assert queueing_delay.estimate(now) == pytest.approx(50 * MS, rel=0.1)
    for _ in range(8):  # a stall, which no response shows as there is none
        queueing_delay.attempt_started(now)
    assert queueing_delay.estimate(now) == pytest.approx(250 * MS, rel=0.1)
    assert queueing_delay.rejection_share(now, 300 * MS) == 0.0
    assert 0.0 < queueing_delay.rejection_share(now, 120 * MS) < 1.0
    assert queueing_delay.rejection_share(now, 80 * MS) == 1.0
    assert queueing_delay.rejection_share(now, float("inf")) == 0.0
    for _ in range(30):
        queueing_delay.attempt_ended(now)
    assert queueing_delay.in_flight == 0


def test_at_a_low_rate_one_attempt_in_flight_is_no_queue_but_several_are() -> None:
    queueing_delay = QueueingDelay(0)
    now = 0
    for n in range(40):  # 1.25 a second, each in flight for 80 ms
        now = n * 800 * MS
        queueing_delay.attempt_started(now)
        queueing_delay.estimate(now)
        queueing_delay.attempt_ended(now + 80 * MS)
    queueing_delay.attempt_started(now + 800 * MS)
    # Without the prior this would count as congestion.
    assert queueing_delay.in_flight * SECOND / queueing_delay.rate > 700 * MS
    assert queueing_delay.estimate(now + 800 * MS) < 200 * MS
    for _ in range(3):
        queueing_delay.attempt_started(now + 810 * MS)
    assert queueing_delay.estimate(now + 810 * MS) > 300 * MS


RATES = ("errors", "rate")


def traffic_share_of(nodes: int, own: float, seconds: int, total: float = 200.0) -> TrafficShare:
    """The estimate of a node with `own` attempts a second while ten servers of size 1 report `total`."""
    traffic_share = TrafficShare(nodes, RATES, 0)
    due = 0.0
    for half in range(1, 2 * seconds + 1):
        due += own / 2
        while due >= 1.0:
            due -= 1.0
            traffic_share.record_attempt()
            traffic_share.observe_report((0.0, total / 10), 1.0)
        traffic_share.effective_nodes(half * SECOND // 2, 10.0)
    return traffic_share


@pytest.mark.parametrize("nodes", [13, 40, 120])
def test_the_traffic_share_does_not_depend_on_a_wrong_configured_number_of_nodes(nodes: int) -> None:
    traffic_share = traffic_share_of(nodes, 5.0, 30)
    estimate = traffic_share.effective_nodes(30 * SECOND + 1, 10.0)
    assert estimate == nodes if nodes == 40 else abs(estimate - 40.0) < 14.0
    assert traffic_share.slow_start_nodes(estimate) >= max(estimate, nodes / 3)


def test_without_valid_reports_the_configured_number_of_nodes_is_used() -> None:
    traffic_share = TrafficShare(40, ("queue",), 0)
    for _ in range(100):
        traffic_share.record_attempt()
        traffic_share.observe_report((5.0,), 1.0)
    assert traffic_share.effective_nodes(30 * SECOND, 10.0) == 40.0
    traffic_share = TrafficShare(40, RATES, 0)
    for n in range(100):
        traffic_share.observe_report(((), (1.0,), (0.0, -3.0), (0.0, float("nan")))[n % 4], 1.0)
    assert traffic_share.effective_nodes(30 * SECOND, 10.0) == 40.0


@given(
    nodes=st.integers(1, 500),
    steps=st.lists(
        st.tuples(st.integers(0, 5 * SECOND), st.integers(0, 50), st.floats(0, 1e12), st.floats(0.01, 100)),
        max_size=60,
    ),
)
def test_the_traffic_share_stays_within_its_bounds_for_all_reports(
    nodes: int, steps: list[tuple[int, int, float, float]]
) -> None:
    traffic_share = TrafficShare(nodes, RATES, 0)
    now = 0
    for span, sent, rate, size in steps:
        now += span
        for _ in range(sent):
            traffic_share.record_attempt()
        traffic_share.observe_report((0.0, rate), size)
        estimate = traffic_share.effective_nodes(now, 10.0)
        assert max(1.0, nodes / 31) <= estimate <= max(1.0, nodes * 31)
        assert traffic_share.slow_start_nodes(estimate) >= nodes / 3


VIEW = api.RequestClass("view", api.Effect.SAFE, 3.0, 120 * MS, 400 * MS, 0.25)
CALL = api.RequestClass("call", api.Effect.UNSAFE, 2.0, 720 * MS, 3 * SECOND, 0.2)


def two_classes() -> BalancerHarness:
    """One of 40 nodes, which has learned that a view takes 20 ms and a call 80 ms."""
    settings = make_settings(
        classes=(VIEW, CALL),
        zones=1,
        kinds=1,
        nodes=40,
        weight_mode=api.WeightMode.LIVE,
        hedging_allowed=False,
    )
    node = BalancerHarness(settings)
    node.tell(list_entries(20, zones=1))
    for rid in range(100):
        node.ask(rid, rid % 2)
        node.run_to(node.now + (20 if rid % 2 == 0 else 80) * MS)
        node.answer(rid, 0)
    return node


def test_the_lowest_priority_is_rejected_before_responses_or_lists_show_congestion() -> None:
    node = two_classes()
    mark = len(node.finals)
    for rid in range(1000, 1018):  # 50 a second, without a response
        node.ask(rid, rid % 2)
        node.run_to(node.now + 20 * MS)
    rejected = [rid for rid, kind in node.finals[mark:] if kind == "Reject" and rid >= 1000]
    assert len(rejected) >= 3
    assert all(rid % 2 == 1 for rid in rejected)


def test_starting_servers_get_requests_that_would_be_shed_at_other_servers() -> None:
    node = two_classes()
    starting = tuple(api.Server(b"c%02d" % n, cell=n, up_since=node.now) for n in range(12))
    node.tell(list_entries(20, load=9.0, zones=1) + starting)
    for rid in range(1000, 1050):  # attempts at the warm servers stay in flight
        node.ask(rid, 1)
        node.run_to(node.now + 100 * MS)
        for n, attempt in enumerate(node.requests[rid].attempts):
            if attempt.server in {s.id for s in starting} and attempt.result is None:
                node.answer(rid, n)
    late = range(1025, 1050)
    assert any(kind == "Reject" and rid in late for rid, kind in node.finals)
    kept = [sid for _, rid, sid in node.sent if rid in late]
    # The warm servers get few requests, while the budgets of the starting ones are still used.
    assert sum(sid in {s.id for s in starting} for sid in kept) > 0.6 * len(kept) > 0


def test_a_server_that_reports_many_failures_is_excluded_until_its_report_expires() -> None:
    settings = make_settings(
        classes=ONE_CLASS, zones=1, kinds=1, nodes=1, report_mode=api.ReportMode.ANSWERS,
        report_fields=("errors", "rate"),
    )  # fmt: skip
    node = BalancerHarness(settings)
    node.tell(list_entries(4, zones=1))
    rid = 0
    while not any(sid == b"s02" for _, _, sid in node.sent):
        node.ask(rid)
        node.run_to(node.now + 10 * MS)
        attempt = node.requests[rid].attempts[0]
        report = (9.0, 2.0) if attempt.server == b"s02" else (0.0, 10.0)
        node.answer(rid, 0, report=report)
        rid += 1
    node.run_to(node.now + SECOND)  # includes a review
    mark = node.now
    while node.now < mark + 9 * SECOND:
        rid += 1
        node.ask(rid)
        node.run_to(node.now + 50 * MS)
        node.answer(rid, 0)
    used_at = [at - mark for at, _, sid in node.sent if sid == b"s02" and at >= mark]
    assert used_at and used_at[0] > 2.5 * SECOND


def test_a_failed_connect_does_not_count_as_a_late_response() -> None:
    """Otherwise a zone that has recovered would not be used for seconds."""
    node = make_nodes(40)[0]
    node.tell(list_entries(40))
    remote_servers = frozenset(s.id for s in list_entries(40) if s.zone == 1)
    local_servers = frozenset(s.id for s in list_entries(40) if s.zone == 0)
    play(node, node.now + 4 * SECOND, 50 * MS, down=local_servers | remote_servers)
    assert node.balancer.estimates.remote_lateness == 0.0 and node.balancer.estimates.local_lateness == 0.0


def test_first_polls_do_not_coincide_if_all_nodes_start_at_once() -> None:
    nodes = 40
    at = sorted(
        first_poll_delay(rendezvous_rank("calls", n, nodes), nodes, 10 * SECOND) for n in range(nodes)
    )
    assert at[0] == 0
    assert min(b - a for a, b in pairwise(at)) >= POLL_SERVICE_TIME_NS * 0.99
    assert at[-1] < 7 * SECOND  # the longest allowed time without a poll is 10 s
    assert first_poll_delay(0.5, 1, 10 * SECOND) == 0


def polling_node(node: int) -> BalancerHarness:
    """One of 40 nodes, whose settings require polls of discovery."""
    settings = make_settings(classes=ONE_CLASS, kinds=1, nodes=40, node=node, poll_required=True)
    return BalancerHarness(replace(settings, poll_within=10 * SECOND), seed=node + 1)


def poll_in_turn(per_second: float, limit: int, seconds: int) -> tuple[int, int]:
    """Start 40 nodes at once, with a discovery that handles polls in turn, also those that have timed out;
    return the numbers of polls that were answered and that failed."""
    harnesses = [polling_node(n) for n in range(40)]
    began = harnesses[0].now
    for node in harnesses:
        node.tell(list_entries(4), api.ListKind.CACHED)
    free, answered, failed, step = began, 0, 0, 10 * MS
    due: list[tuple[int, BalancerHarness, bool]] = []
    watched = dict.fromkeys(range(40), 0)
    for now in range(began, began + seconds * SECOND, step):
        for n, node in enumerate(harnesses):
            node.run_to(now)
            polls_sent = sum(isinstance(a, api.WatchServers) for a in node.actions)
            if polls_sent > watched[n]:
                watched[n] = polls_sent
                free = max(free, now) + int(SECOND / per_second)
                late = free - now > limit
                due.append((now + limit if late else free, node, not late))
        for end in [d for d in due if d[0] <= now]:
            due.remove(end)
            answered, failed = answered + end[2], failed + (not end[2])
            end[1].tell(
                list_entries(4) if end[2] else (), api.ListKind.FULL if end[2] else api.ListKind.FAILED
            )
    return answered, failed


@pytest.mark.parametrize("per_second", [5.0, 8.0, 20.0])
def test_a_discovery_that_handles_polls_in_turn_answers_nearly_all_nodes(per_second: float) -> None:
    """If all polls came at once, 16 of 40 would be in time, and each round of retries would queue behind the
    last."""
    answered, failed = poll_in_turn(per_second, 2 * SECOND, 20)
    assert answered == 40
    assert failed <= 8


def test_polls_are_spaced_after_the_watches_of_all_nodes_broke() -> None:
    """By the time that discovery needs for one poll, unless the last poll would then be too late."""
    for nodes in (2, 10, 25):
        at = sorted(
            PollSchedule(rendezvous_rank("calls", n, nodes), nodes, 10 * SECOND).poll_failed(0, 0.5)
            for n in range(nodes)
        )
        assert min(b - a for a, b in pairwise(at)) >= 0.99 * POLL_SERVICE_TIME_NS
    at = [
        PollSchedule(rendezvous_rank("calls", n, 200), 200, 10 * SECOND).poll_failed(0, 0.5)
        for n in range(200)
    ]
    assert 0.9 * (MAX_STALENESS_NS - MAX_POLL_WAIT_NS) < max(at) <= MAX_STALENESS_NS - MAX_POLL_WAIT_NS


@pytest.mark.parametrize("nodes", [1, 40, 200])
@pytest.mark.parametrize("took", [0, SECOND, MAX_POLL_WAIT_NS])
def test_a_failed_poll_is_followed_by_one_that_is_answered_in_time(nodes: int, took: int) -> None:
    """In the worst case discovery recovers just after the start of a poll that it no longer answers."""
    schedule = PollSchedule(rendezvous_rank("calls", 0, nodes), nodes, 10 * SECOND)
    now = 0
    delays = []
    for _ in range(20):
        schedule.poll_started(now)
        delays.append(schedule.poll_failed(now + took, 1.0))
        if took < QUEUED_FAILURE_NS:
            assert took + delays[-1] + MAX_POLL_WAIT_NS <= MAX_STALENESS_NS
        now += took + delays[-1]
    # The first delay satisfies this even if polls are queued.
    assert took + delays[0] + MAX_POLL_WAIT_NS <= MAX_STALENESS_NS
    assert max(delays) <= MAX_BACKOFF_NS
    assert delays[0] < delays[-1] or nodes >= 25


class SerialDiscovery:
    """Discovery as one service that handles polls in turn, each in the time `each` (ns), also those that have
    failed after `limit` (ns); it is down until the time `back` (ns), and polls fail at once until then."""

    def __init__(self, each: int, back: int, limit: int = 2 * SECOND) -> None:
        self.each, self.back, self.limit = each, back, limit
        self.free = back
        self.polls = 0

    def poll(self, now: int) -> tuple[int, bool]:
        """Return when the poll ends, and whether it ends with a list."""
        self.polls += 1
        if now < self.back:
            return now, False
        self.free = max(self.free, now) + self.each
        late = self.free > now + self.limit
        return (now + self.limit, False) if late else (self.free, True)


def delays_after_recovery(nodes: int, all_polls: float, seed: int) -> tuple[list[float], int]:
    """All watches break at 0, and discovery is down for 8 s: return when (s after its recovery) each node has
    a list, and the number of polls. It needs `all_polls` seconds for one poll of every node, but at most
    0.5 s for one poll."""
    rng = random.Random(seed)
    back = 8 * SECOND
    discovery = SerialDiscovery(int(min(all_polls / nodes, 0.5) * SECOND), back)
    schedules = [PollSchedule(rendezvous_rank("calls", n, nodes), nodes, 10 * SECOND) for n in range(nodes)]
    due = [(schedule.poll_failed(0, rng.random()), n, False, False) for n, schedule in enumerate(schedules)]
    heapify(due)
    delays: list[float] = []
    while due and len(delays) < nodes and due[0][0] < back + 60 * SECOND:
        now, n, ended, whole = heappop(due)
        if not ended:
            schedules[n].poll_started(now)
            end, whole = discovery.poll(now)
            heappush(due, (end, n, True, whole))
        elif whole:
            delays.append((now - back) / SECOND)
        else:
            heappush(due, (now + schedules[n].poll_failed(now, rng.random()), n, False, False))
    return delays, discovery.polls


@pytest.mark.parametrize("nodes", [1, 40, 200])
@pytest.mark.parametrize("all_polls", [2.0, 4.0])
def test_all_nodes_get_a_list_in_time_after_discovery_recovers(nodes: int, all_polls: float) -> None:
    for seed in range(10):
        delays, _ = delays_after_recovery(nodes, all_polls, seed)
        assert len(delays) == nodes and max(delays) <= MAX_STALENESS_NS / SECOND


@pytest.mark.parametrize("nodes", [40, 200])
def test_a_discovery_that_cannot_answer_all_nodes_in_time_answers_all_soon_after(nodes: int) -> None:
    """It needs 8 s for one poll of every node, so not all can be answered within 6 s. Still every node is
    answered, which fails if each round of retries is queued behind the previous one."""
    for seed in range(10):
        delays, polls = delays_after_recovery(nodes, 8.0, seed)
        assert len(delays) == nodes and max(delays) <= 40.0
        assert sorted(delays)[nodes // 3] <= MAX_STALENESS_NS / SECOND
        assert polls <= 8 * nodes


def test_a_timeout_on_an_open_connection_does_not_show_that_a_zone_is_reachable() -> None:
    """A machine that is lost does not respond on open connections, and accepts no new ones."""
    node = make_nodes(40)[0]
    node.tell(list_entries(40))
    local_servers = frozenset(s.id for s in list_entries(40) if s.zone == 0)
    play(node, node.now + 2 * SECOND, 50 * MS, down=local_servers)
    share = node.balancer.estimates.zone_reachability.local_failure_rate
    assert share > 0.25
    rid, silent = 1000, None
    while silent is None:
        rid += 1
        node.ask(rid)
        silent = next(
            (n for n, a in enumerate(node.requests[rid].attempts) if a.server in local_servers), None
        )
    node.answer(rid, silent, api.Result.TIMEOUT)
    assert node.balancer.estimates.zone_reachability.local_failure_rate == share
    assert all(s.up_since == 0 for s in node.balancer.servers.values())
