"""The servers as lists tell of them, and how old the news is."""

from __future__ import annotations

from math import isfinite

from .estimates import PAUSE_FIRST
from .fair_shares import place
from .interface import ListKind, ServerId, ServerList, ServerState, Settings, WeightMode
from .state import SECOND, Server

__all__ = ["Roster"]


class Roster:
    """All servers that a list has named and that are not gone."""

    def __init__(self, settings: Settings, now: int) -> None:
        self.settings = settings
        self.servers: dict[ServerId, Server] = {}
        self.back: list[ServerId] = []  # those that came back from a drain and were not used since
        self.listed = now  # the last list, and the usual time between two
        self.list_every = float(SECOND)
        self.stale = False
        self.size_of_kind = [0.0] * settings.kinds

    def take(self, event: ServerList, now: int) -> None:
        """Take in a list."""
        settings = self.settings
        seen = set()
        self.list_every += 0.2 * (min(now - self.listed, 2 * SECOND) - self.list_every)
        self.listed = now
        live = settings.weight_mode == WeightMode.LIVE
        for line in event.servers:
            s = self.servers.get(line.id)
            if s is None:
                if line.state == ServerState.GONE:
                    continue
                s = self.servers[line.id] = Server(line.id, PAUSE_FIRST)
                s.lot = place(line.id, settings.node, settings.nodes)
            seen.add(line.id)
            if line.up_since and line.up_since > s.since:
                # A new process: what was known of the old one no longer holds.
                s.slow, s.fails, s.paused_until, s.pause, s.trial = 1.0, 0.0, 0, PAUSE_FIRST, False
                s.denied = {}
                s.since = line.up_since
                if line.up_since + settings.warm_up > now:
                    s.cold_at = -1
            s.zone = line.zone
            s.cell = line.cell
            if s.state == ServerState.DRAINING and line.state == ServerState.READY:
                self.back.append(s.id)
            s.kind = line.kind if line.kind < settings.kinds else 0
            s.state = line.state
            if line.weight > 0.0 and isfinite(line.weight) and settings.weight_mode != WeightMode.NONE:
                s.weight = line.weight
                if live:
                    self.size_of_kind[s.kind] = max(self.size_of_kind[s.kind], line.weight)
                else:
                    s.nominal = line.weight
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            for s in self.servers.values():
                if s.id not in seen:
                    s.state = ServerState.GONE
        gone = [s.id for s in self.servers.values() if s.state == ServerState.GONE and not s.held]
        for sid in gone:
            del self.servers[sid]

    def freshness(self, now: int) -> float:
        """What remains of the loads that lists told: they fade once a list is overdue, as while it is out of
        reach they would steer for long."""
        overdue = max(0.0, now - self.listed - 2.0 * self.list_every) / self.list_every
        self.stale = overdue > 1.0
        return float(0.5**overdue)

    def warmth(self, s: Server, now: int) -> float:
        """Least share of its capacity that a server can do at its age."""
        warm_up = self.settings.warm_up
        age = now - s.since
        if not s.since or age >= warm_up:
            return 1.0
        cold = self.settings.cold_share
        return cold + (1.0 - cold) * max(0, age) / warm_up
