"""Servers that operators have taken out by hand: an overlay over what discovery tells.

Pure. While a server is out, whoever asks is told that it drains, whatever discovery says; once it is back
they are told what discovery said last. Times are ns on the node's monotonic clock.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import replace
from hashlib import blake2b

from hollybay.balancing.interface import ListKind, Server, ServerId, ServerList, ServerState

__all__ = ["Bans", "BansError", "pack", "unpack"]

VERSION = 1
# More than this many ids in a file is no list of servers that somebody took out by hand.
MOST = 10_000


class BansError(ValueError):
    """A file of bans that does not hold; the text says why."""


class Bans:
    """The servers of the list, as discovery told them last, and those that are out."""

    def __init__(self) -> None:
        self.out: set[ServerId] = set()
        self.lines: dict[
            ServerId, Server
        ] = {}  # as discovery told them last; DELETED ones are not among them

    def told(self, servers: ServerList) -> ServerList:
        """Note a list of discovery; the list as it is in force."""
        if servers.kind == ListKind.FAILED:
            return servers
        if servers.kind != ListKind.CHANGES:
            self.lines.clear()
        for line in servers.servers:
            if line.state == ServerState.GONE:
                self.lines.pop(line.id, None)
            else:
                self.lines[line.id] = line
        if not self.out:
            return servers
        return replace(servers, servers=tuple(self._overlaid(line) for line in servers.servers))

    def _overlaid(self, line: Server) -> Server:
        if line.id in self.out and line.state == ServerState.READY:
            return replace(line, state=ServerState.DRAINING)
        return line

    def known(self, server: ServerId) -> bool:
        """Whether anybody has this id: it is on the list, or out."""
        return server in self.lines or server in self.out

    def set(self, out: Iterable[ServerId], now: int) -> tuple[Server, ...]:
        """Let exactly these be out; the lines that change by it, as they are in force from now on.

        What is back counts as started now, unless discovery says later: operators take servers out to restart
        them, and the list tells of that seconds late. A server that was not restarted is then spared for as
        long as a warm-up takes, which costs less than pushing a cold one over.
        """
        wanted = set(out)
        changed = wanted ^ self.out
        back = self.out - wanted
        self.out = wanted
        lines = []
        for server in sorted(changed, key=repr):
            line = self.lines.get(server)
            if line is None:
                continue
            if server in back and line.state == ServerState.READY:
                line = replace(line, up_since=max(line.up_since, now))
            lines.append(self._overlaid(line))
        return tuple(lines)

    def avoided(self, avoids: Callable[[ServerId], bool]) -> int:
        """How many servers of the list are not used, by hand or by the node's choice (avoids)."""
        return sum(
            1
            for line in self.lines.values()
            if line.id in self.out or (line.state == ServerState.READY and avoids(line.id))
        )


def pack(out: Iterable[ServerId]) -> bytes:
    """The ids as a file: JSON with a version and a checksum over the ids."""
    ids = sorted(str(server) for server in out)
    return json.dumps({"version": VERSION, "out": ids, "sum": _sum(ids)}).encode()


def unpack(data: bytes) -> frozenset[str]:
    """The ids that a file holds; BansError where it is of another version, damaged or senseless."""
    try:
        held = json.loads(data.decode("utf-8"))
    except ValueError as error:
        raise BansError(f"no JSON: {error}") from None
    if not isinstance(held, dict) or held.get("version") != VERSION:
        raise BansError("not of this version")
    ids = held.get("out")
    if not isinstance(ids, list) or len(ids) > MOST or not all(isinstance(one, str) for one in ids):
        raise BansError("out: no list of ids")
    if held.get("sum") != _sum(ids):
        raise BansError("the checksum does not fit")
    return frozenset(ids)


def _sum(ids: list[str]) -> str:
    return blake2b("\0".join(ids).encode("utf-8", "surrogatepass"), digest_size=8).hexdigest()
