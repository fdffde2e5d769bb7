"""Discovery for all nodes: one port for each node, the same lists for all, with a configurable delay each."""

from __future__ import annotations

import asyncio
import json
import re
from collections import deque
from collections.abc import Callable
from typing import Any, cast

from .links import Link, LinkedListener

__all__ = ["NodeDiscovery", "Registry"]

_INDEX = re.compile(rb"[?&]index=(\d+)")
_WAIT = re.compile(rb"[?&]wait=(\d+)")
# Number of versions kept; a node whose version is older receives the whole list.
KEPT_VERSIONS = 200


class Registry:
    """The server list and its versions. publish() records changes and responds to every waiting node at once,
    or after the delay set for that node."""

    def __init__(
        self, on_state_sent: Callable[[str, str, bool], None], on_list_sent: Callable[[str], None]
    ) -> None:
        self.on_state_sent = (
            on_state_sent  # node, server, ready: a response with this state was sent to the node
        )
        self.on_list_sent = on_list_sent  # node: it was sent a list with servers
        self.version = 0
        self.changes: deque[tuple[float, int, dict[str, dict[str, Any]]]] = deque(maxlen=KEPT_VERSIONS)
        self.by_node: dict[str, NodeDiscovery] = {}
        self.loop = asyncio.get_running_loop()

    def publish(self, lines: dict[str, dict[str, Any]]) -> None:
        """Publish changed lines, by server; "addrs" holds the address of the server for each side."""
        self.version += 1
        self.changes.append((self.loop.time(), self.version, lines))
        for discovery in self.by_node.values():
            discovery.notify()

    def visible_version(self, lag: float) -> int:
        """Return the version visible to a node whose lists are delayed by lag seconds."""
        latest = self.loop.time() - lag
        return max((version for at, version, _ in self.changes if at <= latest), default=0)

    def listing(self, since: int, upto: int, side: int) -> dict[str, Any]:
        """Return the changes after one version up to another, or the whole list."""
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


class NodeDiscovery:
    """The discovery port of one node, behind its own link."""

    def __init__(self, registry: Registry, node: str, side: int) -> None:
        self.registry = registry
        self.node = node
        self.side = side
        self.lag = 0.0
        self.link = Link()
        self.listener = LinkedListener(self.link, lambda: _DiscoveryConnection(self))
        self.waiting: set[_DiscoveryConnection] = set()
        self.states: dict[str, bool] = {}
        registry.by_node[node] = self

    def notify(self) -> None:
        """Respond to waiting requests once the new version is visible to this node."""
        if self.lag > 0.0:
            self.registry.loop.call_later(self.lag, self._wake)
        else:
            self._wake()

    def _wake(self) -> None:
        for connection in list(self.waiting):
            connection.respond_if_new()

    def reset_states(self) -> None:
        """Forget the states that were sent: the node has a new process."""
        self.states.clear()

    def record_sent(self, listing: dict[str, Any]) -> None:
        """Record the states in a list that was sent to the node."""
        named = set()
        for line in listing["servers"]:
            ready = line["state"] == "SERVING"
            named.add(line["id"])
            if self.states.get(line["id"]) != ready:
                self.states[line["id"]] = ready
                self.registry.on_state_sent(self.node, line["id"], ready)
        if listing["full"]:
            for server in [s for s, ready in self.states.items() if ready and s not in named]:
                self.states[server] = False
                self.registry.on_state_sent(self.node, server, False)
        if listing["servers"]:
            self.registry.on_list_sent(self.node)


class _DiscoveryConnection(asyncio.Protocol):
    """One connection of a node, which sends one request after another."""

    def __init__(self, discovery: NodeDiscovery) -> None:
        self.discovery = discovery
        self.buffer = b""
        self.since = -1
        self.timer: asyncio.TimerHandle | None = None
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # The transport of a LinkedProtocol, which reports when bytes have passed.
        self.transport = cast(Any, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.discovery.waiting.discard(self)
        if self.timer is not None:
            self.timer.cancel()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0 or self in self.discovery.waiting:
            return
        head, self.buffer = self.buffer[:end], self.buffer[end + 4 :]
        found = _INDEX.search(head)
        self.since = int(found.group(1)) if found else -1
        wait = _WAIT.search(head)
        visible_version = self.registry.visible_version(self.discovery.lag)
        if visible_version > 0 and visible_version != self.since:
            self.respond()
            return
        self.discovery.waiting.add(self)
        delay = int(wait.group(1)) / 1000 if wait else 2.0
        self.timer = self.registry.loop.call_later(delay, self.respond)

    @property
    def registry(self) -> Registry:
        return self.discovery.registry

    def respond_if_new(self) -> None:
        """Respond if a newer version is visible to this node."""
        if self.registry.visible_version(self.discovery.lag) > max(0, self.since):
            self.respond()

    def respond(self) -> None:
        """Respond with the list that is visible to this node now."""
        self.discovery.waiting.discard(self)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        listing = self.registry.listing(
            self.since, self.registry.visible_version(self.discovery.lag), self.discovery.side
        )
        body = json.dumps(listing).encode()
        data = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
        if not self.transport.is_closing():
            self.transport.send(data + body, lambda: self.discovery.record_sent(listing))
