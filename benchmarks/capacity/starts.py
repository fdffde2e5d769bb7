"""A node's start: its imports, its servers and its routes, from a file or from the folder of its accord."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec

from accord.policy import MOST_BYTES, Refused, first
from accord.shelf import Shelf
from hollow.meter import Spent, metered

from . import samples
from .measurement import Figures, RefusedSize

__all__ = ["from_accord_folder", "from_file"]

KEEPERS = ("127.0.0.1:1",)
# Processor time of the whole process, with its imports, as it says it itself at its end.
SCRIPT = """
import sys, time
from pathlib import Path
import elderscale.__main__, elderscale.accord, elderscale.desk, elderscale.operator
from accord.shelf import Shelf
from benchmarks.capacity import samples
from routing.plan import compile_file
kind, folder, name = sys.argv[1:]
if kind == "file":
    data = (Path(folder) / name).read_bytes()
else:
    policy = Shelf(Path(folder)).get(name)
    assert policy is not None
    data = policy.file
plan = compile_file(data, samples.settings())
print(time.process_time())
"""


def from_file(size: int) -> Figures:
    """A process that starts and compiles a file of so many routes."""
    with tempfile.TemporaryDirectory() as folder:
        (Path(folder) / "operator.toml").write_text(samples.short_routes_file(size))
        return _started("file", folder, "operator.toml")


def from_accord_folder(size: int) -> Figures:
    """A process that starts from the policy that its accord left on disk."""
    file = samples.short_routes_file(size).encode()
    try:
        policy = first(file, (), KEEPERS)
    except Refused as error:
        raise RefusedSize(f"{error} (MOST_BYTES is {MOST_BYTES >> 10} KiB)") from None
    with tempfile.TemporaryDirectory() as folder:
        Shelf(Path(folder)).put(policy)
        figures = _started("accord", folder, policy.name)
    return Figures(figures.values, figures.spent, {"policy_kib": len(msgspec.msgpack.encode(policy)) / 1024})


def _started(kind: str, folder: str, name: str) -> Figures:
    with metered() as spent:
        done = subprocess.run(
            [sys.executable, "-c", SCRIPT, kind, folder, name], capture_output=True, text=True, check=False
        )
    if done.returncode:
        raise RefusedSize(done.stderr.strip().splitlines()[-1][:200])
    # The parent only waited; what the child took is what counts.
    return Figures({"cpu_s": float(done.stdout)}, Spent(wall_s=spent.wall_s))
