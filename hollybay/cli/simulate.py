"""Simulated runs for `hollybay simulate`: play seeds on several cores, shrink or trace a single run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from itertools import combinations
from multiprocessing import get_context
from pathlib import Path
from time import monotonic

import msgspec

from hollybay.simulation.fault_kinds import FAULTS
from hollybay.simulation.plan import Plan, draw, events, to_json
from hollybay.simulation.shrink import shrink
from hollybay.simulation.world import Outcome, play

__all__ = ["RunResult", "RunSelection", "play_all", "play_one", "shrink_run", "trace_run"]

EXIT_CLEAN = 0
EXIT_FAULT_FOUND = 1
MAX_FAULTS_SHOWN = 5  # per run
RUNS_IN_A_CHUNK = 4  # runs that are passed to a worker process at a time
SECONDS_PER_MINUTE = 60
MIN_DURATION_S = 1e-9  # avoids a division by zero in the rates


@dataclass(frozen=True, slots=True)
class RunSelection:
    """The selected runs: seeds with the permitted kinds of faults, or a single plan.

    Attributes
    ----------
    seeds
        The seeds to play; if there is a plan, its seed alone.
    faults
        Kinds of faults that may occur; empty for all.
    plan
        A plan read from a file, in place of one drawn from a seed.
    path
        Path of that file.
    """

    seeds: range
    faults: tuple[str, ...]
    plan: Plan | None = None
    path: str = ""

    @classmethod
    def parse(
        cls, seed: int | None, seeds: str | None, path: Path | None, faults: str | None
    ) -> RunSelection:
        """Parse the options of the command line.

        Raises
        ------
        ValueError
            Options contradict each other, a kind of fault is unknown, or the plan cannot be read.
        """
        if sum(option is not None for option in (seed, seeds, path)) > 1:
            raise ValueError("expected at most one of --seed, --seeds A..B and --plan")
        allowed: tuple[str, ...] = tuple(faults.split(",")) if faults else ()
        if allowed:
            draw(0, allowed)  # raises ValueError if a kind is unknown
        if path is not None:
            plan = _read_plan(path)
            return cls(range(plan.seed, plan.seed + 1), allowed, plan, str(path))
        return cls(_parse_seeds(seeds if seeds is not None else str(seed or 0)), allowed)

    def __len__(self) -> int:
        return len(self.seeds)

    @property
    def has_many(self) -> bool:
        """Whether there is more than one run."""
        return len(self.seeds) > 1

    def plan_of(self, seed: int) -> Plan:
        """The plan of the run with this seed."""
        if self.plan is not None:
            return self.plan
        return draw(seed, self.faults) if self.faults else draw(seed)

    def command_of(self, seed: int) -> str:
        """The command that replays the run with this seed."""
        if self.plan is not None:
            return f"hollybay simulate --plan {self.path}"
        faults = f" --faults {','.join(self.faults)}" if self.faults else ""
        return f"hollybay simulate --seed {seed}{faults}"


def _read_plan(path: Path) -> Plan:
    """Read a plan from a file. ValueError: the file cannot be read, or does not contain a plan."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Plan)
    except (OSError, msgspec.MsgspecError) as error:
        raise ValueError(f"{path}: {error}") from None


def _parse_seeds(text: str) -> range:
    """Parse `A..B`, or a single seed. ValueError: not a number, or the range is empty."""
    first, separator, last = text.partition("..")
    seeds = range(int(first), int(last if separator else first) + 1)
    if not seeds:
        raise ValueError(f"--seeds {text}: expected A..B with A <= B")
    return seeds


@dataclass(frozen=True, slots=True)
class RunResult:
    """The result of one run, in a form that worker processes can return.

    Attributes
    ----------
    seed
        Seed of the run.
    kinds
        Kinds of faults that were injected.
    steps
        Number of steps of the simulated event loop.
    node_seconds
        Virtual time (s), summed over the nodes.
    trace
        Digest of all steps.
    faults
        Violations that were found, a line for each.
    rules
        Rules that were broken, and oracles that reported a violation.
    """

    seed: int
    kinds: tuple[str, ...]
    steps: int
    node_seconds: float
    trace: str
    faults: tuple[str, ...]
    rules: tuple[str, ...]


def _fault_lines(outcome: Outcome) -> tuple[str, ...]:
    return tuple(f"{fault.rule}: {fault.subject}: {fault.reason}" for fault in outcome.violations)


def play_one(selection: RunSelection, seed: int) -> RunResult:
    """Play one run."""
    plan = selection.plan_of(seed)
    outcome = play(plan)
    return RunResult(
        seed=seed,
        kinds=tuple(sorted({fault.kind for fault in plan.faults})),
        steps=outcome.steps,
        node_seconds=outcome.seconds * plan.nodes,
        trace=outcome.trace,
        faults=_fault_lines(outcome),
        rules=tuple(sorted(outcome.rules)),
    )


def _play_each(selection: RunSelection, jobs: int) -> Iterator[RunResult]:
    """Play all runs; yields their results in order of the seeds."""
    play_seed = partial(play_one, selection)
    if jobs == 1:
        yield from map(play_seed, selection.seeds)
        return
    with ProcessPoolExecutor(jobs, get_context("spawn")) as pool:
        yield from pool.map(play_seed, selection.seeds, chunksize=RUNS_IN_A_CHUNK)


@dataclass(slots=True)
class _Totals:
    """Totals over all runs: runs by kind and by pair of kinds of faults, and failed runs by broken rule."""

    kinds: Counter[str] = field(default_factory=Counter)
    pairs: Counter[tuple[str, ...]] = field(default_factory=Counter)
    rules: Counter[str] = field(default_factory=Counter)
    steps: int = 0
    failed_runs: int = 0
    node_seconds: float = 0.0

    def add(self, result: RunResult) -> None:
        """Count one run."""
        self.steps += result.steps
        self.node_seconds += result.node_seconds
        self.kinds.update(result.kinds)
        self.pairs.update(combinations(result.kinds, 2))
        if result.faults:
            self.failed_runs += 1
            self.rules.update(result.rules)

    def summary(self, selection: RunSelection, duration_s: float) -> str:
        """All totals in one line."""
        allowed = selection.faults or tuple(FAULTS)
        possible_pairs = len(list(combinations(allowed, 2)))
        rules = f" ({', '.join(sorted(self.rules))})" if self.rules else ""
        return (
            f"{len(selection)} runs, {self.steps} steps, "
            f"{SECONDS_PER_MINUTE * self.steps / duration_s:.0f} steps a minute, "
            f"{self.node_seconds / duration_s:.0f} node-seconds a second; "
            f"kinds {len(self.kinds)} of {len(allowed)}, pairs {len(self.pairs)} of {possible_pairs}; "
            f"{self.failed_runs} with something wrong{rules}"
        )


def play_all(
    selection: RunSelection, jobs: int, write_line: Callable[[str], None], advance: Callable[[], None]
) -> int:
    """Play all runs and write the violations that they found.

    Parameters
    ----------
    selection
        The runs.
    jobs
        Number of worker processes.
    write_line
        Writes one line of output.
    advance
        Called after each run.

    Returns
    -------
    int
        Exit status: 1 if a run found a violation.
    """
    totals = _Totals()
    began_at = monotonic()
    for result in _play_each(selection, jobs):
        advance()
        totals.add(result)
        for line in _result_lines(selection, result):
            write_line(line)
    write_line(totals.summary(selection, max(MIN_DURATION_S, monotonic() - began_at)))
    return EXIT_FAULT_FOUND if totals.failed_runs else EXIT_CLEAN


def _result_lines(selection: RunSelection, result: RunResult) -> list[str]:
    """The output for one run: violations and the command to replay it, or the trace of a single clean run."""
    if result.faults:
        lines = [f"seed {result.seed}: {fault}" for fault in result.faults[:MAX_FAULTS_SHOWN]]
        return [*lines, f"  {selection.command_of(result.seed)}"]
    return [] if selection.has_many else [f"seed {result.seed}: trace {result.trace}"]


def shrink_run(selection: RunSelection, target: Path, write_line: Callable[[str], None]) -> int:
    """Shrink a failing run to a smaller plan that still breaks the same rule, and write that to a file.

    Returns
    -------
    int
        Exit status: 1 if a plan was written, 0 if the run does not fail.
    """
    plan = selection.plan_of(selection.seeds[0])
    outcome = play(plan)
    if not outcome.violations:
        write_line("the run does not fail: nothing to shrink")
        return EXIT_CLEAN
    rule = outcome.violations[0].rule
    write_line(f"{events(plan)} events: {_fault_lines(outcome)[0]}")
    least = shrink(plan, lambda smaller: rule in play(smaller).rules)
    target.write_bytes(to_json(least) + b"\n")
    write_line(f"{events(least)} events: {_fault_lines(play(least))[0]}")
    write_line(f"  hollybay simulate --plan {target}")
    return EXIT_FAULT_FOUND


def trace_run(selection: RunSelection, target: Path, write_line: Callable[[str], None]) -> int:
    """Write every step of one run to a file.

    Returns
    -------
    int
        Exit status: 1 if the run found a violation.
    """
    with target.open("w") as file:
        outcome = play(selection.plan_of(selection.seeds[0]), lambda line: print(line, file=file))
    for line in _fault_lines(outcome)[:MAX_FAULTS_SHOWN]:
        write_line(line)
    write_line(f"{outcome.steps} steps in {target}, trace {outcome.trace}")
    return EXIT_FAULT_FOUND if outcome.violations else EXIT_CLEAN
