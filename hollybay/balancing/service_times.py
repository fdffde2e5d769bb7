"""How long a server of size 1 works for one request of each class, learned from answers without a queue."""

from __future__ import annotations

from collections.abc import Sequence

from .state import TrackedServer

__all__ = ["MIN_SAMPLES", "ServiceTimes"]

# The load (requests per core) below which a server counts as idle.
IDLE_SERVER_LOAD = 2.0
# The least weight of one answer, and the number of answers taken however busy servers are on average.
MIN_WEIGHT = 0.02
MIN_SAMPLES = 8
# The weight of one answer while none has found an idle server.
QUEUED_WEIGHT = 0.1


class ServiceTimes:
    """Moving means of service times, by class and over all classes.

    Answers that waited hold a queue of unknown length: under overload the service time would seem to grow,
    and starting servers would get ever less when they are needed most. So only answers count that found their
    server idle, as far as this node can tell. Until there is one the others are used, which gives too much
    rather than too little.

    Parameters
    ----------
    classes
        The number of classes.
    longest_objective
        The longest latency objective (ns): the mean while no class has an answer.

    Attributes
    ----------
    by_class
        The service time (ns) of each class, 0 while it has no answer.
    samples
        The number of answers, by class, that found their server idle.
    mean
        The mean service time (ns) over the classes, by their requests.
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
        """Renew the mean over the classes that have an answer.

        Response times would not do: under overload they are mostly queue, and a fleet that has just been
        replaced would be kept from its starting servers by the queues of the few warm ones.

        Parameters
        ----------
        offered
            The requests that came lately, by class.
        """
        # A class without an answer yet is left out: as free work it would void the budget of slow start.
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
        """Take in an answer.

        Parameters
        ----------
        server
            The server.
        class_index
            The request's class.
        rtt
            The response time (ns).
        in_flight
            Attempts that were in flight there when it was sent.
        stale
            Whether the loads that lists reported are outdated.
        servers_busy
            Whether servers hold a queue on average, where lists tell no load.
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
