"""Cost of the voters by number of nodes: renewals of leases, and changes that all nodes apply.

Three voters, each in its own process, and hollow nodes, dozens to a process, all on loopback. Data on disk
goes to an in-memory file system if there is one, because thousands of nodes would share one disk here.
"""

from __future__ import annotations

import asyncio
import math
import tempfile
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from hollybay.hollow.fleet import Fleet, FleetError, fleet
from hollybay.hollow.messages import Report
from hollybay.hollow.meter import ResourceUsage
from hollybay.units import SECOND

from . import samples
from .measurement import Figures, RunFailed

__all__ = [
    "change_by_file",
    "change_costs",
    "changes",
    "changes_with_silent_nodes",
    "renewals",
    "run",
    "status",
]

LEASE_MS = 5_000
NODES_OF_A_PROCESS = 100
RENEWAL_SECONDS = 10.0
CHANGES = 4
SILENT_PART = 0.1
VOTERS = 3
FEW_NODES = 10
STATUS_CALLS = 50
# IPv4 header, and TCP header with timestamps, per segment.
SEGMENT_HEADER_BYTES = 52


def renewals(size: int) -> Figures:
    """Cost of nodes that only renew their leases."""
    return run(_renewals(size))


def changes(size: int) -> Figures:
    """Time that sequential changes take; each is proposed once the previous one is in force."""
    return run(_changes(size, 0.0)).only("in_force_s", "in_force_worst_s")


def change_costs(size: int) -> Figures:
    """Cost of sequential changes at voters and nodes."""
    return run(_changes(size, 0.0)).only("keeper_cpu_s", "node_cpu_ms", "node_bytes", "node_calls")


def changes_with_silent_nodes(size: int) -> Figures:
    """Time of a change when a tenth of the nodes has stopped before it, with leases that have not expired."""
    return run(_changes(size, SILENT_PART)).only("in_force_s", "in_force_worst_s")


def change_by_file(size: int) -> Figures:
    """Cost of draining a server when the policy has `size` routes: ten nodes, which do not compile them."""
    file = samples.routes_file(size).encode()
    return run(_changes(FEW_NODES, 0.0, file)).only("keeper_cpu_s", "node_cpu_ms", "node_bytes")


def status(size: int) -> Figures:
    """Cost of one status call to a voter, which reports all nodes."""
    return run(_status(size))


def run(work: Coroutine[Any, Any, Figures]) -> Figures:
    """Run a measurement on an asyncio loop. RunFailed: the fleet did not start, or failed during the run."""
    try:
        return asyncio.run(work)
    except FleetError as error:
        raise RunFailed(str(error)) from None


def folder() -> tempfile.TemporaryDirectory[str]:
    """A temporary folder for data of voters and nodes, in memory if /dev/shm exists."""
    memory = Path("/dev/shm")
    return tempfile.TemporaryDirectory(dir=memory if memory.is_dir() else None)


async def _renewals(size: int) -> Figures:
    with folder() as path:
        async with fleet(Path(path), size, LEASE_MS, NODES_OF_A_PROCESS) as running:
            await running.reset()
            await asyncio.sleep(min(RENEWAL_SECONDS, 2 * LEASE_MS / 1000))
            reports = await running.reports()
    voters, nodes = _split(reports)
    wall = voters[0].wall_s
    calls = max(voter.calls_in for voter in voters)
    values = {
        "keeper_core_percent": 100 * max(voter.cpu_s / voter.wall_s for voter in voters),
        "calls_each_keeper_a_second": calls / wall,
        "keeper_ms_a_call": 1000 * max(voter.cpu_s / max(1, voter.calls_in) for voter in voters),
        "node_core_percent": 100 * sum(one.cpu_s / one.wall_s for one in nodes) / size,
        "node_bytes_a_second": sum(wire_bytes(one) for one in nodes) / wall / size,
        "node_connections_a_second": sum(one.opened + one.accepted for one in nodes) / wall / size,
    }
    notes = {
        "payload_part": sum(one.bytes_sent + one.bytes_received for one in nodes)
        / sum(wire_bytes(one) for one in nodes),
        "hollow_kb_each": sum(one.memory_bytes for one in nodes) / 1024 / size,
    }
    return Figures(values, spent_of(reports), notes)


async def _changes(size: int, silent: float, file: bytes = b"") -> Figures:
    with folder() as path:
        async with fleet(Path(path), size, LEASE_MS, NODES_OF_A_PROCESS, file) as running:
            stopped = await running.silence(silent) if silent else 0
            await running.reset()
            times = [await _time_change(running, n) for n in range(1 if silent else CHANGES)]
            reports = await running.reports()
    voters, nodes = _split(reports)
    live = size - stopped
    count = len(times)
    values = {
        "in_force_s": sorted(times)[count // 2],
        "in_force_worst_s": max(times),
        "keeper_cpu_s": max(voter.cpu_s for voter in voters) / count,
        "node_cpu_ms": 1000 * sum(one.cpu_s for one in nodes) / count / live,
        "node_bytes": sum(wire_bytes(one) for one in nodes) / count / live,
        "node_calls": sum(one.calls_in + one.calls_out for one in nodes) / count / live,
    }
    notes = {"changes": float(count), "silent": float(stopped), "wall_s": voters[0].wall_s}
    return Figures(values, spent_of(reports), notes)


async def _status(size: int) -> Figures:
    with folder() as path:
        async with fleet(Path(path), size, LEASE_MS, NODES_OF_A_PROCESS) as running:
            await running.reset()
            replies = [await running.call("", None) for _ in range(STATUS_CALLS)]
            reports = await running.reports()
    called, *others = (voter.cpu_s for voter in reports[:VOTERS])
    # The other voters handled the same renewals meanwhile, but no status calls.
    cpu = max(0.0, called - sum(others) / len(others))
    values = {"keeper_cpu_ms": 1000 * cpu / STATUS_CALLS, "bytes": float(len(replies[-1]))}
    return Figures(values, spent_of(reports))


async def _time_change(running: Fleet, number: int) -> float:
    """Propose one change; returns the seconds until the last live node serves under it alone."""
    version, began = await running.change([f"s-{number:06d}"])
    reports = await running.until(lambda report: len(report.in_force_ns) == report.nodes, version)
    return (max(at for report in reports for at in report.in_force_ns) - began) / SECOND


def _split(reports: list[Report]) -> tuple[list[Report], list[Report]]:
    return reports[:VOTERS], reports[VOTERS:]


def wire_bytes(report: Report) -> float:
    """Bytes that the nodes of a process sent and received, with headers for all segments by kernel count."""
    connections = report.opened + report.accepted
    headers = connections * report.segments_each * SEGMENT_HEADER_BYTES
    return report.bytes_sent + report.bytes_received + headers


def spent_of(reports: list[Report]) -> ResourceUsage:
    """CPU time of all processes; waiting time of the worst one, and the worst event-loop lateness."""
    worst = max(reports, key=lambda report: report.waited_s / report.wall_s)
    late = max(report.late_s for report in reports)
    return ResourceUsage(
        cpu_s=math.fsum(report.cpu_s for report in reports),
        wall_s=worst.wall_s,
        waited_s=worst.waited_s,
        late_s=late,
    )
