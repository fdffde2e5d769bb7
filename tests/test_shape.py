"""The module's size, and what it may import."""

from __future__ import annotations

import ast
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
POLICY = [ROOT / name for name in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]]
# What the decisions may import beside each other: the interface, the records, and the shares.
MODULE = {path.stem for path in POLICY} | {"interface", "records"}


def test_module_size_and_line_length() -> None:
    lines = [line for path in POLICY for line in path.read_text().splitlines() if line.strip()]
    assert 300 <= len(lines) <= 1200
    for path in (ROOT / "lynxrouter").glob("*.py"):
        assert all(len(line) <= 110 for line in path.read_text().splitlines()), path


def test_module_imports_only_the_standard_library_its_own_parts_and_the_shares() -> None:
    for path in [*POLICY, ROOT / "lynxrouter" / "records.py"]:
        text = path.read_text()
        for node in ast.walk(ast.parse(text)):
            if isinstance(node, ast.Import):
                assert all(name.name in sys.stdlib_module_names for name in node.names), path
            elif isinstance(node, ast.ImportFrom):
                assert (
                    node.module in MODULE
                    if node.level
                    else str(node.module).split(".")[0] in sys.stdlib_module_names | {"__future__", "fleet"}
                ), path
        assert not any(word in text for word in ("time.time", "monotonic", "open(", "threading", "global "))


def test_records_decide_nothing() -> None:
    """They are kept out of the count of lines: so they may hold no branch and no arithmetic on estimates."""
    tree = ast.parse((ROOT / "lynxrouter" / "records.py").read_text())
    branches = (ast.If, ast.IfExp, ast.While, ast.For, ast.Compare, ast.BoolOp, ast.Return)
    assert not any(isinstance(node, branches) for node in ast.walk(tree))


def test_the_shares_import_only_the_standard_library_and_one_another() -> None:
    for path in (ROOT / "fleet").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                assert all(name.name in sys.stdlib_module_names for name in node.names), path
            elif isinstance(node, ast.ImportFrom) and not node.level:
                assert str(node.module).split(".")[0] in sys.stdlib_module_names | {"__future__"}, path


def test_the_readme_example_runs() -> None:
    readme = (ROOT / "README.md").read_text()
    code = readme.split("```python\n")[1].split("```")[0]
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=False)
    assert done.returncode == 0, done.stderr
    assert "Send(" in done.stdout
