"""Files on disk of an older build, held against golden bytes (tests/golden/disk)."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from .golden import build
from .golden.files import FOLDER, read, tree

GOLDEN = FOLDER / "disk"


def test_the_same_values_are_written_as_the_golden_files() -> None:
    assert build.disk() == tree(GOLDEN)


def test_golden_files_are_read_to_the_golden_values_and_stay(tmp_path: Path) -> None:
    copy = Path(shutil.copytree(GOLDEN, tmp_path / "copy"))
    assert build.read_disk(copy) == read("disk_as_read.txt")
    assert all((copy / name).read_bytes() == data for name, data in tree(GOLDEN).items())


def test_damaged_golden_files_are_set_aside_as_before() -> None:
    assert build.read_damaged(GOLDEN) == read("disk_damaged.txt")


@pytest.mark.parametrize("name", ["disk_as_read.txt", "disk_damaged.txt", "servers_out_refused.txt"])
def test_what_is_written_now_is_read_alike(name: str) -> None:
    assert build.FILES[name]() == read(name)
