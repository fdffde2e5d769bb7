"""Whether the harness was late or starved of CPU, which makes the measurements of a run invalid."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hollybay.units import SECOND

from .records import Beat

__all__ = ["ProcessTiming", "RunValidity", "assess_run_validity"]


@dataclass(frozen=True, slots=True)
class ProcessTiming:
    """Timing of one harness process: the delay of its latest beat (ns), the share of its beats that were too
    late, and the share of its time in which it was runnable without a core."""

    process: str
    worst: int
    late_part: float
    starved_part: float


@dataclass(frozen=True, slots=True)
class RunValidity:
    """The assessment; reasons: why the run is invalid, empty if it is valid."""

    processes: tuple[ProcessTiming, ...]
    nodes_starved: float  # mean share of the nodes' time in which they were runnable without a core
    reasons: tuple[str, ...]

    def __bool__(self) -> bool:
        return not self.reasons


def assess_run_validity(
    beats: Iterable[Beat],
    expected: Iterable[str],
    since: int,
    until: int,
    late: int,
    late_part: float,
    starved_part: float,
    nodes_starved: Mapping[str, float],
) -> RunValidity:
    """Assess the beats between two times (ns).

    expected: the processes that must have recorded beats; nodes_starved: by node, the share of its time
    without a core, for nodes to which no fault applied. A run is invalid if the beats of a process span less
    than half of the time.
    """
    of: dict[str, list[Beat]] = defaultdict(list)
    for beat in beats:
        if since <= beat.at <= until:
            of[beat.process].append(beat)
    reasons = []
    processes = []
    for name in sorted(expected):
        mine = of.get(name, [])
        # The time that its beats cover: the gap before each beat is the interval plus the beat's delay.
        span = mine[-1].at - mine[0].at if len(mine) > 1 else 0
        if span < (until - since) / 2:
            reasons.append(f"{name}: beats of {span / SECOND:.1f} s of {(until - since) / SECOND:.1f} s")
            continue
        carried = ProcessTiming(
            name,
            max(beat.late for beat in mine),
            sum(beat.late > late for beat in mine) / len(mine),
            sum(beat.starved for beat in mine[1:]) / span,
        )
        processes.append(carried)
        if carried.late_part > late_part:
            reasons.append(
                f"{name}: {100 * carried.late_part:.1f} % of its beats came over {late / 1e6:.0f} ms late, "
                f"the worst {carried.worst / 1e6:.0f} ms"
            )
        if carried.starved_part > starved_part:
            reasons.append(f"{name}: {100 * carried.starved_part:.1f} % of its time without a core")
    mean = sum(nodes_starved.values()) / len(nodes_starved) if nodes_starved else 0.0
    if mean > starved_part:
        reasons.append(f"nodes: {100 * mean:.1f} % of their time without a core")
    return RunValidity(tuple(processes), mean, tuple(reasons))
