"""Runs a soak plan and checks the rules."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from hollybay.testbed.cpu_wait import cpu_wait_ns
from hollybay.testbed.discovery_agent import DiscoveryAgent
from hollybay.testbed.fake_environment import CLASSES, FakeEnvironment, settings
from hollybay.testbed.ledger import RuleLimits, Violation
from hollybay.testbed.listener import request_once
from hollybay.testbed.process import PORT_VARIABLE, NodeProcess
from hollybay.testbed.reserved_port import reserved_port
from hollybay.units import MS, SECOND

from .account_check import AccountCheck
from .clients import ClientGroup
from .idle_clients import IdleClients
from .ledger import SoakLedger
from .plan import Condition, SoakPlan

__all__ = ["SoakResult", "play"]

HOST = "127.0.0.1"
# The platform counts a response as lost if it is later than this.
LATE_NS = 500 * MS
# The platform sends SIGKILL this long after the longest deadline, which is capped at MAX_DEADLINE_S.
KILL_DELAY_S = 0.7
MAX_DEADLINE_S = 3.0
READY_LIMIT_S = 10.0
READY_POLL_S = 0.02
SAMPLE_INTERVAL_S = 0.05
# How many more descriptors a node may have at its end than before the idle clients connected.
MAX_MORE_DESCRIPTORS = 8
DISCONNECTS_SEEN_S = 0.5  # within which a node notices that the idle clients have disconnected
DESCRIPTORS_PER_CLIENT = 2  # its connection, and one to a server
MAX_MORE_MEMORY_MB = 8.0
DESCRIPTORS = 256
IDLE_CLIENTS = 2 * DESCRIPTORS
OPERATOR_ROUTES = 400
HEALTH_REQUEST = b"GET /health/ready HTTP/1.1\r\nHost: soak\r\n\r\n"


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The result of a run.

    Attributes
    ----------
    plan
        The plan of the run.
    violations
        The violations of rules.
    ends
        Number of requests by outcome.
    crossed
        Number of requests whose connection was closed before the node could read them.
    ended_after_s
        Time from the first SIGTERM to the end of the process.
    """

    plan: SoakPlan
    violations: tuple[Violation, ...]
    ends: dict[str, int]
    crossed: int
    ended_after_s: float

    def __str__(self) -> str:
        ends = ", ".join(f"{count} {name}" for name, count in sorted(self.ends.items()))
        lines = [
            f"{self.plan}",
            f"  ended after {self.ended_after_s:.2f} s; {ends}, {self.crossed} closed before they were read",
        ]
        lines += [f"  BROKEN {found.rule}: {found.subject}: {found.reason}" for found in self.violations]
        return "\n".join(lines)


async def play(plan: SoakPlan, folder: Path) -> SoakResult:
    """Run a plan, with its files in an empty folder."""
    with reserved_port() as port, reserved_port() as admin_port, reserved_port() as other_admin_port:
        run = _Run(plan, folder, port, (admin_port, other_admin_port))
        await run.begin()
        try:
            await run.end_node()
        finally:
            await run.stop()
        return run.result()


@dataclass(frozen=True, slots=True)
class _Sample:
    """Resources of a node process at one time."""

    descriptors: int
    memory_mb: float


class _Run:
    """A run in progress.

    Parameters
    ----------
    plan, folder, port
        The plan, the folder for the run's files, and the node's port.
    admin_ports
        The admin ports of the node and of its successor.
    """

    def __init__(self, plan: SoakPlan, folder: Path, port: int, admin_ports: tuple[int, int]) -> None:
        self.plan = plan
        self.folder = folder
        self.port = port
        self.admin_ports = admin_ports
        self.violations: list[Violation] = []
        self.environment = FakeEnvironment(
            plan.servers,
            seed=plan.seed,
            words=settings(categories=_classes(plan)),
            sockets=DESCRIPTORS,
            make_ledger=lambda limits: SoakLedger(_late_limits(limits)),
        )
        assert isinstance(self.environment.ledger, SoakLedger)
        self.ledger: SoakLedger = self.environment.ledger
        self.other_agent = DiscoveryAgent(self.ledger, self.environment.servers)
        self.clients = ClientGroup(
            plan, self.ledger, port, self.environment.mixes(), self._may_connect, self._nodes_waited_ns
        )
        self.idle_clients = IdleClients(port, IDLE_CLIENTS)
        self.node: NodeProcess
        self.successor: NodeProcess | None = None
        self.node_end: asyncio.Future[int]
        self.waited_ns: dict[int, int] = {}  # by process
        self.account_tasks: list[asyncio.Task[None]] = []
        self.term_at: float | None = None
        self.ended_after_s = 0.0
        self.before = _Sample(0, 0.0)
        self.last = _Sample(0, 0.0)

    def _may_connect(self) -> bool:
        """Whether clients may open new connections now."""
        if self.term_at is None:
            return True
        return time.monotonic() < self.term_at + self.plan.connects_after_term_s

    def _nodes_waited_ns(self) -> int:
        """Total time that the node processes have waited for a core."""
        for process in (self.node, self.successor):
            if process is not None and process.exit_status is None:
                self.waited_ns[process.pid] = max(
                    self.waited_ns.get(process.pid, 0), cpu_wait_ns(process.pid)
                )
        return sum(self.waited_ns.values())

    # Start

    async def begin(self) -> None:
        """Start servers, discovery, node and clients, and wait while the clients send."""
        await self.environment.start()
        await self.other_agent.start()
        self.other_agent.publish()
        if self.plan.has(Condition.NO_LIST):
            self._silence_discovery()
        if self.plan.has(Condition.RELOAD):
            self._write_operator_file(0)
        self.node = self._node_process("node.log", self.admin_ports[0])
        await self.node.start()
        self.node_end = asyncio.ensure_future(self.node.wait())
        if not self.plan.has(Condition.NO_LIST):
            await self._wait_until_ready()
        if self.plan.has(Condition.SUCCESSOR):
            self._watch_accounts("node", self.admin_ports[0])
        self.clients.start()
        await asyncio.sleep(self.plan.traffic_s)
        self.before = self._sample()
        if self.plan.has(Condition.CROWD):
            self.idle_clients.start()
            await asyncio.sleep(self.plan.traffic_s)
        if self.plan.has(Condition.SUCCESSOR):
            successor = self._node_process("successor.log", self.admin_ports[1])
            await successor.start()
            self.successor = successor
            self._watch_accounts("successor", self.admin_ports[1])

    def _watch_accounts(self, subject: str, admin_port: int) -> None:
        """Compare the accounts of a process with an admin server until the end of the run."""
        check = AccountCheck(admin_port, lambda reason: self._report("accounts", reason, subject))
        self.account_tasks.append(asyncio.get_running_loop().create_task(check.run()))

    def _node_process(self, log_name: str, admin_port: int) -> NodeProcess:
        config = self.environment.config()
        if self.plan.has(Condition.SUCCESSOR):
            config["admin"] = f"{HOST}:{admin_port}"
        environ = {PORT_VARIABLE: str(self.port), "TMPDIR": str(self.folder)}
        if self.plan.has(Condition.RELOAD):
            environ["HOLLYBAY_OPERATOR"] = str(self.folder / "operator.toml")
        return NodeProcess(config, self.folder, log_name, **environ)

    def _write_operator_file(self, version: int) -> None:
        routes = (
            f"[[route]]\nname = 'r{number}'\npath.exact = '/view-schedule/{number}'\n"
            f"limits.in_flight = {1000 + version}\n"
            for number in range(OPERATOR_ROUTES)
        )
        (self.folder / "operator.toml").write_text("".join(routes))

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(READY_LIMIT_S):
            while b" 200 " not in (await request_once(self.port, HEALTH_REQUEST))[0]:
                await asyncio.sleep(READY_POLL_S)

    def _silence_discovery(self) -> None:
        self.environment.agent.down = True
        self.other_agent.down = True

    # Shutdown

    async def end_node(self) -> None:
        """Send the signals, and wait for the end of the process; kill it when the platform would."""
        self._start_conditions()
        new_clients = asyncio.ensure_future(self.clients.keep_starting())
        for number, timed in enumerate(self.plan.signals):
            if timed.after_s:
                await asyncio.sleep(timed.after_s)
            self._send(timed.number, number)
        assert self.term_at is not None
        sampler = asyncio.ensure_future(self._keep_sampling())
        if not self.plan.idle_clients_stay:
            asyncio.get_running_loop().call_later(
                self.plan.connects_after_term_s, self.idle_clients.disconnect
            )
        if not await self._ends_before_kill(self.term_at):
            self._report("end", "still running when the platform sends SIGKILL")
            await self.node.stop(signal.SIGKILL)
        self.ended_after_s = time.monotonic() - self.term_at
        sampler.cancel()
        await asyncio.gather(sampler, new_clients, return_exceptions=True)

    async def _ends_before_kill(self, term_at: float) -> bool:
        """Wait for the end of the process; the time limit excludes time that it waited for a core."""
        waited_before = self._nodes_waited_ns()
        limit_s = self._kill_after_s()
        while self.node.exit_status is None and time.monotonic() < term_at + limit_s:
            await asyncio.wait({self.node_end}, timeout=term_at + limit_s - time.monotonic())
            limit_s = self._kill_after_s() + (self._nodes_waited_ns() - waited_before) / SECOND
        return self.node.exit_status is not None

    def _start_conditions(self) -> None:
        """Start the conditions that accompany the shutdown."""
        if self.plan.has(Condition.SILENT_WATCH):
            self._silence_discovery()
        if self.plan.has(Condition.HANGING_SERVERS):
            for server in self.environment.servers[
                : round(self.plan.hanging_share * len(self.environment.servers))
            ]:
                server.is_hanging = True
        if self.plan.has(Condition.DRAINING_SERVERS):
            server = self.environment.servers[-1]
            server.state = "DRAINING"
            for agent in (self.environment.agent, self.other_agent):
                agent.publish(server)

    def _send(self, number: signal.Signals, version: int) -> None:
        """Send a signal; SIGHUP reloads a configuration with the other discovery agent."""
        if number == signal.SIGHUP:
            self.node.path.write_text(json.dumps({**self.node.config, "discovery": self.other_agent.address}))
            if self.plan.has(Condition.RELOAD):
                self._write_operator_file(version)
        elif self.term_at is None:
            self.term_at = time.monotonic()
        if self.node.exit_status is None:
            self.node.send_signal(number)

    def _kill_after_s(self) -> float:
        """Time from SIGTERM to SIGKILL (s), without extensions."""
        return min(max(self.plan.deadlines_ms) / 1000, MAX_DEADLINE_S) + KILL_DELAY_S

    def _sample(self) -> _Sample:
        return _Sample(self.node.descriptors(), self.node.memory_mb())

    async def _keep_sampling(self) -> None:
        while True:
            try:
                self.last = self._sample()
            except (OSError, IndexError):  # the process has ended
                return
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def stop(self) -> None:
        """Stop clients, servers and the successor."""
        for task in self.account_tasks:
            task.cancel()
        for outcome in await asyncio.gather(*self.account_tasks, return_exceptions=True):
            if isinstance(outcome, Exception):
                self._report("accounts", f"check failed: {outcome!r}")
        await self.idle_clients.stop()
        await self.clients.finish()
        if self.node.exit_status is None:
            await self.node.stop(signal.SIGKILL)
        if self.successor is not None:
            await self.successor.stop()
        await self.other_agent.stop()
        await self.environment.stop()

    # Verdict

    def _report(self, rule: str, reason: str, subject: str = "node") -> None:
        self.violations.append(Violation(rule, subject, reason))

    def result(self) -> SoakResult:
        """Check the rules."""
        self.violations += self.ledger.check().violations
        self._check_process(self.node)
        if self.successor is not None:
            self._check_process(self.successor)
        if self.clients.refused_connects:
            self._report("listen", f"{self.clients.refused_connects} new connections were refused")
        self._check_descriptors()
        if self.last.memory_mb > self.before.memory_mb + MAX_MORE_MEMORY_MB:
            self._report(
                "rest",
                f"{self.last.memory_mb:.0f} MiB of memory at the end, {self.before.memory_mb:.0f} MiB before",
            )
        ends = Counter(
            "unanswered" if entry.final is None else entry.final.value
            for entry in self.ledger.requests.values()
        )
        return SoakResult(
            self.plan, tuple(self.violations), dict(ends), len(self.ledger.closed), self.ended_after_s
        )

    def _check_descriptors(self) -> None:
        """Check that the node has closed the descriptors of idle clients that disconnected."""
        if not self.plan.has(Condition.CROWD) or self.plan.idle_clients_stay:
            return
        if self.ended_after_s < self.plan.connects_after_term_s + DISCONNECTS_SEEN_S:
            return
        new_clients = len(self.clients.tasks) - self.plan.clients
        most = self.before.descriptors + DESCRIPTORS_PER_CLIENT * new_clients + MAX_MORE_DESCRIPTORS
        if self.last.descriptors > most:
            self._report(
                "rest",
                f"{self.last.descriptors} descriptors at the end, {self.before.descriptors} before "
                f"the idle clients, at most {most} expected",
            )

    def _check_process(self, process: NodeProcess) -> None:
        subject = process.log.stem
        if process.exit_status:
            self._report("end", f"exit status {process.exit_status}, expected 0", subject)
        if "Traceback" in process.log.read_text():
            self._report("end", f"{process.log.name} contains a traceback", subject)


def _classes(plan: SoakPlan) -> list[dict[str, Any]]:
    """The default classes with the deadlines of a run."""
    return [
        {**request_class, "give-up": deadline_ms * MS, "slo": min(request_class["slo"], deadline_ms * MS)}
        for request_class, deadline_ms in zip(CLASSES, plan.deadlines_ms, strict=True)
    ]


def _late_limits(limits: RuleLimits) -> RuleLimits:
    return replace(limits, late=LATE_NS)
