"""Attempts that end or start late: a request that may have run must never be reported as one that has not."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
import time
from pathlib import Path

import pytest

from hollybay.proxy.upstream import request_sender as module
from hollybay.proxy.upstream.attempt import UpstreamAttempt
from hollybay.proxy.upstream.connection import ServerConnection
from hollybay.proxy.upstream.pools import MAX_UNSETTLED
from hollybay.proxy.upstream.states import UpstreamConnectionState
from hollybay.testbed.loopback import (
    CLASSES,
    LIMIT,
    OK,
    ConnectBarrier,
    FakeDiscovery,
    Listener,
    ScriptedServer,
    StalledServer,
    call,
    read_message,
    request,
    round_trip,
    running,
    settings,
)
from hollybay.units import MS


def caps(**changes: object) -> dict[str, object]:
    return {**settings()["caps"], "connect-timeout": 10**10, **changes}


@pytest.mark.parametrize("cls", ["send", "book"])
@pytest.mark.parametrize("end", ["time-out", "reset", "withdrawn", "client left"])
def test_a_request_whose_last_byte_was_written_counts_as_possibly_run(
    cls: str, end: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The server has the complete request, but the event loop has not confirmed the write yet."""
    monkeypatch.setattr(ServerConnection, "_mark_written", lambda conn: None)
    one_cell = [{**c, "group": "cell"} if c["name"] == "book" else c for c in CLASSES]

    async def play() -> None:
        fake_discovery = FakeDiscovery()
        backends = StalledServer("s-1"), StalledServer("s-2")
        async with running(
            tmp_path / "c.json", fake_discovery, *backends,
            settings=settings(categories=one_cell, rules={"drain-grace": 40 * MS}),
        ) as node:  # fmt: skip
            left = b"X-Time-Left-Ms: %d\r\n" % (150 if end == "time-out" else 600)
            sock = call(node, request(cls, rid="r-1", extra=left))
            sock.setblocking(False)
            await node.until(lambda: any(backend.heads for backend in backends))
            backend = next(backend for backend in backends if backend.heads)
            if end == "reset":
                backend.writers[0].transport.abort()
            elif end == "withdrawn":
                fake_discovery.lines = [line for line in fake_discovery.lines if line["id"] != backend.name]
                fake_discovery.version += 1
                fake_discovery.note()
            elif end == "client left":
                sock.close()
            if end != "client left":
                async with asyncio.timeout(LIMIT):
                    response = await asyncio.get_running_loop().sock_recv(sock, 4096)
                # Not 503, which means that a retry is harmless.
                assert response.startswith((b"HTTP/1.1 502 ", b"HTTP/1.1 504 "))
            await node.until(lambda: not node.dispatcher.requests)
            if cls == "send":
                assert sum(len(b.heads) for b in backends) == 1
            for b in backends:
                b.go.set()
            sock.close()

    asyncio.run(play())


def test_a_keyed_retry_that_would_be_written_after_the_window_is_not_sent(tmp_path: Path) -> None:
    """The balancer decides on the retry in time, but its connection is established too late."""
    window = 200 * MS
    short = [{**c, "window": window, "group": "all"} if c["name"] == "book" else c for c in CLASSES]

    async def play() -> None:
        backends = StalledServer("s-1"), StalledServer("s-2")
        async with running(
            tmp_path / "c.json", FakeDiscovery(), *backends,
            settings=settings(categories=short, caps=caps()),
        ) as node:  # fmt: skip
            barrier = ConnectBarrier(node, free=1)
            sock = call(node, request("book", rid="r-1"))
            await node.until(lambda: any(backend.heads for backend in backends))
            (pending,) = node.dispatcher.requests.values()
            first = pending.attempts[0]
            assert isinstance(first, UpstreamAttempt)
            next(b for b in backends if b.heads).writers[0].transport.abort()
            await node.until(lambda: barrier.waiting > 0)
            while time.monotonic_ns() - first.sent_at < window:
                await asyncio.sleep(0.001)
            barrier.open.set()
            sock.setblocking(False)
            async with asyncio.timeout(LIMIT):
                response = await asyncio.get_running_loop().sock_recv(sock, 4096)
            assert response.startswith(b"HTTP/1.1 50")
            assert sum(len(backend.heads) for backend in backends) == 1
            sock.close()

    asyncio.run(play())


def test_a_keyed_retry_within_its_window_is_sent(tmp_path: Path) -> None:
    """The check of the window must not prevent retries that are allowed."""

    async def play() -> None:
        backends = StalledServer("s-1"), StalledServer("s-2")
        async with running(tmp_path / "c.json", FakeDiscovery(), *backends) as node:
            asking = asyncio.ensure_future(node.ask(request("book", rid="r-1")))
            await node.until(lambda: any(backend.heads for backend in backends))
            first = next(b for b in backends if b.heads)
            first.writers[0].transport.abort()
            for backend in backends:
                backend.go.set()
            assert b" 200 " in await asking
            assert sum(len(backend.heads) for backend in backends) == 2

    asyncio.run(play())


@pytest.mark.parametrize("cls", ["view", "send", "book"])
@pytest.mark.parametrize("change", ["draining", "gone", "moved"])
def test_a_connection_that_opens_after_the_drain_grace_writes_nothing(
    cls: str, change: str, tmp_path: Path
) -> None:
    """The event loop is late: the timer that ends unwritten attempts is due, but has not been called yet."""

    async def play() -> None:
        fake_discovery = FakeDiscovery()
        server, other = ScriptedServer("s-1"), ScriptedServer("s-1")
        await other.start()
        rules = {"drain-grace": 40 * MS}
        async with running(
            tmp_path / "c.json", fake_discovery, server, settings=settings(caps=caps(), rules=rules)
        ) as node:
            barrier = ConnectBarrier(node)
            data = request(cls, rid="r-1", extra=b"X-Time-Left-Ms: 500\r\n")
            asking = asyncio.ensure_future(node.ask(data))
            await node.until(lambda: barrier.waiting > 0)
            (endpoint,) = node.dispatcher.pools.endpoints.values()
            if change == "draining":
                fake_discovery.tell(server, state="DRAINING")
            elif change == "gone":
                fake_discovery.tell()
            else:
                fake_discovery.tell(other)
            await node.until(lambda: endpoint.drain_timer is not None)
            assert endpoint.drain_timer is not None
            endpoint.drain_timer.cancel()  # simulates a timer that is called late
            while node.dispatcher.loop.time() < endpoint.write_cutoff:
                await asyncio.sleep(0.001)
            barrier.open.set()
            response = await asking
            assert not server.heads
            assert (b" 200 " if change == "moved" else b" 503 ") in response
        await other.stop()

    asyncio.run(play())


@pytest.mark.parametrize("end", ["its time", "its client"])
def test_a_connection_that_opens_after_the_end_of_its_request_writes_nothing(
    end: str, tmp_path: Path
) -> None:
    async def play() -> None:
        server = ScriptedServer("s-1")
        async with running(
            tmp_path / "c.json", FakeDiscovery(), server, settings=settings(caps=caps())
        ) as node:
            barrier = ConnectBarrier(node)
            left = b"X-Time-Left-Ms: 60\r\n" if end == "its time" else b""
            sock = call(node, request("send", rid="r-1", extra=left))
            await node.until(lambda: barrier.waiting > 0)
            if end == "its client":
                sock.close()
            await node.until(lambda: not node.dispatcher.requests)
            barrier.open.set()
            assert b" 200 " in await node.ask(request("send", rid="r-2"))
            assert [b"r-2" in head for head in server.heads] == [True]
            sock.close()

    asyncio.run(play())


class StrayBytesServer(Listener):
    """Server that responds, and for which a test sends stray bytes after a response.

    Attributes
    ----------
    stray
        The stray bytes.
    heads
        The heads of the requests that it received.
    """

    def __init__(self, stray: bytes) -> None:
        super().__init__()
        self.name, self.stray = "s-1", stray
        self.heads: list[bytes] = []

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_message(reader)
            self.heads.append(head)
            writer.write(OK)


@pytest.mark.parametrize("cls", ["view", "send"])
@pytest.mark.parametrize(
    "stray",
    [b"HTTP/1.1 2", OK.replace(b"ok", b"NO"), b"\x00\xff\r\n"],
    ids=["half a line", "second", "noise"],
)
def test_stray_bytes_on_an_idle_connection_are_not_taken_for_the_next_response(
    cls: str, stray: bytes, tmp_path: Path
) -> None:
    """The bytes are unread in the kernel when the connection is selected for the next request."""

    async def play() -> None:
        server = StrayBytesServer(stray)
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:  # type: ignore[arg-type]
            reader, writer = await node.connect()
            async with asyncio.timeout(LIMIT):
                await round_trip(reader, writer, request(cls, rid="r-1"))
                (conn,) = node.dispatcher.pools.connections
                send = node.dispatcher.pools.send

                def send_after_stray_bytes(attempt: UpstreamAttempt) -> None:
                    if conn.state is not UpstreamConnectionState.CLOSED and not conn.unread_bytes():
                        server_sock = server.writers[0].get_extra_info("socket")
                        socket.socket(fileno=os.dup(server_sock.fileno())).send(stray)
                        while not conn.unread_bytes():
                            pass
                    send(attempt)

                node.dispatcher.pools.send = send_after_stray_bytes  # type: ignore[method-assign]
                head, body = await round_trip(reader, writer, request(cls, rid="r-2"))
            assert b" 200 " in head and body == b"ok"
            assert sum(b"r-2" in received for received in server.heads) == 1
            writer.transport.abort()

    asyncio.run(play())


class DuplicateResponseServer(StrayBytesServer):
    """Server that sends the stray bytes as soon as the first byte of the next request has arrived."""

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head, _ = await read_message(reader)
        self.heads.append(head)
        writer.write(OK)
        await reader.readexactly(1)
        writer.write(self.stray)
        self.heads.append(b"G" + (await read_message(reader))[0])
        writer.write(OK)


@pytest.mark.parametrize("cls", ["view", "send"])
def test_a_late_duplicate_response_is_not_taken_for_the_next_response(
    cls: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It arrives while the last byte of the next request on the connection is still held back."""
    monkeypatch.setattr(module, "SETTLE_S", 0.5)

    async def play() -> None:
        server = DuplicateResponseServer(OK.replace(b"ok", b"NO"))
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:  # type: ignore[arg-type]
            reader, writer = await node.connect()
            async with asyncio.timeout(LIMIT):
                for n in range(2):
                    head, body = await round_trip(reader, writer, request(cls, rid=f"r-{n}"))
                    assert b" 200 " in head and body == b"ok"
                    await asyncio.sleep(0.01)
            assert server.accepted == 2
            writer.transport.abort()

    asyncio.run(play())


class LaterDuplicateResponseServer(DuplicateResponseServer):
    """Server that sends the stray bytes some milliseconds after the first byte of the next request."""

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.heads.append((await read_message(reader))[0])
        writer.write(OK)
        await reader.readexactly(1)
        await asyncio.sleep(4 * module.LAST_BYTE_HOLD_S)
        writer.write(self.stray)
        await reader.read(1)  # until the connection is closed


@pytest.mark.parametrize("cls", ["view", "send", "book"])
def test_a_duplicate_response_later_than_the_hold_of_an_unsafe_request_is_not_taken_for_the_next_response(
    cls: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, "SETTLE_S", 0.5)

    async def play() -> None:
        server = LaterDuplicateResponseServer(OK.replace(b"ok", b"NO"))
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:  # type: ignore[arg-type]
            for n in range(2):
                response = await node.ask(request(cls, rid=f"r-{n}"))
                assert response.startswith(b"HTTP/1.1 200 ") and response.endswith(b"ok")
            assert server.accepted == 2

    asyncio.run(play())


@pytest.mark.parametrize("settle", [0.0, 0.02])
def test_requests_in_a_row_are_neither_held_for_long_nor_open_many_connections(
    settle: float, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two full holds open another connection; with a few connections, some have always settled."""
    monkeypatch.setattr(module, "SETTLE_S", settle)

    async def play() -> None:
        server = ScriptedServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:
            for n in range(30):
                assert b" 200 " in await node.ask(request(rid=f"r-{n}"))
            if settle:
                assert 2 <= server.accepted <= MAX_UNSETTLED
            else:
                assert server.accepted == 1

    asyncio.run(play())


def test_at_the_limit_of_connections_a_request_is_held(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, "SETTLE_S", 0.02)

    async def play() -> None:
        server = ScriptedServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:
            node.dispatcher.pools.limit = 1
            for n in range(10):
                assert b" 200 " in await node.ask(request(rid=f"r-{n}"))
            assert server.accepted == 1

    asyncio.run(play())


def test_a_settled_connection_is_selected_first(tmp_path: Path) -> None:
    async def play() -> None:
        server = StalledServer("s-1")
        async with running(tmp_path / "c.json", FakeDiscovery(), server) as node:
            asking = [asyncio.ensure_future(node.ask(request(rid=f"r-{n}"))) for n in range(3)]
            await server.until(lambda: len(server.heads) == 3)
            server.go.set()
            await asyncio.gather(*asking)
            pools = node.dispatcher.pools
            idle = next(iter(pools.endpoints.values())).idle
            now = pools.loop.time()
            for conn, idle_periods in zip(idle, (3.0, 2.0, 0.0), strict=True):
                conn.response_ended_at = now - idle_periods * module.SETTLE_S
            assert pools._pick_settled(idle) is idle[1]
            idle[0].response_ended_at = idle[1].response_ended_at = now
            assert pools._pick_settled(idle) is idle[2]

    asyncio.run(play())


@pytest.mark.parametrize("cut", [0, 1, 17, 40, 60])
@pytest.mark.parametrize("reset", [False, True])
def test_a_response_without_a_length_that_is_reset_is_an_error(cut: int, reset: bool, tmp_path: Path) -> None:
    """Such a response ends with the connection. A reset must not count as its end, but fail the request."""
    complete = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + b"x" * 40

    async def script(head: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(complete[:cut])
        await writer.drain()
        if reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        else:
            writer.close()
        await asyncio.Event().wait()

    async def play() -> None:
        async with running(tmp_path / "c.json", FakeDiscovery(), ScriptedServer("s-1", script)) as node:
            response = await node.ask(request("send"))
            sent = complete[:cut].partition(b"\r\n\r\n")
            if sent[1] and not reset:
                assert response.startswith(b"HTTP/1.1 200 ") and response.endswith(b"x" * len(sent[2]))
            else:
                assert response.startswith(b"HTTP/1.1 502 ")

    asyncio.run(play())
