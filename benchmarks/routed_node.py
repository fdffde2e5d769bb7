"""What routes and limits cost a node: requests/s and CPU a request, with no file and with 1,000 routes.

Both nodes run at once in turns against the same servers, so that a noisy machine meets both alike.
"""

from __future__ import annotations

import asyncio
import statistics
import tempfile
from pathlib import Path

import uvloop

from standins.process import NodeProcess
from standins.scene import Scene, settings

from .files import many_routes

SERVERS, CONNECTIONS, SECONDS, ROUNDS = 75, 32, 2.0, 10
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 512\r\n\r\n" + b"x" * 512


class _Server(asyncio.Protocol):
    """Answers each request at once; a request is one piece here."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        for _ in range(data.count(b"\r\n\r\n")):
            self.transport.write(ANSWER)


class _Client(asyncio.Protocol):
    """Asks again as soon as it is answered."""

    def __init__(self, load: _Load) -> None:
        self.load = load
        self.have = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.ask()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.load.on:
            self.load.broken += 1

    def ask(self) -> None:
        if not self.load.on:
            self.transport.abort()
            return
        self.load.sent += 1
        n = self.load.sent
        self.have = 0
        self.transport.write(
            b"GET /view-schedule/%s HTTP/1.1\r\nHost: book.example\r\nX-Correlation-Id: %s-%d\r\n"
            b"X-Account: coastal-choirs\r\nX-Time-Left-Ms: 500\r\n\r\n"
            % (self.load.paths[n % len(self.load.paths)], self.load.name, n)
        )

    def data_received(self, data: bytes) -> None:
        if not self.have and data[9:12] != b"200":
            self.load.refused += 1
        self.have += len(data)
        if data.endswith(b"\n") or data.endswith(b"x"):
            self.load.done += 1
            self.ask()


class _Load:
    """A closed loop of clients on one node."""

    def __init__(self, name: bytes) -> None:
        self.name = name
        self.paths = [b"halls/h%d" % n for n in range(0, 999, 3)] + [
            b"v%d/7/slots" % n for n in range(1, 999, 3)
        ]
        self.on = False
        self.sent = self.done = self.refused = self.broken = 0

    async def run(self, port: int, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self.on = True
        for _ in range(CONNECTIONS):
            await loop.create_connection(lambda: _Client(self), "127.0.0.1", port)
        await asyncio.sleep(seconds)
        self.on = False
        await asyncio.sleep(0.1)


async def play() -> dict[str, tuple[float, float, int]]:
    """By name: requests a second and CPU in microseconds a request (medians), and requests not served."""
    loop = asyncio.get_running_loop()
    scene = Scene(SERVERS, words=settings(weights="nominal"))
    listeners = []
    for server in scene.servers:
        listener = await loop.create_server(_Server, "127.0.0.1", 0)
        listeners.append(listener)
        server.address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    await scene.agent.start()
    scene.agent.publish()
    results: dict[str, list[tuple[float, float]]] = {"no file": [], "1,000 routes": []}
    loads = {"no file": _Load(b"a"), "1,000 routes": _Load(b"b")}
    with tempfile.TemporaryDirectory() as folder:
        root = Path(folder)
        operator = root / "operator.toml"
        operator.write_text(many_routes(1000))
        (root / "plain").mkdir()
        (root / "routed").mkdir()
        nodes = {
            "no file": NodeProcess(scene.config(), root / "plain"),
            "1,000 routes": NodeProcess(scene.config(), root / "routed", HOLLYBAY_OPERATOR=str(operator)),
        }
        try:
            for node in nodes.values():
                await node.start()
            await scene.agent.until(lambda: scene.agent.calls >= 4)
            for turn in range(ROUNDS + 1):
                for name in sorted(nodes, reverse=turn % 2 == 0):
                    node, load = nodes[name], loads[name]
                    done, spent = load.done, node.cpu_seconds()
                    await load.run(node.port, SECONDS)
                    done, spent = load.done - done, node.cpu_seconds() - spent
                    if turn:  # the first is for warming up
                        results[name].append((done / SECONDS, 1e6 * spent / done))
        finally:
            for node in nodes.values():
                await node.stop()
            await scene.agent.stop()
            for listener in listeners:
                listener.close()
    return {
        name: (
            statistics.median(rate for rate, _ in rounds),
            statistics.median(cpu for _, cpu in rounds),
            loads[name].refused + loads[name].broken,
        )
        for name, rounds in results.items()
    }


def main() -> None:
    """Print the table."""
    results = uvloop.run(play())
    print(f"{'':>14} {'requests/s':>11} {'CPU us a request':>17} {'not served':>11}")
    for name, (rate, cpu, bad) in results.items():
        print(f"{name:>14} {rate:>11.0f} {cpu:>17.0f} {bad:>11}")
    (plain, routed) = results.values()
    print(f"with routes and limits: {100 * (routed[1] / plain[1] - 1):+.1f} % CPU a request")
