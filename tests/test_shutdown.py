"""Shutdown of a node, and connections closed to make room: accepted requests get a response."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import time
from dataclasses import replace
from pathlib import Path

import pytest

from hollybay.proxy.downstream.client_context import ACCEPT_BATCH
from hollybay.proxy.downstream.connection import ClientConnection
from hollybay.proxy.downstream.connection_table import STALE_AFTER_S
from hollybay.proxy.shutdown import shut_down_gracefully
from hollybay.proxy.upstream.attempt import UpstreamAttempt
from hollybay.testbed.loopback import (
    CLASSES,
    LIMIT,
    FakeDiscovery,
    ScriptedServer,
    StalledServer,
    call,
    read_message,
    request,
    round_trip,
    running,
    settings,
    write_config,
)
from hollybay.testbed.process import NodeProcess

FEW = 192  # descriptors


async def read_response(sock: socket.socket) -> bytes:
    """Read a response; b"" if the connection was closed gracefully, b"reset" if it was reset."""
    sock.setblocking(False)
    try:
        async with asyncio.timeout(LIMIT):
            return await asyncio.get_running_loop().sock_recv(sock, 4096)
    except ConnectionResetError:
        return b"reset"


def test_a_full_accept_queue_is_answered_when_listening_ends(tmp_path: Path) -> None:
    """More connections than the limit are in the accept queue, with requests, when the shutdown begins."""

    async def play() -> None:
        server = ScriptedServer("s-1")
        async with running(
            tmp_path / "c.json", FakeDiscovery(), server, adjust=lambda c: replace(c, sockets=FEW)
        ) as node:
            sockets = [call(node, request(rid=f"r-{n}")) for n in range(2 * node.clients.limit)]
            draining = asyncio.ensure_future(
                shut_down_gracefully(node.clients, node.dispatcher, accept_period_s=0.0)
            )
            responses = await asyncio.gather(*map(read_response, sockets))
            assert all(response.startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 ")) for response in responses)
            for sock in sockets:
                sock.close()
            await draining

    asyncio.run(play())


@pytest.mark.parametrize("phase", ["idle", "silent", "unfinished"])
def test_no_connection_with_an_unread_request_is_closed_to_make_room(phase: str, tmp_path: Path) -> None:
    """Requests arrive on all connections while the event loop is blocked, followed by new connections."""

    async def play() -> None:
        async with running(
            tmp_path / "c.json",
            FakeDiscovery(),
            ScriptedServer("s-1"),
            adjust=lambda c: replace(c, sockets=FEW),
        ) as node:
            clients = node.clients
            clients.max_kept_connections = FEW  # so that no idle connection is closed early
            first = {"idle": request(rid="a-%d"), "silent": b"", "unfinished": b"GET /vi"}[phase]
            then = b"ew HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: b-%d\r\n\r\n"
            then = then if phase == "unfinished" else b"GET /vi" + then
            existing = []
            async with asyncio.timeout(LIMIT):
                for n in range(clients.limit):
                    existing.append(call(node, first.replace(b"%d", b"%d" % n)))
                    if phase == "idle":
                        assert b" 200 " in await read_response(existing[-1])
                while len(getattr(clients, phase)) < clients.limit:
                    await asyncio.sleep(0.001)
            time.sleep(STALE_AFTER_S + 0.01)  # so that they are among the first to be closed
            pending = True
            add_connection = clients.add_connection

            def add_after_requests(conn: ClientConnection) -> None:
                nonlocal pending
                if pending:
                    # The requests arrive when the first new connection is accepted, and are still unread.
                    pending = False
                    for n, sock in enumerate(existing):
                        sock.send(then % n)
                add_connection(conn)

            clients.add_connection = add_after_requests  # type: ignore[method-assign]
            new = [call(node, request(rid=f"c-{n}")) for n in range(2 * ACCEPT_BATCH)]
            responses = await asyncio.gather(*map(read_response, [*existing, *new]))
            assert all(response.startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 ")) for response in responses)
            assert len(clients.connections) <= clients.limit + ACCEPT_BATCH
            for sock in [*existing, *new]:
                sock.close()

    asyncio.run(play())


@pytest.mark.parametrize("after_shutdown", [False, True])
def test_a_request_that_crosses_the_close_of_its_connection_is_not_forwarded(
    after_shutdown: bool, tmp_path: Path
) -> None:
    """The request arrives after the check for unread bytes, before or after sending is shut down.

    Its client sees a graceful close and no part of a response. A node may close a connection between
    requests, so the client can retry the request on another one.
    """

    async def play() -> None:
        server = ScriptedServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:
            sock = call(node, request(rid="r-1"))
            assert b" 200 " in await read_response(sock)
            await node.until(lambda: bool(node.clients.idle))
            (conn,) = node.clients.connections
            if after_shutdown:
                conn.close_if_idle()
                sock.send(request(rid="r-2"))
            else:
                unread_bytes = conn.unread_bytes

                def check_then_send() -> int:
                    count = unread_bytes()
                    sock.send(request(rid="r-2"))
                    return count

                conn.unread_bytes = check_then_send  # type: ignore[method-assign]
                conn.close_if_idle()
            assert await read_response(sock) == b""
            sock.close()
            await node.until(lambda: not node.clients.connections)
            assert len(server.heads) == 1 and not node.dispatcher.requests

    asyncio.run(play())


def test_a_request_that_is_complete_only_after_the_last_responses_is_rejected(tmp_path: Path) -> None:
    short = [{**cls, "slo": 10**8, "give-up": 2 * 10**8} for cls in CLASSES]

    async def play() -> None:
        server = ScriptedServer("s-1")
        async with running(
            tmp_path / "c.json", FakeDiscovery(), server, settings=settings(categories=short)
        ) as node:
            reader, writer = await node.connect()
            data = request("send", body=b"ab")
            writer.write(data[:-1])
            async with asyncio.timeout(LIMIT):
                await node.until(lambda: bool(node.clients.unfinished))
                end_all = node.dispatcher.end_all_requests

                def end_all_then_send() -> None:
                    end_all()
                    writer.write(data[-1:])

                node.dispatcher.end_all_requests = end_all_then_send  # type: ignore[method-assign]
                await shut_down_gracefully(
                    node.clients, node.dispatcher, accept_period_s=0.0, final_period_s=0.2
                )
                head, _ = await read_message(reader)
            assert b" 503 " in head
            assert not server.heads
            writer.transport.abort()

    asyncio.run(play())


@pytest.mark.parametrize(("cls", "status"), [("view", b" 503 "), ("send", b" 50"), ("book", b" 50")])
def test_the_end_of_the_process_ends_requests_without_a_retry(
    cls: str, status: bytes, tmp_path: Path
) -> None:
    """The deadline is later than the end of the process, so there would be time for another attempt."""

    async def play() -> None:
        backends = StalledServer("s-1"), StalledServer("s-2")
        async with running(tmp_path / "c.json", FakeDiscovery(), *backends) as node:
            started: list[UpstreamAttempt] = []
            send = node.dispatcher.pools.send

            def record(attempt: UpstreamAttempt) -> None:
                started.append(attempt)
                send(attempt)

            node.dispatcher.pools.send = record  # type: ignore[method-assign]
            asking = asyncio.ensure_future(node.ask(request(cls)))
            await node.until(lambda: any(backend.heads for backend in backends))
            node.dispatcher.end_all_requests()
            response = await asking
            assert status in response and (cls == "view" or b" 503 " not in response)
            assert len(started) == 1

    asyncio.run(play())


async def response_head(
    node: NodeProcess, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rid: str
) -> bytes:
    head, _ = await round_trip(reader, writer, request(rid=rid))
    return head


@pytest.mark.parametrize(
    "signals",
    [
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGHUP, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGHUP),
        (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
    ],
    ids=lambda signals: "+".join(number.name for number in signals),
)
@pytest.mark.parametrize("stopped", [False, True], ids=["", "at-once"])
def test_a_node_shuts_down_gracefully_with_signals_in_any_order(
    signals: tuple[signal.Signals, ...], stopped: bool, tmp_path: Path
) -> None:
    """If `stopped`, the process is stopped while the signals arrive: one loop iteration handles them all."""

    async def play() -> None:
        fake_discovery, server = FakeDiscovery(), StalledServer("s-1")
        await fake_discovery.start()
        await server.start()
        fake_discovery.tell(server)
        short = [{**cls, "slo": 10**8, "give-up": 15 * 10**7} for cls in CLASSES]
        write_config(tmp_path / "c.json", fake_discovery, settings=settings(categories=short))
        config = json.loads((tmp_path / "c.json").read_text())
        node = NodeProcess(config, tmp_path)
        await node.start()
        async with asyncio.timeout(LIMIT):
            reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
            server.go.set()
            while b" 200 " not in await response_head(node, reader, writer, f"w-{time.monotonic_ns()}"):
                pass
            server.go.clear()
            writer.write(request(rid="out", extra=b"X-Time-Left-Ms: 10000\r\n"))
            await server.until(lambda: any(b"out" in head for head in server.heads))
            if stopped:
                node.send_signal(signal.SIGSTOP)
            for number in signals:
                node.send_signal(number)
            if stopped:
                node.send_signal(signal.SIGCONT)
            # A request at a server that hangs gets its response before SIGKILL, though its deadline is later.
            head, _ = await read_message(reader)
            assert head.startswith(b"HTTP/1.1 50")
            assert await node.stop(signal.SIGCONT) == 0
        assert "drained in" in node.log.read_text()
        writer.transport.abort()
        for listener in (fake_discovery, server):
            await listener.stop()

    asyncio.run(play())


def test_a_node_without_a_server_list_shuts_down_gracefully(tmp_path: Path) -> None:
    async def play() -> None:
        fake_discovery = FakeDiscovery()
        await fake_discovery.start()
        write_config(tmp_path / "c.json", fake_discovery)
        config = json.loads((tmp_path / "c.json").read_text())
        config["discovery"] = "127.0.0.1:1"  # nothing listens there
        node = NodeProcess(config, tmp_path)
        await node.start()
        async with asyncio.timeout(LIMIT):
            assert await node.stop() == 0
        await fake_discovery.stop()

    asyncio.run(play())
