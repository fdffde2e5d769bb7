"""The server list in the JSON form of discovery: the only module that knows that form."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from hollybay.balancing.interface import ListKind, Server, ServerList, ServerState
from hollybay.units import MS

from . import system
from .addresses import Address, parse_address
from .name_table import NameTable

__all__ = ["DiscoveryUpdate", "parse_discovery_list"]

SERVER_STATES = {
    "SERVING": ServerState.READY,
    "DRAINING": ServerState.DRAINING,
    "DELETED": ServerState.GONE,
}


@dataclass(frozen=True, slots=True)
class DiscoveryUpdate:
    """An update of the server list.

    Attributes
    ----------
    servers
        The update as the balancer takes it.
    addresses
        Host and port of each server by its id.
    """

    servers: ServerList
    addresses: Mapping[str, Address]


def parse_discovery_list(data: object, names: NameTable, cached: bool = False) -> DiscoveryUpdate:
    """Parse a server list.

    Parameters
    ----------
    data
        The decoded JSON value.
    names
        What names on the wire stand for.
    cached
        Whether the list is an old one, from the configuration in place of discovery.

    Raises
    ------
    ValueError
        Anything in it is malformed; there are no partial updates.
    """
    try:
        return _parse_list(data, names, cached)
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"malformed list: {error!r}") from None


def _parse_list(data: Any, names: NameTable, cached: bool) -> DiscoveryUpdate:
    version = data["version"]
    if not isinstance(version, int) or version < 0 or not isinstance(data["full"], bool):
        raise ValueError("version or full")
    servers = []
    addresses = {}
    for fields in data["servers"]:
        server_id = fields["id"]
        if not isinstance(server_id, str):
            raise ValueError("id is no text")
        server, server_address = _parse_server(server_id, fields, names)
        servers.append(server)
        addresses[server_id] = server_address
    reported_kind = ListKind.FULL if data["full"] else ListKind.CHANGES
    kind = ListKind.CACHED if cached else reported_kind
    return DiscoveryUpdate(ServerList(kind, tuple(servers), version), addresses)


def _parse_server(server_id: str, fields: Any, names: NameTable) -> tuple[Server, Address]:
    state = SERVER_STATES[fields["state"]]
    weight = float(fields.get("weight", 1.0))
    started_ms = float(fields.get("started_ms", 0))
    if not math.isfinite(weight) or not math.isfinite(started_ms):
        raise ValueError(f"{server_id}: weight or started_ms")
    server_address = parse_address(fields["addr"])
    server = Server(
        id=server_id,
        # A zone or kind that the settings do not hold gets a number that none of theirs has.
        zone=names.zones.get(fields.get("zone"), len(names.zones)),
        kind=names.kinds.get(fields.get("kind"), len(names.kinds)),
        cell=int(fields.get("cell", 0)),
        state=state,
        weight=weight,
        up_since=_monotonic_start_ns(started_ms),
    )
    return server, server_address


def _monotonic_start_ns(started_ms: float) -> int:
    """Start of a server on the monotonic clock, from ms of wall-clock time; 0 if it is not known."""
    if started_ms <= 0:
        return 0
    return max(1, int(started_ms * MS) - system.wall_clock_offset)
