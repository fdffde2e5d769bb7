"""The demo: a real node between stand-in servers of three speeds, a fifth of which die and come back cold."""

from __future__ import annotations

import asyncio
import random
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path

from hollybay.testbed.callers import Callers
from hollybay.testbed.fleet import ModelServer
from hollybay.testbed.ledger import Final, Ledger, Verdict
from hollybay.testbed.process import NodeProcess
from hollybay.testbed.scene import KINDS, Scene
from hollybay.units import MS

__all__ = ["ClassRow", "KindRow", "Progress", "Report", "percentile", "play", "rows_of"]

# The fault, as parts of the run: a fifth dies half way, is back cold an eighth later; the list follows late.
KILLED_PART, KILLED_AT, BACK_AFTER = 0.2, 0.5, 0.125
LIST_LATE = 0.6  # seconds until the list tells of a death or a return


@dataclass(frozen=True, slots=True)
class ClassRow:
    """What became of one class. Times in ms; worth: worth answered within the aim over worth asked for."""

    name: str
    asked: int
    served: int
    refused: int
    failed: int
    p50_ms: float
    p99_ms: float
    worth: float


@dataclass(frozen=True, slots=True)
class KindRow:
    """What one kind of machine did: its shares (0 to 1) of the work, of the capacity, and its answers."""

    name: str
    servers: int
    work_share: float
    capacity_share: float
    answers: int


@dataclass(frozen=True, slots=True)
class Report:
    """The whole run."""

    seconds: float
    rate: float
    servers: int
    killed: int
    classes: tuple[ClassRow, ...]
    kinds: tuple[KindRow, ...]
    worth: float
    cpu_ms_a_request: float
    node_memory_mb: float
    late_ms: float
    verdict: Verdict

    def as_json(self) -> dict[str, object]:
        """Everything, for a file."""
        data = asdict(self)
        data["rules"] = self.verdict.counts
        del data["verdict"]
        data["faults"] = [asdict(fault) for fault in self.verdict.faults]
        return data


@dataclass(slots=True)
class Progress:
    """How far a run has come: elapsed and whole time (s), counts by end, servers up."""

    elapsed: float
    seconds: float
    phase: str
    asked: int
    served: int
    refused: int
    failed: int
    up: int


def percentile(values: list[float], part: float) -> float:
    """The value below which that part (0 to 1) lies, by nearest rank; 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def rows_of(ledger: Ledger) -> tuple[tuple[ClassRow, ...], float]:
    """By class what became of the requests, and the worth in time of all."""
    rows = []
    earned = asked_worth = 0.0
    for number, cls in enumerate(ledger.limits.classes):
        mine = [entry for entry in ledger.requests.values() if entry.cls == number]
        ends = Counter(entry.final for entry in mine)
        took = [(entry.ended - entry.at) / MS for entry in mine if entry.final is Final.SERVED]
        in_time = sum(ms * MS <= cls.latency_objective for ms in took)
        earned += cls.priority_weight * in_time
        asked_worth += cls.priority_weight * len(mine)
        rows.append(
            ClassRow(
                cls.name,
                len(mine),
                ends[Final.SERVED],
                ends[Final.REFUSED],
                len(mine) - ends[Final.SERVED] - ends[Final.REFUSED],
                percentile(took, 0.5),
                percentile(took, 0.99),
                in_time / len(mine) if mine else 1.0,
            )
        )
    return tuple(rows), earned / asked_worth if asked_worth else 1.0


def _kinds(servers: list[ModelServer]) -> tuple[KindRow, ...]:
    work = sum(server.served.work for server in servers) or 1.0
    capacity = sum(server.kind.capacity for server in servers)
    rows = []
    for kind in KINDS:
        mine = [server for server in servers if server.kind is kind]
        rows.append(
            KindRow(
                kind.name,
                len(mine),
                sum(server.served.work for server in mine) / work,
                sum(server.kind.capacity for server in mine) / capacity,
                sum(server.served.done for server in mine),
            )
        )
    return tuple(rows)


async def play(
    seconds: float = 16.0,
    rate: float = 320.0,
    servers: int = 40,
    seed: int = 1,
    show: Callable[[Progress], None] = lambda progress: None,
) -> Report:
    """Run it: rate in requests a second, the load bounded by the caller's choice of both.

    show hears of every change of phase, and between them of the counts four times a second. The node is a
    process of its own; servers, agent and clients live in this one. OSError or RuntimeError where the node
    cannot be started.
    """
    scene = Scene(servers, seed=seed)
    await scene.start()
    chance = random.Random(seed)
    doomed = chance.sample(scene.servers, max(1, round(KILLED_PART * servers)))
    phase = "steady"
    loop = asyncio.get_running_loop()
    with tempfile.TemporaryDirectory() as folder:
        node = NodeProcess(scene.config(), Path(folder))
        port = await node.start()
        try:
            # It has the list once it asks what is newer than that.
            await scene.agent.until(lambda: scene.agent.calls >= 2)
            callers = Callers(scene.ledger, [port], scene.mixes(), rate, seed)
            began = loop.time()
            spent = node.cpu_seconds()

            def tell() -> None:
                show(_progress(loop.time() - began, seconds, phase, scene))

            async def faults() -> None:
                nonlocal phase
                await asyncio.sleep(KILLED_AT * seconds)
                phase = f"{len(doomed)} killed"
                for server in doomed:
                    server.crash()
                tell()
                await asyncio.sleep(min(LIST_LATE, BACK_AFTER * seconds / 2))
                scene.agent.remove(*doomed)
                await asyncio.sleep(max(0.0, BACK_AFTER * seconds - LIST_LATE))
                for server in doomed:
                    await server.start(cold=True)
                phase = f"{len(doomed)} back, cold"
                tell()
                await asyncio.sleep(LIST_LATE)
                scene.agent.publish(*doomed)

            async def watch() -> None:
                while True:
                    tell()
                    await asyncio.sleep(0.25)

            async def weights() -> None:
                while True:
                    await asyncio.sleep(1.0)
                    scene.agent.publish(*(s for s in scene.servers if s.up and s.name in scene.agent.lines))

            beside = [loop.create_task(watch()), loop.create_task(weights())]
            trouble = loop.create_task(faults())
            try:
                await callers.run(seconds)
                await trouble
            finally:
                for task in (*beside, trouble):
                    task.cancel()
                await asyncio.gather(*beside, trouble, return_exceptions=True)
                callers.close()
            spent = node.cpu_seconds() - spent
            memory = node.memory_mb()
        finally:
            await node.stop()
            await scene.stop()
    classes, worth = rows_of(scene.ledger)
    return Report(
        seconds,
        rate,
        servers,
        len(doomed),
        classes,
        _kinds(scene.servers),
        worth,
        1000 * spent / max(1, callers.sent),
        memory,
        1000 * callers.late,
        scene.ledger.check(),
    )


def _progress(elapsed: float, seconds: float, phase: str, scene: Scene) -> Progress:
    ends: Counter[Final | None] = Counter(entry.final for entry in scene.ledger.requests.values())
    served, refused, still = ends[Final.SERVED], ends[Final.REFUSED], ends[None]
    asked = len(scene.ledger.requests)
    return Progress(
        elapsed,
        seconds,
        phase,
        asked,
        served,
        refused,
        asked - served - refused - still,
        sum(server.up for server in scene.servers),
    )
