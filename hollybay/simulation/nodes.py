"""Nodes as simulated processes: they run `hollybay.proxy.life_cycle.serve`, with signals and files."""

from __future__ import annotations

import asyncio
import json

from hollybay.proxy.accounts import DiscrepancyTracker
from hollybay.proxy.assembly import NodeParts
from hollybay.proxy.config import ConfigError, load
from hollybay.proxy.downstream.listener import ClientListener as NodeClients
from hollybay.proxy.life_cycle import serve
from hollybay.proxy.upstream.pools import UpstreamPools
from hollybay.testbed.balancer_invariants import watch_records

from .host import SimHost
from .loop import Process
from .oracles import budget_violation, connect_violation
from .plan import Plan, settings
from .run_context import RunContext

__all__ = ["OPERATOR", "NodeProcess", "operator_file", "unsafe_operator_files"]

CONFIG, OPERATOR = "/node/config.json", "/node/operator.toml"
SIGTERM = 15
# Time between two comparisons of the accounts. A count that has gone wrong stays wrong, and comparing takes
# longer than a step.
ACCOUNT_INTERVAL_S = 0.02
# For how long the transports of the simulation may take to report the end of a connection.
ACCOUNT_TOLERANCE_S = 0.05


class NodeProcess:
    """A node: consecutive processes on one host."""

    def __init__(self, world: RunContext, number: int) -> None:
        self.world = world
        self.number = number
        self.host = f"n{number}"
        self.process: Process | None = None
        self.sim_host: SimHost
        self.accounts = DiscrepancyTracker(ACCOUNT_TOLERANCE_S)
        self._accounts_due_at = 0.0  # loop time (s)
        self.parts: NodeParts | None = None  # set once it is assembled
        self.ended = asyncio.Event()
        self.terminating = False  # it has been sent SIGTERM
        self.files: dict[str, bytes] = {}
        self._task: asyncio.Task[None] | None = None

    def configuration(self) -> bytes:
        """Return the content of the file that BALANCER_CONFIG names."""
        plan = self.world.plan
        return json.dumps(
            {
                "name": self.host,
                "listen": f"{self.host}:80",
                "discovery": f"agent-{self.host}:8500",
                "seed": f"{plan.seed + self.number:x}",
                "limits": {"cores": 1.0, "memory_mb": 64, "sockets": plan.sockets},
                "settings": settings(plan, self.number),
            }
        ).encode()

    def start(self) -> None:
        """Start a process; none may be running."""
        world = self.world
        assert self.process is None or not self.process.alive
        self.process = Process(world.loop, self.host)  # type: ignore[abstract]
        self.sim_host = SimHost(world.net, self.host, world.plan.sockets, self.process)
        if not self.files:
            self.files = {CONFIG: self.configuration()}
            if world.plan.operator:
                self.files[OPERATOR] = operator_file(world.plan)
        self.accounts = DiscrepancyTracker(ACCOUNT_TOLERANCE_S)
        self.sim_host.files = dict(self.files)
        self.parts = None
        self.terminating = False
        self.ended = asyncio.Event()
        environ = {"BALANCER_CONFIG": CONFIG}
        if world.plan.operator:
            environ["HOLLYBAY_OPERATOR"] = OPERATOR
        self._task = self.process.create_task(self._main(environ))

    async def _main(self, environ: dict[str, str]) -> None:
        def assembled(parts: NodeParts) -> None:
            self.parts = parts
            watch_records(
                parts.dispatcher.balancer,
                lambda _, fault: world.ledger.report("records", self.host, fault),
            )

        world = self.world
        process = self.process
        assert process is not None
        try:
            await serve(load(environ), environ, assembled=assembled)
        except (ConfigError, OSError) as error:
            world.ledger.report("process", self.host, f"failed to start: {error}")
        except Exception as error:
            world.ledger.report("process", self.host, f"ended with {type(error).__name__}: {error}")
        if not self.terminating:
            world.ledger.report("process", self.host, "ended without a signal")
        world.loop.call_soon(self._on_exit, process)

    def _on_exit(self, process: Process) -> None:
        self.check_errors(process)
        process.kill()
        self.sim_host.end()
        self._clear_process()

    def _clear_process(self) -> None:
        world = self.world
        world.ledger.forget(self.host)
        # Its requests in transit may still arrive within the grace period.
        for key in [key for key in world.listed_addresses if key[0] == self.host]:
            world.listed_addresses[key] = (False, world.now())
        world.addresses = {key: at for key, at in world.addresses.items() if key[0] != self.host}
        self.parts = None
        self.ended.set()

    def signal(self, number: int) -> None:
        """Send its process a signal, if it is running."""
        process = self.process
        if process is None or not process.alive:
            return
        if number == SIGTERM:
            self.terminating = True
        if not process.deliver_signal(number):
            self.kill()

    def kill(self) -> None:
        """Kill its process as SIGKILL does."""
        process = self.process
        if process is None or not process.alive:
            return
        world = self.world
        for end in world.net.transports:
            if end.local[0] == self.host:
                end.peer.peer_killed = True
        process.kill()
        self.sim_host.end(killed=True)
        self._clear_process()

    def check_errors(self, process: Process) -> None:
        """Report exceptions that its process did not handle."""
        process.reap_finished_tasks()
        errors, process.errors = process.errors, []
        for error in errors:
            what = error.get("exception") or error.get("message")
            self.world.ledger.report("process", self.host, f"unhandled exception: {what!r}")

    # Limits and resources

    def check(self) -> None:
        """Check, after a step, that budgets, counts and descriptors are within their limits."""
        if self.parts is None:
            return
        if self.process is not None and self.process.errors:
            self.check_errors(self.process)
        clients, dispatcher, _ = self.parts
        servers = dispatcher.pools
        reason = budget_violation(
            {
                "bytes of buffered bodies": (clients.body_budget.used, clients.body_budget.total + (1 << 20)),
                "bytes of streamed bodies": (clients.streaming_budget.used, clients.streaming_budget.total),
                "connections to servers": (_connection_count(servers), servers.limit + 1),
                "client connections": (len(clients.connections), clients.limit + 1),
                "unfinished requests": (dispatcher.unfinished_requests, len(dispatcher.requests)),
                "descriptors": (len(self.sim_host.sockets), self.sim_host.descriptors),
            }
        )
        self.world.ledger.report("budget", self.host, reason)
        self._check_accounts(self.parts)
        while self.sim_host.connect_durations:
            duration = self.sim_host.connect_durations.pop()
            self.world.ledger.report(
                "connect", self.host, connect_violation(duration, self.world.plan.connect / 1000)
            )

    def _check_accounts(self, parts: NodeParts) -> None:
        """Compare the counts of the node with what they stand for, if that is due."""
        now = self.world.loop.now
        if now < self._accounts_due_at:
            return
        self._accounts_due_at = now + ACCOUNT_INTERVAL_S
        for discrepancy in self.accounts.check(parts, now):
            self.world.ledger.report("accounts", self.host, str(discrepancy))

    def active_policy(self) -> object:
        """Return the policy of its operator file, None if it has none."""
        if self.parts is None or self.parts[0].admission is None:
            return None
        return self.parts[0].admission.policy

    def remaining_resources(self) -> dict[str, int]:
        """Return the resources in use, by name; all are 0 after a long time without requests."""
        if self.parts is None:
            return {"nodes not running": 1}
        clients, dispatcher, discovery = self.parts
        assert self.process is not None
        balancer = dispatcher.balancer
        held = {
            "requests": len(dispatcher.requests),
            "unfinished requests": dispatcher.unfinished_requests,
            "ids of open requests": len(dispatcher.request_ids.open),
            "requests tracked by the balancer": len(balancer.requests),
            "attempts in flight at the balancer": sum(s.in_flight for s in balancer.servers.values()),
            "client connections": len(clients.connections),
            "connections to servers": len(dispatcher.pools.connections) + len(dispatcher.pools.opening),
            "bytes of buffered bodies": clients.body_budget.used,
            "bodies held or waiting for the budget": len(clients.body_budget.charged)
            + len(clients.body_budget.waiting),
            "bytes of streamed bodies": clients.streaming_budget.used,
            "requests in flight under limits of the operator file": _in_flight(clients),
            "descriptors other than listener and discovery": max(0, len(self.sim_host.sockets) - 2),
            "timers beyond the 8 permanent ones": max(0, len(self.process.timers()) - 8),
            "tasks beyond the 3 permanent ones": max(0, len(self.process.tasks) - 3),
        }
        return held


def _connection_count(servers: UpstreamPools) -> int:
    """Count connections to servers; those closed in this step, which are removed in the next, don't count."""
    count = len(servers.connections) + len(servers.opening)
    if count > servers.limit:
        count -= sum(conn.transport.is_closing() for conn in servers.connections)
        count -= sum(attempt.result is not None for attempt in servers.opening)
    return count


def _in_flight(clients: NodeClients) -> int:
    return (
        sum(state.in_flight for state in clients.admission.counters.values())
        if clients.admission is not None
        else 0
    )


def operator_file(plan: Plan) -> bytes:
    """Return the operator file of a plan: an empty one, or limits that the settings allow."""
    if plan.operator == "empty":
        return b"# Nothing is said here.\n"
    lines = []
    for cls in plan.classes:
        lines += [f"[class.{cls.name}.limits]", 'body = "256KiB"', "in_flight = 60"]
        if cls.effect == "retryable":
            lines += [f'attempt_timeout = "{cls.aim}ms"', "retry_budget = 0.3"]
        if cls.effect == "dedup":
            lines += [f'repeat_window = "{cls.window // 2}ms"', "copies = 0"]
    lines += [
        "[[route]]",
        'name = "few"',
        f'path = {{ prefix = "/{plan.classes[0].name}" }}',
        "[route.limits]",
        "attempts = 1",
        'rate = { per_second = 20, burst = 10, by = "tenant" }',
    ]
    if plan.retry_after:
        lines.append('retry_after = { least = "50ms", most = "200ms" }')
    return "\n".join(lines).encode()


def unsafe_operator_files(plan: Plan) -> list[bytes]:
    """Return operator files to be rejected: each violates a rule or exceeds a limit of the platform."""
    files = []
    for cls in plan.classes:
        at = f"[class.{cls.name}.limits]\n"
        files.append(at + f'request_timeout = "{cls.deadline + 1000}ms"\n')
        files.append(at + f'attempt_timeout = "{cls.aim + 500}ms"\n')
        files.append(at + 'body = "33MiB"\n')
        files.append(at + f"attempts = {plan.attempts + 1}\n")
        if cls.effect == "fragile":
            files += [at + "attempts = 2\n", at + "copies = 1\n"]
        if cls.effect == "dedup":
            files.append(at + f'repeat_window = "{cls.window + 1000}ms"\n')
            if cls.group != "all":
                files.append(at + 'repeat_group = "all"\n')
    return [text.encode() for text in files]
