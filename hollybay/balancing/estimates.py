"""What one node learns from its own responses: lateness, lost work, service times and servers' speeds."""

from __future__ import annotations

from .connection_capacity import ConnectionCapacity
from .interface import AttemptFinished, Result, Settings
from .outlier_ejection import OutlierEjector
from .reported_failures import REPORT_LIFETIME_NS, ReportedFailures
from .service_times import ServiceTimes
from .state import TrackedRequest, TrackedServer
from .tenant_rejections import TENANT_EXCLUSION_NS, TenantRejections
from .traffic_share import TrafficShare
from .units import SECOND
from .zone_reachability import ZoneReachability

__all__ = ["IDLE_MEAN_LOAD", "REVIEW_INTERVAL_NS", "Estimates", "answer_weight"]

# The time (ns) between reviews, which update estimates, send intervals and the server pools: short compared
# with disturbances that last seconds, long enough to cost little CPU time.
REVIEW_INTERVAL_NS = SECOND // 2
# With fewer outcomes than MIN_REVIEW_OUTCOMES between two reviews, earlier losses say little about the
# present and decay by LOSS_DECAY. Without the decay, shedding that rejects nearly all requests would never
# end, as hardly any attempt would be left to lower the loss.
MIN_REVIEW_OUTCOMES = 8
LOSS_DECAY = 0.8
# The weight of one response in the moving means of lateness and loss: such that the means cover this many
# seconds, within bounds because a single response is no evidence. With a mean over a fixed number of
# responses, a node with few of them would detect congestion, and its end, seconds late.
ANSWER_WINDOW_S = 0.5
MIN_ANSWER_WEIGHT = 0.02
MAX_ANSWER_WEIGHT = 0.1
# The weight of a remote response relative to a local one; remote responses are fewer.
REMOTE_ANSWER_FACTOR = 2.5
# A response time counts as at most this many times its latency objective, so that a single straggler
# does not dominate the mean.
MAX_LATENESS = 2.0
# The mean load of all servers from which response times include queueing, where lists report no load.
IDLE_MEAN_LOAD = 1.0
# The weight of one response in the mean response time of its class, in its server's slowdown, and in the
# slowdown of the server's kind of machine.
RESPONSE_TIME_WEIGHT = 0.01
SLOWDOWN_WEIGHT = 0.15
KIND_SLOWDOWN_WEIGHT = 0.005
# The largest slowdown of a server, and the factor by which a rejection raises it.
MAX_SLOWDOWN = 8.0
REJECTION_SLOWDOWN = 1.3
# The weight of one review in the moving request rate.
REQUEST_RATE_WEIGHT = 0.5
# After this many consecutive failed connects, a server that responds again counts as restarted.
RESTART_CONNECT_FAILURES = 2
# Results without information about the server.
UNINFORMATIVE_RESULTS = frozenset({Result.CANCELLED, Result.NOT_SENT})
# Results without information about load: shedding does not help against broken connections.
CONNECTION_RESULTS = frozenset({Result.RESET, Result.NOT_DELIVERED})


def answer_weight(request_rate: float) -> float:
    """Return the weight (0 to 1) of one response in moving means, for a node's request rate (per second)."""
    weight = 1.0 / (ANSWER_WINDOW_S * max(request_rate, 1.0))
    return max(MIN_ANSWER_WEIGHT, min(MAX_ANSWER_WEIGHT, weight))


class Estimates:
    """Moving means over a node's own requests and responses, for the modules that make decisions.

    Parameters
    ----------
    settings
        The node's settings.
    now
        The time (ns).
    """

    def __init__(self, settings: Settings, now: int) -> None:
        classes = len(settings.classes)
        self.settings = settings
        self.longest_objective = max(cls.latency_objective for cls in settings.classes)  # ns
        self.reported_failures = ReportedFailures(settings.report_fields)
        self.zone_reachability = ZoneReachability()
        self.connection_capacity = ConnectionCapacity(settings.nodes)
        self.traffic_share = TrafficShare(settings.nodes, settings.report_fields, now)
        self.outlier_ejector = OutlierEjector(self.longest_objective)
        self.tenant_rejections = TenantRejections(len(settings.tenants))
        self.effective_nodes = float(settings.nodes)  # 1 / this node's share of all traffic

        # Requests
        self.reviewed_at = now
        self.arrivals = 0  # since the last review
        self.request_rate = 0.0  # per second, smoothed
        self.answer_weight = answer_weight(0.0)  # of one response in lateness and loss
        self.offered = [0.0] * classes  # decaying count of requests, by class
        self.completed = [0.0] * classes  # decaying count of successful responses, by class

        # Lateness (response time / latency objective), and priority weight lost to load
        self.local_lateness = 0.0
        self.remote_lateness = 0.0
        self.lost_weight = 0.0  # mean priority weight per attempt that was late or failed
        self.offered_weight = 0.0  # mean priority weight per attempt
        self.loss_share = 0.0  # lost_weight / offered_weight
        self.load_outcomes = 0  # results with information about load since the last review

        # Mean response times (ns, times server size / cost hint) by class, and slowdowns relative to them
        self.response_times = [0.0] * classes
        self.mean_slowdown = 1.0  # mean of response times relative to the mean of their class
        self.slowdown_by_kind = [1.0] * settings.kinds  # by kind of machine, relative to the listed size

        self.service_times = ServiceTimes(classes, self.longest_objective)
        self.mean_server_load = 0.0  # from this node's attempts in flight, where lists report no load

    # Periodic updates

    def review(self, now: int) -> bool:
        """Update the request rate, and decay losses if outcomes are few; False if no time has passed."""
        span = now - self.reviewed_at
        if span <= 0:
            return False
        rate = self.arrivals * SECOND / span
        if self.request_rate == 0.0:
            self.request_rate = rate
        else:
            self.request_rate = REQUEST_RATE_WEIGHT * (self.request_rate + rate)
        self.answer_weight = answer_weight(self.request_rate)
        self.arrivals = 0
        self.reviewed_at = now
        if self.load_outcomes < MIN_REVIEW_OUTCOMES:
            self.lost_weight *= LOSS_DECAY ** (1.0 - self.load_outcomes / MIN_REVIEW_OUTCOMES)
            self._update_loss_share()
        self.load_outcomes = 0
        return True

    def _update_loss_share(self) -> None:
        self.loss_share = self.lost_weight / self.offered_weight if self.offered_weight > 0.0 else 0.0

    # Results of attempts

    def observe(
        self, server: TrackedServer, request: TrackedRequest, event: AttemptFinished, now: int, stale: bool
    ) -> bool:
        """Update the estimates from an attempt that has ended.

        Parameters
        ----------
        server
            The attempt's server.
        request
            The request.
        event
            The result.
        now
            The time (ns).
        stale
            Whether the loads that lists reported are outdated.

        Returns
        -------
        bool
            Whether the server has to be ejected.
        """
        result = event.result
        if result in UNINFORMATIVE_RESULTS:
            return False
        rate = self.reported_failures.failure_rate(event.report) if event.report else None
        if rate is not None:
            server.reported_failure_rate = rate
            server.reported_failure_until = now + REPORT_LIFETIME_NS
        self.traffic_share.observe_report(event.report, server.size)
        succeeded = result == Result.OK
        rejected = result == Result.REJECTED
        if (succeeded or rejected) and self.tenant_rejections.observe(request.tenant, rejected):
            server.rejected_tenants[request.tenant] = now + TENANT_EXCLUSION_NS
            server.last_answer_at = now
            return False
        local = server.zone == self.settings.zone
        self._observe_connect(server, result, local, now)
        self._observe_load(request.class_index, event, local)
        if succeeded:
            self._observe_success(server, request, event, now, stale)
            return False
        return self._observe_failure(server, request, event, now)

    def _observe_connect(self, server: TrackedServer, result: Result, local: bool, now: int) -> None:
        """Record whether the server's zone is reachable, and whether the server has restarted."""
        if result == Result.NOT_DELIVERED:
            self.zone_reachability.observe_connect(local, True, self.answer_weight)
            server.consecutive_connect_failures += 1
            self.connection_capacity.record_refusal(now)
        elif result != Result.TIMEOUT:  # a timeout on an open connection says nothing about new connections
            self.zone_reachability.observe_connect(local, False, self.answer_weight)
            if server.consecutive_connect_failures >= RESTART_CONNECT_FAILURES:
                # Reachable again after failed connects: a new process that no server list has reported yet.
                server.up_since = max(server.up_since, now)
                server.slow_start_send_at = -1
            server.consecutive_connect_failures = 0

    def _observe_load(self, class_index: int, event: AttemptFinished, local: bool) -> None:
        """Record the priority weight lost to load, and the lateness of responses."""
        result = event.result
        cls = self.settings.classes[class_index]
        lateness = event.rtt / cls.latency_objective
        if result == Result.REJECTED or lateness > MAX_LATENESS:
            lateness = MAX_LATENESS
        if result not in CONNECTION_RESULTS:
            lost_if_answered = 1.0 - cls.late_weight if lateness > 1.0 else 0.0
            lost = lost_if_answered if result == Result.OK else 1.0
            self.lost_weight += self.answer_weight * (cls.priority_weight * lost - self.lost_weight)
            self.offered_weight += self.answer_weight * (cls.priority_weight - self.offered_weight)
            self.load_outcomes += 1
        self._update_loss_share()
        if result == Result.NOT_DELIVERED:
            return
        if local:
            self.local_lateness += self.answer_weight * (lateness - self.local_lateness)
        else:
            weight = REMOTE_ANSWER_FACTOR * self.answer_weight
            self.remote_lateness += weight * (lateness - self.remote_lateness)

    def _observe_success(
        self, server: TrackedServer, request: TrackedRequest, event: AttemptFinished, now: int, stale: bool
    ) -> None:
        """Update health, service time and speed from a complete response."""
        index = request.class_index
        self.outlier_ejector.observe_success(server, now)
        self.completed[index] += 1.0
        in_flight = request.attempts[event.attempt].in_flight_at_send
        servers_busy = self.mean_server_load >= IDLE_MEAN_LOAD
        self.service_times.observe(server, index, event.rtt, in_flight, stale, servers_busy)
        sample = event.rtt * server.size / (request.cost or 1)
        mean = self.response_times[index]
        if mean <= 0.0:
            self.response_times[index] = sample
            return
        self.response_times[index] = mean + RESPONSE_TIME_WEIGHT * (sample - mean)
        slowdown = min(sample / mean, MAX_SLOWDOWN)
        server.slowdown += SLOWDOWN_WEIGHT * (slowdown - server.slowdown)
        # The servers of one kind of machine together give enough responses to correct the size that is listed
        # for the kind, but response times that include queueing would distort it.
        if not servers_busy:
            relative = slowdown / self.mean_slowdown
            self.slowdown_by_kind[server.kind] *= 1.0 + KIND_SLOWDOWN_WEIGHT * (relative - 1.0)
            self.mean_slowdown += KIND_SLOWDOWN_WEIGHT * (slowdown - self.mean_slowdown)

    def _observe_failure(
        self, server: TrackedServer, request: TrackedRequest, event: AttemptFinished, now: int
    ) -> bool:
        """Update the estimates from a failed attempt; True if its server has to be ejected."""
        result = event.result
        if result != Result.TIMEOUT and result != Result.NOT_DELIVERED:
            server.last_answer_at = now
        # A server that fails fast has few attempts in flight, and must not look idle because of that.
        server.idle_from = max(server.idle_from, now + REVIEW_INTERVAL_NS)
        if result == Result.REJECTED:
            server.slowdown = min(MAX_SLOWDOWN, REJECTION_SLOWDOWN * server.slowdown)
            return False
        if result == Result.TIMEOUT:
            self._observe_timeout(server, request, event.rtt)
        return self.outlier_ejector.observe_failure(server, request.attempts[event.attempt], result, now)

    def _observe_timeout(self, server: TrackedServer, request: TrackedRequest, rtt: int) -> None:
        """Update a server's slowdown from an attempt that timed out after a time (ns)."""
        mean = self.response_times[request.class_index]
        if mean > 0.0:
            relative = rtt * server.size / (request.cost or 1) / mean
            slowdown = min(max(relative, server.slowdown), MAX_SLOWDOWN)
            server.slowdown += SLOWDOWN_WEIGHT * (slowdown - server.slowdown)
