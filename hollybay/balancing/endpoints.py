"""The servers of the lists that service discovery sends, and the age of the last list."""

from __future__ import annotations

from math import isfinite

from .interface import ListKind, ServerId, ServerList, ServerState, Settings, WeightMode
from .interface import Server as ServerEntry
from .outlier_ejection import FIRST_EJECTION_NS
from .rendezvous import rendezvous_rank
from .state import TrackedServer
from .units import SECOND

__all__ = ["Endpoints"]

# The weight of one interval between two lists in the moving mean; intervals longer than MAX_INTERVAL_NS
# count as MAX_INTERVAL_NS.
INTERVAL_WEIGHT = 0.2
MAX_INTERVAL_NS = 2 * SECOND
# A list is overdue after this many mean intervals; each further interval multiplies reported loads by
# OVERDUE_DECAY.
OVERDUE_INTERVALS = 2.0
OVERDUE_DECAY = 0.5


class Endpoints:
    """All servers that a list has contained and that have not been removed since.

    Parameters
    ----------
    settings
        The node's settings.
    now
        The time (ns).

    Attributes
    ----------
    servers
        The servers by id. A server that is gone is kept until all attempts there have ended.
    ready_after_drain
        Ids of servers that have become ready after draining and have not been used since.
    list_interval
        The mean time (ns) between two lists.
    stale
        Whether the list is overdue by more than one mean interval.
    max_weight_by_kind
        The largest weight seen, by kind of machine, where weights follow load (WeightMode.LIVE).
    """

    def __init__(self, settings: Settings, now: int) -> None:
        self.settings = settings
        self.servers: dict[ServerId, TrackedServer] = {}
        self.ready_after_drain: list[ServerId] = []
        self.last_list_at = now
        self.list_interval = float(SECOND)
        self.stale = False
        self.max_weight_by_kind = [0.0] * settings.kinds

    def apply(self, event: ServerList, now: int) -> None:
        """Apply a list that was received at a time (ns)."""
        gap = min(now - self.last_list_at, MAX_INTERVAL_NS)
        self.list_interval += INTERVAL_WEIGHT * (gap - self.list_interval)
        self.last_list_at = now
        seen = set()
        for entry in event.servers:
            server = self.servers.get(entry.id)
            if server is None:
                if entry.state == ServerState.GONE:
                    continue
                server = self._add(entry.id)
            seen.add(entry.id)
            self._update(server, entry, now)
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            for server in self.servers.values():
                if server.id not in seen:
                    server.state = ServerState.GONE
        self._remove_gone()

    def _add(self, server_id: ServerId) -> TrackedServer:
        server = self.servers[server_id] = TrackedServer(server_id, FIRST_EJECTION_NS)
        server.ownership_rank = rendezvous_rank(server_id, self.settings.node, self.settings.nodes)
        return server

    def _update(self, server: TrackedServer, entry: ServerEntry, now: int) -> None:
        """Update a server from its list entry."""
        if entry.up_since and entry.up_since > server.up_since:
            self._restarted(server, entry.up_since, now)
        server.zone = entry.zone
        server.cell = entry.cell
        if server.state == ServerState.DRAINING and entry.state == ServerState.READY:
            self.ready_after_drain.append(server.id)
        server.kind = entry.kind if entry.kind < self.settings.kinds else 0
        server.state = entry.state
        if self.settings.weight_mode == WeightMode.NONE or not (
            entry.weight > 0.0 and isfinite(entry.weight)
        ):
            return
        server.weight = entry.weight
        if self.settings.weight_mode == WeightMode.LIVE:
            self.max_weight_by_kind[server.kind] = max(self.max_weight_by_kind[server.kind], entry.weight)
        else:
            server.nominal_size = entry.weight

    def _restarted(self, server: TrackedServer, up_since: int, now: int) -> None:
        """Reset what was learned about a server's previous process."""
        server.slowdown = 1.0
        server.failure_rate = 0.0
        server.ejected_until = 0
        server.next_ejection = FIRST_EJECTION_NS
        server.on_probation = False
        server.rejected_tenants = {}
        server.up_since = up_since
        if up_since + self.settings.warm_up > now:
            server.slow_start_send_at = -1

    def remove_if_gone(self, server: TrackedServer) -> None:
        """Remove a server that is gone, unless attempts still refer to it."""
        if server.state == ServerState.GONE and not server.open_attempts and not server.in_flight:
            del self.servers[server.id]

    def _remove_gone(self) -> None:
        for server in list(self.servers.values()):
            self.remove_if_gone(server)

    def update_freshness(self, now: int) -> float:
        """Update `stale`, and return the factor (0 to 1) by which reported loads are multiplied.

        Reported loads are discounted once a list is overdue, as they stay outdated while discovery is
        unreachable.
        """
        overdue = (
            max(0.0, now - self.last_list_at - OVERDUE_INTERVALS * self.list_interval) / self.list_interval
        )
        self.stale = overdue > 1.0
        return float(OVERDUE_DECAY**overdue)
