"""The discovery agent on the node's machine: it answers with what it was sent, and is silent while down."""

from __future__ import annotations

import asyncio
import json
import re
import time
from collections.abc import Sequence
from typing import Any

from .fake_server import FakeServer
from .ledger import Ledger
from .listener import Listener, encode_ok, read_message

__all__ = ["DiscoveryAgent"]

MS_PER_S = 1000
DELETED = "DELETED"
READY = "SERVING"
WHOLE_LIST = -1  # in place of a version

_INDEX = re.compile(rb"[?&]index=(\d+)")
_WAIT_MS = re.compile(rb"[?&]wait=(\d+)")


class DiscoveryAgent(Listener):
    """Pushes the list of servers, whole at first and then what changed.

    A change counts as told when an answer that holds it has been written to the node; that moment is noted in
    the ledger, from which the rule on drains counts.

    Attributes
    ----------
    version
        Of the list; each change adds one.
    lines
        The servers' lines in discovery's form, by name.
    versions
        The version that last changed each server's line.
    calls
        How many requests have come.
    down
        Whether it is silent.
    """

    def __init__(self, ledger: Ledger, servers: Sequence[FakeServer]) -> None:
        super().__init__()
        self.ledger = ledger
        self.servers = list(servers)
        self.version = 1
        self.lines: dict[str, dict[str, Any]] = {}
        self.versions: dict[str, int] = {}
        self.calls = 0
        self.down = False

    def publish(self, *servers: FakeServer) -> None:
        """Send these servers' present lines to the agent, all if none are named."""
        self.version += 1
        for server in servers or self.servers:
            self._put(server, server.state)
        self.note()

    def remove(self, *servers: FakeServer) -> None:
        """Tell that these are gone."""
        self.version += 1
        for server in servers:
            self._put(server, DELETED)
        self.note()

    def _put(self, server: FakeServer, state: str) -> None:
        self.lines[server.name] = {**server.line(), "state": state}
        self.versions[server.name] = self.version

    def listing(self, since: int = WHOLE_LIST) -> dict[str, Any]:
        """The whole list, or what changed after a version."""
        is_full = since < 0
        if is_full:
            lines = [line for line in self.lines.values() if line["state"] != DELETED]
        else:
            lines = [line for name, line in self.lines.items() if self.versions[name] > since]
        return {"version": self.version, "full": is_full, "servers": lines}

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests: with the whole list, or to a watch once there is something newer."""
        while True:
            head, _ = await read_message(reader)
            self.calls += 1
            self.note()
            since = await self._wait_for_change(head)
            await self._wait_while_down()
            if writer.is_closing():  # its caller has gone meanwhile
                return
            listing = self.listing(since if since <= self.version else WHOLE_LIST)
            writer.write(encode_ok(json.dumps(listing).encode()))
            self._note_told(listing["servers"])

    async def _wait_for_change(self, head: bytes) -> int:
        """Wait as long as a watch asks; the version that the node has, or WHOLE_LIST."""
        index = _INDEX.search(head)
        if index is None:
            return WHOLE_LIST
        since = int(index.group(1))
        wait_ms = _WAIT_MS.search(head)
        await self._wait_until_newer(since, int(wait_ms.group(1)) / MS_PER_S if wait_ms else 0.0)
        return since

    async def _wait_until_newer(self, since: int, wait_s: float) -> None:
        """Wait until there is something newer than that, or the wait is over."""
        newer = asyncio.ensure_future(self.until(lambda: self.version > since))
        try:
            await asyncio.wait({newer}, timeout=wait_s)
        finally:
            newer.cancel()

    async def _wait_while_down(self) -> None:
        while self.down:
            self.changed.clear()
            await self.changed.wait()

    def _note_told(self, lines: Sequence[dict[str, Any]]) -> None:
        """Note that the node has been told of these servers."""
        now = time.monotonic_ns()
        for line in lines:
            self.ledger.told(str(line["id"]), line["state"] == READY, now)
