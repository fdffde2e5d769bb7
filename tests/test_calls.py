"""Operators' calls as their request lines name them."""

from __future__ import annotations

import pytest

from hollybay.admin.requests import Call, Denied, Kind, parse


@pytest.mark.parametrize(
    ("method", "target", "call"),
    [
        ("GET", "/-/ready", Call(Kind.READY)),
        ("GET", "/-/metrics?x=1", Call(Kind.METRICS)),
        ("GET", "/-/servers", Call(Kind.SERVERS)),
        ("POST", "/-/drain", Call(Kind.DRAIN)),
        ("POST", "/-/resume", Call(Kind.RESUME)),
        ("POST", "/-/servers/s-1/disable", Call(Kind.DISABLE, "s-1")),
        ("POST", "/-/servers/a%2Fb/enable", Call(Kind.ENABLE, "a/b")),
    ],
)
def test_calls(method: str, target: str, call: Call) -> None:
    assert parse(method, target) == call


@pytest.mark.parametrize(
    ("method", "target", "status", "allow"),
    [
        ("POST", "/-/ready", 405, "GET"),
        ("GET", "/-/drain", 405, "POST"),
        ("GET", "/-/servers/s-1/disable", 405, "POST"),
        ("POST", "/-/servers//disable", 404, ""),
        ("POST", "/-/servers/s-1/restart", 404, ""),
        ("POST", "/-/servers/disable", 404, ""),
        ("GET", "/", 404, ""),
    ],
)
def test_what_is_no_call(method: str, target: str, status: int, allow: str) -> None:
    denied = parse(method, target)
    assert isinstance(denied, Denied)
    assert (denied.status, denied.allow) == (status, allow)
