"""Which requests are rejected at once, lowest priority first: for the servers' load, and for the node's own.

Three causes: attempts lose priority weight (a share of all work is shed), queues keep better classes waiting
(queue limits), and the node itself is short of time or of request slots.
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

# Shedding starts when attempts lose this share of their priority weight, being late or rejected.
SHEDDING_LOSS_SHARE = 0.15
MAX_SHED_SHARE = 0.98
# The weight of one review in the share that is shed, and what a review without losses leaves of it.
SHED_WEIGHT = 0.7
SHED_DECAY = 0.7
# A smaller share is taken for 0.
MIN_SHED_SHARE = 0.01
# Admitted work is below what servers finish by this much per unit of loss share, so that queues shrink; the
# unit is bounded by the second value.
DRAIN_PER_LOSS = 1.0
MAX_DRAIN = 0.5
# The share is bounded by the queueing delay: this much for each shortest objective that an attempt takes
# beyond SHEDDING_DELAY_SHARE of it. A larger share falls by SHED_RELEASE_FACTOR at each review.
SHED_PER_OBJECTIVE = 0.5
SHEDDING_DELAY_SHARE = 0.5
SHED_RELEASE_FACTOR = 0.6
# What a review leaves of the request counts by class.
COUNT_DECAY = 0.7
# The queue limit of the lowest class, as a share of the shortest objective of those above it, and the factor
# from one class to the next; the highest has none.
#
# It guards against congestion while it builds up: losses tell of it a second later, when each server has a
# queue that makes the shortest objective late for all. Servers lost, drained or starting count as the missing
# capacity that they are. It misleads where queues are worked off much faster than idle servers showed.
QUEUE_LIMIT_SHARE = 1.0
QUEUE_LIMIT_STEP = 4.0
# Below this free share of the node's request slots the lowest class is rejected, the others the later the
# higher their priority weight. A slot is a client's connection: where all are taken nobody is heard any more,
# and while a new version takes over the two processes share them. It misleads where long waits are usual.
FREE_SLOT_THRESHOLD = 0.25
# A request that was read late is rejected where it has less than this share of the time that an answer takes.
MIN_TIME_LEFT_SHARE = 0.5
# The priority weight of requests beyond a limit.
LIMITED_WEIGHT = 0.0


class RejectionCause(Enum):
    """Why a request is rejected at once."""

    NODE_LATE = "node_late"
    """The node reads requests late, and sheds a share of them."""

    LITTLE_TIME = "little_time"
    """It was read late, with too little time left for an answer."""

    FEW_SLOTS = "few_slots"
    """The node has few slots for pending requests left."""

    LOAD_SHED = "load_shed"
    """Attempts lose priority weight, or take long: a share of all work is shed."""

    QUEUE_LIMIT = "queue_limit"
    """It would keep requests of higher priority waiting."""


class LoadShedder:
    """The shares of requests that are rejected, by class.

    Parameters
    ----------
    settings
        The node's settings.
    estimates
        What the node has learned from answers.
    random
        The node's source of random numbers.
    now
        The time (ns).

    Attributes
    ----------
    shed_share, shed_by_class
        The share (0 to 1) of all work, and of each class's requests, that is rejected for the servers' load.
    queue_limits
        How much work (ns) may be queued ahead of a request, by class.
    min_free_slots
        The free share (0 to 1) of request slots below which a class is rejected.
    limited
        A decaying count of requests that limits have turned away, as those of each class are counted.
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
        self.min_free_slots = [
            FREE_SLOT_THRESHOLD
            * (1.0 - sum(other < weight for other in self.priority_weights) / len(classes))
            for weight in self.priority_weights
        ]

    @property
    def is_overloaded(self) -> bool:
        """Whether a client that comes back at once would be rejected for the same cause."""
        return self.shed_share > 0.0 or self.event_loop_delay.shed_share > 0.0

    # Periodic updates

    def update(self, now: int) -> None:
        """Renew the share that is shed for the servers' load; once per review."""
        estimates = self.estimates
        # While answers are late servers always have work: what they finish is what they can do.
        work = _products(estimates.offered, estimates.response_times)
        offered = sum(work)
        completed = sum(_products(estimates.completed, estimates.response_times))
        if estimates.loss_share > SHEDDING_LOSS_SHARE and offered > 0.0:
            drain = 1.0 - DRAIN_PER_LOSS * min(MAX_DRAIN, estimates.loss_share - SHEDDING_LOSS_SHARE)
            target = min(MAX_SHED_SHARE, max(0.0, 1.0 - drain * completed / offered))
            self.shed_share += SHED_WEIGHT * (target - self.shed_share)
        else:
            self.shed_share = SHED_DECAY * self.shed_share if self.shed_share > MIN_SHED_SHARE else 0.0
        # Attempts in flight show the end of congestion sooner than answers do, and much sooner than lists.
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
        """Renew how much may be queued ahead of each class."""
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
        """Record a request's delay, and tell whether it is rejected: this node is short of time or of slots.

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
        if event.queued_time:  # read late: there may be too little time left for any server to answer it
            takes = self.estimates.response_times[event.class_index] * (event.cost or 1) / largest_size
            if event.time_left < MIN_TIME_LEFT_SHARE * takes:
                return self._reject(RejectionCause.LITTLE_TIME)
        if event.free_slot_share < self.min_free_slots[event.class_index]:
            return self._reject(RejectionCause.FEW_SLOTS)
        return False

    def _distribute_event_loop_shedding(self) -> None:
        """Turn the share of all requests that this node cannot serve in time into one of each class.

        What limits turn away comes first: a tenant over its limit takes no service from the others. Here
        each request costs about the same, whatever its work at a server.
        """
        amounts = [self.limited, *self.estimates.offered]
        weights = [LIMITED_WEIGHT, *self.priority_weights]
        share = self.event_loop_delay.shed_share
        _, *self.event_loop_shed_by_class = distribute_by_priority(
            share, amounts, weights, [1.0] * len(amounts)
        )

    def rejects_for_load(self, class_index: int, server: TrackedServer | None, now: int) -> bool:
        """Whether a request is rejected for the servers' load.

        Parameters
        ----------
        class_index
            The request's class.
        server
            The server it would be sent to, None where there is none.
        now
            The time (ns).
        """
        limit = self.queue_limits[class_index]
        share = max(self.shed_by_class[class_index], self.queueing_delay.rejection_share(now, limit))
        if share > 0.0 and self.random.random() < share:
            return self._reject(RejectionCause.LOAD_SHED)
        if server is None or not server.in_flight:
            return False
        # It would keep requests of higher priority waiting for too long.
        queued = self.estimates.service_times.mean * expected_queue(server)
        if queued / (server.size * server.slow_start_factor) > limit:
            return self._reject(RejectionCause.QUEUE_LIMIT)
        return False

    def _reject(self, cause: RejectionCause) -> bool:
        """Count a rejection; True."""
        self.rejections[cause] += 1
        return True

    def servers_are_full(self, now: int) -> bool:
        """Whether attempts take the shortest latency objective or longer at present."""
        return self.queueing_delay.estimate(now) >= self.shortest_objective

    def retry_after(self, request: TrackedRequest) -> int:
        """Return the time (ns) after which a client rejected for overload may come back."""
        if request.limits is None or not request.limits.retry_after[1]:
            return self.settings.max_retry_after
        least, most = request.limits.retry_after
        return least + int(self.random.random() * (most - least))


def _products(counts: list[float], times: list[float]) -> list[float]:
    return [count * time for count, time in zip(counts, times, strict=True)]
