"""Compatibility with files on disk, checked against golden files (tests/golden/disk)."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from .golden import build
from .golden.files import FOLDER, read, tree

GOLDEN = FOLDER / "disk"


def test_files_are_written_as_the_golden_files() -> None:
    assert build.disk() == tree(GOLDEN)


def test_golden_files_are_read_as_the_golden_values_and_stay_unchanged(tmp_path: Path) -> None:
    copy = Path(shutil.copytree(GOLDEN, tmp_path / "copy"))
    assert build.read_disk(copy) == read("disk_as_read.txt")
    assert all((copy / name).read_bytes() == data for name, data in tree(GOLDEN).items())


def test_damaged_golden_files_are_quarantined_as_before() -> None:
    assert build.read_damaged(GOLDEN) == read("disk_damaged.txt")


@pytest.mark.parametrize("name", ["disk_as_read.txt", "disk_damaged.txt", "servers_out_refused.txt"])
def test_files_written_now_are_read_as_the_golden_values(name: str) -> None:
    assert build.FILES[name]() == read(name)
