"""Runs a plan: starts all processes, injects the faults, stops the processes and merges their event logs."""

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

from .control import ControlCallError, ControlServer, RemoteProcess, wait_until
from .links import LinkState
from .merged_run import Excuse, MergedRun, merge_events
from .plan import Fault, Plan, pairs
from .processes import CONTROL, node_settings, rule_limits
from .records import Event, NodeEnded, read_events
from .run_validity import RunValidity, assess_run_validity

__all__ = ["HarnessError", "Outcome", "Tick", "run_plan"]

# Time-outs in seconds: for all processes of a kind to start, and for nodes to exit after SIGTERM.
START_LIMIT, END_LIMIT = 60.0, 15.0
# Time after a run within which all nodes should serve under the same policy (s).
AGREEMENT_LIMIT = 8.0
# Interval between status polls (s): each poll is a call to every node.
STATUS_INTERVAL = 0.25
# Time between readiness of the last node and the first request (s).
START_DELAY = 0.4
# What a node and an operator import on their own if there is a consensus group.
CONSENSUS_MODULES = (
    "hollybay.consensus.messages",
    "hollybay.proxy.admin_client",
    "hollybay.proxy.admin_service",
    "hollybay.proxy.consensus_setup",
    "hollybay.proxy.load_reports",
    "hollybay.proxy.operator_file",
    "hollybay.proxy.shared_ended_ids",
    "hollybay.proxy.shared_request_ids",
)
# Delay before the list reports a server that crashed or restarted (s).
LIST_DELAY = 0.6
# Period of the stop and continue cycle of a starved process (s).
DUTY_CYCLE = 0.05


class HarnessError(Exception):
    """The harness could not complete the run: a process did not start, or exited unexpectedly."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Progress of a run: seconds elapsed and in total, current phase, nodes that are up."""

    elapsed: float
    seconds: float
    phase: str
    nodes_up: int


@dataclass
class Outcome:
    """The result of a run. Times in ns on the monotonic clock."""

    plan: Plan
    merged: MergedRun
    validity: RunValidity
    started_at: int
    ended: int
    up_seconds: float  # until all nodes were ready
    node_cpu: float  # s of a core for each second, mean of the nodes
    node_memory_mb: float  # private memory of a node, mean
    rig_cpu: float  # s of a core for each second, all processes but the nodes
    keeper_cpu: float = 0.0  # extra s of a core for each second of a voter, mean
    # Of each change: code, name, text, reasons, duration in s.
    change_results: list[list[Any]] = field(default_factory=list)
    # Of each node at the end, if there is a consensus group.
    status: dict[str, Any] = field(default_factory=dict)


def _process_usage(pid: int) -> tuple[float, float, float]:
    """CPU seconds, seconds runnable without a core, and private MiB of a process; zeros if it has exited."""
    try:
        spent, waited, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
        own = 0
        for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
            if line.startswith(("Private_Clean:", "Private_Dirty:")):
                own += int(line.split()[1])
        return int(spent) / SECOND, int(waited) / SECOND, own / 1024
    except (OSError, ValueError):
        return 0.0, 0.0, 0.0


class _ForkServer:
    """The harness's interface to the fork server process."""

    def __init__(
        self, folder: Path, modules: tuple[str, ...], ended: Callable[[str, int, int], None]
    ) -> None:
        self.folder = folder
        self.modules = modules  # imported before the first fork, besides those that all processes need
        self.ended = ended
        self.pids: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.process: asyncio.subprocess.Process | None = None
        self.reader: asyncio.Task[None] | None = None
        self.ready = False

    async def start(self) -> None:
        with (self.folder / "fork_server.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "hollybay.cluster.fork_server",
                *self.modules,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                cwd=Path(__file__).resolve().parents[2],
                start_new_session=True,  # a terminal's interrupt reaches only the harness, which stops all
            )
        self.reader = asyncio.get_running_loop().create_task(self._read())
        await self.until(lambda: self.ready, "the fork server")

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

    async def until(self, condition: Callable[[], bool], what: str, limit: float = START_LIMIT) -> None:
        try:
            await wait_until(self.changed, condition, limit)
        except TimeoutError:
            raise HarnessError(f"timed out after {limit:g} s waiting for {what}") from None

    def _send(self, **words: Any) -> None:
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(words) + b"\n")

    def fork(self, role: str, name: str, words: dict[str, Any]) -> None:
        self._send(do="fork", role=role, name=name, folder=str(self.folder), words=words)

    def signal(self, name: str, number: int) -> None:
        self._send(do="signal", name=name, number=number)

    async def stop(self) -> None:
        """Stop the fork server and every process that it forked."""
        if self.process is None:
            return
        assert self.process.stdin is not None
        self.process.stdin.close()
        await self.process.wait()
        if self.reader is not None:
            await self.reader


class _Harness:
    def __init__(self, plan: Plan, folder: Path, on_progress: Callable[[Tick], None], defect: str) -> None:
        self.plan = plan
        self.run = plan.run
        self.folder = folder
        self.on_progress = on_progress
        self.defect = defect
        self.loop = asyncio.get_running_loop()
        self.control = ControlServer(folder / CONTROL, self._on_message)
        self.fork_server = _ForkServer(
            folder, CONSENSUS_MODULES if plan.run.keepers else (), self._process_ended
        )
        self.nodes_with_list: set[str] = set()
        self.events: list[Event] = []
        self.excuses: list[Excuse] = []
        self.unfit: list[tuple[str, int, int]] = []
        self.expected_exits: set[str] = set()  # nodes that are to end
        self.failed = ""
        self.phase = "starting"
        self.started_at = 0
        self.up_seconds = 0.0
        self.faulted: set[str] = set()  # nodes to which a fault applied
        self.server_lines: dict[str, dict[str, Any]] = {}
        self.process_of_server: dict[str, str] = {}
        self.discovery_ports: dict[str, int] = {}
        self.absent_servers: set[str] = set()
        # Nodes that will kill themselves, and how long after it they start again (ns).
        self.planned_crashes: dict[str, int] = {}
        self.crash_tasks: list[asyncio.Task[None]] = []
        # Where each node receives load reports; by pair of nodes, where the switch forwards them.
        self.peer_addresses: list[str] = []
        self.switch_addresses: dict[tuple[str, str], str] = {}
        self.peer_names = [*plan.nodes, *(["-"] * max(0, (plan.run.configured or 0) - plan.run.nodes))]
        self.admin_addresses: list[str] = []  # the admin endpoint of each node, in their order
        # Where other nodes send consensus messages: the relay's listeners, else the admin endpoints.
        self.policy_addresses: list[str] = []
        self.deaths = {plan.nodes[death.node]: death for death in plan.deaths}
        self.change_results: list[list[Any]] = []  # the result of each change of the plan
        # Faults that kill nodes and have not brought them back yet.
        self.unfinished_restarts = [f for f in plan.faults if f.kind == "kill" and f.until > f.at]
        self.status: dict[str, Any] = {}  # each node's status at the end, by admin address
        self.workers = [
            "registry",
            *(f"servers{n}" for n in range(plan.rig.server_processes)),
            *(f"clients{n}" for n in range(plan.rig.client_processes)),
            *(("operators",) if plan.run.door else ()),
            *(("switch",) if plan.run.talk and pairs(plan) else ()),
            # The relay is one process, so hundreds of nodes use it only in plans with faults between nodes.
            *(("relay",) if plan.run.keepers and pairs(plan) else ()),
            *(("policy_operators",) if plan.run.keepers else ()),
        ]

    # Messages and process exits

    def _on_message(self, worker: RemoteProcess, message: dict[str, Any]) -> None:
        if message.get("event") == "heard":
            self.nodes_with_list.add(message["node"])
            self.control.notify()

    def _process_ended(self, name: str, pid: int, status: int) -> None:
        if name in self.planned_crashes and self.phase != "over":
            self.crash_tasks.append(self.loop.create_task(self._restart_crashed(name)))
            return
        if name in self.expected_exits or self.phase == "over":
            return
        log = self.folder / f"{name}.log"
        tail = log.read_text(errors="replace")[-1500:] if log.exists() else ""
        self.failed = f"{name} exited unexpectedly with status {status}: {tail}"
        self.control.notify()

    def _raise_if_failed(self) -> None:
        if self.failed:
            raise HarnessError(self.failed)

    def worker(self, name: str) -> RemoteProcess:
        try:
            return self.control.processes[name]
        except KeyError:
            raise HarnessError(f"{name} has exited") from None

    # Start-up

    async def start(self) -> None:
        """Start all processes and wait until every node is ready and has a server list."""
        plan, run = self.plan, self.run
        await self.control.start()
        await self.fork_server.start()
        common = {"limits": msgspec.to_builtins(rule_limits(run))}
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
            self.fork_server.fork(name.rstrip("0123456789"), name, words)
        await self._until(
            lambda: all(name in self.control.processes for name in self.workers), "the harness processes"
        )
        await self._start_servers()
        sides = plan.sides
        self.discovery_ports = await self.worker("registry").call("open", nodes=sides)
        await self._publish_lines()
        if run.talk:
            (self.folder / "operator.toml").write_text("[peers]\n")
            self.peer_addresses = _free_addresses(max(run.nodes, run.configured or 0), socket.SOCK_DGRAM)
            await self._open_switch()
        if run.door:
            self.admin_addresses = _free_addresses(run.nodes, socket.SOCK_STREAM)
        if run.keepers:
            self.policy_addresses = self.admin_addresses
            if "relay" in self.workers:
                self.policy_addresses = _free_addresses(run.nodes, socket.SOCK_STREAM)
                entries = [
                    list(one)
                    for one in zip(plan.nodes, self.policy_addresses, self.admin_addresses, strict=True)
                ]
                await self.worker("relay").call("open", addresses=entries)
        started_at = time.monotonic()
        for n, name in enumerate(plan.nodes):
            delay = run.start_late / SECOND * n / max(1, run.nodes - 1)
            if run.start_late:
                await asyncio.sleep(max(0.0, started_at + delay - time.monotonic()))
            self._fork_node(name)
        if run.keepers:
            voters = self.policy_addresses[: run.keepers]
            await self._until(lambda: all(name in self.control.processes for name in plan.nodes), "the nodes")
            await self.worker("policy_operators").call("bootstrap", addresses=voters, file="")
        await self._wait_until_ready(plan.nodes)
        if run.keepers:
            await self._wait_until_serving()
        self.up_seconds = time.monotonic() - started_at
        if run.door:
            await self.worker("operators").call(
                "call", addresses=dict(zip(plan.nodes, self.admin_addresses, strict=True))
            )

    async def _wait_until_serving(self) -> None:
        """Wait until every node serves under some policy."""
        await self._poll_statuses(START_LIMIT, lambda under: () not in under)
        idle = {address: one for address, one in self.status.items() if not one.get("serves")}
        if idle:
            raise HarnessError(f"{len(idle)} nodes serve under no policy: {str(idle)[:2000]}")

    async def _poll_statuses(self, limit: float, condition: Callable[[set[tuple[str, ...]]], bool]) -> None:
        """Poll the status of all nodes until a condition on their policies holds, or for limit seconds."""
        until = self.loop.time() + limit
        while True:
            self.status = await self.worker("policy_operators").call("status", addresses=self.admin_addresses)
            under = {tuple(one.get("serves", ())) for one in self.status.values()}
            if condition(under) or self.loop.time() > until:
                return
            await asyncio.sleep(STATUS_INTERVAL)

    async def _wait_for_agreement(self) -> None:
        """Wait up to AGREEMENT_LIMIT for all nodes to serve under one policy; keeps the last status."""
        await self._poll_statuses(AGREEMENT_LIMIT, lambda under: len(under) == 1 and under != {()})

    async def _propose_change(self, n: int) -> None:
        """Propose one policy change of the plan at its time, and record its result."""
        change = self.plan.changes[n]
        await self._sleep_until(change.at)
        if change.after_restarts:
            await self._until(lambda: not self._restarts_due(change.at), "the killed nodes to be ready again")
        words = msgspec.to_builtins(change)
        if change.keepers is not None:
            words["keepers"] = [self.policy_addresses[number] for number in change.keepers]
        voters = self.policy_addresses[: self.run.keepers]
        limit = change.limit / SECOND + 60.0
        found = await self.worker("policy_operators").call(
            "change", limit, addresses=voters, to=change.to, change=words
        )
        self.change_results[n] = found

    def _restarts_due(self, moment: int) -> list[Fault]:
        """Return the faults before a moment of the run whose killed nodes are not all ready again."""
        return [fault for fault in self.unfinished_restarts if fault.at <= moment]

    def rate(self) -> float:
        """Return the requests a second of the plan's load."""
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
                self.process_of_server[name] = f"servers{number}"
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
            self.server_lines |= await self.worker(f"servers{number}").call(
                "open", servers=mine, sides=sides, away=sorted(absent)
            )
        self.absent_servers |= absent

    async def _open_switch(self) -> None:
        """Route the datagrams of node pairs with a fault through the switch, each pair at its own address."""
        faulted = pairs(self.plan)
        if not faulted:
            return
        self.switch_addresses = dict(
            zip(faulted, _free_addresses(len(faulted), socket.SOCK_DGRAM), strict=True)
        )
        real = dict(zip(self.plan.nodes, self.peer_addresses, strict=False))
        await self.worker("switch").call(
            "open", pairs=[[a, b, at] for (a, b), at in self.switch_addresses.items()], real=real
        )

    def _fork_node(self, name: str) -> None:
        n = self.plan.nodes.index(name)
        config = {
            "name": name,
            "listen": "127.0.0.1:9000",
            "discovery": f"127.0.0.1:{self.discovery_ports[name]}",
            "seed": f"{(self.plan.seed << 16) + n:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.run.sockets},
            "settings": node_settings(self.run, n),
        }
        words: dict[str, Any] = {"defect": self.defect}
        if self.run.talk:
            peer_addresses = [
                self.switch_addresses.get((name, other), at)
                for other, at in zip(self.peer_names, self.peer_addresses, strict=True)
            ]
            config |= {"peers": peer_addresses, "peer_listen": self.peer_addresses[n]}
            words["operator"] = str(self.folder / "operator.toml")
        if self.run.door:
            config["admin"] = self.admin_addresses[n]
        if self.run.keepers:
            path = self.folder / f"{name}.toml"
            path.write_text(self._operator_file(n))
            words |= {"operator": str(path), "keepers": self.run.keepers}
            words |= {"unfit": n in self.run.unfit, "full": n in self.run.full}
            death = self.deaths.pop(name, None)
            if death is not None:
                words["death"] = msgspec.to_builtins(death)
                self.expected_exits.add(name)
                self.planned_crashes[name] = death.back
        (self.folder / f"{name}.json").write_text(json.dumps(config))
        if "death" not in words:
            self.expected_exits.discard(name)
        self.fork_server.fork("node", name, words)

    def _operator_file(self, n: int) -> str:
        """Return the operator file with which a node starts."""
        run = self.run
        lines = [
            "[accord]",
            f"keepers = {json.dumps(self.policy_addresses[: run.keepers])}",
            f"folder = {json.dumps(str(self.folder / 'accord'))}",
            f'door = "{self.policy_addresses[n]}"',
            f'lease = "{run.lease // 1_000_000}ms"',
        ]
        if run.narrow_for:
            lines += ['when_unsure = "narrow"', f'narrow_for = "{run.narrow_for // 1_000_000}ms"']
        return "\n".join([*lines, *(("[peers]",) if run.talk else ()), ""])

    async def _restart_crashed(self, name: str) -> None:
        """Record the planned crash of a node, and start a new process of it after the planned delay."""
        now = time.monotonic_ns()
        self.faulted.add(name)
        self.events.append(NodeEnded(now, name, True))
        self.excuses.append(Excuse(name, now - SECOND // 2, now, "killed"))
        self.nodes_with_list.discard(name)
        await self.worker("registry").call("forget", names=[name])
        await asyncio.sleep(self.planned_crashes.pop(name) / SECOND)
        self._fork_node(name)
        await self._wait_until_ready((name,))

    async def _wait_until_ready(self, names: tuple[str, ...]) -> None:
        """Wait until these nodes listen and have a server list, then send their ports to the clients."""
        processes = self.control.processes
        await self._until(
            lambda: all(name in processes and name in self.nodes_with_list for name in names), "the nodes"
        )
        ports = {name: processes[name].hello["port"] for name in names}
        for name in self.workers:
            if name.startswith("clients"):
                await self.worker(name).call("ports", ports=ports)

    async def _until(self, condition: Callable[[], bool], what: str) -> None:
        await self.control.wait_for(lambda: condition() or bool(self.failed), START_LIMIT, what)
        self._raise_if_failed()

    # Discovery lists

    async def _publish_lines(self) -> None:
        """Collect the list lines of all servers and publish them."""
        changed: dict[str, Any] = {}
        for number in range(self.plan.rig.server_processes):
            changed |= await self.worker(f"servers{number}").call("rows")
        self.server_lines |= changed
        lines = {name: row for name, row in changed.items() if name not in self.absent_servers}
        if lines:
            await self.worker("registry").call("publish", lines=lines)

    async def _publish_periodically(self) -> None:
        every = self.run.list_every / SECOND
        due = self.loop.time()
        while True:
            due += every
            await asyncio.sleep(max(0.0, due - self.loop.time()))
            await self._publish_lines()

    async def _publish_deleted(self, servers: tuple[str, ...]) -> None:
        self.absent_servers |= set(servers)
        lines = {name: {**self.server_lines[name], "state": "DELETED"} for name in servers}
        await self.worker("registry").call("publish", lines=lines)

    # Faults

    async def _inject(self, fault: Fault) -> None:
        """Inject one fault, from its start to its end."""
        await self._sleep_until(fault.at)
        now = time.monotonic_ns()
        self.phase = str(fault)
        self.report_progress()
        end = self.started_at + fault.until
        begin = _FAULT_HANDLERS.get(fault.kind, _Harness._link)
        await begin(self, fault, now, end)
        self.phase = "steady"
        self.report_progress()

    async def _sleep_until(self, moment: int) -> None:
        await asyncio.sleep(max(0.0, (self.started_at + moment - time.monotonic_ns()) / SECOND))

    def _add_excuses(self, nodes: tuple[str, ...], since: int, why: str) -> None:
        self.faulted |= set(nodes)
        self.excuses += [Excuse(name, since, time.monotonic_ns(), why) for name in nodes]

    async def _kill(self, fault: Fault, now: int, end: int) -> None:
        self.faulted |= set(fault.nodes)
        self.expected_exits |= set(fault.nodes)
        for name in fault.nodes:
            self.fork_server.signal(name, signal.SIGKILL)
        await self.fork_server.until(
            lambda: not any(name in self.fork_server.pids for name in fault.nodes), "killed nodes to exit"
        )
        over = time.monotonic_ns()
        self.events += [NodeEnded(over, name, True) for name in fault.nodes]
        self.excuses += [Excuse(name, now, over, "killed") for name in fault.nodes]
        self.nodes_with_list -= set(fault.nodes)
        await self.worker("registry").call("forget", names=fault.nodes)
        if fault.until > fault.at:
            await self._sleep_until(fault.until)
            for name in fault.nodes:
                self._fork_node(name)
            await self._wait_until_ready(fault.nodes)
            self.unfinished_restarts.remove(fault)
            self.control.notify()

    async def _restart(self, fault: Fault, now: int, end: int) -> None:
        """Send SIGTERM to one node after another over the fault's time; each restarts once it has exited."""
        self.faulted |= set(fault.nodes)
        for n, name in enumerate(fault.nodes):
            await self._sleep_until(fault.at + (fault.until - fault.at) * n // max(1, len(fault.nodes)))
            self.expected_exits.add(name)
            self.fork_server.signal(name, signal.SIGTERM)
            await self.fork_server.until(
                lambda name=name: name not in self.fork_server.pids,  # type: ignore[misc]
                f"{name} to drain",
                30.0,
            )
            self.events.append(NodeEnded(time.monotonic_ns(), name, False))
            self.nodes_with_list.discard(name)
            await self.worker("registry").call("forget", names=[name])
            self._fork_node(name)
            await self._wait_until_ready((name,))

    async def _stop(self, fault: Fault, now: int, end: int) -> None:
        for name in fault.nodes:
            self.fork_server.signal(name, signal.SIGSTOP)
        await self._sleep_until(fault.until)
        for name in fault.nodes:
            self.fork_server.signal(name, signal.SIGCONT)
        # Data that waited in the sockets is read late, too: half a second covers that.
        await asyncio.sleep(0.5)
        self._add_excuses(fault.nodes, now, "stopped")

    async def _starve(self, fault: Fault, now: int, end: int) -> None:
        stopped = False
        try:
            while time.monotonic_ns() < end:
                for part, number in ((fault.by, signal.SIGSTOP), (1.0 - fault.by, signal.SIGCONT)):
                    stopped = number == signal.SIGSTOP
                    for name in fault.nodes:
                        self.fork_server.signal(name, number)
                    await asyncio.sleep(DUTY_CYCLE * part)
        finally:
            if stopped:
                for name in fault.nodes:
                    self.fork_server.signal(name, signal.SIGCONT)
        self._add_excuses(fault.nodes, now, "starved")

    async def _few_files(self, fault: Fault, now: int, end: int) -> None:
        """Lower the limit on descriptors: no further ones can be opened, open ones stay."""
        known = {}
        for name in fault.nodes:
            pid = self.fork_server.pids[name]
            known[name] = pid, resource.prlimit(pid, resource.RLIMIT_NOFILE)
            resource.prlimit(pid, resource.RLIMIT_NOFILE, (int(fault.by), known[name][1][1]))
        await self._sleep_until(fault.until)
        for name, (pid, limits) in known.items():
            if self.fork_server.pids.get(name) == pid:
                resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
        self.faulted |= set(fault.nodes)

    def _by_process(self, servers: tuple[str, ...]) -> dict[str, list[str]]:
        found: dict[str, list[str]] = {}
        for name in servers:
            found.setdefault(self.process_of_server[name], []).append(name)
        return found

    async def _call_servers(self, servers: tuple[str, ...], do: str, **words: Any) -> None:
        for home, names in self._by_process(servers).items():
            await self.worker(home).call(do, names=names, **words)

    async def _crash(self, fault: Fault, now: int, end: int) -> None:
        await self._call_servers(fault.servers, "crash")
        await asyncio.sleep(LIST_DELAY)
        await self._publish_deleted(fault.servers)
        if fault.until > fault.at:
            await self._sleep_until(fault.until)
            await self._restore_servers(fault.servers)

    async def _absent(self, fault: Fault, now: int, end: int) -> None:
        await self._sleep_until(fault.until)
        await self._restore_servers(fault.servers)

    async def _restore_servers(self, servers: tuple[str, ...]) -> None:
        await self._call_servers(servers, "back")
        await asyncio.sleep(LIST_DELAY)
        self.absent_servers -= set(servers)
        await self._publish_lines()

    async def _slow(self, fault: Fault, now: int, end: int) -> None:
        self.unfit += [(name, now, end) for name in fault.servers]
        await self._call_servers(fault.servers, "slow", by=fault.by)
        await self._sleep_until(fault.until)
        await self._call_servers(fault.servers, "slow", by=1.0)

    async def _fail(self, fault: Fault, now: int, end: int) -> None:
        self.unfit += [(name, now, end) for name in fault.servers]
        await self._call_servers(fault.servers, "fail", by=fault.by)
        await self._sleep_until(fault.until)
        await self._call_servers(fault.servers, "fail", by=0.0)

    async def _drain(self, fault: Fault, now: int, end: int) -> None:
        self.unfit += [(name, now, end + SECOND) for name in fault.servers]
        await self._call_servers(fault.servers, "state", state="DRAINING")
        await self._publish_lines()
        await self._sleep_until(fault.until)
        await self._call_servers(fault.servers, "state", state="SERVING")
        await self._publish_lines()

    async def _lists_late(self, fault: Fault, now: int, end: int) -> None:
        registry = self.worker("registry")
        await registry.call("late", names=fault.nodes, by=fault.by)
        await self._sleep_until(fault.until)
        await registry.call("late", names=fault.nodes, by=0.0)

    async def _link(self, fault: Fault, now: int, end: int) -> None:
        await self._set_link_state(fault, fault.state)
        await self._sleep_until(fault.until)
        await self._set_link_state(fault, LinkState())
        if fault.link == "clients-nodes":
            await asyncio.sleep(0.5)
            self._add_excuses(fault.nodes, now, f"clients: {fault.kind}")

    async def _set_link_state(self, fault: Fault, state: LinkState) -> None:
        words = msgspec.to_builtins(state)
        if fault.link == "nodes-servers":
            sides = self.plan.sides
            mine = sorted({sides[name] for name in fault.nodes})
            await self._call_servers(fault.servers, "link", sides=mine, state=words)
        elif fault.link == "nodes-nodes":
            for name in ("switch", "relay"):
                if name in self.workers:
                    await self.worker(name).call("link", names=fault.nodes, others=fault.others, state=words)
        elif fault.link in ("nodes-discovery", "operators-nodes"):
            worker = self.worker("registry" if fault.link == "nodes-discovery" else "operators")
            await worker.call("link", names=fault.nodes, state=words)
        else:
            for name in self.workers:
                if name.startswith("clients"):
                    await self.worker(name).call("link", names=fault.nodes, state=words)

    # Running the plan

    def report_progress(self) -> None:
        """Report the progress of the run."""
        elapsed = (time.monotonic_ns() - self.started_at) / SECOND if self.started_at else 0.0
        self.on_progress(
            Tick(
                elapsed, self.run.seconds / SECOND, self.phase, len(self.fork_server.pids) - len(self.workers)
            )
        )

    async def execute(self) -> Outcome:
        """Start, run and stop all processes, and compute the outcome."""
        run = self.run
        self.report_progress()
        await self.start()
        self.phase = "steady"
        self.started_at = time.monotonic_ns() + int(START_DELAY * SECOND)
        seconds = run.seconds / SECOND
        clients = [self.worker(name) for name in self.workers if name.startswith("clients")]
        runs = [
            self.loop.create_task(
                worker.call("run", limit=seconds + 60.0, at=self.started_at, seconds=seconds)
            )
            for worker in clients
        ]
        beside = [self.loop.create_task(work) for work in (self._publish_periodically(), self._monitor())]
        faults = [self.loop.create_task(self._inject(fault)) for fault in self.plan.faults]
        self.change_results = [[] for _ in self.plan.changes]
        faults += [self.loop.create_task(self._propose_change(n)) for n in range(len(self.plan.changes))]
        await self._sleep_until(run.warm)
        pids = dict(self.fork_server.pids)
        first = {name: _process_usage(pid) for name, pid in pids.items()}
        since = time.monotonic_ns()
        try:
            await self._wait_for_clients(runs, faults, beside)
            await asyncio.gather(*faults, *self.crash_tasks)
            if run.keepers:
                await self._wait_for_agreement()
        finally:
            for task in (*beside, *faults, *runs, *self.crash_tasks):
                task.cancel()
            await asyncio.gather(*beside, *faults, *runs, *self.crash_tasks, return_exceptions=True)
        ended = time.monotonic_ns()
        last = {
            name: _process_usage(pid) for name, pid in pids.items() if self.fork_server.pids.get(name) == pid
        }
        self.phase = "over"
        self.report_progress()
        await self._stop_nodes()
        return self._outcome(first, last, since, ended)

    async def _wait_for_clients(self, runs: list[Any], faults: list[Any], beside: list[Any]) -> None:
        """Wait for the clients to finish; a failure of any task ends the run."""
        waiting = {*runs, *faults, *beside}
        while any(not task.done() for task in runs):
            done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()

    async def _monitor(self) -> None:
        while True:
            await asyncio.sleep(0.25)
            self._raise_if_failed()
            self.report_progress()

    async def _stop_nodes(self) -> None:
        """Stop the nodes with SIGTERM, as operators do, then all other processes."""
        nodes = [name for name in self.plan.nodes if name in self.fork_server.pids]
        for name in nodes:
            self.fork_server.signal(name, signal.SIGTERM)
        with contextlib.suppress(HarnessError):  # nodes that do not exit are killed with the fork server
            await self.fork_server.until(
                lambda: not any(name in self.fork_server.pids for name in nodes), "nodes to end", END_LIMIT
            )
        await self.close()

    async def close(self) -> None:
        """Stop all remaining processes."""
        self.phase = "over"
        await self.control.stop()
        workers = [name for name in self.workers if name in self.fork_server.pids]
        with contextlib.suppress(HarnessError):  # workers exit when the control socket closes
            await self.fork_server.until(
                lambda: not any(name in self.fork_server.pids for name in workers), "workers to end", 5.0
            )
        await self.fork_server.stop()

    def _outcome(
        self,
        first: dict[str, tuple[float, float, float]],
        last: dict[str, tuple[float, float, float]],
        since: int,
        ended: int,
    ) -> Outcome:
        events = list(self.events)
        for path in sorted(self.folder.glob("*.journal")):
            events += read_events(path)
        limits = rule_limits(self.run)
        merged = merge_events(events, limits, ended, self.excuses, self.unfit)
        span = (ended - since) / SECOND
        used = {name: [(b - a) / span for a, b in zip(first[name], last[name], strict=True)] for name in last}
        nodes = [name for name in self.plan.nodes if name in used and name not in self.faulted]
        rig = self.plan.rig
        validity = assess_run_validity(
            merged.beats,
            self.workers,
            self.started_at,
            self.started_at + self.run.seconds,
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
            merged,
            validity,
            self.started_at,
            self.started_at + self.run.seconds,
            self.up_seconds,
            sum(used[name][0] for name in nodes) / count,
            sum(last[name][2] for name in nodes) / count,
            sum(used[name][0] for name in self.workers if name in used),
            beyond,
            self.change_results,
            self.status,
        )


def _free_addresses(count: int, sort: int) -> list[str]:
    """Return unused addresses on loopback for sockets of one type.

    Each node gets its own IP address and all share one port, so that a restarted node finds its address free.
    """
    rng = random.Random()
    for _ in range(20):
        net, port = rng.randrange(1, 255), rng.randrange(20_000, 30_000)
        found = [f"127.{net}.{n // 250}.{1 + n % 250}" for n in range(count)]
        with contextlib.ExitStack() as stack:
            try:
                for host in found:
                    sock = stack.enter_context(socket.socket(socket.AF_INET, sort))
                    sock.bind((host, port))
            except OSError:
                continue
            return [f"{host}:{port}" for host in found]
    raise HarnessError("no free addresses on loopback")


_FAULT_HANDLERS: dict[str, Callable[[_Harness, Fault, int, int], Awaitable[None]]] = {
    "kill": _Harness._kill,
    "restart": _Harness._restart,
    "stop": _Harness._stop,
    "starve": _Harness._starve,
    "few-files": _Harness._few_files,
    "crash": _Harness._crash,
    "absent": _Harness._absent,
    "slow": _Harness._slow,
    "fail": _Harness._fail,
    "drain": _Harness._drain,
    "lists-late": _Harness._lists_late,
}


async def run_plan(
    plan: Plan,
    on_progress: Callable[[Tick], None] = lambda tick: None,
    defect: str = "",
    keep: Path | None = None,
) -> Outcome:
    """Run a plan; defect: planted in every node (planted.py); keep: a new folder for logs and event logs.

    HarnessError: the run could not be completed. No process is left running in any case.
    """
    folder = Path(tempfile.mkdtemp(prefix="tier-", dir=in_memory()))
    harness = _Harness(plan, folder, on_progress, defect)
    try:
        return await harness.execute()
    except ControlCallError as error:
        raise HarnessError(harness.failed or str(error)) from None
    finally:
        await harness.close()
        if keep is not None:
            shutil.copytree(folder, keep, ignore=shutil.ignore_patterns("*.sock"))
        shutil.rmtree(folder, ignore_errors=True)
