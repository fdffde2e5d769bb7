"""The balancing package: the list of its policy modules, its size, and what its modules may import."""

from __future__ import annotations

import ast
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BALANCING = ROOT / "hollybay" / "balancing"
POLICY = [ROOT / name for name in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]]
# Modules that the policy modules may import beside each other: the interface and the state.
TYPES = {"actions", "events", "interface", "settings", "state", "units"}
IMPORTABLE = {path.stem for path in POLICY} | TYPES
# Adapters that decide nothing: the wire protocol of the simulator, and the parser of a node's settings.
ADAPTERS = {"bench_adapter", "bench_codec", "bench_wire", "settings_parser"}
# Modules that do not use the interface: they compute numbers from numbers.
ARITHMETIC = {
    "connection_capacity", "discovery_polling", "event_loop_delay", "outlier_shares", "priority_distribution",
    "queueing_delay", "rendezvous", "reported_failures", "retry_budgets", "traffic_share", "units", "wakeups",
    "zone_reachability",
}  # fmt: skip


def test_every_policy_module_is_listed_under_policy() -> None:
    modules = {path.stem for path in BALANCING.glob("*.py")}
    assert modules - {path.stem for path in POLICY} == {"__init__"} | TYPES | ADAPTERS
    assert len(POLICY) == len(set(POLICY))


def test_package_size_and_line_length() -> None:
    lines = [line for path in POLICY for line in path.read_text().splitlines() if line.strip()]
    assert len(lines) >= 300
    for path in BALANCING.glob("*.py"):
        assert all(len(line) <= 110 for line in path.read_text().splitlines()), path


def test_policy_modules_import_only_the_standard_library_and_each_other() -> None:
    for path in [*POLICY, BALANCING / "state.py"]:
        text = path.read_text()
        for node in ast.walk(ast.parse(text)):
            if isinstance(node, ast.Import):
                assert all(name.name in sys.stdlib_module_names for name in node.names), path
            elif isinstance(node, ast.ImportFrom):
                assert (
                    node.module in IMPORTABLE
                    if node.level
                    else str(node.module).split(".")[0] in sys.stdlib_module_names | {"__future__"}
                ), path
        assert not any(word in text for word in ("time.time", "monotonic", "open(", "threading", "global "))


def test_state_module_has_no_branches() -> None:
    """state.py does not count as policy code, so it may have no branches, loops, comparisons or returns."""
    tree = ast.parse((BALANCING / "state.py").read_text())
    branches = (ast.If, ast.IfExp, ast.While, ast.For, ast.Compare, ast.BoolOp, ast.Return)
    assert not any(isinstance(node, branches) for node in ast.walk(tree))


def test_arithmetic_modules_import_only_the_standard_library_and_each_other() -> None:
    for name in ARITHMETIC:
        path = BALANCING / f"{name}.py"
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                assert all(name.name in sys.stdlib_module_names for name in node.names), path
            elif isinstance(node, ast.ImportFrom) and node.level:
                assert node.module in ARITHMETIC, path
            elif isinstance(node, ast.ImportFrom):
                assert str(node.module).split(".")[0] in sys.stdlib_module_names | {"__future__"}, path


def test_the_readme_example_runs() -> None:
    readme = (ROOT / "README.md").read_text()
    code = readme.split("```python\n")[1].split("```")[0]
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=False)
    assert done.returncode == 0, done.stderr
    assert "Send(" in done.stdout
