"""A node in this process, with discovery and servers scripted by a test, all on loopback sockets."""

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

from .listener import LIMIT, OK, Listener, encode_ok, read_message, request_once, round_trip
from .loopback_config import CLASSES, request, settings, write_config

__all__ = [
    "CLASSES",
    "LIMIT",
    "OK",
    "ConnectBarrier",
    "FakeDiscovery",
    "Listener",
    "RunningNode",
    "ScriptedServer",
    "StalledServer",
    "call",
    "read_message",
    "request",
    "request_once",
    "round_trip",
    "running",
    "settings",
    "write_config",
]


class FakeDiscovery(Listener):
    """A fake discovery: a watch gets its response as soon as there is a newer list.

    Attributes
    ----------
    version
        Version of the list; each change adds one.
    lines
        The servers' entries in discovery's format.
    calls
        Number of requests received.
    """

    def __init__(self, version: int = 1) -> None:
        super().__init__()
        self.version = version
        self.lines: list[dict[str, Any]] = []
        self.calls = 0

    def tell(self, *backends: ScriptedServer, state: str = "SERVING") -> None:
        """Replace the list by these servers, all in the same state."""
        self.lines = [
            {"id": b.name, "addr": b.address, "zone": "a", "kind": "m", "cell": 0, "state": state}
            for b in backends
        ]
        self.version += 1
        self.note()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to each request with the full list; a watch waits for a newer version."""
        while True:
            head, _ = await read_message(reader)
            target = head.split(b" ")[1].decode()
            self.calls += 1
            self.note()
            if f"index={self.version}&" in target:
                await self._until_newer(self.version)
            listing = {"version": self.version, "full": True, "servers": self.lines}
            writer.write(encode_ok(json.dumps(listing).encode()))

    async def _until_newer(self, version: int) -> None:
        await self.until(lambda: self.version != version)


Script = Callable[[bytes, asyncio.StreamWriter], Awaitable[None]]
"""Responds to a request, given its head and the writer."""


class ScriptedServer(Listener):
    """A server that records each request's head and responds as scripted."""

    def __init__(self, name: str, script: Script | bytes = OK) -> None:
        super().__init__()
        self.name = name
        self.script = script
        self.heads: list[bytes] = []

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to each request as scripted."""
        while True:
            head, _ = await read_message(reader)
            self.heads.append(head)
            self.note()
            if isinstance(self.script, bytes):
                writer.write(self.script)
            else:
                await self.script(head, writer)


class StalledServer(ScriptedServer):
    """A server that records requests, but responds only once `go` is set."""

    def __init__(self, name: str) -> None:
        super().__init__(name, self._wait)
        self.go = asyncio.Event()

    async def _wait(self, _head: bytes, writer: asyncio.StreamWriter) -> None:
        await self.go.wait()
        writer.write(OK)


class RunningNode:
    """A running node and its components.

    Attributes
    ----------
    clients
        The listener for clients.
    dispatcher
        The request dispatcher, with the connection pools.
    discovery
        The discovery client.
    port
        The port for clients.
    path
        The configuration file.
    """

    def __init__(
        self,
        clients: ClientListener,
        dispatcher: RequestDispatcher,
        discovery: DiscoveryClient,
        port: int,
        path: Path,
    ) -> None:
        self.clients = clients
        self.dispatcher = dispatcher
        self.discovery = discovery
        self.port = port
        self.path = path

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client connection."""
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def until(self, holds: Callable[[], bool]) -> None:
        """Wait for a condition that the node signals by no event, by polling."""
        async with asyncio.timeout(LIMIT):
            while not holds():
                await asyncio.sleep(0.001)

    async def ask(self, data: bytes) -> bytes:
        """Send data on a new connection; returns the first response, or what came until the node closed."""
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


class ConnectBarrier:
    """Delays a node's new connections to servers, except the first `free` ones, until `open` is set.

    Attributes
    ----------
    open
        Releases all connections once it is set.
    waiting
        Number of connections delayed so far.
    """

    def __init__(self, node: RunningNode, free: int = 0) -> None:
        self.open = asyncio.Event()
        self.waiting = 0
        servers = node.dispatcher.pools
        establish = servers.establish
        established = 0

        async def establish_late(sock: socket.socket, address: tuple[str, int]) -> None:
            nonlocal established
            await establish(sock, address)
            established += 1
            if established > free:
                self.waiting += 1
                await self.open.wait()

        servers.establish = establish_late


def call(node: RunningNode, data: bytes) -> socket.socket:
    """Connect and send without running the event loop, so that connection and data wait in the kernel."""
    sock = socket.create_connection(("127.0.0.1", node.port))
    sock.sendall(data)
    return sock


@asynccontextmanager
async def running(
    path: Path,
    fake_discovery: FakeDiscovery,
    *backends: ScriptedServer,
    adjust: Callable[[Config], Config] = lambda config: config,
    **changes: Any,
) -> AsyncIterator[RunningNode]:
    """Run a node that has received the list of these servers, on a free port so that tests don't collide.

    Parameters
    ----------
    path
        The configuration file to write.
    fake_discovery
        The discovery; started here if it does not run yet.
    backends
        The servers; started here.
    adjust
        Modifies the loaded configuration.
    changes
        Keys of the configuration to change.
    """
    if not fake_discovery.address:
        await fake_discovery.start()
    for backend in backends:
        await backend.start()
    fake_discovery.tell(*backends)
    write_config(path, fake_discovery, **changes)
    config = adjust(replace(load({"BALANCER_CONFIG": str(path)}), listen=("127.0.0.1", 0)))
    clients, dispatcher, discovery = assemble(config)
    port = await clients.listen()
    discovery.start()
    async with asyncio.timeout(LIMIT):
        await discovery.list_available.wait()
    try:
        yield RunningNode(clients, dispatcher, discovery, port, path)
    finally:
        await discovery.close()
        clients.close()
        for listener in (fake_discovery, *backends):
            await listener.stop()
