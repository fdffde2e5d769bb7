"""A whole run: nodes as simulated processes, their discovery agents, servers and clients, on one event loop.

The checks of `oracles` run after every step. A run ends at the first violation, or once its nodes have
drained.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from hollybay.proxy.config import settings_from_json
from hollybay.testbed.ledger import FinalOutcome, RuleLimits, Violation
from hollybay.units import SECOND

from .agent import Agent
from .clients import Clients
from .fault_injection import INJECTORS
from .host import SimHost
from .http import filler
from .loop import Deadlock, SimLoop, StepLimit
from .network import Link, Network
from .nodes import NodeProcess
from .oracles import OracleLedger, leak_violation
from .plan import FaultPlan, Plan, RequestPlan, draw, settings
from .servers import SimServer

__all__ = ["Outcome", "World", "play", "play_seed"]

# The maximum number of steps of a run, and its duration (s of virtual time) after the faults: by then
# pauses, idle timeouts and slow starts have ended.
MAX_STEPS = 400_000
SETTLE_S = 10.0
SIGTERM = 15


@dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of a run: its steps, trace, virtual time (s), violations, and requests by final outcome."""

    steps: int
    trace: str
    seconds: float
    violations: tuple[Violation, ...]
    ends: dict[str, int]

    @property
    def rules(self) -> frozenset[str]:
        """The names of the rules and oracles that were violated."""
        return frozenset(fault.rule for fault in self.violations)


class World:
    """One run of one plan."""

    def __init__(self, loop: SimLoop, plan: Plan) -> None:
        self.loop = loop
        self.plan = plan
        self.net = Network(loop, Link(plan.delay, plan.jitter, plan.split, plan.window))
        self.settings = settings_from_json(settings(plan, 0))
        self.ledger = OracleLedger(RuleLimits.of(self.settings), self.now)
        self.ledger.write_trace = loop.record_trace
        self.requests: dict[str, RequestPlan] = {}
        # Response bodies that servers made, by request and first line.
        self.served_bodies: dict[str, dict[bytes, bytes]] = {}
        # By node and server address: whether the node's list has it, and if not, since when (ns).
        self.listed_addresses: dict[tuple[str, str], tuple[bool, int | None]] = {}
        self.addresses: dict[tuple[str, str], str] = {}  # by node and server ID
        self.restarts = 0
        self.nodes = [NodeProcess(self, n) for n in range(plan.nodes)]
        self.agents = [Agent(self, node.host) for node in self.nodes]
        self.servers: list[SimServer] = [SimServer(self, server) for server in plan.servers]
        self.states = {server.name: "SERVING" for server in self.servers}
        self.clients = Clients(self)
        self.ledger.accepted = self.clients.accepted
        self.exclusive_targets: set[int] = set()  # numbers of servers under an exclusive fault

    def now(self) -> int:
        """The virtual time (ns)."""
        return int(self.loop.now * SECOND)

    def rng_for(self, name: str) -> random.Random:
        """Return a random generator, seeded by the plan's seed and a name."""
        return random.Random(f"{self.plan.seed} {name}")

    def make_body(self, rid: str, host: str, size: int) -> bytes:
        """Make a response body; its first line has request, server and the number of earlier bodies."""
        served_bodies = self.served_bodies.setdefault(rid, {})
        first = b"%s by %s %d" % (rid.encode(), host.encode(), len(served_bodies))
        served_bodies[first] = first + b"\n" + filler(f"{rid} {host}", size)
        return served_bodies[first]

    # Discovery

    def publish(self, server: SimServer, state: str) -> None:
        """Publish a server's state, address and weight to discovery."""
        self.states[server.name] = state
        for agent in self.agents:
            agent.publish(server.listing_entry(state))

    def on_list_delivered(self, node: str, listing: dict[str, Any]) -> None:
        """Record a list sent to a node, on which the drain rule and the address oracle are based."""
        now = self.now()
        entries = {str(entry["id"]): entry for entry in listing["servers"]}
        if listing["full"]:
            for (at, name), host in list(self.addresses.items()):
                if at == node and name not in entries:
                    self._address_removed(node, host, now)
                    del self.addresses[at, name]
        for name, entry in entries.items():
            host = str(entry["addr"]).partition(":")[0]
            before = self.addresses.get((node, name))
            if before is not None and before != host:
                self._address_removed(node, before, now)
                del self.addresses[node, name]
            if entry["state"] == "DELETED":
                if before is not None:
                    self._address_removed(node, before, now)
                    self.addresses.pop((node, name), None)
                continue
            self.addresses[node, name] = host
            self.listed_addresses[node, host] = (True, None)
            self.ledger.told(host, entry["state"] == "SERVING", now, node)

    def _address_removed(self, node: str, host: str, now: int) -> None:
        others = [name for (at, name), told in self.addresses.items() if at == node and told == host]
        if len(others) > 1:
            return  # another ID has this address
        listed, since = self.listed_addresses.get((node, host), (False, None))
        self.listed_addresses[node, host] = (False, now if listed or since is None else since)
        self.ledger.told(host, False, now, node)

    # Running

    def check_step(self) -> None:
        """Run the checks that are due after a step."""
        self.ledger.check_step()
        for node in self.nodes:
            node.check()
        if self.loop.errors:
            error = self.loop.errors[0]
            self.ledger.report(
                "process", "models", f"unhandled exception: {error.get('exception') or error.get('message')}"
            )

    async def main(self) -> None:
        """Start, play requests and faults, wait until idle, check liveness and resources, and drain."""
        loop = self.loop
        for server in self.servers:
            await server.begin(cold=False)
        for agent in self.agents:
            for server in self.servers:
                agent.publish(server.listing_entry("SERVING"))
            await agent.begin()
        for node in self.nodes:
            node.start()
        await asyncio.sleep(0.2)
        background = [loop.create_task(self._weights())]
        began = loop.now
        injections = [loop.create_task(self._inject(fault, began)) for fault in self.plan.faults]
        await self.clients.run()
        await asyncio.gather(*injections)
        await self._wait_for_open_requests()
        await asyncio.sleep(SETTLE_S + self.plan.warm_up / 1000)
        await self._check_liveness()
        for task in background:
            task.cancel()
        await asyncio.sleep(2.5 + self.plan.idle / 1000)
        for node in self.nodes:
            self.ledger.report("rest", node.host, leak_violation(node.remaining_resources()))
        for node in self.nodes:
            node.signal(SIGTERM)
        for node in self.nodes:
            await node.ended.wait()
        self.clients.close()
        await asyncio.sleep(1.0)
        hosts = {node.host for node in self.nodes}
        ends = sum(end.local[0] in hosts for end in self.net.transports)
        self.ledger.report("rest", "nodes", leak_violation({"open connections after the end": ends}))

    async def _wait_for_open_requests(self) -> None:
        """Wait until no request is open: each ends by its deadline, or was never accepted."""
        until = self.loop.now + 30.0
        while self.clients.open_count and self.loop.now < until:
            await asyncio.sleep(0.05)
        for rid in self.clients.calls:
            self.ledger.report("lost", rid, "still open after its deadline")

    async def _inject(self, fault: FaultPlan, began: float) -> None:
        await asyncio.sleep(began + fault.at - self.loop.now)
        self.loop.record_trace(f"# {fault.kind} {fault.how} {fault.target} for {fault.lasts} s")
        await INJECTORS[fault.kind](self, fault)
        self.loop.record_trace(f"# {fault.kind} {fault.how} {fault.target} is over")

    async def _weights(self) -> None:
        """Publish live weights every second."""
        while True:
            await asyncio.sleep(1.0)
            if self.plan.weights == "live":
                for server in self.servers:
                    if server.up and self.states[server.name] == "SERVING":
                        self.publish(server, "SERVING")

    async def _check_liveness(self) -> None:
        """Check that every class is served at every node after the faults have ended."""
        rids: list[str] = []
        for cls in range(len(self.plan.classes)):
            for node in self.nodes:
                for n in range(3):
                    rid = f"last-{cls}-{node.number}-{n}"
                    rids.append(rid)
                    self.clients.ask(RequestPlan(0.0, cls, node.number, 99, "fresh"), rid)
                    await asyncio.sleep(0.6)
        await self._wait_for_open_requests()
        if not any(server.up and self.states[server.name] == "SERVING" for server in self.servers):
            return
        for at in range(0, len(rids), 3):
            entries = [self.ledger.requests[rid] for rid in rids[at : at + 3]]
            if not any(entry.final is FinalOutcome.SERVED for entry in entries):
                self.ledger.report("live", rids[at], "none of three requests served after the faults ended")


def play(plan: Plan, record: Callable[[str], None] | None = None) -> Outcome:
    """Play a plan to its end or the first violation; the same plan gives the same run."""
    # asyncio.AbstractEventLoop has methods that are not used here (processes, files, datagrams).
    loop = SimLoop(plan.seed, max_steps=MAX_STEPS)  # type: ignore[abstract]
    loop.recorder = record
    collecting = gc.isenabled()
    gc.disable()  # the time of a collection would depend on earlier runs
    try:
        world = World(loop, plan)
        ledger = world.ledger

        def check() -> None:
            world.check_step()
            if ledger.found:
                raise _ViolationFound

        loop.after_step = check
        log_handler = _LogHandler(world)
        log = logging.getLogger("hollybay.proxy")
        kept = log.handlers, log.propagate, log.level
        log.handlers, log.propagate = [log_handler], False
        log.setLevel(logging.WARNING)
        main = loop.create_task(world.main())
        sim_host = SimHost(world.net, "models")
        with sim_host.installed():
            try:
                loop.run_until_complete(main)
            except _ViolationFound:
                pass
            except (Deadlock, StepLimit) as error:
                ledger.report("process", "run", f"{type(error).__name__}: {error}")
        log.handlers, log.propagate, level = kept
        log.setLevel(level)
        ends: dict[str, int] = {}
        for entry in ledger.requests.values():
            name = "open" if entry.final is None else entry.final.value
            ends[name] = ends.get(name, 0) + 1
        for node in world.nodes:
            if node.process is not None:
                node.process.alive = False
        return Outcome(loop.steps, loop.trace, loop.now - 1000.0, tuple(ledger.found), ends)
    finally:
        if collecting:
            gc.enable()


class _LogHandler(logging.Handler):
    """Reports exceptions that a node logs, caught by its last-resort handlers, as violations."""

    def __init__(self, world: World) -> None:
        super().__init__(logging.WARNING)
        self.world = world

    def emit(self, record: logging.LogRecord) -> None:
        if record.exc_info and record.exc_info[1] is not None:
            error = record.exc_info[1]
            what = f"{record.getMessage()}: {type(error).__name__}: {error}"
            self.world.ledger.report("process", "log", what)


class _ViolationFound(BaseException):
    """Ends the run at a violation."""


def play_seed(seed: int, allowed: tuple[str, ...] = ()) -> tuple[Plan, Outcome]:
    """Draw the plan of a seed and play it."""
    plan = draw(seed, allowed) if allowed else draw(seed)
    return plan, play(plan)
