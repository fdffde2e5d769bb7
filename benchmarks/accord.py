"""Duration of a policy change, and the cost of membership in a consensus group.

    python -m benchmarks.accord --nodes 5,40,200

For each size: a change with no node stopped, with one stopped and with a third stopped, on real processes
under load, and a run of the same length without a change. Also the cost of the lease check per request.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import tempfile
import time
import timeit
from pathlib import Path

from hollybay.cluster.harness import HarnessError, run_plan
from hollybay.cluster.plan import compile_plan
from hollybay.cluster.report import Report, report_of
from hollybay.consensus.core import EpochState, Stage
from hollybay.consensus.interfaces import MemberSettings, OperatorFileChanges
from hollybay.consensus.leaseholder import Leaseholder
from hollybay.consensus.log_entry import Entry
from hollybay.consensus.log_events import LogEvent
from hollybay.consensus.service import Service
from hollybay.resources.model import Change
from hollybay.resources.state import ResourceState

__all__ = ["main"]

LEASE = 5.0  # s
CHANGE = '[[change]]\nat = "4s"\nout = ["s-001"]\n'


def _plan(nodes: int, silent: float, changes: bool) -> str:
    run = f"""[run]
seconds = "13s"
warm = "2s"
nodes = {nodes}
servers = 24
load = 0.5
door = true
keepers = 3
lease = "{LEASE}s"
[rig]
late = "150ms"
late_part = 0.04
starved_part = 0.45
"""
    if silent:
        run += f'[group.silent]\nof = "nodes"\nbegin = {1 - silent}\nend = 1.0\n'
        run += '[[fault]]\nkind = "stop"\nat = "3500ms"\nlasts = "7s"\non = "silent"\n'
    return run + (CHANGE if changes else "")


def _run(nodes: int, silent: float, changes: bool) -> Report | str:
    try:
        return report_of(asyncio.run(run_plan(compile_plan(_plan(nodes, silent, changes), "accord", 1))))
    except HarnessError as error:
        return str(error)[:80]


class _NullNode:
    async def compile_policy(self, entry: Entry) -> list[str]:
        return []

    async def find_invalid_changes(self, base: Entry, changes: tuple[Change, ...]) -> dict[bytes, list[str]]:
        return {}

    async def read_operator_file(self, file: bytes, state: ResourceState) -> OperatorFileChanges:
        return OperatorFileChanges((), None)

    def apply_policies(self, entries: tuple[Entry, ...]) -> None:
        """Ignore policies: this node serves no requests."""

    def log_event(self, event: LogEvent, **fields: object) -> None:
        """Ignore events."""


async def _lease_check_ns() -> float:
    """ns per lease check of a request."""

    async def unreachable(address: str, path: str, body: bytes | None, limit: float) -> bytes:
        raise AssertionError("expected no call to another node")

    async def no_disk(work: object) -> None:
        raise AssertionError("expected no disk access")

    with tempfile.TemporaryDirectory() as folder:
        member_settings = MemberSettings("n0", "127.0.0.1:1", (), 10**12, 0, Path(folder))

        def clock() -> int:
            return time.clock_gettime_ns(time.CLOCK_BOOTTIME)

        service = Service(
            member_settings, unreachable, _NullNode(), clock, clock, no_disk, random.Random(1), "boot"
        )
        state = EpochState(0, Stage.SETTLED, "0-000000000000")
        service.lease_client.leaseholder = Leaseholder(
            1, effective_epoch=state, lease_end=clock() + 10**12, latest_epoch=state
        )
        service.lease_client.valid_until = service.lease_client.leaseholder.lease_end
        rounds = 200_000
        return min(timeit.repeat(service.may_begin_request, number=rounds, repeat=5)) / rounds * 1e9


def main() -> int:
    """Measure all sizes, and print a table."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--nodes", default="5,40,200")
    options = parser.parse_args()
    print(f"lease check: {asyncio.run(_lease_check_ns()):.0f} ns a request")
    print(
        "nodes silent    in force s  refused %  p99 ms  node CPU %  keeper + %  keeper calls/s in, out  said"
    )
    for nodes in map(int, options.nodes.split(",")):
        for label, silent, changes in (
            ("no change", 0.0, False),
            ("none", 0.0, True),
            ("one", 1 / nodes, True),
            ("a third", 1 / 3, True),
        ):
            report = _run(nodes, silent, changes)
            if isinstance(report, str) or not report.trusted:
                reason = report if isinstance(report, str) else report.reasons
                print(f"{nodes:5d} {label:9s} run not trustworthy: {reason}")
                continue
            duration = f"{report.changes[0][3]:10.2f}" if report.changes else " " * 10
            voter = next(iter(report.status.values()))
            uptime_s = 13.0 + report.up_seconds
            rejected, p99 = 100 * report.figures["refused"], report.figures["p99_ms"]
            calls = f"{voter['calls_in'] / uptime_s:10.0f} {voter['calls_out'] / uptime_s:6.0f}"
            outcome = report.changes[0][2] if report.changes else ""
            node_cpu, voter_cpu = 100 * report.node_cpu, 100 * report.keeper_cpu
            print(
                f"{nodes:5d} {label:9s} {duration}  {rejected:8.2f} {p99:8.0f} {node_cpu:9.2f}"
                f" {voter_cpu:11.2f}  {calls}  {outcome}"
                f"{f', torn {len(report.torn)}' if report.torn else ''}"
            )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
