"""Parser of server lists in the JSON format of discovery."""

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
        The update for the balancer.
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
        Table of the names on the wire.
    cached
        Whether the list is the known list of the configuration, which may be out of date.

    Raises
    ------
    ValueError
        Any part of the list is malformed; there are no partial updates.
    """
    try:
        return _parse_list(data, names, cached)
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"malformed list: {error!r}") from None


def _parse_list(data: Any, names: NameTable, cached: bool) -> DiscoveryUpdate:
    version = data["version"]
    if not isinstance(version, int) or version < 0 or not isinstance(data["full"], bool):
        raise ValueError("`version` must be a whole number of at least 0, and `full` a boolean")
    servers = []
    addresses = {}
    for fields in data["servers"]:
        server_id = fields["id"]
        if not isinstance(server_id, str):
            raise ValueError("the `id` of a server must be a string")
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
        raise ValueError(f"{server_id}: `weight` and `started_ms` must be finite")
    server_address = parse_address(fields["addr"])
    server = Server(
        id=server_id,
        # A zone or kind that the settings do not name gets a number that no named one has.
        zone=names.zones.get(fields.get("zone"), len(names.zones)),
        kind=names.kinds.get(fields.get("kind"), len(names.kinds)),
        cell=int(fields.get("cell", 0)),
        state=state,
        weight=weight,
        up_since=_monotonic_start_ns(started_ms),
    )
    return server, server_address


def _monotonic_start_ns(started_ms: float) -> int:
    """Return the start time of a server (ns, monotonic clock) from wall-clock time (ms); 0 if unknown."""
    if started_ms <= 0:
        return 0
    return max(1, int(started_ms * MS) - system.wall_clock_offset)
