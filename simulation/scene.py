"""A first scene: a real node, an agent, servers and clients that speak real bytes, on one simulated loop."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import cast

from elderscale.__main__ import assemble, drain
from elderscale.config import Config, Names, settings_of
from standins.ledger import Final, Ledger, Limits, Start
from standins.scene import settings

from .faults import KINDS, Fault, script
from .loop import SimLoop
from .machine import Machine
from .network import Link, Network, SimTransport

__all__ = ["SETTINGS", "Played", "Scene", "play_seed", "played"]

NS = 1_000_000_000
SETTINGS = settings_of(settings())


class _Http(asyncio.Protocol):
    """One side that reads whole requests and answers each."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(SimTransport, transport)
        self.buffer = b""

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            length = 0
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            self.asked(head)

    def asked(self, head: bytes) -> None:
        raise NotImplementedError

    def answer(self, status: int, body: bytes) -> None:
        self.transport.write(b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))


class Scene:
    """A node, its agent, servers and clients, all on one simulated loop."""

    def __init__(self, loop: SimLoop, servers: int = 6, link: Link | None = None) -> None:
        self.loop = loop
        self.chance = random.Random(loop.random.random())
        self.net = Network(loop, link)
        self.machine = Machine(self.net)
        self.ledger = Ledger(Limits.of(SETTINGS))
        self.names = [f"s{n}" for n in range(servers)]
        self.starts: dict[str, Start] = {}
        self.version = 1
        self.states = {name: "SERVING" for name in self.names}
        self.changed = asyncio.Event()
        self.work = 0.05  # seconds, about, that an answer takes
        self.born: dict[str, int] = {}  # when a server that came back cold started, ms
        self.failing: set[str] = set()
        self.slow: set[str] = set()
        self.crashed: set[str] = set()  # a server crashes once a run
        self.silent = 0  # faults that keep discovery silent

    def now(self) -> int:
        return int(self.loop.now * NS)

    async def up(self, name: str, cold: bool = False) -> None:
        """A server begins to serve."""
        self.starts[name] = self.ledger.started(name, self.now(), 20.0, cold)
        if cold:
            self.born[name] = self.now() // 1_000_000
        await self.net.create_server(lambda: _Server(self, name), name, 80)

    def tell(self, name: str, state: str) -> None:
        self.states[name] = state
        self.version += 1
        self.changed.set()

    async def start(self) -> None:
        for name in self.names:
            await self.up(name)
        await self.net.create_server(lambda: _Agent(self), "agent", 8500)
        names = Names(
            classes={c.name: n for n, c in enumerate(SETTINGS.classes)},
            tenants={t.name: n for n, t in enumerate(SETTINGS.tenants)},
            zones={"a": 0},
            kinds={"std": 0},
            report=(),
        )
        config = Config("n", ("node", 80), ("agent", 8500), 7, 256, 4 << 20, SETTINGS, names, None)
        self.clients, self.node, self.discovery = assemble(config)
        await self.clients.listen()
        self.discovery.start()
        await self.discovery.heard.wait()

    async def ask(self, cls: int, rid: str) -> None:
        """One request on a connection of its own, noted in the ledger."""
        await self.net.create_connection(lambda: _Client(self, cls, rid), "node", 80)

    async def requests(self, count: int, rate: float) -> None:
        """Ask so often, in a Poisson stream of so many a second."""
        for n in range(count):
            await asyncio.sleep(self.chance.expovariate(rate))
            self.loop.create_task(self.ask(self.chance.choice([0, 0, 1, 2]), f"r-{n}"))

    async def end(self) -> None:
        """Drain as at SIGTERM, and let everything rest."""
        await drain(self.clients, self.node)
        await self.discovery.close()
        self.clients.close()
        await asyncio.sleep(20)

    async def strike(self, fault: Fault) -> None:
        """Let one fault happen, and end it."""
        name = self.names[fault.server]
        if fault.kind == "crash":
            if name in self.crashed:
                return
            self.crashed.add(name)
            self.net.crash(name)
            await asyncio.sleep(min(0.4, fault.lasts / 2))
            self.tell(name, "DRAINING")
            await asyncio.sleep(fault.lasts)
            await self.up(name, cold=True)
            self.tell(name, "SERVING")
        elif fault.kind == "drain":
            self.tell(name, "DRAINING")
            await asyncio.sleep(fault.lasts)
            self.tell(name, "SERVING")
        elif fault.kind == "cut":
            self.net.cut.add(frozenset(("node", name)))
            await asyncio.sleep(fault.lasts)
            self.net.heal("node", name)
        elif fault.kind == "late":
            self.silent += 1
            await asyncio.sleep(fault.lasts)
            self.silent -= 1
        else:
            struck = self.failing if fault.kind == "errors" else self.slow
            struck.add(name)
            await asyncio.sleep(fault.lasts)
            struck.discard(name)

    def left_over(self) -> list[str]:
        """What the node holds still, after its end: requests, connections, budget."""
        held = {
            "requests": len(self.node.requests),
            "requests owed": self.node.owed,
            "client connections": len(self.clients.connections),
            "ends of connections": len(self.net.transports),
            "bytes of the bodies' budget": self.clients.budget.used,
            "bytes of the answers' budget": self.node.servers.reserved,
        }
        return [f"{count} {what}" for what, count in held.items() if count]


class _Server(_Http):
    """One connection of a modelled server."""

    def __init__(self, scene: Scene, name: str) -> None:
        self.scene, self.name = scene, name

    def data_received(self, data: bytes) -> None:
        if not self.buffer:
            self.scene.ledger.first_byte(self.name, self.scene.now())
        super().data_received(data)

    def asked(self, head: bytes) -> None:
        scene = self.scene
        rid = next(
            line.split(b": ")[1]
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"x-correlation-id")
        ).decode()
        scene.ledger.arrived(rid, scene.starts[self.name], scene.now(), 0, 0, NS // 100, True)
        took = scene.work * scene.chance.uniform(0.5, 2.0) * (10 if self.name in scene.slow else 1)
        if self.name in scene.failing and scene.chance.random() < 0.8:
            self.answer(500, b"error")
            return
        scene.loop.call_later(took, self.answer, 200, b"%s by %s" % (rid.encode(), self.name.encode()))


class _Agent(_Http):
    """One connection of the discovery agent."""

    def asked(self, head: bytes) -> None:
        self.scene.loop.create_task(self.reply(head))

    def __init__(self, scene: Scene) -> None:
        self.scene = scene

    async def reply(self, head: bytes) -> None:
        scene = self.scene
        if b"index=%d&" % scene.version in head:
            scene.changed.clear()
            try:
                async with asyncio.timeout(2.0):
                    await scene.changed.wait()
            except TimeoutError:
                pass
        while scene.silent:
            await asyncio.sleep(0.05)
        servers = [
            {
                "id": name,
                "addr": f"{name}:80",
                "zone": "a",
                "kind": "std",
                "cell": 0,
                "state": state,
                "started_ms": scene.born.get(name, 0),
            }
            for name, state in scene.states.items()
        ]
        self.answer(200, json.dumps({"version": scene.version, "full": True, "servers": servers}).encode())
        for name, state in scene.states.items():
            scene.ledger.told(name, state == "SERVING", scene.now())


class _Client(asyncio.Protocol):
    """A client that asks once."""

    def __init__(self, scene: Scene, cls: int, rid: str) -> None:
        self.scene, self.cls, self.rid = scene, cls, rid
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(SimTransport, transport)
        cls = SETTINGS.classes[self.cls]
        now = self.scene.now()
        self.scene.ledger.asked(self.rid, self.cls, now, now + cls.deadline)
        method = b"GET" if cls.effect == 0 else b"POST"
        key = b"Idempotency-Key: %s\r\n" % self.rid.encode() if cls.effect == 1 else b""
        self.transport.write(
            b"%s /%s HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: %d\r\n%s"
            b"Content-Length: 0\r\n\r\n"
            % (method, cls.name.encode(), self.rid.encode(), cls.deadline // 1_000_000, key)
        )

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, sep, body = self.buffer.partition(b"\r\n\r\n")
        if not sep or len(body) < int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]):
            return
        status = int(head.split(b" ", 2)[1])
        final = Final.SERVED if status == 200 else Final.REFUSED if status in (429, 503) else Final.FAILED
        if final is Final.SERVED and not body.startswith(self.rid.encode() + b" by "):
            final = Final.WRONG
        self.scene.ledger.answered(self.rid, final, self.scene.now(), status)
        self.buffer = b""
        self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        entry = self.scene.ledger.requests[self.rid]
        if entry.final is None:
            self.scene.ledger.answered(self.rid, Final.BROKEN, self.scene.now())


def played(seed: int, trouble: bool, requests: int = 240) -> tuple[Scene, SimLoop]:
    """A whole run from one seed, at 60 requests a second.

    trouble: one server drains from the start, four crash and are listed late as draining; two come back.
    """
    # asyncio.AbstractEventLoop names calls that nothing here makes (processes, files, datagrams).
    loop = SimLoop(seed)  # type: ignore[abstract]
    scenes: list[Scene] = []

    async def main() -> None:
        scene = Scene(loop, link=Link(split=0.4))
        scenes.append(scene)
        with scene.machine.installed():
            await scene.start()

            async def crashes() -> None:
                scene.tell(scene.names[-1], "DRAINING")
                for n in range(4):
                    await asyncio.sleep(scene.chance.uniform(0.2, 0.8))
                    name = scene.names[n]
                    scene.net.crash(name)
                    await asyncio.sleep(scene.chance.uniform(0.0, 0.5))
                    scene.tell(name, "DRAINING")
                    if n % 2:
                        await scene.up(name)
                        scene.tell(name, "SERVING")

            beside = loop.create_task(crashes()) if trouble else None
            await scene.requests(requests, rate=60.0)
            if beside is not None:
                await beside
            await asyncio.sleep(7.0)
            await scene.end()

    loop.run_until_complete(main())
    return scenes[0], loop


@dataclass(frozen=True, slots=True)
class Played:
    """What one seed showed: its faults, steps and trace, and everything that went wrong."""

    seed: int
    kinds: tuple[str, ...]
    steps: int
    trace: str
    wrong: tuple[str, ...]


def play_seed(seed: int, allowed: Sequence[str] = KINDS, requests: int = 240, rate: float = 60.0) -> Played:
    """A run under the faults that its seed draws; liveness is asked for once they are over."""
    loop = SimLoop(seed)  # type: ignore[abstract]
    faults = script(seed, 6, requests / rate, allowed)
    scenes: list[Scene] = []

    async def main() -> None:
        scene = Scene(loop, link=Link(split=0.4))
        scenes.append(scene)
        with scene.machine.installed():
            await scene.start()
            began = loop.now

            async def strike(fault: Fault) -> None:
                await asyncio.sleep(began + fault.at - loop.now)
                await scene.strike(fault)

            struck = [loop.create_task(strike(fault)) for fault in faults]
            await scene.requests(requests, rate)
            await asyncio.gather(*struck)
            await asyncio.sleep(12.0)
            for n in range(5):
                await scene.ask(2, f"last-{n}")
                await asyncio.sleep(1.0)
            await asyncio.sleep(7.0)
            await scene.end()

    loop.run_until_complete(main())
    (scene,) = scenes
    wrong = [f"{fault.rule}: {fault.subject}: {fault.reason}" for fault in scene.ledger.check().faults]
    wrong += [f"unhandled: {error.get('exception') or error.get('message')}" for error in loop.errors]
    wrong += [f"left over: {what}" for what in scene.left_over()]
    last = [scene.ledger.requests.get(f"last-{n}") for n in range(5)]
    if not any(entry is not None and entry.final is Final.SERVED for entry in last):
        wrong.append("no liveness: nothing is served once the faults are over")
    return Played(seed, tuple(sorted({fault.kind for fault in faults})), loop.steps, loop.trace, tuple(wrong))
