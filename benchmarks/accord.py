"""How long a change of policy takes, and what being in an accord costs.

    python -m benchmarks.accord --nodes 5,40,200

For each size: a change with no node silent, one stopped, and a third stopped, on real processes under load;
beside it the same time without a change. Then the cost of looking at a lease, for each request.
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

LEASE = 5.0  # seconds
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


def _played(nodes: int, silent: float, changes: bool) -> Report | str:
    try:
        return report_of(asyncio.run(run_plan(compile_plan(_plan(nodes, silent, changes), "accord", 1))))
    except HarnessError as error:
        return str(error)[:80]


class _Hands:
    async def compile_policy(self, entry: Entry) -> list[str]:
        return []

    async def find_invalid_changes(self, base: Entry, changes: tuple[Change, ...]) -> dict[bytes, list[str]]:
        return {}

    async def read_operator_file(self, file: bytes, state: ResourceState) -> OperatorFileChanges:
        return OperatorFileChanges((), None)

    def apply_policies(self, entries: tuple[Entry, ...]) -> None:
        """Nothing is served here."""

    def log_event(self, event: LogEvent, **fields: object) -> None:
        """Nothing is written."""


async def _cost() -> float:
    """ns that looking at a lease takes."""

    async def way(door: str, path: str, body: bytes | None, limit: float) -> bytes:
        raise AssertionError("nobody is called")

    async def disk(work: object) -> None:
        raise AssertionError("nothing is kept")

    with tempfile.TemporaryDirectory() as folder:
        terms = MemberSettings("n0", "127.0.0.1:1", (), 10**12, 0, Path(folder))

        def clock() -> int:
            return time.clock_gettime_ns(time.CLOCK_BOOTTIME)

        service = Service(terms, way, _Hands(), clock, clock, disk, random.Random(1), "boot")
        state = EpochState(0, Stage.SETTLED, "0-000000000000")
        service.lease_client.leaseholder = Leaseholder(
            1, effective_epoch=state, lease_end=clock() + 10**12, latest_epoch=state
        )
        service.lease_client.valid_until = service.lease_client.leaseholder.lease_end
        rounds = 200_000
        return min(timeit.repeat(service.may_begin_request, number=rounds, repeat=5)) / rounds * 1e9


def main() -> int:
    """Play and print."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--nodes", default="5,40,200")
    words = parser.parse_args()
    print(f"looking at a lease: {asyncio.run(_cost()):.0f} ns a request")
    print(
        "nodes silent    in force s  refused %  p99 ms  node CPU %  keeper + %  keeper calls/s in, out  said"
    )
    for nodes in map(int, words.nodes.split(",")):
        for label, silent, changes in (
            ("no change", 0.0, False),
            ("none", 0.0, True),
            ("one", 1 / nodes, True),
            ("a third", 1 / 3, True),
        ):
            found = _played(nodes, silent, changes)
            if isinstance(found, str) or not found.trusted:
                why = found if isinstance(found, str) else found.reasons
                print(f"{nodes:5d} {label:9s} not to be trusted: {why}")
                continue
            took = f"{found.changes[0][3]:10.2f}" if found.changes else " " * 10
            keeper = next(iter(found.status.values()))
            lived = 13.0 + found.up_seconds
            refused, p99 = 100 * found.figures["refused"], found.figures["p99_ms"]
            calls = f"{keeper['calls_in'] / lived:10.0f} {keeper['calls_out'] / lived:6.0f}"
            said = found.changes[0][2] if found.changes else ""
            cpu, keeps = 100 * found.node_cpu, 100 * found.keeper_cpu
            print(
                f"{nodes:5d} {label:9s} {took}  {refused:8.2f} {p99:8.0f} {cpu:9.2f} {keeps:11.2f}"
                f"  {calls}  {said}"
                f"{f', torn {len(found.torn)}' if found.torn else ''}"
            )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
