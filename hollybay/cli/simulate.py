"""What `hollybay simulate` does: play seeds on several cores, count what was met, shrink and trace a run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from itertools import combinations
from multiprocessing import get_context
from pathlib import Path
from time import monotonic

import msgspec

from hollybay.simulation.kinds import FAULTS
from hollybay.simulation.plan import Plan, draw, events, to_json
from hollybay.simulation.shrink import shrink
from hollybay.simulation.world import Outcome, play

__all__ = ["Choice", "Result", "play_all", "play_one", "shrunk", "traced"]

SHOWN = 5  # of what one run found


@dataclass(frozen=True, slots=True)
class Choice:
    """Which runs are asked for: seeds under some kinds of faults, or one plan."""

    numbers: range
    faults: tuple[str, ...]
    plan: Plan | None = None
    path: str = ""

    @classmethod
    def of(cls, seed: int | None, seeds: str | None, path: Path | None, faults: str | None) -> Choice:
        """From the words of the command line; ValueError says what is wrong with them."""
        if sum(word is not None for word in (seed, seeds, path)) > 1:
            raise ValueError("one of --seed, --seeds A..B and --plan")
        allowed: tuple[str, ...] = tuple(faults.split(",")) if faults else ()
        if allowed:
            draw(0, allowed)
        if path is not None:
            try:
                plan: Plan = msgspec.json.decode(path.read_bytes(), type=Plan)
            except (OSError, msgspec.MsgspecError) as error:
                raise ValueError(f"{path}: {error}") from None
            return cls(range(plan.seed, plan.seed + 1), allowed, plan, str(path))
        first, sep, last = (seeds if seeds is not None else str(seed or 0)).partition("..")
        numbers = range(int(first), int(last if sep else first) + 1)
        if not numbers:
            raise ValueError("--seeds A..B with A up to B")
        return cls(numbers, allowed)

    def __len__(self) -> int:
        return len(self.numbers)

    @property
    def many(self) -> bool:
        """Whether this is more than one run."""
        return len(self.numbers) > 1

    def drawn(self, number: int) -> Plan:
        """The plan of one of its runs."""
        if self.plan is not None:
            return self.plan
        return draw(number, self.faults) if self.faults else draw(number)

    def again(self, number: int) -> str:
        """The command that plays one of its runs again."""
        if self.plan is not None:
            return f"hollybay simulate --plan {self.path}"
        return f"hollybay simulate --seed {number}" + (
            f" --faults {','.join(self.faults)}" if self.faults else ""
        )


@dataclass(frozen=True, slots=True)
class Result:
    """What one run showed, as it comes back from another process."""

    number: int
    kinds: tuple[str, ...]
    steps: int
    seconds: float
    trace: str
    wrong: tuple[str, ...]
    rules: tuple[str, ...]


def _lines(outcome: Outcome) -> tuple[str, ...]:
    return tuple(f"{fault.rule}: {fault.subject}: {fault.reason}" for fault in outcome.wrong)


def play_one(choice: Choice, number: int) -> Result:
    """Play one run."""
    plan = choice.drawn(number)
    outcome = play(plan)
    kinds = tuple(sorted({fault.kind for fault in plan.faults}))
    rules = tuple(sorted(outcome.rules))
    node_seconds = outcome.seconds * plan.nodes
    return Result(number, kinds, outcome.steps, node_seconds, outcome.trace, _lines(outcome), rules)


def results(choice: Choice, jobs: int) -> Iterator[Result]:
    """The results of all runs, in order."""
    if jobs == 1:
        yield from map(partial(play_one, choice), choice.numbers)
        return
    with ProcessPoolExecutor(jobs, get_context("spawn")) as pool:
        yield from pool.map(partial(play_one, choice), choice.numbers, chunksize=4)


def play_all(choice: Choice, jobs: int, say: Callable[[str], None], advance: Callable[[], None]) -> int:
    """Play all runs; 1 if one of them found something."""
    kinds: Counter[str] = Counter()
    pairs: Counter[tuple[str, ...]] = Counter()
    found: Counter[str] = Counter()
    steps = broken = 0
    seconds = 0.0
    begun = monotonic()
    for result in results(choice, jobs):
        advance()
        steps += result.steps
        seconds += result.seconds
        kinds.update(result.kinds)
        pairs.update(combinations(result.kinds, 2))
        if result.wrong:
            broken += 1
            found.update(result.rules)
            for line in result.wrong[:SHOWN]:
                say(f"seed {result.number}: {line}")
            say(f"  {choice.again(result.number)}")
        elif not choice.many:
            say(f"seed {result.number}: trace {result.trace}")
    took = max(1e-9, monotonic() - begun)
    allowed = choice.faults or tuple(FAULTS)
    possible = len(list(combinations(allowed, 2)))
    say(
        f"{len(choice)} runs, {steps} steps, {60 * steps / took:.0f} steps a minute, {seconds / took:.0f} "
        f"node-seconds a second; kinds {len(kinds)} of {len(allowed)}, pairs {len(pairs)} of {possible}; "
        f"{broken} with something wrong" + (f" ({', '.join(sorted(found))})" if found else "")
    )
    return 1 if broken else 0


def shrunk(choice: Choice, target: Path, say: Callable[[str], None]) -> int:
    """Shrink one failing run into a file; 1 once that is done, 0 where nothing fails."""
    plan = choice.drawn(choice.numbers[0])
    outcome = play(plan)
    if not outcome.wrong:
        say("nothing is wrong here, so there is nothing to shrink")
        return 0
    rule = outcome.wrong[0].rule
    say(f"{events(plan)} events: {_lines(outcome)[0]}")
    least = shrink(plan, lambda smaller: rule in play(smaller).rules)
    target.write_bytes(to_json(least) + b"\n")
    say(f"{events(least)} events: {_lines(play(least))[0]}")
    say(f"  hollybay simulate --plan {target}")
    return 1


def traced(choice: Choice, target: Path, say: Callable[[str], None]) -> int:
    """Write every step of one run into a file; 1 if something was found."""
    with target.open("w") as file:
        outcome = play(choice.drawn(choice.numbers[0]), lambda line: print(line, file=file))
    for line in _lines(outcome)[:SHOWN]:
        say(line)
    say(f"{outcome.steps} steps in {target}, trace {outcome.trace}")
    return 1 if outcome.wrong else 0
