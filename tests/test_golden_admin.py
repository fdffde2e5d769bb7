"""Responses to operators at the admin paths, compared with golden bytes (tests/golden)."""

from __future__ import annotations

import pytest

from .golden import build
from .golden.files import read


@pytest.mark.parametrize("name", ["admin.http", "admin_refused.http", "admin_in_accord.http"])
def test_admin_responses_equal_the_golden_bytes(name: str) -> None:
    assert build.FILES[name]() == read(name)
