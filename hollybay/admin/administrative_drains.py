"""Servers that operators have drained: an overlay over the server list that discovery reports.

A drained server is reported as DRAINING whatever discovery says; once the drain ends, the state that
discovery reported last applies again. Free of I/O; times are nanoseconds on the node's monotonic clock.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import replace
from hashlib import blake2b
from typing import TypeGuard

from hollybay.balancing.interface import ListKind, Server, ServerId, ServerList, ServerState

__all__ = ["AdministrativeDrains", "DrainFileError", "decode_drains", "encode_drains"]

FILE_VERSION = 1
MAX_DRAINED_SERVERS = 10_000  # per file; a file with more is treated as damaged
CHECKSUM_BYTES = 8


class DrainFileError(ValueError):
    """The content of a drain file is invalid; the message gives the reason."""


class AdministrativeDrains:
    """The discovered servers and the subset that operators have drained.

    Attributes
    ----------
    discovered
        Servers by id as discovery last reported them; servers reported as gone are not included.
    drained
        Ids of the drained servers, including those that discovery no longer reports.
    """

    def __init__(self) -> None:
        self.discovered: dict[ServerId, Server] = {}
        self.drained: set[ServerId] = set()

    def update(self, servers: ServerList) -> ServerList:
        """Record an update of discovery and return it with the drains applied."""
        if servers.kind == ListKind.FAILED:
            return servers
        if servers.kind != ListKind.CHANGES:
            self.discovered.clear()
        for server in servers.servers:
            if server.state == ServerState.GONE:
                self.discovered.pop(server.id, None)
            else:
                self.discovered[server.id] = server
        if not self.drained:
            return servers
        return replace(servers, servers=tuple(self._with_drain(server) for server in servers.servers))

    def _with_drain(self, server: Server) -> Server:
        if server.id in self.drained and server.state == ServerState.READY:
            return replace(server, state=ServerState.DRAINING)
        return server

    def is_known(self, server_id: ServerId) -> bool:
        """Whether the id belongs to a discovered or a drained server."""
        return server_id in self.discovered or server_id in self.drained

    def set_drained(self, drained: Iterable[ServerId], now_ns: int) -> tuple[Server, ...]:
        """Drain exactly the given servers.

        A server whose drain ends counts as started now unless discovery reports a later start: operators
        drain servers to restart them, and discovery reports the restart seconds later. A server that was not
        restarted merely passes through slow start again.

        Parameters
        ----------
        drained
            Ids of all servers to be drained from now on.
        now_ns
            Time of the change.

        Returns
        -------
        tuple of Server
            The discovered servers whose drain began or ended, with their effective state.
        """
        wanted = set(drained)
        changed = wanted ^ self.drained
        resumed = self.drained - wanted
        self.drained = wanted
        effective = []
        for server_id in sorted(changed, key=repr):
            server = self.discovered.get(server_id)
            if server is None:
                continue
            if server_id in resumed and server.state == ServerState.READY:
                server = replace(server, up_since=max(server.up_since, now_ns))
            effective.append(self._with_drain(server))
        return tuple(effective)

    def count_excluded(self, is_avoided: Callable[[ServerId], bool]) -> int:
        """Count the discovered servers that get no requests.

        Parameters
        ----------
        is_avoided
            Whether the balancer avoids a server, for example as an outlier.
        """
        return sum(
            1
            for server in self.discovered.values()
            if server.id in self.drained or (server.state == ServerState.READY and is_avoided(server.id))
        )


def encode_drains(drained: Iterable[ServerId]) -> bytes:
    """Encode the ids of drained servers as a file: JSON with a version and a checksum of the ids."""
    ids = sorted(str(server_id) for server_id in drained)
    return json.dumps({"version": FILE_VERSION, "out": ids, "sum": _checksum(ids)}).encode()


def decode_drains(data: bytes) -> frozenset[str]:
    """Decode the content of a drain file.

    Raises
    ------
    DrainFileError
        The content is damaged or has another version.
    """
    try:
        content = json.loads(data.decode("utf-8"))
    except ValueError as error:
        raise DrainFileError(f"no JSON: {error}") from None
    if not isinstance(content, dict) or content.get("version") != FILE_VERSION:
        raise DrainFileError("not of this version")
    ids = content.get("out")
    if not _is_id_list(ids):
        raise DrainFileError("out: not a list of server ids")
    if content.get("sum") != _checksum(ids):
        raise DrainFileError("the checksum does not fit")
    return frozenset(ids)


def _is_id_list(ids: object) -> TypeGuard[list[str]]:
    if not isinstance(ids, list) or len(ids) > MAX_DRAINED_SERVERS:
        return False
    return all(isinstance(server_id, str) for server_id in ids)


def _checksum(ids: list[str]) -> str:
    joined = "\0".join(ids).encode("utf-8", "surrogatepass")
    return blake2b(joined, digest_size=CHECKSUM_BYTES).hexdigest()
