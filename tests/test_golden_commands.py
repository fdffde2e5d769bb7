"""Output and exit codes of the command line, compared with golden texts (tests/golden)."""

from __future__ import annotations

import pytest

from .golden import build
from .golden.files import read


@pytest.mark.parametrize("name", ["command_help.txt", "operator_files.txt", "node_without_configuration.txt"])
def test_commands_print_the_golden_text(name: str) -> None:
    assert build.FILES[name]().decode() == read(name).decode()
