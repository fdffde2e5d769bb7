"""Cost of routes and limits at a node: requests/s and CPU per request, without a file and with 1,000 routes.

Pairs of new nodes alternate in short rounds on one core against the same servers, so that noise of the
machine affects both alike. Several pairs even out the effect of the memory layout of a process.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import tempfile
from pathlib import Path
from typing import cast

import uvloop

from hollybay.testbed.fake_environment import FakeEnvironment, settings
from hollybay.testbed.process import NodeProcess

from .files import many_routes

SERVERS, CONNECTIONS, SECONDS, ROUNDS, PAIRS = 75, 32, 0.4, 10, 8
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 512\r\n\r\n" + b"x" * 512


class _Server(asyncio.Protocol):
    """Responds to each request at once. A request may arrive in several pieces."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.buffer = b""

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if self.buffer.endswith(b"\r\n\r\n"):
            self.buffer = b""
            self.transport.write(RESPONSE)


class _Client(asyncio.Protocol):
    """Sends a request as soon as the previous response has ended."""

    def __init__(self, load: _Load) -> None:
        self.load = load
        self.received = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.send_request()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.load.is_running:
            self.load.broken += 1

    def send_request(self) -> None:
        if not self.load.is_running:
            self.transport.abort()
            return
        self.load.sent += 1
        n = self.load.sent
        self.received = 0
        self.transport.write(
            b"GET /view-schedule/%s HTTP/1.1\r\nHost: book.example\r\nX-Correlation-Id: %s-%d\r\n"
            b"X-Account: coastal-choirs\r\nX-Time-Left-Ms: 500\r\n\r\n"
            % (self.load.paths[n % len(self.load.paths)], self.load.name, n)
        )

    def data_received(self, data: bytes) -> None:
        if not self.received and data[9:12] != b"200":
            self.load.rejected += 1
        self.received += len(data)
        if data.endswith(b"\n") or data.endswith(b"x"):
            self.load.done += 1
            self.send_request()


class _Load:
    """A closed loop of clients of one node."""

    def __init__(self, name: bytes) -> None:
        self.name = name
        self.paths = [b"halls/h%d" % n for n in range(0, 999, 3)] + [
            b"v%d/7/slots" % n for n in range(1, 999, 3)
        ]
        self.is_running = False
        self.sent = self.done = self.rejected = self.broken = 0

    async def run(self, port: int, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self.is_running = True
        for _ in range(CONNECTIONS):
            await loop.create_connection(lambda: _Client(self), "127.0.0.1", port)
        await asyncio.sleep(seconds)
        self.is_running = False
        await asyncio.sleep(0.1)


async def pair(environment: FakeEnvironment, folder: Path, seed: int) -> list[tuple[float, float, int]]:
    """Run two new nodes in turn on one core; gives requests/s, CPU (us) per request, requests not served."""
    nodes = []
    for name, operator in (("plain", ""), ("routed", str(folder / "operator.toml"))):
        home = folder / f"{name}-{seed}"
        home.mkdir()
        nodes.append(NodeProcess(environment.config(), home, HOLLYBAY_OPERATOR=operator))
    loads = [_Load(b"a%d" % seed), _Load(b"b%d" % seed)]
    rounds: list[list[tuple[float, float]]] = [[], []]
    calls = environment.agent.calls
    try:
        for node in nodes:
            await node.start()
            os.sched_setaffinity(node.pid, {max(os.sched_getaffinity(0))})
        await environment.agent.until(lambda: environment.agent.calls >= calls + 4)
        for turn in range(ROUNDS + 2):
            for n in (0, 1) if turn % 2 else (1, 0):
                done, cpu_s = loads[n].done, nodes[n].cpu_seconds()
                await loads[n].run(nodes[n].port, SECONDS)
                done, cpu_s = loads[n].done - done, nodes[n].cpu_seconds() - cpu_s
                if turn > 1:  # the first two rounds are warm-up
                    rounds[n].append((done / SECONDS, 1e6 * cpu_s / done))
    finally:
        for node in nodes:
            await node.stop()
    return [
        (
            statistics.median(rate for rate, _ in mine),
            sum(cpu for _, cpu in mine) / len(mine),
            load.rejected + load.broken,
        )
        for mine, load in zip(rounds, loads, strict=True)
    ]


async def play() -> list[list[tuple[float, float, int]]]:
    """Run PAIRS pairs: the speed of a process depends on its memory layout, so one pair is not enough."""
    loop = asyncio.get_running_loop()
    environment = FakeEnvironment(SERVERS, words=settings(weights="nominal"))
    listeners = []
    for server in environment.servers:
        listener = await loop.create_server(_Server, "127.0.0.1", 0)
        listeners.append(listener)
        server.address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
    await environment.agent.start()
    environment.agent.publish()
    try:
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "operator.toml").write_text(many_routes(1000))
            return [await pair(environment, Path(folder), seed) for seed in range(PAIRS)]
    finally:
        await environment.agent.stop()
        for listener in listeners:
            listener.close()


def main() -> None:
    """Print a table, and the difference in CPU per request."""
    pairs = uvloop.run(play())
    print(f"{'':>14} {'requests/s':>11} {'CPU us a request':>17} {'not served':>11}")
    for n, name in enumerate(("no file", "1,000 routes")):
        rate = statistics.median(pair[n][0] for pair in pairs)
        cpu = statistics.median(pair[n][1] for pair in pairs)
        print(f"{name:>14} {rate:>11.0f} {cpu:>17.0f} {sum(pair[n][2] for pair in pairs):>11}")
    more = sorted(100 * (routed[1] / plain[1] - 1) for plain, routed in pairs)
    print(
        f"CPU a request with routes and limits, {len(more)} pairs: "
        f"{more[0]:+.1f} to {more[-1]:+.1f} %, median {statistics.median(more):+.1f} %"
    )
