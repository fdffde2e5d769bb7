"""Clients that disconnect: no attempt starts for them, even if the event loop has not read the close yet."""

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

# Beginning of a pipelined request, longer than what the node reads before the current response.
AHEAD = b"GET /view HTTP/1.1\r\nX-Pad: " + b"p" * (SMALL_BODY_BYTES + 1000)


def close(sock: socket.socket) -> None:
    sock.close()


def half_close(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


LEAVING = pytest.mark.parametrize("leave", [close, half_close, reset])


def block_loop_until(holds: Callable[[], bool]) -> None:
    """Block the event loop until a condition holds."""
    end = time.monotonic() + LIMIT
    while not holds():
        assert time.monotonic() < end


def wait_until_gone(node: RunningNode, conn: ClientConnection) -> None:
    """Block until the kernel has seen the client's close and the node's last presence check has expired."""
    block_loop_until(lambda: not conn.is_connected())
    (pending,) = node.dispatcher.requests.values()
    block_loop_until(lambda: time.monotonic_ns() - pending.client_seen_at > PRESENCE_VALID_NS)


class AbortingServer(StalledServer):
    """Server that reads requests, and aborts the connection instead of responding once `go` is set."""

    async def _wait(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        await self.go.wait()
        writer.transport.abort()


async def pause_reading(node: RunningNode, sock: socket.socket) -> ClientConnection:
    """Send the beginning of the next request, so that the node pauses reading; returns its connection."""
    (conn,) = node.clients.connections
    sock.sendall(AHEAD)
    await node.until(lambda: not conn.reading)
    return conn


async def check_attempts(
    node: RunningNode, backends: tuple[ScriptedServer, ...], rid: bytes, heads: int
) -> None:
    """Wait for the end of the request, and check how many attempts reached the servers."""
    await node.until(lambda: not node.dispatcher.requests)
    # After these further requests, anything that was written before them must have arrived.
    for backend in backends:
        backend.script = OK
    for n in range(6):
        assert b" 200 " in await node.ask(request(rid=f"x{n}"))
    assert sum(rid in head for backend in backends for head in backend.heads) == heads


@LEAVING
def test_no_retry_after_a_close_that_the_loop_has_not_read(
    leave: Callable[[socket.socket], None], tmp_path: Path
) -> None:
    async def play() -> None:
        backends = AbortingServer("s-1"), AbortingServer("s-2")
        async with running(tmp_path / "c.json", FakeDiscovery(), *backends) as node:
            sock = call(node, request(rid="r-1"))
            await node.until(lambda: any(backend.heads for backend in backends))
            conn = await pause_reading(node, sock)
            leave(sock)
            wait_until_gone(node, conn)
            for backend in backends:
                backend.go.set()
            await check_attempts(node, backends, b"r-1", 1)
            sock.close()

    asyncio.run(play())


def test_a_connected_client_that_pipelines_requests_still_gets_retries(tmp_path: Path) -> None:
    """The check of the client's presence must not report a connected client as gone."""

    async def play() -> None:
        backends = AbortingServer("s-1"), ScriptedServer("s-2")
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


def test_no_retry_if_unread_bytes_may_hide_a_close(tmp_path: Path) -> None:
    """The presence of the client is unknown then: nothing is retried, but a response is still sent."""

    async def play() -> None:
        backends = AbortingServer("s-1"), AbortingServer("s-2")
        async with running(tmp_path / "c.json", FakeDiscovery(), *backends) as node:
            sock = socket.create_connection(("127.0.0.1", node.port))
            sock.setblocking(False)
            sock.send(request(rid="r-1"))
            async with asyncio.timeout(LIMIT):
                await node.until(lambda: any(backend.heads for backend in backends))
                conn = await pause_reading(node, sock)
                sock.send(b"p" * 2 * HIDDEN_CLOSE_BYTES)
            block_loop_until(lambda: conn.unread_bytes() >= HIDDEN_CLOSE_BYTES)
            (pending,) = node.dispatcher.requests.values()
            block_loop_until(lambda: time.monotonic_ns() - pending.client_seen_at > PRESENCE_VALID_NS)
            for backend in backends:
                backend.go.set()
            async with asyncio.timeout(LIMIT):
                response = await asyncio.get_running_loop().sock_recv(sock, 4096)
            assert response.startswith(b"HTTP/1.1 503 ")  # the class is SAFE, so a retry is harmless
            assert sum(len(backend.heads) for backend in backends) == 1
            sock.close()

    asyncio.run(play())


@LEAVING
def test_a_timer_in_the_loop_iteration_of_the_close_starts_no_attempt(
    leave: Callable[[socket.socket], None], tmp_path: Path
) -> None:
    """A request waits for a server; its timer is due in the loop iteration in which the close arrives."""

    async def play() -> None:
        fake_discovery, server = FakeDiscovery(), ScriptedServer("s-1")
        await server.start()
        async with running(tmp_path / "c.json", fake_discovery) as node:
            sock = call(node, request(rid="r-1"))
            await node.until(lambda: bool(node.dispatcher.requests))
            (conn,) = node.clients.connections
            fake_discovery.tell(server)
            await node.until(lambda: bool(node.dispatcher.balancer.servers))
            started: list[int] = []
            send = node.dispatcher.pools.send

            def record(attempt: UpstreamAttempt) -> None:
                assert attempt.request is not None
                started.append(attempt.request.id)
                send(attempt)

            node.dispatcher.pools.send = record  # type: ignore[method-assign]
            (rid,) = node.dispatcher.requests
            loop, (wakes, wake) = asyncio.get_running_loop(), socket.socketpair()

            def block_loop() -> None:
                # Sockets that become readable during this call are read after the timers that are then due.
                loop.remove_reader(wakes)
                leave(sock)
                wait_until_gone(node, conn)
                time.sleep(0.1)  # longer than any interval at which the balancer checks waiting requests

            loop.add_reader(wakes, block_loop)
            wake.send(b"x")
            await check_attempts(node, (server,), b"r-1", 0)
            assert started and rid not in started
            for end in (wakes, wake):
                end.close()
            sock.close()
        await server.stop()

    asyncio.run(play())


@pytest.mark.parametrize("cls", ["view", "send", "book"])
@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("ahead", [False, True])
def test_nothing_is_sent_for_a_client_that_leaves_while_the_connection_opens(
    cls: str, cancel: bool, ahead: bool, tmp_path: Path
) -> None:
    """This holds even if the settings forbid cancelling, as no server can have started the request."""

    async def play() -> None:
        server = ScriptedServer("s-1")
        caps = {**settings()["caps"], "cancel": cancel, "connect-timeout": 10**10}
        async with running(
            tmp_path / "c.json", FakeDiscovery(), server, settings=settings(caps=caps)
        ) as node:
            barrier = ConnectBarrier(node)
            sock = call(node, request(cls, rid="r-1"))
            await node.until(lambda: barrier.waiting > 0)
            (conn,) = node.clients.connections
            if ahead:
                await pause_reading(node, sock)
            sock.close()
            wait_until_gone(node, conn)
            if not ahead:
                async with asyncio.timeout(LIMIT):
                    while node.clients.connections:
                        await asyncio.sleep(0)
            barrier.open.set()
            await check_attempts(node, (server,), b"r-1", 0)

    asyncio.run(play())


@pytest.mark.parametrize("cls", ["send", "book"])
def test_the_last_byte_is_not_sent_for_a_client_that_leaves_while_it_is_held(
    cls: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The server has all of the request but the last byte, without which it does not run it."""

    async def play() -> None:
        server = ScriptedServer("s-1")
        monkeypatch.setattr(request_sender, "LAST_BYTE_HOLD_S", 0.05)
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:
            sock = call(node, request(cls, rid="r-1"))
            await node.until(lambda: any(conn.timer for conn in node.dispatcher.pools.connections))
            conn = await pause_reading(node, sock)
            sock.close()
            wait_until_gone(node, conn)
            await check_attempts(node, (server,), b"r-1", 0)

    asyncio.run(play())


def test_no_hedge_is_sent_for_a_client_that_has_gone(tmp_path: Path) -> None:
    """A hedge is an attempt like any other; this test calls the handler of its action directly."""

    async def play() -> None:
        backends = StalledServer("s-1"), StalledServer("s-2")
        async with running(tmp_path / "c.json", FakeDiscovery(), *backends) as node:
            sock = call(node, request(rid="r-1"))
            await node.until(lambda: any(backend.heads for backend in backends))
            conn = await pause_reading(node, sock)
            (pending,) = node.dispatcher.requests.values()
            other = next(backend.name for backend in backends if not backend.heads)
            sock.close()
            wait_until_gone(node, conn)
            node.dispatcher._send(api.Send(pending.id, other))
            assert not conn.request_id and conn.transport.is_closing()
            for backend in backends:
                backend.go.set()
            await check_attempts(node, backends, b"r-1", 1)

    asyncio.run(play())


def test_a_close_that_the_loop_has_read_ends_the_request_at_once(tmp_path: Path) -> None:
    """The request and its attempt end long before the deadline, which frees their connections."""

    async def play() -> None:
        server = StalledServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:
            sock = call(node, request(rid="r-1"))
            await server.until(lambda: len(server.heads) == 1)
            (pending,) = node.dispatcher.requests.values()
            sock.close()
            await node.until(
                lambda: not (node.dispatcher.unfinished_requests or node.dispatcher.pools.connections)
            )
            assert time.monotonic_ns() < pending.deadline - 5 * 10**9
            server.go.set()

    asyncio.run(play())
