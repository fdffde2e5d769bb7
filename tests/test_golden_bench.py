"""Frames on the bench's wire, held against golden bytes (tests/golden)."""

from __future__ import annotations

import pytest

from .golden import bench, build
from .golden.files import lines, read


@pytest.mark.parametrize("hash_seed", ["0", "1"])
def test_the_recorded_input_is_answered_with_the_golden_bytes(hash_seed: str) -> None:
    assert bench.answer(read("bench_input.bin"), hash_seed) == (read("bench_answer.bin"), 0)


@pytest.mark.parametrize("name", ["bench_actions.txt", "bench_settings.txt"])
def test_what_is_written_is_the_golden_file(name: str) -> None:
    assert build.FILES[name]() == read(name)


@pytest.mark.parametrize("case", lines("bench_refused.txt"))
def test_an_input_that_is_no_frame_ends_as_before(case: str) -> None:
    sent, code, written = lines("bench_refused.txt")[case].decode().replace("-", "").split(" ")
    assert bench.answer(bytes.fromhex(sent)) == (bytes.fromhex(written), int(code))


@pytest.mark.parametrize("line", bench.EVERY_SETTING.splitlines())
def test_each_line_of_the_settings_counts(line: str) -> None:
    """So that a path that is read under another name makes the golden file differ."""
    try:
        found = build.settings_read(bench.EVERY_SETTING.replace(line + "\n", ""))
    except ValueError:
        return  # it must be there
    assert found != lines("bench_settings.txt")["every"]
