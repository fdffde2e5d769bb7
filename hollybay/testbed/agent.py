"""The discovery agent on the node's machine: it answers with what it was sent, and is silent while down."""

from __future__ import annotations

import asyncio
import json
import re
import time
from collections.abc import Sequence
from typing import Any

from .fleet import ModelServer
from .ledger import Ledger
from .listener import Listener, read_message

__all__ = ["Agent"]

_INDEX = re.compile(rb"[?&]index=(\d+)")
_WAIT = re.compile(rb"[?&]wait=(\d+)")


class Agent(Listener):
    """Pushes the fleet's list, whole at first and then what changed.

    A change counts as told when an answer that holds it has been written to the node; that moment is noted in
    the ledger, from which the rule on drains counts.
    """

    def __init__(self, ledger: Ledger, servers: Sequence[ModelServer]) -> None:
        super().__init__()
        self.ledger = ledger
        self.servers = list(servers)
        self.version = 1
        self.lines: dict[str, dict[str, Any]] = {}
        self.versions: dict[str, int] = {}
        self.calls = 0
        self.down = False

    def publish(self, *servers: ModelServer) -> None:
        """Send these servers' present lines to the agent, all if none are named."""
        self.version += 1
        for server in servers or self.servers:
            self.lines[server.name] = {**server.line(), "state": server.state}
            self.versions[server.name] = self.version
        self.note()

    def remove(self, *servers: ModelServer) -> None:
        """Tell that these are gone."""
        self.version += 1
        for server in servers:
            self.lines[server.name] = {**server.line(), "state": "DELETED"}
            self.versions[server.name] = self.version
        self.note()

    def listing(self, since: int = -1) -> dict[str, Any]:
        """The whole list, or what changed after a version."""
        full = since < 0
        lines = [
            line
            for name, line in self.lines.items()
            if (line["state"] != "DELETED" if full else self.versions[name] > since)
        ]
        return {"version": self.version, "full": full, "servers": lines}

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_message(reader)
            self.calls += 1
            self.note()
            found = _INDEX.search(head)
            since = int(found.group(1)) if found else -1
            if found:
                waits = _WAIT.search(head)
                await self._newer(since, int(waits.group(1)) / 1000 if waits else 0.0)
            listing = self.listing(since if since <= self.version else -1)
            body = json.dumps(listing).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            now = time.monotonic_ns()
            for line in listing["servers"]:
                self.ledger.told(str(line["id"]), line["state"] == "SERVING", now)

    async def _newer(self, since: int, wait: float) -> None:
        """Wait until there is something newer than that, or the wait (s) is over; for ever while down."""
        seen = asyncio.ensure_future(self.until(lambda: self.version > since and not self.down))
        try:
            await asyncio.wait({seen}, timeout=wait)
        finally:
            seen.cancel()
        while self.down:
            self.changed.clear()
            await self.changed.wait()
