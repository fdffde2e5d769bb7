"""Which server: a uniformly random idle one of the fastest speed class having one, else a draw by capacity.

That is SA-JIQ. A node sees only its own part of the traffic, so "idle" is corrected: each server is on the
idle lists of few nodes only, which then know what it has in hand (see _index).
"""

from __future__ import annotations

from bisect import bisect_right
from heapq import heapify, heappop, heappush
from math import log
from random import Random

from .cross_zone import CLASS_RATIO, Crossing
from .endpoints import Roster
from .estimates import Learning
from .fair_shares import cold_gap
from .interface import IDLE_PART, Effect, PeerLoad, ServerState, Settings, WeightMode
from .load_shedding import Admission
from .reported_failures import BAD, FADE, FAILING
from .retries import ANYWHERE, Scope
from .state import SECOND, Owed, Server, SpeedClass

__all__ = ["Choice"]

# Nodes of a zone on whose idle lists a server is, on average: with one, chance leaves a third of the servers
# on none, with three a twentieth; with many, none of them knows what the others do there.
OWNERS = 3.0
# Draws by capacity in search of a server to which this node has a connection at rest.
DRAWS = 4
TRIAL_PART = 0.1  # of its capacity that is offered to a server on trial after a pause
QUEUE_WEIGHT = 0.4  # of one look at what is out in the mean load of a server
# Above this share of paused capacity a shared cause is likelier than bad servers: nobody is paused any more.
PAUSED_MOST = 0.5

_Table = tuple[list[float], list[Server]]
_Index = tuple[list[SpeedClass], _Table, float]


class Choice:
    """Idle lists and draw tables, near and far, and what is picked from them."""

    def __init__(
        self, settings: Settings, roster: Roster, crossing: Crossing, admission: Admission, random: Random
    ) -> None:
        self.settings = settings
        self.roster = roster
        self.learned: Learning = crossing.learned
        self.crossing = crossing
        self.admission = admission
        self.random = random
        self.ties = 0
        self.heard = 0  # other nodes that tell what they have at servers
        self.near: list[SpeedClass] = []
        self.far: list[SpeedClass] = []
        self.near_draw: _Table = ([], [])
        self.far_draw: _Table = ([], [])
        self.kept = int(IDLE_PART * settings.idle_timeout)
        self.fastest = 1.0  # size of the largest server

    # Tables

    def rebuild(self, now: int) -> None:
        """Renew capacities, offers, classes and draw tables. Once per review or list."""
        roster, learned, crossing = self.roster, self.learned, self.crossing
        fresh = roster.freshness(now)
        here, live = self.settings.zone, self.settings.weight_mode == WeightMode.LIVE
        ready: list[Server] = []
        total = paused = 0.0
        held = {True: 0.0, False: 0.0}
        for s in roster.servers.values():
            s.pos = -1
            s.group = None
            if s.state != ServerState.READY:
                continue
            if live:
                s.nominal = roster.size_of_kind[s.kind] or 1.0
                s.load = max(0.0, s.nominal / s.weight - 1.0) * fresh
            s.size = s.nominal / learned.slow_of_kind[s.kind]
            ready.append(s)
            held[s.zone == here] += s.load * s.size
            total += s.size
            if s.paused_until > now:
                paused += s.size
        self.fastest = max((s.size for s in ready), default=1.0)
        ejecting = paused <= PAUSED_MOST * total
        zones: dict[bool, list[Server]] = {True: [], False: []}
        for s in ready:
            if not ejecting or s.paused_until <= now:
                zones[s.zone == here].append(s)
        if not zones[True]:
            zones = {True: zones[False], False: []}
            held = {True: held[False], False: 0.0}
        if crossing.near_part < 0.0 and ready:
            crossing.begin(sum(s.size for s in zones[True]), total)
        learned.renew_work()
        learned.nodes = learned.census.others(now, total)
        if not live and ready:
            out = learned.nodes * self.admission.pressure.out / len(ready)  # were all nodes like this one
            learned.queue += QUEUE_WEIGHT * (out - learned.queue)
        self.admission.weigh()
        self.near, self.near_draw, crossing.near_load = self._index(zones[True], held[True], now)
        self.far, self.far_draw, crossing.far_load = self._index(zones[False], held[False], now)

    def _index(self, servers: list[Server], held: float, now: int) -> _Index:
        if not servers:
            return [], ([], []), 0.0
        settings, roster = self.settings, self.roster
        size = sum(s.size for s in servers)
        load = sum(s.load * s.size for s in servers) / size
        slow = sum(s.slow * s.size for s in servers) / size
        by_speed = roster.stale or settings.weight_mode != WeightMode.LIVE
        # Requests that a server takes while a list is on its way, were all nodes like this one.
        each = self.learned.nodes * self.learned.rate / len(roster.servers)
        turn = max(1.0, each * (SECOND + roster.list_every) / SECOND)
        for s in servers:
            # What a server holds above the mean is worked off over the time until lists tell of it; more
            # would swing.
            tilt = max(0.1, min(2.0, 1.0 + (load - s.load) / turn))
            if by_speed:
                tilt *= (slow / s.slow) ** 0.5
            s.warmth = roster.warmth(s, now)
            if s.told_until <= now:
                s.told *= FADE  # else a server that is avoided could not show that it is well again
            s.cap = s.size * s.warmth * tilt * (1.0 - (s.told if s.told_until > now else s.fails))
            if s.trial:
                s.cap *= TRIAL_PART
        mean = self.learned.mean_work
        # The lot decides who has a server on its idle lists: few nodes, or where nodes talk all that fit.
        listed = self.learned.room.listed(now, OWNERS * settings.zones, self.learned.nodes, self.heard)
        classes: dict[int, SpeedClass] = {}
        bounds: list[float] = []
        drawn: list[Server] = []
        reach = 0.0
        bad = all(s.told >= BAD for s in servers)
        scale = log(CLASS_RATIO)
        dealt = self.learned.census.for_cold(self.learned.nodes)
        for s in servers:
            speed = round(log(s.size) / scale)
            group = classes.get(speed)
            if group is None:
                group = classes[speed] = SpeedClass()
            s.group = group
            s.listed = s.trial or (s.told < BAD and (s.lot < listed or s.warmth < 1.0))
            if s.warmth < 1.0:
                # This node's part of what a starting server stands, whatever the traffic.
                s.cold_gap = cold_gap(mean, s.size, s.warmth, settings.overload_multiple, dealt)
                if s.cold_at < 0 or s.cold_at > now + s.cold_gap:
                    # New, or the gap has shrunk since: what a request adds is known better by now.
                    s.cold_at = now + int(self.random.random() * s.cold_gap)
            if s.listed and not s.held:
                if s.warmth < 1.0:
                    s.free_at = max(s.free_at, s.cold_at)
                if s.free_at <= now:
                    s.pos = len(group.idle)
                    group.idle.append(s)
                else:
                    self.ties += 1
                    group.waking.append((s.free_at, self.ties, s))
            if not s.trial and (s.told < BAD or bad):
                reach += s.cap
                bounds.append(reach)
                drawn.append(s)
        for group in classes.values():
            heapify(group.waking)
        ordered = [classes[speed] for speed in sorted(classes, reverse=True)]
        return ordered, (bounds, drawn), held / sum(s.size * s.warmth for s in servers)

    def unidle(self, s: Server) -> None:
        """A server has work of this node: off its idle list."""
        if s.pos >= 0 and s.group is not None:
            idle = s.group.idle
            last = idle.pop()
            if last is not s:
                idle[s.pos] = last
                last.pos = s.pos
            s.pos = -1

    def rest(self, s: Server) -> None:
        """Take a server for idle again, once its time has come, if nothing of this node is at work there."""
        if not s.held and s.group is not None and s.pos < 0 and s.listed:
            self.ties += 1
            heappush(s.group.waking, (s.free_at, self.ties, s))

    def hear(self, event: PeerLoad) -> None:
        """Others tell what they have at servers: then each knows which are idle, and needs no lot for it."""
        self.heard = event.nodes
        for s in filter(None, map(self.roster.servers.get, event.in_flight)):
            s.held, s.others = max(0, s.held - s.others + event.in_flight[s.id]), event.in_flight[s.id]
            self.unidle(s) if s.held else self.rest(s)

    def leave_out(self, s: Server) -> None:
        """A server is paused: nothing goes there until a review finds the pause over."""
        self.unidle(s)
        s.group = None

    # Picks

    def idle_near(self, now: int) -> Server | None:
        """An idle server of the fastest speed class near that has one."""
        return self._idle_of(self.near, now)

    def _idle_of(self, classes: list[SpeedClass], now: int) -> Server | None:
        for group in classes:
            waking = group.waking
            idle = group.idle
            while waking and waking[0][0] <= now:
                s = heappop(waking)[2]
                if s.pos < 0 and not s.held and s.free_at <= now and s.group is group:
                    s.pos = len(idle)
                    idle.append(s)
            if idle:
                return idle[int(self.random.random() * len(idle))]
        return None

    def _drawn_from(self, table: _Table, now: int) -> Server | None:
        """A draw by capacity: of a few the first with a kept connection and nothing of this node in hand.

        A connection costs the server work, its first request time, and all nodes together a price: a draw
        from all servers comes back to each only after its connection was closed as idle.
        """
        bounds, servers = table
        if not servers:
            return None
        first: Server | None = None
        for _ in range(DRAWS):
            at = bisect_right(bounds, self.random.random() * bounds[-1])
            s = servers[min(at, len(servers) - 1)]
            if s.warmth < 1.0 and s.cold_at > now:
                continue
            if s.held == s.others and s.answered > now - self.kept:
                return s
            first = first or s
        return first

    def _far(self, now: int) -> Server | None:
        return self._idle_of(self.far, now) or self._drawn_from(self.far_draw, now)

    def _returned(self, request: Owed, now: int) -> Server | None:
        """A server that came back from a drain, once: how it does is not known yet, and the ordinary path may
        not come to it for long, if it is slow or far."""
        back = self.roster.back
        while back:
            s = self.roster.servers.get(back[-1])
            if s is None or s.state != ServerState.READY:
                back.pop()
                continue
            if s.group is None or s.held or max(s.free_at, s.cold_at) > now or self._denies(s, request, now):
                return None
            back.pop()
            return s
        return None

    def pick(self, request: Owed, now: int) -> Server | None:
        """The server of a request's next attempt, wherever it may go; None: none may be used now."""
        tried = request.tries
        if self.roster.back and not tried:
            s = self._returned(request, now)
            if s is not None:
                return s
        away = self.crossing.away(tried) if self.far else 0.0
        for _ in range(4):
            s = None
            if away > 0.0 and self.random.random() < away:
                s = self._far(now)
            if s is None:
                s = self._idle_of(self.near, now)
                if s is None:
                    s = self._drawn_from(self.near_draw, now)
                    if s is not None and s.held and self.far and not self.learned.reach.far_lost:
                        s = self.crossing.across(request.cls, s, self._far(now))
            if s is None:
                s = self._far(now)
            if s is None or not (self._denies(s, request, now) or any(t.server is s for t in tried)):
                return s
        if s is not None and self._denies(s, request, now):
            return self.pick_within(request, ANYWHERE, now) or s
        return s

    def pick_within(self, request: Owed, scope: Scope, now: int) -> Server | None:
        """A server of one cell or zone that has not been tried: keyed repeats are rare, so a scan is fine."""
        tried = [t.server for t in request.tries]
        fit = [
            s
            for s in self.roster.servers.values()
            if not (s.group is None or s.trial or s.warmth < 1.0) and scope.allows(s) and s not in tried
        ]
        return min(fit, key=lambda s: (self._denies(s, request, now), s.held, -s.cap)) if fit else None

    def _denies(self, s: Server, request: Owed, now: int) -> bool:
        """Whether a server lately turned this tenant away, or may fail what must not be repeated."""
        unsafe = self.settings.classes[request.cls].effect == Effect.UNSAFE
        # Where all others are full the chance that it fails is better than a refusal.
        if unsafe and s.told > FAILING and self.admission.pressure.wait(now) < self.admission.shortest_aim:
            return True
        return bool(s.denied) and s.denied.get(request.tenant, 0) > now
