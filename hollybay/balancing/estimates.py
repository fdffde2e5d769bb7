"""What one node learns from its own answers: lateness, work, speeds, failures, and who is turned away."""

from __future__ import annotations

from .connection_capacity import Room
from .fair_shares import heed
from .interface import AttemptFinished, Result, Settings
from .outlier_shares import Shares
from .reported_failures import SPAN, Failures
from .state import SECOND, Owed, Server
from .traffic_share import Census
from .zone_reachability import Reach

__all__ = ["PAUSE_FIRST", "REVIEW", "Learning"]

# How often estimates, gaps and draw tables are renewed: often against troubles of seconds, rarely for CPU.
REVIEW = SECOND // 2
# With fewer outcomes than this in a review's span what was lost before is no evidence of the present, and
# fades: else a share that leaves no request to learn from would be shed for ever.
SHED_HEARD, SHED_FADE = 8, 0.8
# A response counts as twice its aim at most, so that one straggler does not decide.
LATE_MOST = 2.0
# Load (requests held for each core) under which a server counts as idle when work is learned: as lists tell
# it, or else the mean of the fleet. The least weight of an answer, and how many are taken at any mean.
IDLE_LOAD, IDLE_MEAN, WORK_WEIGHT, WORK_FEW = 2.0, 1.0, 0.02, 8
KIND_WEIGHT = 0.005  # of one answer in what is learned of its kind of machine
# First pause after a server failed, doubled up to the longest.
PAUSE_FIRST, PAUSE_MOST = SECOND, 8 * SECOND
# A failure's weight in the running share of failures, and the share at which a server is paused.
FAIL_WEIGHT, FAIL_LIMIT = 0.2, 0.45
FAIL_WELL = 0.3  # under this a paused server that answers is taken back at once
# A server is paused only if it fails this many times as often as the fleet: a shared cause is not its fault.
FAIL_EXCESS = 2.0
# Time-outs in a row, with no answer between, after which a server is taken for silent.
SILENT_LIMIT = 3
# Connects in a row that fail before an answer after which a server is taken for started anew.
REFUSED_LIMIT = 2
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


class Learning:
    """Running means over a node's own requests and answers, read by the parts that decide."""

    def __init__(self, settings: Settings, now: int) -> None:
        classes = len(settings.classes)
        self.settings = settings
        self.longest_aim = max(c.latency_objective for c in settings.classes)
        self.failures = Failures(settings.report_fields)
        self.reach = Reach()
        self.room = Room(settings.nodes)
        self.census = Census(settings.nodes, settings.report_fields, now)
        self.nodes = float(settings.nodes)  # 1 over this node's share of all traffic
        self.reviewed = now
        self.arrived = 0  # requests since the last review
        self.rate = 0.0  # requests a second, smoothed
        self.heed = heed(0.0)  # weight of one answer in what is learned of lateness
        self.near_late = 0.0  # mean response time as a share of the aim, near and far
        self.far_late = 0.0
        self.failing = 0.0  # share of attempts that fail, over all servers
        self.turned = Shares(len(settings.tenants))  # share of answers that are rejections, by tenant
        self.count = [0.0] * classes  # requests that came lately, by class, and those that were served
        self.done = [0.0] * classes
        self.worth_lost = self.worth_asked = 0.0  # worth of late and failed attempts, and of all
        self.heard = 0  # outcomes that tell of load since the last review
        self.missing = 0.0  # the first as a share of the second
        self.ratio = 1.0  # mean of response times relative to their class's mean
        self.slow_of_kind = [1.0] * settings.kinds  # response time relative to what its listed size promises
        self.base = [0.0] * classes  # mean response time x size (x 1/cost hint), by class
        # Mean time that one request takes at an idle server of size 1, by class, and how many told of it.
        self.work: list[float] = [0.0] * classes
        self.work_time, self.work_share = [0.0] * classes, [0.0] * classes
        self.work_seen = [0] * classes
        self.queue = 0.0  # mean load of a server as this node's own attempts tell, where lists do not
        self.mean_work = 0.0

    def review(self, now: int) -> bool:
        """Renew the rate, and let loss fade of which nothing was heard; whether any time has passed."""
        span = now - self.reviewed
        if span <= 0:
            return False
        measured = self.arrived * SECOND / span
        self.rate = measured if self.rate == 0.0 else 0.5 * (self.rate + measured)
        self.heed = heed(self.rate)
        self.arrived = 0
        self.reviewed = now
        if self.heard < SHED_HEARD:
            self.worth_lost *= SHED_FADE ** (1.0 - self.heard / SHED_HEARD)
            self.missing = self.worth_lost / self.worth_asked if self.worth_asked > 0.0 else 0.0
        self.heard = 0
        return True

    def renew_work(self) -> None:
        """Renew the mean time that a request adds at a server of size 1, over the classes seen.

        Not the response time: under overload that is mostly queue, and a fleet that has just been replaced
        would be kept from its cold servers by the jam of the few warm ones.
        """
        # Classes without an answer yet are left out: taken for free they would unguard a cold server.
        seen = [(n, b) for n, b in zip(self.count, self.work, strict=True) if b > 0.0]
        total = sum(n for n, _ in seen)
        self.mean_work = sum(n * b for n, b in seen) / total if total > 0.0 else float(self.longest_aim)

    def learn_work(self, s: Server, cls: int, rtt: int, beside: int, stale: bool) -> None:
        """What one request adds at a server, from those that found it idle as far as this node can tell.

        Any other answer holds a queue of unknown length, so that under overload the work would seem to grow
        with the jam, and cold servers would get ever less, when they are needed most. Until one has come,
        what the others tell is taken: it is too much rather than too little.
        """
        work = rtt * s.size * s.warmth
        known = self.work[cls]
        queued = s.warmth >= 1.0 and self.queue >= IDLE_MEAN and self.work_seen[cls] >= WORK_FEW
        if s.load + beside < IDLE_LOAD and not stale and not queued:
            self.work_seen[cls] += 1
            weight = max(WORK_WEIGHT, 1.0 / self.work_seen[cls])
            self.work_time[cls] += weight * (work - self.work_time[cls])
            self.work_share[cls] += weight * (1.0 + s.load + beside - self.work_share[cls])
            self.work[cls] = self.work_time[cls] / self.work_share[cls]
        elif not self.work_seen[cls]:
            work /= 1.0 + s.load + beside
            self.work[cls] = known + 0.1 * (work - known) if known > 0.0 else work

    def _turned_away(self, tenant: int, rejected: bool) -> bool:
        """Note an answer to a tenant; whether it is a rejection that meets this tenant alone."""
        if tenant >= self.turned.count:
            return False
        share = self.turned.move(tenant, float(rejected), TURNED_WEIGHT)
        if not rejected or share <= TURNED_FROM or self.turned.count < 2:
            return False
        return share > TURNED_EXCESS * self.turned.median_of_others(tenant)

    def learn(self, s: Server, request: Owed, event: AttemptFinished, now: int, stale: bool) -> bool:
        """Take in how an attempt ended; whether its server is to be left out for a pause."""
        result = event.result
        if result == Result.CANCELLED or result == Result.NOT_SENT:
            return False
        told = self.failures.share(event.report) if event.report else None
        if told is not None:
            s.told, s.told_until = told, now + SPAN
        self.census.hear(event.report, s.size)
        rejected = result == Result.REJECTED
        if (rejected or result == Result.OK) and self._turned_away(request.tenant, rejected):
            s.denied[request.tenant] = now + TURNED_PAUSE
            s.answered = now
            return False
        near = s.zone == self.settings.zone
        self._learn_reach(s, result, near, now)
        self._learn_load(request.cls, event, near)
        if result == Result.OK:
            self._learn_speed(s, request, event, now, stale)
            return False
        return self._learn_failure(s, request, event, now)

    def _learn_reach(self, s: Server, result: Result, near: bool, now: int) -> None:
        """Whether its zone can be reached, and whether it is a new process."""
        if result == Result.CONNECT_FAILED:
            self.reach.note(near, True, self.heed)
            s.refused += 1
            self.room.refused(now)
        elif result != Result.TIMEOUT:  # which on an old connection tells nothing of new ones
            self.reach.note(near, False, self.heed)
            if s.refused >= REFUSED_LIMIT:
                # It was not there, and is again: a new process, of which no list has told yet.
                s.since = max(s.since, now)
                s.cold_at = -1
            s.refused = 0

    def _learn_load(self, number: int, event: AttemptFinished, near: bool) -> None:
        """How much worth is lost to load, and how late answers are, near and far."""
        result = event.result
        cls = self.settings.classes[number]
        late = event.rtt / cls.latency_objective
        late = LATE_MOST if result == Result.REJECTED or late > LATE_MOST else late
        # A connection that broke says nothing of load, and shedding would not mend it.
        if result != Result.RESET and result != Result.CONNECT_FAILED:
            lost = 1.0 if result != Result.OK else 1.0 - cls.late_weight if late > 1.0 else 0.0
            self.worth_lost += self.heed * (cls.priority_weight * lost - self.worth_lost)
            self.worth_asked += self.heed * (cls.priority_weight - self.worth_asked)
            self.heard += 1
        self.missing = self.worth_lost / self.worth_asked if self.worth_asked > 0.0 else 0.0
        if near and result != Result.CONNECT_FAILED:  # which says nothing of load
            self.near_late += self.heed * (late - self.near_late)
        elif result != Result.CONNECT_FAILED:
            self.far_late += 2.5 * self.heed * (late - self.far_late)

    def _learn_speed(self, s: Server, request: Owed, event: AttemptFinished, now: int, stale: bool) -> None:
        """From an answer in full: the server is well, and so fast."""
        self.failing *= 0.99
        self.done[request.cls] += 1.0
        s.fails *= 1.0 - FAIL_WEIGHT
        if s.fails < FAIL_WELL:
            # Answers to what was out when it was paused show that it is well: it failed by chance.
            s.paused_until = min(s.paused_until, now)
        if s.paused_until <= now:
            s.pause = PAUSE_FIRST
            s.trial = False
        s.silent = 0
        s.answered = now
        sample = event.rtt * s.size / (request.cost or 1)
        self.learn_work(s, request.cls, event.rtt, request.tries[event.attempt].beside, stale)
        base = self.base[request.cls]
        if base <= 0.0:
            self.base[request.cls] = sample
            return
        self.base[request.cls] = base + 0.01 * (sample - base)
        ratio = min(sample / base, 8.0)
        s.slow += 0.15 * (ratio - s.slow)
        # By kind there are answers enough to correct the size that the list gives, but for those of queues.
        if self.queue < IDLE_MEAN:
            kind = self.slow_of_kind[s.kind]
            self.slow_of_kind[s.kind] = kind * (1.0 + KIND_WEIGHT * (ratio / self.ratio - 1.0))
            self.ratio += KIND_WEIGHT * (ratio - self.ratio)

    def _learn_failure(self, s: Server, request: Owed, event: AttemptFinished, now: int) -> bool:
        """From an attempt that failed; whether its server is to be left out for a pause."""
        result = event.result
        if result != Result.TIMEOUT and result != Result.CONNECT_FAILED:
            s.answered = now
        # A failing server clears its count quickly and must not look idle for it.
        s.free_at = max(s.free_at, now + REVIEW)
        if result == Result.REJECTED:
            s.slow = min(8.0, 1.3 * s.slow)
            return False
        if result == Result.TIMEOUT:
            # An overloaded server still answers some; a silent one none. Only the latter is paused.
            base = self.base[request.cls]
            if base > 0.0:
                ratio = min(max(event.rtt * s.size / (request.cost or 1) / base, s.slow), 8.0)
                s.slow += 0.15 * (ratio - s.slow)
            s.silent += 1
            if (s.silent < SILENT_LIMIT or now - s.answered < self.longest_aim) and not s.trial:
                return False
        self.failing += 0.01 * (1.0 - self.failing)
        s.fails += FAIL_WEIGHT * (1.0 - s.fails)
        # On trial only what was sent since counts: what was out when it was paused says nothing new.
        if not (
            (s.trial and request.tries[event.attempt].sent >= s.paused_until)
            or s.silent >= SILENT_LIMIT
            or (
                not s.trial
                and s.fails >= FAIL_LIMIT
                and s.fails > FAIL_EXCESS * self.failing
                and (s.told >= FAIL_LIMIT or s.told_until <= now)  # it tells better than so few answers
            )
        ):
            return False
        s.paused_until = now + s.pause
        s.pause = min(2 * s.pause, PAUSE_MOST)
        s.trial = True
        return True
