"""Parsing of admin requests from their method and target, free of I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import NamedTuple
from urllib.parse import unquote

__all__ = ["AdminOperation", "AdminRequest", "RejectedRequest", "is_policy_target", "parse_request"]


class AdminOperation(Enum):
    """The operation that an admin request names."""

    READY = "ready"
    METRICS = "metrics"
    SERVERS = "servers"
    DRAIN_SERVER = "disable"
    ENABLE_SERVER = "enable"
    DRAIN_NODE = "drain"
    RESUME_NODE = "resume"
    POLICY = "policy"


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """A valid admin request.

    Attributes
    ----------
    operation
        The requested operation.
    server
        Percent-decoded id of the server that the target names; empty if it names none.
    policy_path
        Rest of the target after `/-/policy/`, for policy requests only.
    body
        Request body of a policy request by POST; None for every other request.
    """

    operation: AdminOperation
    server: str = ""
    policy_path: str = ""
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class RejectedRequest:
    """An invalid admin request.

    Attributes
    ----------
    status
        HTTP status of the response.
    reason
        Text of the response body.
    allowed_methods
        Value of the `Allow` header; empty if there is none.
    """

    status: int
    reason: str
    allowed_methods: str = ""


class _Endpoint(NamedTuple):
    """The method and operation of a path."""

    method: str
    operation: AdminOperation


_ENDPOINTS = {
    "/-/ready": _Endpoint("GET", AdminOperation.READY),
    "/-/metrics": _Endpoint("GET", AdminOperation.METRICS),
    "/-/servers": _Endpoint("GET", AdminOperation.SERVERS),
    "/-/drain": _Endpoint("POST", AdminOperation.DRAIN_NODE),
    "/-/resume": _Endpoint("POST", AdminOperation.RESUME_NODE),
}
_SERVER_ENDPOINTS = {
    "disable": _Endpoint("POST", AdminOperation.DRAIN_SERVER),
    "enable": _Endpoint("POST", AdminOperation.ENABLE_SERVER),
}
_SERVERS_PREFIX = "/-/servers/"
_POLICY_PATH = "/-/policy"


def is_policy_target(target: str) -> bool:
    """Whether a request target belongs to the replicated policy (`/-/policy`)."""
    path = _path_of(target)
    return path == _POLICY_PATH or path.startswith(_POLICY_PATH + "/")


def parse_request(method: str, target: str) -> AdminRequest | RejectedRequest:
    """Parse an admin request; the query of the target is ignored."""
    path = _path_of(target)
    if is_policy_target(path):
        return _parse_policy_request(method, path)
    endpoint = _ENDPOINTS.get(path)
    server = ""
    if endpoint is None and path.startswith(_SERVERS_PREFIX):
        encoded_server, _, action = path[len(_SERVERS_PREFIX) :].rpartition("/")
        server = unquote(encoded_server, errors="replace")
        if server:
            endpoint = _SERVER_ENDPOINTS.get(action)
    if endpoint is None:
        return RejectedRequest(HTTPStatus.NOT_FOUND, "no such call")
    if method != endpoint.method:
        return RejectedRequest(
            HTTPStatus.METHOD_NOT_ALLOWED, f"{path} takes {endpoint.method}", endpoint.method
        )
    return AdminRequest(endpoint.operation, server)


def _parse_policy_request(method: str, path: str) -> AdminRequest | RejectedRequest:
    if method not in ("GET", "POST"):
        return RejectedRequest(HTTPStatus.METHOD_NOT_ALLOWED, f"{path} takes GET and POST", "GET, POST")
    policy_path = path[len(_POLICY_PATH) + 1 :]
    body = b"" if method == "POST" else None
    return AdminRequest(AdminOperation.POLICY, policy_path=policy_path, body=body)


def _path_of(target: str) -> str:
    return target.split("?", 1)[0]
