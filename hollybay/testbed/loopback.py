"""A node in this process between a discovery and servers that tests script, all on loopback sockets."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

from hollybay.proxy.assembly import assemble
from hollybay.proxy.config import Config, load
from hollybay.proxy.discovery import DiscoveryClient
from hollybay.proxy.downstream.listener import ClientListener
from hollybay.proxy.request_dispatcher import RequestDispatcher

from .listener import LIMIT, OK, Listener, read_message

__all__ = [
    "LIMIT",
    "OK",
    "Backend",
    "Gate",
    "Held",
    "Listener",
    "Registry",
    "Running",
    "call",
    "read_message",
    "request",
    "running",
    "settings",
    "write_config",
]

CLASSES = [
    {"name": "view", "effect": "retryable", "slo": 5 * 10**9, "give-up": 10**10, "worth": 3.0},
    {"name": "send", "effect": "fragile", "slo": 5 * 10**9, "give-up": 10**10, "worth": 2.0},
    {
        "name": "book",
        "effect": "dedup",
        "slo": 5 * 10**9,
        "give-up": 10**10,
        "worth": 9.0,
        "group": "cell",
        "window": 4 * 10**9,
    },
]


def settings(**changes: Any) -> dict[str, Any]:
    return {
        "balancers": 1,
        "zones": ["a"],
        "kinds": ["m"],
        "categories": CLASSES,
        "caps": {
            "most-tries": 3,
            "cancel": True,
            "may-duplicate": False,
            "connect-timeout": 10**9,
            "conn-idle": 5 * 10**9,
        },
        "rules": {"drain-grace": 2 * 10**9},
        "report": {"via": "piggyback", "fields": ["q"]},
        **changes,
    }


class Registry(Listener):
    """A discovery that pushes: a watch is answered as soon as there is something newer."""

    def __init__(self, version: int = 1) -> None:
        super().__init__()
        self.version = version
        self.lines: list[dict[str, Any]] = []
        self.calls = 0

    def tell(self, *backends: Backend, state: str = "SERVING") -> None:
        self.lines = [
            {"id": b.name, "addr": b.address, "zone": "a", "kind": "m", "cell": 0, "state": state}
            for b in backends
        ]
        self.version += 1
        self.note()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_message(reader)
            target = head.split(b" ")[1].decode()
            self.calls += 1
            self.note()
            if f"index={self.version}&" in target:
                seen = self.version
                await self.until(lambda seen=seen: self.version != seen)  # type: ignore[misc]
            body = json.dumps({"version": self.version, "full": True, "servers": self.lines}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


Script = Callable[[bytes, asyncio.StreamWriter], Awaitable[None]]


class Backend(Listener):
    """A server: it notes each request's head and answers it as the script says."""

    def __init__(self, name: str, script: Script | bytes = OK) -> None:
        super().__init__()
        self.name = name
        self.script = script
        self.heads: list[bytes] = []

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_message(reader)
            self.heads.append(head)
            self.note()
            if isinstance(self.script, bytes):
                writer.write(self.script)
            else:
                await self.script(head, writer)


class Held(Backend):
    """A server that notes requests and answers none of them before `go` is set."""

    def __init__(self, name: str) -> None:
        super().__init__(name, self._wait)
        self.go = asyncio.Event()

    async def _wait(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        await self.go.wait()
        writer.write(OK)


class Running:
    """A node that runs, with its parts in reach."""

    def __init__(
        self,
        clients: ClientListener,
        node: RequestDispatcher,
        discovery: DiscoveryClient,
        port: int,
        path: Path,
    ) -> None:
        self.clients = clients
        self.node = node
        self.discovery = discovery
        self.port = port
        self.path = path

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def until(self, holds: Callable[[], bool]) -> None:
        """Wait for what the node has no event for, a few turns of the loop at a time."""
        async with asyncio.timeout(LIMIT):
            while not holds():
                await asyncio.sleep(0.001)

    async def ask(self, data: bytes) -> bytes:
        """What comes for these bytes until the node closes, or the first whole message."""
        reader, writer = await self.connect()
        try:
            async with asyncio.timeout(LIMIT):
                writer.write(data)
                return b"".join(await read_message(reader))
        except asyncio.IncompleteReadError as error:
            return error.partial
        except ConnectionError:
            return b""
        finally:
            writer.transport.abort()


class Gate:
    """Holds up a node's connections to servers, from the first one after `free` on, until `open` is set."""

    def __init__(self, node: Running, free: int = 0) -> None:
        self.open = asyncio.Event()
        self.waiting = 0
        servers = node.node.pools
        establish = servers.establish
        seen = 0

        async def late(sock: socket.socket, address: tuple[str, int]) -> None:
            nonlocal seen
            await establish(sock, address)
            seen += 1
            if seen > free:
                self.waiting += 1
                await self.open.wait()

        servers.establish = late


def call(node: Running, data: bytes) -> socket.socket:
    """Connect and send while the loop stands still: all of it waits in the kernel."""
    sock = socket.create_connection(("127.0.0.1", node.port))
    sock.sendall(data)
    return sock


def request(cls: str = "view", rid: str = "r-1", body: bytes = b"", extra: bytes = b"") -> bytes:
    key = b"Idempotency-Key: k-" + rid.encode() + b"\r\n" if cls == "book" else b""
    if cls == "view":
        method, length = b"GET", b""
    else:
        method, length = b"POST", b"Content-Length: %d\r\n" % len(body)
    return (
        b"%s /%s HTTP/1.1\r\nHost: service.internal\r\n" % (method, cls.encode())
        + b"X-Correlation-Id: %s\r\n" % rid.encode()
        + key
        + length
        + extra
        + b"\r\n"
        + body
    )


def write_config(path: Path, registry: Registry, **changes: Any) -> None:
    data = {
        "name": "n0",
        "listen": "127.0.0.1:9000",
        "discovery": registry.address,
        "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "settings": settings(),
        **changes,
    }
    path.write_text(json.dumps(data))


@asynccontextmanager
async def running(
    path: Path,
    registry: Registry,
    *backends: Backend,
    adjust: Callable[[Config], Config] = lambda c: c,
    **changes: Any,
) -> AsyncIterator[Running]:
    """A node that has heard of all these servers; port 0, so that tests never meet."""
    if not registry.address:
        await registry.start()
    for backend in backends:
        await backend.start()
    registry.tell(*backends)
    write_config(path, registry, **changes)
    config = adjust(replace(load({"BALANCER_CONFIG": str(path)}), listen=("127.0.0.1", 0)))
    clients, node, discovery = assemble(config)
    port = await clients.listen()
    discovery.start()
    async with asyncio.timeout(LIMIT):
        await discovery.list_available.wait()
    try:
        yield Running(clients, node, discovery, port, path)
    finally:
        await discovery.close()
        clients.close()
        for listener in (registry, *backends):
            await listener.stop()
