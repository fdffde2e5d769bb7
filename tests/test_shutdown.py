"""The end of a node, and connections that are given up for others: what was taken gets its answer."""

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
from hollybay.proxy.downstream.connection_table import SUSPECT_AFTER_S
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


async def answer_of(sock: socket.socket) -> bytes:
    """What a client reads; b"" for a close in order, b"reset" for one that is none."""
    sock.setblocking(False)
    try:
        async with asyncio.timeout(LIMIT):
            return await asyncio.get_running_loop().sock_recv(sock, 4096)
    except ConnectionResetError:
        return b"reset"


def test_a_crowd_beyond_the_room_at_the_end_of_listening_is_answered(tmp_path: Path) -> None:
    """All of it is in the kernel's queue, with its requests, when the listener is to close."""

    async def play() -> None:
        server = ScriptedServer("s-1")
        async with running(
            tmp_path / "c.json", FakeDiscovery(), server, adjust=lambda c: replace(c, sockets=FEW)
        ) as node:
            crowd = [call(node, request(rid=f"r-{n}")) for n in range(2 * node.clients.limit)]
            draining = asyncio.ensure_future(
                shut_down_gracefully(node.clients, node.dispatcher, accept_period_s=0.0)
            )
            answers = await asyncio.gather(*map(answer_of, crowd))
            assert all(answer.startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 ")) for answer in answers)
            for sock in crowd:
                sock.close()
            await draining

    asyncio.run(play())


@pytest.mark.parametrize("phase", ["idle", "silent", "unfinished"])
def test_nobody_whose_request_is_here_is_dropped_for_others(phase: str, tmp_path: Path) -> None:
    """Requests come on all connections while the loop is held up, and behind them more connections."""

    async def play() -> None:
        async with running(
            tmp_path / "c.json",
            FakeDiscovery(),
            ScriptedServer("s-1"),
            adjust=lambda c: replace(c, sockets=FEW),
        ) as node:
            clients = node.clients
            clients.max_kept_connections = FEW  # none is thinned out before its time
            first = {"idle": request(rid="a-%d"), "silent": b"", "unfinished": b"GET /vi"}[phase]
            then = b"ew HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: b-%d\r\n\r\n"
            then = then if phase == "unfinished" else b"GET /vi" + then
            held = []
            async with asyncio.timeout(LIMIT):
                for n in range(clients.limit):
                    held.append(call(node, first.replace(b"%d", b"%d" % n)))
                    if phase == "idle":
                        assert b" 200 " in await answer_of(held[-1])
                while len(getattr(clients, phase)) < clients.limit:
                    await asyncio.sleep(0.001)
            time.sleep(SUSPECT_AFTER_S + 0.01)  # they are old enough to be taken for a crowd
            pending = True
            admit = clients.admit

            def late(conn: ClientConnection) -> None:
                nonlocal pending
                if pending:
                    # A connection is taken in, and the loop has not come to what can be read.
                    pending = False
                    for n, sock in enumerate(held):
                        sock.send(then % n)
                admit(conn)

            clients.admit = late  # type: ignore[method-assign]
            crowd = [call(node, request(rid=f"c-{n}")) for n in range(2 * ACCEPT_BATCH)]
            answers = await asyncio.gather(*map(answer_of, [*held, *crowd]))
            assert all(answer.startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 ")) for answer in answers)
            assert len(clients.connections) <= clients.limit + ACCEPT_BATCH
            for sock in [*held, *crowd]:
                sock.close()

    asyncio.run(play())


@pytest.mark.parametrize("after_shutdown", [False, True])
def test_a_request_in_the_moment_of_the_close_is_not_sent_on_and_its_client_can_tell(
    after_shutdown: bool, tmp_path: Path
) -> None:
    """Between the look for unread bytes and the end of sending, or right after it. Its client sees a close in
    order and nothing of an answer: a node may close between requests, and the request goes to another one."""

    async def play() -> None:
        server = ScriptedServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:
            sock = call(node, request(rid="r-1"))
            assert b" 200 " in await answer_of(sock)
            await node.until(lambda: bool(node.clients.idle))
            (conn,) = node.clients.connections
            if after_shutdown:
                conn.close_if_idle()
                sock.send(request(rid="r-2"))
            else:
                unread = conn.unread_bytes

                def look() -> int:
                    seen = unread()
                    sock.send(request(rid="r-2"))
                    return seen

                conn.unread_bytes = look  # type: ignore[method-assign]
                conn.close_if_idle()
            assert await answer_of(sock) == b""
            sock.close()
            await node.until(lambda: not node.clients.connections)
            assert len(server.heads) == 1 and not node.dispatcher.requests

    asyncio.run(play())


def test_a_request_that_is_whole_after_the_last_answers_is_refused_and_not_sent_on(tmp_path: Path) -> None:
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

                def ends() -> None:
                    end_all()
                    writer.write(data[-1:])

                node.dispatcher.end_all_requests = ends  # type: ignore[method-assign]
                await shut_down_gracefully(
                    node.clients, node.dispatcher, accept_period_s=0.0, final_period_s=0.2
                )
                head, _ = await read_message(reader)
            assert b" 503 " in head
            assert not server.heads
            writer.transport.abort()

    asyncio.run(play())


@pytest.mark.parametrize(("cls", "status"), [("view", b" 503 "), ("send", b" 50"), ("book", b" 50")])
def test_the_end_answers_what_hangs_and_begins_nothing_anew(cls: str, status: bytes, tmp_path: Path) -> None:
    """The deadline lies beyond the end: to the module there is time for another attempt."""

    async def play() -> None:
        backends = StalledServer("s-1"), StalledServer("s-2")
        async with running(tmp_path / "c.json", FakeDiscovery(), *backends) as node:
            begun: list[UpstreamAttempt] = []
            send = node.dispatcher.pools.send

            def note(attempt: UpstreamAttempt) -> None:
                begun.append(attempt)
                send(attempt)

            node.dispatcher.pools.send = note  # type: ignore[method-assign]
            asking = asyncio.ensure_future(node.ask(request(cls)))
            await node.until(lambda: any(backend.heads for backend in backends))
            node.dispatcher.end_all_requests()
            answer = await asking
            assert status in answer and (cls == "view" or b" 503 " not in answer)
            assert len(begun) == 1

    asyncio.run(play())


async def asked(
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
def test_signals_in_any_order_end_a_node_in_order(
    signals: tuple[signal.Signals, ...], stopped: bool, tmp_path: Path
) -> None:
    """stopped: the process stands still while they come, so that all are there in one turn of its loop."""

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
            while b" 200 " not in await asked(node, reader, writer, f"w-{time.monotonic_ns()}"):
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
            # What is out at a server that hangs is answered before the kill; its client waits for longer.
            head, _ = await read_message(reader)
            assert head.startswith(b"HTTP/1.1 50")
            assert await node.stop(signal.SIGCONT) == 0
        assert "drained in" in node.log.read_text()
        writer.transport.abort()
        for listener in (fake_discovery, server):
            await listener.stop()

    asyncio.run(play())


def test_a_node_told_to_end_before_its_first_list_ends_in_order(tmp_path: Path) -> None:
    async def play() -> None:
        fake_discovery = FakeDiscovery()
        await fake_discovery.start()
        write_config(tmp_path / "c.json", fake_discovery)
        config = json.loads((tmp_path / "c.json").read_text())
        config["discovery"] = "127.0.0.1:1"  # nobody is there
        node = NodeProcess(config, tmp_path)
        await node.start()
        async with asyncio.timeout(LIMIT):
            assert await node.stop() == 0
        await fake_discovery.stop()

    asyncio.run(play())
