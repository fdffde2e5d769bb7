"""Runs the project's command as a shell would, with a fixed terminal width.

The only name of the project in this module is that of the command; pyproject.toml gives its entry point.
"""

from __future__ import annotations

import os
import shlex
import subprocess
import sys
import tomllib
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

__all__ = ["node_without_configuration", "shown"]

ROOT = Path(__file__).resolve().parent.parent.parent
COMMAND = "hollybay"
# Environment variables that affect the output.
UNSET = (
    "BALANCER_CONFIG",
    "HOLLYBAY_OPERATOR",
    "HOLLYBAY_DOORS",
    "FORCE_COLOR",
    "NO_COLOR",
    "PYTHONSAFEPATH",
)


def _environment() -> dict[str, str]:
    kept = {key: value for key, value in os.environ.items() if key not in UNSET}
    fixed = {"COLUMNS": "100", "LINES": "40", "TERM": "dumb", "LC_ALL": "C.UTF-8", "PYTHONPATH": str(ROOT)}
    return kept | fixed


def _run(command: list[str]) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        command,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        timeout=60,
        env=_environment(),
        cwd=ROOT,
        check=False,
    )


def _program() -> list[str]:
    """Runs the entry point directly, so that no new installation is needed after a module has moved."""
    scripts = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["scripts"]
    module, _, name = scripts[COMMAND].partition(":")
    text = f"import sys; from {module} import {name}; sys.argv[0] = {COMMAND!r}; sys.exit({name}())"
    return [sys.executable, "-c", text]


def _shown(line: str) -> bytes:
    done = _run([*_program(), *shlex.split(line)])
    head = f"$ {COMMAND} {line}".rstrip() + f"\nexit {done.returncode}\n"
    errors = b"stderr:\n" + done.stderr if done.stderr else b""
    return head.encode() + done.stdout + errors + b"\n"


def shown(lines: Iterable[str]) -> bytes:
    """For each line of arguments: the command line, its exit status and its output."""
    with ThreadPoolExecutor(2) as pool:
        return b"".join(pool.map(_shown, lines))


def node_without_configuration() -> bytes:
    """Exit status and output of the deploy file's `run` without a configuration, without the program name."""
    words = shlex.split(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])
    done = _run([sys.executable, *words[words.index("-m") :]])
    return b"exit %d\n" % done.returncode + done.stdout + done.stderr.partition(b": ")[2]
