"""Plays a plan: starts all processes, brings the faults, ends them, and puts what they saw together."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from hollybay.testbed.fake_environment import MEAN_WORK, usual_kinds
from hollybay.testbed.fake_server import ServerKind
from hollybay.testbed.scratch import in_memory
from hollybay.units import SECOND

from .books import Books, Excuse, books_of
from .control import CallFailed, Far, Hub, happens
from .links import State
from .plan import Fault, Plan, pairs
from .records import Event, NodeEnded, read
from .roles import CONTROL, limits_of_tier, words_of
from .trust import Trust, judge

__all__ = ["Outcome", "RigFailed", "Tick", "play"]

# Limits in seconds: until all of a sort have started, and until a node that was told to end has ended.
START_LIMIT, END_LIMIT = 60.0, 15.0
# How long after a run nodes may take to serve under the same policy (s).
AGREE_LIMIT = 8.0
# Between two looks at what all nodes serve under (s): each is a call to every node.
LOOK = 0.25
# Between the last ready line and the first request; and how long after its end a run may take to be quiet.
LEAD = 0.4
# Until the list tells of a server that crashed or came back.
LIST_LATE = 0.6
# One turn of a starved process's duty cycle (s).
DUTY = 0.05


class RigFailed(Exception):
    """The rig could not carry the run: a process did not start, or died by itself."""


@dataclass(frozen=True, slots=True)
class Tick:
    """How far a run is: seconds, what is going on, nodes that are up, calls so far."""

    elapsed: float
    seconds: float
    phase: str
    nodes_up: int


@dataclass
class Outcome:
    """What came of a run. Times in ns on the monotonic clock."""

    plan: Plan
    books: Books
    trust: Trust
    began: int
    ended: int
    up_seconds: float  # until all nodes were ready
    node_cpu: float  # s of a core for each second, mean of the nodes
    node_memory_mb: float  # that a node has for itself, mean
    rig_cpu: float  # s of a core for each second, all processes of the rig but the nodes
    keeper_cpu: float = 0.0  # s of a core for each second that a keeper takes beyond other nodes, mean
    changed: list[list[Any]] = field(default_factory=list)  # of each change: code, name, text, reasons, s
    status: dict[str, Any] = field(default_factory=dict)  # of each node at the end, where there is an accord


def _stat(pid: int) -> tuple[float, float, float]:
    """CPU seconds, seconds ready without a core, and MiB of its own, of a process; zeros when it is gone."""
    try:
        spent, waited, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
        own = 0
        for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
            if line.startswith(("Private_Clean:", "Private_Dirty:")):
                own += int(line.split()[1])
        return int(spent) / SECOND, int(waited) / SECOND, own / 1024
    except (OSError, ValueError):
        return 0.0, 0.0, 0.0


class _Zygote:
    """The rig's end of the zygote."""

    def __init__(self, folder: Path, ended: Callable[[str, int, int], None]) -> None:
        self.folder = folder
        self.ended = ended
        self.pids: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.process: asyncio.subprocess.Process | None = None
        self.reader: asyncio.Task[None] | None = None
        self.ready = False

    async def start(self) -> None:
        with (self.folder / "zygote.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hollybay.cluster.zygote",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                cwd=Path(__file__).resolve().parents[2],
                start_new_session=True,  # a terminal's interrupt is for the rig, which then ends all
            )
        self.reader = asyncio.get_running_loop().create_task(self._read())
        await self.until(lambda: self.ready, "the zygote")

    async def _read(self) -> None:
        assert self.process is not None and self.process.stdout is not None
        while line := await self.process.stdout.readline():
            words = msgspec.json.decode(line)
            if words["event"] == "ready":
                self.ready = True
            elif words["event"] == "forked":
                self.pids[words["name"]] = words["pid"]
            else:
                if self.pids.get(words["name"]) == words["pid"]:
                    del self.pids[words["name"]]
                self.ended(words["name"], words["pid"], words["status"])
            self.changed.set()

    async def until(self, holds: Callable[[], bool], what: str, limit: float = START_LIMIT) -> None:
        try:
            await happens(self.changed, holds, limit)
        except TimeoutError:
            raise RigFailed(f"waited {limit:g} s for {what}") from None

    def _do(self, **words: Any) -> None:
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(words) + b"\n")

    def fork(self, role: str, name: str, words: dict[str, Any]) -> None:
        self._do(do="fork", role=role, name=name, folder=str(self.folder), words=words)

    def signal(self, name: str, number: int) -> None:
        self._do(do="signal", name=name, number=number)

    async def stop(self) -> None:
        """End it, and with it all that it forked."""
        if self.process is None:
            return
        assert self.process.stdin is not None
        self.process.stdin.close()
        await self.process.wait()
        if self.reader is not None:
            await self.reader


class _Rig:
    def __init__(self, plan: Plan, folder: Path, show: Callable[[Tick], None], defect: str) -> None:
        self.plan = plan
        self.run = plan.run
        self.folder = folder
        self.show = show
        self.defect = defect
        self.loop = asyncio.get_running_loop()
        self.hub = Hub(folder / CONTROL, self._told)
        self.zygote = _Zygote(folder, self._process_ended)
        self.heard: set[str] = set()
        self.events: list[Event] = []
        self.excuses: list[Excuse] = []
        self.unfit: list[tuple[str, int, int]] = []
        self.expected: set[str] = set()  # nodes that are to end
        self.failed = ""
        self.phase = "starting"
        self.began = 0
        self.up_seconds = 0.0
        self.touched: set[str] = set()  # nodes that a fault was on
        self.rows: dict[str, dict[str, Any]] = {}
        self.homes: dict[str, str] = {}
        self.registry_port: dict[str, int] = {}
        self.away: set[str] = set()
        self.dying: dict[str, int] = {}  # nodes that will end themselves, and when they are back after it
        self.later: list[asyncio.Task[None]] = []
        self.peers: list[str] = []  # where each node hears the others
        self.via: dict[tuple[str, str], str] = {}  # and by pair of nodes, where the switch carries them
        self.numbers = [*plan.nodes, *(["-"] * max(0, (plan.run.configured or 0) - plan.run.nodes))]
        self.doors: list[str] = []  # and where operators call at it
        self.called: list[str] = []  # and where other nodes call it for a policy
        self.deaths = {plan.nodes[death.node]: death for death in plan.deaths}
        self.changed: list[list[Any]] = []  # what came of each change of the plan
        self.status: dict[str, Any] = {}  # what nodes said of themselves at the end
        self.workers = [
            "registry",
            *(f"servers{n}" for n in range(plan.rig.server_processes)),
            *(f"clients{n}" for n in range(plan.rig.client_processes)),
            *(("operators",) if plan.run.door else ()),
            *(("switch",) if plan.run.talk and pairs(plan) else ()),
            # One process: where no fault needs it, hundreds of nodes call one another directly.
            *(("relay",) if plan.run.keepers and pairs(plan) else ()),
            *(("governors",) if plan.run.keepers else ()),
        ]

    # What comes in

    def _told(self, far: Far, message: dict[str, Any]) -> None:
        if message.get("event") == "heard":
            self.heard.add(message["node"])
            self.hub.note()

    def _process_ended(self, name: str, pid: int, status: int) -> None:
        if name in self.dying and self.phase != "over":
            self.later.append(self.loop.create_task(self._died(name)))
            return
        if name in self.expected or self.phase == "over":
            return
        log = self.folder / f"{name}.log"
        tail = log.read_text(errors="replace")[-1500:] if log.exists() else ""
        self.failed = f"{name} ended by itself with status {status}: {tail}"
        self.hub.note()

    def _sound(self) -> None:
        if self.failed:
            raise RigFailed(self.failed)

    def far(self, name: str) -> Far:
        try:
            return self.hub.known[name]
        except KeyError:
            raise RigFailed(f"{name} is gone") from None

    # Start

    async def start(self) -> None:
        """All processes up, all nodes ready and with a list."""
        plan, run = self.plan, self.run
        await self.hub.start()
        await self.zygote.start()
        common = {"limits": msgspec.to_builtins(limits_of_tier(run))}
        rate = self.rate()
        heavy = run.uneven / (run.uneven + run.nodes - 1)
        shares = {
            name: heavy if n == 0 else (1 - heavy) / max(1, run.nodes - 1)
            for n, name in enumerate(plan.nodes)
        }
        for name in self.workers:
            words = dict(common)
            if name.startswith("clients"):
                words |= {
                    "servers": plan.servers,
                    "shares": shares,
                    "move": run.move,
                    "rate": rate / plan.rig.client_processes,
                    "seed": plan.seed * 1000 + int(name[7:]),
                    "retries": run.retries,
                }
            self.zygote.fork(name.rstrip("0123456789"), name, words)
        await self._until(lambda: all(name in self.hub.known for name in self.workers), "the rig's processes")
        await self._start_servers()
        sides = plan.sides
        self.registry_port = await self.far("registry").call("open", nodes=sides)
        await self._lists()
        if run.talk:
            (self.folder / "operator.toml").write_text("[peers]\n")
            self.peers = _free_addresses(max(run.nodes, run.configured or 0), socket.SOCK_DGRAM)
            await self._switch()
        if run.door:
            self.doors = _free_addresses(run.nodes, socket.SOCK_STREAM)
        if run.keepers:
            self.called = self.doors
            if "relay" in self.workers:
                self.called = _free_addresses(run.nodes, socket.SOCK_STREAM)
                doors = [list(one) for one in zip(plan.nodes, self.called, self.doors, strict=True)]
                await self.far("relay").call("open", doors=doors)
        began = time.monotonic()
        for n, name in enumerate(plan.nodes):
            delay = run.start_late / SECOND * n / max(1, run.nodes - 1)
            if run.start_late:
                await asyncio.sleep(max(0.0, began + delay - time.monotonic()))
            self._fork_node(name)
        if run.keepers:
            keepers = self.called[: run.keepers]
            await self._until(lambda: all(name in self.hub.known for name in plan.nodes), "the nodes")
            await self.far("governors").call("found", doors=keepers, file="")
        await self._nodes_ready(plan.nodes)
        if run.keepers:
            await self._all_serve()
        self.up_seconds = time.monotonic() - began
        if run.door:
            await self.far("operators").call("call", doors=dict(zip(plan.nodes, self.doors, strict=True)))

    async def _all_serve(self) -> None:
        """Wait until every node serves under something."""
        await self._statuses(START_LIMIT, lambda under: () not in under)
        idle = {door: one for door, one in self.status.items() if not one.get("serves")}
        if idle:
            raise RigFailed(f"{len(idle)} nodes that serve under nothing: {str(idle)[:2000]}")

    async def _statuses(self, limit: float, holds: Callable[[set[tuple[str, ...]]], bool]) -> None:
        """Ask all nodes what they serve under until that holds, or so many seconds are over."""
        until = self.loop.time() + limit
        while True:
            self.status = await self.far("governors").call("status", doors=self.doors)
            under = {tuple(one.get("serves", ())) for one in self.status.values()}
            if holds(under) or self.loop.time() > until:
                return
            await asyncio.sleep(LOOK)

    async def _all_agree(self) -> None:
        """Wait a while until all nodes serve under the same; what they say then is the run's."""
        await self._statuses(AGREE_LIMIT, lambda under: len(under) == 1 and under != {()})

    async def _change(self, n: int) -> None:
        """One change of the plan."""
        change = self.plan.changes[n]
        await self._at(change.at)
        words = msgspec.to_builtins(change)
        if change.keepers is not None:
            words["keepers"] = [self.called[number] for number in change.keepers]
        doors = self.called[: self.run.keepers]
        limit = change.limit / SECOND + 60.0
        found = await self.far("governors").call("change", limit, doors=doors, to=change.to, change=words)
        self.changed[n] = found

    def rate(self) -> float:
        """Requests a second of the plan's load."""
        return self.run.load * sum(kind.capacity for kind in self._kinds()) / MEAN_WORK

    def _kinds(self) -> list[ServerKind]:
        kinds = usual_kinds(self.run.servers)
        random.Random(self.plan.seed).shuffle(kinds)
        return kinds

    async def _start_servers(self) -> None:
        plan, run = self.plan, self.run
        absent = {s for f in plan.faults if f.kind == "absent" for s in f.servers}
        processes = plan.rig.server_processes
        for number in range(processes):
            mine = []
            for n, (name, kind) in enumerate(zip(plan.servers, self._kinds(), strict=True)):
                if n % processes != number:
                    continue
                self.homes[name] = f"servers{number}"
                words = asdict(kind) | {"connections": run.connections}
                zone = n % run.zones
                mine.append(
                    {
                        "name": name,
                        "kind": words,
                        "zone": zone,
                        "cell": n // 4,
                        "zone_name": f"z{zone}",
                        "seed": plan.seed,
                    }
                )
            sides = len(set(plan.sides.values()))
            self.rows |= await self.far(f"servers{number}").call(
                "open", servers=mine, sides=sides, away=sorted(absent)
            )
        self.away |= absent

    async def _switch(self) -> None:
        """Addresses at which pairs of nodes reach one another through the switch, where faults touch them."""
        touched = pairs(self.plan)
        if not touched:
            return
        self.via = dict(zip(touched, _free_addresses(len(touched), socket.SOCK_DGRAM), strict=True))
        real = dict(zip(self.plan.nodes, self.peers, strict=False))
        await self.far("switch").call(
            "open", pairs=[[a, b, at] for (a, b), at in self.via.items()], real=real
        )

    def _fork_node(self, name: str) -> None:
        n = self.plan.nodes.index(name)
        config = {
            "name": name,
            "listen": "127.0.0.1:9000",
            "discovery": f"127.0.0.1:{self.registry_port[name]}",
            "seed": f"{(self.plan.seed << 16) + n:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.run.sockets},
            "settings": words_of(self.run, n),
        }
        words: dict[str, Any] = {"defect": self.defect}
        if self.run.talk:
            peers = [
                self.via.get((name, other), at) for other, at in zip(self.numbers, self.peers, strict=True)
            ]
            config |= {"peers": peers, "peer_listen": self.peers[n]}
            words["operator"] = str(self.folder / "operator.toml")
        if self.run.door:
            config["admin"] = self.doors[n]
        if self.run.keepers:
            path = self.folder / f"{name}.toml"
            path.write_text(self._accord_of(n))
            words |= {"operator": str(path), "keepers": self.run.keepers}
            words |= {"unfit": n in self.run.unfit, "full": n in self.run.full}
            death = self.deaths.pop(name, None)
            if death is not None:
                words["death"] = msgspec.to_builtins(death)
                self.expected.add(name)
                self.dying[name] = death.back
        (self.folder / f"{name}.json").write_text(json.dumps(config))
        if "death" not in words:
            self.expected.discard(name)
        self.zygote.fork("node", name, words)

    def _accord_of(self, n: int) -> str:
        """The operator file that a node starts with."""
        run = self.run
        lines = [
            "[accord]",
            f"keepers = {json.dumps(self.called[: run.keepers])}",
            f"folder = {json.dumps(str(self.folder / 'accord'))}",
            f'door = "{self.called[n]}"',
            f'lease = "{run.lease // 1_000_000}ms"',
        ]
        if run.narrow_for:
            lines += ['when_unsure = "narrow"', f'narrow_for = "{run.narrow_for // 1_000_000}ms"']
        return "\n".join([*lines, *(("[peers]",) if run.talk else ()), ""])

    async def _died(self, name: str) -> None:
        """A node has ended itself, as planned; its successor starts later."""
        now = time.monotonic_ns()
        self.touched.add(name)
        self.events.append(NodeEnded(now, name, True))
        self.excuses.append(Excuse(name, now - SECOND // 2, now, "killed"))
        self.heard.discard(name)
        await self.far("registry").call("anew", names=[name])
        await asyncio.sleep(self.dying.pop(name) / SECOND)
        self._fork_node(name)
        await self._nodes_ready((name,))

    async def _nodes_ready(self, names: tuple[str, ...]) -> None:
        """Wait until these listen and have a list, and tell the clients where."""
        known = self.hub.known
        await self._until(lambda: all(name in known and name in self.heard for name in names), "the nodes")
        ports = {name: known[name].hello["port"] for name in names}
        for name in self.workers:
            if name.startswith("clients"):
                await self.far(name).call("ports", ports=ports)

    async def _until(self, holds: Callable[[], bool], what: str) -> None:
        await self.hub.until(lambda: holds() or bool(self.failed), START_LIMIT, what)
        self._sound()

    # Lists

    async def _lists(self) -> None:
        """Ask the servers for their lines and publish them."""
        changed: dict[str, Any] = {}
        for number in range(self.plan.rig.server_processes):
            changed |= await self.far(f"servers{number}").call("rows")
        self.rows |= changed
        lines = {name: row for name, row in changed.items() if name not in self.away}
        if lines:
            await self.far("registry").call("publish", lines=lines)

    async def _keep_listing(self) -> None:
        every = self.run.list_every / SECOND
        due = self.loop.time()
        while True:
            due += every
            await asyncio.sleep(max(0.0, due - self.loop.time()))
            await self._lists()

    async def _gone(self, servers: tuple[str, ...]) -> None:
        self.away |= set(servers)
        lines = {name: {**self.rows[name], "state": "DELETED"} for name in servers}
        await self.far("registry").call("publish", lines=lines)

    # Faults

    async def _bring(self, fault: Fault) -> None:
        """One fault, from its beginning to its end."""
        await self._at(fault.at)
        now = time.monotonic_ns()
        self.phase = str(fault)
        self.tell()
        end = self.began + fault.until
        begin = _FAULTS.get(fault.kind, _Rig._link)
        await begin(self, fault, now, end)
        self.phase = "steady"
        self.tell()

    async def _at(self, moment: int) -> None:
        await asyncio.sleep(max(0.0, (self.began + moment - time.monotonic_ns()) / SECOND))

    def _excuse(self, nodes: tuple[str, ...], since: int, why: str) -> None:
        self.touched |= set(nodes)
        self.excuses += [Excuse(name, since, time.monotonic_ns(), why) for name in nodes]

    async def _kill(self, fault: Fault, now: int, end: int) -> None:
        self.touched |= set(fault.nodes)
        self.expected |= set(fault.nodes)
        for name in fault.nodes:
            self.zygote.signal(name, signal.SIGKILL)
        await self.zygote.until(
            lambda: not any(name in self.zygote.pids for name in fault.nodes), "nodes that were killed"
        )
        over = time.monotonic_ns()
        self.events += [NodeEnded(over, name, True) for name in fault.nodes]
        self.excuses += [Excuse(name, now, over, "killed") for name in fault.nodes]
        self.heard -= set(fault.nodes)
        await self.far("registry").call("anew", names=fault.nodes)
        if fault.until > fault.at:
            await self._at(fault.until)
            for name in fault.nodes:
                self._fork_node(name)
            await self._nodes_ready(fault.nodes)

    async def _restart(self, fault: Fault, now: int, end: int) -> None:
        """SIGTERM, one after another over the fault's time, each back as soon as it has ended."""
        self.touched |= set(fault.nodes)
        for n, name in enumerate(fault.nodes):
            await self._at(fault.at + (fault.until - fault.at) * n // max(1, len(fault.nodes)))
            self.expected.add(name)
            self.zygote.signal(name, signal.SIGTERM)
            await self.zygote.until(lambda name=name: name not in self.zygote.pids, f"{name} to drain", 30.0)  # type: ignore[misc]
            self.events.append(NodeEnded(time.monotonic_ns(), name, False))
            self.heard.discard(name)
            await self.far("registry").call("anew", names=[name])
            self._fork_node(name)
            await self._nodes_ready((name,))

    async def _stop(self, fault: Fault, now: int, end: int) -> None:
        for name in fault.nodes:
            self.zygote.signal(name, signal.SIGSTOP)
        await self._at(fault.until)
        for name in fault.nodes:
            self.zygote.signal(name, signal.SIGCONT)
        # What waited in its sockets is read late, too: half a second is for that.
        await asyncio.sleep(0.5)
        self._excuse(fault.nodes, now, "stopped")

    async def _starve(self, fault: Fault, now: int, end: int) -> None:
        stopped = False
        try:
            while time.monotonic_ns() < end:
                for part, number in ((fault.by, signal.SIGSTOP), (1.0 - fault.by, signal.SIGCONT)):
                    stopped = number == signal.SIGSTOP
                    for name in fault.nodes:
                        self.zygote.signal(name, number)
                    await asyncio.sleep(DUTY * part)
        finally:
            if stopped:
                for name in fault.nodes:
                    self.zygote.signal(name, signal.SIGCONT)
        self._excuse(fault.nodes, now, "starved")

    async def _few_files(self, fault: Fault, now: int, end: int) -> None:
        """Descriptors beyond the limit cannot be had any more; those that are open stay."""
        known = {}
        for name in fault.nodes:
            pid = self.zygote.pids[name]
            known[name] = pid, resource.prlimit(pid, resource.RLIMIT_NOFILE)
            resource.prlimit(pid, resource.RLIMIT_NOFILE, (int(fault.by), known[name][1][1]))
        await self._at(fault.until)
        for name, (pid, limits) in known.items():
            if self.zygote.pids.get(name) == pid:
                resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
        self.touched |= set(fault.nodes)

    def _by_home(self, servers: tuple[str, ...]) -> dict[str, list[str]]:
        found: dict[str, list[str]] = {}
        for name in servers:
            found.setdefault(self.homes[name], []).append(name)
        return found

    async def _servers_do(self, servers: tuple[str, ...], do: str, **words: Any) -> None:
        for home, names in self._by_home(servers).items():
            await self.far(home).call(do, names=names, **words)

    async def _crash(self, fault: Fault, now: int, end: int) -> None:
        await self._servers_do(fault.servers, "crash")
        await asyncio.sleep(LIST_LATE)
        await self._gone(fault.servers)
        if fault.until > fault.at:
            await self._at(fault.until)
            await self._back(fault.servers)

    async def _absent(self, fault: Fault, now: int, end: int) -> None:
        await self._at(fault.until)
        await self._back(fault.servers)

    async def _back(self, servers: tuple[str, ...]) -> None:
        await self._servers_do(servers, "back")
        await asyncio.sleep(LIST_LATE)
        self.away -= set(servers)
        await self._lists()

    async def _slow(self, fault: Fault, now: int, end: int) -> None:
        self.unfit += [(name, now, end) for name in fault.servers]
        await self._servers_do(fault.servers, "slow", by=fault.by)
        await self._at(fault.until)
        await self._servers_do(fault.servers, "slow", by=1.0)

    async def _fail(self, fault: Fault, now: int, end: int) -> None:
        self.unfit += [(name, now, end) for name in fault.servers]
        await self._servers_do(fault.servers, "fail", by=fault.by)
        await self._at(fault.until)
        await self._servers_do(fault.servers, "fail", by=0.0)

    async def _drain(self, fault: Fault, now: int, end: int) -> None:
        self.unfit += [(name, now, end + SECOND) for name in fault.servers]
        await self._servers_do(fault.servers, "state", state="DRAINING")
        await self._lists()
        await self._at(fault.until)
        await self._servers_do(fault.servers, "state", state="SERVING")
        await self._lists()

    async def _lists_late(self, fault: Fault, now: int, end: int) -> None:
        registry = self.far("registry")
        await registry.call("late", names=fault.nodes, by=fault.by)
        await self._at(fault.until)
        await registry.call("late", names=fault.nodes, by=0.0)

    async def _link(self, fault: Fault, now: int, end: int) -> None:
        await self._put(fault, fault.state)
        await self._at(fault.until)
        await self._put(fault, State())
        if fault.link == "clients-nodes":
            await asyncio.sleep(0.5)
            self._excuse(fault.nodes, now, f"clients: {fault.kind}")

    async def _put(self, fault: Fault, state: State) -> None:
        words = msgspec.to_builtins(state)
        if fault.link == "nodes-servers":
            sides = self.plan.sides
            mine = sorted({sides[name] for name in fault.nodes})
            await self._servers_do(fault.servers, "link", sides=mine, state=words)
        elif fault.link == "nodes-nodes":
            for name in ("switch", "relay"):
                if name in self.workers:
                    await self.far(name).call("link", names=fault.nodes, others=fault.others, state=words)
        elif fault.link in ("nodes-discovery", "operators-nodes"):
            far = self.far("registry" if fault.link == "nodes-discovery" else "operators")
            await far.call("link", names=fault.nodes, state=words)
        else:
            for name in self.workers:
                if name.startswith("clients"):
                    await self.far(name).call("link", names=fault.nodes, state=words)

    # The run

    def tell(self) -> None:
        """Show how far it is."""
        elapsed = (time.monotonic_ns() - self.began) / SECOND if self.began else 0.0
        self.show(
            Tick(elapsed, self.run.seconds / SECOND, self.phase, len(self.zygote.pids) - len(self.workers))
        )

    async def play(self) -> Outcome:
        """Start, run, end, and put together what was seen."""
        run = self.run
        self.tell()
        await self.start()
        self.phase = "steady"
        self.began = time.monotonic_ns() + int(LEAD * SECOND)
        seconds = run.seconds / SECOND
        clients = [self.far(name) for name in self.workers if name.startswith("clients")]
        runs = [
            self.loop.create_task(far.call("run", limit=seconds + 60.0, at=self.began, seconds=seconds))
            for far in clients
        ]
        beside = [self.loop.create_task(work) for work in (self._keep_listing(), self._watch())]
        faults = [self.loop.create_task(self._bring(fault)) for fault in self.plan.faults]
        self.changed = [[] for _ in self.plan.changes]
        faults += [self.loop.create_task(self._change(n)) for n in range(len(self.plan.changes))]
        await self._at(run.warm)
        pids = dict(self.zygote.pids)
        first = {name: _stat(pid) for name, pid in pids.items()}
        since = time.monotonic_ns()
        try:
            await self._all(runs, faults, beside)
            await asyncio.gather(*faults, *self.later)
            if run.keepers:
                await self._all_agree()
        finally:
            for task in (*beside, *faults, *runs, *self.later):
                task.cancel()
            await asyncio.gather(*beside, *faults, *runs, *self.later, return_exceptions=True)
        ended = time.monotonic_ns()
        last = {name: _stat(pid) for name, pid in pids.items() if self.zygote.pids.get(name) == pid}
        self.phase = "over"
        self.tell()
        await self._end()
        return self._outcome(first, last, since, ended)

    async def _all(self, runs: list[Any], faults: list[Any], beside: list[Any]) -> None:
        """Wait for the clients; whatever fails meanwhile ends the run."""
        waiting = {*runs, *faults, *beside}
        while any(not task.done() for task in runs):
            done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(0.25)
            self._sound()
            self.tell()

    async def _end(self) -> None:
        """End the nodes as operators do, then the rest."""
        nodes = [name for name in self.plan.nodes if name in self.zygote.pids]
        for name in nodes:
            self.zygote.signal(name, signal.SIGTERM)
        with contextlib.suppress(RigFailed):  # one that does not end is killed with the zygote
            await self.zygote.until(
                lambda: not any(name in self.zygote.pids for name in nodes), "nodes to end", END_LIMIT
            )
        await self.close()

    async def close(self) -> None:
        """End whatever is left."""
        self.phase = "over"
        await self.hub.stop()
        workers = [name for name in self.workers if name in self.zygote.pids]
        with contextlib.suppress(RigFailed):  # they end by themselves when the rig's socket does
            await self.zygote.until(
                lambda: not any(name in self.zygote.pids for name in workers), "workers to end", 5.0
            )
        await self.zygote.stop()

    def _outcome(
        self,
        first: dict[str, tuple[float, float, float]],
        last: dict[str, tuple[float, float, float]],
        since: int,
        ended: int,
    ) -> Outcome:
        events = list(self.events)
        for path in sorted(self.folder.glob("*.journal")):
            events += read(path)
        limits = limits_of_tier(self.run)
        books = books_of(events, limits, ended, self.excuses, self.unfit)
        span = (ended - since) / SECOND
        used = {name: [(b - a) / span for a, b in zip(first[name], last[name], strict=True)] for name in last}
        nodes = [name for name in self.plan.nodes if name in used and name not in self.touched]
        rig = self.plan.rig
        trust = judge(
            books.beats,
            self.workers,
            self.began,
            self.began + self.run.seconds,
            rig.late,
            rig.late_part,
            rig.starved_part,
            {name: used[name][1] for name in nodes},
        )
        count = max(1, len(nodes))
        keepers = [used[name][0] for name in self.plan.nodes[: self.run.keepers] if name in nodes]
        others = [used[name][0] for name in self.plan.nodes[self.run.keepers :] if name in nodes]
        beyond = sum(keepers) / len(keepers) - sum(others) / len(others) if keepers and others else 0.0
        return Outcome(
            self.plan,
            books,
            trust,
            self.began,
            self.began + self.run.seconds,
            self.up_seconds,
            sum(used[name][0] for name in nodes) / count,
            sum(last[name][2] for name in nodes) / count,
            sum(used[name][0] for name in self.workers if name in used),
            beyond,
            self.changed,
            self.status,
        )


def _free_addresses(count: int, sort: int) -> list[str]:
    """Addresses on loopback for sockets of one sort, none of which is taken now.

    Each node has an address of its own and all one port, so that one that starts again finds its own free.
    """
    chance = random.Random()
    for _ in range(20):
        net, port = chance.randrange(1, 255), chance.randrange(20_000, 30_000)
        found = [f"127.{net}.{n // 250}.{1 + n % 250}" for n in range(count)]
        with contextlib.ExitStack() as stack:
            try:
                for host in found:
                    sock = stack.enter_context(socket.socket(socket.AF_INET, sort))
                    sock.bind((host, port))
            except OSError:
                continue
            return [f"{host}:{port}" for host in found]
    raise RigFailed("no free addresses on loopback")


_FAULTS: dict[str, Callable[[_Rig, Fault, int, int], Awaitable[None]]] = {
    "kill": _Rig._kill,
    "restart": _Rig._restart,
    "stop": _Rig._stop,
    "starve": _Rig._starve,
    "few-files": _Rig._few_files,
    "crash": _Rig._crash,
    "absent": _Rig._absent,
    "slow": _Rig._slow,
    "fail": _Rig._fail,
    "drain": _Rig._drain,
    "lists-late": _Rig._lists_late,
}


async def play(
    plan: Plan,
    show: Callable[[Tick], None] = lambda tick: None,
    defect: str = "",
    keep: Path | None = None,
) -> Outcome:
    """Play a plan; defect: planted in every node (planted.py); keep: a new folder for logs and journals.

    RigFailed or CallFailed: the rig could not carry it. Nothing is left running, whatever happens.
    """
    folder = Path(tempfile.mkdtemp(prefix="tier-", dir=in_memory()))
    rig = _Rig(plan, folder, show, defect)
    try:
        return await rig.play()
    except CallFailed as error:
        raise RigFailed(rig.failed or str(error)) from None
    finally:
        await rig.close()
        if keep is not None:
            shutil.copytree(folder, keep, ignore=shutil.ignore_patterns("*.sock"))
        shutil.rmtree(folder, ignore_errors=True)
