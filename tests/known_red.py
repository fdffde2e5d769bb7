"""Known failures: KNOWN-RED.txt at the root, which lists one a line.

The first line is a comment that states the largest number of entries. An entry is
`SUBJECT -- COMMAND, SEED: SEEN -- issue NUMBER`. Its subject is a pytest node ID, whose failure does not fail
the suite, or `script` for a fault that a command shows and no test. Its seed is `seed N` or `no seed`.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

__all__ = ["SCRIPT", "KnownRedError", "KnownRedList", "load"]

SCRIPT = "script"
_LIMIT = re.compile(r"# At most (\d+) entries\b")
_ENTRY = re.compile(
    r"(?P<subject>\S+) -- (?P<command>[^:]+?), (?P<seed>seed \d+|no seed): (?P<seen>.+) -- issue \d+"
)


class KnownRedError(ValueError):
    """KNOWN-RED.txt has an invalid line."""


class KnownRedList(NamedTuple):
    """The known failures.

    Attributes
    ----------
    tests
        Lines of the entries of tests, by node ID.
    scripts
        Lines of the entries of scripts.
    """

    tests: dict[str, str]
    scripts: tuple[str, ...]


def load(path: Path, root: Path) -> KnownRedList:
    """Load the known failures.

    Parameters
    ----------
    path
        The file; without it there are none.
    root
        The folder that node IDs are relative to.

    Raises
    ------
    KnownRedError
        A line has not the form of an entry, names a test that does not exist, or is one too many.
    """
    lines = path.read_text().splitlines() if path.exists() else []
    if not lines:
        return KnownRedList({}, ())
    limit = _LIMIT.match(lines[0])
    if limit is None:
        raise KnownRedError("the first line does not state the largest number of entries")
    entries = [line for line in lines[1:] if line.strip()]
    if len(entries) > int(limit[1]):
        raise KnownRedError(f"{len(entries)} entries; at most {limit[1]} are allowed")
    return _by_kind(entries, root)


def _by_kind(entries: Iterable[str], root: Path) -> KnownRedList:
    tests: dict[str, str] = {}
    scripts: list[str] = []
    for line in entries:
        entry = _ENTRY.fullmatch(line)
        if entry is None:
            raise KnownRedError(f"not 'SUBJECT -- COMMAND, SEED: SEEN -- issue NUMBER': {line[:100]}")
        subject = entry["subject"]
        if subject == SCRIPT:
            scripts.append(line)
        elif not _exists(subject, root):
            raise KnownRedError(f"there is no test {subject}")
        elif subject in tests:
            raise KnownRedError(f"listed twice: {subject}")
        else:
            tests[subject] = line
    return KnownRedList(tests, tuple(scripts))


def _exists(node_id: str, root: Path) -> bool:
    """Whether a test function exists; the parameters of a node ID are not checked."""
    file, _, test = node_id.partition("::")
    path = root / file
    name = test.split("[")[0]
    return (
        path.is_file()
        and re.search(rf"^(async )?def {re.escape(name)}\(", path.read_text(), re.M) is not None
    )
