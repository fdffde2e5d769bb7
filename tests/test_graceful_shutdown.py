"""Graceful shutdown: clients are served on their open connections for a while, then all are closed."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from hollybay.proxy.shutdown import shut_down_gracefully
from hollybay.testbed.loopback import (
    LIMIT,
    FakeDiscovery,
    ScriptedServer,
    StalledServer,
    call,
    read_message,
    request,
    round_trip,
    running,
)

READY = b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"


def test_open_connections_are_served_during_the_shutdown(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path / "c.json", FakeDiscovery(), ScriptedServer("s-1")) as node:
            node.clients.ready = True
            reader, writer = await node.connect()
            async with asyncio.timeout(LIMIT):
                await round_trip(reader, writer, request(rid="r-1"))
                draining = asyncio.ensure_future(
                    shut_down_gracefully(node.clients, node.dispatcher, accept_period_s=0.0)
                )
                while node.clients.listener is not None:
                    await asyncio.sleep(0)
                writer.write(READY)
                assert b" 503 " in (await read_message(reader))[0]
                for n in range(2, 5):
                    head, _ = await round_trip(reader, writer, request(rid=f"r-{n}"))
                    assert b" 200 " in head and b"close" not in head
                with pytest.raises(ConnectionRefusedError):
                    await node.connect()
                writer.transport.abort()
                await draining

    asyncio.run(play())


def test_the_end_of_a_shutdown_answers_requests_in_flight_and_closes_idle_connections(tmp_path: Path) -> None:
    async def play() -> None:
        server = StalledServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:
            idle, idle_writer = await node.connect()
            reader, writer = await node.connect()
            async with asyncio.timeout(LIMIT):
                writer.write(request())
                await server.until(lambda: len(server.heads) == 1)
                draining = asyncio.ensure_future(
                    shut_down_gracefully(
                        node.clients, node.dispatcher, accept_period_s=0.0, final_period_s=10.0
                    )
                )
                assert await idle.read() == b""
                idle_writer.close()
                server.go.set()
                head, _ = await read_message(reader)
                assert b" 200 " in head and b"connection: close" in head
                assert await reader.read() == b""
                writer.close()
                await draining

    asyncio.run(play())


def test_connections_in_the_accept_queue_are_served_when_the_listener_closes(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path / "c.json", FakeDiscovery(), ScriptedServer("s-1")) as node:
            sockets = [call(node, request(rid=f"r-{n}")) for n in range(30)]
            async with asyncio.timeout(LIMIT):
                await shut_down_gracefully(
                    node.clients, node.dispatcher, accept_period_s=0.0, final_period_s=10.0
                )
            # The process would exit here, so each response must have been sent.
            for sock in sockets:
                sock.setblocking(False)
                assert b" 200 " in sock.recv(4096)
                sock.close()

    asyncio.run(play())
