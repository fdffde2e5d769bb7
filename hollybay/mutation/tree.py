"""Copies of the code with one changed text (mutants), and runs in processes of their own that may kill them.

A run kills a mutant if it finds a fault that the unchanged code doesn't have.
"""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple

__all__ = [
    "PACKAGES",
    "ROOT",
    "Kill",
    "SourceTextError",
    "killed_by_plan",
    "killed_by_seeds",
    "mutated_copy",
    "run_in",
]

ROOT = Path(__file__).resolve().parents[2]
PACKAGES = ("hollybay",)
# The rule that is reported for a run that crashes or times out.
PROCESS_RULE = "process"
PLAN_TIMEOUT_S = 60.0
SEEDS_TIMEOUT_S = 120.0


class SourceTextError(ValueError):
    """The text to change is not in its file exactly once."""


class Kill(NamedTuple):
    """What a run found in a mutant.

    Attributes
    ----------
    seed
        The seed that was played.
    rule
        The name of the violated rule; `process` if the run crashed or timed out.
    reason
        A description of the violation.
    """

    seed: int
    rule: str
    reason: str


@contextmanager
def mutated_copy(path: str, old: str, new: str) -> Iterator[Path]:
    """Copy the packages with one text in one file changed; yields the root of the copy.

    Parameters
    ----------
    path
        The path of the file, relative to the root.
    old, new
        The text, which must be in the file exactly once, and its replacement.

    Raises
    ------
    SourceTextError
        The text is not in the file exactly once.
    """
    text = (ROOT / path).read_text()
    if text.count(old) != 1:
        raise SourceTextError(f"{path}: {old!r} occurs {text.count(old)} times, expected once")
    with TemporaryDirectory(prefix="changed-") as folder:
        tree = Path(folder)
        for name in PACKAGES:
            shutil.copytree(ROOT / name, tree / name, ignore=shutil.ignore_patterns("__pycache__"))
        (tree / path).write_text(text.replace(old, new))
        yield tree


def run_in(tree: Path, arguments: Sequence[str], timeout: float) -> tuple[int | None, str]:
    """Run the Python interpreter in a copy.

    Parameters
    ----------
    tree
        The root of the copy.
    arguments
        The arguments of the interpreter.
    timeout
        The duration (s) after which it is killed together with its child processes.

    Returns
    -------
    tuple
        Its exit status, None if it was killed, and its combined output.
    """
    environ = {**os.environ, "PYTHONPATH": str(tree), "PYTHONDONTWRITEBYTECODE": "1"}
    process = subprocess.Popen(
        [sys.executable, *arguments],
        cwd=tree,
        env=environ,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        stdin=subprocess.DEVNULL,
        text=True,
        start_new_session=True,
    )
    try:
        output, _ = process.communicate(timeout=timeout)
    except subprocess.TimeoutExpired:
        os.killpg(process.pid, signal.SIGKILL)
        output, _ = process.communicate()
        return None, output
    return process.returncode, output


# Plays seeds until one finds a violation, in a separate process, which imports the changed code.
_SEEDS_PROGRAM = """
import json, sys
from hollybay.simulation.world import play_seed
for seed in json.loads(sys.argv[1]):
    plan, outcome = play_seed(seed)
    if outcome.violations:
        fault = outcome.violations[0]
        print("FOUND " + json.dumps([seed, fault.rule, fault.subject, fault.reason]))
        break
"""


def _first_killing_seed(tree: Path, seeds: Sequence[int], timeout: float) -> Kill | None:
    """Return the first violation that the seeds find in a copy, None if there is none.

    A run that crashes or times out counts as a violation of the rule `process`.
    """
    status, output = run_in(tree, ["-c", _SEEDS_PROGRAM, json.dumps(list(seeds))], timeout)
    for line in output.splitlines():
        if line.startswith("FOUND "):
            seed, rule, subject, reason = json.loads(line.removeprefix("FOUND "))
            return Kill(int(seed), str(rule), f"{subject}: {reason}")
    if status == 0:
        return None
    last_lines = output.strip().splitlines()[-1:] or ["no output"]
    return Kill(seeds[0], PROCESS_RULE, f"timed out after {timeout} s" if status is None else last_lines[0])


# Plays one plan; prints the names of the violated rules.
_PLAN_PROGRAM = """
import sys
from pathlib import Path
import msgspec
from hollybay.simulation.plan import Plan
from hollybay.simulation.world import play
print("RULES " + " ".join(sorted(play(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Plan)).rules)))
"""


def killed_by_plan(path: str, old: str, new: str, plan: Path, timeout: float = PLAN_TIMEOUT_S) -> set[str]:
    """Return the rules that one plan finds violated in a mutant; parameters as in `mutated_copy`."""
    with mutated_copy(path, old, new) as tree:
        _, output = run_in(tree, ["-c", _PLAN_PROGRAM, str(plan)], timeout)
    lines = [line for line in output.splitlines() if line.startswith("RULES")]
    return set(lines[0].split()[1:]) if lines else {PROCESS_RULE}


def killed_by_seeds(
    path: str, old: str, new: str, seeds: Sequence[int], timeout: float = SEEDS_TIMEOUT_S
) -> Kill | None:
    """Return the first violation that seeds find in a mutant, or None; parameters as in `mutated_copy`."""
    with mutated_copy(path, old, new) as tree:
        return _first_killing_seed(tree, seeds, timeout)
