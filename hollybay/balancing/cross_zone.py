"""Which requests go to another zone: a share that follows loads and answers, and single requests at once."""

from __future__ import annotations

from math import exp, log

from .estimates import REVIEW_INTERVAL_NS, Estimates
from .interface import Result, Settings, WeightMode
from .state import TrackedAttempt, TrackedServer

__all__ = ["SPEED_CLASS_RATIO", "CrossZoneRouter", "expected_queue"]

# Speeds within this ratio form one class, and loads within it are equal: less is noise of the estimates.
SPEED_CLASS_RATIO = 1.25
# Traffic crosses zones where local lateness (response time / latency objective) exceeds both the least value
# and the remote lateness by a margin.
MIN_LATENESS = 0.35
LATENESS_MARGIN = 0.1
# Gains of the controller of the share: integral (per review) and proportional.
INTEGRAL_GAIN = 0.1
PROPORTIONAL_GAIN = 0.7
# The least share of requests that stay local by the integral part alone.
MIN_LOCAL_SHARE = 0.1
# Lateness below this counts as this.
MIN_MEASURED_LATENESS = 0.01
# Remote lateness that is not observed approaches this share of the local one, by this weight per review.
REMOTE_LATENESS_PRIOR = 0.5
REMOTE_LATENESS_WEIGHT = 0.1
# A load (requests per core) of remote zones beyond which the price of crossing does not matter.
BASE_LOAD = 2.0
LOAD_PER_PRICE = 10.0
# A single request crosses where that saves this part of the price in priority weight that would be late.
# Below one, as a request that stays also delays those behind it.
MIN_SAVING_PER_PRICE = 0.5
# The part of a load that a list reported which is likely still there: it is old, and queues are worked off.
REPORTED_LOAD_REMAINING = 0.25


def expected_queue(server: TrackedServer) -> float:
    """Return the requests likely at a server: those known in flight, or what is left of the reported load."""
    return max(float(server.in_flight), REPORTED_LOAD_REMAINING * server.reported_load)


class CrossZoneRouter:
    """Decides how much of a node's traffic goes to remote zones, and which busy local servers to bypass.

    Parameters
    ----------
    settings
        The node's settings; prices.cross_zone is the cost of a crossing in priority weight.
    estimates
        What the node has learned from answers.
    now
        The time (ns).

    Attributes
    ----------
    local_share
        The share (0 to 1) of requests that need not cross, negative: not known yet.
    remote_share
        The share (0 to 1) of requests that try remote zones first.
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
        """Set the shares as if each zone had the same traffic, until loads are known.

        Parameters
        ----------
        local_size, total_size
            The size of the servers in this node's zone, and of all.
        """
        self.local_share = min(1.0, self.settings.zones * local_size / total_size)
        self.remote_share = 1.0 - self.local_share

    def update(self, now: int, stale: bool, any_remote: bool) -> None:
        """Renew the share that crosses: at each review and each list.

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
        # Proportional and integral: the first responds to a queue that grows, the second holds what has to
        # cross for long.
        integral = self.local_share * exp(-INTEGRAL_GAIN * span * error)
        self.local_share = min(1.0, max(MIN_LOCAL_SHARE, integral))
        prior = REMOTE_LATENESS_PRIOR * estimates.local_lateness
        estimates.remote_lateness += REMOTE_LATENESS_WEIGHT * span * (prior - estimates.remote_lateness)
        if any_remote:
            self.remote_share = max(0.0, 1.0 - self.local_share * min(1.0, exp(-PROPORTIONAL_GAIN * error)))
        else:
            self.remote_share = 0.0

    def _error(self, stale: bool) -> float:
        """Return the control error, -1 to 1: above 0 where more should cross."""
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
        """Return the share (0 to 1) of requests that go remote first, by a request's attempts so far."""
        if attempts:
            last = attempts[-1]
            if last.result == Result.NOT_DELIVERED and last.zone == self.settings.zone:
                return 1.0
        return self.estimates.zone_reachability.remote_first_share(self.remote_share)

    def prefer(self, class_index: int, local: TrackedServer, remote: TrackedServer | None) -> TrackedServer:
        """Return a remote server in place of a busy local one where that is worth the price of crossing.

        The share that crosses follows answers, and lags seconds behind a queue of this node's own. What the
        node itself has in flight it knows at once, and with it the probability of a late answer.
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
        """Return how likely one more request there is late, were response times exponential."""
        service_time = self.estimates.service_times.by_class[class_index]
        mean = service_time * (1.0 + expected_queue(server)) / (server.size * server.slow_start_factor)
        return exp(-self.settings.classes[class_index].latency_objective / mean) if mean > 0.0 else 0.0
