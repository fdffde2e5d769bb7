"""A node that is late itself: it takes in who waits, tells its lateness from the servers, says no early."""

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


def test_a_crowd_that_came_while_the_loop_was_busy_is_taken_in_at_once(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(
            tmp_path / "c.json",
            FakeDiscovery(),
            ScriptedServer("s-1"),
            adjust=lambda c: replace(c, sockets=1024),
        ) as node:
            crowd = [call(node, b"") for _ in range(20 * ACCEPT_BATCH)]
            turns = 0
            while len(node.clients.connections) < len(crowd):
                await asyncio.sleep(0)
                turns += 1
                assert turns <= 10  # with a batch for each turn it takes 20 at the least
            for sock in crowd:
                sock.close()

    asyncio.run(play())


def test_what_is_too_late_when_it_is_read_costs_no_attempt(tmp_path: Path) -> None:
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
                    pass  # the loop is busy with something else
                head, _ = await read_message(reader)
            assert b" 503 " in head and b"retry-after: 2.000" in head
            assert len(server.heads) == 1
            writer.transport.abort()

    asyncio.run(play())


def test_who_has_gone_before_the_request_was_read_costs_no_attempt(tmp_path: Path) -> None:
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


def test_the_node_s_own_lateness_is_not_told_as_the_server_s(tmp_path: Path) -> None:
    async def play() -> None:
        go = asyncio.Event()

        async def write_nothing(_head: bytes, _writer: asyncio.StreamWriter) -> None:
            await go.wait()

        server = ScriptedServer("s-1", write_nothing)
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:
            asking = asyncio.ensure_future(node.ask(request()))
            await server.until(lambda: len(server.heads) == 1)
            (conn,) = node.dispatcher.pools.connections
            conn.set_reading(False)
            time.sleep(0.03)  # the server's own time, as the kernel tells lateness in whole ms
            server.writers[0].write(OK)
            while not conn.unread_bytes() or conn.read_delay()[1] < 200:
                pass  # the answer is there, the loop is busy with something else
            conn.set_reading(True)
            assert b" 200 " in await asking
            assert 0 < node.dispatcher.balancer.estimates.response_times[0] < 100 * MS
            go.set()

    asyncio.run(play())


def test_a_connection_that_is_up_in_time_counts_however_late_the_loop_is(tmp_path: Path) -> None:
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


def ask_for(balancer: Balancer, start: int, span: int, waited: int) -> list[tuple[int, api.Action]]:
    """A request each millisecond, of each class in turn, answered at once; the class and what came of it."""
    came: list[tuple[int, api.Action]] = []
    for now in range(start, start + span, MS):
        rid = now // MS
        cls = rid % 3
        for action in balancer.handle(now, api.Request(rid, cls, 400 * MS, queued_time=waited)):
            if isinstance(action, api.Send):
                balancer.handle(now, api.AttemptFinished(rid, 0, action.server, api.Result.OK, 5 * MS, True))
            if isinstance(action, api.Send | api.Reject):
                came.append((cls, action))
    return came


def test_a_late_node_turns_away_by_worth_and_stops_when_it_is_no_longer_late() -> None:
    balancer = Balancer(make_settings(max_retry_after=SECOND), 1, 0)
    balancer.handle(0, api.ServerList(api.ListKind.FULL, fleet(12), 1))

    def refused(came: list[tuple[int, api.Action]], cls: int) -> list[api.Reject]:
        return [a for c, a in came if c == cls and isinstance(a, api.Reject)]

    calm = ask_for(balancer, SECOND, 2 * SECOND, 0)
    assert len(calm) == 2000 and not any(refused(calm, cls) for cls in range(3))
    ask_for(balancer, 3 * SECOND, SECOND, 45 * MS)
    late = ask_for(balancer, 4 * SECOND, SECOND, 45 * MS)
    assert len(refused(late, 1)) > 200  # the least worth
    assert not refused(late, 2)  # the most
    assert all(refuse.retry_after == SECOND for refuse in refused(late, 1))
    ask_for(balancer, 5 * SECOND, SECOND, 0)
    again = ask_for(balancer, 6 * SECOND, SECOND, 0)
    assert len(again) == 1000 and not any(refused(again, cls) for cls in range(3))


def test_short_of_places_the_least_worth_is_refused_first() -> None:
    classes = tuple(
        api.RequestClass(name, api.Effect.SAFE, worth, SECOND, 3 * SECOND)
        for name, worth in (("most", 10.0), ("least", 1.0), ("some", 3.0))
    )
    balancer = Balancer(make_settings(classes=classes), seed=1, now=5 * SECOND)
    balancer.handle(5 * SECOND, api.ServerList(api.ListKind.FULL, fleet(4), 1))

    def refused(cls: int, room: float, rid: int) -> bool:
        actions = balancer.handle(6 * SECOND, api.Request(rid, cls, SECOND, free_slot_share=room))
        return any(isinstance(action, api.Reject) for action in actions)

    told = [
        [refused(cls, room, 10 * n + cls) for cls in range(3)] for n, room in enumerate((0.3, 0.2, 0.1, 0.0))
    ]
    assert told == [[False] * 3, [False, True, False], [False, True, True], [True] * 3]


def test_a_node_never_holds_all_the_connections_that_clients_have(tmp_path: Path) -> None:
    async def play() -> None:
        server = StalledServer("s-1")
        async with running(
            tmp_path / "c.json", FakeDiscovery(), server, settings=settings(caps=CAPS)
        ) as node:
            third = node.clients.config.sockets // 3
            asking = [asyncio.ensure_future(node.ask(request("book", rid=f"r-{n}"))) for n in range(third)]
            await server.until(lambda: len(server.heads) + node.dispatcher.counters.rejected[2] == third)
            assert node.dispatcher.counters.rejected[2]
            # A third of the descriptors is what clients hold: one is always left to hear a request on.
            assert node.dispatcher.unfinished_requests < third
            assert b" 503 " in await node.ask(request("view", rid="v-1"))
            server.go.set()
            await asyncio.gather(*asking)

    asyncio.run(play())


# Guards against: a tenant over its limit makes the node late, and the node sheds the others for it.
@pytest.mark.parametrize(("limited", "may_reject"), [(0, True), (40, False)])
def test_what_limits_turn_away_is_shed_before_what_is_within_them(limited: int, may_reject: bool) -> None:
    balancer = Balancer(make_settings(), 1, 0)
    balancer.handle(0, api.ServerList(api.ListKind.FULL, fleet(6), 1))
    rejected = 0
    for number in range(1, 200):
        now = number * 10 * MS
        # Each is read 60 ms late: with the limit at a tenth of 200 ms half of all requests are too many.
        event = api.Request(number, 0, 500 * MS, queued_time=60 * MS, limited_before=limited)
        actions = balancer.handle(now, event)
        rejected += any(isinstance(action, api.Reject) for action in actions)
        if any(isinstance(action, api.Send) for action in actions):
            sent_to = next(action.server for action in actions if isinstance(action, api.Send))
            balancer.handle(now, api.AttemptFinished(number, 0, sent_to, api.Result.OK, MS, final=True))
    assert (rejected > 20) is may_reject and (rejected == 0) is not may_reject
