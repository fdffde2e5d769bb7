"""A node whose event loop is late accepts waiting clients at once, does not count its own delay as that of
servers, and rejects requests early."""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import replace
from pathlib import Path

import pytest

from hollybay.balancing import Balancer
from hollybay.balancing import interface as api
from hollybay.proxy.downstream.client_context import ACCEPT_BATCH
from hollybay.testbed.balancer_harness import MS, SECOND, fleet, make_settings
from hollybay.testbed.loopback import (
    LIMIT,
    OK,
    FakeDiscovery,
    ScriptedServer,
    StalledServer,
    call,
    read_message,
    request,
    round_trip,
    running,
    settings,
)

CAPS = {**settings()["caps"], "retry-after": True, "max-retry-after": 2 * SECOND}


def test_connections_opened_while_the_loop_was_busy_are_accepted_at_once(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(
            tmp_path / "c.json",
            FakeDiscovery(),
            ScriptedServer("s-1"),
            adjust=lambda c: replace(c, sockets=1024),
        ) as node:
            waiting = [call(node, b"") for _ in range(20 * ACCEPT_BATCH)]
            turns = 0
            while len(node.clients.connections) < len(waiting):
                await asyncio.sleep(0)
                turns += 1
                assert turns <= 10  # with one batch per iteration of the loop it would be at least 20
            for sock in waiting:
                sock.close()

    asyncio.run(play())


def test_a_request_that_is_read_too_late_gets_no_attempt(tmp_path: Path) -> None:
    async def play() -> None:
        server = ScriptedServer("s-1")
        async with running(
            tmp_path / "c.json", FakeDiscovery(), server, settings=settings(caps=CAPS)
        ) as node:
            reader, writer = await node.connect()
            async with asyncio.timeout(LIMIT):
                writer.write(request(rid="r-1"))
                assert b" 200 " in (await read_message(reader))[0]
                (conn,) = node.clients.connections
                writer.write(request(rid="r-2", extra=b"X-Time-Left-Ms: 20\r\n"))
                while not conn.unread_bytes() or conn.read_delay()[1] < 40:
                    pass  # block the event loop
                head, _ = await read_message(reader)
            assert b" 503 " in head and b"retry-after: 2.000" in head
            assert len(server.heads) == 1
            writer.transport.abort()

    asyncio.run(play())


def test_a_client_that_disconnects_before_its_request_is_read_causes_no_attempt(tmp_path: Path) -> None:
    async def play() -> None:
        server = ScriptedServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:
            assert b" 200 " in await node.ask(request(rid="r-0"))
            call(node, request(rid="r-1")).close()
            assert b" 200 " in await node.ask(request(rid="r-2"))
            async with asyncio.timeout(LIMIT):
                while node.clients.connections:
                    await asyncio.sleep(0)
            assert len(server.heads) == 2 and not any(b"r-1" in head for head in server.heads)
            assert not node.dispatcher.requests

    asyncio.run(play())


def test_the_delay_of_the_node_does_not_count_as_response_time_of_the_server(tmp_path: Path) -> None:
    async def play() -> None:
        go = asyncio.Event()

        async def write_nothing(_head: bytes, _writer: asyncio.StreamWriter) -> None:
            await go.wait()

        server = ScriptedServer("s-1", write_nothing)
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:
            pending = asyncio.ensure_future(node.ask(request()))
            await server.until(lambda: len(server.heads) == 1)
            (conn,) = node.dispatcher.pools.connections
            conn.set_reading(False)
            time.sleep(0.03)  # the server's response time; the kernel reports the read delay in whole ms
            server.writers[0].write(OK)
            while not conn.unread_bytes() or conn.read_delay()[1] < 200:
                pass  # the response has arrived; block the event loop
            conn.set_reading(True)
            assert b" 200 " in await pending
            assert 0 < node.dispatcher.balancer.estimates.response_times[0] < 100 * MS
            go.set()

    asyncio.run(play())


def test_a_connection_established_in_time_is_used_however_late_the_loop_is(tmp_path: Path) -> None:
    async def play() -> None:
        server = ScriptedServer("s-1")
        caps = {**CAPS, "connect-timeout": 1}
        async with running(
            tmp_path / "c.json", FakeDiscovery(), server, settings=settings(caps=caps)
        ) as node:
            assert b" 200 " in await node.ask(request("send"))
            assert server.accepted == 1

    asyncio.run(play())


def test_no_small_write_waits_for_an_acknowledgement(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path / "c.json", FakeDiscovery(), ScriptedServer("s-1")) as node:
            reader, writer = await node.connect()
            async with asyncio.timeout(LIMIT):
                await round_trip(reader, writer, request())
            peers = [*node.clients.connections, *node.dispatcher.pools.connections]
            assert len(peers) == 2
            assert all(peer.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) for peer in peers)
            writer.transport.abort()

    asyncio.run(play())


def send_requests(
    balancer: Balancer, start: int, span: int, queued_time: int
) -> list[tuple[int, api.Action]]:
    """Send a request each millisecond, of each class in turn, answered at once; return class and action."""
    outcomes: list[tuple[int, api.Action]] = []
    for now in range(start, start + span, MS):
        rid = now // MS
        cls = rid % 3
        for action in balancer.handle(now, api.Request(rid, cls, 400 * MS, queued_time=queued_time)):
            if isinstance(action, api.Send):
                balancer.handle(now, api.AttemptFinished(rid, 0, action.server, api.Result.OK, 5 * MS, True))
            if isinstance(action, api.Send | api.Reject):
                outcomes.append((cls, action))
    return outcomes


def test_a_late_node_rejects_by_priority_and_stops_when_it_is_no_longer_late() -> None:
    balancer = Balancer(make_settings(max_retry_after=SECOND), 1, 0)
    balancer.handle(0, api.ServerList(api.ListKind.FULL, fleet(12), 1))

    def rejections(outcomes: list[tuple[int, api.Action]], cls: int) -> list[api.Reject]:
        return [a for c, a in outcomes if c == cls and isinstance(a, api.Reject)]

    on_time = send_requests(balancer, SECOND, 2 * SECOND, 0)
    assert len(on_time) == 2000 and not any(rejections(on_time, cls) for cls in range(3))
    send_requests(balancer, 3 * SECOND, SECOND, 45 * MS)
    late = send_requests(balancer, 4 * SECOND, SECOND, 45 * MS)
    assert len(rejections(late, 1)) > 200  # the lowest priority
    assert not rejections(late, 2)  # the highest
    assert all(rejection.retry_after == SECOND for rejection in rejections(late, 1))
    send_requests(balancer, 5 * SECOND, SECOND, 0)
    again = send_requests(balancer, 6 * SECOND, SECOND, 0)
    assert len(again) == 1000 and not any(rejections(again, cls) for cls in range(3))


def test_with_few_free_slots_the_lowest_priority_is_rejected_first() -> None:
    classes = tuple(
        api.RequestClass(name, api.Effect.SAFE, weight, SECOND, 3 * SECOND)
        for name, weight in (("most", 10.0), ("least", 1.0), ("some", 3.0))
    )
    balancer = Balancer(make_settings(classes=classes), seed=1, now=5 * SECOND)
    balancer.handle(5 * SECOND, api.ServerList(api.ListKind.FULL, fleet(4), 1))

    def is_rejected(cls: int, free_share: float, rid: int) -> bool:
        actions = balancer.handle(6 * SECOND, api.Request(rid, cls, SECOND, free_slot_share=free_share))
        return any(isinstance(action, api.Reject) for action in actions)

    results = [
        [is_rejected(cls, free_share, 10 * n + cls) for cls in range(3)]
        for n, free_share in enumerate((0.3, 0.2, 0.1, 0.0))
    ]
    assert results == [[False] * 3, [False, True, False], [False, True, True], [True] * 3]


def test_pending_requests_never_use_up_all_client_connections(tmp_path: Path) -> None:
    async def play() -> None:
        server = StalledServer("s-1")
        async with running(
            tmp_path / "c.json", FakeDiscovery(), server, settings=settings(caps=CAPS)
        ) as node:
            third = node.clients.config.sockets // 3
            pending = [asyncio.ensure_future(node.ask(request("book", rid=f"r-{n}"))) for n in range(third)]
            await server.until(lambda: len(server.heads) + node.dispatcher.counters.rejected[2] == third)
            assert node.dispatcher.counters.rejected[2]
            # Clients may use a third of the descriptors; one of these is always left to read a request from.
            assert node.dispatcher.unfinished_requests < third
            assert b" 503 " in await node.ask(request("view", rid="v-1"))
            server.go.set()
            await asyncio.gather(*pending)

    asyncio.run(play())


# Guards against a tenant over its limit that makes the node late, so that requests of other tenants are shed.
@pytest.mark.parametrize(("limited", "may_reject"), [(0, True), (40, False)])
def test_requests_beyond_limits_are_shed_before_those_within(limited: int, may_reject: bool) -> None:
    balancer = Balancer(make_settings(), 1, 0)
    balancer.handle(0, api.ServerList(api.ListKind.FULL, fleet(6), 1))
    rejected = 0
    for number in range(1, 200):
        now = number * 10 * MS
        # Each request is read 60 ms late, the limit is a tenth of 200 ms: half of all requests must be shed.
        event = api.Request(number, 0, 500 * MS, queued_time=60 * MS, limited_before=limited)
        actions = balancer.handle(now, event)
        rejected += any(isinstance(action, api.Reject) for action in actions)
        if any(isinstance(action, api.Send) for action in actions):
            sent_to = next(action.server for action in actions if isinstance(action, api.Send))
            balancer.handle(now, api.AttemptFinished(number, 0, sent_to, api.Result.OK, MS, final=True))
    assert (rejected > 20) is may_reject and (rejected == 0) is not may_reject
