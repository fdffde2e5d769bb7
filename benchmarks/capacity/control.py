"""What keepers pay for nodes: leases that are renewed, and changes that all take in.

Three keepers, each a process of its own, and hollow nodes, some dozens in a process; all on the loopback.
Disk work goes to a file system in memory where there is one, as thousands of nodes share one disk here.
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
KEEPERS = 3
FEW_NODES = 10
LOOKS = 50
# An IPv4 and a TCP header with its time stamps, for each segment.
SEGMENT_HEADER_BYTES = 52


def renewals(size: int) -> Figures:
    """Nodes that do nothing but renew their leases."""
    return run(_renewals(size))


def changes(size: int) -> Figures:
    """How long changes take, one after another: each is proposed once the one before is in force."""
    return run(_changes(size, 0.0)).only("in_force_s", "in_force_worst_s")


def change_costs(size: int) -> Figures:
    """What such changes cost keepers and nodes."""
    return run(_changes(size, 0.0)).only("keeper_cpu_s", "node_cpu_ms", "node_bytes", "node_calls")


def changes_with_silent_nodes(size: int) -> Figures:
    """The same with a tenth of the nodes ended, their leases still running, before the first change."""
    return run(_changes(size, SILENT_PART)).only("in_force_s", "in_force_worst_s")


def change_by_file(size: int) -> Figures:
    """One change of a server, beside so many routes in the policy's file: ten nodes, which do not compile."""
    file = samples.routes_file(size).encode()
    return run(_changes(FEW_NODES, 0.0, file)).only("keeper_cpu_s", "node_cpu_ms", "node_bytes")


def status(size: int) -> Figures:
    """One look of an operator at a keeper, which tells of all nodes."""
    return run(_status(size))


def run(work: Coroutine[Any, Any, Figures]) -> Figures:
    """Run this on a loop like that of the processes. RunFailed: the fleet did not come or did not stay."""
    try:
        return asyncio.run(work)
    except FleetError as error:
        raise RunFailed(str(error)) from None


def folder() -> tempfile.TemporaryDirectory[str]:
    """For what keepers and nodes keep on disk: in memory where there is a file system for it."""
    memory = Path("/dev/shm")
    return tempfile.TemporaryDirectory(dir=memory if memory.is_dir() else None)


async def _renewals(size: int) -> Figures:
    with folder() as path:
        async with fleet(Path(path), size, LEASE_MS, NODES_OF_A_PROCESS) as running:
            await running.reset()
            await asyncio.sleep(min(RENEWAL_SECONDS, 2 * LEASE_MS / 1000))
            reports = await running.reports()
    keepers, nodes = _split(reports)
    wall = keepers[0].wall_s
    asked = max(keeper.calls_in for keeper in keepers)
    values = {
        "keeper_core_percent": 100 * max(keeper.cpu_s / keeper.wall_s for keeper in keepers),
        "calls_each_keeper_a_second": asked / wall,
        "keeper_ms_a_call": 1000 * max(keeper.cpu_s / max(1, keeper.calls_in) for keeper in keepers),
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
            gone = await running.silence(silent) if silent else 0
            await running.reset()
            times = [await _changed(running, n) for n in range(1 if silent else CHANGES)]
            reports = await running.reports()
    keepers, nodes = _split(reports)
    live = size - gone
    count = len(times)
    values = {
        "in_force_s": sorted(times)[count // 2],
        "in_force_worst_s": max(times),
        "keeper_cpu_s": max(keeper.cpu_s for keeper in keepers) / count,
        "node_cpu_ms": 1000 * sum(one.cpu_s for one in nodes) / count / live,
        "node_bytes": sum(wire_bytes(one) for one in nodes) / count / live,
        "node_calls": sum(one.calls_in + one.calls_out for one in nodes) / count / live,
    }
    notes = {"changes": float(count), "silent": float(gone), "wall_s": keepers[0].wall_s}
    return Figures(values, spent_of(reports), notes)


async def _status(size: int) -> Figures:
    with folder() as path:
        async with fleet(Path(path), size, LEASE_MS, NODES_OF_A_PROCESS) as running:
            await running.reset()
            answers = [await running.call("", None) for _ in range(LOOKS)]
            reports = await running.reports()
    asked, *others = (keeper.cpu_s for keeper in reports[:KEEPERS])
    # The other keepers had the same renewals meanwhile, and no looks.
    cpu = max(0.0, asked - sum(others) / len(others))
    values = {"keeper_cpu_ms": 1000 * cpu / LOOKS, "bytes": float(len(answers[-1]))}
    return Figures(values, spent_of(reports))


async def _changed(running: Fleet, number: int) -> float:
    """One change; seconds from its proposal until the last node that lives serves under it alone."""
    version, began = await running.change([f"s-{number:06d}"])
    reports = await running.until(lambda report: len(report.in_force_ns) == report.nodes, version)
    return (max(at for report in reports for at in report.in_force_ns) - began) / SECOND


def _split(reports: list[Report]) -> tuple[list[Report], list[Report]]:
    return reports[:KEEPERS], reports[KEEPERS:]


def wire_bytes(report: Report) -> float:
    """What its nodes sent and received, with the headers of as many segments as the kernel counted."""
    connections = report.opened + report.accepted
    headers = connections * report.segments_each * SEGMENT_HEADER_BYTES
    return report.bytes_sent + report.bytes_received + headers


def spent_of(reports: list[Report]) -> ResourceUsage:
    """How late the worst process of the rig was."""
    worst = max(reports, key=lambda report: report.waited_s / report.wall_s)
    late = max(report.late_s for report in reports)
    return ResourceUsage(
        cpu_s=math.fsum(report.cpu_s for report in reports),
        wall_s=worst.wall_s,
        waited_s=worst.waited_s,
        late_s=late,
    )
