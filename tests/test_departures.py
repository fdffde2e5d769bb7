"""Clients that leave: nothing is begun for one that has gone, whatever the loop has read of it."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from hollybay.balancing import interface as api
from hollybay.proxy.downstream.connection import HIDDEN_CLOSE_BYTES, ClientConnection
from hollybay.proxy.message_limits import SMALL_BODY_BYTES
from hollybay.proxy.pending_request import PRESENCE_VALID_NS
from hollybay.proxy.upstream import request_sender
from hollybay.proxy.upstream.attempt import UpstreamAttempt
from hollybay.testbed.loopback import (
    LIMIT,
    OK,
    ConnectBarrier,
    FakeDiscovery,
    RunningNode,
    ScriptedServer,
    StalledServer,
    call,
    read_message,
    request,
    running,
    settings,
)

# The beginning of a next request, longer than what the node reads ahead of an answer.
AHEAD = b"GET /view HTTP/1.1\r\nX-Pad: " + b"p" * (SMALL_BODY_BYTES + 1000)


def close(sock: socket.socket) -> None:
    sock.close()


def half_close(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


LEAVING = pytest.mark.parametrize("leave", [close, half_close, reset])


def busy_until(holds: Callable[[], bool]) -> None:
    """The loop is busy with something else until this is so."""
    end = time.monotonic() + LIMIT
    while not holds():
        assert time.monotonic() < end


def left(node: RunningNode, conn: ClientConnection) -> None:
    """The kernel knows that the client has gone, and the last look at it is old."""
    busy_until(lambda: not conn.is_connected())
    (open_,) = node.dispatcher.requests.values()
    busy_until(lambda: time.monotonic_ns() - open_.client_seen > PRESENCE_VALID_NS)


class Breaking(StalledServer):
    """A server that takes requests, and breaks the connection in place of an answer once `go` is set."""

    async def _wait(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        await self.go.wait()
        writer.transport.abort()


async def paused(node: RunningNode, sock: socket.socket) -> ClientConnection:
    """Bytes of the next request have come, and reading is paused."""
    (conn,) = node.clients.connections
    sock.sendall(AHEAD)
    await node.until(lambda: not conn.reading)
    return conn


async def no_more_than(
    node: RunningNode, backends: tuple[ScriptedServer, ...], rid: bytes, heads: int
) -> None:
    """The request is over, and servers have had no more of it."""
    await node.until(lambda: not node.dispatcher.requests)
    # What was written before goes first on its connection: by now it would have come.
    for backend in backends:
        backend.script = OK
    for n in range(6):
        assert b" 200 " in await node.ask(request(rid=f"x{n}"))
    assert sum(rid in head for backend in backends for head in backend.heads) == heads


@LEAVING
def test_a_close_that_is_not_read_ends_the_repeats(
    leave: Callable[[socket.socket], None], tmp_path: Path
) -> None:
    async def play() -> None:
        backends = Breaking("s-1"), Breaking("s-2")
        async with running(tmp_path / "c.json", FakeDiscovery(), *backends) as node:
            sock = call(node, request(rid="r-1"))
            await node.until(lambda: any(backend.heads for backend in backends))
            conn = await paused(node, sock)
            leave(sock)
            left(node, conn)
            for backend in backends:
                backend.go.set()
            await no_more_than(node, backends, b"r-1", 1)
            sock.close()

    asyncio.run(play())


def test_one_that_stays_is_repeated_although_it_sends_ahead(tmp_path: Path) -> None:
    """The look must not take for gone who is there."""

    async def play() -> None:
        backends = Breaking("s-1"), ScriptedServer("s-2")
        async with running(tmp_path / "c.json", FakeDiscovery(), *backends) as node:
            backends[0].go.set()
            reader, writer = await node.connect()
            async with asyncio.timeout(LIMIT):
                for n in range(6):
                    writer.write(request(rid=f"r-{n}"))
                    assert b" 200 " in (await read_message(reader))[0]
                writer.write(request(rid="r-x") + AHEAD)
                assert b" 200 " in (await read_message(reader))[0]
            assert backends[0].heads
            writer.transport.abort()

    asyncio.run(play())


def test_no_repeat_for_one_whose_close_could_not_show(tmp_path: Path) -> None:
    """Behind so many unread bytes a close does not come through: what can still be told is told."""

    async def play() -> None:
        backends = Breaking("s-1"), Breaking("s-2")
        async with running(tmp_path / "c.json", FakeDiscovery(), *backends) as node:
            sock = socket.create_connection(("127.0.0.1", node.port))
            sock.setblocking(False)
            sock.send(request(rid="r-1"))
            async with asyncio.timeout(LIMIT):
                await node.until(lambda: any(backend.heads for backend in backends))
                conn = await paused(node, sock)
                sock.send(b"p" * 2 * HIDDEN_CLOSE_BYTES)
            busy_until(lambda: conn.unread_bytes() >= HIDDEN_CLOSE_BYTES)
            (open_,) = node.dispatcher.requests.values()
            busy_until(lambda: time.monotonic_ns() - open_.client_seen > PRESENCE_VALID_NS)
            for backend in backends:
                backend.go.set()
            async with asyncio.timeout(LIMIT):
                answer = await asyncio.get_running_loop().sock_recv(sock, 4096)
            assert answer.startswith(b"HTTP/1.1 503 ")  # it is safe: trying again does no harm
            assert sum(len(backend.heads) for backend in backends) == 1
            sock.close()

    asyncio.run(play())


@LEAVING
def test_a_timer_in_the_turn_of_the_close_begins_nothing(
    leave: Callable[[socket.socket], None], tmp_path: Path
) -> None:
    """A request waits as no server is there. Its timer, the list and the close come in one turn."""

    async def play() -> None:
        fake_discovery, server = FakeDiscovery(), ScriptedServer("s-1")
        await server.start()
        async with running(tmp_path / "c.json", fake_discovery) as node:
            sock = call(node, request(rid="r-1"))
            await node.until(lambda: bool(node.dispatcher.requests))
            (conn,) = node.clients.connections
            fake_discovery.tell(server)
            await node.until(lambda: bool(node.dispatcher.balancer.servers))
            begun: list[int] = []
            send = node.dispatcher.pools.send

            def note(attempt: UpstreamAttempt) -> None:
                assert attempt.request is not None
                begun.append(attempt.request.id)
                send(attempt)

            node.dispatcher.pools.send = note  # type: ignore[method-assign]
            (rid,) = node.dispatcher.requests
            loop, (wakes, wake) = asyncio.get_running_loop(), socket.socketpair()

            def held_up() -> None:
                # What becomes readable in here is read after the timers that are due by then.
                loop.remove_reader(wakes)
                leave(sock)
                left(node, conn)
                time.sleep(0.1)  # longer than any step of the module's waiting

            loop.add_reader(wakes, held_up)
            wake.send(b"x")
            await no_more_than(node, (server,), b"r-1", 0)
            assert begun and rid not in begun
            for end in (wakes, wake):
                end.close()
            sock.close()
        await server.stop()

    asyncio.run(play())


@pytest.mark.parametrize("cls", ["view", "send", "book"])
@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("ahead", [False, True])
def test_one_that_leaves_while_its_connection_comes_up_is_not_sent_on(
    cls: str, cancel: bool, ahead: bool, tmp_path: Path
) -> None:
    """Also where the settings allow no cancel: what has not begun is none."""

    async def play() -> None:
        server = ScriptedServer("s-1")
        caps = {**settings()["caps"], "cancel": cancel, "connect-timeout": 10**10}
        async with running(
            tmp_path / "c.json", FakeDiscovery(), server, settings=settings(caps=caps)
        ) as node:
            gate = ConnectBarrier(node)
            sock = call(node, request(cls, rid="r-1"))
            await node.until(lambda: gate.waiting > 0)
            (conn,) = node.clients.connections
            if ahead:
                await paused(node, sock)
            sock.close()
            left(node, conn)
            if not ahead:
                async with asyncio.timeout(LIMIT):
                    while node.clients.connections:
                        await asyncio.sleep(0)
            gate.open.set()
            await no_more_than(node, (server,), b"r-1", 0)

    asyncio.run(play())


@pytest.mark.parametrize("cls", ["send", "book"])
def test_one_that_leaves_while_the_last_byte_is_held_is_not_sent_on(
    cls: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The server has all but the last byte: it gets a request once that has come."""

    async def play() -> None:
        server = ScriptedServer("s-1")
        monkeypatch.setattr(request_sender, "LAST_BYTE_HOLD_S", 0.05)
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:
            sock = call(node, request(cls, rid="r-1"))
            await node.until(lambda: any(conn.timer for conn in node.dispatcher.pools.connections))
            conn = await paused(node, sock)
            sock.close()
            left(node, conn)
            await no_more_than(node, (server,), b"r-1", 0)

    asyncio.run(play())


def test_a_copy_is_not_begun_for_one_that_has_gone(tmp_path: Path) -> None:
    """A second copy is an attempt like any other; here the node is asked for one directly."""

    async def play() -> None:
        backends = StalledServer("s-1"), StalledServer("s-2")
        async with running(tmp_path / "c.json", FakeDiscovery(), *backends) as node:
            sock = call(node, request(rid="r-1"))
            await node.until(lambda: any(backend.heads for backend in backends))
            conn = await paused(node, sock)
            (open_,) = node.dispatcher.requests.values()
            other = next(backend.name for backend in backends if not backend.heads)
            sock.close()
            left(node, conn)
            node.dispatcher._send(api.Send(open_.id, other))
            assert not conn.request_id and conn.transport.is_closing()
            for backend in backends:
                backend.go.set()
            await no_more_than(node, backends, b"r-1", 1)

    asyncio.run(play())


def test_a_close_that_is_read_ends_its_request_at_once(tmp_path: Path) -> None:
    """Long before its time, and its attempt with it: the place is free for others."""

    async def play() -> None:
        server = StalledServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:
            sock = call(node, request(rid="r-1"))
            await server.until(lambda: len(server.heads) == 1)
            (open_,) = node.dispatcher.requests.values()
            sock.close()
            await node.until(
                lambda: not (node.dispatcher.unfinished_requests or node.dispatcher.pools.connections)
            )
            assert time.monotonic_ns() < open_.deadline - 5 * 10**9
            server.go.set()

    asyncio.run(play())
