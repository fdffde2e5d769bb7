"""Frames of the simulator's wire protocol, compared with golden bytes (tests/golden)."""

from __future__ import annotations

import pytest

from .golden import bench, build
from .golden.files import lines, read


@pytest.mark.parametrize("hash_seed", ["0", "1"])
def test_the_reply_to_the_recorded_input_is_the_golden_bytes(hash_seed: str) -> None:
    assert bench.answer(read("bench_input.bin"), hash_seed) == (read("bench_answer.bin"), 0)


@pytest.mark.parametrize("name", ["bench_actions.txt", "bench_settings.txt"])
def test_generated_text_equals_the_golden_file(name: str) -> None:
    assert build.FILES[name]() == read(name)


@pytest.mark.parametrize("case", lines("bench_refused.txt"))
def test_invalid_frames_end_the_process_as_recorded(case: str) -> None:
    sent, code, written = lines("bench_refused.txt")[case].decode().replace("-", "").split(" ")
    assert bench.answer(bytes.fromhex(sent)) == (bytes.fromhex(written), int(code))


@pytest.mark.parametrize("line", bench.EVERY_SETTING.splitlines())
def test_each_line_of_the_settings_has_an_effect(line: str) -> None:
    """This ensures that the golden file differs if a path is read under another name."""
    try:
        found = build.settings_read(bench.EVERY_SETTING.replace(line + "\n", ""))
    except ValueError:
        return  # the line is required
    assert found != lines("bench_settings.txt")["every"]
