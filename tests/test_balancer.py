"""The ordinary path and each departure from it, without a bench."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from hollybay.balancing import interface as api
from hollybay.testbed.balancer_harness import MS, SECOND, BalancerHarness, fleet, make_settings

ONE = (api.RequestClass("w", api.Effect.SAFE, 1.0, SECOND, 3 * SECOND),)


def servers(sizes: list[float], **changes: object) -> tuple[api.Server, ...]:
    return tuple(api.Server(b"s%d" % n, weight=size, **changes) for n, size in enumerate(sizes))  # type: ignore[arg-type]


def steady(node: BalancerHarness, count: int, every: int, work: int, first: int = 0) -> Counter[object]:
    """Requests at an even pace, each answered after the same time; how many went where."""
    for rid in range(first, first + count):
        node.ask(rid)
        node.run_to(node.now + every)
        for r, book in node.requests.items():
            for n, a in enumerate(book.attempts):
                if a.result is None and node.now - a.sent >= work:
                    node.answer(r, n)
    return Counter(sid for _, rid, sid in node.sent if rid >= first)


def test_the_fastest_idle_class_comes_first() -> None:
    node = BalancerHarness(
        make_settings(classes=ONE, zones=1, kinds=1, nodes=1, weight_mode=api.WeightMode.NOMINAL)
    )
    node.tell(servers([1.0] * 4 + [4.0] * 4))
    steady(node, 100, 20 * MS, 5 * MS)
    sent = steady(node, 400, 20 * MS, 5 * MS, first=1000)
    fast = sum(sent[b"s%d" % n] for n in range(4, 8))
    assert fast > 0.8 * 400  # its capacity share


def test_all_busy_draws_by_capacity_not_by_depth() -> None:
    node = BalancerHarness(make_settings(classes=ONE, zones=1, kinds=1, weight_mode=api.WeightMode.NOMINAL))
    node.tell(servers([1.0, 3.0]))
    for rid in range(2000):
        node.ask(rid)  # nothing is ever answered
    sent = Counter(sid for _, _, sid in node.sent)
    assert 0.7 < sent[b"s1"] / 2000 < 0.8


def test_draws_prefer_a_kept_connection_and_only_while_it_is_kept() -> None:
    """Where a node is on the idle list of hardly any server, nearly all is drawn, and each new one costs."""
    # Its lot for each of these servers is far down: it is on none of their idle lists.
    node = BalancerHarness(
        make_settings(
            classes=ONE,
            zones=1,
            kinds=1,
            nodes=10_000,
            weight_mode=api.WeightMode.NOMINAL,
            idle_timeout=5 * SECOND,
        )
    )
    node.tell(servers([1.0] * 40))
    opened = steady(node, 72, 50 * MS, 5 * MS)
    assert not any(s.idle_position >= 0 for s in node.balancer.servers.values())
    assert len(opened) <= 24  # 33 of 40 were each draw taken as it comes
    # All are closed when they have rested for too long, and none of them is better than another.
    node.run_to(node.now + 5 * SECOND)
    later = steady(node, 8, 600 * MS, 5 * MS, first=1000)
    assert len(later) >= 4
    # One that has a request of this node in hand is no better, either.
    assert len(steady(node, 200, MS, SECOND, first=2000)) > 35


def near_and_far(worth: float, price: float) -> BalancerHarness:
    """A node that knows its two near and two far servers, all of one size, and how long they take."""
    classes = (api.RequestClass("w", api.Effect.SAFE, worth, 100 * MS, 3 * SECOND),)
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
    steady(node, 200, 40 * MS, 30 * MS)
    return node


def test_a_queue_of_this_node_s_own_crosses_zones_at_once() -> None:
    """The share that crosses follows answers; here none comes, and none may be waited for."""
    node = near_and_far(worth=1.0, price=0.12)
    for rid in range(1000, 1016):
        node.ask(rid)
    sent = Counter(sid for _, rid, sid in node.sent if rid >= 1000)
    assert sent[b"s2"] + sent[b"s3"] >= 5
    assert sent[b"s0"] + sent[b"s1"] >= 5


def test_a_crossing_that_costs_more_than_it_saves_is_not_made() -> None:
    node = near_and_far(worth=1.0, price=5.0)
    for rid in range(1000, 1016):
        node.ask(rid)
    assert not any(sid in (b"s2", b"s3") for _, rid, sid in node.sent if rid >= 1000)


def test_a_few_failures_of_any_server_pause_none_and_steady_ones_do() -> None:
    node = BalancerHarness(
        make_settings(classes=ONE, zones=1, kinds=1, nodes=1, weight_mode=api.WeightMode.NOMINAL)
    )
    node.tell(servers([1.0] * 4))
    for rid in range(80):
        node.ask(rid)
    node.run_to(node.now + 10 * MS)
    server = node.balancer.servers[b"s0"]
    on_it = [rid for _, rid, sid in node.sent if sid == b"s0"]
    for rid in on_it[:2]:
        node.answer(rid, 0, api.Result.RESET)
    assert not server.ejected_until
    for rid in on_it[2:4]:
        node.answer(rid, 0, api.Result.ERROR)
    until = server.ejected_until
    assert until > node.now
    # What was out already says nothing new when it fails, and takes the server back when it is answered.
    node.run_to(node.now + 10 * MS)
    node.answer(on_it[4], 0, api.Result.ERROR)
    assert server.ejected_until == until
    for rid in on_it[5:10]:
        node.answer(rid, 0)
    assert server.ejected_until <= node.now


def test_within_a_class_the_choice_is_uniform() -> None:
    node = BalancerHarness(
        make_settings(classes=ONE, zones=1, kinds=1, nodes=1, weight_mode=api.WeightMode.NOMINAL), seed=5
    )
    node.tell(servers([1.0] * 5))
    sent = steady(node, 1000, 10 * MS, 4 * MS)
    assert all(150 < sent[b"s%d" % n] < 250 for n in range(5))


def test_a_server_that_errs_quickly_does_not_look_idle() -> None:
    """DESIGN: quick errors clear a server's count; it must not draw more work for it."""
    node = BalancerHarness(make_settings(classes=ONE, zones=1, kinds=1, weight_mode=api.WeightMode.NOMINAL))
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


def test_a_shared_fault_does_not_eject_the_fleet() -> None:
    node = BalancerHarness(make_settings(classes=ONE, zones=1, kinds=1, weight_mode=api.WeightMode.NOMINAL))
    node.tell(servers([1.0] * 4))
    for rid in range(200):
        node.ask(rid)
        for n, a in enumerate(node.requests[rid].attempts):
            if a.result is None:
                node.answer(rid, n, api.Result.ERROR)
        node.run_to(node.now + 20 * MS)
    near = [s for s in node.balancer.servers.values() if s.speed_class is not None]
    assert len(near) >= 2, "at least half of the fleet stays in use"
    before = len(node.sent)
    node.run_to(node.now + 10 * SECOND)
    for rid in range(1000, 1010):
        node.ask(rid)
        node.run_to(node.now + 20 * MS)
    assert len(node.sent) > before


def test_an_overloaded_server_that_answers_some_is_not_paused() -> None:
    """Met on bc-rehearsal-web: time-outs of an overloaded zone paused two thirds of it."""
    node = BalancerHarness(make_settings(classes=ONE, zones=1, kinds=1, weight_mode=api.WeightMode.NOMINAL))
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


def test_a_silent_server_is_paused_and_tried_again() -> None:
    node = BalancerHarness(
        make_settings(
            classes=ONE, zones=1, kinds=1, weight_mode=api.WeightMode.NOMINAL, hedging_allowed=False
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
    sick = play(True, node.now + 8 * SECOND)
    assert sick.count(b"s0") < 0.15 * len(sick)
    play(False, node.now + 10 * SECOND)
    well = play(False, node.now + 2 * SECOND)
    assert well.count(b"s0") > 0.2 * len(well)


def test_frozen_weights_fade_when_the_list_is_out_of_reach() -> None:
    """Met on cascadia-seats: with the list down, live weights froze and steered for 20 s."""
    node = BalancerHarness(make_settings(classes=ONE, zones=1, kinds=1, weight_mode=api.WeightMode.LIVE))
    node.tell(servers([1.0] * 6), api.ListKind.CACHED)
    steady(node, 50, 20 * MS, 5 * MS)
    node.tell(servers([1.0] * 3 + [0.1] * 3))
    loads = [s.reported_load for s in node.balancer.servers.values()]
    assert max(loads) > 5.0
    node.run_to(node.now + 15 * SECOND)
    assert max(s.reported_load for s in node.balancer.servers.values()) < 0.5


def test_an_overloaded_zone_spills_and_near_servers_come_first_otherwise() -> None:
    """Met on all three sites: home zones overloaded while far zones idled."""
    node = BalancerHarness(make_settings(classes=ONE, zones=2, kinds=1, weight_mode=api.WeightMode.NOMINAL))
    fleet2 = tuple(api.Server(b"s%d" % n, zone=0 if n < 4 else 1) for n in range(8))
    node.tell(fleet2)
    steady(node, 300, 20 * MS, 5 * MS)
    sent = steady(node, 300, 20 * MS, 5 * MS, first=1000)
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
    far = sum(1 for _, _, sid in node.sent[mark + 300 :] if node.lines[sid].zone == 1)
    assert far > 60


def test_overload_sheds_the_least_worth_for_its_work_first() -> None:
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
    refused = Counter(
        node.requests[rid].cls
        for rid, kind in node.finals
        if kind == "Reject" and not node.requests[rid].attempts
    )
    assert refused[0] > 200
    assert refused[0] > 3 * refused[1]


def test_copies_only_from_silent_servers_while_answers_are_on_time() -> None:
    """Met on bc-rehearsal-web: copies at a tenth of requests fed the queues they fled from."""
    node = BalancerHarness(
        make_settings(classes=ONE, zones=1, kinds=1, nodes=1, weight_mode=api.WeightMode.NOMINAL)
    )
    node.tell(servers([1.0] * 4))
    steady(node, 100, 20 * MS, 5 * MS)
    node.ask(1000, limits=api.Limits(hedges=1))
    node.ask(1001)
    node.run_to(node.now + 700 * MS)
    assert len(node.requests[1000].attempts) == 2
    # Unasked, each copy that loses costs a connection, and all of them work that others wait for.
    assert len(node.requests[1001].attempts) == 1


def test_odd_input_does_no_harm() -> None:
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


def test_a_list_that_must_be_asked_is_watched_and_asked_again() -> None:
    node = BalancerHarness(make_settings(poll_required=True, poll_within=10 * SECOND))
    node.tell(fleet(4), api.ListKind.CACHED)
    node.run_to(node.now + SECOND)  # its turn among four nodes
    assert node.actions.count(api.WatchServers(True)) == 1
    node.give(api.ServerList(api.ListKind.FAILED))
    node.run_to(node.now + 10 * SECOND)
    assert node.actions.count(api.WatchServers(True)) >= 2


def test_a_stream_that_began_is_not_copied() -> None:
    cls = api.RequestClass("s", api.Effect.SAFE, 1.0, 100 * MS, 400 * MS, streamed=True)
    node = BalancerHarness(make_settings(classes=(cls,)))
    node.tell(fleet(4))
    node.ask(1)
    node.give(api.ResponseStarted(1, 0, node.requests[1].attempts[0].server))
    node.requests[1].deadline = node.now + 100 * SECOND
    node.run_to(node.now + 2 * SECOND)
    assert len(node.requests[1].attempts) == 1 and not node.finals


def test_few_of_many_nodes_take_a_server_for_idle() -> None:
    """Met on bc-rehearsal-web at size: every node saw every server idle, and chance alone spread the work."""
    listed: Counter[object] = Counter()
    for number in range(40):
        node = BalancerHarness(
            make_settings(classes=ONE, zones=1, kinds=1, nodes=40, node=number), seed=number
        )
        node.tell(servers([1.0] * 50))
        listed.update(s.id for s in node.balancer.servers.values() if s.idle_position >= 0)
    assert sum(listed.values()) / 50 < 5
    assert len(listed) > 40, "nearly every server is on some list"


def test_a_failure_keeps_a_server_off_the_idle_list_until_the_next_review() -> None:
    node = BalancerHarness(
        make_settings(classes=ONE, zones=1, kinds=1, nodes=1, weight_mode=api.WeightMode.NOMINAL)
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


def test_a_jam_is_kept_from_growing_at_the_cost_of_the_least_worth_for_its_work() -> None:
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

    def refused(cls: int, rid: int) -> bool:
        return any(isinstance(action, api.Reject) for action in node.ask(rid, cls))

    # Nothing is known of their work yet: nobody is refused for it.
    assert not any(refused(1, rid) for rid in range(20))
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
    told = {cls: 0 for cls in range(3)}  # how many were ahead when each class was first refused
    (s,) = balancer.servers.values()
    for rid in range(100, 400, 3):
        for cls in (1, 2, 0):
            if refused(cls, rid + cls) and not told[cls]:
                told[cls] = s.in_flight
    # 33 ms each, three in a row: 200 ms for the worst, four times that for the next, no end for the best.
    assert (told[1], told[2], told[0]) == (9, 25, 0)


def test_a_server_that_is_back_from_a_drain_is_used_once_however_slow_it_is() -> None:
    node = BalancerHarness(
        make_settings(classes=ONE, zones=1, kinds=1, nodes=1, weight_mode=api.WeightMode.NOMINAL)
    )
    node.tell(servers([4.0] * 4 + [1.0]))
    steady(node, 50, 20 * MS, 5 * MS)
    slow = api.Server(b"s4", weight=1.0)
    node.tell((replace(slow, state=api.ServerState.DRAINING),), kind=api.ListKind.CHANGES)
    node.run_to(node.now + SECOND)
    node.tell((slow,), kind=api.ListKind.CHANGES)
    sent = steady(node, 20, 20 * MS, 5 * MS, first=1000)
    assert sent[b"s4"] == 1


def test_a_body_on_its_way_keeps_no_server_busy_and_a_long_answer_frees_it() -> None:
    node = BalancerHarness(make_settings(classes=ONE, zones=1, kinds=1, nodes=1))
    node.tell(servers([1.0]))
    (s,) = node.balancer.servers.values()
    node.balancer.handle(node.now, api.Request(1, 0, 2 * SECOND, body_pending=True))
    assert s.in_flight == 0
    node.balancer.handle(node.now, api.RequestCompleted(1))
    node.balancer.handle(node.now, api.RequestCompleted(1))  # told twice it counts once
    assert s.in_flight == 1
    node.balancer.handle(node.now, api.ResponseStarted(1, 0, b"s0", MS))
    assert s.in_flight == 0
    node.balancer.handle(node.now, api.AttemptFinished(1, 0, b"s0", api.Result.OK, MS, final=True))
    assert s.in_flight == 0 and not node.balancer.requests
