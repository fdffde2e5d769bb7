"""Scenario of some seconds on loopback sockets, for recordings: servers respond, fail, stream and drain."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from hollybay.testbed.loopback import (
    CLASSES,
    LIMIT,
    OK,
    FakeDiscovery,
    RunningNode,
    ScriptedServer,
    read_message,
    request,
    running,
)
from hollybay.testbed.loopback import settings as loopback_settings

__all__ = ["loopback_day"]

SERVERS, CLIENTS, ROUNDS = 6, 8, 12
LONG = b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"x" * 300_000
UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
FAILED = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"


class Worker(ScriptedServer):
    """Server whose responses depend only on their number, each sent after some milliseconds."""

    def __init__(self, name: str, number: int) -> None:
        super().__init__(name, self._answer)
        self.number = number
        self.given = 0

    async def _answer(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        self.given += 1
        await asyncio.sleep(0.004 * (1 + self.number))
        turn = (self.given + 3 * self.number) % 17
        if turn == 5:
            writer.write(UNAVAILABLE)
        elif turn == 9:
            writer.transport.abort()
        elif turn == 13:
            writer.write(FAILED)
        elif turn == 15 and b"GET" in head:
            writer.write(LONG)
        else:
            writer.write(OK)


async def client(node: RunningNode, number: int) -> None:
    """Send successive requests of every class; some clients disconnect before the response."""
    for turn in range(ROUNDS):
        for cls in ("view", "send", "book"):
            rid = f"r-{number}-{turn}-{cls}"
            reader, writer = await node.connect()
            writer.write(request(cls, rid, b"" if cls == "view" else b"b" * 100))
            if (number + turn) % 9 == 4:
                await asyncio.sleep(0.003)
            else:
                try:
                    async with asyncio.timeout(LIMIT):
                        await read_message(reader)
                except (asyncio.IncompleteReadError, ConnectionError):
                    pass
            writer.transport.abort()


async def uploads(node: RunningNode) -> None:
    """Send requests with long bodies in pieces."""
    for turn in range(6):
        reader, writer = await node.connect()
        whole = request("send", f"u-{turn}", b"b" * 200_000)
        for at in range(0, len(whole), 40_000):
            writer.write(whole[at : at + 40_000])
            await asyncio.sleep(0.01)
        try:
            async with asyncio.timeout(LIMIT):
                await read_message(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.transport.abort()


async def lists(fake_discovery: FakeDiscovery, workers: list[Worker]) -> None:
    """Change the server list: servers in turn drain, are gone, and come back."""
    for out in range(3):
        await asyncio.sleep(0.15)
        fake_discovery.tell(*workers)
        fake_discovery.lines[out]["state"] = "DRAINING"
        await asyncio.sleep(0.15)
        fake_discovery.tell(*workers[:out], *workers[out + 1 :])
        await asyncio.sleep(0.15)
        fake_discovery.tell(*workers)


async def loopback_day(path: Path) -> None:
    """Run the scenario."""
    fake_discovery = FakeDiscovery()
    workers = [Worker(f"s-{n}", n) for n in range(SERVERS)]
    changed: dict[str, Any] = loopback_settings(categories=CLASSES)
    changed["caps"] |= {"may-duplicate": True}
    async with running(path, fake_discovery, *workers, settings=changed) as node:
        await asyncio.gather(
            *(client(node, number) for number in range(CLIENTS)),
            uploads(node),
            lists(fake_discovery, workers),
        )
