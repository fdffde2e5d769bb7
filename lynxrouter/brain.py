"""The decisions of one node. The whole interface is in interface.py.

Ordinary path (SA-JIQ): a uniformly random idle server of the fastest speed class that has one; with none
idle, a draw by estimated capacity. A node sees only its own part of the traffic, so "idle" is corrected:
each server is on the idle lists of few nodes only, which then know what it has in hand (see _index).
"""

from __future__ import annotations

import random
from bisect import bisect_right
from heapq import heapify, heappop, heappush
from math import exp, inf, isfinite, log

from fleet import Failures, Pressure, Reach, cold_gap, first_call, heed, next_call, place
from fleet.told import BAD, FADE, FAILING, SPAN

from .interface import (  # fmt: skip
    NEVER_RAN, Action, Cancel, Effect, Event, Fail, Gone, Group, Limits, ListKind, Outcome, PeerMessage,
    ProbeResult, Refuse, Request, RequestClass, Result, Send, ServerId, ServerList, SetTimer, Settings,
    Started, State, Timer, Watch, Weights, Whole,
)  # fmt: skip

__all__ = ["Balancer", "may_refuse", "resend_scope"]

MS = 1_000_000
SECOND = 1_000_000_000

# How often estimates, gaps and draw tables are renewed: often against seconds-long troubles, rarely against
# CPU.
REVIEW = 500 * MS
# Speeds within this ratio make one class: less is within the noise of the estimates.
CLASS_RATIO = 1.25
# Further copies per request: enough for rare stragglers, too few to make a storm.
COPY_BUDGET = 0.1
# No copies while more than this share of attempts miss their aim.
COPY_MISSING = 0.1
# First pause after a server failed, doubled up to the longest.
PAUSE_FIRST, PAUSE_MOST = SECOND, 8 * SECOND
# A failure's weight in the running share of failures, and the share at which a server is paused.
FAIL_WEIGHT, FAIL_LIMIT = 0.2, 0.45
FAIL_WELL = 0.3  # under this a paused server that answers is taken back at once
# Resends per request on average, and the most that may be saved up.
RESEND_BUDGET, RESEND_SAVED = 0.5, 50.0
# Nodes of a zone on whose idle lists a server is, on average: with one, chance leaves a third of the servers
# on none, with three a twentieth; with many, none of them knows what the others do there.
OWNERS = 3.0
# Weight of one answer in what is learned of its kind of machine.
KIND_WEIGHT = 0.005
# Time-outs in a row, with no answer between, after which a server is taken for silent.
SILENT_LIMIT = 3
# A server is paused only if it fails this many times as often as the fleet: a shared cause is not its fault.
FAIL_EXCESS = 2.0
# A response counts as twice its aim at most, so that one straggler does not decide.
LATE_MOST = 2.0
# Crossing zones starts when near answers take this share of their aim, and this much more than far ones.
SPILL_FROM, SPILL_MARGIN = 0.35, 0.1
# A request crosses zones at once where that saves this part of the price in worth that would come late; under
# one, as a request that stays delays the others there, too.
CROSS_PART = 0.5
# Part of the load that the list told of a server which is likely still there: it is a second old, and a queue
# is worked off sooner.
TOLD_PART = 0.25
# Load that the list tells (requests held for each core) under which a server counts as idle when a
# request's work is learned, and the least weight of one such answer.
IDLE_LOAD, WORK_WEIGHT = 2.0, 0.02
SPILL_SLOW, SPILL_FAST = 0.1, 0.7  # gains of that: per review, and at once
# Shedding starts when attempts lose this share of their worth, being late or turned away.
SHED_FROM, SHED_MOST = 0.15, 0.98
# With fewer outcomes than this in a review's span what was lost before is no evidence of the present, and
# fades: else a share that leaves no request to learn from would be shed for ever.
SHED_HEARD, SHED_FADE = 8, 0.8
# Share that may be shed for each shortest aim that an attempt takes now beyond a part of it; a larger one
# falls to that by so much at each review.
SHED_WAIT, SHED_WAIT_FROM, SHED_LET_GO = 0.5, 0.5, 0.6
# How far below what the servers finish the admitted work goes, for each unit of worth lost, so that queues
# shrink.
SHED_DRAIN = 1.0
# A class is refused at once where what waits ahead of it would take this part of the shortest aim of those
# that are worth more for their work, the next better one at so many times as much, the best never.
#
# A guard against a jam while it grows: losses tell of it a second later, when every server holds a queue
# that makes the shortest aim late for all. It takes servers lost, out by hand or cold for what they are,
# want of room. It would do harm where what waits is worked off much faster than idle servers showed.
CROWD_PART, CROWD_STEP = 1.0, 4.0
# A node that reads requests later than this part of the shortest aim is short of its own time; the span over
# which it is judged, and the share that it turns away for each unit of lateness beyond that. In proportion to
# what is seen now: a share that had to be wound down would go on turning away after the crowd has gone.
#
# A guard against whatever makes the node itself late: more requests than its CPU can serve, clients that
# open ever new connections, a machine that is shared or slow, a pause of the process. Only turning away early
# is cheap: what is served late is lost all the same, and its client asks again. It would do harm if requests
# were read late for another reason than want of time (one that is held behind another on its connection must
# not be told as waiting), or if turning away cost as much as serving.
LAG_PART, LAG_SPAN, LAG_SLOPE = 0.1, 100 * MS, 0.25
# Weight of one span, so that one pause does not turn away much, and the most that is turned away.
LAG_WEIGHT, LAG_SHED_MOST = 0.4, 0.9
# Under this free share of the node's places the class of least worth is refused, the others the later the
# more they are worth. A place is a client's connection: where all are taken nobody is heard any more,
# whatever it is worth, and while a new version takes over the two processes share them. It would do harm
# where long waits are usual.
ROOM_FROM = 0.25
# One that was read late and has less than this part of what its answer takes is turned away at once.
HOPELESS_PART = 0.5
# Connects in a row that fail before an answer after which a server is taken for started anew.
REFUSED_LIMIT = 2
# Draws by capacity before one takes a server that this node keeps busy already.
DRAWS = 4
# Part of its capacity that is offered to a server on trial after a pause.
TRIAL_PART = 0.1
# Above this share of paused capacity a shared cause is likelier than bad servers: nobody is paused any more.
PAUSED_MOST = 0.5

# Rejections meet one tenant alone where its share of them is above the second and so many times that of the
# middle one of the others; the first is the weight of one answer in that. The server is then left out for
# that tenant for so long, and nothing is learned of load.
#
# A guard against servers that turn a tenant away for what it is, and fast: a quota, a lock, a release that
# does not know it. Taken for want of room it would shed everybody's work, and the request would not be tried
# where it is welcome. It would do harm where one tenant's requests are too much for a server that has room
# for the others'.
TURNED_WEIGHT, TURNED_FROM, TURNED_EXCESS = 0.05, 0.2, 3.0
TURNED_PAUSE = 4 * SECOND

# Repeats that the retry budget of a route saves up at most, and how many budgets are kept: those of routes
# that reloads have taken away go first.
ROUTE_SAVED, ROUTE_BUDGETS = 10.0, 4096

TOKEN_WAKE = 1


class _Server:
    """What this node knows of a server."""

    __slots__ = (
        "answered", "cap", "cell", "cold_at", "cold_gap", "denied", "fails", "free_at", "group", "held", "id",
        "kind", "listed", "load", "lot", "nominal", "pause", "paused_until", "pos", "refused", "silent",
        "since", "size", "slow", "state", "told", "told_until", "trial", "warmth", "weight", "zone",
    )  # fmt: skip

    def __init__(self, sid: ServerId) -> None:
        self.id = sid
        self.zone = self.kind = self.cell = 0
        self.state = State.READY
        self.weight = 1.0
        self.since = 0  # start of its process, 0: long ago
        self.nominal = 1.0  # size as the list has it
        self.size = 1.0  # estimated capacity when warm and well, relative to others
        self.cap = 1.0  # estimated present capacity
        self.lot = 0.0  # this node's lot for it, evenly drawn from 0 to 1
        self.listed = True  # whether it may join this node's idle lists
        self.warmth = 1.0  # share of its capacity that it has at its age, at the least
        self.free_at = 0  # from when this node may take it for idle again
        self.cold_gap = 0  # time that the cold budget sets between this node's sends while the server is cold
        self.cold_at = -1  # from when the cold budget allows the next
        self.held = 0  # this node's attempts out there
        self.pos = -1  # place in its class's idle list, -1: not in it
        self.group: _SpeedClass | None = None
        self.load = 0.0  # requests held for each core, where the list tells
        self.slow = 1.0  # response time relative to what its size promises
        self.fails = 0.0  # running share of failures
        self.told = 0.0  # share of failures as the server tells it, in force until told_until
        self.told_until = 0
        self.refused = 0  # connects that failed since the last answer
        self.silent = 0  # time-outs since the last answer
        self.answered = 0  # last answer of any kind
        self.paused_until = 0
        self.pause = PAUSE_FIRST
        self.denied: dict[int, int] = {}  # until when it is left out, by tenant that it turns away
        self.trial = False  # one attempt is out to see whether it is well again


class _SpeedClass:
    """Servers of about one speed, near or far, with an indexed list of the idle ones."""

    __slots__ = ("idle", "waking")

    def __init__(self) -> None:
        self.idle: list[_Server] = []
        self.waking: list[tuple[int, int, _Server]] = []  # heap of (free_at, tie-break, server)


class _Request:
    """A request this node owes an answer, or whose attempts are still out."""

    __slots__ = (
        "cls", "cost", "deadline", "done", "id", "limits", "out", "sending", "streaming", "tenant", "tries",
        "waiting",
    )  # fmt: skip

    def __init__(self, event: Request, now: int) -> None:
        self.id = event.id
        self.cls = event.cls
        self.tenant = event.tenant
        self.cost = event.cost
        self.limits = event.limits
        self.sending = event.sending
        self.deadline = now + event.time_left
        self.tries: list[_Try] = []
        self.out = 0
        self.done = False
        self.waiting = False
        self.streaming = False


class _Try:
    """One attempt; result None: still out."""

    __slots__ = ("beside", "cell", "counted", "result", "sent", "server", "zone")

    def __init__(self, server: _Server, sent: int) -> None:
        self.server = server
        self.beside = server.held  # this node's other attempts there when it was sent
        self.zone = server.zone
        self.cell = server.cell
        self.sent = sent
        self.counted = False  # its server is at work on it, as far as this node knows
        self.result: Result | None = None


class Scope:
    """Where a further attempt may go: anywhere, or within one zone or cell."""

    __slots__ = ("cell", "zone")

    def __init__(self, zone: int = -1, cell: int = -1) -> None:
        self.zone = zone
        self.cell = cell

    def allows(self, server: _Server) -> bool:
        return (self.zone < 0 or server.zone == self.zone) and (self.cell < 0 or server.cell == self.cell)


ANYWHERE = Scope()


def resend_scope(
    cls: RequestClass, tries: list[_Try], now: int, copies_allowed: bool, most: int, slack: int = 0
) -> Scope | None:
    """The guard of every further attempt: where it may go, or None. Against effects that happen twice."""
    if len(tries) >= most:
        return None
    first: _Try | None = None
    for t in tries:
        if t.result is None and not copies_allowed:
            return None
        if first is None and t.result not in NEVER_RAN:
            first = t
    if first is None or cls.effect == Effect.SAFE:
        return ANYWHERE
    if cls.effect == Effect.UNSAFE or now - first.sent >= cls.window - slack:
        return None
    if cls.group == Group.CELL:
        return Scope(cell=first.cell)
    if cls.group == Group.ZONE:
        return Scope(zone=first.zone)
    return ANYWHERE


def limited_scope(
    cls: RequestClass, tries: list[_Try], now: int, scope: Scope | None, limits: Limits, slack: int
) -> Scope | None:
    """What an operator's limits leave of a further attempt that the guard allows; they only narrow it."""
    if scope is None or (limits.attempts and len(tries) >= limits.attempts):
        return None
    first = next((t for t in tries if t.result not in NEVER_RAN), None)
    if first is None or cls.effect != Effect.KEYED:
        return scope
    if limits.repeat_window and now - first.sent >= limits.repeat_window - slack:
        return None
    if limits.repeat_group == Group.CELL:
        return Scope(scope.zone, first.cell)
    if limits.repeat_group == Group.ZONE and scope.cell < 0:
        return Scope(zone=first.zone)
    return scope


def may_refuse(cls: RequestClass, tries: list[_Try]) -> bool:
    """The guard of every refusal, which tells the client that trying again is harmless."""
    if cls.effect == Effect.SAFE:
        return True
    if cls.effect == Effect.KEYED and cls.group == Group.ALL:
        return True
    return all(t.result in NEVER_RAN for t in tries)


class Balancer:
    """Decides for one node. handle() takes one event and returns what to do, in order."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = now
        self.actions: list[Action] = []
        self.servers: dict[ServerId, _Server] = {}
        self.requests: dict[int, _Request] = {}
        self.back: list[ServerId] = []  # those that came back from a drain and were not used since
        self.near: list[_SpeedClass] = []
        self.far: list[_SpeedClass] = []
        self.near_draw: tuple[list[float], list[_Server]] = ([], [])
        self.far_draw: tuple[list[float], list[_Server]] = ([], [])
        self.started = False
        self.wakes: list[tuple[int, int, int, int]] = []  # (due, tie-break, what, request id)
        self.ties = 0
        self.armed = 0  # the earliest time a timer is set for, 0: none
        self.reviewed = now
        self.arrived = 0  # requests since the last review
        self.rate = 0.0  # requests a second, smoothed
        self.failures = Failures(settings.report_fields)
        self.reach = Reach()
        self.pressure = Pressure(now)
        self.heed = heed(0.0)  # weight of one answer in what is learned of lateness
        self.near_part = -1.0  # share of requests that need not cross, negative: not known yet
        self.stale = False
        self.crossed = now
        self.spill = 0.0  # share of requests sent to far zones
        self.near_late = 0.0  # mean response time as a share of the aim, near and far
        self.far_late = 0.0
        self.near_load = self.far_load = 0.0
        self.listed = now  # the last list, and the usual time between two
        self.list_every = float(SECOND)
        self.failing = 0.0  # share of attempts that fail, over all servers
        self.shed = 0.0  # share of the work that is refused
        self.shed_class = [0.0] * len(settings.classes)
        self.turned = [0.0] * len(settings.tenants)  # share of answers that are rejections, by tenant
        self.lag_shed = 0.0  # share of the requests that is refused as this node is late itself
        self.lag_class = [0.0] * len(settings.classes)
        # The free share of places under which a class is refused.
        self.room_class = [
            ROOM_FROM * (1.0 - sum(o.worth < c.worth for o in settings.classes) / len(settings.classes))
            for c in settings.classes
        ]
        self.lag_since = now
        self.lag_sum = self.lag_count = 0
        self.fastest = 1.0  # size of the largest server
        self.count = [0.0] * len(settings.classes)
        self.done = [0.0] * len(settings.classes)
        self.worth_lost = self.worth_asked = 0.0  # worth of late and failed attempts, and of all
        self.heard = 0  # outcomes that tell of load since the last review
        self.missing = 0.0  # the first as a share of the second
        self.copies = 0.0
        self.resends = RESEND_SAVED / 5
        self.route_saved: dict[str, float] = {}  # repeats that routes with a retry budget have left
        self.ratio = 1.0  # mean of response times relative to their class's mean
        self.size_of_kind = [0.0] * settings.kinds
        # Response time of a kind relative to what its listed size promises.
        self.slow_of_kind = [1.0] * settings.kinds
        # Mean response time x size (x 1/cost hint), by class.
        self.base = [0.0] * len(settings.classes)
        # Mean time that one request takes at an idle server of size 1, by class, and how many told of it.
        self.work: list[float] = [0.0] * len(settings.classes)
        self.work_time, self.work_share = [0.0] * len(settings.classes), [0.0] * len(settings.classes)
        self.work_seen = [0] * len(settings.classes)
        self.mean_work = 0.0
        self.crowd = [inf] * len(settings.classes)
        self.ask_failed = 0  # calls for the list that failed in a row
        self.longest_aim = max(c.aim for c in settings.classes)
        self.shortest_aim = min(c.aim for c in settings.classes)
        self.lag_aim = LAG_PART * self.shortest_aim

    # Events

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event; the actions that answer it."""
        self.now = now
        self.actions = []
        if type(event) is Outcome:
            self._outcome(event)
        elif type(event) is Request:
            self._request(event)
        elif type(event) is Timer:
            self._timer()
        elif type(event) is ServerList:
            self._server_list(event)
        elif type(event) is Gone:
            self._gone(event)
        elif type(event) is Started:
            self._started(event)
        elif type(event) is Whole:
            self._whole(event)
        elif type(event) is ProbeResult or type(event) is PeerMessage:
            pass
        if self.wakes and (not self.armed or self.wakes[0][0] < self.armed):
            self.armed = max(self.wakes[0][0], now + 1)
            self.actions.append(SetTimer(self.armed - now, TOKEN_WAKE))
        return self.actions

    def avoids(self, server: ServerId) -> bool:
        """Whether nothing new goes to a server that the list offers."""
        s = self.servers.get(server)
        return s is not None and s.group is None

    def _wake(self, due: int, what: int, rid: int) -> None:
        self.ties += 1
        heappush(self.wakes, (due, self.ties, what, rid))

    def _timer(self) -> None:
        if self.armed and self.armed <= self.now:
            self.armed = 0
        while self.wakes and self.wakes[0][0] <= self.now:
            _, _, what, rid = heappop(self.wakes)
            if what == 0:
                self._review()
                self._wake(self.now + REVIEW, 0, 0)
            elif what == 1:
                request = self.requests.get(rid)
                if request is not None and not request.done:
                    self._copy(request)
            elif what == 2:
                request = self.requests.get(rid)
                if request is not None and not request.done and request.waiting:
                    request.waiting = False
                    self._again(request)
            elif what == 3:
                self.actions.append(Watch(True))

    def _server_list(self, event: ServerList) -> None:
        now, nodes = self.now, self.settings.nodes
        if not self.started:
            self.started = True
            self._wake(now + REVIEW, 0, 0)
            if self.settings.must_ask and event.kind == ListKind.CACHED:
                turn = place("calls", self.settings.node, nodes)
                self._wake(now + first_call(turn, nodes, self.settings.must_ask_within), 3, 0)
        if event.kind == ListKind.FAILED:
            self.ask_failed += 1
            within = self.settings.must_ask_within
            self._wake(now + next_call(self.ask_failed, nodes, within, self.random.random()), 3, 0)
            return
        if event.kind != ListKind.CACHED:
            self.ask_failed = 0
        seen = set()
        self.list_every += 0.2 * (min(now - self.listed, 2 * SECOND) - self.list_every)
        self.listed = now
        live = self.settings.weights == Weights.LIVE
        for line in event.servers:
            s = self.servers.get(line.id)
            fresh = s is None
            if s is None:
                if line.state == State.GONE:
                    continue
                s = self.servers[line.id] = _Server(line.id)
                s.lot = place(line.id, self.settings.node, nodes)
            seen.add(line.id)
            if line.up_since and line.up_since > s.since:
                # A new process: what was known of the old one no longer holds.
                s.slow, s.fails, s.paused_until, s.pause, s.trial = 1.0, 0.0, 0, PAUSE_FIRST, False
                s.denied = {}
                s.since = line.up_since
                if line.up_since + self.settings.warm_up > now:
                    s.cold_at = -1
            s.zone = line.zone
            s.cell = line.cell
            if s.state == State.DRAINING and line.state == State.READY:
                self.back.append(s.id)
            s.kind = line.kind if line.kind < self.settings.kinds else 0
            s.state = line.state
            if line.weight > 0.0 and isfinite(line.weight) and self.settings.weights != Weights.NONE:
                s.weight = line.weight
                if live:
                    if line.weight > self.size_of_kind[s.kind]:
                        self.size_of_kind[s.kind] = line.weight
                else:
                    s.nominal = line.weight
            if fresh and not live:
                s.slow = 1.0
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            for s in self.servers.values():
                if s.id not in seen:
                    s.state = State.GONE
        gone = [s.id for s in self.servers.values() if s.state == State.GONE and not s.held]
        for sid in gone:
            del self.servers[sid]
        self._rebuild()
        self._cross()

    # Estimates

    def _review(self) -> None:
        span = self.now - self.reviewed
        if span > 0:
            measured = self.arrived * SECOND / span
            self.rate = measured if self.rate == 0.0 else 0.5 * (self.rate + measured)
            self.heed = heed(self.rate)
            self.arrived = 0
            self.reviewed = self.now
            self._cross()
            self._steer()
        self._rebuild()

    def _cross(self) -> None:
        """Renew the share that crosses zones: when loads are told and at every review."""
        if self.near_part < 0.0:
            return
        price = self.settings.prices.crossing
        error = 0.0
        if self.settings.weights == Weights.LIVE and not self.stale:
            error = log((1.0 + self.near_load) / max((1.0 + self.far_load) * CLASS_RATIO, 2.0 + 10.0 * price))
        late = log(max(self.near_late, 0.01) / max(self.far_late + SPILL_MARGIN + price, SPILL_FROM))
        # Proportional and integral: the first answers a queue that grows, the second holds what has to
        # cross for long.
        error = max(-1.0, min(1.0, late if error == 0.0 else 0.5 * (error + late)))
        span = min(REVIEW, self.now - self.crossed) / REVIEW
        self.crossed = self.now
        self.near_part = min(1.0, max(0.1, self.near_part * exp(-SPILL_SLOW * span * error)))
        self.far_late += 0.1 * span * (0.5 * self.near_late - self.far_late)
        self.spill = max(0.0, 1.0 - self.near_part * min(1.0, exp(-SPILL_FAST * error))) if self.far else 0.0

    def _steer(self) -> None:
        """Renew the share that is shed."""
        if self.heard < SHED_HEARD:
            self.worth_lost *= SHED_FADE ** (1.0 - self.heard / SHED_HEARD)
            self.missing = self.worth_lost / self.worth_asked if self.worth_asked > 0.0 else 0.0
        self.heard = 0
        # While answers are late the servers are never without work: what they finish is what they can do.
        offered = sum(n * b for n, b in zip(self.count, self.base, strict=True))
        done = sum(n * b for n, b in zip(self.done, self.base, strict=True))
        if self.missing > SHED_FROM and offered > 0.0:
            drain = 1.0 - SHED_DRAIN * min(0.5, self.missing - SHED_FROM)
            self.shed += 0.7 * (min(SHED_MOST, max(0.0, 1.0 - drain * done / offered)) - self.shed)
        else:
            self.shed = 0.7 * self.shed if self.shed > 0.01 else 0.0
        # What is out tells sooner than answers, and much sooner than lists, that a jam is over.
        most = SHED_WAIT * (self.pressure.wait(self.now) / self.shortest_aim - SHED_WAIT_FROM)
        self.shed = min(self.shed, max(SHED_LET_GO * self.shed, most))
        classes = self.settings.classes
        # The least worth for each unit of work goes first.
        work = [n * b for n, b in zip(self.count, self.base, strict=True)]
        left = self.shed * sum(work)
        by_worth = sorted(range(len(classes)), key=lambda c: classes[c].worth / max(self.base[c], 1.0))
        for c in by_worth:
            self.shed_class[c] = min(1.0, left / work[c]) if work[c] > 0.0 else 0.0
            left = max(0.0, left - work[c])
            self.count[c] *= 0.7
            self.done[c] *= 0.7

    def _note_lag(self, waited: int) -> None:
        """Renew the share that is refused because this node reads requests late."""
        self.lag_sum += waited
        self.lag_count += 1
        span = self.now - self.lag_since
        if span < LAG_SPAN:
            return
        late = self.lag_sum / self.lag_count / self.lag_aim - 1.0
        share = max(0.0, min(LAG_SHED_MOST, LAG_SLOPE * late))
        # Spans in which nothing came saw no lateness: what was seen before them is as old as they are long.
        self.lag_shed *= (1.0 - LAG_WEIGHT) ** min(50.0, span / LAG_SPAN - 1.0)
        self.lag_shed += LAG_WEIGHT * (share - self.lag_shed)
        if self.lag_shed < 0.01:
            self.lag_shed = 0.0
        self.lag_since = self.now
        self.lag_sum = self.lag_count = 0
        # Here each request costs about the same, whatever its work at a server: the least worth goes first.
        classes = self.settings.classes
        left = self.lag_shed * sum(self.count)
        for c in sorted(range(len(classes)), key=lambda c: classes[c].worth):
            self.lag_class[c] = min(1.0, left / self.count[c]) if self.count[c] > 0.0 else 0.0
            left = max(0.0, left - self.count[c])

    def _crowds(self, cls: int, s: _Server) -> bool:
        """Whether a request would keep better ones waiting for too long at a server that is not idle."""
        ahead = self.mean_work * max(float(s.held), TOLD_PART * s.load) / (s.size * s.warmth)
        return ahead > self.crowd[cls]

    def _weigh(self) -> None:
        """Renew the mean work, and how much (ns) may wait ahead of each class."""
        classes = self.settings.classes
        self.mean_work = self._mean_work()
        least_first = sorted(range(len(classes)), key=lambda c: classes[c].worth / max(self.work[c], 1.0))
        self.crowd = [inf] * len(classes)
        if not any(self.work_seen):
            return
        for n, c in enumerate(least_first[:-1]):
            aim = min(classes[better].aim for better in least_first[n + 1 :])
            self.crowd[c] = CROWD_PART * CROWD_STEP**n * aim

    def _sheds(self, cls: int, s: _Server | None) -> bool:
        """Whether a request is refused for the load: by its class's share, or by what waits already."""
        shed = max(self.shed_class[cls], self.pressure.refuses(self.now, self.crowd[cls]))
        if shed > 0.0 and self.random.random() < shed:
            return True
        return s is not None and s.held > 0 and self._crowds(cls, s)

    def _hopeless(self, event: Request) -> bool:
        """Whether a request that was read late has too little time left for any server to answer it."""
        takes = self.base[event.cls] * (event.cost or 1) / self.fastest
        return event.time_left < HOPELESS_PART * takes

    def _warmth(self, s: _Server) -> float:
        """Least share of its capacity that a server can do at its age."""
        warm_up = self.settings.warm_up
        age = self.now - s.since
        if not s.since or age >= warm_up:
            return 1.0
        cold = self.settings.cold_share
        return cold + (1.0 - cold) * max(0, age) / warm_up

    def _rebuild(self) -> None:
        """Renew capacities, offers, classes and draw tables. Once per review or list."""
        now = self.now
        # Loads told by a list fade once it is overdue: while the list is out of reach they would steer for
        # long.
        overdue = max(0.0, now - self.listed - 2.0 * self.list_every) / self.list_every
        live = self.settings.weights == Weights.LIVE
        fresh = 0.5**overdue
        self.stale = overdue > 1.0
        ready: list[_Server] = []
        total = paused = 0.0
        held = {True: 0.0, False: 0.0}
        for s in self.servers.values():
            s.pos = -1
            s.group = None
            if s.state != State.READY:
                continue
            if live:
                s.nominal = self.size_of_kind[s.kind] or 1.0
                s.load = max(0.0, s.nominal / s.weight - 1.0) * fresh
            s.size = s.nominal / self.slow_of_kind[s.kind]
            ready.append(s)
            held[s.zone == self.settings.zone] += s.load * s.size
            total += s.size
            if s.paused_until > now:
                paused += s.size
        self.fastest = max((s.size for s in ready), default=1.0)
        ejecting = paused <= PAUSED_MOST * total
        zones: dict[bool, list[_Server]] = {True: [], False: []}
        for s in ready:
            if ejecting and s.paused_until > now:
                continue
            zones[s.zone == self.settings.zone].append(s)
        if not zones[True]:
            zones = {True: zones[False], False: []}
            held = {True: held[False], False: 0.0}
        if self.near_part < 0.0 and ready:
            # Until loads are seen: as if every zone had the same traffic.
            here = sum(s.size for s in zones[True])
            self.near_part = min(1.0, self.settings.zones * here / total)
            self.spill = 1.0 - self.near_part
        self._weigh()
        self.near, self.near_draw, self.near_load = self._index(zones[True], held[True])
        self.far, self.far_draw, self.far_load = self._index(zones[False], held[False])

    def _index(
        self, servers: list[_Server], held: float
    ) -> tuple[list[_SpeedClass], tuple[list[float], list[_Server]], float]:
        now = self.now
        if not servers:
            return [], ([], []), 0.0
        size = sum(s.size for s in servers)
        load = sum(s.load * s.size for s in servers) / size
        slow = sum(s.slow * s.size for s in servers) / size
        lives = self.settings.weights == Weights.LIVE
        # Requests that a server takes while a list is on its way, were all nodes like this one.
        turn = max(
            1.0, self.settings.nodes * self.rate / len(self.servers) * (SECOND + self.list_every) / SECOND
        )
        for s in servers:
            # What a server holds above the mean is worked off over the time until lists tell of it; more
            # would swing.
            tilt = max(0.1, min(2.0, 1.0 + (load - s.load) / turn))
            if self.stale or not lives:
                tilt *= (slow / s.slow) ** 0.5
            s.warmth = self._warmth(s)
            if s.told_until <= now:
                s.told *= FADE  # else a server that is avoided could not show that it is well again
            s.cap = s.size * s.warmth * tilt * (1.0 - (s.told if s.told_until > now else s.fails))
            if s.trial:
                s.cap *= TRIAL_PART
        mean = self.mean_work
        # In the paper idle servers are known to one dispatcher; in JIQ with several, each idle server joins
        # the list of one of them. Nodes cannot talk, so the lot decides: a server is on the idle lists of
        # about OWNERS nodes of a zone, whose own work there then tells whether it is idle.
        listed = OWNERS * self.settings.zones / self.settings.nodes
        classes: dict[int, _SpeedClass] = {}
        bounds: list[float] = []
        drawn: list[_Server] = []
        reach = 0.0
        bad = all(s.told >= BAD for s in servers)
        scale = log(CLASS_RATIO)
        for s in servers:
            speed = round(log(s.size) / scale)
            group = classes.get(speed)
            if group is None:
                group = classes[speed] = _SpeedClass()
            s.group = group
            s.listed = s.trial or (s.told < BAD and (s.lot < listed or s.warmth < 1.0))
            if s.warmth < 1.0:
                # This node's part of what a starting server stands, whatever the traffic.
                s.cold_gap = cold_gap(
                    mean, s.size, s.warmth, self.settings.fall_multiple, self.settings.nodes
                )
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
        return (
            [classes[speed] for speed in sorted(classes, reverse=True)],
            (bounds, drawn),
            held / sum(s.size * s.warmth for s in servers),
        )

    def _mean_work(self) -> float:
        """Mean time that a request adds at a server of size 1, over the classes seen.

        Not the response time: under overload that is mostly queue, and a fleet that has just been replaced
        would be kept from its cold servers by the jam of the few warm ones.
        """
        # Classes without an answer yet are left out: taken for free they would unguard a cold server.
        seen = [(n, b) for n, b in zip(self.count, self.work, strict=True) if b > 0.0]
        total = sum(n for n, _ in seen)
        if total <= 0.0:
            return float(max(c.aim for c in self.settings.classes))
        return sum(n * b for n, b in seen) / total

    # Choice

    def _idle_of(self, classes: list[_SpeedClass]) -> _Server | None:
        now = self.now
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

    def _drawn_from(self, table: tuple[list[float], list[_Server]]) -> _Server | None:
        """A draw by capacity, repeated a few times for the server that this node's own requests burden least.

        Where few nodes share few servers most of what a server holds is this node's own, so that the capacity
        that is left there is known at once, long before lists or answers tell.
        """
        bounds, servers = table
        if not servers:
            return None
        best: _Server | None = None
        least = 0.0
        for _ in range(DRAWS):
            at = bisect_right(bounds, self.random.random() * bounds[-1])
            s = servers[min(at, len(servers) - 1)]
            if s.warmth < 1.0 and s.cold_at > self.now:
                continue
            if not s.held:
                return s
            burden = (s.held + 1) / s.cap
            if best is None or burden < least:
                best, least = s, burden
        return best

    def _returned(self, request: _Request) -> _Server | None:
        """A server that came back from a drain, once: how it does is not known yet, and the ordinary path may
        not come to it for long, if it is slow or far."""
        while self.back:
            s = self.servers.get(self.back[-1])
            if s is None or s.state != State.READY:
                self.back.pop()
                continue
            if s.group is None or s.held or max(s.free_at, s.cold_at) > self.now or self._denies(s, request):
                return None
            self.back.pop()
            return s
        return None

    def _pick(self, request: _Request) -> _Server | None:
        tried = request.tries
        if self.back and not tried:
            s = self._returned(request)
            if s is not None:
                return s
        away = self._away(tried)
        for _ in range(4):
            s = None
            if away > 0.0 and self.random.random() < away:
                s = self._idle_of(self.far) or self._drawn_from(self.far_draw)
            if s is None:
                s = self._idle_of(self.near)
                if s is None:
                    s = self._drawn_from(self.near_draw)
                    if s is not None and s.held and self.far and not self.reach.far_lost:
                        s = self._across(request.cls, s)
            if s is None:
                s = self._idle_of(self.far)
            if s is None:
                s = self._drawn_from(self.far_draw)
            if s is None or not (self._denies(s, request) or any(t.server is s for t in tried)):
                return s
        if s is not None and self._denies(s, request):
            return self._pick_within(request, ANYWHERE) or s
        return s

    def _away(self, tried: list[_Try]) -> float:
        """The share of requests that go far first: more than the load asks where the near zone is lost."""
        if not self.far:
            return 0.0
        if tried and tried[-1].result == Result.CONNECT_FAILED and tried[-1].zone == self.settings.zone:
            return 1.0
        return self.reach.away(self.spill)

    def _denies(self, s: _Server, request: _Request) -> bool:
        """Whether a server lately turned this tenant away, or may fail what must not be repeated."""
        unsafe = self.settings.classes[request.cls].effect == Effect.UNSAFE
        # Where all others are full the chance that it fails is better than a refusal.
        if unsafe and s.told > FAILING and self.pressure.wait(self.now) < self.shortest_aim:
            return True
        return bool(s.denied) and s.denied.get(request.tenant, 0) > self.now

    def _turned_away(self, tenant: int, rejected: bool) -> bool:
        """Note an answer to a tenant; whether it is a rejection that meets this tenant alone."""
        if tenant >= len(self.turned):
            return False
        share = self.turned[tenant] + TURNED_WEIGHT * (float(rejected) - self.turned[tenant])
        self.turned[tenant] = share
        if not rejected or share <= TURNED_FROM or len(self.turned) < 2:
            return False
        others = sorted(other for n, other in enumerate(self.turned) if n != tenant)
        return share > TURNED_EXCESS * others[len(others) // 2]

    def _across(self, cls: int, near: _Server) -> _Server:
        """A far server in place of a busy near one, where that is worth its price.

        The share that crosses follows answers, and so lags by seconds behind a queue of this node's own. What
        it holds itself it knows at once: how likely an answer is late follows from that.
        """
        far = self._idle_of(self.far) or self._drawn_from(self.far_draw)
        if far is None:
            return near
        c = self.settings.classes[cls]
        saved = c.worth * (1.0 - c.late_worth) * (self._late(cls, near) - self._late(cls, far))
        return far if saved > CROSS_PART * self.settings.prices.crossing * self.worth_asked else near

    def _late(self, cls: int, s: _Server) -> float:
        """How likely one more request there is late, were response times exponential."""
        mean = self.work[cls] * (1.0 + max(float(s.held), TOLD_PART * s.load)) / (s.size * s.warmth)
        return exp(-self.settings.classes[cls].aim / mean) if mean > 0.0 else 0.0

    def _pick_within(self, request: _Request, scope: Scope) -> _Server | None:
        """A server of one cell or zone that has not been tried: keyed repeats are rare, so a scan is fine."""
        best: _Server | None = None
        for s in self.servers.values():
            if (
                s.group is None
                or s.trial
                or s.warmth < 1.0
                or not scope.allows(s)
                or any(t.server is s for t in request.tries)
            ):
                continue
            order = (self._denies(s, request), s.held, -s.cap)
            if best is None or order < (self._denies(best, request), best.held, -best.cap):
                best = s
        return best

    # Requests

    def _request(self, event: Request) -> None:
        self.arrived += 1
        self.copies = min(self.copies + COPY_BUDGET, 10.0)
        self.resends = min(self.resends + RESEND_BUDGET, RESEND_SAVED)
        request = self.requests[event.id] = _Request(event, self.now)
        if event.cls >= len(self.settings.classes):
            self._end(request, Fail(event.id))
            return
        self.count[event.cls] += 1.0
        self._note_lag(event.waited)
        late = self.lag_class[event.cls]
        if (
            (late > 0.0 and self.random.random() < late)
            or (event.waited and self._hopeless(event))
            or event.room < self.room_class[event.cls]
        ):
            self._end(request, Refuse(event.id, self._retry_after(request)))
            return
        limits = event.limits
        if limits is not None and limits.retry_share >= 0.0:
            self._save(limits)
        s = self._pick(request)
        # What a cold server is to be given at its age was set apart for it, and keeps nobody waiting.
        if (s is None or s.warmth >= 1.0) and self._sheds(event.cls, s):
            self._end(request, Refuse(event.id, self._retry_after(request)))
            return
        if s is None:
            self._wait(request)
            return
        self._send(request, s)
        cls = self.settings.classes[event.cls]
        if self.settings.copies_allowed and cls.effect != Effect.UNSAFE:
            if limits is None:
                self._wake(self.now + cls.aim // 2, 1, event.id)
            elif limits.copies:
                self._wake(self.now + (limits.copy_delay or cls.aim // 2), 1, event.id)

    def _send(self, request: _Request, s: _Server) -> None:
        now = self.now
        tried = _Try(s, now)
        request.tries.append(tried)
        request.out += 1
        if not request.sending:
            self._count(tried)
        if s.warmth < 1.0:
            s.cold_at = max(s.cold_at, now) + s.cold_gap
            s.free_at = max(s.free_at, s.cold_at)
        limits = request.limits
        self.actions.append(Send(request.id, s.id, limits.attempt_timeout if limits is not None else 0))

    def _save(self, limits: Limits) -> None:
        """A request adds to its route's retry budget."""
        saved = self.route_saved.pop(limits.budget, 1.0) + limits.retry_share
        self.route_saved[limits.budget] = min(saved, ROUTE_SAVED)
        if len(self.route_saved) > ROUTE_BUDGETS:
            del self.route_saved[next(iter(self.route_saved))]

    def _spend(self, limits: Limits | None) -> bool:
        """Take a repeat from its route's retry budget, where there is one; False: none is left."""
        if limits is None or limits.retry_share < 0.0:
            return True
        saved = self.route_saved.get(limits.budget, 0.0)
        if saved < 1.0:
            return False
        self.route_saved[limits.budget] = saved - 1.0
        return True

    def _retry_after(self, request: _Request) -> int:
        """When a client that is refused for want of room or time may come back."""
        if request.limits is None or not request.limits.retry_after[1]:
            return self.settings.max_retry_after
        least, most = request.limits.retry_after
        return least + int(self.random.random() * (most - least))

    def _unidle(self, s: _Server) -> None:
        if s.pos >= 0 and s.group is not None:
            idle = s.group.idle
            last = idle.pop()
            if last is not s:
                idle[s.pos] = last
                last.pos = s.pos
            s.pos = -1

    def _wait(self, request: _Request) -> None:
        """No server may be used now: hold the request while there is time, then refuse it."""
        request.waiting = True
        left = request.deadline - self.now
        step = max(4 * self.settings.tick, 20 * MS)
        if left <= 2 * step:
            self._give_up(request)
            return
        self._wake(self.now + step, 2, request.id)

    def _again(self, request: _Request) -> None:
        """A request with nothing out: another attempt where the guard allows it, else the final answer."""
        cls = self.settings.classes[request.cls]
        scope = resend_scope(
            cls,
            request.tries,
            self.now,
            self.settings.copies_allowed,
            self.settings.max_attempts,
            self.settings.tick,
        )
        if request.limits is not None:
            scope = limited_scope(cls, request.tries, self.now, scope, request.limits, self.settings.tick)
        if scope is None or request.deadline - self.now <= 2 * self.settings.tick:
            self._give_up(request)
            return
        # While shedding, a server that is full is no reason to try the next: all are, and it would feed the
        # jam.
        if request.tries and (
            self.resends < 1.0 or (self.shed > SHED_FROM and may_refuse(cls, request.tries))
        ):
            self._give_up(request)
            return
        s = self._pick(request) if scope is ANYWHERE else self._pick_within(request, scope)
        if s is None:
            if request.tries and scope is not ANYWHERE:
                self._give_up(request)
            else:
                self._wait(request)
            return
        if request.tries:
            if not self._spend(request.limits):
                self._give_up(request)
                return
            self.resends -= 1.0
        self._send(request, s)

    def _copy(self, request: _Request) -> None:
        """A second copy of a request that takes long, where the guard and the budget allow it."""
        cls = self.settings.classes[request.cls]
        if request.out != 1 or request.streaming or self.copies < 1.0:
            return
        # Slow answers everywhere mean overload, and copies would feed it; a server that answers others is
        # not silent.
        last = request.tries[-1]
        if self.missing > COPY_MISSING or last.server.answered > last.sent:
            return
        scope = resend_scope(
            cls, request.tries, self.now, True, self.settings.max_attempts, self.settings.tick
        )
        if request.limits is not None:
            scope = limited_scope(cls, request.tries, self.now, scope, request.limits, self.settings.tick)
        if scope is None:
            return
        s = self._idle_of(self.near) if scope is ANYWHERE else self._pick_within(request, scope)
        if s is None or s.held or any(t.server is s for t in request.tries):
            return
        if not self._spend(request.limits):
            return
        self.copies -= 1.0
        self._send(request, s)

    def _give_up(self, request: _Request) -> None:
        cls = self.settings.classes[request.cls]
        if may_refuse(cls, request.tries):
            # A client that comes back at once meets the same want of room or time.
            short = self.shed > 0.0 or self.lag_shed > 0.0
            self._end(request, Refuse(request.id, self._retry_after(request) if short else 0))
        else:
            self._end(request, Fail(request.id))

    def _end(self, request: _Request, action: Action | None) -> None:
        request.done = True
        if action is not None:
            self.actions.append(action)
        if request.out and self.settings.cancel_allowed:
            for n, t in enumerate(request.tries):
                if t.result is None:
                    self.actions.append(Cancel(request.id, n))
        if not request.out:
            self.requests.pop(request.id, None)

    def _gone(self, event: Gone) -> None:
        request = self.requests.get(event.id)
        if request is not None and not request.done:
            self._end(request, None)

    def _started(self, event: Started) -> None:
        """A long answer has begun: its server has done the work, the rest comes at its client's pace."""
        request = self.requests.get(event.id)
        if request is None or event.attempt >= len(request.tries):
            return
        request.streaming = True
        tried = request.tries[event.attempt]
        self._uncount(tried)
        self._rest(tried.server)

    def _whole(self, event: Whole) -> None:
        """A long body has come to its end, and its server begins."""
        request = self.requests.get(event.id)
        if request is None or not request.sending:
            return
        request.sending = False
        for tried in request.tries:
            if tried.result is None:
                self._count(tried)

    def _count(self, tried: _Try) -> None:
        tried.counted = True
        self.pressure.begin()
        tried.server.held += 1
        self._unidle(tried.server)

    def _uncount(self, tried: _Try) -> None:
        if tried.counted:
            tried.counted = False
            self.pressure.end()
            tried.server.held = max(0, tried.server.held - 1)

    def _rest(self, s: _Server) -> None:
        """Take a server for idle again, once its time has come, if nothing of this node is at work there."""
        if not s.held and s.group is not None and s.pos < 0 and s.listed:
            self.ties += 1
            heappush(s.group.waking, (s.free_at, self.ties, s))

    # Outcomes

    def _outcome(self, event: Outcome) -> None:
        request = self.requests.get(event.id)
        s = self.servers.get(event.server)
        if (
            request is None
            or event.attempt >= len(request.tries)
            or request.tries[event.attempt].result is not None
        ):
            return
        tried = request.tries[event.attempt]
        tried.result = event.result
        request.out -= 1
        if s is not None:
            self._uncount(tried)
            self._learn(s, request, event)
            if s.state == State.GONE and not s.held:
                del self.servers[s.id]
            else:
                self._rest(s)
        if request.done:
            if not request.out:
                self.requests.pop(request.id, None)
            return
        if event.final:
            self._end(request, None)
        elif not request.out:
            self._again(request)

    def _learn_work(self, s: _Server, cls: int, rtt: int, beside: int) -> None:
        """What one request adds at a server, from those that found it idle as far as this node can tell.

        Any other answer holds a queue of unknown length, so that under overload the work would seem to grow
        with the jam, and cold servers would get ever less, when they are needed most. Until one has come,
        what the others tell is taken: it is too much rather than too little.
        """
        work = rtt * s.size * s.warmth
        known = self.work[cls]
        if s.load + beside < IDLE_LOAD and not self.stale:
            self.work_seen[cls] += 1
            weight = max(WORK_WEIGHT, 1.0 / self.work_seen[cls])
            self.work_time[cls] += weight * (work - self.work_time[cls])
            self.work_share[cls] += weight * (1.0 + s.load + beside - self.work_share[cls])
            self.work[cls] = self.work_time[cls] / self.work_share[cls]
        elif not self.work_seen[cls]:
            work /= 1.0 + s.load + beside
            self.work[cls] = known + 0.1 * (work - known) if known > 0.0 else work

    def _learn(self, s: _Server, request: _Request, event: Outcome) -> None:
        result = event.result
        if result == Result.CANCELLED or result == Result.NOT_SENT:
            return
        told = self.failures.share(event.report) if event.report else None
        if told is not None:
            s.told, s.told_until = told, self.now + SPAN
        if result in (Result.OK, Result.REJECTED) and self._turned_away(
            request.tenant, result == Result.REJECTED
        ):
            s.denied[request.tenant] = self.now + TURNED_PAUSE
            s.answered = self.now
            return
        near = s.zone == self.settings.zone
        if result == Result.CONNECT_FAILED:
            self.reach.note(near, True, self.heed)
            s.refused += 1
        elif result != Result.TIMEOUT:  # which on an old connection tells nothing of new ones
            self.reach.note(near, False, self.heed)
            if s.refused >= REFUSED_LIMIT:
                # It was not there, and is again: a new process, of which no list has told yet.
                s.since = max(s.since, self.now)
                s.cold_at = -1
            s.refused = 0
        late = event.rtt / self.settings.classes[request.cls].aim
        late = LATE_MOST if result == Result.REJECTED or late > LATE_MOST else late
        cls = self.settings.classes[request.cls]
        # A connection that broke says nothing of load, and shedding would not mend it.
        if result != Result.RESET and result != Result.CONNECT_FAILED:
            lost = 1.0 if result != Result.OK else 1.0 - cls.late_worth if late > 1.0 else 0.0
            self.worth_lost += self.heed * (cls.worth * lost - self.worth_lost)
            self.worth_asked += self.heed * (cls.worth - self.worth_asked)
            self.heard += 1
        self.missing = self.worth_lost / self.worth_asked if self.worth_asked > 0.0 else 0.0
        if near and result != Result.CONNECT_FAILED:  # which says nothing of load
            self.near_late += self.heed * (late - self.near_late)
        elif result != Result.CONNECT_FAILED:
            self.far_late += 2.5 * self.heed * (late - self.far_late)
        if result == Result.OK:
            self.failing *= 0.99
            self.done[request.cls] += 1.0
            s.fails *= 1.0 - FAIL_WEIGHT
            if s.fails < FAIL_WELL:
                # Answers to what was out when it was paused show that it is well: it failed by chance.
                s.pause = PAUSE_FIRST
                s.trial = False
                s.paused_until = min(s.paused_until, self.now)
            elif s.paused_until <= self.now:
                s.pause = PAUSE_FIRST
                s.trial = False
            s.silent = 0
            s.answered = self.now
            sample = event.rtt * s.size / (request.cost or 1)
            self._learn_work(s, request.cls, event.rtt, request.tries[event.attempt].beside)
            base = self.base[request.cls]
            if base <= 0.0:
                self.base[request.cls] = sample
            else:
                self.base[request.cls] = base + 0.01 * (sample - base)
                ratio = min(sample / base, 8.0)
                s.slow += 0.15 * (ratio - s.slow)
                # By kind there are answers enough to correct the size that the list gives.
                kind = self.slow_of_kind[s.kind]
                self.slow_of_kind[s.kind] = kind * (1.0 + KIND_WEIGHT * (ratio / self.ratio - 1.0))
                self.ratio += KIND_WEIGHT * (ratio - self.ratio)
            return
        if result != Result.TIMEOUT and result != Result.CONNECT_FAILED:
            s.answered = self.now
        # A failing server clears its count quickly and must not look idle for it.
        s.free_at = max(s.free_at, self.now + REVIEW)
        if result == Result.REJECTED:
            s.slow = min(8.0, 1.3 * s.slow)
            return
        if result == Result.TIMEOUT:
            # An overloaded server still answers some; a silent one none. Only the latter is paused.
            base = self.base[request.cls]
            if base > 0.0:
                s.slow += 0.15 * (
                    min(max(event.rtt * s.size / (request.cost or 1) / base, s.slow), 8.0) - s.slow
                )
            s.silent += 1
            if (s.silent < SILENT_LIMIT or self.now - s.answered < self.longest_aim) and not s.trial:
                return
        self.failing += 0.01 * (1.0 - self.failing)
        s.fails += FAIL_WEIGHT * (1.0 - s.fails)
        # On trial only what was sent since counts: what was out when it was paused says nothing new.
        if (
            (s.trial and request.tries[event.attempt].sent >= s.paused_until)
            or s.silent >= SILENT_LIMIT
            or (
                not s.trial
                and s.fails >= FAIL_LIMIT
                and s.fails > FAIL_EXCESS * self.failing
                and (s.told >= FAIL_LIMIT or s.told_until <= self.now)  # it tells better than so few answers
            )
        ):
            s.paused_until = self.now + s.pause
            s.pause = min(2 * s.pause, PAUSE_MOST)
            s.trial = True
            self._unidle(s)
            s.group = None
