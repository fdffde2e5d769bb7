"""Operators' calls, as method and target name them. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from urllib.parse import unquote

__all__ = ["Call", "Denied", "Kind", "is_policy", "parse"]


class Kind(Enum):
    """What a call asks for."""

    READY = "ready"
    METRICS = "metrics"
    SERVERS = "servers"
    DISABLE = "disable"
    ENABLE = "enable"
    DRAIN = "drain"
    RESUME = "resume"
    POLICY = "policy"


@dataclass(frozen=True, slots=True)
class Call:
    """A call; server: the id that it names, decoded, "" where it names none.

    rest: of a policy call, what follows its name; body: what came with it, None for one that has none.
    """

    kind: Kind
    server: str = ""
    rest: str = ""
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class Denied:
    """No call: the status, its reason in words, and the method that the path has, where it has one."""

    status: int
    reason: str
    allow: str = ""


_PLAIN = {
    "/-/ready": ("GET", Kind.READY),
    "/-/metrics": ("GET", Kind.METRICS),
    "/-/servers": ("GET", Kind.SERVERS),
    "/-/drain": ("POST", Kind.DRAIN),
    "/-/resume": ("POST", Kind.RESUME),
}
_OF_SERVER = {"disable": Kind.DISABLE, "enable": Kind.ENABLE}
_SERVERS = "/-/servers/"
_POLICY = "/-/policy"


def is_policy(target: str) -> bool:
    """Whether a call is one of those by which a policy is agreed on."""
    path = target.split("?", 1)[0]
    return path == _POLICY or path.startswith(_POLICY + "/")


def parse(method: str, target: str) -> Call | Denied:
    """The call that a request line asks for. A query is ignored; an id is percent-decoded."""
    path = target.split("?", 1)[0]
    if is_policy(path):
        if method not in ("GET", "POST"):
            return Denied(405, f"{path} takes GET and POST", "GET, POST")
        return Call(Kind.POLICY, rest=path[len(_POLICY) + 1 :], body=b"" if method == "POST" else None)
    plain = _PLAIN.get(path)
    server = ""
    if plain is None and path.startswith(_SERVERS):
        name, _, what = path[len(_SERVERS) :].rpartition("/")
        kind = _OF_SERVER.get(what)
        server = unquote(name, errors="replace")
        if kind is not None and server:
            plain = ("POST", kind)
    if plain is None:
        return Denied(404, "no such call")
    allowed, kind = plain
    if method != allowed:
        return Denied(405, f"{path} takes {allowed}", allowed)
    return Call(kind, server)
