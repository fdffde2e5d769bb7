"""An injector for each kind of fault, which also ends it: afterwards the run is free of the fault."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from .agent import Agent
from .network import SimTransport
from .nodes import OPERATOR, NodeProcess, unsafe_operator_files
from .plan import FaultPlan, ServerPlan
from .run_context import RunContext
from .servers import SimServer

__all__ = ["INJECTORS", "FaultContext"]


class FaultContext(RunContext, Protocol):
    """A run as the injectors of faults use it."""

    servers: list[SimServer]
    nodes: list[NodeProcess]
    agents: list[Agent]
    states: dict[str, str]  # of servers, by ID, as discovery lists them
    exclusive_targets: set[int]  # numbers of servers under an exclusive fault
    restarts: int

    def publish(self, server: SimServer, state: str) -> None:
        """Publish a server's state to discovery."""


Injector = Callable[[FaultContext, FaultPlan], Awaitable[None]]
INJECTORS: dict[str, Injector] = {}
SIGHUP, SIGTERM = 1, 15


def _injector(kind: str) -> Callable[[Injector], Injector]:
    def note(strike: Injector) -> Injector:
        INJECTORS[kind] = strike
        return strike

    return note


def _exclusive_injector(
    kind: str,
) -> Callable[[Callable[[FaultContext, FaultPlan, SimServer], Awaitable[None]]], None]:
    """Register the injector of an exclusive fault: it is the only such fault of its server until it ends."""

    def note(strike: Callable[[FaultContext, FaultPlan, SimServer], Awaitable[None]]) -> None:
        async def alone(world: FaultContext, fault: FaultPlan) -> None:
            server = _claim_server(world, fault.target)
            if server is not None:
                await strike(world, fault, server)
                world.exclusive_targets.discard(fault.target)

        INJECTORS[kind] = alone

    return note


def _claim_server(world: FaultContext, number: int) -> SimServer | None:
    """Claim a server for an exclusive fault; None if it doesn't exist or has one already."""
    if number >= len(world.servers) or number in world.exclusive_targets:
        return None
    world.exclusive_targets.add(number)
    return world.servers[number]


@_exclusive_injector("crash")
async def _crash(world: FaultContext, fault: FaultPlan, server: SimServer) -> None:
    server.crash()
    await asyncio.sleep(fault.lasts * fault.arg)
    world.publish(server, "DRAINING")
    await asyncio.sleep(fault.lasts)
    await server.begin(cold=True)
    await asyncio.sleep(0.2 * fault.arg)
    world.publish(server, "SERVING")


@_injector("gone")
async def _gone(world: FaultContext, fault: FaultPlan) -> None:
    server = _claim_server(world, fault.target)
    if server is None:
        return
    server.crash()
    await asyncio.sleep(fault.lasts * fault.arg)
    world.publish(server, "DELETED")


@_injector("massacre")
async def _massacre(world: FaultContext, fault: FaultPlan) -> None:
    rng = world.rng_for(f"massacre {fault.at}")
    numbers = [n for n in range(len(world.servers)) if n not in world.exclusive_targets]
    count = round((0.3 + 0.7 * fault.arg) * len(numbers))
    crashed = rng.sample(numbers, count)
    world.exclusive_targets.update(crashed)
    for n in crashed:
        world.servers[n].crash()
    await asyncio.sleep(rng.uniform(0.1, 0.6))
    for n in crashed:
        world.publish(world.servers[n], "DRAINING" if rng.random() < 0.5 else "DELETED")
    await asyncio.sleep(fault.lasts)
    for n in crashed:
        await world.servers[n].begin(cold=True)
        world.publish(world.servers[n], "SERVING")
        world.exclusive_targets.discard(n)
        await asyncio.sleep(rng.uniform(0.0, 0.5))


@_exclusive_injector("drain")
async def _drain(world: FaultContext, fault: FaultPlan, server: SimServer) -> None:
    world.publish(server, "DRAINING")
    await asyncio.sleep(fault.lasts)
    world.publish(server, "SERVING")


async def _restart(world: FaultContext, server: SimServer, delay: float) -> None:
    world.publish(server, "DRAINING")
    await asyncio.sleep(world.plan.drain_grace / 1000 + delay)
    server.crash()
    await asyncio.sleep(0.05)
    await server.begin(cold=True)
    world.publish(server, "SERVING")


@_injector("roll")
async def _roll(world: FaultContext, fault: FaultPlan) -> None:
    for n in range(fault.target, min(len(world.servers), fault.target + 3)):
        server = _claim_server(world, n)
        if server is not None:
            await _restart(world, server, 0.3)
            world.exclusive_targets.discard(n)


@_exclusive_injector("edge")
async def _edge(world: FaultContext, fault: FaultPlan, server: SimServer) -> None:
    await _restart(world, server, 0.04 * (fault.arg - 0.5))


@_exclusive_injector("move")
async def _move(world: FaultContext, fault: FaultPlan, old: SimServer) -> None:
    new = SimServer(world, old.plan, f"{old.host}m")
    await new.begin(cold=True)
    world.servers[fault.target] = new
    world.publish(new, "SERVING")
    await asyncio.sleep(world.plan.drain_grace / 1000 + 0.5)
    old.crash()


@_exclusive_injector("replace")
async def _replace(world: FaultContext, fault: FaultPlan, old: SimServer) -> None:
    old.crash()
    await asyncio.sleep(fault.lasts * fault.arg)
    plan: ServerPlan = msgspec.structs.replace(old.plan, name=f"{old.plan.name}r")
    new = SimServer(world, plan, old.host)
    await new.begin(cold=True)
    world.servers[fault.target] = new
    world.states[new.name] = "SERVING"
    world.publish(old, "DELETED")
    world.publish(new, "SERVING")


async def _cut_off(world: FaultContext, hosts: list[str], seconds: float) -> None:
    pairs = [(node.host, host) for node in world.nodes for host in hosts]
    for pair in pairs:
        world.net.partitions.add(frozenset(pair))
    await asyncio.sleep(seconds)
    for one, other in pairs:
        world.net.heal(one, other)


@_injector("cut")
async def _cut(world: FaultContext, fault: FaultPlan) -> None:
    if fault.target < len(world.servers):
        await _cut_off(world, [world.servers[fault.target].host], fault.lasts)


@_injector("zone")
async def _zone(world: FaultContext, fault: FaultPlan) -> None:
    hosts = [server.host for server in world.servers if server.plan.zone == fault.target % world.plan.zones]
    await _cut_off(world, hosts, fault.lasts)


def _register_server_fault(kind: str) -> None:
    async def strike(world: FaultContext, fault: FaultPlan) -> None:
        if fault.target >= len(world.servers):
            return
        server = world.servers[fault.target]
        name = f"spoil {fault.how}" if kind == "spoil" else kind
        if name in server.active_faults:
            return
        server.active_faults[name] = fault.arg
        if kind == "few":
            for connection in list(server.connections)[3:]:
                connection.transport.abort()
        await asyncio.sleep(fault.lasts)
        del server.active_faults[name]

    INJECTORS[kind] = strike


for _kind in ("errors", "reject", "slow", "never", "lose", "halfway", "idle", "few", "spoil"):
    _register_server_fault(_kind)


@_injector("stale")
async def _stale(world: FaultContext, fault: FaultPlan) -> None:
    affected = [server for server in world.servers if "stale" not in server.active_faults]
    for server in affected:
        server.active_faults["stale"] = fault.arg
    await asyncio.sleep(fault.lasts)
    for server in affected:
        server.active_faults.pop("stale", None)


@_injector("silent")
async def _silent(world: FaultContext, fault: FaultPlan) -> None:
    for agent in world.agents:
        agent.silent += 1
    await asyncio.sleep(fault.lasts)
    for agent in world.agents:
        agent.silent -= 1
        agent.notify_waiters()


@_injector("dead")
async def _dead(world: FaultContext, fault: FaultPlan) -> None:
    for agent in world.agents:
        agent.dead += 1
        agent.stop()
    await asyncio.sleep(fault.lasts)
    for agent in world.agents:
        agent.dead -= 1
        if not agent.dead:
            await agent.begin()


@_injector("broken")
async def _broken(world: FaultContext, fault: FaultPlan) -> None:
    for agent in world.agents:
        agent.broken += 1
        agent.notify_waiters()
    await asyncio.sleep(fault.lasts)
    for agent in world.agents:
        agent.broken -= 1


@_injector("jump")
async def _jump(world: FaultContext, fault: FaultPlan) -> None:
    for agent in world.agents:
        agent.version += 1000 + int(1e6 * fault.arg)
        agent.notify_waiters()


@_injector("again")
async def _again(world: FaultContext, fault: FaultPlan) -> None:
    for agent in world.agents:
        agent.again += 1
        agent.notify_waiters()
    await asyncio.sleep(min(0.5, fault.lasts))
    for agent in world.agents:
        agent.again -= 1


async def _dropped(world: FaultContext, fault: FaultPlan, names: list[str]) -> None:
    """Remove healthy servers from the list for the duration of a fault."""
    for agent in world.agents:
        for name in names:
            if name in agent.entries and agent.entries[name]["state"] == "SERVING":
                agent.publish({**agent.entries[name], "state": "DELETED"})
    await asyncio.sleep(fault.lasts)
    for server in world.servers:
        if server.name in names and world.states[server.name] == "SERVING" and server.up:
            world.publish(server, "SERVING")


@_injector("partial")
async def _partial(world: FaultContext, fault: FaultPlan) -> None:
    names = [server.name for server in world.servers]
    count = max(1, len(names) // 4)
    await _dropped(world, fault, world.rng_for(f"partial {fault.at}").sample(names, count))


@_injector("empty")
async def _empty(world: FaultContext, fault: FaultPlan) -> None:
    await _dropped(world, fault, [server.name for server in world.servers])


@_exclusive_injector("flap")
async def _flap(world: FaultContext, fault: FaultPlan, server: SimServer) -> None:
    for n in range(6):
        world.publish(server, "SERVING" if n % 2 else "DRAINING")
        await asyncio.sleep(0.02 + 0.3 * fault.arg)


@_injector("hup")
async def _hup(world: FaultContext, fault: FaultPlan) -> None:
    node = world.nodes[fault.target % len(world.nodes)]
    for _ in range(3):
        node.signal(SIGHUP)
        await asyncio.sleep(0.1 * fault.arg)


@_injector("badhup")
async def _badhup(world: FaultContext, fault: FaultPlan) -> None:
    node = world.nodes[fault.target % len(world.nodes)]
    if node.process is None or not node.process.alive or node.parts is None:
        return
    files, valid_files = node.sim_host.files, node.files
    for path in valid_files:
        files[path] = valid_files[path][: int(len(valid_files[path]) * fault.arg)] + b"\xff{"
    node.signal(SIGHUP)
    await asyncio.sleep(0.2)
    files.update(valid_files)
    node.signal(SIGHUP)


@_injector("unsafe")
async def _unsafe_file(world: FaultContext, fault: FaultPlan) -> None:
    node = world.nodes[fault.target % len(world.nodes)]
    policy = node.active_policy()
    if policy is None or node.sim_host.files[OPERATOR] != node.files[OPERATOR]:
        return  # no operator file, or another fault has changed it
    files = unsafe_operator_files(world.plan)
    sim_host = node.sim_host
    sim_host.files[OPERATOR] = files[int(fault.arg * 997) % len(files)]
    node.signal(SIGHUP)
    await asyncio.sleep(0.3)
    if node.sim_host is sim_host and node.active_policy() not in (policy, None):
        text = sim_host.files[OPERATOR].decode().replace("\n", " ")
        world.ledger.report("config", node.host, f"in force: {text}")
    sim_host.files[OPERATOR] = node.files[OPERATOR]


@_injector("term")
async def _term(world: FaultContext, fault: FaultPlan) -> None:
    node = world.nodes[fault.target % len(world.nodes)]
    if node.terminating or node.process is None or not node.process.alive:
        return
    node.signal(SIGTERM)
    world.restarts += 1
    await node.ended.wait()
    await asyncio.sleep(0.2 * fault.arg)
    node.start()


@_injector("kill")
async def _kill(world: FaultContext, fault: FaultPlan) -> None:
    node = world.nodes[fault.target % len(world.nodes)]
    if node.terminating or node.process is None or not node.process.alive:
        return
    node.kill()
    world.restarts += 1
    await asyncio.sleep(0.2 * fault.arg)
    if node.process is not None and not node.process.alive:
        node.start()


class _IdleClient(asyncio.Protocol):
    """A client that connects, sends an incomplete request or nothing, and stays until it is closed."""

    def __init__(self, first_bytes: bytes, connections: list[SimTransport]) -> None:
        self.first_bytes, self.connections = first_bytes, connections

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, SimTransport)
        self.connections.append(transport)
        if self.first_bytes:
            transport.write(self.first_bytes)


@_injector("crowd")
async def _crowd(world: FaultContext, fault: FaultPlan) -> None:
    node = world.nodes[fault.target % len(world.nodes)]
    connections: list[SimTransport] = []

    async def connect(n: int) -> None:
        first_bytes = (b"", b"GET /vi", b"POST /call HTTP/1.1\r\nContent-Length: 9\r\n")[n % 3]
        try:
            async with asyncio.timeout(2.0):
                await world.net.create_connection(
                    lambda: _IdleClient(first_bytes, connections), node.host, 80, local=f"x{n}"
                )
        except OSError:
            pass

    tasks = [world.loop.create_task(connect(n)) for n in range(int(20 + 200 * fault.arg))]
    await asyncio.sleep(fault.lasts)
    for connection in connections:
        connection.abort()
    await asyncio.gather(*tasks)


@_injector("scarce")
async def _scarce(world: FaultContext, fault: FaultPlan) -> None:
    node = world.nodes[fault.target % len(world.nodes)]
    sim_host = node.sim_host
    sim_host.descriptors = max(len(sim_host.sockets), int(sim_host.descriptors * 0.2 * fault.arg))
    await asyncio.sleep(min(1.0, fault.lasts))
    sim_host.descriptors = world.plan.sockets
