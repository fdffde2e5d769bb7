"""Changes at a rate, and bursts of them: from each proposal until its change is in force everywhere.

Each change is one resource, and has a proposer of its own, who offers it again where the keeper is too busy;
its time goes on from when it was due.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from hollybay.consensus.messages import ChangeOutcome
from hollybay.hollow.fleet import Fleet, FleetError, fleet, version_of
from hollybay.hollow.messages import Report
from hollybay.proxy.system import boot_time_ns
from hollybay.resources.model import CHANGE_ID_BYTES, Change, Kind, Upsert
from hollybay.units import SECOND

from . import control
from .measurement import Figures

__all__ = [
    "Latencies",
    "burst",
    "due_in_a_burst",
    "due_in_a_stream",
    "latencies",
    "stream",
    "stream_with_silent",
]

# The mean of the expected changes, for so long; and how many come within one second.
RATE_A_SECOND = 0.9
STREAM_S = 30.0
BURST = 20
# Between two offers of a change for which a keeper is too busy.
TRY_AGAIN_S = 0.05
# Between two looks of a proposer for what became of its change.
LOOK_S = 0.1
# After the last proposal; what is not in force everywhere by then is counted as not finished.
PATIENCE_S = 30.0


@dataclass(frozen=True, slots=True)
class Latencies:
    """Seconds from a proposal until in force everywhere; unfinished: how many were not in time."""

    p50: float
    p99: float
    worst: float
    unfinished: int


def stream(size: int) -> Figures:
    """Changes at their mean rate."""
    return control.run(_played(size, due_in_a_stream(RATE_A_SECOND, STREAM_S)))


def stream_with_silent(size: int) -> Figures:
    """The same with a tenth of the nodes silent from the begin on."""
    return control.run(_played(size, due_in_a_stream(RATE_A_SECOND, STREAM_S), control.SILENT_PART))


def burst(size: int) -> Figures:
    """A second in which changes come twenty times as often."""
    return control.run(_played(size, due_in_a_burst(BURST)))


def due_in_a_stream(rate: float, seconds: float) -> list[float]:
    """When changes are proposed (s from the begin), evenly."""
    return [n / rate for n in range(max(1, int(rate * seconds)))]


def due_in_a_burst(count: int) -> list[float]:
    """So many within one second."""
    return [n / count for n in range(count)]


def latencies(taken: Sequence[float]) -> Latencies:
    """The summary of times of which those that are not finite are unfinished."""
    ordered = sorted(taken)
    unfinished = sum(not math.isfinite(one) for one in ordered)
    return Latencies(_rank(ordered, 0.5), _rank(ordered, 0.99), ordered[-1], unfinished)


def _rank(ordered: Sequence[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, math.ceil(part * len(ordered)) - 1)]


async def _played(size: int, due: Sequence[float], silent: float = 0.0) -> Figures:
    with control.folder() as folder:
        async with fleet(Path(folder), size, control.LEASE_MS, control.NODES_OF_A_PROCESS) as running:
            gone = await running.silence(silent) if silent else 0
            await running.reset()
            taken = await _taken(running, due)
            reports = await running.reports()
    found = latencies(taken)
    end = due[-1] + PATIENCE_S
    values = {
        "p50_s": min(found.p50, end),
        "p99_s": min(found.p99, end),
        "worst_s": min(found.worst, end),
        "unfinished": float(found.unfinished),
        "keeper_core_percent": 100 * max(one.cpu_s / one.wall_s for one in reports[: control.KEEPERS]),
        "node_core_percent": 100 * _of_each(reports, size - gone, lambda one: one.cpu_s / one.wall_s),
        "node_bytes_a_second": _of_each(
            reports, size - gone, lambda one: control.wire_bytes(one) / one.wall_s
        ),
    }
    return Figures(values, control.spent_of(reports), {"changes": float(len(due)), "silent": float(gone)})


def _of_each(reports: Sequence[Report], nodes: int, value: Callable[[Report], float]) -> float:
    return math.fsum(value(one) for one in reports[control.KEEPERS :]) / nodes


async def _taken(running: Fleet, due: Sequence[float]) -> list[float]:
    """Seconds that each change took; not finite: it was not in force everywhere in time."""
    began = boot_time_ns()
    end = began + int((due[-1] + PATIENCE_S) * SECOND)
    decided = await asyncio.gather(*(_decided(running, n, at, began, end) for n, at in enumerate(due)))
    taken = []
    for at, version in zip(due, decided, strict=True):
        done = await _in_force(running, version, end) if version is not None else math.inf
        taken.append((done - began) / SECOND - at)
    return taken


async def _decided(running: Fleet, number: int, at: float, began: int, end: int) -> int | None:
    """Propose a change when it is due; the version that it is decided with. None: not in time."""
    await asyncio.sleep(max(0.0, at - (boot_time_ns() - began) / SECOND))
    operation = Upsert(Kind.DRAINED_SERVER, f"s-{number:06d}", 0, b"")
    change = Change((number + 1).to_bytes(CHANGE_ID_BYTES, "big"), 0, "capacity", "rig", (operation,))
    while not await running.propose_change(change):
        if boot_time_ns() > end:
            return None
        await asyncio.sleep(TRY_AGAIN_S)
    while boot_time_ns() < end:
        found = await running.change_status(change)
        if found.outcome is ChangeOutcome.IN_FORCE:
            return version_of(found.policy)
        if found.outcome is ChangeOutcome.REJECTED:
            raise FleetError(f"change {number} was refused: {found.problems}")
        await asyncio.sleep(LOOK_S)
    return None


async def _in_force(running: Fleet, version: int, end: int) -> float:
    """When the last node that lives began to serve under it (ns)."""
    while True:
        reports = await running.reports(version)
        if all(len(report.in_force_ns) == report.nodes for report in reports):
            return max(at for report in reports for at in report.in_force_ns)
        if boot_time_ns() > end:
            return math.inf
        await asyncio.sleep(LOOK_S)
