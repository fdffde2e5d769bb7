"""Requests whose body waits for memory: each is answered in time, and memory is kept for no answer's sake."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest

from hollybay.proxy import shutdown
from hollybay.proxy.config import Config
from hollybay.proxy.message_limits import MAX_HELD_BODY_BYTES, READ_SIZE_BYTES
from hollybay.proxy.shutdown import shut_down_gracefully
from hollybay.proxy.upstream.pools import UpstreamPools
from hollybay.testbed.loopback import (
    LIMIT,
    OK,
    FakeDiscovery,
    RunningNode,
    ScriptedServer,
    StalledServer,
    call,
    request,
    running,
)

# With one body of HELD in the budget, there is no room for another one of WAITING.
BUDGET_BYTES = MAX_HELD_BODY_BYTES + 30_000
HELD = b"h" * 60_000
WAITING = b"w" * 20_000
# So long that the node passes it on before it is whole.
ANSWER_PART = b"a" * (2 * MAX_HELD_BODY_BYTES)


def with_small_budget(config: Config) -> Config:
    return replace(config, body_budget=BUDGET_BYTES)


class Sink:
    """Sink of a streamed body."""

    def body_available(self) -> None:
        pass


async def fill_budget(node: RunningNode, server: ScriptedServer) -> asyncio.Task[bytes]:
    """Send a request whose body fills the budget; it waits at the server."""
    first = asyncio.ensure_future(node.ask(request("send", rid="r-1", body=HELD)))
    await server.until(lambda: len(server.heads) == 1)
    return first


def test_a_body_that_waits_for_memory_gets_its_answer_before_its_time(tmp_path: Path) -> None:
    """Guards against requests that lie in the kernel for as long as other requests hold the budget."""

    async def play() -> None:
        server = StalledServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server, adjust=with_small_budget) as node:
            first = await fill_budget(node, server)
            waiting = request("send", rid="r-2", body=WAITING, extra=b"X-Time-Left-Ms: 300\r\n")
            response = await node.ask(waiting)
            assert response.startswith(b"HTTP/1.1 503") and not first.done()
            assert len(server.heads) == 1 and sum(node.dispatcher.counters.rejected) == 1
            assert not node.clients.body_budget.waiting
            server.go.set()
            assert b" 200 " in await first

    asyncio.run(play())


def test_a_streamed_body_keeps_its_budget_until_its_server_has_taken_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against many uploads that begin to be streamed at once, with their first bytes in memory."""
    opened: list[object] = []
    monkeypatch.setattr(UpstreamPools, "send", lambda _pools, attempt: opened.append(attempt))

    async def play() -> None:
        async with running(tmp_path / "c.json", FakeDiscovery(), ScriptedServer("s-1", OK)) as node:
            node.clients.streaming_budget.total = 0
            data = request("book", rid="r-1", body=b"u" * (3 * MAX_HELD_BODY_BYTES))
            asking = asyncio.ensure_future(node.ask(data))
            await node.until(lambda: bool(opened))
            (conn,) = node.clients.connections
            budget = node.clients.body_budget
            assert budget.used >= MAX_HELD_BODY_BYTES - READ_SIZE_BYTES and not conn.reading
            body = conn.streaming_body
            assert body is not None
            body.attach(Sink())
            while conn.streaming_body is not None and body.pull():
                pass
            assert budget.used == 0 and conn.reading and not budget.waiting
            asking.cancel()

    asyncio.run(play())


def test_a_body_that_waits_for_memory_is_served_once_there_is_room(tmp_path: Path) -> None:
    """The limit of the wait must not end a request that has been read since."""

    async def play() -> None:
        server = StalledServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server, adjust=with_small_budget) as node:
            first = await fill_budget(node, server)
            second = asyncio.ensure_future(node.ask(request("send", rid="r-2", body=WAITING)))
            await node.until(lambda: bool(node.clients.body_budget.waiting))
            (conn,) = node.clients.body_budget.waiting
            server.go.set()
            assert b" 200 " in await first and b" 200 " in await second
            assert conn.pause_limit is None  # type: ignore[attr-defined]

    asyncio.run(play())


def test_a_client_that_stops_while_its_body_waits_for_memory_gets_an_error(tmp_path: Path) -> None:
    """Guards against bad clients that state a long time and keep their connections without limit."""

    async def play() -> None:
        server = StalledServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server, adjust=with_small_budget) as node:
            first = await fill_budget(node, server)
            node.clients.phase_timeouts.unfinished = 0.0
            data = request("send", rid="r-2", body=WAITING, extra=b"X-Time-Left-Ms: 86400000\r\n")
            response = await node.ask(data[:-1000])
            assert response.startswith(b"HTTP/1.1 503") and not first.done()
            assert not node.clients.body_budget.waiting
            server.go.set()
            assert b" 200 " in await first

    asyncio.run(play())


def test_the_end_of_a_shutdown_answers_requests_that_wait_for_memory(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that ends while a whole request lies unread in the kernel."""
    monkeypatch.setattr(shutdown, "MAX_DEADLINE_S", 0.2)

    async def play() -> None:
        server = StalledServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server, adjust=with_small_budget) as node:
            first = await fill_budget(node, server)
            second = asyncio.ensure_future(node.ask(request("send", rid="r-2", body=WAITING)))
            await node.until(lambda: bool(node.clients.body_budget.waiting))
            await shut_down_gracefully(node.clients, node.dispatcher, accept_period_s=0.0)
            assert not node.clients.connections
            assert (await second).startswith(b"HTTP/1.1 503")
            assert (await first).startswith(b"HTTP/1.1 50")

    asyncio.run(play())


def test_a_client_that_leaves_while_its_body_waits_for_memory_releases_it(tmp_path: Path) -> None:
    """Its close lies unread behind the body: the wait's limit finds it, and no attempt follows."""

    async def play() -> None:
        server = StalledServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server, adjust=with_small_budget) as node:
            first = await fill_budget(node, server)
            sock = call(node, request("send", rid="r-2", body=WAITING, extra=b"X-Time-Left-Ms: 300\r\n"))
            await node.until(lambda: bool(node.clients.body_budget.waiting))
            sock.close()
            await node.until(lambda: not node.clients.body_budget.waiting)
            server.go.set()
            assert b" 200 " in await first
            assert len(server.heads) == 1 and node.clients.body_budget.used == 0

    asyncio.run(play())


class LongAnswerServer(ScriptedServer):
    """Server that begins a long answer, and ends it once `go` is set."""

    def __init__(self, name: str) -> None:
        super().__init__(name, self._answer)
        self.go = asyncio.Event()

    async def _answer(self, _head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * len(ANSWER_PART)) + ANSWER_PART)
        await self.go.wait()
        writer.write(ANSWER_PART)


@pytest.mark.parametrize("body", [HELD, HELD * 3], ids=["buffered", "streamed"])
def test_a_body_keeps_no_memory_while_its_answer_is_being_read(body: bytes, tmp_path: Path) -> None:
    """Guards against long answers, read slowly, that hold the budget with bodies nobody can use any more."""

    async def play() -> None:
        server = LongAnswerServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server, adjust=with_small_budget) as node:
            node.clients.streaming_budget.total = 2 * len(body)
            reader, writer = await node.connect()
            async with asyncio.timeout(LIMIT):
                writer.write(request("send", rid="r-1", body=body))
                await reader.readuntil(b"\r\n\r\n")
                (pending,) = node.dispatcher.requests.values()
                assert pending.message is not None and not pending.message.body
                assert node.clients.body_budget.used == node.clients.streaming_budget.used == 0
                server.script = OK
                assert b" 200 " in await node.ask(request("send", rid="r-2", body=WAITING))
                server.go.set()
                assert await reader.readexactly(2 * len(ANSWER_PART)) == 2 * ANSWER_PART
            writer.transport.abort()

    asyncio.run(play())
