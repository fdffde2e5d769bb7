"""Demo run: a real node and fake servers of three speeds; a fifth of the servers crash and return cold."""

from __future__ import annotations

import asyncio
import random
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from hollybay.testbed.fake_environment import FakeEnvironment
from hollybay.testbed.ledger import FinalOutcome
from hollybay.testbed.load_generator import LoadGenerator
from hollybay.testbed.process import NodeProcess

from .demo_report import Report, class_rows, kind_rows, on_time_weight

__all__ = ["Progress", "play"]

KILLED_SHARE = 0.2  # share of the servers that are killed
KILLED_AT_SHARE = 0.5  # when they are killed, as a share of the run
COLD_RETURN_SHARE = 0.125  # how long they stay down, as a share of the run
DISCOVERY_DELAY_S = 0.6  # until discovery reports that a server is gone or back
PROGRESS_INTERVAL_S = 0.25
WEIGHTS_INTERVAL_S = 1.0  # between two server lists with the current weights
# The node's second call to discovery asks for changes since the first list: it has applied that list.
CALLS_OF_A_READY_NODE = 2
MS_PER_S = 1000


@dataclass(slots=True)
class Progress:
    """Progress of a run: elapsed and total time (s), requests by outcome, number of servers that are up."""

    elapsed: float
    seconds: float
    phase: str
    asked: int
    served: int
    refused: int
    failed: int
    up: int


def _ignore(_progress: Progress) -> None:
    """Ignore the progress of a run."""


async def play(
    seconds: float = 16.0,
    rate: float = 320.0,
    servers: int = 40,
    seed: int = 1,
    show: Callable[[Progress], None] = _ignore,
) -> Report:
    """Run the demo: the node in a separate process; servers, discovery and clients in this one.

    Parameters
    ----------
    seconds
        How long the clients send requests.
    rate
        Requests per second.
    servers
        Number of fake servers.
    seed
        Determines the kinds of the servers, the requests, and which servers are killed.
    show
        Called with the current counts at each change of phase and four times a second.

    Returns
    -------
    Report
        The figures, and the verdict on the four rules.

    Raises
    ------
    OSError, RuntimeError
        The node cannot be started.
    """
    environment = FakeEnvironment(servers, seed=seed)
    await environment.start()
    with tempfile.TemporaryDirectory() as folder:
        node = NodeProcess(environment.config(), Path(folder))
        port = await node.start()
        try:
            await environment.agent.until(lambda: environment.agent.calls >= CALLS_OF_A_READY_NODE)
            clients = LoadGenerator(environment.ledger, [port], environment.mixes(), rate, seed)
            run = _Run(environment, node, clients, seconds, show)
            await run.play()
        finally:
            await node.stop()
            await environment.stop()
    return run.report()


class _Run:
    """One run, with a scene and a node that are already running."""

    def __init__(
        self,
        environment: FakeEnvironment,
        node: NodeProcess,
        clients: LoadGenerator,
        seconds: float,
        show: Callable[[Progress], None],
    ) -> None:
        self.environment = environment
        self.node = node
        self.clients = clients
        self.seconds = seconds
        self.show = show
        chance = random.Random(environment.seed)
        self.victims = chance.sample(environment.servers, max(1, round(KILLED_SHARE * environment.count)))
        self.phase = "steady"
        self.loop = asyncio.get_running_loop()
        self.began_at = self.loop.time()
        self.cpu_seconds = 0.0  # CPU time of the node while clients sent requests
        self.memory_mb = 0.0  # memory of the node once the clients have finished

    async def play(self) -> None:
        """Run clients, faults and discovery updates, and measure the CPU time and memory of the node."""
        cpu_seconds_before = self.node.cpu_seconds()
        await self._send_requests()
        self.cpu_seconds = self.node.cpu_seconds() - cpu_seconds_before
        self.memory_mb = self.node.memory_mb()

    def report(self) -> Report:
        """The figures. Call it after node and servers have stopped: until then the event log may grow."""
        ledger = self.environment.ledger
        return Report(
            seconds=self.seconds,
            rate=self.clients.rate,
            servers=self.environment.count,
            killed=len(self.victims),
            classes=class_rows(ledger),
            kinds=kind_rows(self.environment.servers),
            on_time_weight=on_time_weight(ledger),
            cpu_ms_a_request=MS_PER_S * self.cpu_seconds / max(1, self.clients.sent),
            node_memory_mb=self.memory_mb,
            late_ms=MS_PER_S * self.clients.late,
            verdict=ledger.check(),
        )

    async def _send_requests(self) -> None:
        """Run the clients, and concurrently the faults, the weight updates and the display."""
        background = [self.loop.create_task(work) for work in (self._show_counts(), self._publish_weights())]
        faults = self.loop.create_task(self._inject_faults())
        try:
            await self.clients.run(self.seconds)
            await faults
        finally:
            for task in (*background, faults):
                task.cancel()
            await asyncio.gather(*background, faults, return_exceptions=True)
            self.clients.close()

    async def _inject_faults(self) -> None:
        """Kill the victims, later restart them cold; discovery reports both after a delay."""
        down_seconds = COLD_RETURN_SHARE * self.seconds
        await asyncio.sleep(KILLED_AT_SHARE * self.seconds)
        for server in self.victims:
            server.crash()
        self._enter_phase(f"{len(self.victims)} killed")
        await asyncio.sleep(min(DISCOVERY_DELAY_S, down_seconds / 2))
        self.environment.agent.remove(*self.victims)
        await asyncio.sleep(max(0.0, down_seconds - DISCOVERY_DELAY_S))
        for server in self.victims:
            await server.start(cold=True)
        self._enter_phase(f"{len(self.victims)} back, cold")
        await asyncio.sleep(DISCOVERY_DELAY_S)
        self.environment.agent.publish(*self.victims)

    def _enter_phase(self, phase: str) -> None:
        self.phase = phase
        self._show()

    async def _show_counts(self) -> None:
        while True:
            self._show()
            await asyncio.sleep(PROGRESS_INTERVAL_S)

    async def _publish_weights(self) -> None:
        """Publish the current weights of all listed servers at a fixed interval."""
        agent = self.environment.agent
        while True:
            await asyncio.sleep(WEIGHTS_INTERVAL_S)
            agent.publish(*(s for s in self.environment.servers if s.up and s.name in agent.lines))

    def _show(self) -> None:
        self.show(self._progress())

    def _progress(self) -> Progress:
        entries = self.environment.ledger.requests.values()
        counts: Counter[FinalOutcome | None] = Counter(entry.final for entry in entries)
        served, refused, unanswered = counts[FinalOutcome.SERVED], counts[FinalOutcome.REFUSED], counts[None]
        return Progress(
            elapsed=self.loop.time() - self.began_at,
            seconds=self.seconds,
            phase=self.phase,
            asked=len(entries),
            served=served,
            refused=refused,
            failed=len(entries) - served - refused - unanswered,
            up=sum(server.up for server in self.environment.servers),
        )
