"""Names, labels and texts of the metrics, compared with golden texts (tests/golden)."""

from __future__ import annotations

import pytest

from .golden import build
from .golden.files import read


@pytest.mark.parametrize("name", ["metrics.txt", "metrics_of_node.http"])
def test_metrics_equal_the_golden_text(name: str) -> None:
    assert build.FILES[name]().decode() == read(name).decode()
