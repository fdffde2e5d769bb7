"""Fake servers: queue, rejections, connection limit and cold starts; the work that requests draw."""

from __future__ import annotations

import asyncio
import random

import pytest

from hollybay.balancing import interface as api
from hollybay.testbed.fake_environment import work_of
from hollybay.testbed.fake_server import FakeServer, ServerKind
from hollybay.testbed.fake_server_connection import ScriptedAnswer
from hollybay.testbed.ledger import Ledger, RuleLimits
from hollybay.testbed.listener import LIMIT, read_message
from hollybay.units import MS, SECOND

SAFE = 0
LIMITS = RuleLimits(
    (api.RequestClass("view", api.Effect.SAFE, 1.0, 200 * MS, 500 * MS),),
    drain_grace=SECOND,
    cold_share=0.5,
    warm_up=8 * SECOND,
)


def test_full_server_rejects_requests_and_limits_connections() -> None:
    async def play() -> None:
        ledger = Ledger(LIMITS)
        kind = ServerKind("m", 1.0, slots=1, queue=1, connections=3)
        server = FakeServer("s-1", kind, ledger, lambda target, rng: 60.0)
        server.script = lambda rid, target: ScriptedAnswer(500) if rid == "bad" else ScriptedAnswer()
        await server.start()
        connections = [await asyncio.open_connection("127.0.0.1", server.port) for _ in range(3)]
        async with asyncio.timeout(LIMIT):
            for n, rid in enumerate(["r-0", "r-1", "r-2"]):
                ledger.asked(rid, SAFE, 0, 1)
                connections[n][1].write(b"GET /view HTTP/1.1\r\nX-Correlation-Id: %s\r\n\r\n" % rid.encode())
                while server.counts.requests <= n:
                    await asyncio.sleep(0)
            head, _ = await read_message(connections[2][0])  # one runs, one waits, the third is rejected
            assert b" 503 " in head and server.counts.rejected == 1
            excess, _ = await asyncio.open_connection("127.0.0.1", server.port)
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await excess.readexactly(1)
            connections[0][1].transport.abort()  # cancels the running job, and the next one runs
            while server.waiting:
                await asyncio.sleep(0)
            assert len(server.running) == 1
        server.crash()

    asyncio.run(play())


def test_cold_server_is_slower_and_restarts_at_its_address() -> None:
    async def play() -> None:
        ledger = Ledger(LIMITS)
        server = FakeServer("s-1", ServerKind("m", 2.0), ledger, lambda target, rng: 0.0)
        await server.start()
        port = server.port
        assert server.slow_start_factor == 1.0 and server.line()["started_ms"] == 0
        server.crash()
        await server.start(cold=True)
        assert server.port == port and 0.5 <= server.slow_start_factor < 0.6
        assert int(str(server.line()["started_ms"])) > 0
        assert [start.cold for start in ledger.starts["s-1"]] == [False, True]
        server.crash()

    asyncio.run(play())


def test_work_of_requests_is_determined_by_the_seed() -> None:
    first = [work_of(b"/book-venue/1", random.Random(3)) for _ in range(3)]
    assert first == [work_of(b"/book-venue/1", random.Random(3)) for _ in range(3)]
    assert all(0.07 < work < 0.14 for work in first)
