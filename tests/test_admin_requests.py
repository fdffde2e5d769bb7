"""Parsing of admin requests from their method and target."""

from __future__ import annotations

import pytest

from hollybay.admin.requests import AdminOperation, AdminRequest, RejectedRequest, parse_request


@pytest.mark.parametrize(
    ("method", "target", "expected"),
    [
        ("GET", "/-/ready", AdminRequest(AdminOperation.READY)),
        ("GET", "/-/metrics?x=1", AdminRequest(AdminOperation.METRICS)),
        ("GET", "/-/servers", AdminRequest(AdminOperation.SERVERS)),
        ("POST", "/-/drain", AdminRequest(AdminOperation.DRAIN_NODE)),
        ("POST", "/-/resume", AdminRequest(AdminOperation.RESUME_NODE)),
        ("POST", "/-/servers/s-1/disable", AdminRequest(AdminOperation.DRAIN_SERVER, "s-1")),
        ("POST", "/-/servers/a%2Fb/enable", AdminRequest(AdminOperation.ENABLE_SERVER, "a/b")),
    ],
)
def test_valid_requests_are_parsed(method: str, target: str, expected: AdminRequest) -> None:
    assert parse_request(method, target) == expected


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
def test_invalid_requests_are_rejected(method: str, target: str, status: int, allow: str) -> None:
    rejected = parse_request(method, target)
    assert isinstance(rejected, RejectedRequest)
    assert (rejected.status, rejected.allowed_methods) == (status, allow)
