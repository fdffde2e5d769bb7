"""Invalid, slow, silent or numerous clients: each gets an error or a close, and the others are served."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest

from hollybay.testbed.loopback import (
    LIMIT,
    FakeDiscovery,
    ScriptedServer,
    StalledServer,
    read_message,
    request,
    round_trip,
    running,
)

HEAD = b"POST /send HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: r-1\r\n"
SMUGGLED = b"0\r\n\r\nPOST /send HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: r-2\r\nContent-Length: 0\r\n\r\n"
INVALID_REQUESTS = {
    "both framings": HEAD + b"Content-Length: 80\r\nTransfer-Encoding: chunked\r\n\r\n" + SMUGGLED,
    "two lengths": HEAD + b"Content-Length: 4\r\nContent-Length: 9\r\n\r\nabcdefghi",
    "negative length": HEAD + b"Content-Length: -4\r\n\r\n",
    "huge length": HEAD + b"Content-Length: 60000000\r\n\r\n" + b"x" * 100_000,
    "huge chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"f" * 21 + b"\r\n" + b"x" * 0x4000,
    "endless head": HEAD + b"X-Pad: " + b"p" * 40_000,
    "noise": b"\x00\x16\x03\x01\xfe\r\n\r\n",
    "two ids": HEAD + b"X-Correlation-Id: r-2\r\nContent-Length: 0\r\n\r\n",
    "no id": b"POST /send HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
    "no such class": request().replace(b"/view", b"/view-old"),
    "wrong method": request().replace(b"GET", b"POST"),
    "a GET with a body": request(extra=b"Content-Length: 2\r\n") + b"ab",
    "control character": request(extra=b"X-Note: a\x01b\r\n"),
    "no key": request("book").replace(b"Idempotency-Key", b"X-Other"),
    "deadline that is no number": request(extra=b"X-Time-Left-Ms: soon\r\n"),
    "negative deadline": request(extra=b"X-Time-Left-Ms: -5\r\n"),
}


@pytest.mark.parametrize("kind", INVALID_REQUESTS)
def test_an_invalid_request_gets_4xx_and_is_never_forwarded(kind: str, tmp_path: Path) -> None:
    async def play() -> None:
        server = ScriptedServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:
            assert (await node.ask(INVALID_REQUESTS[kind])).startswith(b"HTTP/1.1 4")
            assert b" 200 " in await node.ask(request(rid="r-9"))
            assert [head.count(b"r-9") for head in server.heads] == [1]

    asyncio.run(play())


@pytest.mark.parametrize(
    ("version", "status"), [(b"0.9", 505), (b"1.0", 200), (b"1.1", 200), (b"2.0", 505), (b"3.0", 505)]
)
def test_an_unsupported_http_version_gets_505_and_is_never_forwarded(
    version: bytes, status: int, tmp_path: Path
) -> None:
    async def play() -> None:
        server = ScriptedServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:
            response = await node.ask(request().replace(b"HTTP/1.1", b"HTTP/" + version))
            assert response.startswith(b"HTTP/1.1 %d " % status)
            health = await node.ask(b"GET /health/live HTTP/%s\r\nHost: h\r\n\r\n" % version)
            assert health.startswith(b"HTTP/1.1 %d " % status)
            assert len(server.heads) == (status == 200)

    asyncio.run(play())


@pytest.mark.parametrize("sent", [b"", b"GET /vi", HEAD + b"Content-Length: 9\r\n\r\nhalf"])
def test_silent_connections_and_partial_requests_end_at_their_timeout(sent: bytes, tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path / "c.json", FakeDiscovery(), ScriptedServer("s-1")) as node:
            node.clients.phase_timeouts.silent = node.clients.phase_timeouts.unfinished = 0.0
            response = await node.ask(sent)
            assert response.startswith(b"HTTP/1.1 408") if sent else response == b""

    asyncio.run(play())


def test_further_bytes_of_a_partial_request_do_not_extend_its_timeout(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path / "c.json", FakeDiscovery(), ScriptedServer("s-1")) as node:
            reader, writer = await node.connect()
            writer.write(HEAD)
            async with asyncio.timeout(LIMIT):
                while not node.clients.unfinished:
                    await asyncio.sleep(0)
                (conn, since), *_ = node.clients.unfinished.items()
                writer.write(b"X-More: 1\r\nContent-Length: 9\r\n\r\nabc")
                while conn.request is None or not conn.request.size:
                    await asyncio.sleep(0)
            assert node.clients.unfinished[conn] == since
            writer.transport.abort()

    asyncio.run(play())


def test_an_idle_connection_is_closed_after_its_timeout(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path / "c.json", FakeDiscovery(), ScriptedServer("s-1")) as node:
            node.clients.phase_timeouts.idle = 0.0
            reader, writer = await node.connect()
            writer.write(request())
            async with asyncio.timeout(LIMIT):
                assert b" 200 " in (await read_message(reader))[0]
                assert await reader.read() == b""
            writer.close()

    asyncio.run(play())


def test_many_silent_connections_do_not_displace_those_with_requests(tmp_path: Path) -> None:
    async def play() -> None:
        server = StalledServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:
            limit = node.clients.limit
            asking = [asyncio.ensure_future(node.ask(request(rid=f"r-{n}"))) for n in range(20)]
            await server.until(lambda: len(server.heads) == 20)
            silent = [await node.connect() for _ in range(2 * limit)]
            asking += [asyncio.ensure_future(node.ask(request(rid=f"q-{n}"))) for n in range(20)]
            await server.until(lambda: len(server.heads) == 40)
            assert len(node.clients.connections) <= limit
            server.go.set()
            assert all(b" 200 " in response for response in await asyncio.gather(*asking))
            for _, writer in silent:
                writer.transport.abort()

    asyncio.run(play())


def test_excess_idle_connections_are_closed_to_leave_room_for_new_ones(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path / "c.json", FakeDiscovery(), ScriptedServer("s-1")) as node:
            node.clients.phase_timeouts.idle_when_crowded = 0.0
            opened = []
            async with asyncio.timeout(LIMIT):
                for n in range(100):
                    reader, writer = await node.connect()
                    opened.append((reader, writer))
                    writer.write(request(rid=f"r-{n}"))
                    assert b" 200 " in (await read_message(reader))[0]
                assert await opened[0][0].read() == b""  # the one that was idle longest is closed
                writer.write(request(rid="r-last"))  # the newest one is kept alive
                assert b" 200 " in (await read_message(reader))[0]
            assert len(node.clients.idle) <= 256 // 4
            for _, writer in opened:
                writer.transport.abort()

    asyncio.run(play())


def test_an_idle_connection_with_an_unread_request_is_not_closed(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path / "c.json", FakeDiscovery(), ScriptedServer("s-1")) as node:
            reader, writer = await node.connect()
            async with asyncio.timeout(LIMIT):
                await round_trip(reader, writer, request(rid="r-1"))
                while not node.clients.idle:
                    await asyncio.sleep(0)
                (conn,) = node.clients.idle
                conn.transport.pause_reading()
                writer.write(request(rid="r-2"))
                while not conn.unread_bytes():
                    await asyncio.sleep(0)
                node.clients.close_idle()  # as at the end of a drain, or after the idle timeout
                conn.transport.resume_reading()
                assert b" 200 " in (await read_message(reader))[0]
            writer.transport.abort()

    asyncio.run(play())


def test_with_256_descriptors_nearly_a_third_can_carry_requests_of_the_highest_priority(
    tmp_path: Path,
) -> None:
    async def play() -> None:
        server = StalledServer("s-1")
        async with running(
            tmp_path / "c.json", FakeDiscovery(), server, adjust=lambda c: replace(c, sockets=256)
        ) as node:
            # Clients can hold 85 connections; the last seven are reserved for requests that are rejected.
            asking = [asyncio.ensure_future(node.ask(request("book", rid=f"r-{n}"))) for n in range(78)]
            await server.until(lambda: len(server.heads) == 78)
            server.go.set()
            assert all(b" 200 " in response for response in await asyncio.gather(*asking))

    asyncio.run(play())


def test_concurrent_bodies_share_the_body_budget(tmp_path: Path) -> None:
    async def play() -> None:
        server = ScriptedServer("s-1")
        body = b"x" * 65536
        async with running(
            tmp_path / "c.json", FakeDiscovery(), server, adjust=lambda c: replace(c, body_budget=200_000)
        ) as node:
            asking = [node.ask(request("send", rid=f"r-{n}", body=body)) for n in range(12)]
            responses = await asyncio.gather(*asking)
            assert all(b" 200 " in response for response in responses)
            assert node.clients.body_budget.used == 0 and not node.clients.body_budget.charged

    asyncio.run(play())
