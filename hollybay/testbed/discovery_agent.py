"""Fake of the discovery agent on the node's machine; while down, it accepts requests but does not reply."""

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
WHOLE_LIST = -1  # used as a version: the caller has no list yet

_INDEX = re.compile(rb"[?&]index=(\d+)")
_WAIT_MS = re.compile(rb"[?&]wait=(\d+)")


class DiscoveryAgent(Listener):
    """Sends the full server list at first, and then what changed.

    The ledger records when a response with a server's state is written to the node: the drain rule counts
    from that time.

    Attributes
    ----------
    version
        Version of the list; each change adds one.
    lines
        The servers' entries in discovery's format, by name.
    versions
        The version that last changed each server's entry.
    calls
        Number of requests received.
    down
        Whether it withholds its responses.
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
        """Publish the present state of these servers, or of all if none are given."""
        self.version += 1
        for server in servers or self.servers:
            self._put(server, server.state)
        self.note()

    def remove(self, *servers: FakeServer) -> None:
        """Publish that these servers are deleted."""
        self.version += 1
        for server in servers:
            self._put(server, DELETED)
        self.note()

    def _put(self, server: FakeServer, state: str) -> None:
        self.lines[server.name] = {**server.line(), "state": state}
        self.versions[server.name] = self.version

    def listing(self, since: int = WHOLE_LIST) -> dict[str, Any]:
        """The full list, or the entries that changed after a version."""
        is_full = since < 0
        if is_full:
            lines = [line for line in self.lines.values() if line["state"] != DELETED]
        else:
            lines = [line for name, line in self.lines.items() if self.versions[name] > since]
        return {"version": self.version, "full": is_full, "servers": lines}

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection: requests for the full list at once, a watch once there is a newer version."""
        while True:
            head, _ = await read_message(reader)
            self.calls += 1
            self.note()
            since = await self._wait_for_change(head)
            await self._wait_while_down()
            if writer.is_closing():  # the caller has disconnected
                return
            listing = self.listing(since if since <= self.version else WHOLE_LIST)
            writer.write(encode_ok(json.dumps(listing).encode()))
            self._note_sent_states(listing["servers"])

    async def _wait_for_change(self, head: bytes) -> int:
        """Wait for a newer version, at most as long as the watch asks.

        Returns
        -------
        int
            The version that the caller has, or WHOLE_LIST.
        """
        index = _INDEX.search(head)
        if index is None:
            return WHOLE_LIST
        since = int(index.group(1))
        wait_ms = _WAIT_MS.search(head)
        await self._wait_until_newer(since, int(wait_ms.group(1)) / MS_PER_S if wait_ms else 0.0)
        return since

    async def _wait_until_newer(self, since: int, wait_s: float) -> None:
        """Wait until the list is newer than a version, or until the time-out."""
        newer = asyncio.ensure_future(self.until(lambda: self.version > since))
        try:
            await asyncio.wait({newer}, timeout=wait_s)
        finally:
            newer.cancel()

    async def _wait_while_down(self) -> None:
        while self.down:
            self.changed.clear()
            await self.changed.wait()

    def _note_sent_states(self, lines: Sequence[dict[str, Any]]) -> None:
        """Record in the ledger that the node was sent the states of these servers."""
        now = time.monotonic_ns()
        for line in lines:
            self.ledger.told(str(line["id"]), line["state"] == READY, now)
