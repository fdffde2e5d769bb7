"""Regression tests for defects that seeds of the simulation have found."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path
from typing import Any

import pytest

from hollybay.balancing import interface as api
from hollybay.balancing.estimates import REVIEW_INTERVAL_NS
from hollybay.balancing.event_loop_delay import WINDOW_NS
from hollybay.proxy import system
from hollybay.testbed.balancer_harness import MS, SAFE, SECOND, BalancerHarness, fleet, make_settings
from hollybay.testbed.loopback import CLASSES, FakeDiscovery, ScriptedServer, request, running, settings


def test_an_attempt_without_a_free_descriptor_fails_at_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        server = ScriptedServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:

            def none_left(host: str) -> Any:
                raise OSError(errno.EMFILE, "Too many open files")

            with monkeypatch.context() as patch:
                patch.setattr(system, "tcp_socket", none_left)
                for rid, cls in (("r-1", "view"), ("r-2", "send")):
                    # Nothing has run, so the request is rejected long before its deadline of ten seconds.
                    async with asyncio.timeout(5.0):
                        answer = await node.ask(request(cls, rid))
                    assert answer.startswith(b"HTTP/1.1 503 ")
            assert not server.heads and node.dispatcher.unfinished_requests == 0
            assert b" 200 " in await node.ask(request(rid="r-3"))

    asyncio.run(play())


def test_a_streamed_response_with_two_framings_is_rejected(tmp_path: Path) -> None:
    both = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n"
    streamed = [{**CLASSES[0], "streamed": True}, *CLASSES[1:]]

    async def play() -> None:
        server = ScriptedServer("s-1", both)
        words = settings(categories=streamed)
        async with running(tmp_path / "c.json", FakeDiscovery(), server, settings=words) as node:
            assert (await node.ask(request(rid="r-1"))).startswith(b"HTTP/1.1 503 ")
            server.script = both.replace(b"Content-Length: 2\r\n", b"")
            assert (await node.ask(request(rid="r-2"))).startswith(b"HTTP/1.1 200 ")

    asyncio.run(play())


def make_balancer_shed(node: BalancerHarness) -> None:
    """Make a balancer shed nearly all requests: responses to all attempts are late."""
    node.tell(fleet(4))
    for rid in range(400):
        node.ask(rid)
        node.run_to(node.now + 5 * MS)
        for n, attempt in enumerate(node.requests[rid].attempts):
            if attempt.result is None:
                attempt.sent -= 450 * MS
                node.answer(rid, n)


def test_load_shedding_ends_after_a_period_without_requests() -> None:
    node = BalancerHarness(make_settings(classes=(SAFE,)))
    make_balancer_shed(node)
    node.balancer.load_shedder.shed_share = 0.98
    node.balancer.estimates.loss_share = 0.9
    node.balancer.estimates.lost_weight = 0.9 * node.balancer.estimates.offered_weight
    node.run_to(node.now + 12 * SECOND)
    assert node.balancer.estimates.loss_share < 0.15 and node.balancer.load_shedder.shed_share == 0.0
    assert any(isinstance(action, api.Send) for action in node.ask(1000))


def test_the_loss_share_does_not_decay_while_outcomes_arrive() -> None:
    node = BalancerHarness(make_settings(classes=(SAFE,)))
    make_balancer_shed(node)
    before = node.balancer.estimates.loss_share
    assert before > 0.3
    node.balancer.estimates.load_outcomes = 8
    node.run_to(node.now + REVIEW_INTERVAL_NS)
    assert node.balancer.estimates.loss_share == pytest.approx(before)


def test_the_event_loop_delay_decays_with_time_without_requests() -> None:
    node = BalancerHarness(make_settings(classes=(SAFE,)))
    node.tell(fleet(4))
    balancer = node.balancer
    balancer.load_shedder.event_loop_delay.shed_share = 0.9
    node.run_to(node.now + 20 * WINDOW_NS)
    node.ask(1)
    assert balancer.load_shedder.event_loop_delay.shed_share == 0.0
    balancer.load_shedder.event_loop_delay.shed_share = 0.9
    balancer.load_shedder.event_loop_delay.window_start = node.now
    node.run_to(node.now + WINDOW_NS)
    node.ask(2)
    assert balancer.load_shedder.event_loop_delay.shed_share == pytest.approx(0.54)


def test_the_mean_service_time_is_the_longest_objective_until_a_class_has_responses() -> None:
    node = BalancerHarness(make_settings())
    balancer = node.balancer
    longest = max(c.latency_objective for c in balancer.settings.classes)
    balancer.estimates.offered = [5.0, 9.0, 0.0, 0.0, 0.0]
    balancer.estimates.service_times.update_mean(balancer.estimates.offered)
    assert balancer.estimates.service_times.mean == longest
    balancer.estimates.service_times.by_class[0] = 40 * MS
    balancer.estimates.service_times.update_mean(balancer.estimates.offered)
    assert balancer.estimates.service_times.mean == 40 * MS


def test_queueing_does_not_change_the_learned_service_time() -> None:
    node = BalancerHarness(make_settings(classes=(SAFE,)))
    node.tell(fleet(4))
    balancer = node.balancer
    s = next(iter(balancer.servers.values()))
    balancer.estimates.service_times.observe(s, 0, 90 * MS, in_flight=0, stale=False, servers_busy=False)
    assert balancer.estimates.service_times.by_class[0] == pytest.approx(90 * MS * s.size)
    for _ in range(50):  # idle servers respond faster: the first sample was an outlier
        balancer.estimates.service_times.observe(s, 0, 30 * MS, in_flight=0, stale=False, servers_busy=False)
    learned = balancer.estimates.service_times.by_class[0]
    assert learned < 35 * MS * s.size
    for _ in range(50):  # nine requests are ahead of it
        balancer.estimates.service_times.observe(s, 0, 900 * MS, in_flight=9, stale=False, servers_busy=False)
    s.reported_load = 8.0
    for _ in range(50):  # the server list reports a queue of other nodes' requests
        balancer.estimates.service_times.observe(s, 0, 900 * MS, in_flight=0, stale=False, servers_busy=False)
    assert balancer.estimates.service_times.by_class[0] == learned


def test_a_shorter_slow_start_interval_applies_to_a_server_at_once() -> None:
    node = BalancerHarness(make_settings(cold_share=0.3, warm_up=8 * SECOND))
    node.tell(fleet(4, up_since=node.now))
    balancer = node.balancer
    cold = list(balancer.servers.values())
    assert all(s.slow_start_interval > SECOND // 4 for s in cold)  # no service time is known yet
    balancer.estimates.offered = [9.0] * len(balancer.estimates.offered)
    times = balancer.estimates.service_times
    times.by_class = [10.0 * MS] * len(times.by_class)
    balancer.selector.rebuild(node.now)
    assert all(
        s.slow_start_send_at <= node.now + s.slow_start_interval < node.now + SECOND // 4 for s in cold
    )
