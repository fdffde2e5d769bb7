"""What is turned away, and when its client may come back: for the servers' load, and for the node's own."""

from __future__ import annotations

from math import inf
from random import Random

from .cross_zone import ahead
from .estimates import Learning
from .interface import Request, Settings
from .priority_distribution import by_worth, deal
from .queueing_delay import Pressure
from .state import MS, Owed, Server

__all__ = ["SHED_FROM", "Admission"]

# Shedding starts when attempts lose this share of their worth, being late or turned away.
SHED_FROM, SHED_MOST = 0.15, 0.98
# Share that may be shed for each shortest aim that an attempt takes now beyond a part of it; a larger one
# falls to that by so much at each review.
SHED_WAIT, SHED_WAIT_FROM, SHED_LET_GO = 0.5, 0.5, 0.6
# How far below what servers finish admitted work goes for each unit of worth lost, so that queues shrink.
SHED_DRAIN = 1.0
COUNT_FADE = 0.7  # what a review leaves of the counts by class
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


class Admission:
    """The shares that are refused, by class: the least worth for its work goes first."""

    def __init__(self, settings: Settings, learned: Learning, random: Random, now: int) -> None:
        self.settings = settings
        self.learned = learned
        self.random = random
        self.pressure = Pressure(now)
        classes = settings.classes
        self.shortest_aim = min(c.latency_objective for c in classes)
        self.worths = [c.priority_weight for c in classes]
        self.shed = 0.0  # share of the work that is refused
        self.shed_class = [0.0] * len(classes)
        self.crowd = [inf] * len(classes)  # how much (ns) may wait ahead of each class
        self.lag_aim = LAG_PART * self.shortest_aim
        self.lag_shed = 0.0  # share of the requests that is refused as this node is late itself
        self.lag_class = [0.0] * len(classes)
        self.lag_since = now
        self.lag_sum = self.lag_count = 0
        # The free share of places under which a class is refused.
        self.room_class = [
            ROOM_FROM * (1.0 - sum(o.priority_weight < c.priority_weight for o in classes) / len(classes))
            for c in classes
        ]

    @property
    def short(self) -> bool:
        """Whether a client that comes back at once would meet the same want of room or time."""
        return self.shed > 0.0 or self.lag_shed > 0.0

    def steer(self, now: int) -> None:
        """Renew the share that is shed."""
        learned = self.learned
        # While answers are late the servers are never without work: what they finish is what they can do.
        work = [n * b for n, b in zip(learned.count, learned.base, strict=True)]
        offered = sum(work)
        done = sum(n * b for n, b in zip(learned.done, learned.base, strict=True))
        if learned.missing > SHED_FROM and offered > 0.0:
            drain = 1.0 - SHED_DRAIN * min(0.5, learned.missing - SHED_FROM)
            self.shed += 0.7 * (min(SHED_MOST, max(0.0, 1.0 - drain * done / offered)) - self.shed)
        else:
            self.shed = 0.7 * self.shed if self.shed > 0.01 else 0.0
        # What is out tells sooner than answers, and much sooner than lists, that a jam is over.
        most = SHED_WAIT * (self.pressure.wait(now) / self.shortest_aim - SHED_WAIT_FROM)
        self.shed = min(self.shed, max(SHED_LET_GO * self.shed, most))
        self.shed_class = deal(self.shed, work, self.worths, learned.base)
        for c in range(len(work)):
            learned.count[c] *= COUNT_FADE
            learned.done[c] *= COUNT_FADE

    def weigh(self) -> None:
        """Renew how much may wait ahead of each class."""
        classes = self.settings.classes
        self.crowd = [inf] * len(classes)
        if not any(self.learned.work_seen):
            return
        least_first = by_worth(self.worths, self.learned.work)
        for n, c in enumerate(least_first[:-1]):
            aim = min(classes[better].latency_objective for better in least_first[n + 1 :])
            self.crowd[c] = CROWD_PART * CROWD_STEP**n * aim

    def _note_lag(self, waited: int, now: int) -> None:
        """Renew the share that is refused because this node reads requests late."""
        self.lag_sum += waited
        self.lag_count += 1
        span = now - self.lag_since
        if span < LAG_SPAN:
            return
        late = self.lag_sum / self.lag_count / self.lag_aim - 1.0
        share = max(0.0, min(LAG_SHED_MOST, LAG_SLOPE * late))
        # Spans in which nothing came saw no lateness: what was seen before them is as old as they are long.
        self.lag_shed *= (1.0 - LAG_WEIGHT) ** min(50.0, span / LAG_SPAN - 1.0)
        self.lag_shed += LAG_WEIGHT * (share - self.lag_shed)
        if self.lag_shed < 0.01:
            self.lag_shed = 0.0
        self.lag_since = now
        self.lag_sum = self.lag_count = 0
        # Here each request costs about the same, whatever its work at a server.
        count = self.learned.count
        self.lag_class = deal(self.lag_shed, count, self.worths, [1.0] * len(count))

    def turns_away(self, event: Request, fastest: float, now: int) -> bool:
        """Whether a request is refused for the node's own want of time or places.

        fastest: size of the largest server.
        """
        self._note_lag(event.queued_time, now)
        late = self.lag_class[event.class_index]
        if late > 0.0 and self.random.random() < late:
            return True
        if event.queued_time:  # read late: there may be too little time left for any server to answer it
            takes = self.learned.base[event.class_index] * (event.cost or 1) / fastest
            if event.time_left < HOPELESS_PART * takes:
                return True
        return event.free_slot_share < self.room_class[event.class_index]

    def sheds(self, cls: int, s: Server | None, now: int) -> bool:
        """Whether a request is refused for the load: by its class's share, or by what waits already."""
        shed = max(self.shed_class[cls], self.pressure.refuses(now, self.crowd[cls]))
        if shed > 0.0 and self.random.random() < shed:
            return True
        if s is None or not s.held:
            return False
        # It would keep better ones waiting for too long.
        return self.learned.mean_work * ahead(s) / (s.size * s.warmth) > self.crowd[cls]

    def retry_after(self, request: Owed) -> int:
        """When (ns) a client that is refused for want of room or time may come back."""
        if request.limits is None or not request.limits.retry_after[1]:
            return self.settings.max_retry_after
        least, most = request.limits.retry_after
        return least + int(self.random.random() * (most - least))
