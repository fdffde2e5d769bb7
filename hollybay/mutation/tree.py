"""A copy of the code with one place changed, and runs in it: whole processes, so nothing stays behind."""

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

__all__ = [
    "PACKAGES",
    "ROOT",
    "NoSuchPlace",
    "changed",
    "found_by_plan",
    "found_by_seeds",
    "run_in",
    "seeds_in",
]

ROOT = Path(__file__).resolve().parents[2]
PACKAGES = ("hollybay",)


class NoSuchPlace(ValueError):
    """The text that was to be changed is not there, or more than once."""


@contextmanager
def changed(path: str, old: str, new: str) -> Iterator[Path]:
    """A copy of the packages in which `old`, once in the file at `path` (from the root), is changed to `new`.

    NoSuchPlace where the text is not there, or more than once.
    """
    text = (ROOT / path).read_text()
    if text.count(old) != 1:
        raise NoSuchPlace(f"{path}: {old!r} stands there {text.count(old)} times")
    with TemporaryDirectory(prefix="changed-") as folder:
        tree = Path(folder)
        for name in PACKAGES:
            shutil.copytree(ROOT / name, tree / name, ignore=shutil.ignore_patterns("__pycache__"))
        (tree / path).write_text(text.replace(old, new))
        yield tree


def run_in(tree: Path, arguments: Sequence[str], limit: float) -> tuple[int | None, str]:
    """Run Python in the copy: exit status, None past so many seconds, and what it said."""
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
        said, _ = process.communicate(timeout=limit)
    except subprocess.TimeoutExpired:
        # With all that it started itself.
        os.killpg(process.pid, signal.SIGKILL)
        said, _ = process.communicate()
        return None, said
    return process.returncode, said


# Plays seeds until one finds something; a program of its own, so that it runs the changed code.
_SEEDS = """
import json, sys
from hollybay.simulation.world import play_seed
for seed in json.loads(sys.argv[1]):
    plan, outcome = play_seed(seed)
    if outcome.wrong:
        fault = outcome.wrong[0]
        print("FOUND " + json.dumps([seed, fault.rule, fault.subject, fault.reason]))
        break
"""


def seeds_in(tree: Path, seeds: Sequence[int], limit: float) -> tuple[int, str, str] | None:
    """The first seed that finds something in a copy, with the rule and the reason; None: none does.

    A run that ends otherwise than it should (it does not start, or goes on for ever) has found that.
    """
    status, said = run_in(tree, ["-c", _SEEDS, json.dumps(list(seeds))], limit)
    for line in said.splitlines():
        if line.startswith("FOUND "):
            seed, rule, subject, reason = json.loads(line[6:])
            return int(seed), str(rule), f"{subject}: {reason}"
    if status == 0:
        return None
    last = said.strip().splitlines()[-1:] or ["it said nothing"]
    return seeds[0], "process", "it goes on for ever" if status is None else last[0]


# Plays one plan; prints the names under which something was found.
_PLAN = """
import sys
from pathlib import Path
import msgspec
from hollybay.simulation.plan import Plan
from hollybay.simulation.world import play
print("RULES " + " ".join(sorted(play(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Plan)).rules)))
"""


def found_by_plan(path: str, old: str, new: str, plan: Path, limit: float = 60.0) -> set[str]:
    """The names under which one plan finds something where `old` is changed to `new` in a file."""
    with changed(path, old, new) as tree:
        _, said = run_in(tree, ["-c", _PLAN, str(plan)], limit)
    lines = [line for line in said.splitlines() if line.startswith("RULES")]
    return set(lines[0].split()[1:]) if lines else {"process"}


def found_by_seeds(
    path: str, old: str, new: str, seeds: Sequence[int], limit: float = 120.0
) -> tuple[int, str, str] | None:
    """What seeds find where `old` (which must stand there once) is changed to `new` in a file."""
    with changed(path, old, new) as tree:
        return seeds_in(tree, seeds, limit)
