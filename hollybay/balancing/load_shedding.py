"""Load shedding: which requests are rejected on arrival, lowest priority first.

There are three causes: attempts lose priority weight by being late, rejected or failing (a share of all work
is shed), queues would delay classes of higher priority (queue limits), or the node itself reads requests late
or is short of request slots.
"""

from __future__ import annotations

from enum import Enum
from math import inf
from random import Random

from .cross_zone import expected_queue
from .estimates import Estimates
from .event_loop_delay import EventLoopDelay
from .interface import Request, Settings
from .priority_distribution import ascending_priority, distribute_by_priority
from .queueing_delay import QueueingDelay
from .state import TrackedRequest, TrackedServer

__all__ = ["SHEDDING_LOSS_SHARE", "LoadShedder", "RejectionCause"]

# Shedding starts when attempts lose more than this share of their priority weight by being late, rejected or
# failing.
SHEDDING_LOSS_SHARE = 0.15
MAX_SHED_SHARE = 0.98
# The weight of one review in the share that is shed, and the factor applied by a review without losses.
SHED_WEIGHT = 0.7
SHED_DECAY = 0.7
# A smaller share counts as 0.
MIN_SHED_SHARE = 0.01
# Admitted work is kept below the work that servers finish, so that queues shrink: by DRAIN_PER_LOSS per unit
# of loss share above SHEDDING_LOSS_SHARE, which counts as at most MAX_DRAIN.
DRAIN_PER_LOSS = 1.0
MAX_DRAIN = 0.5
# The upper bound of the share follows the queueing delay, in units of the shortest latency objective:
# SHED_PER_OBJECTIVE per unit beyond SHEDDING_DELAY_SHARE. A share above the bound falls to it, but not below
# SHED_RELEASE_FACTOR times its value in one review.
SHED_PER_OBJECTIVE = 0.5
SHEDDING_DELAY_SHARE = 0.5
SHED_RELEASE_FACTOR = 0.6
# The factor by which each review reduces the request counts by class.
COUNT_DECAY = 0.7
# The queue limit of the class with the lowest priority, as a share of the shortest latency objective of the
# classes above it, and the factor from one class to the next; the class with the highest priority has no
# limit.
#
# Queue limits guard against congestion while it builds up. Losses show it only a second later, when every
# server has a queue that makes requests with the shortest objective late. Servers that are lost, drained or
# starting count as missing capacity. The limits are too strict where queues are worked off much faster than
# the service times of idle servers suggest.
QUEUE_LIMIT_SHARE = 1.0
QUEUE_LIMIT_STEP = 4.0
# Below this free share of the node's request slots the class with the lowest priority weight is rejected; the
# threshold decreases with the priority weight. A slot is a client's connection: if all are taken, no request
# can be read any more, and during a handover to a new version both processes share them. The threshold is too
# strict where requests usually wait long.
FREE_SLOT_THRESHOLD = 0.25
# A request that was read late is rejected if less than this share of its expected response time is left.
MIN_TIME_LEFT_SHARE = 0.5
# The priority weight of requests that limits reject, when the node sheds because it reads requests late.
LIMITED_WEIGHT = 0.0


class RejectionCause(Enum):
    """Why a request is rejected on arrival."""

    NODE_LATE = "node_late"
    """The node reads requests late and sheds a share of them."""

    LITTLE_TIME = "little_time"
    """The request was read late, with too little time left for a response."""

    FEW_SLOTS = "few_slots"
    """The node has few slots for pending requests left."""

    LOAD_SHED = "load_shed"
    """Attempts lose priority weight or take long: a share of all work is shed."""

    QUEUE_LIMIT = "queue_limit"
    """The request would delay requests of higher priority."""


class LoadShedder:
    """Decides which requests are rejected, by shares and limits for each class.

    Parameters
    ----------
    settings
        The node's settings.
    estimates
        What the node has learned from responses.
    random
        The node's source of random numbers.
    now
        The time (ns).

    Attributes
    ----------
    shed_share, shed_by_class
        The share (0 to 1) of all work, and of each class's requests, that is rejected because of the servers'
        load.
    queue_limits
        The largest queue (ns of work) ahead of a request, by class.
    min_free_slot_shares
        The free share (0 to 1) of request slots below which a class is rejected.
    limited
        Decaying count of requests that limits have rejected, comparable with `Estimates.offered`.
    rejections
        Requests rejected since the start, by cause.
    """

    def __init__(self, settings: Settings, estimates: Estimates, random: Random, now: int) -> None:
        self.settings = settings
        self.estimates = estimates
        self.random = random
        classes = settings.classes
        self.priority_weights = [cls.priority_weight for cls in classes]
        self.shortest_objective = min(cls.latency_objective for cls in classes)  # ns
        self.queueing_delay = QueueingDelay(now)
        self.event_loop_delay = EventLoopDelay(self.shortest_objective, now)
        self.event_loop_shed_by_class = [0.0] * len(classes)
        self.shed_share = 0.0
        self.shed_by_class = [0.0] * len(classes)
        self.queue_limits = [inf] * len(classes)
        self.limited = 0.0
        self.rejections = dict.fromkeys(RejectionCause, 0)
        self.min_free_slot_shares = [
            FREE_SLOT_THRESHOLD
            * (1.0 - sum(other < weight for other in self.priority_weights) / len(classes))
            for weight in self.priority_weights
        ]

    @property
    def is_overloaded(self) -> bool:
        """Whether load is being shed, so that a client that retries at once would be rejected, too."""
        return self.shed_share > 0.0 or self.event_loop_delay.shed_share > 0.0

    # Periodic updates

    def update(self, now: int) -> None:
        """Update the share that is shed because of the servers' load; called at each review."""
        estimates = self.estimates
        # While responses are late, servers are never idle: the work that they complete is their capacity.
        work = _products(estimates.offered, estimates.response_times)
        offered = sum(work)
        completed = sum(_products(estimates.completed, estimates.response_times))
        if estimates.loss_share > SHEDDING_LOSS_SHARE and offered > 0.0:
            drain = 1.0 - DRAIN_PER_LOSS * min(MAX_DRAIN, estimates.loss_share - SHEDDING_LOSS_SHARE)
            target = min(MAX_SHED_SHARE, max(0.0, 1.0 - drain * completed / offered))
            self.shed_share += SHED_WEIGHT * (target - self.shed_share)
        else:
            self.shed_share = SHED_DECAY * self.shed_share if self.shed_share > MIN_SHED_SHARE else 0.0
        # Attempts in flight show the end of congestion sooner than responses and much sooner than lists do.
        delay = self.queueing_delay.estimate(now) / self.shortest_objective
        bound = SHED_PER_OBJECTIVE * (delay - SHEDDING_DELAY_SHARE)
        self.shed_share = min(self.shed_share, max(SHED_RELEASE_FACTOR * self.shed_share, bound))
        self.shed_by_class = distribute_by_priority(
            self.shed_share, work, self.priority_weights, estimates.response_times
        )
        for index in range(len(work)):
            estimates.offered[index] *= COUNT_DECAY
            estimates.completed[index] *= COUNT_DECAY
        self.limited *= COUNT_DECAY

    def update_queue_limits(self) -> None:
        """Update the queue limits of all classes."""
        classes = self.settings.classes
        self.queue_limits = [inf] * len(classes)
        if not any(self.estimates.service_times.samples):
            return
        order = ascending_priority(self.priority_weights, self.estimates.service_times.by_class)
        for rank, index in enumerate(order[:-1]):
            objective = min(classes[higher].latency_objective for higher in order[rank + 1 :])
            self.queue_limits[index] = QUEUE_LIMIT_SHARE * QUEUE_LIMIT_STEP**rank * objective

    # Decisions

    def rejects_for_node(self, event: Request, largest_size: float, now: int) -> bool:
        """Record a request's delay; True if it is rejected because this node is late or short of slots.

        Parameters
        ----------
        event
            The request.
        largest_size
            The size of the largest server.
        now
            The time (ns).
        """
        self.limited += event.limited_before
        if self.event_loop_delay.observe(event.queued_time, now):
            self._distribute_event_loop_shedding()
        share = self.event_loop_shed_by_class[event.class_index]
        if share > 0.0 and self.random.random() < share:
            return self._reject(RejectionCause.NODE_LATE)
        if event.queued_time:  # read late: there may be too little time left for any server to respond
            takes = self.estimates.response_times[event.class_index] * (event.cost or 1) / largest_size
            if event.time_left < MIN_TIME_LEFT_SHARE * takes:
                return self._reject(RejectionCause.LITTLE_TIME)
        if event.free_slot_share < self.min_free_slot_shares[event.class_index]:
            return self._reject(RejectionCause.FEW_SLOTS)
        return False

    def _distribute_event_loop_shedding(self) -> None:
        """Distribute the share of all requests that this node cannot serve in time over the classes.

        Requests that limits reject are counted first, so that a tenant over its limit does not reduce the
        service of others. Each request costs the node about the same, whatever its work at a server.
        """
        amounts = [self.limited, *self.estimates.offered]
        weights = [LIMITED_WEIGHT, *self.priority_weights]
        share = self.event_loop_delay.shed_share
        _, *self.event_loop_shed_by_class = distribute_by_priority(
            share, amounts, weights, [1.0] * len(amounts)
        )

    def rejects_for_load(self, class_index: int, server: TrackedServer | None, now: int) -> bool:
        """Whether a request is rejected because of the servers' load.

        Parameters
        ----------
        class_index
            The request's class.
        server
            The server that was selected for it, None if there is none.
        now
            The time (ns).
        """
        limit = self.queue_limits[class_index]
        share = max(self.shed_by_class[class_index], self.queueing_delay.rejection_share(now, limit))
        if share > 0.0 and self.random.random() < share:
            return self._reject(RejectionCause.LOAD_SHED)
        if server is None or not server.in_flight:
            return False
        # In this server's queue the request would delay requests of higher priority for too long.
        queued = self.estimates.service_times.mean * expected_queue(server)
        if queued / (server.size * server.slow_start_factor) > limit:
            return self._reject(RejectionCause.QUEUE_LIMIT)
        return False

    def _reject(self, cause: RejectionCause) -> bool:
        """Count a rejection, and return True."""
        self.rejections[cause] += 1
        return True

    def servers_are_saturated(self, now: int) -> bool:
        """Whether attempts take at least as long as the shortest latency objective at present."""
        return self.queueing_delay.estimate(now) >= self.shortest_objective

    def retry_after(self, request: TrackedRequest) -> int:
        """Return the Retry-After (ns) of a rejection because of overload."""
        if request.limits is None or not request.limits.retry_after[1]:
            return self.settings.max_retry_after
        shortest, longest = request.limits.retry_after
        return shortest + int(self.random.random() * (longest - shortest))


def _products(counts: list[float], times: list[float]) -> list[float]:
    return [count * time for count, time in zip(counts, times, strict=True)]
