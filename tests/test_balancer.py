"""Decisions of a single balancer: normal operation, failures, overload and invalid input."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from hollybay.balancing import interface as api
from hollybay.testbed.balancer_harness import MS, SECOND, BalancerHarness, fleet, make_settings

ONE_CLASS = (api.RequestClass("w", api.Effect.SAFE, 1.0, SECOND, 3 * SECOND),)


def servers(sizes: list[float], **changes: object) -> tuple[api.Server, ...]:
    return tuple(api.Server(b"s%d" % n, weight=size, **changes) for n, size in enumerate(sizes))  # type: ignore[arg-type]


def send_steadily(
    node: BalancerHarness, count: int, interval: int, response_time: int, first: int = 0
) -> Counter[object]:
    """Send requests at a constant rate, each answered after the same time; return the attempts by server."""
    for rid in range(first, first + count):
        node.ask(rid)
        node.run_to(node.now + interval)
        for r, book in node.requests.items():
            for n, a in enumerate(book.attempts):
                if a.result is None and node.now - a.sent >= response_time:
                    node.answer(r, n)
    return Counter(sid for _, rid, sid in node.sent if rid >= first)


def test_the_fastest_speed_class_with_idle_servers_comes_first() -> None:
    node = BalancerHarness(
        make_settings(classes=ONE_CLASS, zones=1, kinds=1, nodes=1, weight_mode=api.WeightMode.NOMINAL)
    )
    node.tell(servers([1.0] * 4 + [4.0] * 4))
    send_steadily(node, 100, 20 * MS, 5 * MS)
    sent = send_steadily(node, 400, 20 * MS, 5 * MS, first=1000)
    fast = sum(sent[b"s%d" % n] for n in range(4, 8))
    assert fast > 0.8 * 400  # the share of capacity of the fast servers


def test_busy_servers_are_drawn_by_capacity_and_not_by_queue_length() -> None:
    node = BalancerHarness(
        make_settings(classes=ONE_CLASS, zones=1, kinds=1, weight_mode=api.WeightMode.NOMINAL)
    )
    node.tell(servers([1.0, 3.0]))
    for rid in range(2000):
        node.ask(rid)  # no request gets a response
    sent = Counter(sid for _, _, sid in node.sent)
    assert 0.7 < sent[b"s1"] / 2000 < 0.8


def test_draws_prefer_servers_with_an_open_connection_while_it_is_open() -> None:
    """A node that owns hardly any server draws nearly all servers by capacity, and each new connection
    costs."""
    # Its rank for each of these servers is high: it may list none of them as idle.
    node = BalancerHarness(
        make_settings(
            classes=ONE_CLASS,
            zones=1,
            kinds=1,
            nodes=10_000,
            weight_mode=api.WeightMode.NOMINAL,
            idle_timeout=5 * SECOND,
        )
    )
    node.tell(servers([1.0] * 40))
    opened = send_steadily(node, 72, 50 * MS, 5 * MS)
    assert not any(s.idle_position >= 0 for s in node.balancer.servers.values())
    assert len(opened) <= 24  # it would be 33 of 40 with a single draw per request
    # All connections have been closed after the idle timeout, so no server is preferred.
    node.run_to(node.now + 5 * SECOND)
    later = send_steadily(node, 8, 600 * MS, 5 * MS, first=1000)
    assert len(later) >= 4
    # A server with an attempt of this node in flight is not preferred, either.
    assert len(send_steadily(node, 200, MS, SECOND, first=2000)) > 35


def two_zone_node(priority_weight: float, price: float) -> BalancerHarness:
    """A node that has learned the service time of its two local and two remote servers, all of size 1."""
    classes = (api.RequestClass("w", api.Effect.SAFE, priority_weight, 100 * MS, 3 * SECOND),)
    settings = make_settings(
        classes=classes,
        zones=2,
        kinds=1,
        nodes=2,
        weight_mode=api.WeightMode.NOMINAL,
        prices=api.Prices(cross_zone=price),
    )
    node = BalancerHarness(settings, seed=3)
    node.tell(tuple(api.Server(b"s%d" % n, zone=n // 2) for n in range(4)))
    send_steadily(node, 200, 40 * MS, 30 * MS)
    return node


def test_requests_avoid_a_queue_of_this_node_by_crossing_zones_at_once() -> None:
    """The share that crosses follows responses; here there are none, and the node must not wait for them."""
    node = two_zone_node(priority_weight=1.0, price=0.12)
    for rid in range(1000, 1016):
        node.ask(rid)
    sent = Counter(sid for _, rid, sid in node.sent if rid >= 1000)
    assert sent[b"s2"] + sent[b"s3"] >= 5
    assert sent[b"s0"] + sent[b"s1"] >= 5


def test_a_request_does_not_cross_zones_if_that_costs_more_than_it_saves() -> None:
    node = two_zone_node(priority_weight=1.0, price=5.0)
    for rid in range(1000, 1016):
        node.ask(rid)
    assert not any(sid in (b"s2", b"s3") for _, rid, sid in node.sent if rid >= 1000)


def test_a_server_is_ejected_for_repeated_failures_but_not_for_a_few() -> None:
    node = BalancerHarness(
        make_settings(classes=ONE_CLASS, zones=1, kinds=1, nodes=1, weight_mode=api.WeightMode.NOMINAL)
    )
    node.tell(servers([1.0] * 4))
    for rid in range(80):
        node.ask(rid)
    node.run_to(node.now + 10 * MS)
    server = node.balancer.servers[b"s0"]
    at_server = [rid for _, rid, sid in node.sent if sid == b"s0"]
    for rid in at_server[:2]:
        node.answer(rid, 0, api.Result.RESET)
    assert not server.ejected_until
    for rid in at_server[2:4]:
        node.answer(rid, 0, api.Result.ERROR)
    until = server.ejected_until
    assert until > node.now
    # Failures of attempts that were in flight at the ejection do not prolong it, and their successes end it.
    node.run_to(node.now + 10 * MS)
    node.answer(at_server[4], 0, api.Result.ERROR)
    assert server.ejected_until == until
    for rid in at_server[5:10]:
        node.answer(rid, 0)
    assert server.ejected_until <= node.now


def test_the_choice_within_a_speed_class_is_uniform() -> None:
    node = BalancerHarness(
        make_settings(classes=ONE_CLASS, zones=1, kinds=1, nodes=1, weight_mode=api.WeightMode.NOMINAL),
        seed=5,
    )
    node.tell(servers([1.0] * 5))
    sent = send_steadily(node, 1000, 10 * MS, 4 * MS)
    assert all(150 < sent[b"s%d" % n] < 250 for n in range(5))


def test_a_server_that_fails_fast_does_not_look_idle() -> None:
    """Fast errors keep a server's attempts in flight low; it must not get more requests because of that."""
    node = BalancerHarness(
        make_settings(classes=ONE_CLASS, zones=1, kinds=1, weight_mode=api.WeightMode.NOMINAL)
    )
    node.tell(servers([1.0] * 4))
    for rid in range(400):
        node.ask(rid)
        for n, a in enumerate(node.requests[rid].attempts):
            if a.result is None and a.server == b"s0":
                node.answer(rid, n, api.Result.ERROR)
        node.run_to(node.now + 20 * MS)
        for r, book in node.requests.items():
            for n, a in enumerate(book.attempts):
                if a.result is None:
                    node.answer(r, n)
    sent = Counter(sid for _, _, sid in node.sent)
    assert sent[b"s0"] < 40


def test_failures_of_all_servers_do_not_eject_all_servers() -> None:
    node = BalancerHarness(
        make_settings(classes=ONE_CLASS, zones=1, kinds=1, weight_mode=api.WeightMode.NOMINAL)
    )
    node.tell(servers([1.0] * 4))
    for rid in range(200):
        node.ask(rid)
        for n, a in enumerate(node.requests[rid].attempts):
            if a.result is None:
                node.answer(rid, n, api.Result.ERROR)
        node.run_to(node.now + 20 * MS)
    in_use = [s for s in node.balancer.servers.values() if s.speed_class is not None]
    assert len(in_use) >= 2, "at least half of the servers have to stay in use"
    before = len(node.sent)
    node.run_to(node.now + 10 * SECOND)
    for rid in range(1000, 1010):
        node.ask(rid)
        node.run_to(node.now + 20 * MS)
    assert len(node.sent) > before


def test_an_overloaded_server_that_responds_to_some_requests_is_not_ejected() -> None:
    """Seen on bc-rehearsal-web: timeouts of an overloaded zone ejected two thirds of its servers."""
    node = BalancerHarness(
        make_settings(classes=ONE_CLASS, zones=1, kinds=1, weight_mode=api.WeightMode.NOMINAL)
    )
    node.tell(servers([1.0, 1.0]))
    last: dict[object, int] = {}
    for rid in range(40):
        node.ask(rid, 0, 3 * SECOND)
        node.run_to(node.now + 100 * MS)
        book = node.requests[rid]
        for n, a in enumerate(book.attempts):
            if a.result is None:
                ok = node.now - last.get(a.server, 0) > 500 * MS
                last[a.server] = node.now if ok else last.get(a.server, 0)
                node.answer(rid, n, api.Result.OK if ok else api.Result.TIMEOUT)
    assert all(s.ejected_until == 0 for s in node.balancer.servers.values())


def test_an_unresponsive_server_is_ejected_and_used_again_later() -> None:
    node = BalancerHarness(
        make_settings(
            classes=ONE_CLASS, zones=1, kinds=1, weight_mode=api.WeightMode.NOMINAL, hedging_allowed=False
        )
    )
    node.tell(servers([1.0] * 3))
    rid = 0

    def play(silent: bool, until: int) -> list[api.ServerId]:
        nonlocal rid
        mark = len(node.sent)
        while node.now < until:
            rid += 1
            node.ask(rid, 0, 300 * MS)
            node.run_to(node.now + 20 * MS)
            for r, book in node.requests.items():
                for n, a in enumerate(book.attempts):
                    if a.result is None and not (silent and a.server == b"s0"):
                        node.answer(r, n)
        return [sid for _, _, sid in node.sent[mark:]]

    play(False, node.now + SECOND)
    during_outage = play(True, node.now + 8 * SECOND)
    assert during_outage.count(b"s0") < 0.15 * len(during_outage)
    play(False, node.now + 10 * SECOND)
    after_recovery = play(False, node.now + 2 * SECOND)
    assert after_recovery.count(b"s0") > 0.2 * len(after_recovery)


def test_reported_loads_fade_while_discovery_is_unreachable() -> None:
    """Seen on cascadia-seats: while discovery was down, outdated live weights steered traffic for 20 s."""
    node = BalancerHarness(
        make_settings(classes=ONE_CLASS, zones=1, kinds=1, weight_mode=api.WeightMode.LIVE)
    )
    node.tell(servers([1.0] * 6), api.ListKind.CACHED)
    send_steadily(node, 50, 20 * MS, 5 * MS)
    node.tell(servers([1.0] * 3 + [0.1] * 3))
    loads = [s.reported_load for s in node.balancer.servers.values()]
    assert max(loads) > 5.0
    node.run_to(node.now + 15 * SECOND)
    assert max(s.reported_load for s in node.balancer.servers.values()) < 0.5


def test_traffic_crosses_zones_only_if_the_local_zone_is_overloaded() -> None:
    """Seen on all three sites: local zones were overloaded while remote zones were idle."""
    node = BalancerHarness(
        make_settings(classes=ONE_CLASS, zones=2, kinds=1, weight_mode=api.WeightMode.NOMINAL)
    )
    both_zones = tuple(api.Server(b"s%d" % n, zone=0 if n < 4 else 1) for n in range(8))
    node.tell(both_zones)
    send_steadily(node, 300, 20 * MS, 5 * MS)
    sent = send_steadily(node, 300, 20 * MS, 5 * MS, first=1000)
    assert sum(sent[b"s%d" % n] for n in range(4, 8)) < 10

    def answer() -> None:
        for r, book in node.requests.items():
            for n, a in enumerate(book.attempts):
                slow = 900 * MS if node.lines[a.server].zone == 0 else 10 * MS
                if a.result is None and node.now - a.sent >= slow:
                    node.answer(r, n)

    mark = len(node.sent)
    for rid in range(5000, 5600):
        node.ask(rid)
        node.run_to(node.now + 20 * MS)
        answer()
    remote_count = sum(1 for _, _, sid in node.sent[mark + 300 :] if node.lines[sid].zone == 1)
    assert remote_count > 60


def test_overload_sheds_the_lowest_priority_weight_per_work_first() -> None:
    low = api.RequestClass("low", api.Effect.SAFE, 1.0, 100 * MS, 400 * MS)
    high = api.RequestClass("high", api.Effect.SAFE, 10.0, 100 * MS, 400 * MS)
    node = BalancerHarness(
        make_settings(classes=(low, high), zones=1, kinds=1, weight_mode=api.WeightMode.NOMINAL)
    )
    node.tell(servers([1.0] * 2))
    for rid in range(3000):
        node.ask(rid, rid % 2)
        node.run_to(node.now + 5 * MS)
        out = [(r, n) for r, b in node.requests.items() for n, a in enumerate(b.attempts) if a.result is None]
        for r, n in out[:1] if rid % 2 else []:
            node.answer(r, n)
    rejected = Counter(
        node.requests[rid].cls
        for rid, kind in node.finals
        if kind == "Reject" and not node.requests[rid].attempts
    )
    assert rejected[0] > 200
    assert rejected[0] > 3 * rejected[1]


def test_hedges_are_sent_only_if_the_route_asks_for_them() -> None:
    """Seen on bc-rehearsal-web: hedges of a tenth of the requests lengthened the queues they should avoid."""
    node = BalancerHarness(
        make_settings(classes=ONE_CLASS, zones=1, kinds=1, nodes=1, weight_mode=api.WeightMode.NOMINAL)
    )
    node.tell(servers([1.0] * 4))
    send_steadily(node, 100, 20 * MS, 5 * MS)
    node.ask(1000, limits=api.Limits(hedges=1))
    node.ask(1001)
    node.run_to(node.now + 700 * MS)
    assert len(node.requests[1000].attempts) == 2
    # Without a route that asks for hedges there are none: each losing hedge costs a connection, and all
    # hedges cost work that delays other requests.
    assert len(node.requests[1001].attempts) == 1


def test_invalid_or_unexpected_events_do_no_harm() -> None:
    node = BalancerHarness(make_settings())
    node.tell(fleet(4))
    nan = float("nan")
    odd = (api.Server(b"odd", 99, 99, 9, weight=nan), api.Server(b"neg", 0, 0, 9, weight=-1.0))
    node.tell(odd, api.ListKind.CHANGES)
    node.ask(1)
    node.answer(1, 0, report=(nan, -5.0, 1e300))
    b = node.balancer
    for event in (
        api.AttemptFinished(99, 0, b"s000", api.Result.OK, 5),
        api.AttemptFinished(1, 7, b"nobody", api.Result.OK, 5),
        api.ClientDisconnected(1234),
        api.TimerFired(4711),
        api.ResponseStarted(55, 0, b"s000"),
        api.ProbeResult(b"nobody", api.Result.OK, 5, (nan,)),
        api.PeerMessage(3, b"hi"),
        api.ServerList(api.ListKind.FULL, ()),
    ):
        assert all(isinstance(a, api.SetTimer) for a in b.handle(node.now, event))
    node.unavailable_since.update({sid: node.now for sid in node.lines})
    node.ask(2, 0, 1)
    node.ask(3, 1)
    node.run_to(node.now + 20 * SECOND)
    assert node.requests[2].over and node.requests[3].over


def test_an_unknown_class_fails_and_an_unknown_tenant_is_served() -> None:
    node = BalancerHarness(make_settings(tenants=(api.Tenant("a", 1.0),)))
    node.tell(fleet(4))
    assert node.balancer.handle(node.now, api.Request(9, 77, SECOND)) == [api.Fail(9)]
    actions = node.balancer.handle(node.now, api.Request(10, 0, SECOND, tenant=50))
    assert isinstance(actions[0], api.Send)


def test_a_required_poll_is_sent_and_retried_after_a_failure() -> None:
    node = BalancerHarness(make_settings(poll_required=True, poll_within=10 * SECOND))
    node.tell(fleet(4), api.ListKind.CACHED)
    node.run_to(node.now + SECOND)  # the turn of this node, one of four, has come
    assert node.actions.count(api.WatchServers(True)) == 1
    node.give(api.ServerList(api.ListKind.FAILED))
    node.run_to(node.now + 10 * SECOND)
    assert node.actions.count(api.WatchServers(True)) >= 2


def test_a_request_whose_streamed_response_has_started_is_not_hedged() -> None:
    cls = api.RequestClass("s", api.Effect.SAFE, 1.0, 100 * MS, 400 * MS, streamed=True)
    node = BalancerHarness(make_settings(classes=(cls,)))
    node.tell(fleet(4))
    node.ask(1)
    node.give(api.ResponseStarted(1, 0, node.requests[1].attempts[0].server))
    node.requests[1].deadline = node.now + 100 * SECOND
    node.run_to(node.now + 2 * SECOND)
    assert len(node.requests[1].attempts) == 1 and not node.finals


def test_few_of_many_nodes_list_a_server_as_idle() -> None:
    """Seen on bc-rehearsal-web with many nodes: every node listed every server as idle, and servers were
    in effect chosen at random."""
    listed: Counter[object] = Counter()
    for number in range(40):
        node = BalancerHarness(
            make_settings(classes=ONE_CLASS, zones=1, kinds=1, nodes=40, node=number), seed=number
        )
        node.tell(servers([1.0] * 50))
        listed.update(s.id for s in node.balancer.servers.values() if s.idle_position >= 0)
    assert sum(listed.values()) / 50 < 5
    assert len(listed) > 40, "nearly every server has to be listed by some node"


def test_a_server_that_failed_is_not_listed_as_idle_until_the_next_review() -> None:
    node = BalancerHarness(
        make_settings(classes=ONE_CLASS, zones=1, kinds=1, nodes=1, weight_mode=api.WeightMode.NOMINAL)
    )
    node.tell(servers([1.0] * 3))
    node.ask(1)
    failed = node.requests[1].attempts[0].server
    node.answer(1, 0, api.Result.ERROR)
    for rid in range(2, 30):
        node.run_to(node.now + 10 * MS)
        node.ask(rid)
        node.answer(rid, 0)
    assert failed not in {sid for _, rid, sid in node.sent if rid > 1}


def test_queue_limits_reject_the_lowest_priority_weight_per_work_first() -> None:
    classes = (
        api.RequestClass("quick", api.Effect.SAFE, 3.0, 200 * MS, SECOND),
        api.RequestClass("heavy", api.Effect.UNSAFE, 2.0, SECOND, 5 * SECOND),
        api.RequestClass("dear", api.Effect.KEYED, 10.0, SECOND, 5 * SECOND, deduplication_window=4 * SECOND),
    )
    node = BalancerHarness(
        make_settings(
            classes=classes,
            zones=1,
            kinds=1,
            nodes=1,
            hedging_allowed=False,
            weight_mode=api.WeightMode.NOMINAL,
        )
    )
    node.tell(servers([1.0]))

    def rejected(cls: int, rid: int) -> bool:
        return any(isinstance(action, api.Reject) for action in node.ask(rid, cls))

    # No service time is known yet, so no queue limit applies.
    assert not any(rejected(1, rid) for rid in range(20))
    balancer = node.balancer
    for rid in range(20):
        node.answer(rid, 0)
    balancer.estimates.offered = [1.0, 1.0, 1.0]
    times = balancer.estimates.service_times
    times.by_class, times.samples = (
        [10.0 * MS, 50.0 * MS, 40.0 * MS],
        [9, 9, 9],
    )
    balancer.selector.rebuild(node.now)
    # By class: the attempts in flight when a request was first rejected.
    first_rejected_at = {cls: 0 for cls in range(3)}
    (s,) = balancer.servers.values()
    for rid in range(100, 400, 3):
        for cls in (1, 2, 0):
            if rejected(cls, rid + cls) and not first_rejected_at[cls]:
                first_rejected_at[cls] = s.in_flight
    # The mean service time is 33 ms; three classes send in turn. The limit is 200 ms for the lowest priority
    # and four times that for the next one; the highest priority has no limit.
    assert (first_rejected_at[1], first_rejected_at[2], first_rejected_at[0]) == (9, 25, 0)


def test_a_server_that_is_ready_after_a_drain_is_used_once_even_if_it_is_slow() -> None:
    node = BalancerHarness(
        make_settings(classes=ONE_CLASS, zones=1, kinds=1, nodes=1, weight_mode=api.WeightMode.NOMINAL)
    )
    node.tell(servers([4.0] * 4 + [1.0]))
    send_steadily(node, 50, 20 * MS, 5 * MS)
    slow = api.Server(b"s4", weight=1.0)
    node.tell((replace(slow, state=api.ServerState.DRAINING),), kind=api.ListKind.CHANGES)
    node.run_to(node.now + SECOND)
    node.tell((slow,), kind=api.ListKind.CHANGES)
    sent = send_steadily(node, 20, 20 * MS, 5 * MS, first=1000)
    assert sent[b"s4"] == 1


def test_attempts_count_as_in_flight_neither_with_a_pending_body_nor_while_streaming() -> None:
    node = BalancerHarness(make_settings(classes=ONE_CLASS, zones=1, kinds=1, nodes=1))
    node.tell(servers([1.0]))
    (s,) = node.balancer.servers.values()
    node.balancer.handle(node.now, api.Request(1, 0, 2 * SECOND, body_pending=True))
    assert s.in_flight == 0
    node.balancer.handle(node.now, api.RequestCompleted(1))
    node.balancer.handle(node.now, api.RequestCompleted(1))  # a repeated event must not count twice
    assert s.in_flight == 1
    node.balancer.handle(node.now, api.ResponseStarted(1, 0, b"s0", MS))
    assert s.in_flight == 0
    node.balancer.handle(node.now, api.AttemptFinished(1, 0, b"s0", api.Result.OK, MS, final=True))
    assert s.in_flight == 0 and not node.balancer.requests
