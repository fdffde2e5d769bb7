"""Discovery for a whole tier: a port for each node, the same lists for all, each as late as it is told."""

from __future__ import annotations

import asyncio
import json
import re
from collections import deque
from collections.abc import Callable
from typing import Any, cast

from .links import Door, Link

__all__ = ["Registry", "Seat"]

_INDEX = re.compile(rb"[?&]index=(\d+)")
_WAIT = re.compile(rb"[?&]wait=(\d+)")
# Versions that are kept; a node that knows an older one gets the whole list.
KEPT = 200


class Registry:
    """The lists. publish() takes what changed; every node that waits is answered at once, unless its lists
    come later."""

    def __init__(self, told: Callable[[str, str, bool], None], heard: Callable[[str], None]) -> None:
        self.told = told  # node, server, ready: an answer that says so has left for the node
        self.heard = heard  # node: it has a whole list
        self.version = 0
        self.changes: deque[tuple[float, int, dict[str, dict[str, Any]]]] = deque(maxlen=KEPT)
        self.seats: dict[str, Seat] = {}
        self.loop = asyncio.get_running_loop()

    def publish(self, lines: dict[str, dict[str, Any]]) -> None:
        """These lines are new, by server; each with `addr` by side, as "addrs"."""
        self.version += 1
        self.changes.append((self.loop.time(), self.version, lines))
        for seat in self.seats.values():
            seat.news()

    def seen(self, lag: float) -> int:
        """The version that a node sees whose lists come so many seconds late."""
        latest = self.loop.time() - lag
        return max((version for at, version, _ in self.changes if at <= latest), default=0)

    def listing(self, since: int, upto: int, side: int) -> dict[str, Any]:
        """What changed after one version up to another, or the whole list."""
        oldest = self.changes[0][1] if self.changes else 1
        full = since < max(0, oldest - 1) or since > upto or since <= 0
        lines: dict[str, dict[str, Any]] = {}
        for _, version, changed in self.changes:
            if version <= upto and (full or version > since):
                lines |= changed
        servers = []
        for line in lines.values():
            if full and line["state"] == "DELETED":
                continue
            line = dict(line)
            line["addr"] = line.pop("addrs")[side]
            servers.append(line)
        return {"version": upto, "full": full, "servers": servers}


class Seat:
    """One node's port, behind a link of its own."""

    def __init__(self, registry: Registry, node: str, side: int) -> None:
        self.registry = registry
        self.node = node
        self.side = side
        self.lag = 0.0
        self.link = Link()
        self.door = Door(self.link, lambda: _Call(self))
        self.waiting: set[_Call] = set()
        self.states: dict[str, bool] = {}
        registry.seats[node] = self

    def news(self) -> None:
        """There is a new version; those who wait are answered once this node sees it."""
        if self.lag > 0.0:
            self.registry.loop.call_later(self.lag, self._wake)
        else:
            self._wake()

    def _wake(self) -> None:
        for call in list(self.waiting):
            call.try_answer()

    def begins_anew(self) -> None:
        """The node's process is a new one, which has been told nothing."""
        self.states.clear()

    def note(self, listing: dict[str, Any]) -> None:
        """This has left for the node."""
        named = set()
        for line in listing["servers"]:
            ready = line["state"] == "SERVING"
            named.add(line["id"])
            if self.states.get(line["id"]) != ready:
                self.states[line["id"]] = ready
                self.registry.told(self.node, line["id"], ready)
        if listing["full"]:
            for server in [s for s, ready in self.states.items() if ready and s not in named]:
                self.states[server] = False
                self.registry.told(self.node, server, False)
        if listing["servers"]:
            self.registry.heard(self.node)


class _Call(asyncio.Protocol):
    """One connection of a node: one call after another."""

    def __init__(self, seat: Seat) -> None:
        self.seat = seat
        self.buffer = b""
        self.since = -1
        self.timer: asyncio.TimerHandle | None = None
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(Any, transport)  # of a Linked, which can tell when bytes have passed

    def connection_lost(self, exc: Exception | None) -> None:
        self.seat.waiting.discard(self)
        if self.timer is not None:
            self.timer.cancel()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0 or self in self.seat.waiting:
            return
        head, self.buffer = self.buffer[:end], self.buffer[end + 4 :]
        found = _INDEX.search(head)
        self.since = int(found.group(1)) if found else -1
        wait = _WAIT.search(head)
        seen = self.registry.seen(self.seat.lag)
        if seen > 0 and seen != self.since:
            self.answer()
            return
        self.seat.waiting.add(self)
        delay = int(wait.group(1)) / 1000 if wait else 2.0
        self.timer = self.registry.loop.call_later(delay, self.answer)

    @property
    def registry(self) -> Registry:
        return self.seat.registry

    def try_answer(self) -> None:
        """Answer, if this node sees something new."""
        if self.registry.seen(self.seat.lag) > max(0, self.since):
            self.answer()

    def answer(self) -> None:
        """What this node sees now."""
        self.seat.waiting.discard(self)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        listing = self.registry.listing(self.since, self.registry.seen(self.seat.lag), self.seat.side)
        body = json.dumps(listing).encode()
        data = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
        if not self.transport.is_closing():
            self.transport.send(data + body, lambda: self.seat.note(listing))
