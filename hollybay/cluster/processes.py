"""Entry points of the processes of a run: nodes, servers, registry, clients, operators and network faults.

A node is the real serve() on a port chosen by the kernel. The others serve calls of the harness (control.py),
write events to their event logs, and record periodic beats, by which the harness knows how late they were.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import functools
import logging
import os
import random
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

import msgspec
import uvloop

from hollybay.balancing import interface as api
from hollybay.consensus.log_events import LogEvent
from hollybay.proxy.config import load
from hollybay.proxy.life_cycle import serve
from hollybay.testbed.client_connection import ClientConnection
from hollybay.testbed.client_request import ClientRequest, RequestMix
from hollybay.testbed.cpu_wait import cpu_wait_ns
from hollybay.testbed.fake_environment import CLASSES, SHARES, TENANTS, WORK, settings
from hollybay.testbed.fake_server import FakeServer, ServerKind
from hollybay.testbed.fake_server_connection import ScriptedAnswer
from hollybay.testbed.ledger import FinalOutcome, Ledger, RequestEntry, RuleLimits, ServerStart
from hollybay.testbed.load_generator import LoadGenerator
from hollybay.units import SECOND

from . import planted
from .control import serve_calls
from .links import Link, LinkedListener, LinkedProtocol, LinkState
from .records import (
    Answered,
    Arrived,
    Beat,
    Began,
    Called,
    Event,
    EventLog,
    Left,
    Posted,
    Said,
    ServerDown,
    ServerUp,
    Told,
    Under,
)
from .records import Asked as AskedEvent
from .registry import NodeDiscovery, Registry

__all__ = ["BEAT_INTERVAL", "CONTROL", "node_settings", "rule_limits", "run_process"]

CONTROL = "control.sock"
# Interval between beats of a process (s).
BEAT_INTERVAL = 0.02


def node_settings(run: Any, node: int = 0) -> dict[str, Any]:
    """Return the settings object of one node of a run (plan.RunTable)."""
    zones = [f"z{n}" for n in range(run.zones)]
    return settings(
        run.configured or run.nodes,
        me=node % (run.configured or run.nodes),
        zones=zones,
        **{"my-zone": node % run.zones},
    )


# A response counts as lost if it comes more than this (ns) after its deadline, as operators specified for
# many nodes on one machine; a response between the deadline and this limit is worth nothing in the figures.
LATE_LIMIT = 500_000_000


def rule_limits(run: Any) -> RuleLimits:
    """Return the limits of the rules for a run."""
    from hollybay.proxy.config import settings_from_json

    return replace(RuleLimits.of(settings_from_json(node_settings(run))), late=LATE_LIMIT)


class _RecordingLedger(Ledger):
    """A ledger that writes events to this process's event log, and keeps only the state needed for that."""

    def __init__(self, limits: RuleLimits, journal: EventLog) -> None:
        super().__init__(limits)
        self.journal = journal
        self.loop = asyncio.get_running_loop()
        self.due = False
        self.firsts: dict[str, int] = {}
        self.work = 0  # ns, of the next request

    def write(self, event: Event) -> None:
        """Write an event; it is flushed in this iteration of the event loop."""
        self.journal.write(event)
        if not self.due:
            self.due = True
            self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        self.due = False
        self.journal.flush()

    def asked(self, rid: str, cls: int, at: int, deadline: int, tenant: str = "") -> RequestEntry:
        self.write(AskedEvent(at, rid, cls, deadline, tenant, self.work))
        return RequestEntry(rid, cls, at, deadline, tenant)

    def answered(
        self, rid: str, final: FinalOutcome, at: int, status: int = 0, retry_after: float | None = None
    ) -> None:
        now = time.monotonic_ns()
        self.write(Answered(now, rid, final.value, status, retry_after, max(0, now - at)))

    def started(self, server: str, at: int, capacity: float, cold: bool = True) -> ServerStart:
        self.write(ServerUp(at, server, capacity, 1, cold))
        return ServerStart(server, at, capacity, cold)

    def first_byte(self, server: str, at: int, node: str = "") -> None:
        self.firsts[server] = at

    def arrived(
        self, rid: str, start: ServerStart, at: int, zone: int, cell: int, work: int, runs: bool
    ) -> None:
        first = self.firsts.get(start.server, at)
        self.write(Arrived(at, rid, start.server, first, work, zone, cell, runs))

    def work_began(self, rid: str, start: ServerStart, at: int) -> None:
        self.write(Began(at, rid, start.server))

    def work_ended(self, rid: str, start: ServerStart, at: int, done: bool) -> None:
        self.write(Left(at, rid, start.server, done))


def run_process(role: str, name: str, folder: Path, words: dict[str, Any]) -> int:
    """Run a process of the given role until it ends; return its exit status."""
    logging.basicConfig(stream=sys.stderr, level=logging.WARNING, format="%(levelname)s %(message)s")
    logging.getLogger("hollybay.accord").setLevel(logging.INFO)
    if role == "node":
        return _run_node(name, folder, words)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run_worker(role, name, folder, words))
    return 0


def _run_node(name: str, folder: Path, words: dict[str, Any]) -> int:
    environ = {"BALANCER_CONFIG": str(folder / f"{name}.json"), "TMPDIR": str(folder)}
    if words.get("operator"):
        environ["HOLLYBAY_OPERATOR"] = words["operator"]
    if words.get("defect"):
        planted.plant(words["defect"])
    control_socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)

    def started(port: int) -> None:
        # This line reports readiness; the harness takes the end of the connection as the end of the process.
        control_socket.connect(str(folder / CONTROL))
        control_socket.sendall(msgspec.json.encode({"name": name, "port": port, "pid": os.getpid()}) + b"\n")

    journals: list[EventLog] = []
    if words.get("keepers"):
        journals.append(_record_policies(name, folder, words))
    uvloop.run(serve(load(environ), environ, started=started, port=0))
    for journal in journals:
        journal.close()
    return 0


def _record_policies(name: str, folder: Path, words: dict[str, Any]) -> EventLog:
    """Record under which policies requests begin in this node; if a crash step is given, kill the process at
    it."""
    from hollybay.consensus.store import Store
    from hollybay.proxy.consensus_member import ConsensusMember

    # Offset of the clock of the leases from the clock of all event logs.
    ahead = time.clock_gettime_ns(time.CLOCK_BOOTTIME) - time.monotonic_ns()
    journal = EventLog(folder / f"{name}.{os.getpid()}.journal")
    due = False

    def flush() -> None:
        nonlocal due
        due = False
        journal.flush()

    def began(at: int, names: tuple[str, ...]) -> None:
        nonlocal due
        journal.write(Under(at - ahead, name, names))
        if not due:
            due = True
            asyncio.get_running_loop().call_soon(flush)

    crash = words.get("death")

    def crash_at_step(event: str, **found: Any) -> None:
        if crash is not None and event == crash["event"] and found.get("stage", "") in (crash["stage"], ""):
            journal.flush()
            os.kill(os.getpid(), signal.SIGKILL)

    log_event, start = ConsensusMember.log_event, ConsensusMember.start

    def log_and_check_crash(self: ConsensusMember, event: LogEvent, **found: object) -> None:
        log_event(self, event, **found)
        crash_at_step(event, **found)

    async def start_recording(self: ConsensusMember) -> None:
        self.on_request_begun = began
        await start(self)

    ConsensusMember.log_event, ConsensusMember.start = log_and_check_crash, start_recording  # type: ignore[method-assign]
    put = Store.put

    def put_with_crash_step(self: Store, data: bytes) -> None:
        if self.paths[0].name == "keeper.0":
            self.before_step = crash_at_step
        put(self, data)

    Store.put = put_with_crash_step  # type: ignore[method-assign]
    if words.get("unfit") or words.get("full"):
        _plant_policy_fault(bool(words.get("full")))
    return journal


def _plant_policy_fault(full: bool) -> None:
    """Make every policy after the first fail in this node: it does not compile, or the disk is full."""
    from hollybay.consensus.log import PolicyLog
    from hollybay.consensus.log_entry import Entry
    from hollybay.consensus.policy import PolicyVersion
    from hollybay.consensus.store import StoreError
    from hollybay.proxy.consensus_member import ConsensusMember

    if not full:
        compiled = ConsensusMember.compile_policy

        async def compile_policy(self: ConsensusMember, entry: Entry) -> list[str]:
            later = entry.policy.version > 1
            return ["[route 1]: does not hold here"] if later else await compiled(self, entry)

        ConsensusMember.compile_policy = compile_policy  # type: ignore[method-assign]
        return
    append = PolicyLog.append

    def append_unless_full(self: PolicyLog, policy: PolicyVersion) -> Entry:
        if policy.version > 1 and self.policy(policy.name) is None:
            raise StoreError("[Errno 28] No space left on device")
        return append(self, policy)

    PolicyLog.append = append_unless_full  # type: ignore[method-assign]


async def _run_worker(role: str, name: str, folder: Path, words: dict[str, Any]) -> None:
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, lambda: None)
    journal = EventLog(folder / f"{name}.journal")
    limits = msgspec.convert(words["limits"], RuleLimits)
    recorder = _RecordingLedger(limits, journal)
    senders: list[Callable[[dict[str, Any]], None]] = []

    def send_event(**message: Any) -> None:
        senders[0](message)

    worker = _WORKER_TYPES[role](name, recorder, words, send_event)
    beating = asyncio.get_running_loop().create_task(_record_heartbeats(name, recorder))
    await serve_calls(folder / CONTROL, {"name": name, "pid": os.getpid()}, worker, senders)
    beating.cancel()
    journal.close()


async def _record_heartbeats(name: str, recorder: _RecordingLedger) -> None:
    loop = asyncio.get_running_loop()
    waited = cpu_wait_ns()
    due = loop.time() + BEAT_INTERVAL
    while True:
        await asyncio.sleep(due - loop.time())
        late = max(0.0, loop.time() - due)
        known, waited = waited, cpu_wait_ns()
        recorder.write(Beat(time.monotonic_ns(), name, int(late * SECOND), max(0, waited - known)))
        due = max(due + BEAT_INTERVAL, loop.time() + BEAT_INTERVAL / 2)


class _WorkerProcess:
    """Serves calls of the harness with its methods named do_*."""

    def __init__(
        self, name: str, recorder: _RecordingLedger, words: dict[str, Any], send_event: Callable[..., None]
    ) -> None:
        self.name = name
        self.recorder = recorder
        self.words = words
        self.send_event = send_event
        self.loop = asyncio.get_running_loop()

    async def __call__(self, message: dict[str, Any]) -> Any:
        method: Callable[..., Awaitable[Any]] = getattr(self, f"do_{message['do']}")
        words = {key: value for key, value in message.items() if key not in ("do", "id")}
        return await method(**words)


# Servers


def _work_of(target: bytes, rng: random.Random) -> float:
    """Return the seconds of work that the client put into the target; 0.05 if there are none."""
    _, _, value = target.partition(b"?w=")
    return int(value) / 1e6 if value.isdigit() else 0.05


class _Server(FakeServer):
    """A server with a listener for each side (Plan.sides), and faults on command."""

    def __init__(self, sides: int, recorder: _RecordingLedger, **words: Any) -> None:
        super().__init__(ledger=recorder, work_of=_work_of, **words)
        self.nominal = self.kind
        self.links = [Link() for _ in range(sides)]
        self.listeners = [LinkedListener(link, self.connection) for link in self.links]
        self.failing = 0.0
        self.rng = random.Random(f"fail {self.name}")
        self.script = self._script

    async def listen(self) -> None:
        for listener in self.listeners:
            listener.open()
        self.port = self.listeners[0].port
        self.address = f"127.0.0.1:{self.port}"

    def shut(self) -> None:
        for listener in self.listeners:
            listener.close()

    def slow_down(self, times: float) -> None:
        """Make work take this many times as long, without a change in the list."""
        self.kind = replace(self.nominal, speed=self.nominal.speed / times)

    def _script(self, rid: str, target: bytes) -> ScriptedAnswer:
        failed = self.failing > 0.0 and self.rng.random() < self.failing
        return ScriptedAnswer(500) if failed else ScriptedAnswer()

    def list_line(self) -> dict[str, object]:
        """Return the line of this server in the list, with an address for each side."""
        line = self.line()
        held = len(self.running) + len(self.waiting)
        line["weight"] = round(self.nominal.capacity / (1 + held), 3)
        line["addrs"] = [f"127.0.0.1:{listener.port}" for listener in self.listeners]
        return line


class _ServersProcess(_WorkerProcess):
    """The process of some of the servers."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.servers: dict[str, _Server] = {}

    async def do_open(self, servers: list[dict[str, Any]], sides: int, away: list[str]) -> Any:
        """Create and start servers; those in `away` get a port and are not up."""
        for words in servers:
            kind = ServerKind(**words.pop("kind"))
            server = _Server(sides, self.recorder, kind=kind, **words)
            self.servers[server.name] = server
            await server.start()
            if server.name in away:
                await self.do_crash([server.name])
        return await self.do_rows()

    async def do_rows(self) -> Any:
        """Return the list lines of the servers that are up."""
        return {name: server.list_line() for name, server in self.servers.items() if server.up}

    async def do_crash(self, names: list[str]) -> None:
        for name in names:
            if self.servers[name].up:
                self.servers[name].crash()
                self.recorder.write(ServerDown(time.monotonic_ns(), name))

    async def do_back(self, names: list[str]) -> None:
        for name in names:
            if not self.servers[name].up:
                await self.servers[name].start(cold=True)

    async def do_slow(self, names: list[str], by: float) -> None:
        for name in names:
            self.servers[name].slow_down(by)

    async def do_fail(self, names: list[str], by: float) -> None:
        for name in names:
            self.servers[name].failing = by

    async def do_state(self, names: list[str], state: str) -> None:
        for name in names:
            self.servers[name].state = state

    async def do_link(self, names: list[str], sides: list[int], state: dict[str, Any]) -> None:
        for name in names:
            if name in self.servers:
                for side in sides:
                    self.servers[name].links[side].set_state(msgspec.convert(state, LinkState))


# The registry


class _DiscoveryProcess(_WorkerProcess):
    """The process of the discovery registry."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.nodes_with_list: set[str] = set()
        self.registry = Registry(self._on_state_sent, self._on_list_sent)

    def _on_state_sent(self, node: str, server: str, ready: bool) -> None:
        self.recorder.write(Told(time.monotonic_ns(), node, server, ready))

    def _on_list_sent(self, node: str) -> None:
        if node not in self.nodes_with_list:
            self.nodes_with_list.add(node)
            self.send_event(event="heard", node=node)

    async def do_open(self, nodes: dict[str, int]) -> Any:
        """Open a port for each node, given its side."""
        return {
            name: NodeDiscovery(self.registry, name, side).listener.open() for name, side in nodes.items()
        }

    async def do_publish(self, lines: dict[str, dict[str, Any]]) -> None:
        self.registry.publish(lines)

    async def do_forget(self, names: list[str]) -> None:
        """Forget the state sent to nodes that have exited."""
        for name in names:
            self.nodes_with_list.discard(name)
            self.registry.by_node[name].reset_states()

    async def do_late(self, names: list[str], by: float) -> None:
        for name in names:
            self.registry.by_node[name].lag = by

    async def do_link(self, names: list[str], state: dict[str, Any]) -> None:
        for name in names:
            self.registry.by_node[name].link.set_state(msgspec.convert(state, LinkState))


# Clients


class _TierClients(LoadGenerator):
    """Clients of all nodes: sends each request to a node drawn by its share of the traffic.

    A node that refuses a connection is avoided for a while, and a request that was not yet sent goes to
    another. A request that failed on a reused connection is sent again only if it is safe.
    """

    AVOID_TIME = 1.0  # s
    MAX_CONNECTS = 6  # nodes that a request tries to connect to

    def __init__(self, recorder: _RecordingLedger, shares: dict[str, float], move: str, **words: Any) -> None:
        super().__init__(ledger=recorder, ports=[0], **words)
        self.recorder = recorder
        self.shares = shares
        self.names = list(shares)
        self.neighbour = move == "neighbour"
        self.port_of: dict[str, int] = {}
        self.node_of: dict[int, str] = {}
        self.links = {name: Link() for name in shares}
        self.avoided_until: dict[str, float] = {}
        self.reached: dict[str, int] = {}

    def ask(self, mix: RequestMix, is_retry: bool = False) -> RequestEntry:
        self.recorder.work = 1000 * int(mix.target.partition(b"?w=")[2])
        return super().ask(mix, is_retry)

    def set_ports(self, ports: dict[str, int]) -> None:
        """Set the ports on which nodes listen now."""
        for name, port in ports.items():
            self.port_of[name] = port
            self.node_of[port] = name
            self.avoided_until.pop(name, None)

    def _draw(self) -> RequestMix:
        mix = super()._draw()
        mean = WORK[CLASSES[mix.cls]["name"]]
        work = int(1e6 * mean * self.random.uniform(0.7, 1.3))
        return replace(mix, target=b"%s?w=%d" % (mix.target, work))

    def choose_node(self) -> str:
        """Choose the node of the next request."""
        name = self.random.choices(self.names, list(self.shares.values()))[0]
        now = self.loop.time()
        if self.avoided_until.get(name, 0.0) <= now:
            return name
        if self.neighbour:
            at = self.names.index(name)
            ring = self.names[at:] + self.names[:at]
        else:
            ring = self.random.sample(self.names, len(self.names))
        return next((other for other in ring if self.avoided_until.get(other, 0.0) <= now), name)

    def _send(self, call: ClientRequest, port: int) -> None:
        super()._send(call, self.port_of[self.choose_node()])

    def _send_on_new_connection(self, call: ClientRequest, port: int) -> None:
        super()._send_on_new_connection(call, port or self.port_of[self.choose_node()])

    async def _open(self, call: ClientRequest, port: int) -> None:
        for _ in range(self.MAX_CONNECTS):
            name = self.node_of[port]
            link = self.links[name]
            if link.state.cut or link.state.lost_up or link.state.lost_down:
                # A connect over a cut link gets no reply; clients time out after a second.
                await asyncio.sleep(1.0)
            else:
                try:
                    await self.loop.create_connection(
                        functools.partial(self._linked_connection, link, call, port),
                        "127.0.0.1",
                        port,
                    )
                    return
                except OSError:
                    pass
            if call.timer is None:
                return
            self.avoided_until[name] = self.loop.time() + self.AVOID_TIME
            port = self.port_of[self.choose_node()]
        self._end(call, FinalOutcome.BROKEN)

    def _linked_connection(self, link: Link, call: ClientRequest, port: int) -> LinkedProtocol:
        return LinkedProtocol(link, ClientConnection(self, call, port))

    def request_sent(self, call: ClientRequest, port: int) -> None:
        self.recorder.write(
            Posted(time.monotonic_ns(), call.entry.id, self.node_of[port], call.on_new_connection)
        )

    def connection_broken(self, call: ClientRequest, part: bytes) -> None:
        safe = self.ledger.limits.classes[call.entry.cls].effect == api.Effect.SAFE
        if not call.on_new_connection and not part and safe:
            self._send_on_new_connection(call, 0)
            return
        self._end(call, FinalOutcome.BROKEN)


class _ClientsProcess(_WorkerProcess):
    """The process of some of the clients."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        words = self.words
        for name in words["servers"]:
            self.recorder.starts[name] = []
        mixes = [
            RequestMix(n, b"/%s/halls/1" % c["name"].encode(), SHARES[c["name"]], TENANTS)
            for n, c in enumerate(CLASSES)
        ]
        self.load = _TierClients(
            self.recorder,
            words["shares"],
            words["move"],
            mixes=mixes,
            rate=words["rate"],
            seed=words["seed"],
            retries=words["retries"],
            prefix=self.name,
        )

    async def do_ports(self, ports: dict[str, int]) -> None:
        self.load.set_ports(ports)

    async def do_run(self, at: int, seconds: float) -> Any:
        """Send requests from a time (ns) on; returns when the last request has ended."""
        await asyncio.sleep(max(0.0, (at - time.monotonic_ns()) / SECOND))
        await self.load.run(seconds)
        return self.load.sent

    async def do_link(self, names: list[str], state: dict[str, Any]) -> None:
        for name in names:
            self.load.links[name].set_state(msgspec.convert(state, LinkState))


# Datagrams between nodes


class _DatagramSwitch(_WorkerProcess):
    """Forwards datagrams between pairs of nodes, with a socket for each ordered pair.

    A datagram that a sends to its address for b arrives at b from b's address for a, so that both
    recognise the sender.
    """

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.sockets: dict[tuple[str, str], socket.socket] = {}
        self.states: dict[tuple[str, str], LinkState] = {}
        self.real: dict[str, tuple[str, int]] = {}
        self.rng = random.Random(self.name)

    async def do_open(self, pairs: list[list[str]], real: dict[str, str]) -> None:
        """pairs: sender, receiver, and the address at which the sender reaches it."""
        for name, at in real.items():
            host, _, port = at.rpartition(":")
            self.real[name] = (host, int(port))
        for sender, receiver, at in pairs:
            host, _, port = at.rpartition(":")
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind((host, int(port)))
            self.sockets[sender, receiver] = sock
            self.states[sender, receiver] = LinkState()
            self.loop.add_reader(sock.fileno(), self._forward, sender, receiver)

    def _forward(self, sender: str, receiver: str) -> None:
        state = self.states[sender, receiver]
        back = self.sockets[receiver, sender]
        with contextlib.suppress(OSError):
            while True:
                data, at = self.sockets[sender, receiver].recvfrom(2048)
                lost = state.cut or (state.lose > 0.0 and self.rng.random() < state.lose)
                if lost or at[:2] != self.real[sender]:
                    continue
                if state.lag > 0.0:
                    self.loop.call_later(state.lag, self._send_datagram, back, data, receiver)
                else:
                    self._send_datagram(back, data, receiver)

    def _send_datagram(self, sock: socket.socket, data: bytes, receiver: str) -> None:
        with contextlib.suppress(OSError):  # the node has exited or its socket is full: the datagram is lost
            sock.sendto(data, self.real[receiver])

    async def do_link(self, names: list[str], others: list[str], state: dict[str, Any]) -> None:
        for pair in self.states:
            if (pair[0] in names and pair[1] in others) or (pair[1] in names and pair[0] in others):
                self.states[pair] = msgspec.convert(state, LinkState)


# Operators


class _ReadinessPollers(_WorkerProcess):
    """Operators that ask each node once a second whether it is ready, spread evenly over the second."""

    EVERY, LIMIT = 1.0, 1.5  # s

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.links: dict[str, Link] = {}
        self.tasks: list[asyncio.Task[None]] = []

    async def do_call(self, addresses: dict[str, str]) -> None:
        """Start calling these admin endpoints, by node."""
        for n, (name, address) in enumerate(addresses.items()):
            self.links[name] = Link()
            first = self.EVERY * n / len(addresses)
            self.tasks.append(self.loop.create_task(self._keep_calling(name, address, first)))

    async def _keep_calling(self, name: str, address: str, first: float) -> None:
        due = self.loop.time() + first
        while True:
            await asyncio.sleep(max(0.0, due - self.loop.time()))
            due += self.EVERY
            began = time.monotonic_ns()
            status = 0
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                async with asyncio.timeout(self.LIMIT):
                    status = await self._ready(name, address)
            now = time.monotonic_ns()
            self.recorder.write(Called(now, name, status, now - began))

    async def _ready(self, name: str, address: str) -> int:
        link = self.links[name]
        host, _, port = address.rpartition(":")
        call = _ReadinessCall(self.loop)
        while link.state.cut:
            await asyncio.sleep(0.05)
        await self.loop.create_connection(lambda: LinkedProtocol(link, call), host, int(port))
        try:
            return await call.status
        finally:
            call.transport.abort()

    async def do_link(self, names: list[str], state: dict[str, Any]) -> None:
        for name in names:
            self.links[name].set_state(msgspec.convert(state, LinkState))


class _ReadinessCall(asyncio.Protocol):
    """One GET of /-/ready, and the status of its response."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.status: asyncio.Future[int] = loop.create_future()
        self.buffer = b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(b"GET /-/ready HTTP/1.1\r\nHost: node\r\n\r\n")

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if b"\r\n" in self.buffer and not self.status.done():
            self.status.set_result(int(self.buffer.split(b" ", 2)[1]))

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.status.done():
            self.status.set_result(0)


# Consensus messages between nodes


class _AdminRelay(_WorkerProcess):
    """Relays calls between nodes to their admin endpoints. It identifies the caller by its User-Agent header
    and applies the link state of that pair."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.states: dict[tuple[str, str], LinkState] = {}
        self.rng = random.Random(self.name)
        self.servers: list[asyncio.Server] = []
        self.changed = asyncio.Event()

    async def do_open(self, addresses: list[list[str]]) -> None:
        """addresses: node, address at which it is called, address on which it listens."""
        for name, at, real in addresses:
            host, _, port = at.rpartition(":")
            self.servers.append(
                await asyncio.start_server(
                    functools.partial(self._forward, name, real),
                    host,
                    int(port),
                    backlog=512,
                )
            )

    async def _forward(
        self, name: str, real: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = real.rpartition(":")
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            head = await reader.readuntil(b"\r\n\r\n")
            caller = head.partition(b"ser-Agent: hollybay ")[2].partition(b"\r\n")[0].decode("latin-1")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
            body = await reader.readexactly(length)
            await self._wait_for_link(caller, name, True)
            upstream_reader, upstream_writer = await asyncio.open_connection(host, int(port))
            try:
                upstream_writer.write(head + body)
                answer = await upstream_reader.read(-1)
                await self._wait_for_link(caller, name, False)
                writer.write(answer)
                await writer.drain()
            finally:
                upstream_writer.close()
        writer.close()

    async def _wait_for_link(self, caller: str, name: str, to: bool) -> None:
        """Wait until the link passes bytes. OSError: the connection is reset."""
        while True:
            state = self.states.get((caller, name), LinkState())
            if state.reset:
                raise ConnectionResetError
            lost = state.lost_up if to else state.lost_down
            if not (state.cut or state.hold or lost):
                break
            self.changed.clear()
            await self.changed.wait()
        if state.lose and self.rng.random() < state.lose:
            raise ConnectionResetError
        if state.lag:
            await asyncio.sleep(state.lag)

    async def do_link(self, names: list[str], others: list[str], state: dict[str, Any]) -> None:
        """Set the links between two groups in both directions; up is from `names` to `others`."""
        found = msgspec.convert(state, LinkState)
        reverse = msgspec.structs.replace(found, lost_up=found.lost_down, lost_down=found.lost_up)
        for one in names:
            for other in others:
                self.states[one, other] = found
                self.states[other, one] = reverse
        self.changed.set()


# Operators who change the policy


class _PolicyOperators(_WorkerProcess):
    """Operators that bootstrap the consensus group and propose changes as `hollybay policy` does."""

    async def call(self, address: str, path: str, body: bytes | None) -> bytes:
        from hollybay.proxy.admin_client import call_policy

        return await call_policy(address, path, body, 2.0)

    async def do_bootstrap(self, addresses: list[str], file: str) -> None:
        """Bootstrap the consensus group."""
        from hollybay.consensus import messages
        from hollybay.consensus.requests import CallFailedError

        body = messages.encode(messages.BootstrapCall(file=base64.b64encode(file.encode()).decode()))
        for left in range(9, -1, -1):
            try:
                await self.call(addresses[0], "found", body)
                return
            except CallFailedError:  # hundreds of starting nodes call the voters at once
                if not left:
                    raise
                await asyncio.sleep(0.5)

    async def do_change(self, addresses: list[str], to: int, change: dict[str, Any]) -> Any:
        """Propose and track a change; return its result."""
        from hollybay.consensus.change_tracker import ChangeTracker, PolicyProposal
        from hollybay.consensus.cluster_view import ClusterView
        from hollybay.consensus.verdict import Verdict

        began = time.monotonic_ns()
        tracker = ChangeTracker(self.call, addresses)
        if to:
            # Prefer this voter, of those that reply, for the proposal.
            refresh = tracker.refresh

            async def refresh_reordered() -> ClusterView:
                known = await refresh()
                known.statuses = dict(
                    sorted(known.statuses.items(), key=lambda item: item[0] != addresses[to])
                )
                return known

            tracker.refresh = refresh_reordered  # type: ignore[method-assign]
        file = change["file"].encode() if change["file"] is not None else None
        proposal = PolicyProposal(
            "a change of the plan", "the rig", file, change["out"], change["keepers"], change["parent"]
        )
        if change["drop"] is None:
            verdict = await tracker.propose(proposal, limit=change["limit"] / SECOND)
        else:
            verdict = await tracker.propose(proposal, limit=0.0)
            if verdict.change:
                await asyncio.sleep(change["drop"] / SECOND)
                await tracker.drop(verdict.change)
                verdict = await tracker.track(verdict.change, verdict.epoch, change["limit"] / SECOND)
        assert isinstance(verdict, Verdict)
        now = time.monotonic_ns()
        self.recorder.write(Said(now, verdict.change, verdict.code, verdict.text, began))
        return [verdict.code, verdict.change, verdict.text, verdict.reasons, (now - began) / SECOND]

    async def do_status(self, addresses: list[str]) -> Any:
        """Return the status of all these nodes, by admin address."""

        few = asyncio.Semaphore(16)

        async def one(address: str) -> Any:
            try:
                async with few:
                    return msgspec.json.decode(await self.call(address, "", None))
            except Exception as error:  # reported as the status of this node
                return {"error": str(error)}

        return dict(zip(addresses, await asyncio.gather(*map(one, addresses)), strict=True))


_WORKER_TYPES: dict[str, Callable[..., _WorkerProcess]] = {
    "servers": _ServersProcess,
    "registry": _DiscoveryProcess,
    "clients": _ClientsProcess,
    "operators": _ReadinessPollers,
    "switch": _DatagramSwitch,
    "relay": _AdminRelay,
    "policy_operators": _PolicyOperators,
}
