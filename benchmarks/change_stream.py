"""Time that changes of single routes take from proposal until they are in force at every node.

    python -m benchmarks.change_stream --nodes 40,200 --seconds 60

Real node processes under load, three of them voters: a steady stream of changes with a burst, and the same
with a tenth of the nodes stopped for a quarter of it. A run that the rig could not carry has no figures.
"""

from __future__ import annotations

import argparse
import asyncio
from dataclasses import dataclass

from hollybay.cluster.change_stream import Burst, Stream, StreamResult, find_violations, run_stream
from hollybay.cluster.harness import HarnessError
from hollybay.cluster.plan import compile_plan
from hollybay.cluster.report import report_of

__all__ = ["main"]

RATE = 0.9  # changes per second, as in docs/CAPACITY.md
BURST = 20
WARM_UP_S, SETTLE_S = 3.0, 12.0  # before the first change, and after the last one


@dataclass(frozen=True, slots=True)
class Row:
    """Figures of one run. times: s from proposal until in force everywhere, of the changes in force."""

    times: tuple[float, ...]
    proposed: int
    wrong: int
    largest_batch: int
    refused_percent: float
    node_core_percent: float
    keeper_core_percent: float

    def percentile(self, part: float) -> float:
        """The time (s) that this share (0 to 1) of the changes did not exceed."""
        return self.times[min(len(self.times) - 1, int(part * len(self.times)))]


def _plan(nodes: int, seconds: float, stopped: bool) -> str:
    text = f"""[run]
seconds = "{seconds + WARM_UP_S + SETTLE_S}s"
warm = "2s"
nodes = {nodes}
servers = 24
load = 0.3
door = true
keepers = 3
lease = "5s"
[rig]
late = "150ms"
late_part = 0.04
starved_part = 0.45
"""
    if stopped:
        text += '[group.stopped]\nof = "nodes"\nbegin = 0.9\nend = 1.0\n'
        begin, lasts = WARM_UP_S + seconds / 4, seconds / 4
        text += f'[[fault]]\nkind = "stop"\nat = "{begin}s"\nlasts = "{lasts}s"\non = "stopped"\n'
    return text


def _stream(seconds: float) -> Stream:
    burst = Burst(WARM_UP_S + 0.75 * seconds, BURST)
    return Stream(begin=WARM_UP_S, end=WARM_UP_S + seconds, rate=RATE, bursts=(burst,), limit=30.0)


def _row(told: StreamResult, stream: Stream) -> Row:
    report = report_of(told.outcome)
    in_force = [one for one in told.tracked if all(verdict.code == 0 for verdict in one.verdicts)]
    return Row(
        tuple(sorted(one.ended - one.began for one in in_force)),
        len(told.tracked),
        len(find_violations(told.tracked, told.states, stream))
        + sum(report.rules.values())
        + len(report.torn),
        told.largest_batch,
        100 * report.figures["refused"],
        100 * report.node_cpu,
        100 * report.keeper_cpu,
    )


def _run(nodes: int, seconds: float, stopped: bool) -> Row | str:
    """Run once; returns the figures, or the reason why there are none."""
    stream = _stream(seconds)
    try:
        told = asyncio.run(run_stream(compile_plan(_plan(nodes, seconds, stopped), "changes", 1), stream))
    except HarnessError as error:
        return str(error)[:120]
    if not told.outcome.validity:
        return f"not carried: {', '.join(told.outcome.validity.reasons)}"
    return _row(told, stream)


def main() -> int:
    """Measure all sizes, and print a table."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--nodes", default="40,200")
    parser.add_argument("--seconds", type=float, default=60.0)
    options = parser.parse_args()
    print(
        "nodes stopped   in force of  p50 s  p99 s  worst s  largest batch  refused %  node %  keeper % wrong"
    )
    for nodes in map(int, options.nodes.split(",")):
        for label, stopped in (("none", False), ("a tenth", True)):
            row = _run(nodes, options.seconds, stopped)
            if isinstance(row, str):
                print(f"{nodes:5d} {label:8s} {row}", flush=True)
                continue
            times = f"{row.percentile(0.5):6.2f} {row.percentile(0.99):6.2f} {row.times[-1]:8.2f}"
            print(
                f"{nodes:5d} {label:8s} {len(row.times):8d} {row.proposed:3d} {times} {row.largest_batch:14d}"
                f" {row.refused_percent:10.2f} {row.node_core_percent:7.2f} {row.keeper_core_percent:10.2f}"
                f" {row.wrong:6d}",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
