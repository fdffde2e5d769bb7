"""Datagrams of load reports, compared with golden bytes (tests/golden)."""

from __future__ import annotations

import pytest

from .golden import build
from .golden.files import lines, read

DATAGRAMS = {name: bytes.fromhex(text.decode()) for name, text in lines("load_reports.txt").items()}
READ = lines("load_reports_read.txt")


@pytest.mark.parametrize("name", ["load_reports.txt", "load_reports_read.txt"])
def test_what_is_written_is_the_golden_file(name: str) -> None:
    assert build.FILES[name]() == read(name)


@pytest.mark.parametrize("name", DATAGRAMS)
def test_a_golden_datagram_decodes_to_the_golden_text(name: str) -> None:
    assert build.load_report_read(DATAGRAMS[name]).encode() == READ[name]


@pytest.mark.parametrize("name", DATAGRAMS)
def test_a_damaged_golden_datagram_is_rejected(name: str) -> None:
    data = DATAGRAMS[name]
    damaged = (data[:-1], data + b"\0", b"hc" + data[2:], data[:2] + b"\2" + data[3:], data[:9], b"")
    assert [build.load_report_read(one) for one in damaged] == [""] * len(damaged)
