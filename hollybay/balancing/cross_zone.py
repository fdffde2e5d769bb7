"""Which requests go to other zones: a controlled share of all, and single ones that avoid a local queue."""

from __future__ import annotations

from math import exp, log

from .estimates import REVIEW_INTERVAL_NS, Estimates
from .interface import Result, Settings, WeightMode
from .state import TrackedAttempt, TrackedServer

__all__ = ["SPEED_CLASS_RATIO", "CrossZoneRouter", "expected_queue"]

# Speeds within this ratio form one class, and loads within it count as equal: smaller differences are noise
# of the estimates.
SPEED_CLASS_RATIO = 1.25
# Traffic crosses zones where local lateness (response time / latency objective) exceeds both this minimum and
# the remote lateness plus a margin.
MIN_LATENESS = 0.35
LATENESS_MARGIN = 0.1
# Gains of the controller that sets the share: integral (per review) and proportional.
INTEGRAL_GAIN = 0.1
PROPORTIONAL_GAIN = 0.7
# The lower bound of the share of requests that the integral part keeps local.
MIN_LOCAL_SHARE = 0.1
# Lower values of lateness count as this value.
MIN_MEASURED_LATENESS = 0.01
# Without observations, remote lateness approaches this share of local lateness, by this weight per review.
REMOTE_LATENESS_PRIOR = 0.5
REMOTE_LATENESS_WEIGHT = 0.1
# Load favours crossing only if 1 + local load (requests per core) exceeds both (1 + remote load) times
# SPEED_CLASS_RATIO, and BASE_LOAD plus LOAD_PER_PRICE times the price of crossing.
BASE_LOAD = 2.0
LOAD_PER_PRICE = 10.0
# A single request crosses zones if that reduces the priority weight that it is expected to lose by a late
# response by more than this share of the price. The share is below 1 because a request that stays also delays
# those queued behind it.
MIN_SAVING_PER_PRICE = 0.5
# The share of a reported load that probably remains: reports are old, and servers work off their queues.
REPORTED_LOAD_REMAINING = 0.25


def expected_queue(server: TrackedServer) -> float:
    """Return the expected requests at a server: those in flight, or what remains of the reported load."""
    return max(float(server.in_flight), REPORTED_LOAD_REMAINING * server.reported_load)


class CrossZoneRouter:
    """Decides how much of a node's traffic goes to remote zones, and which busy local servers to bypass.

    Parameters
    ----------
    settings
        The node's settings; prices.cross_zone is the cost of crossing zones, in priority weight.
    estimates
        What the node has learned from responses.
    now
        The time (ns).

    Attributes
    ----------
    local_share
        The integral part of the controller: the share (0 to 1) of requests that stay in this zone, negative
        while unknown.
    remote_share
        The share (0 to 1) of requests that are sent to remote zones first.
    local_load, remote_load
        Mean reported load (requests per core) of the servers.
    """

    def __init__(self, settings: Settings, estimates: Estimates, now: int) -> None:
        self.settings = settings
        self.estimates = estimates
        self.updated_at = now
        self.local_share = -1.0
        self.remote_share = 0.0
        self.local_load = 0.0
        self.remote_load = 0.0

    def initialize(self, local_size: float, total_size: float) -> None:
        """Set the initial shares, which assume that all zones have the same traffic.

        Parameters
        ----------
        local_size, total_size
            The total size of the servers in this node's zone, and of all servers.
        """
        self.local_share = min(1.0, self.settings.zones * local_size / total_size)
        self.remote_share = 1.0 - self.local_share

    def update(self, now: int, stale: bool, any_remote: bool) -> None:
        """Update the share of requests that crosses zones; called at each review and after each server list.

        Parameters
        ----------
        now
            The time (ns).
        stale
            Whether reported loads are outdated.
        any_remote
            Whether there are servers in remote zones.
        """
        if self.local_share < 0.0:
            return
        estimates = self.estimates
        error = self._error(stale)
        span = min(REVIEW_INTERVAL_NS, now - self.updated_at) / REVIEW_INTERVAL_NS
        self.updated_at = now
        # A PI controller: the proportional part responds to a growing queue, the integral part holds a share
        # that has to cross for long.
        integral = self.local_share * exp(-INTEGRAL_GAIN * span * error)
        self.local_share = min(1.0, max(MIN_LOCAL_SHARE, integral))
        prior = REMOTE_LATENESS_PRIOR * estimates.local_lateness
        estimates.remote_lateness += REMOTE_LATENESS_WEIGHT * span * (prior - estimates.remote_lateness)
        if any_remote:
            self.remote_share = max(0.0, 1.0 - self.local_share * min(1.0, exp(-PROPORTIONAL_GAIN * error)))
        else:
            self.remote_share = 0.0

    def _error(self, stale: bool) -> float:
        """Return the control error (-1 to 1); it is positive if more requests should cross."""
        estimates = self.estimates
        price = self.settings.prices.cross_zone
        threshold = max(estimates.remote_lateness + LATENESS_MARGIN + price, MIN_LATENESS)
        error = log(max(estimates.local_lateness, MIN_MEASURED_LATENESS) / threshold)
        if self.settings.weight_mode == WeightMode.LIVE and not stale:
            remote = max((1.0 + self.remote_load) * SPEED_CLASS_RATIO, BASE_LOAD + LOAD_PER_PRICE * price)
            load_error = log((1.0 + self.local_load) / remote)
            if load_error != 0.0:
                error = 0.5 * (load_error + error)
        return max(-1.0, min(1.0, error))

    def remote_first_share(self, attempts: list[TrackedAttempt]) -> float:
        """Return the share (0 to 1) of requests with these attempts that are sent to remote zones first."""
        if attempts:
            last = attempts[-1]
            if last.result == Result.NOT_DELIVERED and last.zone == self.settings.zone:
                return 1.0
        return self.estimates.zone_reachability.remote_first_share(self.remote_share)

    def prefer(self, class_index: int, local: TrackedServer, remote: TrackedServer | None) -> TrackedServer:
        """Return a remote server in place of a busy local one if that is worth the price of crossing.

        `remote_share` is derived from responses, so it lags seconds behind a queue that this node's own
        attempts build up. Their number in flight is known at once, and gives an estimate of the probability
        of a late response.
        """
        if remote is None:
            return local
        cls = self.settings.classes[class_index]
        lost_if_late = cls.priority_weight * (1.0 - cls.late_weight)
        saved = lost_if_late * (
            self._late_probability(class_index, local) - self._late_probability(class_index, remote)
        )
        price = MIN_SAVING_PER_PRICE * self.settings.prices.cross_zone * self.estimates.offered_weight
        return remote if saved > price else local

    def _late_probability(self, class_index: int, server: TrackedServer) -> float:
        """Return the probability that one more request is late, assuming exponential response times."""
        service_time = self.estimates.service_times.by_class[class_index]
        mean = service_time * (1.0 + expected_queue(server)) / (server.size * server.slow_start_factor)
        return exp(-self.settings.classes[class_index].latency_objective / mean) if mean > 0.0 else 0.0
