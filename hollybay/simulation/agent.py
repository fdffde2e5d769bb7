"""A model of a node's discovery agent, which serves the server list: also late, repeatedly, partially or wrongly."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Callable
from typing import Any, cast

from .http import MalformedMessageError, MessageReader
from .network import SimTransport
from .run_context import RunContext

__all__ = ["Agent"]

_INDEX = re.compile(rb"[?&]index=(\d+)")
_WAIT = re.compile(rb"[?&]wait=(\d+)")
# The responses of a broken agent in place of a list.
_BROKEN: tuple[bytes, ...] = (
    b"HTTP/1.1 500 x\r\nContent-Length: 2\r\n\r\nno",
    b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"version',
    b'HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{"version": 9',
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
    b'HTTP/1.1 200 OK\r\nContent-Length: 55\r\n\r\n{"version": 99999999, "full": true, "servers": [{"id":3}]}',
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n{}{}{",
    b"\x00\x00\x00",
)


class Agent:
    """The discovery agent of one node. Every change of the server list increments its version."""

    def __init__(self, world: RunContext, node: str) -> None:
        self.world = world
        self.node = node
        self.host = f"agent-{node}"
        self.version = 1
        self.versions: dict[str, int] = {}
        self.entries: dict[str, dict[str, Any]] = {}
        self.silent = self.dead = self.broken = self.again = 0  # the number of active faults of each kind
        self.calls = 0
        self._changed = asyncio.Event()

    async def begin(self) -> None:
        """Listen for the node's polls."""
        if (self.host, 8500) not in self.world.net.listening:
            await self.world.net.create_server(lambda: _AgentConnection(self), self.host, 8500)

    def stop(self) -> None:
        """Stop as in a crash: connections are reset, new ones refused."""
        self.world.net.crash(self.host)

    def publish(self, entry: dict[str, Any]) -> None:
        """Publish a changed entry of the server list."""
        self.version += 1
        self.entries[str(entry["id"])] = entry
        self.versions[str(entry["id"])] = self.version
        self.notify_waiters()

    def notify_waiters(self) -> None:
        """Wake the polls that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    def listing(self, since: int) -> dict[str, Any]:
        """Return the whole list, or the entries that changed after a version."""
        full = since < 0 or since > self.version
        entries = [
            entry
            for name, entry in self.entries.items()
            if (entry["state"] != "DELETED" if full else self.versions[name] > since)
        ]
        return {"version": self.version, "full": full, "servers": entries}

    async def _until(self, holds: Callable[[], bool], limit: float) -> None:
        try:
            async with asyncio.timeout(limit):
                while not holds():
                    await self._changed.wait()
        except TimeoutError:
            pass

    async def answer(self, head: bytes, transport: SimTransport) -> None:
        """Respond to one poll, and record the list that the node is sent."""
        self.calls += 1
        found = _INDEX.search(head)
        since = int(found.group(1)) if found else -1
        if found and not self.again:
            waits = _WAIT.search(head)
            limit = int(waits.group(1)) / 1000 if waits else 0.0
            await self._until(lambda: self.version != since or self.again > 0, limit)
        while self.silent:
            await self._changed.wait()
        if transport.is_closing():
            return
        if self.broken:
            transport.write(_BROKEN[self.calls % len(_BROKEN)])
            if self.calls % 2:
                transport.close()
            return
        listing = self.listing(-1 if self.again else since)
        body = json.dumps(listing).encode()
        transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        self.world.on_list_delivered(self.node, listing)


class _AgentConnection(asyncio.Protocol):
    """One connection from the node."""

    def __init__(self, agent: Agent) -> None:
        self.agent = agent
        self.reader = MessageReader(answers=False)
        self.transport: SimTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(SimTransport, transport)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        try:
            message = self.reader.next()
        except MalformedMessageError as error:
            self.agent.world.ledger.report("bytes", self.agent.host, str(error))
            self.transport.abort()
            return
        if message is not None:
            self.agent.world.loop.create_task(self.agent.answer(message.first, self.transport))
