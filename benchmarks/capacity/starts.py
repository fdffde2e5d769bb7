"""Cost of starting a node: imports and routes, from a file or from the folder of its consensus group."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec

from hollybay.consensus.change_builder import bootstrap_change
from hollybay.consensus.errors import RejectedError
from hollybay.consensus.log import PolicyLog
from hollybay.consensus.log_entry import Snapshot
from hollybay.consensus.policy import first_policy
from hollybay.hollow.meter import ResourceUsage, metered
from hollybay.resources.state import EMPTY
from hollybay.resources.wire import encode_snapshot
from hollybay.routing.resource_tables import operations_between, resources_of
from hollybay.routing.schema import read

from . import samples
from .measurement import Figures, SizeRejected

__all__ = ["from_consensus_folder", "from_file"]

VOTERS = ("127.0.0.1:1",)
# The process prints its own CPU time at its end, imports included.
SCRIPT = """
import sys, time
from pathlib import Path
import hollybay.proxy.__main__, hollybay.proxy.consensus_setup
import hollybay.proxy.admin_service, hollybay.proxy.operator_file
from hollybay.consensus.log import PolicyLog
from benchmarks.capacity import samples
from hollybay.routing.policy_compiler import compile_file
from hollybay.routing.state_compiler import compile_state
kind, folder, name = sys.argv[1:]
if kind == "file":
    plan = compile_file((Path(folder) / name).read_bytes(), samples.settings())
else:
    log = PolicyLog(Path(folder))
    log.open()
    plan = compile_state(log.state(name), samples.settings())
print(time.process_time())
"""


def from_file(size: int) -> Figures:
    """Start a process that compiles a file of `size` routes."""
    with tempfile.TemporaryDirectory() as folder:
        (Path(folder) / "operator.toml").write_text(samples.short_routes_file(size))
        return _start_process("file", folder, "operator.toml")


def from_consensus_folder(size: int) -> Figures:
    """Start a process that loads and compiles the snapshot of its consensus group from disk."""
    tables = read(samples.short_routes_file(size))
    try:
        policy = first_policy([bootstrap_change(operations_between(EMPTY, resources_of(tables)))], VOTERS)
    except RejectedError as error:
        raise SizeRejected(str(error)) from None
    state = EMPTY.with_batch(policy.changes or (), policy.version)
    data = msgspec.msgpack.encode(Snapshot(policy.without_changes(), encode_snapshot(state)))
    with tempfile.TemporaryDirectory() as folder:
        PolicyLog(Path(folder)).install_snapshot(data)
        figures = _start_process("accord", folder, policy.name)
    return Figures(figures.values, figures.spent, {"snapshot_kib": len(data) / 1024})


def _start_process(kind: str, folder: str, name: str) -> Figures:
    with metered() as spent:
        done = subprocess.run(
            [sys.executable, "-c", SCRIPT, kind, folder, name], capture_output=True, text=True, check=False
        )
    if done.returncode:
        raise SizeRejected(done.stderr.strip().splitlines()[-1][:200])
    # The parent only waited, so its CPU time is left out.
    return Figures({"cpu_s": float(done.stdout)}, ResourceUsage(wall_s=spent.wall_s))
