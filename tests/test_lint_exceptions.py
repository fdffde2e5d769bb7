"""The linter's per-file exceptions name only files that exist and rules that these files still break."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LINT = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]
EXCEPTIONS: dict[str, list[str]] = LINT["per-file-ignores"]
# The exceptions for all tests: no docstring for each function, compound assertions allowed.
TESTS_PATTERN = "tests/*"


def test_each_exception_names_a_file_that_exists() -> None:
    missing = [name for name in EXCEPTIONS if name != TESTS_PATTERN and not (ROOT / name).is_file()]
    assert missing == []


def test_each_exception_is_still_needed() -> None:
    """An exception for a rule that the file no longer breaks must be removed: the list only shrinks."""
    result = subprocess.run(
        [
            *(sys.executable, "-m", "ruff", "check", "--isolated", "--output-format", "json"),
            *("--config", f"line-length = {110}", "--select", ",".join(LINT["select"])),
            *("--config", 'lint.pydocstyle.convention = "numpy"'),
            *("--config", f"lint.mccabe.max-complexity = {LINT['mccabe']['max-complexity']}"),
            *("--ignore", ",".join(LINT["ignore"])),
            *(str(ROOT / name) for name in EXCEPTIONS if name != TESTS_PATTERN),
        ],
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    broken_rules: dict[str, set[str]] = {}
    for finding in json.loads(result.stdout):
        broken_rules.setdefault(str(Path(finding["filename"]).relative_to(ROOT)), set()).add(finding["code"])
    unneeded = {
        name: sorted(set(rules) - broken_rules.get(name, set()))
        for name, rules in EXCEPTIONS.items()
        if name != TESTS_PATTERN and set(rules) - broken_rules.get(name, set())
    }
    assert unneeded == {}
