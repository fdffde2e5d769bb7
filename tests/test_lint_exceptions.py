"""The list of exceptions to the linter names only files that exist, and no rule that its file keeps."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LINT = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]
EXCEPTIONS: dict[str, list[str]] = LINT["per-file-ignores"]
# What test functions need not have: a docstring each, one assertion a line.
TESTS = "tests/*"


def test_each_exception_names_a_file_that_exists() -> None:
    missing = [name for name in EXCEPTIONS if name != TESTS and not (ROOT / name).is_file()]
    assert missing == []


def test_each_exception_is_still_needed() -> None:
    """A file that keeps a rule by now comes off the list: the list only shrinks."""
    done = subprocess.run(
        [
            *(sys.executable, "-m", "ruff", "check", "--isolated", "--output-format", "json"),
            *("--config", f"line-length = {110}", "--select", ",".join(LINT["select"])),
            *("--config", 'lint.pydocstyle.convention = "numpy"'),
            *("--config", f"lint.mccabe.max-complexity = {LINT['mccabe']['max-complexity']}"),
            *("--ignore", ",".join(LINT["ignore"])),
            *(str(ROOT / name) for name in EXCEPTIONS if name != TESTS),
        ],
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    broken: dict[str, set[str]] = {}
    for finding in json.loads(done.stdout):
        broken.setdefault(str(Path(finding["filename"]).relative_to(ROOT)), set()).add(finding["code"])
    needless = {
        name: sorted(set(rules) - broken.get(name, set()))
        for name, rules in EXCEPTIONS.items()
        if name != TESTS and set(rules) - broken.get(name, set())
    }
    assert needless == {}
