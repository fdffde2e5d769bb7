"""Form of KNOWN-RED.txt."""

from __future__ import annotations

from pathlib import Path

import pytest

from .conftest import KNOWN_FAILURES, KNOWN_RED
from .known_red import KnownRedError, load

ROOT = Path(__file__).resolve().parent.parent
LIMIT = "# At most 2 entries, one a line."
TEST = "tests/test_known_red.py::test_entries_of_both_kinds_are_loaded"
ENTRY = f"{TEST} -- bash .ci/run, seed 1: red once -- issue 60"
SCRIPT_ENTRY = "script -- python -m hollybay.testbed.soak 24..24, no seed: red once: 3 ms -- issue 60"


def write(folder: Path, *lines: str) -> Path:
    path = folder / "KNOWN-RED.txt"
    path.write_text("".join(f"{line}\n" for line in lines))
    return path


def test_entries_of_both_kinds_are_loaded(tmp_path: Path) -> None:
    known = load(write(tmp_path, LIMIT, ENTRY, SCRIPT_ENTRY), ROOT)
    assert known.tests == {TEST: ENTRY} and known.scripts == (SCRIPT_ENTRY,)
    assert load(tmp_path / "missing", ROOT) == load(write(tmp_path), ROOT) == ({}, ())


@pytest.mark.parametrize(
    "lines",
    [
        (ENTRY,),
        (LIMIT, ENTRY, SCRIPT_ENTRY, SCRIPT_ENTRY),
        (LIMIT, ENTRY, ENTRY),
        (LIMIT, ENTRY.replace("entries_of", "entries_from")),
        (LIMIT, ENTRY.replace("tests/test_known_red.py", "tests/test_known_green.py")),
        (LIMIT, ENTRY.replace(", seed 1", "")),
        (LIMIT, ENTRY.replace("seed 1", "seed")),
        (LIMIT, ENTRY.replace(" -- issue 60", "")),
        (LIMIT, ENTRY.replace(": red once", "")),
        (LIMIT, f"{ENTRY} ;; and another"),
    ],
)
def test_other_lines_are_refused(lines: tuple[str, ...], tmp_path: Path) -> None:
    with pytest.raises(KnownRedError):
        load(write(tmp_path, *lines), ROOT)


def test_the_suite_reads_the_list_at_the_root() -> None:
    assert load(ROOT / "KNOWN-RED.txt", ROOT) == KNOWN_FAILURES
    assert KNOWN_FAILURES.tests == KNOWN_RED
