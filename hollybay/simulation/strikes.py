"""What each kind of fault does to a run, and how it ends: after it the world is whole again."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from .agent import Agent
from .network import SimTransport
from .nodes import OPERATOR, NodeProcess, unsafe_files
from .plan import FaultPlan, ServerPlan
from .servers import SimServer
from .stage import Stage

__all__ = ["STRIKES", "World"]


class World(Stage, Protocol):
    """A run, as faults strike it."""

    servers: list[SimServer]
    nodes: list[NodeProcess]
    agents: list[Agent]
    states: dict[str, str]  # of servers, by id, as discovery has them
    taken: set[int]  # servers that a fault of life and death has struck
    restarts: int

    def tell(self, server: SimServer, state: str) -> None:
        """Let discovery know a server's state."""


Strike = Callable[[World, FaultPlan], Awaitable[None]]
STRIKES: dict[str, Strike] = {}
SIGHUP, SIGTERM = 1, 15


def _strike(kind: str) -> Callable[[Strike], Strike]:
    def note(strike: Strike) -> Strike:
        STRIKES[kind] = strike
        return strike

    return note


def _alone(
    kind: str,
) -> Callable[[Callable[[World, FaultPlan, SimServer], Awaitable[None]]], None]:
    """A strike of life and death: it has its server to itself, and lets go of it at its end."""

    def note(strike: Callable[[World, FaultPlan, SimServer], Awaitable[None]]) -> None:
        async def alone(world: World, fault: FaultPlan) -> None:
            server = _take(world, fault.target)
            if server is not None:
                await strike(world, fault, server)
                world.taken.discard(fault.target)

        STRIKES[kind] = alone

    return note


def _take(world: World, number: int) -> SimServer | None:
    """A server for a fault of life and death: each is struck by one at a time."""
    if number >= len(world.servers) or number in world.taken:
        return None
    world.taken.add(number)
    return world.servers[number]


@_alone("crash")
async def _crash(world: World, fault: FaultPlan, server: SimServer) -> None:
    server.crash()
    await asyncio.sleep(fault.lasts * fault.arg)
    world.tell(server, "DRAINING")
    await asyncio.sleep(fault.lasts)
    await server.begin(cold=True)
    await asyncio.sleep(0.2 * fault.arg)
    world.tell(server, "SERVING")


@_strike("gone")
async def _gone(world: World, fault: FaultPlan) -> None:
    server = _take(world, fault.target)
    if server is None:
        return
    server.crash()
    await asyncio.sleep(fault.lasts * fault.arg)
    world.tell(server, "DELETED")


@_strike("massacre")
async def _massacre(world: World, fault: FaultPlan) -> None:
    chance = world.chance_of(f"massacre {fault.at}")
    numbers = [n for n in range(len(world.servers)) if n not in world.taken]
    count = round((0.3 + 0.7 * fault.arg) * len(numbers))
    doomed = chance.sample(numbers, count)
    world.taken.update(doomed)
    for n in doomed:
        world.servers[n].crash()
    await asyncio.sleep(chance.uniform(0.1, 0.6))
    for n in doomed:
        world.tell(world.servers[n], "DRAINING" if chance.random() < 0.5 else "DELETED")
    await asyncio.sleep(fault.lasts)
    for n in doomed:
        await world.servers[n].begin(cold=True)
        world.tell(world.servers[n], "SERVING")
        world.taken.discard(n)
        await asyncio.sleep(chance.uniform(0.0, 0.5))


@_alone("drain")
async def _drain(world: World, fault: FaultPlan, server: SimServer) -> None:
    world.tell(server, "DRAINING")
    await asyncio.sleep(fault.lasts)
    world.tell(server, "SERVING")


async def _restart(world: World, server: SimServer, late: float) -> None:
    world.tell(server, "DRAINING")
    await asyncio.sleep(world.plan.drain_grace / 1000 + late)
    server.crash()
    await asyncio.sleep(0.05)
    await server.begin(cold=True)
    world.tell(server, "SERVING")


@_strike("roll")
async def _roll(world: World, fault: FaultPlan) -> None:
    for n in range(fault.target, min(len(world.servers), fault.target + 3)):
        server = _take(world, n)
        if server is not None:
            await _restart(world, server, 0.3)
            world.taken.discard(n)


@_alone("edge")
async def _edge(world: World, fault: FaultPlan, server: SimServer) -> None:
    await _restart(world, server, 0.04 * (fault.arg - 0.5))


@_alone("move")
async def _move(world: World, fault: FaultPlan, old: SimServer) -> None:
    new = SimServer(world, old.plan, f"{old.host}m")
    await new.begin(cold=True)
    world.servers[fault.target] = new
    world.tell(new, "SERVING")
    await asyncio.sleep(world.plan.drain_grace / 1000 + 0.5)
    old.crash()


@_alone("replace")
async def _replace(world: World, fault: FaultPlan, old: SimServer) -> None:
    old.crash()
    await asyncio.sleep(fault.lasts * fault.arg)
    plan: ServerPlan = msgspec.structs.replace(old.plan, name=f"{old.plan.name}r")
    new = SimServer(world, plan, old.host)
    await new.begin(cold=True)
    world.servers[fault.target] = new
    world.states[new.name] = "SERVING"
    world.tell(old, "DELETED")
    world.tell(new, "SERVING")


async def _cut_off(world: World, hosts: list[str], seconds: float) -> None:
    pairs = [(node.host, host) for node in world.nodes for host in hosts]
    for pair in pairs:
        world.net.cut.add(frozenset(pair))
    await asyncio.sleep(seconds)
    for one, other in pairs:
        world.net.heal(one, other)


@_strike("cut")
async def _cut(world: World, fault: FaultPlan) -> None:
    if fault.target < len(world.servers):
        await _cut_off(world, [world.servers[fault.target].host], fault.lasts)


@_strike("zone")
async def _zone(world: World, fault: FaultPlan) -> None:
    hosts = [server.host for server in world.servers if server.plan.zone == fault.target % world.plan.zones]
    await _cut_off(world, hosts, fault.lasts)


def _trouble(kind: str) -> None:
    async def strike(world: World, fault: FaultPlan) -> None:
        if fault.target >= len(world.servers):
            return
        server = world.servers[fault.target]
        name = f"spoil {fault.how}" if kind == "spoil" else kind
        if name in server.troubles:
            return
        server.troubles[name] = fault.arg
        if kind == "few":
            for line in list(server.lines)[3:]:
                line.transport.abort()
        await asyncio.sleep(fault.lasts)
        del server.troubles[name]

    STRIKES[kind] = strike


for _kind in ("errors", "reject", "slow", "never", "lose", "halfway", "idle", "few", "spoil"):
    _trouble(_kind)


@_strike("stale")
async def _stale(world: World, fault: FaultPlan) -> None:
    struck = [server for server in world.servers if "stale" not in server.troubles]
    for server in struck:
        server.troubles["stale"] = fault.arg
    await asyncio.sleep(fault.lasts)
    for server in struck:
        server.troubles.pop("stale", None)


@_strike("silent")
async def _silent(world: World, fault: FaultPlan) -> None:
    for agent in world.agents:
        agent.silent += 1
    await asyncio.sleep(fault.lasts)
    for agent in world.agents:
        agent.silent -= 1
        agent.note()


@_strike("dead")
async def _dead(world: World, fault: FaultPlan) -> None:
    for agent in world.agents:
        agent.dead += 1
        agent.stop()
    await asyncio.sleep(fault.lasts)
    for agent in world.agents:
        agent.dead -= 1
        if not agent.dead:
            await agent.begin()


@_strike("broken")
async def _broken(world: World, fault: FaultPlan) -> None:
    for agent in world.agents:
        agent.broken += 1
        agent.note()
    await asyncio.sleep(fault.lasts)
    for agent in world.agents:
        agent.broken -= 1


@_strike("jump")
async def _jump(world: World, fault: FaultPlan) -> None:
    for agent in world.agents:
        agent.version += 1000 + int(1e6 * fault.arg)
        agent.note()


@_strike("again")
async def _again(world: World, fault: FaultPlan) -> None:
    for agent in world.agents:
        agent.again += 1
        agent.note()
    await asyncio.sleep(min(0.5, fault.lasts))
    for agent in world.agents:
        agent.again -= 1


async def _dropped(world: World, fault: FaultPlan, names: list[str]) -> None:
    """These are off the list for a while although they are well."""
    for agent in world.agents:
        for name in names:
            if name in agent.lines and agent.lines[name]["state"] == "SERVING":
                agent.publish({**agent.lines[name], "state": "DELETED"})
    await asyncio.sleep(fault.lasts)
    for server in world.servers:
        if server.name in names and world.states[server.name] == "SERVING" and server.up:
            world.tell(server, "SERVING")


@_strike("partial")
async def _partial(world: World, fault: FaultPlan) -> None:
    names = [server.name for server in world.servers]
    count = max(1, len(names) // 4)
    await _dropped(world, fault, world.chance_of(f"partial {fault.at}").sample(names, count))


@_strike("empty")
async def _empty(world: World, fault: FaultPlan) -> None:
    await _dropped(world, fault, [server.name for server in world.servers])


@_alone("flap")
async def _flap(world: World, fault: FaultPlan, server: SimServer) -> None:
    for n in range(6):
        world.tell(server, "SERVING" if n % 2 else "DRAINING")
        await asyncio.sleep(0.02 + 0.3 * fault.arg)


@_strike("hup")
async def _hup(world: World, fault: FaultPlan) -> None:
    node = world.nodes[fault.target % len(world.nodes)]
    for _ in range(3):
        node.signal(SIGHUP)
        await asyncio.sleep(0.1 * fault.arg)


@_strike("badhup")
async def _badhup(world: World, fault: FaultPlan) -> None:
    node = world.nodes[fault.target % len(world.nodes)]
    if node.process is None or not node.process.alive or node.parts is None:
        return
    files, good = node.machine.files, node.files
    for path in good:
        files[path] = good[path][: int(len(good[path]) * fault.arg)] + b"\xff{"
    node.signal(SIGHUP)
    await asyncio.sleep(0.2)
    files.update(good)
    node.signal(SIGHUP)


@_strike("unsafe")
async def _unsafe(world: World, fault: FaultPlan) -> None:
    node = world.nodes[fault.target % len(world.nodes)]
    held = node.plan_in_force()
    if held is None or node.machine.files[OPERATOR] != node.files[OPERATOR]:
        return  # there is none, or another fault has changed it
    files = unsafe_files(world.plan)
    machine = node.machine
    machine.files[OPERATOR] = files[int(fault.arg * 997) % len(files)]
    node.signal(SIGHUP)
    await asyncio.sleep(0.3)
    if node.machine is machine and node.plan_in_force() not in (held, None):
        text = machine.files[OPERATOR].decode().replace("\n", " ")
        world.ledger.report("config", node.host, f"in force: {text}")
    machine.files[OPERATOR] = node.files[OPERATOR]


@_strike("term")
async def _term(world: World, fault: FaultPlan) -> None:
    node = world.nodes[fault.target % len(world.nodes)]
    if node.orderly or node.process is None or not node.process.alive:
        return
    node.signal(SIGTERM)
    world.restarts += 1
    await node.ended.wait()
    await asyncio.sleep(0.2 * fault.arg)
    node.start()


@_strike("kill")
async def _kill(world: World, fault: FaultPlan) -> None:
    node = world.nodes[fault.target % len(world.nodes)]
    if node.orderly or node.process is None or not node.process.alive:
        return
    node.kill()
    world.restarts += 1
    await asyncio.sleep(0.2 * fault.arg)
    if node.process is not None and not node.process.alive:
        node.start()


class _Rude(asyncio.Protocol):
    """Connects, says little, and stays until it is closed."""

    def __init__(self, words: bytes, lines: list[SimTransport]) -> None:
        self.words, self.lines = words, lines

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, SimTransport)
        self.lines.append(transport)
        if self.words:
            transport.write(self.words)


@_strike("crowd")
async def _crowd(world: World, fault: FaultPlan) -> None:
    node = world.nodes[fault.target % len(world.nodes)]
    lines: list[SimTransport] = []

    async def come(n: int) -> None:
        words = (b"", b"GET /vi", b"POST /call HTTP/1.1\r\nContent-Length: 9\r\n")[n % 3]
        try:
            async with asyncio.timeout(2.0):
                await world.net.create_connection(lambda: _Rude(words, lines), node.host, 80, local=f"x{n}")
        except OSError:
            pass

    comers = [world.loop.create_task(come(n)) for n in range(int(20 + 200 * fault.arg))]
    await asyncio.sleep(fault.lasts)
    for line in lines:
        line.abort()
    await asyncio.gather(*comers)


@_strike("scarce")
async def _scarce(world: World, fault: FaultPlan) -> None:
    node = world.nodes[fault.target % len(world.nodes)]
    machine = node.machine
    machine.descriptors = max(len(machine.sockets), int(machine.descriptors * 0.2 * fault.arg))
    await asyncio.sleep(min(1.0, fault.lasts))
    machine.descriptors = world.plan.sockets
