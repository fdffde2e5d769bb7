"""Names on the wire and the numbers that the balancer uses for them.

Server lists of discovery and load reports of servers are parsed here, as both are full of such names.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from hollybay.balancing.interface import ListKind, Server, ServerList, ServerState
from hollybay.units import MS

from . import system
from .addresses import Address, parse_address

__all__ = ["DiscoveryUpdate", "NameTable"]

SERVER_STATES = {
    "SERVING": ServerState.READY,
    "DRAINING": ServerState.DRAINING,
    "DELETED": ServerState.GONE,
}
# Fields of load reports as the protocol names them, by the names that the settings use.
PROTOCOL_REPORT_FIELDS = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}
TEXT_REPORT_FORMAT = "TEXT"


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


@dataclass(frozen=True, slots=True)
class NameTable:
    """Numbers of the names of a deployment, from its settings.

    Attributes
    ----------
    classes, tenants, zones, kinds
        Number by name.
    report_fields
        Fields of a load report in the order that the balancer expects.
    """

    classes: Mapping[str, int]
    tenants: Mapping[str, int]
    zones: Mapping[str, int]
    kinds: Mapping[str, int]
    report_fields: tuple[str, ...]

    def parse_update(self, data: object, cached: bool = False) -> DiscoveryUpdate:
        """Parse a server list in the JSON form of discovery.

        Parameters
        ----------
        data
            The decoded JSON value.
        cached
            Whether the list is an old one, from the configuration in place of discovery.

        Raises
        ------
        ValueError
            Anything in it is malformed; there are no partial updates.
        """
        try:
            return self._parse_update(data, cached)
        except (KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"malformed list: {error!r}") from None

    def _parse_update(self, data: Any, cached: bool) -> DiscoveryUpdate:
        version = data["version"]
        if not isinstance(version, int) or version < 0 or not isinstance(data["full"], bool):
            raise ValueError("version or full")
        servers = []
        addresses = {}
        for fields in data["servers"]:
            server_id = fields["id"]
            if not isinstance(server_id, str):
                raise ValueError("id is no text")
            server, server_address = self._parse_server(server_id, fields)
            servers.append(server)
            addresses[server_id] = server_address
        reported_kind = ListKind.FULL if data["full"] else ListKind.CHANGES
        kind = ListKind.CACHED if cached else reported_kind
        return DiscoveryUpdate(ServerList(kind, tuple(servers), version), addresses)

    def _parse_server(self, server_id: str, fields: Any) -> tuple[Server, Address]:
        state = SERVER_STATES[fields["state"]]
        weight = float(fields.get("weight", 1.0))
        started_ms = float(fields.get("started_ms", 0))
        if not math.isfinite(weight) or not math.isfinite(started_ms):
            raise ValueError(f"{server_id}: weight or started_ms")
        server_address = parse_address(fields["addr"])
        server = Server(
            id=server_id,
            # A zone or kind that the settings do not hold gets a number that none of theirs has.
            zone=self.zones.get(fields.get("zone"), len(self.zones)),
            kind=self.kinds.get(fields.get("kind"), len(self.kinds)),
            cell=int(fields.get("cell", 0)),
            state=state,
            weight=weight,
            up_since=_monotonic_start_ns(started_ms),
        )
        return server, server_address

    def parse_load_report(self, text: str) -> tuple[float, ...]:
        """Parse a server's load report.

        A deployment may use the field names of its settings or those of the protocol.

        Returns
        -------
        tuple of float
            The values in the order of `report_fields`; empty if the report is malformed or incomplete.
        """
        report_format, _, rest = text.strip().partition(" ")
        if report_format.upper() != TEXT_REPORT_FORMAT:
            return ()
        values = {}
        for assignment in rest.split(","):
            field, _, number = assignment.partition("=")
            try:
                values[field.strip()] = float(number)
            except ValueError:
                return ()
        report = tuple(
            values.get(field, values.get(PROTOCOL_REPORT_FIELDS.get(field, field), math.nan))
            for field in self.report_fields
        )
        return report if all(map(math.isfinite, report)) else ()


def _monotonic_start_ns(started_ms: float) -> int:
    """Start of a server on the monotonic clock, from ms of wall-clock time; 0 if it is not known."""
    if started_ms <= 0:
        return 0
    return max(1, int(started_ms * MS) - system.wall_clock_offset)
