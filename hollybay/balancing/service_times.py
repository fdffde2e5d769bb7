"""Service times: how long a server of size 1 works on a request of each class, learned from idle servers."""

from __future__ import annotations

from collections.abc import Sequence

from .state import TrackedServer

__all__ = ["MIN_SAMPLES", "ServiceTimes"]

# The load (requests per core) below which a server counts as idle.
IDLE_SERVER_LOAD = 2.0
# The minimum weight of one response, and the number of responses that are used even if servers are busy on
# average.
MIN_WEIGHT = 0.02
MIN_SAMPLES = 8
# The weight of one response while none has come from an idle server.
QUEUED_WEIGHT = 0.1


class ServiceTimes:
    """Moving means of service times, by class and over all classes.

    The response time of a busy server includes a queue of unknown length. Under overload the service time
    would seem to grow, and starting servers would get less and less when they are needed most. Therefore only
    responses of servers count that were idle when the attempt was sent, as far as this node can tell. Until
    there is one, other responses are used, which gives an overestimate rather than an underestimate.

    Parameters
    ----------
    classes
        The number of classes.
    longest_objective
        The longest latency objective (ns): the mean while no class has a response.

    Attributes
    ----------
    by_class
        The service time (ns) of each class, 0 while it has no response.
    samples
        The number of responses from idle servers, by class.
    mean
        The mean service time (ns) over the classes, weighted by their requests.
    """

    __slots__ = ("_load_means", "_longest_objective", "_time_means", "by_class", "mean", "samples")

    def __init__(self, classes: int, longest_objective: int) -> None:
        self._longest_objective = float(longest_objective)
        self._time_means = [0.0] * classes  # moving means of response time x size (ns)
        self._load_means = [0.0] * classes  # moving means of 1 + load
        self.by_class = [0.0] * classes
        self.samples = [0] * classes
        self.mean = 0.0

    def update_mean(self, offered: Sequence[float]) -> None:
        """Update the mean over the classes that have a response.

        Response times cannot be used instead: under overload they are mostly queueing delay. After a
        replacement of most servers, the queues of the few warm ones would then keep requests from the
        starting ones.

        Parameters
        ----------
        offered
            Decaying count of requests, by class.
        """
        # A class without a response is left out: counted as work of 0, it would make the slow-start budget
        # too large.
        seen = [(requests, time) for requests, time in zip(offered, self.by_class, strict=True) if time > 0.0]
        total = sum(requests for requests, _ in seen)
        if total > 0.0:
            self.mean = sum(requests * time for requests, time in seen) / total
        else:
            self.mean = self._longest_objective

    def observe(
        self,
        server: TrackedServer,
        class_index: int,
        rtt: int,
        in_flight: int,
        stale: bool,
        servers_busy: bool,
    ) -> None:
        """Update the service time from a response.

        Parameters
        ----------
        server
            The server.
        class_index
            The request's class.
        rtt
            The response time (ns).
        in_flight
            Other attempts in flight at the server when the attempt was sent.
        stale
            Whether the loads that lists reported are outdated.
        servers_busy
            Whether servers have queues on average, where lists report no load.
        """
        sample = rtt * server.size * server.slow_start_factor
        samples = self.samples[class_index]
        load = server.reported_load + in_flight
        queued = server.slow_start_factor >= 1.0 and servers_busy and samples >= MIN_SAMPLES
        if load < IDLE_SERVER_LOAD and not stale and not queued:
            samples += 1
            self.samples[class_index] = samples
            weight = max(MIN_WEIGHT, 1.0 / samples)
            times, loads = self._time_means, self._load_means
            times[class_index] += weight * (sample - times[class_index])
            loads[class_index] += weight * (1.0 + server.reported_load + in_flight - loads[class_index])
            self.by_class[class_index] = times[class_index] / loads[class_index]
        elif not samples:
            sample /= 1.0 + server.reported_load + in_flight
            known = self.by_class[class_index]
            if known > 0.0:
                sample = known + QUEUED_WEIGHT * (sample - known)
            self.by_class[class_index] = sample
