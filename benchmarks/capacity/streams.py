"""Changes at a steady rate and in bursts: time from each proposal until the change is in force everywhere.

Each change is of one resource and has its own proposer, which retries while the voter is too busy. The time
of a change starts when it is due.
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

# The expected mean rate and how long it lasts, and the number of changes of a burst within one second.
RATE_A_SECOND = 0.9
STREAM_S = 30.0
BURST = 20
# Delay before a change is offered again to a voter that was too busy.
RETRY_DELAY_S = 0.05
# Interval at which a proposer polls the outcome of its change.
POLL_INTERVAL_S = 0.1
# Time after the last proposal; a change that is not in force everywhere by then counts as unfinished.
FINISH_TIMEOUT_S = 30.0


@dataclass(frozen=True, slots=True)
class Latencies:
    """Seconds from proposal until in force everywhere; unfinished: number of changes that took too long."""

    p50: float
    p99: float
    worst: float
    unfinished: int


def stream(size: int) -> Figures:
    """Changes at the expected mean rate."""
    return control.run(_run_changes(size, due_in_a_stream(RATE_A_SECOND, STREAM_S)))


def stream_with_silent(size: int) -> Figures:
    """Changes at the mean rate, with a tenth of the nodes stopped from the start."""
    return control.run(_run_changes(size, due_in_a_stream(RATE_A_SECOND, STREAM_S), control.SILENT_PART))


def burst(size: int) -> Figures:
    """A burst of BURST changes within one second, about twenty times the mean rate."""
    return control.run(_run_changes(size, due_in_a_burst(BURST)))


def due_in_a_stream(rate: float, seconds: float) -> list[float]:
    """Times (s from the start) of evenly spaced proposals."""
    return [n / rate for n in range(max(1, int(rate * seconds)))]


def due_in_a_burst(count: int) -> list[float]:
    """Times (s from the start) of `count` proposals within one second."""
    return [n / count for n in range(count)]


def latencies(times: Sequence[float]) -> Latencies:
    """Summarise times; infinite ones are unfinished changes."""
    ordered = sorted(times)
    unfinished = sum(not math.isfinite(one) for one in ordered)
    return Latencies(_rank(ordered, 0.5), _rank(ordered, 0.99), ordered[-1], unfinished)


def _rank(ordered: Sequence[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, math.ceil(part * len(ordered)) - 1)]


async def _run_changes(size: int, due: Sequence[float], silent: float = 0.0) -> Figures:
    with control.folder() as folder:
        async with fleet(Path(folder), size, control.LEASE_MS, control.NODES_OF_A_PROCESS) as running:
            stopped = await running.silence(silent) if silent else 0
            await running.reset()
            times = await _measure_times(running, due)
            reports = await running.reports()
    found = latencies(times)
    end = due[-1] + FINISH_TIMEOUT_S
    values = {
        "p50_s": min(found.p50, end),
        "p99_s": min(found.p99, end),
        "worst_s": min(found.worst, end),
        "unfinished": float(found.unfinished),
        "keeper_core_percent": 100 * max(one.cpu_s / one.wall_s for one in reports[: control.VOTERS]),
        "node_core_percent": 100
        * _mean_of_nodes(reports, size - stopped, lambda one: one.cpu_s / one.wall_s),
        "node_bytes_a_second": _mean_of_nodes(
            reports, size - stopped, lambda one: control.wire_bytes(one) / one.wall_s
        ),
    }
    return Figures(values, control.spent_of(reports), {"changes": float(len(due)), "silent": float(stopped)})


def _mean_of_nodes(reports: Sequence[Report], nodes: int, value: Callable[[Report], float]) -> float:
    return math.fsum(value(one) for one in reports[control.VOTERS :]) / nodes


async def _measure_times(running: Fleet, due: Sequence[float]) -> list[float]:
    """Seconds that each change took; infinite if it was not in force everywhere in time."""
    began = boot_time_ns()
    end = began + int((due[-1] + FINISH_TIMEOUT_S) * SECOND)
    decided = await asyncio.gather(*(_propose(running, n, at, began, end) for n, at in enumerate(due)))
    times = []
    for at, version in zip(due, decided, strict=True):
        finished = await _await_in_force(running, version, end) if version is not None else math.inf
        times.append((finished - began) / SECOND - at)
    return times


async def _propose(running: Fleet, number: int, at: float, began: int, end: int) -> int | None:
    """Propose a change when it is due; returns the version that it is decided with. None: not in time."""
    await asyncio.sleep(max(0.0, at - (boot_time_ns() - began) / SECOND))
    operation = Upsert(Kind.DRAINED_SERVER, f"s-{number:06d}", 0, b"")
    change = Change((number + 1).to_bytes(CHANGE_ID_BYTES, "big"), 0, "capacity", "rig", (operation,))
    while not await running.propose_change(change):
        if boot_time_ns() > end:
            return None
        await asyncio.sleep(RETRY_DELAY_S)
    while boot_time_ns() < end:
        found = await running.change_status(change)
        if found.outcome is ChangeOutcome.IN_FORCE:
            return version_of(found.policy)
        if found.outcome is ChangeOutcome.REJECTED:
            raise FleetError(f"change {number} was rejected: {found.problems}")
        await asyncio.sleep(POLL_INTERVAL_S)
    return None


async def _await_in_force(running: Fleet, version: int, end: int) -> float:
    """When the last live node began to serve under a version (ns); infinite if not in time."""
    while True:
        reports = await running.reports(version)
        if all(len(report.in_force_ns) == report.nodes for report in reports):
            return max(at for report in reports for at in report.in_force_ns)
        if boot_time_ns() > end:
            return math.inf
        await asyncio.sleep(POLL_INTERVAL_S)
